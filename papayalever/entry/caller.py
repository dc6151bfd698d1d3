"""Server side of one caller's HTTP/1.1 connection; responses keep the order of the requests.

Pipelined requests, which are idempotent, run concurrently. A server library that handles one
request of a connection at a time would make them wait for each other.

What the caller makes the instance hold is counted before it is taken, see `memory`.
"""

import asyncio
from collections import deque
from http import HTTPStatus

import httptools
import logbook

from ..sockets import has_peer_left
from .bodies import Body
from .framing import MAX_FRAMING_BYTES, FramingMeter
from .header_block import END, SEPARATOR, unpack_headers
from .heads import BadRequestError, check_framing, encode_head
from .listeners import ListenerRules, PendingResponse
from .messages import DEFAULT_DEADLINE_S, CallerRequest, Response
from .outbox import Outbox
from .turns import READ_BYTES, ReadCosts

MAX_PIPELINED = 32
"""Pending requests of one connection at which reading pauses, which bounds memory."""
MAX_PIPELINED_BYTES = 256 * 1024
"""Memory of the pending requests of one connection at which reading pauses."""
TIMEOUT_CHECK_INTERVAL_S = 0.25
"""Resolution of the timeouts on a connection."""
REQUEST_BYTES = 16 * 1024
"""Memory of a request besides its head and body while it is handled: its task and its state."""
HEAD_FACTOR = 1.25
"""Memory of a head that is received, in times of its size, since buffers grow ahead."""
LINE_BYTES = 3
"""Bytes of a header line besides its name and value, at least: the colon and the line end."""
PROGRESS_BYTES = 4 * 1024
"""Received bytes that count as progress; fewer do not keep a caller from being closed."""
MEMORY_RETRY_AFTER_S = 1.0
"""Retry-After of a request that finds no memory: most requests end, or stall, within this time."""
LINGER_PAUSE_S = 1.0
"""How long a caller that goes on to send after its final response may pause. Closing with unread
bytes would reset the connection, and the response might be lost."""
LINGER_S = 10.0
"""How long such a caller may go on at all."""
NO_MEMORY = "not run: no memory for it"

log = logbook.Logger("caller")


