"""Server side of one caller's HTTP/1.1 connection; responses keep the order of the requests.

Pipelined requests, which are idempotent, run concurrently. A server library that handles one
request of a connection at a time would make them wait for each other.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools
import logbook

from ..routing.routes import CallerLimits
from .framing import BodyMemory, FramingMeter
from .messages import CallerRequest, Response

MAX_PIPELINED = 32
"""Pending requests of one connection at which reading pauses, which bounds memory."""
TIMEOUT_CHECK_INTERVAL_S = 0.25
"""Resolution of the timeouts on a connection."""

log = logbook.Logger("caller")

Handler = Callable[[CallerRequest], Awaitable[Response]]


class BadRequestError(Exception):
    """A request is rejected, and its connection cannot be used further."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(eq=False, slots=True)
class PendingResponse:
    """A response that is not written yet; without a request if it rejects invalid input."""

    task: asyncio.Task[Response]
    request: CallerRequest | None = None


class CallerConnection(asyncio.Protocol):
    """Parses requests, runs the handler for each and writes the responses in order."""

    def __init__(
        self,
        handle: Handler,
        read_limits: Callable[[], CallerLimits],
        on_open: Callable[["CallerConnection"], None],
        on_close: Callable[["CallerConnection"], None],
        memory: BodyMemory,
    ) -> None:
        self._memory = memory
        self._held_bytes = 0
        """Bytes of bodies of this connection that count as used memory."""
        self._unsent_bytes = 0
        """Bytes of responses that the caller does not read, counted as used memory."""
        self._meter = FramingMeter()
        self._handle = handle
        self._read_limits = read_limits
        self._on_open = on_open
        self._on_close = on_close
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[PendingResponse] = deque()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_reading = False
        self._is_closing = False
        self._is_lost = False
        self._is_paused = False
        self._is_write_buffer_full = False
        self._message_started_at = 0.0
        self._active_at = 0.0
        self._header_bytes = 0
        self._is_reading_headers = False
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self.is_draining = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._pending and not self._is_reading

    # Transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout checks."""
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._active_at = loop.time()
        self._timer = loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Parse received data; each complete request starts its handler."""
        if self._is_closing:
            return
        self._active_at = asyncio.get_running_loop().time()
        try:
            if self._is_reading_headers or not self._is_reading:
                self._count_header_bytes(data)
            self._meter.note_received(len(data))
            self._parser.feed_data(data)
            if self._is_reading and self._meter.is_exceeded:
                raise BadRequestError(HTTPStatus.BAD_REQUEST, "The body's framing is too large.")
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

    def eof_received(self) -> bool:
        """Close: the caller has left, and nobody needs the responses to its pending requests."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending requests of the caller, which has left."""
        self._is_closing = self._is_lost = True
        if self._timer:
            self._timer.cancel()
        for pending in self._pending:
            pending.task.cancel()
        self._pending.clear()
        self._memory.used -= self._held_bytes + self._unsent_bytes
        self._held_bytes = self._unsent_bytes = 0
        self._on_close(self)

    def pause_writing(self) -> None:
        """Stop reading while the caller does not read its responses."""
        self._is_write_buffer_full = True
        self._account_unsent()
        self._apply_backpressure()

    def resume_writing(self) -> None:
        """Read again once the caller reads its responses."""
        self._is_write_buffer_full = False
        self._account_unsent()
        self._apply_backpressure()

    def drain(self) -> None:
        """Close when idle, otherwise with the last pending response."""
        self.is_draining = True
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Close once the buffered responses are sent."""
        self._is_closing = True
        if self._transport:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._is_closing = True
        if self._transport:
            self._transport.abort()

    # Parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._is_reading = self._is_reading_headers = True
        self._message_started_at = asyncio.get_running_loop().time()
        self._target = b""
        self._headers = []
        self._body = bytearray()
        self._meter = FramingMeter()

    def on_url(self, url: bytes) -> None:
        """Collect the target, which may arrive in several chunks."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check framing and length of the body before it is read."""
        self._is_reading_headers = False
        self._header_bytes = 0
        length = check_framing(self._headers)
        if length > self._read_limits().body_bytes:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "The body is too large.")
        if (b"expect", b"100-continue") in self._headers and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body."""
        self._body += body
        self._meter.note_body(len(body))
        self._account_body(len(body))
        if not self._memory.may_grow(len(self._body)):
            raise BadRequestError(HTTPStatus.SERVICE_UNAVAILABLE, "not run: no memory for it")
        if len(self._body) > self._read_limits().body_bytes:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "The body is too large.")

    def on_message_complete(self) -> None:
        """Start the handler of a complete request."""
        self._is_reading = False
        if self._is_closing:
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            host=_find_header(self._headers, b"host").decode("latin-1"),
            body=bytes(self._body),
            arrived_at=self._message_started_at,
            keep_alive=self._parser.should_keep_alive(),
            ahead=tuple(
                item.request for item in self._pending if item.request and not item.task.done()
            ),
        )
        self._body = bytearray()
        task = asyncio.get_running_loop().create_task(self._respond(request))
        self._pending.append(PendingResponse(task, request))
        task.add_done_callback(lambda _: self._flush())
        self._apply_backpressure()

    async def _respond(self, request: CallerRequest) -> Response:
        try:
            response = await self._handle(request)
        except Exception as error:
            # After a bug the caller still needs a response; the request may have run.
            log.error("handler failed", target=request.target, error=repr(error))
            response = Response(HTTPStatus.BAD_GATEWAY, [], b"internal error\n", "internal error")
        finally:
            self._account_body(-len(request.body))
        self._account_body(len(response.body))
        response.must_close = response.must_close or not request.keep_alive
        return response

    # Responses.

    def _account_body(self, size: int) -> None:
        if self._is_lost:
            return
        size = max(size, -self._held_bytes)
        self._held_bytes += size
        self._memory.used += size

    def _account_unsent(self) -> None:
        """Count the unsent responses as used memory while the caller does not read them."""
        if self._is_lost or self._transport is None:
            return
        unsent = self._transport.get_write_buffer_size() if self._is_write_buffer_full else 0
        self._memory.used += unsent - self._unsent_bytes
        self._unsent_bytes = unsent

    def _flush(self) -> None:
        """Write the finished responses, in the order of the requests."""
        while self._pending and self._pending[0].task.done() and self._transport:
            task = self._pending.popleft().task
            if task.cancelled():
                self._transport.abort()
                return
            response = task.result()
            is_last = response.must_close or (self.is_draining and not self._pending)
            self._transport.write(encode_response(response, is_last))
            self._account_body(-len(response.body))
            self._account_unsent()
            self._active_at = asyncio.get_running_loop().time()
            if is_last:
                self._close_after_response()
                return
        self._apply_backpressure()

    def _close_after_response(self) -> None:
        """Drop the requests that follow a closing response, as if they had not been read."""
        for pending in self._pending:
            pending.task.cancel()
        self._pending.clear()
        self.close()

    def _reject(self, status: int, text: str) -> None:
        """Answer invalid input with an error after the pending responses, then close."""
        self._is_closing = True
        self._is_reading = False
        response = Response(status, [(b"Content-Type", b"text/plain")], text.encode() + b"\n")
        response.must_close = True

        async def respond() -> Response:
            return response

        task = asyncio.get_running_loop().create_task(respond())
        self._pending.append(PendingResponse(task))
        task.add_done_callback(lambda _: self._flush())

    def _apply_backpressure(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        should_pause = self._is_write_buffer_full or len(self._pending) >= MAX_PIPELINED
        if should_pause and not self._is_paused:
            self._transport.pause_reading()
        elif not should_pause and self._is_paused:
            self._transport.resume_reading()
        self._is_paused = should_pause

    def _count_header_bytes(self, data: bytes) -> None:
        end = data.find(b"\r\n\r\n")
        self._header_bytes += len(data) if end < 0 else end
        if self._header_bytes > self._read_limits().header_bytes:
            raise BadRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "The headers are too large."
            )
        if end >= 0:
            self._header_bytes = 0

    def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        now, limits = loop.time(), self._read_limits()
        self._timer = loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        if self._is_closing:
            return
        if self._is_reading_headers and now - self._message_started_at > limits.header_s:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, "The headers took too long.")
        elif self._is_reading and now - self._active_at > limits.idle_s:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, "The body took too long.")
        elif self.is_idle and now - self._active_at > limits.idle_s:
            self.close()


def check_framing(headers: list[tuple[bytes, bytes]]) -> int:
    """Content-Length of a request, 0 if it has none; rejects ambiguous framing."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) != 1:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "Exactly one Host header is needed.")
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "The body's length is ambiguous.")
    if codings and codings[0].strip().lower() != b"chunked":
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "The transfer coding is not supported.")
    if not lengths:
        return 0
    if not lengths[0].isdigit():
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "The Content-Length is not a number.")
    return int(lengths[0])


def encode_response(response: Response, is_last: bool) -> bytes:
    """Encode a response, always with a Content-Length."""
    try:
        phrase = HTTPStatus(response.status).phrase.encode()
    except ValueError:
        phrase = b"Unknown"
    lines = [b"HTTP/1.1 %d %s" % (response.status, phrase)]
    lines += [name + b": " + value for name, value in response.headers]
    lines.append(b"Content-Length: %d" % len(response.body))
    if is_last:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


def _find_header(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes:
    return next((value for key, value in headers if key == name), b"")
