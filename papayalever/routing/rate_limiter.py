"""How several owners of a backend server keep the request rate that it takes from all instances.

Load pattern: instances lose their owner, or each other, while a server names a limit or is cold.
For a moment several instances then own the server, and each grants requests that the others do not
count. The first owners in order therefore have fixed shares, whose sum stays within the bounds of
the users' rules without a message: 1.5 times the rate, and 5 requests more.

Pure state: ``now`` is in seconds of the owner's monotonic clock.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from .owners import FIRST_SUSPECT_S

WINDOW_S = 4.0
"""Span over which the users' rule counts the requests of all instances."""
PROBE_INTERVAL_S = 10.0
"""A server with a limit near 0 still gets a request this often: only a response ends a limit."""


@dataclass(frozen=True, slots=True)
class RateShare:
    """Part of a server's limit that one owner may grant."""

    per_s: float
    """Requests per second, 0 if it may grant none."""
    burst: int = 1
    """Requests that may follow each other at once after a pause."""


NO_SHARE = RateShare(0.0, 0)
"""Other owners are asked first; they are again after `FIRST_SUSPECT_S`."""
SHARES_BY_RANK = (RateShare(1.0, 2), RateShare(0.25, 1), RateShare(0.15, 1))
"""Shares of a limit of 1, by the owner's position in the order of owners. The first one alone uses
the whole limit; the others serve while it does not answer."""


def compute_share(limit_per_s: float, rank: int | None) -> RateShare:
    """The part of a limit that the owner at a position may grant; None is no owner's position."""
    if rank is None or rank >= len(SHARES_BY_RANK):
        return NO_SHARE
    share = SHARES_BY_RANK[rank]
    least_per_s = 0.0 if rank else 1.0 / PROBE_INTERVAL_S
    return RateShare(max(least_per_s, share.per_s * limit_per_s), share.burst)


@dataclass(slots=True)
class RateLimiter:
    """A token bucket and the grants of the last window, for one server.

    It starts without tokens, since an earlier owner may just have used them.
    """

    share: RateShare
    updated_at: float
    _tokens: float = 0.0
    _granted_at: deque[float] = field(default_factory=deque)

    def set_share(self, share: RateShare, now: float) -> None:
        """Use another share from now on."""
        self._refill(now)
        self.share = share
        self._tokens = min(self._tokens, share.burst)

    def has_room(self, now: float) -> bool:
        """Whether one more request may be granted.

        The window counts what was granted under an earlier, higher limit.
        """
        self._refill(now)
        while self._granted_at and self._granted_at[0] <= now - WINDOW_S:
            self._granted_at.popleft()
        return self._tokens >= 1.0 and len(self._granted_at) + 1 <= self._most

    def is_unused(self, now: float) -> bool:
        """Whether nobody has used the whole share for a while."""
        self._refill(now)
        return self._tokens >= self.share.burst

    def note_grant(self, now: float) -> None:
        """Count a request, also one that was sent without asking."""
        self._refill(now)
        self._tokens = max(self._tokens - 1.0, 0.0)
        self._granted_at.append(now)

    def wait_s(self, ahead: int, now: float) -> float:
        """Time until a request has room that ``ahead`` others precede.

        At most `PROBE_INTERVAL_S`: by then the limit may have changed or another owner decides.
        """
        if self.has_room(now) and not ahead:
            return 0.0
        if self.share == NO_SHARE:
            return FIRST_SUSPECT_S
        if self.share.per_s == 0.0:
            return PROBE_INTERVAL_S
        missing = max(0.0, 1.0 + ahead - self._tokens)
        wait_s = missing / self.share.per_s
        excess = len(self._granted_at) + 1 + ahead - self._most
        if excess > 0 and self._granted_at:
            last_to_expire = self._granted_at[min(len(self._granted_at), math.ceil(excess)) - 1]
            wait_s = max(wait_s, last_to_expire + WINDOW_S - now)
        return min(wait_s, PROBE_INTERVAL_S)

    @property
    def _most(self) -> float:
        return self.share.per_s * WINDOW_S + self.share.burst

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_at)
        self._tokens = min(self.share.burst, self._tokens + elapsed_s * self.share.per_s)
        self.updated_at = max(now, self.updated_at)
