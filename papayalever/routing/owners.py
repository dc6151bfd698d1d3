"""Which instance owns a backend server, so that one line holds all that wait for it.

Every instance works it out alike from the registered instances: a few of the server's own failure
domain, ranked by hash. An owner that does not answer is passed over for a while, so that the next
takes over without a message; while a whole domain is gone, a few of its region stand in, then of
other regions. Two owners for a moment cost short queues at the server; if each instance were one, a
server that comes back cold would get the rate of a cold server from each of them.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import nsmallest

from .placement import rendezvous_score
from .relays import InstanceEntry
from .servers import ServerEntry

OWNERS_PER_DOMAIN = 4
"""Instances of a failure domain that own its servers; bounds the links of each instance."""
STAND_INS = 2
"""Instances of the rest of the region, and as many of other regions, that own a server while all
owners of its domain are passed over; one may be lost with them."""
PASSED_OVER_S = 2.0
"""How long an owner that did not answer is not asked, doubled with each failure in a row."""
MOST_PASSED_OVER_S = 8.0
"""An owner that was cut off gets its servers back within this time; asking one that is gone
costs one request the wait for an answer."""


@dataclass(slots=True)
class Owners:
    """Owners of the servers as this instance sees them."""

    entry_by_name: Mapping[str, InstanceEntry] = field(default_factory=dict)
    _passed_until: dict[str, float] = field(default_factory=dict)
    _failures: Counter[str] = field(default_factory=Counter)
    _entries_by_domain: dict[str, list[InstanceEntry]] = field(default_factory=dict)
    _order_by_server: dict[str, list[InstanceEntry]] = field(default_factory=dict)
    _stand_ins_by_server: dict[str, list[InstanceEntry]] = field(default_factory=dict)

    def set_instances(self, entry_by_name: Mapping[str, InstanceEntry]) -> None:
        """Use another set of instances."""
        for name, entry in entry_by_name.items():
            known = self.entry_by_name.get(name)
            if known is None or known.started_ms != entry.started_ms:
                self.trust(name)
        self.entry_by_name = dict(entry_by_name)
        self._entries_by_domain = {}
        for entry in entry_by_name.values():
            self._entries_by_domain.setdefault(entry.failure_domain, []).append(entry)
        self._order_by_server.clear()
        self._stand_ins_by_server.clear()

    def find(self, server: ServerEntry, now: float) -> InstanceEntry | None:
        """The owner of a server, None if there is nobody to ask."""
        if server.id not in self._order_by_server:
            self._order_by_server[server.id] = self._rank(server)
        found = self._first(self._order_by_server[server.id], now)
        if found:
            return found
        if server.id not in self._stand_ins_by_server:
            self._stand_ins_by_server[server.id] = self._rank_stand_ins(server)
        return self._first(self._stand_ins_by_server[server.id], now)

    def pass_over(self, name: str, now: float) -> None:
        """An owner did not answer."""
        if self._passed_until.get(name, 0.0) > now:
            return
        passed_s = min(MOST_PASSED_OVER_S, PASSED_OVER_S * 2 ** self._failures[name])
        self._failures[name] += 1
        self._passed_until[name] = now + passed_s

    def trust(self, name: str) -> None:
        """An owner answered, or started anew."""
        self._failures.pop(name, None)
        self._passed_until.pop(name, None)

    def _rank(self, server: ServerEntry) -> list[InstanceEntry]:
        near = self._entries_by_domain.get(server.failure_domain, [])
        largest = sorted(near, key=lambda item: (-item.capacity, item.name))[:OWNERS_PER_DOMAIN]
        return sorted(largest, key=lambda item: _score(server, item))

    def _rank_stand_ins(self, server: ServerEntry) -> list[InstanceEntry]:
        """Worked out only when needed: it looks at every instance."""
        entries = self.entry_by_name.values()
        region = (
            item
            for item in entries
            if item.region == server.region and item.failure_domain != server.failure_domain
        )
        others = (item for item in entries if item.region != server.region)
        return [
            entry
            for group in (region, others)
            for entry in nsmallest(STAND_INS, group, key=lambda item: _score(server, item))
        ]

    def _first(self, order: list[InstanceEntry], now: float) -> InstanceEntry | None:
        return next(
            (entry for entry in order if self._passed_until.get(entry.name, 0.0) <= now), None
        )


def _score(server: ServerEntry, entry: InstanceEntry) -> float:
    return rendezvous_score(server.id, entry.name, 1.0)
