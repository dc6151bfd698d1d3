"""Connections between instances: requests and replies as WebSocket frames."""

import asyncio
import inspect
import itertools
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import logbook
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from ..sockets import detect_silent_peer
from .codec import decode, encode
from .exceptions import CodecError, PeerTimeoutError, PeerUnreachableError

CONNECT_TIMEOUT_S = 1.0
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 5.0
MAX_FRAME_BYTES = 32 * 1024 * 1024
IDLE_LINK_S = 60.0

log = logbook.Logger("links")

Handler = Callable[[Any], Any | Awaitable[Any]]


class Link:
    """One outgoing connection to a peer, with its socket and pending calls."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_closed = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self._socket: ClientConnection | None = None
        self._reader: asyncio.Task | None = None
        self._call_ids = itertools.count(1)
        self._reply_by_call: dict[int, asyncio.Future] = {}

    async def open(self) -> None:
        """Connect; raises `PeerUnreachableError`."""
        try:
            self._socket = await connect(
                f"ws://{self.address}/",
                open_timeout=CONNECT_TIMEOUT_S,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                close_timeout=1.0,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                proxy=None,
            )
        except (OSError, EOFError, ValueError, WebSocketException) as error:
            # A malformed address raises the last two.
            self.is_closed = True
            raise PeerUnreachableError(f"The connection to {self.address} failed.") from error
        detect_silent_peer(self._socket.transport.get_extra_info("socket"))
        self._reader = asyncio.create_task(self._read_replies(), name=f"link-{self.address}")

    async def request(self, message: Any) -> Any:
        """Send a message and wait for its reply; raises `PeerUnreachableError`."""
        call_id = next(self._call_ids)
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_call[call_id] = reply
        try:
            await self._send(call_id, message)
            return await reply
        finally:
            self._reply_by_call.pop(call_id, None)

    async def notify(self, message: Any) -> None:
        """Send a message without waiting for a reply; raises `PeerUnreachableError`."""
        await self._send(0, message)

    async def close(self) -> None:
        """Abort the connection and fail the pending calls."""
        self.is_closed = True
        if self._reader:
            self._reader.cancel()
        if self._socket:
            self._socket.transport.abort()
        self._fail_pending()

    async def _send(self, call_id: int, message: Any) -> None:
        frame = encode(call_id, message)
        self.sent_bytes += len(frame)
        try:
            await self._socket.send(frame)
        except ConnectionClosed as error:
            self.is_closed = True
            raise PeerUnreachableError(f"The connection to {self.address} was lost.") from error

    async def _read_replies(self) -> None:
        try:
            async for frame in self._socket:
                self.received_bytes += len(frame)
                call_id, message = decode(frame)
                reply = self._reply_by_call.get(call_id)
                if reply and not reply.done():
                    reply.set_result(message)
        except ConnectionClosed:
            return
        except CodecError as error:
            log.warning("reply not decoded, connection closed", peer=self.address, error=str(error))
            self._socket.transport.abort()
        finally:
            self.is_closed = True
            self._fail_pending()

    def _fail_pending(self) -> None:
        for reply in self._reply_by_call.values():
            if not reply.done():
                reply.set_exception(
                    PeerUnreachableError(f"The connection to {self.address} was lost.")
                )
                # Marks it as retrieved: the caller may have been cancelled meanwhile.
                reply.exception()


class LinkPool:
    """Outgoing connections by peer address, opened on first use and replaced after a failure."""

    def __init__(self) -> None:
        self._link_by_address: dict[str, asyncio.Task[Link]] = {}
        self._closed_bytes = 0
        self.sent_messages = 0

    async def request(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a message and return its reply.

        Raises `PeerTimeoutError` or `PeerUnreachableError`.
        """
        link = self._find_link(address)
        try:
            async with asyncio.timeout(timeout_s):
                link = link or await self._open_link(address)
                self.sent_messages += 1
                return await link.request(message)
        except TimeoutError as error:
            # Later calls on an unresponsive connection would time out, too: replace it.
            if link:
                await link.close()
            raise PeerTimeoutError(f"{address} did not answer within {timeout_s:g} s.") from error

    async def open(self, address: str, timeout_s: float) -> None:
        """Connect to a peer unless that is done; raises `PeerUnreachableError`."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._find_link(address) is None:
                    await self._open_link(address)
        except TimeoutError as error:
            raise PeerTimeoutError(f"{address} did not accept a connection.") from error

    async def notify(self, address: str, message: Any, timeout_s: float = 1.0) -> None:
        """Send a message without waiting for a reply; raises `PeerUnreachableError`."""
        try:
            async with asyncio.timeout(timeout_s):
                link = self._find_link(address) or await self._open_link(address)
                self.sent_messages += 1
                await link.notify(message)
        except TimeoutError as error:
            raise PeerTimeoutError(f"{address} did not accept a message.") from error

    @property
    def bytes(self) -> int:
        """Total size of the frames sent and received."""
        open_links = (task.result() for task in self._link_by_address.values() if _is_open(task))
        return self._closed_bytes + sum(
            link.sent_bytes + link.received_bytes for link in open_links
        )

    async def close(self) -> None:
        """Close every connection."""
        for task in self._link_by_address.values():
            if _is_open(task):
                await task.result().close()
            task.cancel()
        self._link_by_address.clear()

    def _find_link(self, address: str) -> Link | None:
        task = self._link_by_address.get(address)
        if task is None or not _is_open(task) or task.result().is_closed:
            return None
        return task.result()

    async def _open_link(self, address: str) -> Link:
        task = self._link_by_address.get(address)
        if task is None or _is_unusable(task):
            if task and _is_open(task):
                self._closed_bytes += task.result().sent_bytes + task.result().received_bytes
            task = asyncio.create_task(_dial(address), name=f"dial-{address}")
            self._link_by_address[address] = task
        return await asyncio.shield(task)


def _is_unusable(task: asyncio.Task[Link]) -> bool:
    if not task.done():
        return False
    return task.cancelled() or task.exception() is not None or task.result().is_closed


def _is_open(task: asyncio.Task[Link]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


async def _dial(address: str) -> Link:
    link = Link(address)
    await link.open()
    return link


class LinkServer:
    """Accepts connections from peers and passes their messages to a handler."""

    def __init__(self, address: str, handle: Handler) -> None:
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._handle = handle
        self._server: Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._sockets: set[ServerConnection] = set()
        self.received_messages = 0
        self.bytes = 0

    async def start(self) -> None:
        """Start to listen for peers."""
        self._server = await serve(
            self._serve_peer,
            self._host,
            self._port,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=1.0,
            max_size=MAX_FRAME_BYTES,
            compression=None,
        )

    async def close(self) -> None:
        """Stop listening and abort the connections, because a hung peer does not answer a close."""
        for socket in self._sockets:
            socket.transport.abort()
        if self._server:
            self._server.close()
            await self._server.wait_closed()
        for task in self._tasks:
            task.cancel()

    async def _serve_peer(self, socket: ServerConnection) -> None:
        self._sockets.add(socket)
        tasks: set[asyncio.Task] = set()
        try:
            async for frame in socket:
                await self._handle_frame(socket, frame, tasks)
        except ConnectionClosed:
            return
        except Exception as error:
            # A malformed message must end only the connection that carried it.
            log.warning("message not handled, connection closed", error=repr(error))
            socket.transport.abort()
        finally:
            self._sockets.discard(socket)
            # Nobody gets the replies any more.
            for task in tasks:
                task.cancel()

    async def _handle_frame(
        self, socket: ServerConnection, frame: bytes, tasks: set[asyncio.Task]
    ) -> None:
        self.received_messages += 1
        self.bytes += len(frame)
        call_id, message = decode(frame)
        result = self._handle(message)
        if inspect.isawaitable(result):
            self._reply_later(socket, call_id, result, tasks)
        elif call_id:
            await self._send(socket, call_id, result)

    async def _send(self, socket: ServerConnection, call_id: int, reply: Any) -> None:
        frame = encode(call_id, reply)
        self.bytes += len(frame)
        await socket.send(frame)

    async def _reply_when_done(
        self, socket: ServerConnection, call_id: int, result: Awaitable
    ) -> None:
        try:
            reply = await result
        except Exception as error:
            log.warning("message not handled, connection closed", error=repr(error))
            socket.transport.abort()
            return
        if call_id:
            with suppress(ConnectionClosed):
                await self._send(socket, call_id, reply)

    def _reply_later(
        self, socket: ServerConnection, call_id: int, result: Awaitable, tasks: set[asyncio.Task]
    ) -> None:
        task = asyncio.create_task(self._reply_when_done(socket, call_id, result))
        for started in (self._tasks, tasks):
            started.add(task)
            task.add_done_callback(started.discard)