class CallerConnection(asyncio.BufferedProtocol):
    """Parses requests, runs the handler for each and writes the responses in order."""

    def __init__(self, rules: ListenerRules) -> None:
        self._rules = rules
        self._memory = rules.memory
        self._held_bytes = 0
        """Memory that is counted for this connection."""
        self._message_bytes = 0
        """The part of it that belongs to the request that is being read."""
        self._unsent_bytes = 0
        """The part of it that belongs to responses that the caller has not read."""
        self._meter = FramingMeter()
        self._costs = ReadCosts()
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[PendingResponse] = deque()
        self._outbox = Outbox()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._pause_timer: asyncio.TimerHandle | None = None
        """Set while the connection pauses after an expensive read."""
        self._is_reading = False
        self._is_closing = False
        self._is_lost = False
        self._is_paused = False
        self._must_continue = False
        self._rest_bytes = 0
        """Bytes of a body that are still to come, at most."""
        self._has_overrun = False
        """Whether the caller sends more than that after it was refused, which is not read."""
        self._goes_on = False
        """Whether the caller may go on to send after its final response."""
        self._lingers_since: float | None = None
        """When the final response was written to a caller that goes on to send."""
        self._message_started_at = 0.0
        self._active_at = 0.0
        self._progress_at = 0.0
        self._bytes_since_progress = 0
        self._bytes_since_piece = 0
        """Received since the last piece of a body or the start of the message."""
        self._has_piece = False
        """Whether the current read had a piece of a body or the start of a message."""
        self._head_bytes = 0
        self._partial_bytes = 0
        """Received of the current line of a head."""
        self._taken_head_bytes = 0
        """Memory that is counted for the head."""
        self._max_head_bytes = 0
        self._is_reading_headers = False
        self._deadline_s = DEFAULT_DEADLINE_S
        self._target = b""
        self._host = ""
        self._head = bytearray()
        self._body = Body()
        self.opened_at = 0.0
        self.has_sent = False
        """Whether the caller ever sent a byte."""
        self.is_draining = False

    @property
    def listener(self) -> str:
        """Name of the listener that accepted the connection."""
        return self._rules.name

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._pending and not self._is_reading

    @property
    def is_lingering(self) -> bool:
        """Whether all was written, and only the caller's end is missing."""
        return self._lingers_since is not None

    @property
    def held_bytes(self) -> int:
        """Memory that is counted for what the caller sent and has not read."""
        return self._held_bytes

    def compute_stall_s(self, now: float) -> float:
        """Seconds since a caller that has to go on went on; 0 if it waits for a response."""
        goes_on_itself = self._is_reading and not self._is_paused
        return now - self._progress_at if self._unsent_bytes or goes_on_itself else 0.0

    def compute_idle_s(self, now: float) -> float:
        """Seconds since the last request or response, 0 if one is pending."""
        return now - self._active_at if self.is_idle and not self._unsent_bytes else 0.0

    # Transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout checks, unless there are too many connections."""
        self._transport = transport
        self._outbox.open(transport)
        loop = asyncio.get_running_loop()
        self._active_at = self._progress_at = self.opened_at = loop.time()
        if not self._rules.on_open(self):
            self.abort()
            return
        self._timer = loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the next read."""
        return self._rules.turns.choose_buffer(self._is_reading)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read; input that was expensive to parse pauses the connection."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.has_sent = True
        if self._is_closing:
            # Dropped, so that the final response is not lost by a reset.
            self._active_at = started
            self._rest_bytes -= nbytes
            if self._rest_bytes < -MAX_FRAMING_BYTES:
                self._has_overrun = True
                self._apply_backpressure()
            return
        turns = self._rules.turns
        self._feed(turns.buffer[:nbytes], started)
        finished = loop.time()
        if turns.note_cost(finished - started):
            loop.call_soon(turns.start_turn)
        pause_s = self._costs.compute_pause(finished - started, turns.paused, finished)
        if pause_s and not self._is_closing and self._pause_timer is None:
            turns.paused += 1
            self._pause_timer = loop.call_later(pause_s, self._end_pause)
            self._apply_backpressure()

    def eof_received(self) -> bool:
        """Close: the caller has left, and nobody needs the responses to its pending requests."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending requests of the caller, which has left."""
        self._is_closing = self._is_lost = True
        if self._timer:
            self._timer.cancel()
        self._cancel_pause()
        self._drop_pending()
        self._drop_message()
        self._outbox.clear()
        self._memory.used -= self._held_bytes
        self._held_bytes = self._unsent_bytes = 0
        # The parser refers back to this object, which would wait for the garbage collector.
        self._parser = None
        self._rules.on_close(self)

    def pause_writing(self) -> None:
        """Stop reading while the caller does not read its responses."""
        self._outbox.pause()
        self._account_unsent()
        self._apply_backpressure()

    def resume_writing(self) -> None:
        """Write and read again once the caller reads its responses."""
        self._outbox.resume()
        self._note_progress()
        self._account_unsent()
        self._flush()
        self._close_when_written()

    def drain(self) -> None:
        """Close when idle, otherwise with the last pending response."""
        self.is_draining = True
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Close once the responses that are ready are sent."""
        self._is_closing = True
        self._close_when_written()

    def abort(self) -> None:
        """Close at once."""
        self._is_closing = True
        if self._transport:
            self._transport.abort()

    def shed(self) -> None:
        """Give back what a caller that does not go on holds, and close its connection."""
        self._rules.on_refused("stalled")
        if not self._is_reading or self._unsent_bytes:
            self._drop_pending()
            self._outbox.clear()
            self.abort()
            self._account_unsent()
            return
        self._reject(HTTPStatus.REQUEST_TIMEOUT, "not run: its rest did not arrive")

    # Parser.

    def _feed(self, data: memoryview, now: float) -> None:
        self._has_piece = False
        try:
            self._meter.note_received(len(data))
            self._parser.feed_data(data)
            self._check_framing(data)
        except BadRequestError as error:
            self._reject(error.status, str(error))
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.NOT_IMPLEMENTED, "Upgrades are not supported.")
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                self._reject(cause.status, str(cause))
            else:
                self._reject(HTTPStatus.BAD_REQUEST, "The request is malformed.")
        if self._is_reading:
            self._active_at = now
            self._bytes_since_progress += len(data)
            if self._bytes_since_progress >= PROGRESS_BYTES:
                self._note_progress()

    def _check_framing(self, data: memoryview) -> None:
        """Reject framing without end: a line is held by the parser until it is complete."""
        if self._is_reading_headers:
            self._check_partial_line(bytes(data))
            self._take_head()
        self._bytes_since_piece = 0 if self._has_piece else self._bytes_since_piece + len(data)
        if self._bytes_since_piece > self._rules.read_limits().header_bytes + READ_BYTES:
            raise self._headers_too_large()
        if self._is_reading and self._meter.is_exceeded:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "The body's framing is too large.")

    def _check_partial_line(self, data: bytes) -> None:
        """Reject a head that is too large already before its current line is complete."""
        line_start = data.rfind(b"\n") + 1
        self._partial_bytes = len(data) - line_start + (0 if line_start else self._partial_bytes)
        # Before the first header, the target is counted already and may be in that line.
        parts = (self._head_bytes, self._partial_bytes)
        if (sum(parts) if self._head else max(parts)) > self._max_head_bytes:
            raise self._headers_too_large()

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._is_closing:
            return
        self._is_reading = self._is_reading_headers = self._has_piece = True
        self._message_started_at = asyncio.get_running_loop().time()
        self._deadline_s = DEFAULT_DEADLINE_S
        self._note_progress()
        self._target = b""
        self._head = bytearray()
        self._head_bytes = self._partial_bytes = self._taken_head_bytes = self._rest_bytes = 0
        self._max_head_bytes = self._rules.read_limits().header_bytes
        self._body = Body()
        self._meter = FramingMeter()

    def on_url(self, url: bytes) -> None:
        """Collect the target, which may arrive in several chunks."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are counted and dropped."""
        self._count_head(len(name) + len(value) + LINE_BYTES)
        if not self._is_reading_headers:
            return
        if b"\n" in value or b"\r" in value:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "A header has a line end in its value.")
        self._head += name.lower() + SEPARATOR + value + END

    def on_headers_complete(self) -> None:
        """Check framing and length of the body before it is read."""
        if self._is_closing:
            return
        self._take_head()
        self._is_reading_headers = False
        self._head_bytes = 0
        limits = self._rules.read_limits()
        headers = unpack_headers(bytes(self._head))
        length = check_framing(headers)
        self._host = next(value for name, value in headers if name == b"host").decode("latin-1")
        is_chunked = any(name == b"transfer-encoding" for name, _ in headers)
        if not length and not is_chunked:
            return
        self._rest_bytes = limits.body_bytes if is_chunked else min(length, limits.body_bytes)
        if length > limits.body_bytes:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "The body is too large.")
        if not self._memory.may_take(length, self._held_bytes + length):
            raise self._no_memory()
        self._deadline_s = self._rules.read_deadline_s(self._target, headers)
        if (b"expect", b"100-continue") in headers:
            self._must_continue = True
            self._write_continue()

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        if self._is_closing:
            return
        self._has_piece = True
        self._meter.note_body(len(body))
        if len(self._body) + len(body) > self._rules.read_limits().body_bytes:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "The body is too large.")
        self._rest_bytes = max(0, self._rest_bytes - len(body))
        self._take(len(body))
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Start the handler of a complete request."""
        if self._is_closing:
            return
        self._take(REQUEST_BYTES)
        self._is_reading = False
        self._must_continue = False
        self._active_at = asyncio.get_running_loop().time()
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            head=bytes(self._head),
            host=self._host,
            body=self._body,
            arrived_at=self._message_started_at,
            keep_alive=self._parser.should_keep_alive(),
            ahead=tuple(
                item.request for item in self._pending if item.request and not item.task.done()
            ),
        )
        self._head, self._body = bytearray(), Body()
        held_bytes, self._message_bytes = self._message_bytes, 0
        task = asyncio.get_running_loop().create_task(self._respond(request))
        self._pending.append(PendingResponse(task, request, held_bytes))
        task.add_done_callback(lambda _: self._flush())
        self._apply_backpressure()

    async def _respond(self, request: CallerRequest) -> Response:
        try:
            response = await self._rules.handle(request)
        except Exception as error:
            # After a bug the caller still needs a response; the request may have run.
            log.error("handler failed", target=request.target[:80], error=repr(error))
            response = Response(HTTPStatus.BAD_GATEWAY, [], b"internal error\n", "internal error")
        finally:
            request.body.clear()
        self._count_response(request, len(response.body))
        response.must_close = response.must_close or not request.keep_alive
        return response

    # Memory.

    def _take(self, size: int) -> None:
        """Count memory for the request that is being read, or reject it."""
        if not self._memory.take(size, self._held_bytes + size):
            raise self._no_memory()
        self._held_bytes += size
        self._message_bytes += size

    def _hold(self, size: int) -> None:
        """Count memory that is taken already, or given back."""
        if not self._is_lost:
            self._held_bytes += size
            self._memory.used += size

    def _count_response(self, request: CallerRequest, size: int) -> None:
        """Count a response in place of the request that it answers."""
        pending = next((item for item in self._pending if item.request is request), None)
        if pending:
            self._hold(size - pending.held_bytes)
            pending.held_bytes = size

    def _account_unsent(self) -> None:
        """Count what the caller has not read yet."""
        if not self._is_lost:
            unsent_bytes = self._outbox.unsent_bytes
            if unsent_bytes < self._unsent_bytes:
                self._note_progress()
            self._hold(unsent_bytes - self._unsent_bytes)
            self._unsent_bytes = unsent_bytes

    def _drop_message(self) -> None:
        """Give back what was received of an incomplete request."""
        self._hold(-self._message_bytes)
        self._message_bytes = 0
        self._is_reading = self._is_reading_headers = False
        self._target, self._head = b"", bytearray()
        self._body.clear()

    def _drop_pending(self) -> None:
        """Cancel the requests that have no response yet."""
        for pending in self._pending:
            pending.task.cancel()
            self._hold(-pending.held_bytes)
            if pending.request:
                pending.request.body.clear()
        self._pending.clear()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._max_head_bytes:
            raise self._headers_too_large()

    def _take_head(self) -> None:
        """Count the memory of the head as far as it was received; once a read and not a line."""
        size = int((len(self._target) + len(self._head)) * HEAD_FACTOR)
        self._take(size - self._taken_head_bytes)
        self._taken_head_bytes = size

    def _headers_too_large(self) -> BadRequestError:
        return BadRequestError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "The headers are too large."
        )

    def _no_memory(self) -> BadRequestError:
        self._rules.on_refused("no memory")
        return BadRequestError(HTTPStatus.SERVICE_UNAVAILABLE, NO_MEMORY)

    # Responses.

    def _flush(self) -> None:
        """Write the finished responses, in the order of the requests."""
        while self._pending and self._pending[0].task.done() and self._transport:
            if self._outbox.is_full:
                # Those that follow wait where they are counted until the caller reads.
                break
            pending = self._pending.popleft()
            self._hold(-pending.held_bytes)
            if pending.task.cancelled():
                self.abort()
                return
            response = pending.task.result()
            is_last = response.must_close or (self.is_draining and not self._pending)
            if self.is_idle:
                self._note_progress()
            self._outbox.put((encode_head(response, is_last), response.body))
            self._account_unsent()
            self._active_at = asyncio.get_running_loop().time()
            if is_last:
                self._close_after_response()
                return
        self._write_continue()
        self._apply_backpressure()

    def _close_after_response(self) -> None:
        """Drop the requests that follow a closing response, as if they had not been read."""
        goes_on = self._goes_on or bool(self._pending) or self._is_reading
        self._drop_pending()
        self._drop_message()
        if goes_on:
            self._lingers_since = asyncio.get_running_loop().time()
        self.close()

    def _close_when_written(self) -> None:
        """Close once everything is written, or end the own side while the caller goes on."""
        if not self._is_closing or self._pending or not self._transport:
            return
        if self._transport.is_closing() or self._outbox.has_queued:
            return
        if self._lingers_since is None:
            self._transport.close()
            return
        self._apply_backpressure()
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def _reject(self, status: int, text: str) -> None:
        """Answer invalid input with an error after the pending responses, then close."""
        self._is_closing = self._goes_on = True
        if status == HTTPStatus.BAD_REQUEST:
            # What follows belongs to no body.
            self._rest_bytes = 0
        self._drop_message()
        self._cancel_pause()
        headers = [(b"Content-Type", b"text/plain")]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append(self._rules.retry_after(MEMORY_RETRY_AFTER_S))
        response = Response(status, headers, text.encode() + b"\n")
        response.must_close = True

        async def respond() -> Response:
            return response

        task = asyncio.get_running_loop().create_task(respond())
        self._pending.append(PendingResponse(task))
        task.add_done_callback(lambda _: self._flush())

    def _write_continue(self) -> None:
        """Ask for a body that the caller holds back, between two responses."""
        if self._must_continue and not self._pending and not self._is_closing:
            self._must_continue = False
            self._outbox.put((b"HTTP/1.1 100 Continue\r\n\r\n",))

    def _apply_backpressure(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        should_pause = self._has_overrun or (not self.is_lingering and self._must_wait())
        if should_pause and not self._is_paused:
            self._transport.pause_reading()
        elif not should_pause and self._is_paused:
            self._transport.resume_reading()
            self._note_progress()
        self._is_paused = should_pause

    def _must_wait(self) -> bool:
        """Whether the caller's next bytes wait for what is pending, or for other callers."""
        pending_bytes = self._held_bytes - self._message_bytes - self._unsent_bytes
        is_pipelining = len(self._pending) > 1
        return (
            self._outbox.is_full
            or len(self._pending) >= MAX_PIPELINED
            or (is_pipelining and pending_bytes >= MAX_PIPELINED_BYTES)
            or self._pause_timer is not None
        )

    def _end_pause(self) -> None:
        self._cancel_pause()
        self._apply_backpressure()

    def _cancel_pause(self) -> None:
        if self._pause_timer:
            self._pause_timer.cancel()
            self._pause_timer = None
            self._rules.turns.paused -= 1

    # Time.

    def _note_progress(self) -> None:
        self._progress_at = asyncio.get_running_loop().time()
        self._bytes_since_progress = 0

    def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        now, limits = loop.time(), self._rules.read_limits()
        self._timer = loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        self._account_unsent()
        if self._is_paused and has_peer_left(self._transport.get_extra_info("socket")):
            # The loop sees no end of a connection that it does not read.
            self.abort()
        elif self._unsent_bytes and now - self._progress_at > limits.idle_s:
            self._rules.on_refused("response not read")
            self.abort()
        elif self._is_closing:
            self._check_linger(now)
        elif self._is_reading_headers and now - self._message_started_at > limits.header_s:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, "The headers took too long.")
        elif self._is_reading and now - self._active_at > limits.idle_s:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, "The body took too long.")
        elif self._is_reading and now - self._message_started_at > self._deadline_s:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, "The body took longer than the deadline.")
        elif self.is_idle and not self._unsent_bytes and now - self._active_at > limits.idle_s:
            self.close()

    def _check_linger(self, now: float) -> None:
        if self._lingers_since is None or not self._outbox.is_empty:
            return
        paused_s = now - max(self._active_at, self._lingers_since)
        if paused_s > LINGER_PAUSE_S or now - self._lingers_since > LINGER_S:
            self.abort()
