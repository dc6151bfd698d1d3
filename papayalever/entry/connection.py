"""HTTP client connection to a backend server or to the store, with one request at a time."""

import asyncio
import socket
import time
from collections.abc import Callable, Container
from enum import StrEnum, auto

import httptools

from ..sockets import count_unacknowledged, detect_silent_peer
from .bodies import Body
from .clock import now
from .framing import FramingMeter
from .header_block import END, SEPARATOR, Headers, unpack_headers
from .memory import MessageMemory
from .messages import ServerResponse
from .outbox import Outbox
from .turns import ReadCosts, ReadTurns

MAX_RESPONSE_BYTES = 32 * 1024 * 1024
"""Limit on a buffered response body, which `MessageMemory` lowers while other messages are held."""
MAX_SKIPPED_RESPONSES = 4
"""Responses to other requests that are skipped before the connection counts as faulty."""
RESET_GRACE_S = 0.02
"""How long a reset may follow the end of a response without a length; only if there is none, the
response is whole."""
MIN_FINAL_STATUS = 200
"""Responses with a lower status are interim ones; they have no body, and others follow."""
STATUSES = range(100, 600)
"""Valid status codes."""
FINAL_STATUSES = range(MIN_FINAL_STATUS, 600)
"""Valid status codes of responses that are no interim ones."""

OnHead = Callable[[int, list[tuple[bytes, bytes]]], None]


class SendFailure(StrEnum):
    """Why a send yielded no response."""

    NOT_CONNECTED = auto()
    """Nothing was sent."""
    WITHDRAWN = auto()
    """Nothing was sent, since the server takes no more requests."""
    STALE = auto()
    """A reused idle connection broke right after the send: the peer had already dropped it. The
    request may have run nevertheless."""
    LOST = auto()
    """The connection broke after the send; the request may have run."""
    GARBLED = auto()
    """The received data was not a valid, complete response."""
    TIMEOUT = auto()


class SendError(Exception):
    """A send failed; ``failure`` tells whether the request may have run."""

    def __init__(
        self,
        failure: SendFailure,
        detail: str = "",
        is_refused: bool = False,
        is_server_fault: bool | None = None,
    ) -> None:
        super().__init__(f"{failure}: {detail}" if detail else str(failure))
        self.failure = failure
        self.detail = detail
        self.is_refused = is_refused
        """Whether the peer refused the TCP connection: no process listens at the address."""
        self.is_server_fault = is_server_fault
        """Whether the server is to blame and not the path to it, None if that is not decided."""


