"""Measures the demand on one instance by service and by the callers' home region."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from aiohttp import web

SMOOTHING_FACTOR = 0.3
"""Weight of the newest sample in the exponential moving averages."""


class DemandMeter:
    """Moving averages of the running and queued requests and of the bytes they transfer."""

    def __init__(self, find_home: Callable[[str], str]) -> None:
        self._find_home = find_home
        self._in_progress: dict[tuple[str, str], int] = defaultdict(int)
        self._average_requests: dict[tuple[str, str], float] = defaultdict(float)
        self._new_bytes: dict[tuple[str, str], float] = defaultdict(float)
        self._average_bytes_s: dict[tuple[str, str], float] = defaultdict(float)
        self._sampled_at: float | None = None

    @contextmanager
    def count(self, service: str, request: web.Request) -> Iterator[None]:
        """Count a request while it runs or waits, and its body bytes afterwards."""
        key = (service, self._find_home(request.remote or ""))
        self._in_progress[key] += 1
        try:
            yield
        finally:
            self._in_progress[key] -= 1
            self._new_bytes[key] += request.content_length or 0

    def note_response(self, service: str, request: web.Request, length: int) -> None:
        """Count the bytes of a response."""
        self._new_bytes[service, self._find_home(request.remote or "")] += length

    def rows(self, now: float) -> list[tuple[str, str, float, float]]:
        """Return the rows of a `DomainDemand` message, averaged over the last few calls.

        The caller reads them about once a second.
        """
        elapsed_s = max(0.1, now - self._sampled_at) if self._sampled_at is not None else 1.0
        if elapsed_s >= 0.5 or self._sampled_at is None:
            self._sampled_at = now
            self._update_averages(elapsed_s)
        return [
            (*key, round(value, 2), round(self._average_bytes_s[key], 0))
            for key, value in self._average_requests.items()
            if value > 0.01
        ]

    def _update_averages(self, elapsed_s: float) -> None:
        for key, count in self._in_progress.items():
            self._average_requests[key] += SMOOTHING_FACTOR * (count - self._average_requests[key])
            rate = self._new_bytes.pop(key, 0.0) / elapsed_s
            self._average_bytes_s[key] += SMOOTHING_FACTOR * (rate - self._average_bytes_s[key])
