"""Which backend server runs a request: the one that has its object cached, if it has room.

Load pattern: slots are scarce, and a server that handled an object lately needs a third of the
time, so that routing an object to the same server from every instance gains more than even load.
Every instance computes the same order of servers for an object by weighted rendezvous hashing,
without coordination. If a server is full, the next in the object's order is used.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..hashing import HASH_RANGE, hash_text
from .servers import Server, ServerTable

MAX_CACHED_ORDERS = 5_000
"""Bounds memory use; an order takes about 400 bytes."""
JOIN_S = 60.0
"""Time after its start in which a server reaches its full share of the objects."""
JOIN_STEP_S = 5.0
"""Interval at which the shares of joining servers change, by the time of day."""
FIRST_JOIN_SHARE = 0.25
"""Share of its slots for which a server that has just started gets objects."""
QUEUED_PER_SLOT = 2.0
"""Requests per slot that may wait at a warm server before the next server is faster: a cold run
takes 3.3 times as long as a warm one, so that waiting for two warm runs still ends earlier."""


@dataclass(frozen=True, slots=True)
class PlacementKey:
    """The properties of a request that determine its order of servers."""

    service: str
    object_key: str
    regions: frozenset[str]


@dataclass(slots=True)
class Placement:
    """Preference orders of servers by object, for the callers of one region."""

    table: ServerTable
    region: str
    demand_by_region: Mapping[str, float]
    """Relative demand of the callers of each region."""
    _order_by_key: dict[tuple, list[Server]] = field(default_factory=dict)
    _generation: int = -1
    _joined_at: float = float("-inf")
    """When the last server has joined, as a Unix time."""
    _step: int = 0

    def order(self, placement_key: PlacementKey, unix_time: float) -> list[Server]:
        """Servers in the preference order of an object at a time of day."""
        self._drop_outdated(unix_time)
        key = (placement_key.service, placement_key.object_key, placement_key.regions)
        if key not in self._order_by_key:
            self._order_by_key[key] = self._compute_order(placement_key)
        return self._order_by_key[key]

    def _drop_outdated(self, unix_time: float) -> None:
        """Drop the cached orders after a change of the servers or of the shares of joining ones."""
        is_changed = self._generation != self.table.generation
        step = int(unix_time // JOIN_STEP_S)
        is_joining = step != self._step and min(step, self._step) * JOIN_STEP_S < self._joined_at
        if is_changed or is_joining or len(self._order_by_key) > MAX_CACHED_ORDERS:
            self._order_by_key.clear()
        if is_changed:
            started = (server.entry.started_ms or 0 for server in self.table.server_by_id.values())
            self._joined_at = max(started, default=0) / 1000 + JOIN_S + JOIN_STEP_S
            self._generation = self.table.generation
        self._step = step

    def _compute_order(self, placement_key: PlacementKey) -> list[Server]:
        servers = [
            server
            for server in self.table.servers(placement_key.service)
            if server.entry.failure_domain not in self.table.evacuated
            and (not placement_key.regions or server.entry.region in placement_key.regions)
        ]
        share_by_region = compute_region_shares(servers, self.demand_by_region, self.region)
        at = self._step * JOIN_STEP_S
        slots_by_id = {
            server.id: server.entry.slots * compute_join_share(server.entry.started_ms, at)
            for server in servers
        }
        slots_by_region: dict[str, float] = {}
        for server in servers:
            region = server.entry.region
            slots_by_region[region] = slots_by_region.get(region, 0.0) + slots_by_id[server.id]

        def score(server: Server) -> float:
            region = server.entry.region
            weight = share_by_region[region] * slots_by_id[server.id] / slots_by_region[region]
            return rendezvous_score(placement_key.object_key, server.id, weight)

        return sorted(servers, key=score)


def compute_join_share(started_ms: int | None, unix_time: float) -> float:
    """Share of its slots for which a server gets objects, by its age.

    Load pattern: many servers join at once, or come back empty after a crash. With their full share
    each of them would take objects that other servers have cached and serve in a quarter of the
    time, all in the same second.
    """
    if started_ms is None:
        return 1.0
    age_s = unix_time - started_ms / 1000
    grown = FIRST_JOIN_SHARE + (1.0 - FIRST_JOIN_SHARE) * age_s / JOIN_S
    return min(1.0, max(FIRST_JOIN_SHARE, grown))


def rendezvous_score(key: str, server_id: str, weight: float) -> float:
    """Score of a server for a key. The lowest score wins, with odds proportional to ``weight``."""
    position = (hash_text(f"{key}/{server_id}") + 0.5) / HASH_RANGE
    return -math.log(position) / max(weight, 1e-9)


def compute_region_shares(
    servers: Sequence[Server], demand_by_region: Mapping[str, float], own_region: str
) -> dict[str, float]:
    """Share of the own region's requests that each region runs.

    A region keeps as many requests as its slots serve at the mean utilisation. The rest goes to the
    regions with spare slots, in proportion to these.
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
    demand = demand_by_region.get(own_region, 0.0) or total_demand / max(1, len(demand_by_region))
    kept = min(1.0, slots_by_region.get(own_region, 0.0) / (demand * slots_per_demand))
    spare_by_region = {
        region: max(0.0, slots - demand_by_region.get(region, 0.0) * slots_per_demand)
        for region, slots in slots_by_region.items()
        if region != own_region
    }
    spare = sum(spare_by_region.values())
    shares = dict.fromkeys(slots_by_region, 0.0)
    if own_region in shares:
        shares[own_region] = kept if spare else 1.0
    for region, spare_slots in spare_by_region.items():
        shares[region] = (1.0 - shares.get(own_region, 0.0)) * (
            spare_slots / spare if spare else 0.0
        )
    if not any(shares.values()):
        return {region: slots / total_slots for region, slots in slots_by_region.items()}
    return shares
