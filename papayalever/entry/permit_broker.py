"""Places at backend servers: asked for at the server's owner, given out for the servers owned."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass

import logbook

from ..cluster.exceptions import PeerTimeoutError, PeerUnreachableError
from ..cluster.links import LinkPool
from ..cluster.messages import AcquirePermit, AwaitPermit, PermitReply, PermitState, ReleasePermit
from ..routing.health import RunEnd, ServerHealth
from ..routing.lines import Ask, PlaceId
from ..routing.owners import Owners
from ..routing.places import Places, Verdict
from ..routing.relays import InstanceEntry
from ..routing.servers import Server, ServerTable
from .clock import now

ANSWER_S = 0.35
"""An owner says at once whether there is a place: two round trips between the farthest regions and
a retransmission in one."""
TICK_S = 0.02
"""Room also comes from leases that end and from reports that grow old."""
KEPT_VERDICT_S = 1.0
"""How long a verdict waits for the instance that asked: its question is on the way."""

AWAIT_S = 0.5
"""How long an owner holds the question of one that waits: a connection that went silent shows at
the next one."""

LONG_WAIT_S = 0.1
"""Expected wait above which a place elsewhere is looked for: half of a warm run."""

FindOther = Callable[[], Awaitable["Place | None"]]

log = logbook.Logger("places")


@dataclass(frozen=True, slots=True)
class Want:
    """What a request tells the owner."""

    rank: int
    aim_at: float
    over_at: float
    """When the request is over in any case."""
    object_key: str
    """Route and object: what a server knows of an object helps the requests of one route."""
    is_substitute: bool


@dataclass(eq=False, slots=True)
class Place:
    """A place at a server, held until it is returned."""

    server: Server
    owner: InstanceEntry | None
    number: int


class Desk:
    """Asks for places and gives out those of the servers that this instance owns."""

    def __init__(
        self,
        own: InstanceEntry,
        owners: Owners,
        servers: ServerTable,
        places: Places,
        pool: LinkPool,
    ) -> None:
        self._own = own
        self._owners = owners
        self._servers = servers
        self._places = places
        self._pool = pool
        self._numbers = itertools.count(1)
        self._waiter_by_id: dict[PlaceId, asyncio.Future[Verdict]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_settling = False
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        """Requests in the lines of the own servers."""
        return len(self._waiter_by_id)

    # Asking.

    async def acquire(
        self, server: Server, want: Want, find_other: FindOther | None = None
    ) -> Place | Verdict:
        """A place, or the refusal of the server's owner.

        While a long wait is ahead, ``find_other`` may bring a place at another server.
        """
        owner = self._owners.find(server.entry, now())
        place = Place(server, owner, next(self._numbers))
        if owner and self._may_go_ahead(server, want):
            self._go_ahead(place, want)
            return place
        is_held = False
        try:
            if owner is None or owner.name == self._own.name:
                verdict = await self._ask_own(place, want)
            else:
                verdict = await self._ask_remote(place, want)
            if verdict.state == PermitState.QUEUED:
                if find_other and verdict.wait_s > LONG_WAIT_S and (other := await find_other()):
                    return other
                verdict = await self._await_turn(place, want)
            is_held = verdict.state == PermitState.GRANTED and self._servers.may_send(server)
        finally:
            if not is_held:
                self.release(place, 0.0, -1, RunEnd.UNKNOWN)
        if not is_held:
            self._servers.note_crowded(server, now())
            return Verdict(PermitState.REFUSED, verdict.wait_s)
        self._servers.note_start(server)
        return place

    def release(self, place: Place, ran_s: float, running: int, end: RunEnd) -> None:
        """Return a place or leave the line; ``running`` is the server's own count or -1."""
        if self._is_own(place):
            self._places.give_back((self._own.name, place.number), ran_s, running, now(), end)
            self._note_room()
            return
        message = ReleasePermit(self._own.name, place.number, int(ran_s * 1000), running, str(end))
        self._start(self._tell(place.owner, message))

    def note_end(self, place: Place, ran_s: float, running: int, end: RunEnd) -> None:
        """The send of a granted place has ended."""
        self._servers.note_end(place.server)
        self.release(place, ran_s, running, end)

    def _is_own(self, place: Place) -> bool:
        return place.owner is None or place.owner.name == self._own.name

    def _may_go_ahead(self, server: Server, want: Want) -> bool:
        """Whether a server is so far that the question costs more than it brings.

        A question to another region costs a round trip; as long as nothing tells that the server
        is crowded, the owner is told and not asked.
        """
        at = now()
        is_far = server.entry.region != self._own.region
        is_calm = at >= server.crowded_until and server.load(at) < server.entry.slots
        return is_far and is_calm and not server.is_cold(at) and not want.is_substitute

    def _go_ahead(self, place: Place, want: Want) -> None:
        self._servers.note_start(place.server)
        if self._is_own(place):
            self._places.ask(place.server, _own_ask(self._own.name, place, want, True), now())
            return
        self._start(self._announce(place, want))

    async def _announce(self, place: Place, want: Want) -> None:
        verdict = await self._ask_remote(place, want, is_taken=True)
        if verdict.state != PermitState.GRANTED:
            self._servers.note_crowded(place.server, now())

    async def _ask_own(self, place: Place, want: Want) -> Verdict:
        verdict = self._places.ask(
            place.server, _own_ask(self._own.name, place, want, False), now()
        )
        if verdict.state == PermitState.QUEUED:
            self._open_waiter((self._own.name, place.number))
        return verdict

    async def _ask_remote(self, place: Place, want: Want, is_taken: bool = False) -> Verdict:
        at = now()
        question = AcquirePermit(
            self._own.name,
            place.number,
            place.server.id,
            want.rank,
            int((want.aim_at - at) * 1000),
            int((want.over_at - at) * 1000),
            want.object_key,
            want.is_substitute,
            is_taken,
        )
        return await self._call(place, question, ANSWER_S)

    async def _await_turn(self, place: Place, want: Want) -> Verdict:
        if self._is_own(place):
            return await self._wait((self._own.name, place.number))
        waiting = AwaitPermit(self._own.name, place.number)
        verdict = Verdict(PermitState.QUEUED)
        while verdict.state == PermitState.QUEUED and now() < want.over_at:
            verdict = await self._call(place, waiting, AWAIT_S + ANSWER_S)
        return verdict

    async def _call(
        self, place: Place, question: AcquirePermit | AwaitPermit, most_s: float
    ) -> Verdict:
        owner, server = place.owner, place.server
        try:
            reply = await self._pool.request(owner.peer_address, question, most_s)
        except (PeerTimeoutError, PeerUnreachableError) as error:
            # The next in order owns the server from here on; this request goes on without a line.
            self._owners.pass_over(owner.name, now())
            log.warning("owner lost", owner=owner.name, server=server.id, error=str(error))
            has_room = server.load(now()) < server.entry.slots and not server.is_cold(now())
            place.owner = None
            return Verdict(PermitState.GRANTED if has_room else PermitState.REFUSED)
        self._owners.trust(owner.name)
        if reply is None:
            return Verdict(PermitState.REFUSED)
        return Verdict(PermitState(reply.state), reply.wait_ms / 1000)

    def _start(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell(self, owner: InstanceEntry, message: ReleasePermit) -> None:
        try:
            await self._pool.notify(owner.peer_address, message, ANSWER_S)
        except PeerUnreachableError as error:
            # The lease ends the place.
            log.debug("place not returned", owner=owner.name, error=str(error))

    # Giving out.

    def handle_ask(self, message: AcquirePermit) -> PermitReply:
        """Answer a question for a place at once."""
        server = self._servers.server_by_id.get(message.server)
        if server is None:
            return PermitReply(PermitState.REFUSED, 0)
        at = now()
        ask = Ask(
            (message.instance, message.number),
            message.rank,
            at,
            at + message.due_in_ms / 1000,
            at + message.lease_ms / 1000,
            message.object_key,
            message.is_fallback,
            message.is_already_sent,
        )
        verdict = self._places.ask(server, ask, at)
        if verdict.state == PermitState.QUEUED and not ask.is_taken:
            self._open_waiter(ask.id)
        return _reply(verdict)

    async def handle_await(self, message: AwaitPermit) -> PermitReply:
        """Answer when a queued question is decided, or that it is not yet."""
        place = (message.instance, message.number)
        waiter = self._waiter_by_id.get(place)
        if waiter is None:
            return PermitReply(PermitState.REFUSED, 0)
        await asyncio.wait({waiter}, timeout=AWAIT_S)
        if not waiter.done():
            return PermitReply(PermitState.QUEUED, 0)
        self._waiter_by_id.pop(place, None)
        return (
            PermitReply(PermitState.REFUSED, 0) if waiter.cancelled() else _reply(waiter.result())
        )

    def handle_return(self, message: ReleasePermit) -> None:
        """Take a place back."""
        place = (message.instance, message.number)
        self._waiter_by_id.pop(place, None)
        end = RunEnd(message.outcome)
        self._places.give_back(place, message.ran_ms / 1000, message.running, now(), end)
        self._note_room()

    def note_change(self) -> None:
        """Servers changed: look whether there is room, forget those that are gone."""
        self._places.forget(set(self._servers.server_by_id))
        self._note_room()

    def _open_waiter(self, place: PlaceId) -> None:
        self._waiter_by_id[place] = asyncio.get_running_loop().create_future()
        self._arm()

    async def _wait(self, place: PlaceId) -> Verdict:
        waiter = self._waiter_by_id.get(place)
        if waiter is None:
            return Verdict(PermitState.REFUSED)
        try:
            return await waiter
        finally:
            self._waiter_by_id.pop(place, None)

    def _note_room(self) -> None:
        if self._waiter_by_id and not self._is_settling:
            self._is_settling = True
            asyncio.get_running_loop().call_soon(self._settle)

    def _settle(self) -> None:
        self._is_settling = False
        for place, verdict in self._places.settle(now()):
            waiter = self._waiter_by_id.get(place)
            if waiter and not waiter.done():
                waiter.set_result(verdict)
                asyncio.get_running_loop().call_later(KEPT_VERDICT_S, self._drop, place, waiter)

    def _drop(self, place: PlaceId, waiter: asyncio.Future[Verdict]) -> None:
        if self._waiter_by_id.get(place) is waiter:
            del self._waiter_by_id[place]

    def _arm(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._settle()
        if self._waiter_by_id:
            self._arm()


def log_health(server: Server, health: ServerHealth) -> None:
    """Tell that a server which this instance owns fails all it runs, or no longer does."""
    if health.is_failing:
        log.warning("server failing", id=server.id, failures=health.failures)
    else:
        log.info("server recovered", id=server.id)


def _own_ask(instance: str, place: Place, want: Want, is_taken: bool) -> Ask:
    return Ask(
        (instance, place.number),
        want.rank,
        now(),
        want.aim_at,
        want.over_at,
        want.object_key,
        want.is_substitute,
        is_taken,
    )


def _reply(verdict: Verdict) -> PermitReply:
    return PermitReply(str(verdict.state), int(verdict.wait_s * 1000))
