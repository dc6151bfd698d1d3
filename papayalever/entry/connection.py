"""One connection to a backend server or to the store: one request at a time."""

import asyncio
import socket
from collections.abc import Callable
from enum import StrEnum, auto

import httptools

from .messages import ServerAnswer

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
"""A connection that went silent is noticed in 3 s, within the 4 s after which bounds hold again."""
UNACKNOWLEDGED_MS = 1500
"""Bytes that the peer has not acknowledged: four retransmissions in one region."""
MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""A larger answer is not held; a seventh of the smallest instance's memory."""


class SendFailure(StrEnum):
    """How a send ended without an answer."""

    NOT_CONNECTED = auto()
    """Nothing was sent."""
    STALE = auto()
    """The connection ended right behind a request that followed a rest: the peer had forgotten it.
    The request may have run all the same."""
    LOST = auto()
    """The connection ended; the request may have run."""
    GARBLED = auto()
    """What came was no answer, or not a whole one."""
    TIMEOUT = auto()


class SendError(Exception):
    """A send without an answer."""

    def __init__(self, failure: SendFailure, detail: str = "", is_refused: bool = False) -> None:
        super().__init__(f"{failure}: {detail}" if detail else str(failure))
        self.failure = failure
        self.detail = detail
        self.is_refused = is_refused
        """Nobody listens at the address."""


class PeerConnection(asyncio.Protocol):
    """Client side of one connection.

    ``belongs`` tells whether an answer is for the request that waits: a late second answer of an
    earlier request may come first, and is passed over.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[ServerAnswer] | None = None
        self._belongs: Callable[[ServerAnswer], bool] | None = None
        self._is_head_request = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._reason = b""
        self._body = bytearray()
        self._is_in_answer = False
        self._is_body_open_ended = False
        self.is_usable = True
        """Whether another request may be sent."""
        self.idle_since = 0.0
        self.rested_s = 0.0
        """How long it had rested before its newest request, 0 for the first one."""
        self.used = 0
        self.idle_limit_s: float | None = None
        """Idle time after which the peer closes, as it said last."""

    # Transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notice silent peers early."""
        self._transport = transport
        _set_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse what comes; bytes that nobody asked for spoil the connection."""
        if self._waiter is None or self._waiter.done():
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(SendFailure.GARBLED, str(error))

    def eof_received(self) -> bool:
        """An answer without a length ends here; anything else is cut off."""
        self.is_usable = False
        if self._is_in_answer and self._is_body_open_ended:
            self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The request that waits gets no answer any more."""
        self.is_usable = False
        self._fail(SendFailure.LOST, str(exc or "closed"))

    # Parser.

    def on_message_begin(self) -> None:
        """An answer starts."""
        if self._waiter is None or self._waiter.done():
            # A second answer right behind the first.
            self._spoil()
        self._headers = []
        self._reason = b""
        self._body = bytearray()
        self._is_in_answer = True
        self._is_body_open_ended = False

    def on_status(self, status: bytes) -> None:
        """The reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Learn how the answer ends."""
        status = self._parser.get_status_code()
        names = {name for name, _ in self._headers}
        has_body = status >= 200 and status not in (204, 304)
        has_end = b"content-length" in names or b"transfer-encoding" in names
        self._is_body_open_ended = has_body and not has_end
        for name, value in self._headers:
            if name == b"keep-alive":
                self.idle_limit_s = read_keep_alive(value)
        if self._is_head_request:
            self.is_usable = False
            self.on_message_complete()

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self._body += body
        if len(self._body) > MAX_ANSWER_BYTES:
            self._fail(SendFailure.GARBLED, "the answer is too large to hold")

    def on_message_complete(self) -> None:
        """A whole answer: hand it to who waits if it is its own."""
        if not self._is_in_answer:
            return
        self._is_in_answer = False
        status = self._parser.get_status_code()
        if status < 200:
            return
        if self._is_body_open_ended or not self._parser.should_keep_alive():
            self.is_usable = False
        answer = ServerAnswer(status, self._reason, self._headers, bytes(self._body))
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        if self._belongs is None or self._belongs(answer):
            waiter.set_result(answer)
        else:
            # Its own answer may follow; the next request gets another connection.
            self.is_usable = False

    # Use.

    async def send(
        self,
        data: bytes,
        belongs: Callable[[ServerAnswer], bool] | None = None,
        is_head: bool = False,
    ) -> ServerAnswer:
        """Send a request and wait for its answer; raises `SendError`. Cancelling closes."""
        if self._transport is None or self._transport.is_closing() or not self.is_usable:
            raise SendError(SendFailure.NOT_CONNECTED, "closed while idle")
        self._waiter = asyncio.get_running_loop().create_future()
        self._belongs = belongs
        self._is_head_request = is_head
        self.used += 1
        self._transport.write(data)
        is_done = False
        try:
            answer = await self._waiter
            is_done = True
            # An answer that comes before the request was sent leaves bytes that belong nowhere.
            if self._transport.get_write_buffer_size():
                self.is_usable = False
            return answer
        finally:
            self._waiter = None
            if not is_done or not self.is_usable:
                self.close()

    def close(self) -> None:
        """Close at once; the peer drops a request that it still works on."""
        self.is_usable = False
        if self._transport and not self._transport.is_closing():
            self._transport.abort()

    def _spoil(self) -> None:
        self.is_usable = False
        if self._waiter is None:
            self.close()

    def _fail(self, failure: SendFailure, detail: str) -> None:
        self.is_usable = False
        if self._waiter and not self._waiter.done():
            self._waiter.set_exception(SendError(failure, detail))


async def connect(address: str, timeout_s: float) -> PeerConnection:
    """Open a connection; raises `SendError` with `SendFailure.NOT_CONNECTED`."""
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(PeerConnection, host, int(port))
    except ConnectionRefusedError as error:
        raise SendError(SendFailure.NOT_CONNECTED, "refused", True) from error
    except TimeoutError as error:
        raise SendError(SendFailure.NOT_CONNECTED, "no answer to the connection") from error
    except OSError as error:
        raise SendError(SendFailure.NOT_CONNECTED, str(error)) from error
    return protocol


def read_keep_alive(value: bytes) -> float | None:
    """Idle time in seconds of a Keep-Alive header, None if it states none."""
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.isdigit():
            return float(text)
    return None


def _set_options(sock: socket.socket | None) -> None:
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
