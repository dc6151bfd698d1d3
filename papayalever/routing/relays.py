"""Which instance reads the store for others.

The most senior instance of each region reads the store, the most senior of each failure domain
follows that one, and the others follow theirs: calls to the store grow with the regions, and nobody
is followed by more than a failure domain. Who does not answer is passed over, so that the next in
seniority takes its part. Nothing is agreed on: two readers cost calls, and one comes before long.
After many were killed at once the listed starts are of runs before, and some may follow each other
in a circle: each answer tells when its sender started and how old its news are, and who hears
nothing but old news reads the store.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

SUSPECT_S = 4.0
"""How long an instance that did not answer is not asked again."""
HELPERS = 2
"""Juniors that are asked: the next in seniority reads the store once this instance does not."""
GONE_AFTER_S = 600.0
"""Silence after which an instance counts as gone for good: regions lose each other for minutes."""


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

    def note_start(self, name: str, started_ms: int) -> None:
        """An instance said when it started: its entry may be of a run before."""
        entry = self.entry_by_name.get(name)
        if entry and started_ms:
            self.entry_by_name[name] = replace(entry, started_ms=started_ms)

    def trust(self, name: str) -> None:
        """An instance answered."""
        self._suspect_until.pop(name, None)

    def is_reader(self, now: float) -> bool:
        """Whether this instance reads the store."""
        return not self._region_seniors(now)

    def is_most_senior(self, now: float) -> bool:
        """Whether no live instance of any region is more senior."""
        regions = {entry.region for entry in self.entry_by_name.values()}
        live = (entry for region in regions for entry in self._live(region, now))
        return all(_rank(self.own) < _rank(entry) for entry in live)

    def candidates(self, now: float) -> list[InstanceEntry]:
        """Whom to follow, the best first; in the own region only those that are more senior."""
        seniors = self._region_seniors(now)
        own = [item for item in seniors if item.failure_domain == self.own.failure_domain]
        found = own[:1] + [item for item in seniors[:1] if item not in own[:1]]
        regions = {entry.region for entry in self.entry_by_name.values()} - {self.own.region}
        return found + [live[0] for region in sorted(regions) if (live := self._live(region, now))]

    def helpers(self, now: float) -> list[InstanceEntry]:
        """Whom a reader asks that the store turns away: some juniors, then other regions."""
        juniors = [
            item for item in self._live(self.own.region, now) if _rank(item) > _rank(self.own)
        ]
        regions = {entry.region for entry in self.entry_by_name.values()} - {self.own.region}
        far = [live[0] for region in sorted(regions) if (live := self._live(region, now))]
        return juniors[:HELPERS] + far

    def _region_seniors(self, now: float) -> list[InstanceEntry]:
        live = self._live(self.own.region, now)
        return [entry for entry in live if _rank(entry) < _rank(self.own)]

    def _live(self, region: str, now: float) -> list[InstanceEntry]:
        found = [
            entry
            for entry in self.entry_by_name.values()
            if entry.region == region
            and entry.name != self.own.name
            and self._suspect_until.get(entry.name, 0.0) <= now
        ]
        return sorted(found, key=_rank)


@dataclass(slots=True)
class Absences:
    """Since when registered instances have not answered."""

    _since_by_name: dict[str, float] = field(default_factory=dict)

    def note(self, name: str, has_answered: bool, now: float) -> bool:
        """Take an answer or its absence; returns whether the instance is gone for good."""
        if has_answered:
            self._since_by_name.pop(name, None)
            return False
        since = self._since_by_name.setdefault(name, now)
        return now - since >= GONE_AFTER_S


def _rank(entry: InstanceEntry) -> tuple[int, str]:
    return (entry.started_ms, entry.name)
