"""One caller's connection: requests in, answers out in the order of the requests.

Idempotent requests that a caller sends before the answer of the first run side by side. A server
library that works on one request of a connection at a time would let them wait for each other.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import httptools
import logbook

from ..routing.routes import CallerLimits
from .messages import Answer, CallerRequest

MAX_PIPELINED = 32
"""Requests of one connection in progress; reading pauses above, so that memory is bounded."""
READ_AHEAD_BYTES = 64 * 1024
"""Write buffer above which a caller that does not read its answers is not read either."""
TIMER_STEP_S = 0.25
"""How exactly the limits of time on a connection are kept."""

log = logbook.Logger("caller")

Handle = Callable[[CallerRequest], Awaitable[Answer]]


class BadRequestError(Exception):
    """A request that is not passed on; the connection can not be used further."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class BodyMemory:
    """Bytes of callers' bodies that one instance holds, and how many it may."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0


class CallerConnection(asyncio.Protocol):
    """Parses requests, runs the handler for each and writes the answers in order."""

    def __init__(
        self,
        handle: Handle,
        read_limits: Callable[[], CallerLimits],
        on_open: Callable[["CallerConnection"], None],
        on_close: Callable[["CallerConnection"], None],
        memory: BodyMemory,
    ) -> None:
        self._memory = memory
        self._held = 0
        self._handle = handle
        self._read_limits = read_limits
        self._on_open = on_open
        self._on_close = on_close
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[asyncio.Task[Answer]] = deque()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_reading = False
        self._is_ending = False
        self._is_paused = False
        self._is_full = False
        self._read_from = 0.0
        self._active_at = 0.0
        self._head_bytes = 0
        self._is_head = False
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
        """Start to watch the caller's time."""
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._active_at = loop.time()
        self._timer = loop.call_later(TIMER_STEP_S, self._check_time)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Parse; every whole request starts its handler."""
        if self._is_ending:
            return
        self._active_at = asyncio.get_running_loop().time()
        try:
            if self._is_head or not self._is_reading:
                self._count_head(data)
            self._parser.feed_data(data)
        except BadRequestError as error:
            self._end_with(error.status, str(error))
        except httptools.HttpParserUpgrade:
            self._end_with(HTTPStatus.NOT_IMPLEMENTED, "Upgrades are not supported.")
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                self._end_with(cause.status, str(cause))
            else:
                self._end_with(HTTPStatus.BAD_REQUEST, "The request is malformed.")

    def eof_received(self) -> bool:
        """The caller has left: nothing of its open requests is of use to anybody."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the work on requests whose caller has left."""
        self._is_ending = True
        if self._timer:
            self._timer.cancel()
        for task in self._pending:
            task.cancel()
        self._pending.clear()
        self._memory.used -= self._held
        self._held = 0
        self._on_close(self)

    def pause_writing(self) -> None:
        """The caller does not read: stop reading it."""
        self._is_full = True
        self._regulate()

    def resume_writing(self) -> None:
        """The caller reads again."""
        self._is_full = False
        self._regulate()

    def drain(self) -> None:
        """Tell the caller with the next answer to use another connection; close if idle."""
        self.is_draining = True
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Close after what is written."""
        self._is_ending = True
        if self._transport:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._is_ending = True
        if self._transport:
            self._transport.abort()

    # Parser.

    def on_message_begin(self) -> None:
        """A request starts."""
        self._is_reading = self._is_head = True
        self._read_from = asyncio.get_running_loop().time()
        self._target = b""
        self._headers = []
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """The target, perhaps in pieces."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check what frames the body before any of it is read."""
        self._is_head = False
        self._head_bytes = 0
        length = check_framing(self._headers)
        if length > self._read_limits().body_bytes:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "The body is too large.")
        if (b"expect", b"100-continue") in self._headers and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self._body += body
        self._hold(len(body))
        if self._memory.used > self._memory.limit:
            raise BadRequestError(HTTPStatus.SERVICE_UNAVAILABLE, "not run: no memory for it")
        if len(self._body) > self._read_limits().body_bytes:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "The body is too large.")

    def on_message_complete(self) -> None:
        """Start the handler of a whole request."""
        self._is_reading = False
        if self._is_ending:
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            host=_find(self._headers, b"host").decode("latin-1"),
            body=bytes(self._body),
            arrived_at=self._read_from,
            keep_alive=self._parser.should_keep_alive(),
        )
        self._body = bytearray()
        task = asyncio.get_running_loop().create_task(self._answer(request))
        self._pending.append(task)
        task.add_done_callback(lambda _: self._flush())
        self._regulate()

    async def _answer(self, request: CallerRequest) -> Answer:
        try:
            answer = await self._handle(request)
        except Exception as error:
            # A fault of the program must not hold its caller; what ran is not known.
            log.error("handler failed", target=request.target, error=repr(error))
            answer = Answer(HTTPStatus.BAD_GATEWAY, [], b"internal error\n", "internal error")
        finally:
            self._hold(-len(request.body))
        answer.must_close = answer.must_close or not request.keep_alive
        return answer

    # Answers.

    def _hold(self, size: int) -> None:
        size = max(size, -self._held)
        self._held += size
        self._memory.used += size

    def _flush(self) -> None:
        """Write the answers that are due, in order."""
        while self._pending and self._pending[0].done() and self._transport:
            task = self._pending.popleft()
            if task.cancelled():
                self._transport.abort()
                return
            answer = task.result()
            is_last = answer.must_close or (self.is_draining and not self._pending)
            self._transport.write(encode_answer(answer, is_last))
            self._active_at = asyncio.get_running_loop().time()
            if is_last:
                self._close_behind()
                return
        self._regulate()

    def _close_behind(self) -> None:
        """Requests behind an answer that closes count as not read; they are not run."""
        for task in self._pending:
            task.cancel()
        self._pending.clear()
        self.close()

    def _end_with(self, status: int, text: str) -> None:
        """Refuse input that can not be read on, behind the answers that are due."""
        self._is_ending = True
        self._is_reading = False
        answer = Answer(status, [(b"Content-Type", b"text/plain")], text.encode() + b"\n")
        answer.must_close = True

        async def give() -> Answer:
            return answer

        task = asyncio.get_running_loop().create_task(give())
        self._pending.append(task)
        task.add_done_callback(lambda _: self._flush())

    def _regulate(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        should_pause = self._is_full or len(self._pending) >= MAX_PIPELINED
        if should_pause and not self._is_paused:
            self._transport.pause_reading()
        elif not should_pause and self._is_paused:
            self._transport.resume_reading()
        self._is_paused = should_pause

    def _count_head(self, data: bytes) -> None:
        end = data.find(b"\r\n\r\n")
        self._head_bytes += len(data) if end < 0 else end
        if self._head_bytes > self._read_limits().header_bytes:
            raise BadRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "The headers are too large."
            )
        if end >= 0:
            self._head_bytes = 0

    def _check_time(self) -> None:
        loop = asyncio.get_running_loop()
        now, limits = loop.time(), self._read_limits()
        self._timer = loop.call_later(TIMER_STEP_S, self._check_time)
        if self._is_ending:
            return
        if self._is_head and now - self._read_from > limits.header_s:
            self._end_with(HTTPStatus.REQUEST_TIMEOUT, "The headers took too long.")
        elif self._is_reading and now - self._active_at > limits.idle_s:
            self._end_with(HTTPStatus.REQUEST_TIMEOUT, "The body took too long.")
        elif self.is_idle and now - self._active_at > limits.idle_s:
            self.close()


def check_framing(headers: list[tuple[bytes, bytes]]) -> int:
    """Length that a request announces, 0 if none; refuses every ambiguous framing."""
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


def encode_answer(answer: Answer, is_last: bool) -> bytes:
    """Bytes of a whole answer; the length is always stated."""
    try:
        phrase = HTTPStatus(answer.status).phrase.encode()
    except ValueError:
        phrase = b"Unknown"
    lines = [b"HTTP/1.1 %d %s" % (answer.status, phrase)]
    lines += [name + b": " + value for name, value in answer.headers]
    lines.append(b"Content-Length: %d" % len(answer.body))
    if is_last:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body


def _find(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes:
    return next((value for key, value in headers if key == name), b"")
