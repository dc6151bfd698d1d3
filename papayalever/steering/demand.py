"""Measure the demand that one instance serves, by service and home region of the callers."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from aiohttp import web

AVERAGE_WEIGHT = 0.3


class DemandMeter:
    """Requests that run or wait and the bytes they carry; rows as in `DomainDemand`."""

    def __init__(self, home_of: Callable[[str], str]) -> None:
        self._home_of = home_of
        self._in_progress: dict[tuple[str, str], int] = defaultdict(int)
        self._average: dict[tuple[str, str], float] = defaultdict(float)
        self._bytes: dict[tuple[str, str], float] = defaultdict(float)
        self._bytes_s: dict[tuple[str, str], float] = defaultdict(float)
        self._read_at: float | None = None

    @contextmanager
    def count(self, service: str, request: web.Request) -> Iterator[None]:
        """Count a request while it runs or waits."""
        key = (service, self._home_of(request.remote or ""))
        self._in_progress[key] += 1
        try:
            yield
        finally:
            self._in_progress[key] -= 1
            self._bytes[key] += request.content_length or 0

    def note_answer(self, service: str, request: web.Request, length: int) -> None:
        """Count the bytes of an answer."""
        self._bytes[service, self._home_of(request.remote or "")] += length

    def rows(self, now: float) -> list[tuple[str, str, float, float]]:
        """Averages over the last few calls, which come about once a second."""
        elapsed_s = max(0.1, now - self._read_at) if self._read_at is not None else 1.0
        if elapsed_s >= 0.5 or self._read_at is None:
            self._read_at = now
            self._fold(elapsed_s)
        return [
            (*key, round(value, 2), round(self._bytes_s[key], 0))
            for key, value in self._average.items()
            if value > 0.01
        ]

    def _fold(self, elapsed_s: float) -> None:
        for key, count in self._in_progress.items():
            self._average[key] += AVERAGE_WEIGHT * (count - self._average[key])
            rate = self._bytes.pop(key, 0.0) / elapsed_s
            self._bytes_s[key] += AVERAGE_WEIGHT * (rate - self._bytes_s[key])
