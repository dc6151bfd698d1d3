"""Places at the servers that one instance owns: who may send to them, and in which order.

Load patterns: more urgent work than slots for seconds, so that every answer would come late if all
waited in the servers' own queues; servers that are cold and crash under a surge. The owner of a
server counts all places of all instances and keeps one line for it. Requests that can still make
their aim go first, the urgent ones first among them; who can not be served in time is told at once.

Pure state: ``now`` is in seconds of the owner's monotonic clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from ..cluster.messages import PermitState
from .health import RunEnd, ServerHealth
from .lines import Ask, PlaceId, ServerPlaces
from .servers import Server

EXTRA_PLACES = 1
"""Places over the slots: the next request is on its way while a slot gets free. Patient work does
not get them: an urgent request would wait behind it."""
SPARE_SHARE = 0.5
"""Part of its slots below which a server takes objects that another one knows."""
LATE_PATIENCE = 1.0
"""Of its aim's length: how long a request waits that can not make its aim any more."""
LEASE_MARGIN_S = 0.5
"""A place of an instance that died is free so long after its request must be over."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Answer to an ask; ``wait_s`` is the expected time until there is room."""

    state: PermitState
    wait_s: float = 0.0


@dataclass(slots=True)
class Places:
    """Places at all servers that this instance owns."""

    cold_per_s: Callable[[str], float]
    """Requests a second that a cold server of a service withstands."""
    may_send: Callable[[Server], bool]
    """Whether a server gets new requests at all."""
    on_health: Callable[[Server, ServerHealth], None] = lambda server, health: None
    """Called when a server begins to fail all that it runs, and when it recovers."""
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
            return Verdict(PermitState.GRANTED if has_room else PermitState.QUEUED, wait_s)
        if places.health.is_failing and not self._has_room(places, ask, now):
            # Another server may serve it in time; a line here would wait for a trial to end.
            return Verdict(PermitState.REFUSED, places.run_s(ask))
        if ask.is_substitute:
            is_known = ask.object_key in places.known_objects
            has_spare = is_known or places.taken(now) < server.entry.slots * SPARE_SHARE
            if places.waiting_by_id or not has_spare or not self._has_room(places, ask, now):
                return Verdict(PermitState.REFUSED, places.run_s(ask))
            return self._grant(places, ask, now)
        if self._is_first(places, ask, now) and self._has_room(places, ask, now):
            return self._grant(places, ask, now)
        wait_s = self._expected_wait_s(places, ask, now)
        if now + wait_s > self._leave_at(places, ask, now + wait_s):
            return Verdict(PermitState.REFUSED, wait_s)
        places.waiting_by_id[ask.id] = (next(self._numbers), ask)
        self._server_by_id[ask.id] = server.id
        return Verdict(PermitState.QUEUED, wait_s)

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
        was_failing = places.health.is_failing
        places.health.note(end, now)
        if places.health.is_failing != was_failing:
            self.on_health(places.server, places.health)
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
                decided.append((ask.id, Verdict(PermitState.REFUSED, places.run_s(ask))))
        return decided

    def _grant(self, places: ServerPlaces, ask: Ask, now: float) -> Verdict:
        places.lease_by_id[ask.id] = ask.lease_at + LEASE_MARGIN_S
        self._server_by_id[ask.id] = places.server.id
        places.run_key_by_id[ask.id] = places.run_key(ask)
        places.note_object(ask.object_key)
        if places.server.is_cold(now):
            places.cold_grants.append(now)
        return Verdict(PermitState.GRANTED)

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
