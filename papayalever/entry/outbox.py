"""Writes messages to a peer piece by piece, no faster than it reads them."""

import asyncio
from collections import deque
from collections.abc import Iterable

SLICE_BYTES = 64 * 1024
"""Most that is handed to the transport at a time, which copies what the socket does not take."""
JOINED_BYTES = 16 * 1024
"""Messages up to this size are written at once, which saves calls of the system."""

Piece = bytes | bytearray | memoryview


class Outbox:
    """Pieces that are not written yet; the owner reports when the transport pauses and resumes."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._pieces: deque[Piece] = deque()
        self._queued_bytes = 0
        self._is_full = False

    def open(self, transport: asyncio.Transport) -> None:
        """Write to a transport from now on."""
        self._transport = transport
        transport.set_write_buffer_limits(high=SLICE_BYTES)

    @property
    def is_empty(self) -> bool:
        """Whether the system has taken every byte."""
        return self.unsent_bytes == 0

    @property
    def has_queued(self) -> bool:
        """Whether there are pieces that the transport did not get yet."""
        return bool(self._pieces)

    @property
    def is_full(self) -> bool:
        """Whether the peer reads slower than messages are written."""
        return self._is_full

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the system has not taken yet."""
        buffered = self._transport.get_write_buffer_size() if self._transport else 0
        return self._queued_bytes + buffered

    def put(self, pieces: Iterable[Piece]) -> None:
        """Write pieces in order, as soon as the peer reads them."""
        added = [piece for piece in pieces if piece]
        size = sum(map(len, added))
        self._pieces.extend([b"".join(added)] if size <= JOINED_BYTES else added)
        self._queued_bytes += size
        self._pump()

    def pause(self) -> None:
        """The transport's buffer is full."""
        self._is_full = True

    def resume(self) -> None:
        """The transport's buffer has room again."""
        self._is_full = False
        self._pump()

    def clear(self) -> None:
        """Drop what is not written yet."""
        self._pieces.clear()
        self._queued_bytes = 0

    def _pump(self) -> None:
        while self._pieces and not self._is_full and not self._transport.is_closing():
            piece = self._pieces.popleft()
            if len(piece) > SLICE_BYTES:
                view = memoryview(piece)
                self._pieces.appendleft(view[SLICE_BYTES:])
                piece = view[:SLICE_BYTES]
            self._queued_bytes -= len(piece)
            self._transport.write(piece)
