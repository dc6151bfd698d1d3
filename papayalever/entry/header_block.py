"""Headers as one block of bytes: thousands of short lines cost many times their size as objects."""

from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]

SEPARATOR = b": "
END = b"\r\n"
HEADER_OBJECT_BYTES = 170
"""Memory of a header as a pair of objects, besides its bytes."""


def pack_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """One block with a line for each header."""
    return b"".join(name + SEPARATOR + value + END for name, value in headers)


def count_headers(block: bytes) -> int:
    """How many headers a block has."""
    return block.count(END)


def unpack_headers(block: bytes) -> Headers:
    """The headers of a block, in order."""
    lines = block.split(END)
    # What follows the last line end is empty.
    lines.pop()
    return [(name, value) for name, _, value in (line.partition(SEPARATOR) for line in lines)]
