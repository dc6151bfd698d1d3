"""How long an idle connection to the servers of a service may be reused.

Load pattern: servers, or a device on the path, drop idle connections silently and reset the next
request on them. A request that must not be retried is lost that way.

Pure state: ``now`` is in seconds of a monotonic clock.
"""

from dataclasses import dataclass

MAX_UNSAFE_IDLE_S = 3.0
"""Longest idle time for requests that must not be retried, since a connection may have been dropped
without a sign of it."""
MAX_STALE_LOSS_S = 0.25
"""A connection that is lost within this time after a send was dropped before: a round trip between
the farthest regions and a retransmission."""
LEARNED_SHARE = 0.5
"""The limit is set to this share of the idle time after which a connection was found dropped, since
other connections are dropped after less."""
MIN_IDLE_S = 0.05
"""Shorter idle times are those of a busy server, whose connections are lost for other reasons."""
DOUBLING_S = 10.0
"""The learned limit doubles after each period of this length, since such faults last a few
seconds."""
FORGET_AFTER_S = 100.0
"""Ten doublings, after which the limit has no effect."""


@dataclass(slots=True)
class IdleLimit:
    """Longest idle time allowed at one service, learned from connections that were dropped."""

    learned_s: float = float("inf")
    learned_at: float = 0.0

    def limit_s(self, must_not_retry: bool, now: float) -> float:
        """Idle time after which a connection is replaced by a new one."""
        age_s = now - self.learned_at
        is_forgotten = age_s > FORGET_AFTER_S
        learned_s = float("inf") if is_forgotten else self.learned_s * 2 ** (age_s / DOUBLING_S)
        return min(learned_s, MAX_UNSAFE_IDLE_S) if must_not_retry else learned_s

    def note_lost(self, idle_s: float, lost_after_s: float, now: float) -> bool:
        """Record a request lost on a connection that was idle for ``idle_s``.

        Returns whether the idle time may be the cause.
        """
        if lost_after_s > MAX_STALE_LOSS_S or idle_s < MIN_IDLE_S:
            return False
        self.learned_s = max(MIN_IDLE_S, min(self.limit_s(False, now), idle_s * LEARNED_SHARE))
        self.learned_at = now
        return True
