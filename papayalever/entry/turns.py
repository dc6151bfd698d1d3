"""What is read from callers at a turn of the event loop."""

from dataclasses import dataclass, field

READ_BYTES = 32 * 1024
"""Most that is read from one caller's connection at a turn of the event loop."""


@dataclass(slots=True)
class ReadTurns:
    """The buffer that all connections read into."""

    buffer: memoryview = field(default_factory=lambda: memoryview(bytearray(READ_BYTES)))
    """Each read is parsed before the next one."""
