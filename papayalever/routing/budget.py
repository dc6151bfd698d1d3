"""Repeated sends of one service: this instance's share of what all instances may spend."""

from collections import deque
from dataclasses import dataclass, field

SAFETY = 0.8
"""Part of the bound that is used: views of how many instances share it may differ for a while."""


@dataclass(slots=True)
class RepeatBudget:
    """Sliding window of requests and repeated sends.

    The bound is ``share`` of the requests plus ``extra`` in any ``window_s``; the extra is divided
    among the instances, the share follows each one's own requests.
    """

    share: float
    extra: float
    window_s: float
    instances: int = 1
    _requests: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._trim(now)

    def take(self, now: float) -> bool:
        """Spend one repeated send if there is one left."""
        self._trim(now)
        allowed = len(self._requests) * self.share + self.extra / max(1, self.instances)
        if len(self._repeats) + 1 > allowed * SAFETY:
            return False
        self._repeats.append(now)
        return True

    def left(self, now: float) -> float:
        """Repeated sends that are left in the window."""
        self._trim(now)
        allowed = len(self._requests) * self.share + self.extra / max(1, self.instances)
        return max(0.0, allowed * SAFETY - len(self._repeats))

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self.window_s:
                times.popleft()
