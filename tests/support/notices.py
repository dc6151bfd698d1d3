"""Checks what reached servers that said they leave, or want nothing, against the users' rules."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

REST_SLACK_S = 0.5
"""Requests that arrive this soon after a refusal were on their way."""
MOST_IN_REST = 2
"""Requests of one instance that may arrive in the rest of the time."""

Pair = tuple[str, str]
"""Id of a server and name of an instance."""


@dataclass
class NoticeCheck:
    """What each server said to each instance, and what came after that."""

    drain_s: float
    """How long after an instance passed on that a server leaves it may still send there."""
    findings: list[str] = field(default_factory=list)
    _told_at: dict[Pair, float] = field(default_factory=dict)
    _rests: defaultdict[Pair, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _in_rest: defaultdict[Pair, int] = field(default_factory=lambda: defaultdict(int))

    def note_reply(self, server: str, instance: str, headers: dict[str, str], at: float) -> None:
        """Record an answer that an instance passed on."""
        if headers.get("server-leaving") == "1":
            self._told_at.setdefault((server, instance), at)

    def note_refusal(self, server: str, instance: str, rest_s: float, at: float) -> None:
        """Record that a server turned an instance away for a while."""
        self._rests[server, instance].append((at + REST_SLACK_S, at + rest_s))

    def note_arrival(self, server: str, instance: str, at: float) -> None:
        """Check a request that reaches a server."""
        pair = (server, instance)
        told_at = self._told_at.get(pair, at)
        if at - told_at > self.drain_s:
            self.findings.append(f"{instance} reaches {server} {at - told_at:.1f} s after it heard")
        if any(start < at < end for start, end in self._rests[pair]):
            self._in_rest[pair] += 1
            if self._in_rest[pair] > MOST_IN_REST:
                self.findings.append(f"{instance} reaches {server}, which rests")
        else:
            self._in_rest[pair] = 0

    def forget(self, names: Iterable[str]) -> None:
        """Servers and instances that restarted said and heard nothing."""
        gone = set(names)
        for known in (self._told_at, self._rests, self._in_rest):
            for pair in [pair for pair in known if gone & set(pair)]:
                del known[pair]