class ClientConnection(asyncio.BufferedProtocol):
    """Client side of one HTTP connection.

    The ``matches`` argument of `send` tells whether a response belongs to the current request: a
    late second response to an earlier request may arrive first and is skipped. The bytes of a
    response are limited: framing, body, and what all connections with the same ``memory`` hold.
    Parsing takes its turn with all connections that have the same ``turns``.
    """

    def __init__(self, memory: MessageMemory | None = None, turns: ReadTurns | None = None) -> None:
        self._memory = memory or MessageMemory(MAX_RESPONSE_BYTES)
        self._turns = turns or ReadTurns()
        self._costs = ReadCosts()
        self._pause_timer: asyncio.TimerHandle | None = None
        """Set while reading pauses after input that was expensive to parse."""
        self._is_expensive = False
        """Whether the response was expensive to parse so far."""
        self._held_bytes = 0
        """Memory that is counted for the response."""
        self._loose_bytes = 0
        """Received since the last piece of a body; the parser may hold them."""
        self._has_piece = False
        """Whether the current read had a piece of a body."""
        self._meter = FramingMeter()
        self._skipped = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[ServerResponse] | None = None
        self._on_head: OnHead | None = None
        self._matches: Callable[[ServerResponse], bool] | None = None
        self._is_head_request = False
        self._head = bytearray()
        """The headers as a block."""
        self._is_reading_head = False
        self._reason = b""
        self._head_at = 0.0
        self._body = Body()
        self._outbox = Outbox()
        self._is_in_response = False
        self._is_body_open_ended = False
        self.is_usable = True
        """Whether another request may be sent."""
        self.idle_since = 0.0
        self.idle_s = 0.0
        """How long the connection was idle before its latest request, 0 for the first one."""
        self.used = 0
        self.idle_limit_s: float | None = None
        """Idle timeout that the peer last announced in a Keep-Alive header."""

    # Transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect dead peers early."""
        self._transport = transport
        self._outbox.open(transport)
        sock = transport.get_extra_info("socket")
        detect_silent_peer(sock)
        if sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the next read."""
        return self._turns.choose_buffer(self._is_expensive)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read; input that was expensive to parse pauses the connection."""
        if self._waiter is None or self._waiter.done():
            # Unsolicited bytes belong to no request.
            self._mark_unusable()
            return
        loop, turns = asyncio.get_running_loop(), self._turns
        started = time.thread_time()
        self._feed(turns.buffer[:nbytes])
        cost_s = time.thread_time() - started
        if turns.note_cost(cost_s):
            loop.call_soon(turns.start_turn)
        pause_s = self._costs.compute_pause(cost_s, turns.paused, loop.time())
        if pause_s and self._is_open and self._pause_timer is None:
            self._is_expensive = True
            turns.paused += 1
            self._pause_timer = loop.call_later(pause_s, self._end_pause)
            self._transport.pause_reading()

    def _feed(self, data: memoryview) -> None:
        self._has_piece = False
        self._meter.note_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(SendFailure.GARBLED, str(error))
        if self._meter.is_exceeded:
            self._fail(SendFailure.GARBLED, "too many bytes that are not part of a body")
        self._loose_bytes = 0 if self._has_piece else self._loose_bytes + len(data)
        if self._waiter and not self._waiter.done():
            self._hold(len(self._head) + len(self._body) + self._loose_bytes)

    def _hold(self, size: int) -> None:
        """Count the memory of the response, unless there is no room for it."""
        self._memory.hold_response(size - self._held_bytes)
        self._held_bytes = size
        if len(self._body) > MAX_RESPONSE_BYTES or not self._memory.may_grow(size):
            self._fail(SendFailure.GARBLED, "the response is too large")

    def _end_pause(self) -> None:
        if self._pause_timer is None:
            return
        self._pause_timer.cancel()
        self._pause_timer = None
        self._turns.paused -= 1
        if self._is_open:
            self._transport.resume_reading()

    @property
    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def eof_received(self) -> bool:
        """Complete a response without a length unless a reset follows; others are truncated."""
        self.is_usable = False
        if not (self._is_in_response and self._is_body_open_ended):
            return False
        if self._is_request_unsent():
            self._fail(SendFailure.LOST, "the connection ended before the request was sent")
            return False
        asyncio.get_running_loop().call_later(RESET_GRACE_S, self._complete_at_end)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self.is_usable = False
        self._fail(SendFailure.LOST, str(exc or "closed"))
        self._end_pause()
        self._outbox.clear()
        # The parser refers back to this object, which would wait for the garbage collector.
        self._parser = None

    def pause_writing(self) -> None:
        """Keep the rest of a request while the server does not read."""
        self._outbox.pause()

    def resume_writing(self) -> None:
        """Go on to write a request."""
        self._outbox.resume()

    def _complete_at_end(self) -> None:
        if not self._transport or self._transport.is_closing():
            return
        sock = self._transport.get_extra_info("socket")
        if sock and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail(SendFailure.LOST, "the connection was reset after its end")
            return
        self.on_message_complete()

    def _is_request_unsent(self) -> bool:
        """Whether the server has not received the whole request."""
        sock = self._transport.get_extra_info("socket")
        return not self._outbox.is_empty or count_unacknowledged(sock) > 0

    # Parser.

    def on_message_begin(self) -> None:
        """Start a response."""
        if self._waiter is None or self._waiter.done():
            # A second response follows the first.
            self._mark_unusable()
        self._head = bytearray()
        self._reason = b""
        self._body = Body()
        self._is_in_response = self._is_reading_head = True
        self._is_body_open_ended = False

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are dropped."""
        if not self._is_reading_head:
            return
        if b"\n" in value or b"\r" in value:
            self._fail(SendFailure.GARBLED, "a header has a line end in its value")
            return
        self._head += name.lower() + SEPARATOR + value + END

    def on_headers_complete(self) -> None:
        """Determine how the end of the response is marked."""
        self._head_at = now()
        self._is_reading_head = False
        status = self._parser.get_status_code()
        headers = self._unpack_head()
        names = {name for name, _ in headers}
        if fault := find_status_fault(status, names):
            self._fail(SendFailure.GARBLED, fault)
            return
        has_body = status >= MIN_FINAL_STATUS and status not in (204, 304)
        has_end = b"content-length" in names or b"transfer-encoding" in names
        self._is_body_open_ended = has_body and not has_end
        for name, value in headers:
            if name == b"keep-alive":
                self.idle_limit_s = read_keep_alive(value)
        if self._on_head and status >= MIN_FINAL_STATUS:
            self._on_head(status, headers)
        if self._is_head_request:
            self.is_usable = False
            self.on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body."""
        if self._waiter is None or self._waiter.done():
            return
        self._has_piece = True
        self._body.append(body)
        self._meter.note_body(len(body))

    def on_message_complete(self) -> None:
        """Deliver a complete response to the pending request if it matches."""
        if not self._is_in_response:
            return
        self._is_in_response = False
        status = self._parser.get_status_code()
        if status < MIN_FINAL_STATUS:
            return
        if self._is_body_open_ended or not self._parser.should_keep_alive():
            self.is_usable = False
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        response = ServerResponse(
            status, self._reason, self._unpack_head(), self._body.join(), self._head_at
        )
        self._body.clear()
        if self._matches is None or self._matches(response):
            waiter.set_result(response)
            return
        # The matching response may follow; the next request uses another connection.
        self.is_usable = False
        self._release_memory()
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_RESPONSES:
            self._fail(SendFailure.GARBLED, "too many responses to other requests")

    # Use.

    async def send(
        self,
        data: bytes,
        matches: Callable[[ServerResponse], bool] | None = None,
        is_head: bool = False,
        on_head: OnHead | None = None,
        body: Body | None = None,
    ) -> ServerResponse:
        """Send a request and wait for its response; raises `SendError`.

        ``body`` follows ``data``, in its pieces and as fast as the server reads.
        ``on_head`` gets the status and headers of each response as soon as they are there.
        Cancellation closes the connection.
        """
        if self._transport is None or self._transport.is_closing() or not self.is_usable:
            raise SendError(SendFailure.NOT_CONNECTED, "the connection was closed while idle")
        self._waiter = asyncio.get_running_loop().create_future()
        self._matches = matches
        self._on_head = on_head
        self._is_head_request = is_head
        self.used += 1
        self._meter = FramingMeter()
        self._skipped = self._loose_bytes = 0
        self._is_expensive = False
        self._outbox.put((data, *(body.pieces() if body else ())))
        is_complete = False
        try:
            response = await self._waiter
            is_complete = True
            # A response that precedes the end of the request leaves unsent bytes in the buffer.
            if not self._outbox.is_empty:
                self.is_usable = False
            return response
        finally:
            # An idle connection keeps nothing of the request and its response.
            self._waiter = self._matches = self._on_head = None
            self._head = bytearray()
            self._body.clear()
            self._outbox.clear()
            self._release_memory()
            if not is_complete or not self.is_usable:
                self.close()

    def close(self) -> None:
        """Close at once; the peer cancels a request that it still runs."""
        self.is_usable = False
        if self._transport and not self._transport.is_closing():
            self._transport.abort()

    def _mark_unusable(self) -> None:
        self.is_usable = False
        if self._waiter is None:
            self.close()

    def _unpack_head(self) -> Headers:
        return unpack_headers(bytes(self._head))

    def _release_memory(self) -> None:
        self._memory.hold_response(-self._held_bytes)
        self._held_bytes = 0

    def _fail(self, failure: SendFailure, detail: str) -> None:
        self.is_usable = False
        if failure == SendFailure.GARBLED and self._transport:
            # The peer may go on to send until the connection is closed.
            self._transport.abort()
            self._head = bytearray()
            self._body.clear()
        if self._waiter and not self._waiter.done():
            self._waiter.set_exception(SendError(failure, detail))


