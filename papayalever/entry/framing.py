"""Limits on the bytes of one connection that are not part of a body.

Load pattern: a peer sends header lines, interim responses, chunk extensions or trailers without
end, until the receiver closes the connection.
"""

from dataclasses import dataclass

MAX_FRAMING_BYTES = 64 * 1024
"""Limit on the bytes of a message that are not its body, apart from those of its chunks: four times
the default limit on a caller's headers."""
CHUNK_FRAMING_RATIO = 8
"""Framing bytes allowed for each byte of a body; a chunk of one byte has six."""
PIECE_FRAMING_BYTES = 32
"""Framing bytes allowed for each piece of a body, for a chunk's size and its line ends."""


@dataclass(slots=True)
class FramingMeter:
    """Counts the received bytes of one exchange, which may consist of several messages."""

    received_bytes: int = 0
    body_bytes: int = 0
    pieces: int = 0

    def note_received(self, size: int) -> None:
        """Count bytes as they arrive."""
        self.received_bytes += size

    def note_body(self, size: int) -> None:
        """Count the bytes of a body among them."""
        self.body_bytes += size
        self.pieces += 1

    @property
    def is_exceeded(self) -> bool:
        """Whether the bytes that are not part of a body exceed the limit."""
        framing_bytes = self.received_bytes - self.body_bytes
        allowed = min(CHUNK_FRAMING_RATIO * self.body_bytes, PIECE_FRAMING_BYTES * self.pieces)
        return framing_bytes > MAX_FRAMING_BYTES + allowed
