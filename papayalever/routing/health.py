"""Failure detection for backend servers, from the outcomes of the sends of all instances.

Load patterns: servers that pass health checks while every request fails or gets no response;
servers that flap. If each instance detected failures alone, each would lose requests of its own
first. The owner of a server is told the outcome of every send instead.

Pure state: ``now`` is in seconds of the owner's monotonic clock.
"""

from dataclasses import dataclass
from enum import StrEnum, auto

FAILURES_TO_EJECT = 3
"""Consecutive failures before ejection. Healthy servers fail 4 of 1,000 requests, so that three in
a row happen once in 10^7."""
FIRST_EJECT_S = 0.5
MAX_EJECT_S = 2.0
"""An ejected server is probed at least this often, since faults last a few seconds."""
STALL_TARGET_RATIO = 2.0
"""A request ended by its caller or its timeout counts as a failure of the server if it had waited
for this multiple of its latency target. Slow servers respond within it."""
MIN_STALL_S = 1.0
"""Lower bound of that time; a cold run of an urgent request takes 0.4 to 0.8 s."""


class SendOutcome(StrEnum):
    """What the end of a send shows about the server's health."""

    GOOD = auto()
    """The server itself sent a response that is not a failure."""
    FAILED = auto()
    """The server was unreachable, broke the connection, failed the request or did not respond."""
    UNKNOWN = auto()
    """The server refused the request, or the request ended too early to tell."""


@dataclass(slots=True)
class ServerHealth:
    """Consecutive failures at one server, counted over all instances."""

    failures: int = 0
    ejected_until: float = float("-inf")

    def note(self, outcome: SendOutcome, now: float) -> None:
        """Record the outcome of a send."""
        if outcome == SendOutcome.GOOD:
            self.failures = 0
        elif outcome == SendOutcome.FAILED:
            self.failures += 1
            if self.is_failing:
                doublings = self.failures - FAILURES_TO_EJECT
                self.ejected_until = now + min(MAX_EJECT_S, FIRST_EJECT_S * 2**doublings)

    @property
    def is_failing(self) -> bool:
        """Whether the latest `FAILURES_TO_EJECT` known outcomes all were failures."""
        return self.failures >= FAILURES_TO_EJECT

    def limit_permits(self, permits: int, now: float) -> int:
        """Permits that may be granted: all of them, none while ejected, then one as a probe."""
        if not self.is_failing:
            return permits
        return 0 if now < self.ejected_until else 1


def classify_unanswered(waited_s: float, target_s: float) -> SendOutcome:
    """Outcome of a send that was ended after ``waited_s`` without a response."""
    stall_s = max(MIN_STALL_S, STALL_TARGET_RATIO * target_s)
    return SendOutcome.FAILED if waited_s >= stall_s else SendOutcome.UNKNOWN
