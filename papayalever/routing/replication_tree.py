"""From which instance the contents of the store are replicated, and which instances read the store.

The oldest instance of each region reads the store, the oldest of each failure domain follows that
one, and the others follow the oldest of their domain. Calls to the store thus grow only with the
number of regions, and no instance has more followers than a failure domain has instances. An
instance that does not answer is skipped, and the next oldest takes its role. There is no agreement
protocol: two readers in a region only cost extra calls, and a missing reader is replaced soon.

After many instances were killed at once, the store lists the start times of earlier runs, and some
instances may follow each other in a circle. Each response therefore contains the sender's start
time and the age of its data, and an instance that receives only outdated data reads the store.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

SUSPECT_S = 4.0
"""How long an instance that did not answer is skipped."""
MAX_YOUNGER_SOURCES = 2
"""Younger instances of the region that are asked; the next oldest instance reads the store once
this one no longer does."""
GONE_AFTER_S = 600.0
"""Time without an answer after which an instance counts as permanently gone; regions can be cut off
from each other for minutes."""


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """An instance as it registered itself in the store."""

    name: str
    failure_domain: str
    region: str
    peer_address: str
    caller_address: str
    capacity: float
    """Its share of a processor core times its share of the largest link, as a measure of the load
    that it can carry."""
    started_ms: int
    """Start time in Unix milliseconds."""


@dataclass(slots=True)
class ReplicationTree:
    """The registered instances and which of them did not answer lately."""

    own: InstanceEntry
    entry_by_name: dict[str, InstanceEntry] = field(default_factory=dict)
    _suspect_until: dict[str, float] = field(default_factory=dict)
    _outdated_until: dict[str, float] = field(default_factory=dict)

    def replace_all(self, entries: Iterable[InstanceEntry]) -> None:
        """Replace the registered instances."""
        self.entry_by_name = {entry.name: entry for entry in entries}

    def mark_suspect(self, name: str, now: float) -> None:
        """Skip an instance for `SUSPECT_S` because it did not answer."""
        self._suspect_until[name] = now + SUSPECT_S

    def mark_outdated(self, name: str, now: float) -> None:
        """Skip an instance for `SUSPECT_S` because it hears nothing from the store."""
        self._outdated_until[name] = now + SUSPECT_S

    def clear_outdated(self) -> None:
        """Use the instances again that hear nothing from the store."""
        self._outdated_until.clear()

    def note_start(self, name: str, started_ms: int) -> None:
        """Set the start time that an instance reported; its entry may be from an earlier run."""
        entry = self.entry_by_name.get(name)
        if entry and started_ms:
            self.entry_by_name[name] = replace(entry, started_ms=started_ms)

    def clear_suspect(self, name: str) -> None:
        """Use an instance again that answered."""
        self._suspect_until.pop(name, None)

    def is_reader(self, now: float) -> bool:
        """Whether this instance reads the store."""
        return not self._older_in_region(now)

    def is_oldest_in_region(self, now: float) -> bool:
        """Whether no instance of the region that answers is older, whatever it hears."""
        return not any(
            entry.region == self.own.region
            and _age_key(entry) < _age_key(self.own)
            and self._suspect_until.get(entry.name, 0.0) <= now
            for entry in self.entry_by_name.values()
        )

    def is_oldest(self, now: float) -> bool:
        """Whether no live instance of any region is older."""
        regions = {entry.region for entry in self.entry_by_name.values()}
        live = (entry for region in regions for entry in self._live(region, now))
        return all(_age_key(self.own) < _age_key(entry) for entry in live)

    def upstreams(self, now: float) -> list[InstanceEntry]:
        """Instances to follow, best first; in the own region only older ones."""
        older = self._older_in_region(now)
        own_domain = [item for item in older if item.failure_domain == self.own.failure_domain]
        found = own_domain[:1] + [item for item in older[:1] if item not in own_domain[:1]]
        return found + self.remote_readers(now)

    def remote_readers(self, now: float) -> list[InstanceEntry]:
        """The oldest instance of each other region, which reads the store."""
        regions = {entry.region for entry in self.entry_by_name.values()} - {self.own.region}
        return [live[0] for region in sorted(regions) if (live := self._live(region, now))]

    def is_head(self, now: float) -> bool:
        """Whether this instance is the oldest one of its failure domain."""
        domain = self.own.failure_domain
        return all(item.failure_domain != domain for item in self._older_in_region(now))

    def fallback_sources(self, now: float) -> list[InstanceEntry]:
        """Instances that a reader asks when the store refuses it: younger ones, other regions."""
        younger = [
            item for item in self._live(self.own.region, now) if _age_key(item) > _age_key(self.own)
        ]
        return younger[:MAX_YOUNGER_SOURCES] + self.remote_readers(now)

    def _older_in_region(self, now: float) -> list[InstanceEntry]:
        live = self._live(self.own.region, now)
        return [entry for entry in live if _age_key(entry) < _age_key(self.own)]

    def _live(self, region: str, now: float) -> list[InstanceEntry]:
        """Other instances of a region that are not suspect, oldest first."""
        found = [
            entry
            for entry in self.entry_by_name.values()
            if entry.region == region
            and entry.name != self.own.name
            and self._suspect_until.get(entry.name, 0.0) <= now
            and self._outdated_until.get(entry.name, 0.0) <= now
        ]
        return sorted(found, key=_age_key)


@dataclass(slots=True)
class AbsenceTracker:
    """Since when registered instances have not answered."""

    _since_by_name: dict[str, float] = field(default_factory=dict)

    def note(self, name: str, has_answered: bool, now: float) -> bool:
        """Record whether an instance answered; returns whether it is permanently gone."""
        if has_answered:
            self._since_by_name.pop(name, None)
            return False
        since = self._since_by_name.setdefault(name, now)
        return now - since >= GONE_AFTER_S


def _age_key(entry: InstanceEntry) -> tuple[int, str]:
    return (entry.started_ms, entry.name)
