"""A message body, kept once in the pieces in which it arrived."""

from collections.abc import Iterator

PIECE_BYTES = 64 * 1024
"""Small parts are joined up to this size: one object for each would cost more than its bytes."""
SMALL_PART_BYTES = 4 * 1024


class Body:
    """Bytes in pieces; ``len`` gives their number."""

    __slots__ = ("_pieces", "_size")

    def __init__(self, data: bytes = b"") -> None:
        self._pieces: list[bytes | bytearray] = [data] if data else []
        self._size = len(data)

    def __len__(self) -> int:
        return self._size

    def append(self, part: bytes) -> None:
        """Add bytes at the end."""
        self._size += len(part)
        last = self._pieces[-1] if self._pieces else b""
        if isinstance(last, bytearray) and len(last) + len(part) <= PIECE_BYTES:
            last += part
        else:
            self._pieces.append(bytearray(part) if len(part) < SMALL_PART_BYTES else part)

    def pieces(self) -> Iterator[bytes | bytearray]:
        """The pieces in order."""
        return iter(self._pieces)

    def join(self) -> bytes:
        """A copy of the whole body, or the only piece."""
        return b"".join(self._pieces)

    def clear(self) -> None:
        """Drop the bytes, whoever still refers to this object."""
        self._pieces = []
        self._size = 0
