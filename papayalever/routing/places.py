"""Places at the servers that one instance owns: who may send to them, and in which order.

Load patterns: more urgent work than slots for seconds, so that every answer would come late if all
waited in the servers' own queues; servers that are cold and crash under a surge. The owner of a
server counts all places of all instances and keeps one line for it. Requests that can still make
their aim go first, the urgent ones first among them; who can not be served in time is told at once.
A flood of patient work (aims of seconds) fills the lines with requests that are all in time: urgent
requests go before it even when they are late.

Pure state: ``now`` is in seconds of the owner's monotonic clock.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import count

from ..cluster.messages import PlaceState
from .health import RunEnd, ServerHealth
from .servers import Server

EXTRA_PLACES = 1
"""Places over the slots: the next request is on its way while a slot gets free. Patient work does
not get them: an urgent request would wait behind it."""
SPARE_SHARE = 0.5
"""Part of its slots below which a server takes objects that another one knows."""
FIRST_RUN_S = 0.3
"""Guess of a run time before any answer: between a warm and a cold run of urgent work."""
RUN_WEIGHT = 0.15
"""Weight of the newest run time in the mean; a mean over some seven runs."""
PATIENT_AIM = 3.0
"""Times the aims of more urgent ranks: work with such an aim waits behind those ranks also when
they are late. Aims of today's urgent ranks differ by 1.5 at most, those of patient work by 5."""
LATE_PATIENCE = 1.0
"""Of its aim's length: how long a request waits that can not make its aim any more."""
REPORT_LIFE_S = 0.4
"""A server's own count is heeded for so long."""
KNOWN_OBJECTS = 24
"""Objects that a server is taken to know; those of today keep 28 and more."""
LEASE_MARGIN_S = 0.5
"""A place of an instance that died is free so long after its request must be over."""

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


@dataclass(frozen=True, slots=True)
class Verdict:
    """Answer to an ask; ``wait_s`` is the expected time until there is room."""

    state: PlaceState
    wait_s: float = 0.0


