"""Which instance sends a request to a server for one that reaches no server itself.

Load pattern: up to three quarters of the instances are cut off, so that the others carry several
times their own requests; each must get a share that it can bear.

Pure state: ``now`` is in seconds of the instance's monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from .replication_tree import InstanceEntry

ENOUGH_OFFERS = 4
"""Instances that carry requests and are asked again, before others are looked for."""
MAX_ASKED_PER_GROUP = 8
"""Instances asked at a time in the own region, and as many in others: with three quarters of them
cut off, two of the region reach servers in 9 of 10 cases."""
OFFER_TTL_S = 1.0
"""How long an instance's word that it reaches servers is used."""
ASK_PAUSE_S = 0.3
"""Shortest time between two rounds of questions: a cut may begin or end at any instance."""
REFUSED_PAUSE_S = 0.5
"""How long an instance that did not carry a request is not asked to."""
MAX_CARRIED = 128
"""Sends that one instance carries at a time. A small instance forwards about 110 requests a second
with all of its processor time, and their runs take about a second."""


@dataclass(slots=True)
class Offer:
    """Another instance that carries requests."""

    entry: InstanceEntry
    carried: int
    """Sends that it carries for others, as far as known."""
    offered_at: float


@dataclass(slots=True)
class Carriers:
    """Instances that offered to carry requests, by name."""

    _offer_by_name: dict[str, Offer] = field(default_factory=dict)
    _refused_at_by_name: dict[str, float] = field(default_factory=dict)
    _asked_at: float = float("-inf")

    def must_ask(self, now: float) -> bool:
        """Whether to ask other instances again, since offers end soon or there are none."""
        if now - self._asked_at < ASK_PAUSE_S:
            return False
        return not any(
            now - offer.offered_at < OFFER_TTL_S / 2 for offer in self._offer_by_name.values()
        )

    def start_round(
        self, entries: Iterable[InstanceEntry], own: InstanceEntry, now: float, rng: Random
    ) -> list[InstanceEntry]:
        """The instances to ask now.

        Those that carried lately; while there are few, some of the own region and some of the
        others at random. Links are only opened to few instances that way.
        """
        self._asked_at = now
        known = [offer.entry for offer in self._offer_by_name.values()]
        if len(known) >= ENOUGH_OFFERS:
            return known
        others = [entry for entry in entries if entry.name != own.name]
        groups = (
            [entry for entry in others if entry.region == own.region],
            [entry for entry in others if entry.region != own.region],
        )
        sampled = [
            entry
            for group in groups
            for entry in rng.sample(group, min(len(group), MAX_ASKED_PER_GROUP))
        ]
        return known + [entry for entry in sampled if entry not in known]

    def note_offer(self, entry: InstanceEntry, carried: int, now: float) -> None:
        """Record that an instance reaches servers."""
        self._offer_by_name[entry.name] = Offer(entry, carried, now)

    def note_refused(self, name: str, now: float) -> None:
        """Record that an instance did not answer or does not carry requests at present."""
        self._offer_by_name.pop(name, None)
        self._refused_at_by_name[name] = now

    def note_start(self, name: str) -> None:
        """Count a send that an instance carries."""
        if offer := self._offer_by_name.get(name):
            offer.carried += 1

    def note_end(self, name: str) -> None:
        """Count the end of a send that an instance carried."""
        if offer := self._offer_by_name.get(name):
            offer.carried = max(0, offer.carried - 1)

    def choose(
        self, own_region: str, homes: frozenset[str], now: float, rng: Random
    ) -> InstanceEntry | None:
        """The instance that carries the next request, None if nobody is known to.

        ``homes`` are the regions that may see the request, all if empty. The own region is
        preferred, since callers and most of the servers of their objects are there.
        """
        offers = [
            offer
            for offer in self._offer_by_name.values()
            if now - offer.offered_at < OFFER_TTL_S
            and (not homes or offer.entry.region in homes)
            and offer.carried < MAX_CARRIED
            and now - self._refused_at_by_name.get(offer.entry.name, -1e9) >= REFUSED_PAUSE_S
        ]
        near = [offer for offer in offers if offer.entry.region == own_region]
        usable = near or offers
        if not usable:
            return None
        weights = [max(1e-6, offer.entry.capacity) / (1 + offer.carried) for offer in usable]
        return rng.choices(usable, weights)[0].entry
