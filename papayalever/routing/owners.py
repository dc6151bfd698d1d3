"""Which instance owns a backend server and keeps the only queue for it.

Every instance computes the same owner from the registered instances: a few of the server's own
failure domain, ranked by rendezvous hashing. An owner that does not answer is skipped for a while,
so the next one takes over without a message. While none of them answers, a few instances of the
same region are used, then of other regions. Two owners for a moment cost short queues at the
server. If every instance were an owner, a server that restarts cold would get the rate of a cold
server from each of them.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import nsmallest

from .placement import rendezvous_score
from .replication_tree import InstanceEntry
from .servers import ServerEntry

OWNERS_PER_DOMAIN = 4
"""Instances of a failure domain that own its servers; bounds the links of each instance."""
FALLBACK_OWNERS = 2
"""Instances of the rest of the region, and as many of other regions, that own a server while all
owners of its domain are suspect; the second one is for the case that one is lost with them."""
FIRST_SUSPECT_S = 2.0
"""How long an owner that did not answer is skipped; doubles with each consecutive failure."""
MAX_SUSPECT_S = 8.0
"""An owner that was cut off gets its servers back within this time. Each attempt to reach an owner
that no longer exists costs one request the wait for its answer."""


@dataclass(slots=True)
class Owners:
    """Owners of the servers as this instance sees them."""

    entry_by_name: Mapping[str, InstanceEntry] = field(default_factory=dict)
    _suspect_until: dict[str, float] = field(default_factory=dict)
    _failures: Counter[str] = field(default_factory=Counter)
    _entries_by_domain: dict[str, list[InstanceEntry]] = field(default_factory=dict)
    _owners_by_server: dict[str, list[InstanceEntry]] = field(default_factory=dict)
    _fallback_owners_by_server: dict[str, list[InstanceEntry]] = field(default_factory=dict)

    def set_instances(self, entry_by_name: Mapping[str, InstanceEntry]) -> None:
        """Replace the registered instances."""
        for name, entry in entry_by_name.items():
            known = self.entry_by_name.get(name)
            if known is None or known.started_ms != entry.started_ms:
                self.clear_suspect(name)
        self.entry_by_name = dict(entry_by_name)
        self._entries_by_domain = {}
        for entry in entry_by_name.values():
            self._entries_by_domain.setdefault(entry.failure_domain, []).append(entry)
        self._owners_by_server.clear()
        self._fallback_owners_by_server.clear()

    def find(self, server: ServerEntry, now: float) -> InstanceEntry | None:
        """Return the owner of a server, or None if every candidate is suspect."""
        found = self._first_not_suspect(self._find_owners(server), now)
        return found or self._first_not_suspect(self._find_fallback_owners(server), now)

    def rank(self, name: str, server: ServerEntry) -> int | None:
        """Position of an instance in the order in which the owners of a server take over."""
        names = [entry.name for entry in self._find_owners(server)]
        if name not in names:
            names += [entry.name for entry in self._find_fallback_owners(server)]
        return names.index(name) if name in names else None

    def mark_suspect(self, name: str, now: float) -> None:
        """Skip an owner for a while because it did not answer."""
        if self._suspect_until.get(name, 0.0) > now:
            return
        suspect_s = min(MAX_SUSPECT_S, FIRST_SUSPECT_S * 2 ** self._failures[name])
        self._failures[name] += 1
        self._suspect_until[name] = now + suspect_s

    def clear_suspect(self, name: str) -> None:
        """Use an owner again that answered or was restarted."""
        self._failures.pop(name, None)
        self._suspect_until.pop(name, None)

    def _find_owners(self, server: ServerEntry) -> list[InstanceEntry]:
        if server.id not in self._owners_by_server:
            self._owners_by_server[server.id] = self._rank_owners(server)
        return self._owners_by_server[server.id]

    def _find_fallback_owners(self, server: ServerEntry) -> list[InstanceEntry]:
        if server.id not in self._fallback_owners_by_server:
            self._fallback_owners_by_server[server.id] = self._rank_fallback_owners(server)
        return self._fallback_owners_by_server[server.id]

    def _rank_owners(self, server: ServerEntry) -> list[InstanceEntry]:
        local = self._entries_by_domain.get(server.failure_domain, [])
        largest = sorted(local, key=lambda item: (-item.capacity, item.name))[:OWNERS_PER_DOMAIN]
        return sorted(largest, key=lambda item: _score(server, item))

    def _rank_fallback_owners(self, server: ServerEntry) -> list[InstanceEntry]:
        """Rank the fallback owners; computed only on demand because it scans every instance."""
        entries = self.entry_by_name.values()
        same_region = (
            item
            for item in entries
            if item.region == server.region and item.failure_domain != server.failure_domain
        )
        other_regions = (item for item in entries if item.region != server.region)
        return [
            entry
            for group in (same_region, other_regions)
            for entry in nsmallest(FALLBACK_OWNERS, group, key=lambda item: _score(server, item))
        ]

    def _first_not_suspect(self, ranked: list[InstanceEntry], now: float) -> InstanceEntry | None:
        return next(
            (entry for entry in ranked if self._suspect_until.get(entry.name, 0.0) <= now), None
        )


def _score(server: ServerEntry, entry: InstanceEntry) -> float:
    return rendezvous_score(server.id, entry.name, 1.0)
