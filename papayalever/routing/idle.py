"""How long a rested connection to the servers of a service may be used again.

Load pattern: servers, or something on the way, forget connections that rested, and reset the next
request on them. A request that must not repeat is lost by that.

Pure state: ``now`` is in seconds of a monotonic clock.
"""

from dataclasses import dataclass

FRESH_S = 3.0
"""For requests that must not repeat: the longest rest of a connection that may have gone silent
unnoticed."""
LOST_AT_ONCE_S = 0.25
"""A connection that ends so soon behind a request was gone before it: a round trip between the
farthest regions and a retransmission."""
LEARNED_SHARE = 0.5
"""Of the rest after which a connection was found gone; others rest for less before they are."""
LEAST_S = 0.05
"""Shorter rests are those of a busy server, whose connections end for other reasons."""
DOUBLED_EACH_S = 10.0
"""How fast what was learned is forgotten: such faults last some seconds."""
FORGOTTEN_S = 100.0
"""Ten doublings: nothing is left of it."""


@dataclass(slots=True)
class IdleTrust:
    """Longest rest that is trusted at one service, learned from connections that were gone."""

    learned_s: float = float("inf")
    learned_at: float = 0.0

    def limit_s(self, must_not_repeat: bool, now: float) -> float:
        """Rest after which a connection is replaced by a new one."""
        age_s = now - self.learned_at
        is_forgotten = age_s > FORGOTTEN_S
        learned_s = float("inf") if is_forgotten else self.learned_s * 2 ** (age_s / DOUBLED_EACH_S)
        return min(learned_s, FRESH_S) if must_not_repeat else learned_s

    def note_lost(self, rested_s: float, lost_after_s: float, now: float) -> bool:
        """A request on a rested connection was lost; returns whether the rest may be the cause."""
        if lost_after_s > LOST_AT_ONCE_S or rested_s < LEAST_S:
            return False
        self.learned_s = max(LEAST_S, min(self.limit_s(False, now), rested_s * LEARNED_SHARE))
        self.learned_at = now
        return True
