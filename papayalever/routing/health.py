"""Whether a backend server finishes what it takes, from the sends of all instances.

Load patterns: servers whose health answers are good while they fail or never answer all they run;
servers that go down and up by turns. Each instance alone would send its own requests into them
before it knew; the server's owner hears how every send ended.

Pure state: ``now`` is in seconds of the owner's monotonic clock.
"""

from dataclasses import dataclass
from enum import StrEnum, auto

FAILURES_TO_EJECT = 3
"""Failures in a row. Sound servers fail 4 of 1,000 requests: three in a row are one in 10^7."""
FIRST_EJECT_S = 0.5
MAX_EJECT_S = 2.0
"""A server that recovered is asked again at least so often; faults last some seconds."""
STALL_SHARE = 2.0
"""Of a request's aim: a server that did not answer for so long when its caller or its time limit
ended it counts as failed. Slow servers answer within it."""
MIN_STALL_S = 1.0
"""The shortest such time; a cold run of the urgent kinds takes 0.4 to 0.8 s."""


class RunEnd(StrEnum):
    """How a send ended, as far as it tells of the server."""

    GOOD = auto()
    """The server gave an answer of its own that is no failure."""
    FAILED = auto()
    """It could not be reached, broke off, failed the request or stayed silent."""
    UNKNOWN = auto()
    """It refused, or the request ended too early to tell."""


@dataclass(slots=True)
class ServerHealth:
    """Failures in a row at one server, whichever instance met them."""

    failures: int = 0
    ejected_until: float = float("-inf")

    def note(self, end: RunEnd, now: float) -> None:
        """Take the end of a send into account."""
        if end == RunEnd.GOOD:
            self.failures = 0
        elif end == RunEnd.FAILED:
            self.failures += 1
            if self.is_failing:
                doublings = self.failures - FAILURES_TO_EJECT
                self.ejected_until = now + min(MAX_EJECT_S, FIRST_EJECT_S * 2**doublings)

    @property
    def is_failing(self) -> bool:
        """Whether nothing but failures was heard of it lately."""
        return self.failures >= FAILURES_TO_EJECT

    def limit_places(self, places: int, now: float) -> int:
        """Places that the server may have: all, none while ejected, then one for a trial."""
        if not self.is_failing:
            return places
        return 0 if now < self.ejected_until else 1


def judge_silence(waited_s: float, aim_s: float) -> RunEnd:
    """What it tells of a server that a request was ended after ``waited_s`` without an answer."""
    stall_s = max(MIN_STALL_S, STALL_SHARE * aim_s)
    return RunEnd.FAILED if waited_s >= stall_s else RunEnd.UNKNOWN