async def connect(
    address: str,
    timeout_s: float,
    memory: MessageMemory | None = None,
    turns: ReadTurns | None = None,
) -> ClientConnection:
    """Open a connection; raises `SendError` with `SendFailure.NOT_CONNECTED`.

    Responses count as used in ``memory`` until they are delivered, and are parsed in ``turns``.
    """
    loop = asyncio.get_running_loop()
    try:
        host, port = address.rsplit(":", 1)
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: ClientConnection(memory, turns), host, int(port)
            )
    except ConnectionRefusedError as error:
        raise SendError(SendFailure.NOT_CONNECTED, "connection refused", True) from error
    except TimeoutError as error:
        raise SendError(
            SendFailure.NOT_CONNECTED, "no response to the connection attempt"
        ) from error
    except (OSError, ValueError, OverflowError) as error:
        # The last two: the address is malformed.
        raise SendError(SendFailure.NOT_CONNECTED, str(error)) from error
    return protocol


def find_status_fault(status: int, names: Container[bytes]) -> str:
    """Why a response with these headers is none in the protocol, empty if it is one."""
    if status not in STATUSES:
        return f"{status:03} is no status code"
    if status < MIN_FINAL_STATUS and (b"content-length" in names or b"transfer-encoding" in names):
        return f"an interim response with status {status} has a body"
    return ""


def read_keep_alive(value: bytes) -> float | None:
    """Timeout in seconds of a Keep-Alive header, None if it has none."""
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.isdigit():
            return float(text)
    return None
