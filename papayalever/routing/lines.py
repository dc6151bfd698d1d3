"""One server as its owner sees it: places in use, requests in line, run times and known objects.

A flood of patient work (aims of seconds) fills a line with requests that are all in time: urgent
requests go before it even when they are late.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from .health import ServerHealth
from .servers import Server

FIRST_RUN_S = 0.3
"""Guess of a run time before any answer: between a warm and a cold run of urgent work."""
RUN_WEIGHT = 0.15
"""Weight of the newest run time in the mean; a mean over some seven runs."""
PATIENT_AIM = 3.0
"""Times the aims of more urgent ranks: work with such an aim waits behind those ranks also when
they are late. Aims of today's urgent ranks differ by 1.5 at most, those of patient work by 5."""
REPORT_LIFE_S = 0.4
"""A server's own count is heeded for so long."""
KNOWN_OBJECTS = 24
"""Objects that a server is taken to know; those of today keep 28 and more."""

PlaceId = tuple[str, int]
RunKey = tuple[int, bool]


@dataclass(eq=False, slots=True)
class Ask:
    """A request that wants a place."""

    id: PlaceId
    rank: int
    asked_at: float
    aim_at: float
    lease_at: float
    object_key: str = ""
    is_substitute: bool = False
    is_taken: bool = False
    """The request is on its way, whatever the verdict."""

    @property
    def aim_s(self) -> float:
        """Time that the request had for its aim when it asked."""
        return self.aim_at - self.asked_at


@dataclass(eq=False, slots=True)
class ServerPlaces:
    """Places of one server."""

    server: Server
    lease_by_id: dict[PlaceId, float] = field(default_factory=dict)
    run_key_by_id: dict[PlaceId, RunKey] = field(default_factory=dict)
    waiting_by_id: dict[PlaceId, tuple[int, Ask]] = field(default_factory=dict)
    run_s_by_key: dict[RunKey, float] = field(default_factory=dict)
    """Mean run time by rank and by whether the server knew the object."""
    others: int = 0
    """Requests at the server that nobody holds a place for."""
    others_at: float = float("-inf")
    cold_grants: list[float] = field(default_factory=list)
    known_objects: OrderedDict[str, None] = field(default_factory=OrderedDict)
    """Routes and objects that it handled lately, the last one at the end."""
    health: ServerHealth = field(default_factory=ServerHealth)
    aim_s_by_rank: dict[int, float] = field(default_factory=dict)
    """The longest aim that requests of each rank came with."""
    _group_by_rank: dict[int, int] = field(default_factory=dict)

    def note_aim(self, ask: Ask) -> None:
        """Learn how patient the work of a rank is."""
        if ask.aim_s > self.aim_s_by_rank.get(ask.rank, 0.0):
            self.aim_s_by_rank[ask.rank] = ask.aim_s
            self._group_by_rank = group_ranks(self.aim_s_by_rank)

    def order(self, ask: Ask, start: float, number: int) -> tuple[int, bool, int, int]:
        """Patient work last; in time before late, then by urgency, then first come."""
        is_late = start + self.run_s(ask) > ask.aim_at
        return (self._group_by_rank.get(ask.rank, 0), is_late, ask.rank, number)

    def is_patient(self, ask: Ask) -> bool:
        """Whether more urgent work with much shorter aims comes to the server too."""
        return self._group_by_rank.get(ask.rank, 0) > 0

    def note_object(self, key: str) -> None:
        """Remember the object of a granted request."""
        self.known_objects[key] = None
        self.known_objects.move_to_end(key)
        if len(self.known_objects) > KNOWN_OBJECTS:
            self.known_objects.popitem(last=False)

    def run_key(self, ask: Ask) -> RunKey:
        """What a request's run time depends on."""
        return (ask.rank, ask.object_key in self.known_objects)

    def run_s(self, ask: Ask) -> float:
        """Expected run time of a request."""
        rank, is_known = self.run_key(ask)
        known_s = self.run_s_by_key.get((rank, is_known))
        return known_s or self.run_s_by_key.get((rank, not is_known)) or FIRST_RUN_S

    def note_run(self, key: RunKey, ran_s: float) -> None:
        """Take a run time into the mean."""
        mean_s = self.run_s_by_key.get(key, ran_s)
        self.run_s_by_key[key] = mean_s + RUN_WEIGHT * (ran_s - mean_s)

    def taken(self, now: float) -> int:
        """Places that are in use."""
        return len(self.lease_by_id) + (self.others if now - self.others_at < REPORT_LIFE_S else 0)


def group_ranks(aim_s_by_rank: Mapping[int, float]) -> dict[int, int]:
    """Groups of ranks that wait for each other: 0 for the most urgent rank and those like it.

    A rank whose aim is `PATIENT_AIM` times the longest of the group before it starts a new group.
    """
    group_by_rank: dict[int, int] = {}
    group, longest_s = 0, 0.0
    for rank in sorted(aim_s_by_rank):
        aim_s = aim_s_by_rank[rank]
        if longest_s and aim_s >= PATIENT_AIM * longest_s:
            group, longest_s = group + 1, 0.0
        longest_s = max(longest_s, aim_s)
        group_by_rank[rank] = group
    return group_by_rank
