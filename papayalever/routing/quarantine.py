"""Requests that crash the backend servers that run them."""

from collections import OrderedDict

CRASH_WINDOW_S = 600.0
CRASHES_TO_QUARANTINE = 2
REMEMBERED_REQUESTS = 10_000


class CrashLog:
    """Backend servers that crashed while they ran a request, by the request's digest."""

    def __init__(self) -> None:
        self._crashes_by_digest: OrderedDict[str, dict[str, float]] = OrderedDict()

    @property
    def has_any(self) -> bool:
        """Whether any crash is recorded."""
        return bool(self._crashes_by_digest)

    def note(self, digest: str, backend: str, now: float) -> None:
        """Record a crash detected by this or another instance."""
        crashes = self._crashes_by_digest.setdefault(digest, {})
        crashes[backend] = now
        self._crashes_by_digest.move_to_end(digest)
        if len(self._crashes_by_digest) > REMEMBERED_REQUESTS:
            self._crashes_by_digest.popitem(last=False)

    def is_quarantined(self, digest: str, now: float) -> bool:
        """Whether a request crashed two servers lately; a single crash may be a coincidence."""
        crashes = self._crashes_by_digest.get(digest, {})
        recent = [at for at in crashes.values() if now - at < CRASH_WINDOW_S]
        return len(recent) >= CRASHES_TO_QUARANTINE
