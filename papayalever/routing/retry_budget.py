"""Retry budget of one service: this instance's share of the retries allowed to all instances."""

from collections import deque
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.8
"""Share of the allowed retries that is used, since instances may disagree for a while about how
many of them share the budget."""


@dataclass(slots=True)
class WindowedRetryBudget:
    """Sliding window of requests and retries.

    All instances together may retry ``share`` of the requests plus ``extra`` in any ``window_s``.
    Each instance applies ``share`` to its own requests and gets an equal part of ``extra``.
    """

    share: float
    extra: float
    window_s: float
    instances: int = 1
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._trim(now)

    def take(self, now: float) -> bool:
        """Spend one retry if there is one left."""
        self._trim(now)
        allowed = len(self._requests) * self.share + self.extra / max(1, self.instances)
        if len(self._retries) + 1 > allowed * SAFETY_FACTOR:
            return False
        self._retries.append(now)
        return True

    def left(self, now: float) -> float:
        """Retries left in the window."""
        self._trim(now)
        allowed = len(self._requests) * self.share + self.extra / max(1, self.instances)
        return max(0.0, allowed * SAFETY_FACTOR - len(self._retries))

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
