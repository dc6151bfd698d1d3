"""Checks what reached servers that named a limit against the users' rule."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .platform import ENTRY_HEADER, SERVER_HEADER, FakeServer, Seen

WINDOW_S = 4.0
CONTACT_S = 4.0
"""The rule holds from this long after the server first named a limit."""
TOLD_S = 0.5
"""An instance counts from this long after it passed on an answer that named the limit."""
OVER = 1.5
SLACK = 5


@dataclass
class LimitCheck:
    """Records which instances each server told, and finds windows with too many requests."""

    told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    """When an instance passed on the first answer with a limit, by (server id, instance)."""
    excused: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    """Times during which an instance or a server does not count, by name or id."""

    def note_reply(self, instance: str, headers: dict[str, str], at: float) -> None:
        """Record an answer that an instance passed on."""
        if "server-limit" in headers:
            self.told_at.setdefault((headers[SERVER_HEADER.lower()], instance), at)

    def forget(self, instance: str) -> None:
        """An instance that restarted was told nothing."""
        for key in [key for key in self.told_at if key[1] == instance]:
            del self.told_at[key]

    def excuse(self, name: str, start: float, end: float) -> None:
        """Do not count what an instance sends, or a server gets, in this time."""
        self.excused.setdefault(name, []).append((start, end))

    def find(self, servers: Iterable[FakeServer]) -> list[str]:
        """One text for each request with which too many reached a server in the window before."""
        return [finding for server in servers for finding in self._find_at(server)]

    def _find_at(self, server: FakeServer) -> Iterable[str]:
        counted = [seen.at for seen in server.seen if self._counts(server, seen)]
        for at in counted:
            bound = find_bound(server, at)
            arrived = sum(at - WINDOW_S < other <= at for other in counted)
            if bound is not None and arrived > bound:
                named_s = at - server.limit_changes[0][0]
                yield (
                    f"{server.id} got {arrived} requests in {WINDOW_S:g} s, allowed {bound:.1f}, "
                    f"{named_s:.2f} s after it first named a limit"
                )

    def _counts(self, server: FakeServer, seen: Seen) -> bool:
        instance = seen.headers.get(ENTRY_HEADER.lower(), "")
        told_at = self.told_at.get((server.id, instance))
        if told_at is None or told_at > seen.at - TOLD_S:
            return False
        spans = self.excused.get(instance, []) + self.excused.get(server.id, [])
        return not any(start <= seen.at <= end for start, end in spans)


def find_bound(server: FakeServer, at: float) -> float | None:
    """Requests that a server's limits allow in the window that ends now; None without a limit.

    A limit that was lowered counts `TOLD_S` after the change.
    """
    changes = server.limit_changes
    if not changes or at < changes[0][0] + CONTACT_S:
        return None
    allowed, end = 0.0, at
    for index in range(len(changes) - 1, -1, -1):
        changed_at, per_s = changes[index]
        before = changes[index - 1][1] if index else None
        if per_s is None:
            return None
        if before is not None and before > per_s:
            changed_at += TOLD_S
        begin = max(at - WINDOW_S, min(changed_at, end))
        allowed += per_s * (end - begin)
        end = begin
        if end <= at - WINDOW_S:
            break
    return OVER * allowed + SLACK
