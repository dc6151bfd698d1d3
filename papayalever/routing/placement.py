"""Which backend server runs a request: the one that knows its object, if it has room.

Load pattern: the servers' slots are short and a server that handled an object lately needs a third
of the time, so that sending an object to the same server from everywhere is worth more than even
load. Every instance ranks the servers of an object alike (weighted rendezvous hashing), without a
message; a full server hands over to the next in the object's order.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..hashing import HASH_RANGE, hash_text
from .servers import Server, ServerTable

MAX_CACHED_ORDERS = 5_000
"""Bounds memory: an order takes about 400 bytes."""
QUEUED_PER_SLOT = 2.0
"""Requests that may wait at a warm server for each of its slots before the next server is better:
a cold run takes 3.3 times a warm one, so a wait of two runs still ends first."""


@dataclass(frozen=True, slots=True)
class Claim:
    """What the choice of a server needs to know of a request."""

    service: str
    object_key: str
    regions: frozenset[str]


@dataclass(slots=True)
class Placement:
    """Orders of servers by object, for the callers of one region."""

    table: ServerTable
    region: str
    demand_by_region: Mapping[str, float]
    """Relative demand of the callers of each region."""
    _order_by_key: dict[tuple, list[Server]] = field(default_factory=dict)
    _generation: int = -1

    def order(self, claim: Claim) -> list[Server]:
        """Servers in the order in which an object prefers them."""
        if self._generation != self.table.generation or len(self._order_by_key) > MAX_CACHED_ORDERS:
            self._order_by_key.clear()
            self._generation = self.table.generation
        key = (claim.service, claim.object_key, claim.regions)
        if key not in self._order_by_key:
            self._order_by_key[key] = self._rank(claim)
        return self._order_by_key[key]

    def _rank(self, claim: Claim) -> list[Server]:
        servers = [
            server
            for server in self.table.servers(claim.service)
            if server.entry.failure_domain not in self.table.evacuated
            and (not claim.regions or server.entry.region in claim.regions)
        ]
        share_by_region = share_regions(servers, self.demand_by_region, self.region)
        count_by_region: dict[str, int] = {}
        for server in servers:
            region = server.entry.region
            count_by_region[region] = count_by_region.get(region, 0) + server.entry.slots

        def score(server: Server) -> float:
            region = server.entry.region
            weight = share_by_region[region] * server.entry.slots / count_by_region[region]
            return rendezvous_score(claim.object_key, server.id, weight)

        return sorted(servers, key=score)


def rendezvous_score(key: str, server_id: str, weight: float) -> float:
    """Score of a server for a key, the lowest is preferred; proportional to ``weight``."""
    position = (hash_text(f"{key}/{server_id}") + 0.5) / HASH_RANGE
    return -math.log(position) / max(weight, 1e-9)


def share_regions(
    servers: Sequence[Server], demand_by_region: Mapping[str, float], own: str
) -> dict[str, float]:
    """Shares of the own region's requests that each region runs.

    A region keeps what its slots carry at the mean utilisation; the rest goes to the regions with
    room to spare, in proportion to it.
    """
    slots_by_region: dict[str, float] = {}
    for server in servers:
        region = server.entry.region
        slots_by_region[region] = slots_by_region.get(region, 0.0) + server.entry.slots
    total_slots = sum(slots_by_region.values())
    total_demand = sum(demand_by_region.values()) or 1.0
    if not total_slots:
        return {}
    slots_per_demand = total_slots / total_demand
    demand = demand_by_region.get(own, 0.0) or total_demand / max(1, len(demand_by_region))
    kept = min(1.0, slots_by_region.get(own, 0.0) / (demand * slots_per_demand))
    spare_by_region = {
        region: max(0.0, slots - demand_by_region.get(region, 0.0) * slots_per_demand)
        for region, slots in slots_by_region.items()
        if region != own
    }
    spare = sum(spare_by_region.values())
    shares = dict.fromkeys(slots_by_region, 0.0)
    if own in shares:
        shares[own] = kept if spare else 1.0
    for region, room in spare_by_region.items():
        shares[region] = (1.0 - shares.get(own, 0.0)) * (room / spare if spare else 0.0)
    if not any(shares.values()):
        return {region: slots / total_slots for region, slots in slots_by_region.items()}
    return shares
