"""Which instance reads the store for others.

The most senior instance of each failure domain follows the store; the others follow it. When it
does not answer they follow that of another domain in the region, and the next in seniority reads
the store itself. Nothing is agreed on: two readers cost calls, no reader can not be for long.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

SUSPECT_S = 4.0
"""How long an instance that did not answer is not asked again."""


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """An entry instance as it registered itself."""

    name: str
    failure_domain: str
    region: str
    peer_address: str
    caller_address: str
    capacity: float
    """Its part of a processor core times its share of the largest link, for what it can carry."""
    started_ms: int
    """Unix milliseconds of its start: the oldest is the most senior."""


@dataclass(slots=True)
class Relays:
    """The registered instances and which of them did not answer lately."""

    own: InstanceEntry
    entry_by_name: dict[str, InstanceEntry] = field(default_factory=dict)
    _suspect_until: dict[str, float] = field(default_factory=dict)

    def replace_all(self, entries: Iterable[InstanceEntry]) -> None:
        """Take over a whole list."""
        self.entry_by_name = {entry.name: entry for entry in entries}

    def suspect(self, name: str, now: float) -> None:
        """An instance did not answer."""
        self._suspect_until[name] = now + SUSPECT_S

    def trust(self, name: str) -> None:
        """An instance answered."""
        self._suspect_until.pop(name, None)

    def is_relay(self, now: float) -> bool:
        """Whether this instance reads the store."""
        return not self._seniors(self.own.failure_domain, now)

    def candidates(self, now: float) -> list[InstanceEntry]:
        """Whom to follow, the best first."""
        own = self._seniors(self.own.failure_domain, now)[:1]
        domains = {
            entry.failure_domain
            for entry in self.entry_by_name.values()
            if entry.region == self.own.region
        }
        others = [
            self._live(domain, now)[0]
            for domain in sorted(domains - {self.own.failure_domain})
            if self._live(domain, now)
        ]
        return own + others

    def _seniors(self, domain: str, now: float) -> list[InstanceEntry]:
        return [entry for entry in self._live(domain, now) if _rank(entry) < _rank(self.own)]

    def _live(self, domain: str, now: float) -> list[InstanceEntry]:
        found = [
            entry
            for entry in self.entry_by_name.values()
            if entry.failure_domain == domain
            and entry.name != self.own.name
            and self._suspect_until.get(entry.name, 0.0) <= now
        ]
        return sorted(found, key=_rank)


def _rank(entry: InstanceEntry) -> tuple[int, str]:
    return (entry.started_ms, entry.name)
