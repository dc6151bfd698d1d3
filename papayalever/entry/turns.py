"""Shares the processor between connections whose input is expensive to parse and all others.

Load pattern: bodies in chunks of one byte, or heads of thousands of lines, take the processor for
milliseconds with each read, on many connections at a time, to callers or to servers. Requests of
others wait meanwhile, and connections to servers seem to time out.
"""

from dataclasses import dataclass, field

READ_BYTES = 32 * 1024
"""Most that is read from one connection at a turn of the event loop."""
SMALL_READ_BYTES = 2 * 1024
"""Most that is read once a turn has taken `TURN_S`; most requests without a body have less."""
TINY_READ_BYTES = 128
"""Most that is read then from a connection on which a request has begun: its rest waits, so that a
thousand connections take some 50 ms and not a second."""
TURN_S = 0.01
"""Time that parsing may take in one turn of the event loop before reads become small."""
EXPENSIVE_S = 0.002
"""Parsing that takes longer within `WINDOW_S` counts as expensive: a read of a usual body takes a
fiftieth of it."""
WINDOW_S = 0.1
"""Time over which the parsing of one connection's input is added up."""
MAX_COUNTED_S = 0.02
"""A read that seems to take longer was interrupted by other programs."""
PAUSE_FACTOR = 4
"""Pause after expensive input, in times of its cost and of the connections that pause, so that
parsing gets a quarter of the processor and what follows from it about another."""
MAX_PAUSE_S = 5.0


@dataclass(slots=True)
class ReadTurns:
    """The buffer that all connections read into, and the time that parsing took in this turn."""

    buffer: memoryview = field(default_factory=lambda: memoryview(bytearray(READ_BYTES)))
    """Each read is parsed before the next one."""
    spent_s: float = 0.0
    paused: int = 0
    """Connections that pause after expensive input."""

    def choose_buffer(self, has_begun: bool) -> memoryview:
        """The part of the buffer for the next read; ``has_begun`` if it continues a request."""
        if self.spent_s < TURN_S:
            return self.buffer
        return self.buffer[: TINY_READ_BYTES if has_begun else SMALL_READ_BYTES]

    def note_cost(self, cost_s: float) -> bool:
        """Count a read; returns whether it was the first one of this turn."""
        is_first = self.spent_s == 0.0
        self.spent_s += cost_s
        return is_first and cost_s > 0.0

    def start_turn(self) -> None:
        """A new turn of the event loop has begun."""
        self.spent_s = 0.0


@dataclass(slots=True)
class ReadCosts:
    """What parsing the input of one connection took lately."""

    sum_s: float = 0.0
    since: float = 0.0

    def compute_pause(self, cost_s: float, paused: int, now: float) -> float:
        """Seconds to pause after a read that took ``cost_s``, 0 if the input is not expensive.

        ``paused`` is the number of other connections that pause.
        """
        if now - self.since > WINDOW_S:
            self.sum_s, self.since = 0.0, now
        self.sum_s += min(cost_s, MAX_COUNTED_S)
        if self.sum_s < EXPENSIVE_S:
            return 0.0
        pause_s = self.sum_s * PAUSE_FACTOR * (1 + paused)
        self.sum_s = 0.0
        return min(MAX_PAUSE_S, pause_s)