@dataclass(slots=True)
class Places:
    """Places at all servers that this instance owns."""

    cold_per_s: Callable[[str], float]
    """Requests a second that a cold server of a service withstands."""
    may_send: Callable[[Server], bool]
    """Whether a server gets new requests at all."""
    _places_by_server: dict[str, ServerPlaces] = field(default_factory=dict)
    _server_by_id: dict[PlaceId, str] = field(default_factory=dict)
    _numbers: count = field(default_factory=count)

    def ask(self, server: Server, ask: Ask, now: float) -> Verdict:
        """Grant a place, queue the ask or refuse it at once."""
        places = self._find(server)
        places.note_aim(ask)
        if ask.is_taken:
            has_room = not places.waiting_by_id and self._has_room(places, ask, now)
            wait_s = self._expected_wait_s(places, ask, now)
            self._grant(places, ask, now)
            return Verdict(PlaceState.GRANTED if has_room else PlaceState.QUEUED, wait_s)
        if places.health.is_failing and not self._has_room(places, ask, now):
            # Another server may serve it in time; a line here would wait for a trial to end.
            return Verdict(PlaceState.REFUSED, places.run_s(ask))
        if ask.is_substitute:
            is_known = ask.object_key in places.known_objects
            has_spare = is_known or places.taken(now) < server.entry.slots * SPARE_SHARE
            if places.waiting_by_id or not has_spare or not self._has_room(places, ask, now):
                return Verdict(PlaceState.REFUSED, places.run_s(ask))
            return self._grant(places, ask, now)
        if self._is_first(places, ask, now) and self._has_room(places, ask, now):
            return self._grant(places, ask, now)
        wait_s = self._expected_wait_s(places, ask, now)
        if now + wait_s > self._leave_at(places, ask, now + wait_s):
            return Verdict(PlaceState.REFUSED, wait_s)
        places.waiting_by_id[ask.id] = (next(self._numbers), ask)
        self._server_by_id[ask.id] = server.id
        return Verdict(PlaceState.QUEUED, wait_s)

    def give_back(
        self, place: PlaceId, ran_s: float, running: int, now: float, end: RunEnd = RunEnd.UNKNOWN
    ) -> None:
        """Free a place or leave the line; ``running`` below 0 is no report."""
        places = self._places_by_server.get(self._server_by_id.pop(place, ""))
        if places is None:
            return
        places.waiting_by_id.pop(place, None)
        if places.lease_by_id.pop(place, None) is None:
            return
        places.health.note(end, now)
        key = places.run_key_by_id.pop(place, None)
        if ran_s > 0 and key and end != RunEnd.FAILED:
            places.note_run(key, ran_s)
        if running >= 0:
            places.others = max(0, running - len(places.lease_by_id) - 1)
            places.others_at = now

    def settle(self, now: float) -> list[tuple[PlaceId, Verdict]]:
        """Asks of all lines that are decided now: granted, or refused as too late."""
        decided: list[tuple[PlaceId, Verdict]] = []
        for places in self._places_by_server.values():
            self._expire(places, now)
            if places.waiting_by_id:
                decided += self._settle_server(places, now)
        return decided

    def forget(self, known: set[str]) -> None:
        """Drop servers that are gone and have no places left."""
        for server_id in list(self._places_by_server):
            places = self._places_by_server[server_id]
            if server_id not in known and not places.lease_by_id and not places.waiting_by_id:
                del self._places_by_server[server_id]

    def _settle_server(self, places: ServerPlaces, now: float) -> list[tuple[PlaceId, Verdict]]:
        decided: list[tuple[PlaceId, Verdict]] = []
        may_send = self.may_send(places.server)
        line = sorted(
            places.waiting_by_id.values(),
            key=lambda item: places.order(item[1], now, item[0]),
        )
        for _, ask in line:
            if may_send and self._has_room(places, ask, now):
                del places.waiting_by_id[ask.id]
                decided.append((ask.id, self._grant(places, ask, now)))
            elif (
                not may_send or places.health.is_failing or now >= self._leave_at(places, ask, now)
            ):
                del places.waiting_by_id[ask.id]
                self._server_by_id.pop(ask.id, None)
                decided.append((ask.id, Verdict(PlaceState.REFUSED, places.run_s(ask))))
        return decided

    def _grant(self, places: ServerPlaces, ask: Ask, now: float) -> Verdict:
        places.lease_by_id[ask.id] = ask.lease_at + LEASE_MARGIN_S
        self._server_by_id[ask.id] = places.server.id
        places.run_key_by_id[ask.id] = places.run_key(ask)
        places.note_object(ask.object_key)
        if places.server.is_cold(now):
            places.cold_grants.append(now)
        return Verdict(PlaceState.GRANTED)

    def _has_room(self, places: ServerPlaces, ask: Ask, now: float) -> bool:
        server = places.server
        extra = 0 if places.is_patient(ask) else EXTRA_PLACES
        most = places.health.limit_places(server.entry.slots + extra, now)
        if now < server.full_until or places.taken(now) >= most:
            return False
        if not server.is_cold(now):
            return True
        places.cold_grants = [at for at in places.cold_grants if at > now - 1.0]
        return len(places.cold_grants) < max(1, int(self.cold_per_s(server.entry.service)))

    def _is_first(self, places: ServerPlaces, ask: Ask, now: float) -> bool:
        """Whether nobody in line goes before the ask."""
        own = places.order(ask, now, 0)
        return all(places.order(other, now, 0) > own for _, other in places.waiting_by_id.values())

    def _expected_wait_s(self, places: ServerPlaces, ask: Ask, now: float) -> float:
        """Time until an ask gets a place, from the run times of those that go before it."""
        own_s = places.run_s(ask)
        own = places.order(ask, now, 0)
        ahead_s = sum(
            places.run_s(other)
            for _, other in places.waiting_by_id.values()
            if places.order(other, now, 0) <= own
        )
        slots = places.server.entry.slots
        over = max(0, places.taken(now) - slots - EXTRA_PLACES + 1)
        return (ahead_s + over * own_s) / slots

    def _leave_at(self, places: ServerPlaces, ask: Ask, start: float) -> float:
        """When an ask is refused: a late one waits for as long as its aim was."""
        if start + places.run_s(ask) <= ask.aim_at:
            return ask.aim_at
        aim_s = max(0.1, ask.aim_at - ask.asked_at)
        return min(ask.asked_at + LATE_PATIENCE * aim_s, ask.lease_at)

    def _expire(self, places: ServerPlaces, now: float) -> None:
        for place, lease_at in list(places.lease_by_id.items()):
            if now > lease_at:
                del places.lease_by_id[place]
                places.run_key_by_id.pop(place, None)
                self._server_by_id.pop(place, None)

    def _find(self, server: Server) -> ServerPlaces:
        places = self._places_by_server.get(server.id)
        if places is None or places.server is not server:
            places = ServerPlaces(server)
            self._places_by_server[server.id] = places
        return places


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
