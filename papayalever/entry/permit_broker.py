"""Permits to send requests to backend servers.

One instance is the owner of a server and grants the permits for it; the others acquire them there.
"""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from enum import StrEnum, auto

import logbook

from ..cluster.exceptions import PeerTimeoutError, PeerUnreachableError
from ..cluster.links import LinkPool
from ..cluster.messages import (
    NO_LIMIT,
    NO_REPORT,
    AcquirePermit,
    AwaitPermit,
    PermitReply,
    PermitState,
    ReleasePermit,
)
from ..routing.health import SendOutcome, ServerHealth
from ..routing.owners import Owners
from ..routing.permits import PermitDecision, PermitScheduler
from ..routing.replication_tree import InstanceEntry
from ..routing.server_limits import MAX_TRANSIT_S, LimitReport, ServerLimits
from ..routing.server_queue import PermitId, PermitRequest
from ..routing.servers import Server, ServerTable
from .clock import now
from .notices import note_leaving

REPLY_TIMEOUT_S = MAX_TRANSIT_S
"""Two round trips between the farthest regions, one of them with a retransmission; an owner decides
at once."""
TICK_INTERVAL_S = 0.02
"""Waiting requests are also decided periodically, since capacity is freed without a message when a
lease ends or a load report expires."""
DECISION_TTL_S = 1.0
"""How long a decision is kept for the requesting instance, whose next poll is on its way."""

LONG_POLL_S = 0.5
"""How long an owner holds the poll of a waiting instance; the next poll detects a connection that
went silent."""

LONG_WAIT_SHARE = 0.2
"""Expected wait, as a share of the latency target, above which another server is tried. Another
server has to load the object, which takes about three times as long as a run with it: a request
with a target of seconds is served sooner, and with less work, where its object is."""

FindFallback = Callable[[], Awaitable["Permit | None"]]

log = logbook.Logger("places")


@dataclass(frozen=True, slots=True)
class PermitSpec:
    """Properties of a request that decide when it gets a permit."""

    rank: int
    due_at: float
    """End of the latency target."""
    target_s: float
    """The latency target itself."""
    deadline_at: float
    """When the request ends in any case; the permit's lease ends with it."""
    object_key: str
    """Route and object: what a server knows of an object speeds up requests of the same route."""
    is_fallback: bool
    """Whether the request prefers another server."""


class PermitSource(StrEnum):
    """Who decided that a request may be sent."""

    OWNER = auto()
    """The server's owner, which may be this instance."""
    AHEAD = auto()
    """This instance, which sent it while it informed the owner."""
    ALONE = auto()
    """This instance, since no owner could decide."""


@dataclass(eq=False, slots=True)
class Permit:
    """Right to send one request to a server, held until released."""

    server: Server
    owner: InstanceEntry | None
    number: int
    source: PermitSource = PermitSource.OWNER


class PermitBroker:
    """Acquires permits from owners, and grants those for the servers that this instance owns."""

    def __init__(
        self,
        own: InstanceEntry,
        owners: Owners,
        servers: ServerTable,
        limits: ServerLimits,
        scheduler: PermitScheduler,
        pool: LinkPool,
    ) -> None:
        self._own = own
        self._owners = owners
        self._servers = servers
        self._limits = limits
        self._scheduler = scheduler
        self._pool = pool
        self._numbers = itertools.count(1)
        self._waiter_by_id: dict[PermitId, asyncio.Future[PermitDecision]] = {}
        self._tick_timer: asyncio.TimerHandle | None = None
        self._is_decision_scheduled = False
        self._tasks: set[asyncio.Task] = set()
        self._scopes_by_server: defaultdict[str, set[asyncio.Timeout]] = defaultdict(set)
        """Waits for permits, by server; they end when the server is withdrawn."""
        servers.on_withdrawn = self._note_withdrawn

    def __len__(self) -> int:
        """Number of requests that wait for a permit from this instance."""
        return len(self._waiter_by_id)

    # Acquiring permits.

    async def acquire(
        self, server: Server, spec: PermitSpec, find_fallback: FindFallback | None = None
    ) -> Permit | PermitDecision:
        """Acquire a permit; returns it, or the refusal of the server's owner.

        When a long wait is expected, ``find_fallback`` may return a permit for another server.
        """
        if not self._servers.accepts(server, now()):
            return PermitDecision(PermitState.REFUSED)
        owner = self._owners.find(server.entry, now())
        permit = Permit(server, owner, next(self._numbers))
        if owner is None:
            permit.source = PermitSource.ALONE
        if owner and self._may_self_grant(server, spec):
            self._self_grant(permit, spec)
            return permit
        is_held = False
        try:
            decision = await self._request(permit, spec)
            if decision.state == PermitState.QUEUED:
                if (
                    find_fallback
                    and decision.wait_s > LONG_WAIT_SHARE * spec.target_s
                    and (fallback := await find_fallback())
                ):
                    return fallback
                decision = await self._await_unless_withdrawn(permit, spec)
            is_held = decision.state == PermitState.GRANTED and self._servers.accepts(server, now())
        finally:
            if not is_held:
                self.release(permit, 0.0, -1, SendOutcome.UNKNOWN)
        if not is_held:
            self._servers.note_congested(server, now())
            return PermitDecision(PermitState.REFUSED, decision.wait_s)
        self._servers.note_start(server)
        return permit

    async def _request(self, permit: Permit, spec: PermitSpec) -> PermitDecision:
        if self._is_local(permit):
            return await self._request_local(permit, spec)
        return await self._request_remote(permit, spec)

    async def _await_unless_withdrawn(self, permit: Permit, spec: PermitSpec) -> PermitDecision:
        """Wait for the decision, or until the server takes no more requests."""
        scopes = self._scopes_by_server[permit.server.id]
        try:
            async with asyncio.timeout(None) as scope:
                scopes.add(scope)
                return await self._await_decision(permit, spec)
        except TimeoutError:
            return PermitDecision(PermitState.REFUSED)
        finally:
            scopes.discard(scope)
            if not scopes:
                self._scopes_by_server.pop(permit.server.id, None)

    def _note_withdrawn(self, server: Server) -> None:
        """Let requests that wait for a server go elsewhere."""
        for scope in self._scopes_by_server.get(server.id, ()):
            if not scope.expired():
                scope.reschedule(now())
        self._schedule_decisions()

    def release(self, permit: Permit, ran_s: float, running: int, end: SendOutcome) -> None:
        """Release a permit or leave the queue.

        ``running`` is the number of requests that the server reports, -1 if it reports none.
        """
        if self._is_local(permit):
            self._scheduler.release((self._own.name, permit.number), ran_s, running, now(), end)
            self._schedule_decisions()
            return
        message = ReleasePermit(
            self._own.name,
            permit.number,
            int(ran_s * 1000),
            running,
            str(end),
            *self._limit_fields(permit.server),
            permit.server.is_leaving,
        )
        self._spawn(self._send_release(permit.owner, message))

    def note_end(self, permit: Permit, ran_s: float, running: int, end: SendOutcome) -> None:
        """Record the end of a request sent with a permit, and release the permit."""
        self._servers.note_end(permit.server)
        self.release(permit, ran_s, running, end)

    def note_failed(self, permit: Permit, is_server_fault: Awaitable[bool]) -> None:
        """Record the end of a send that did not reach the server.

        The permit is released once it is known whose fault that is.
        """
        self._servers.note_end(permit.server)
        self._spawn(self._release_when_decided(permit, is_server_fault))

    async def _release_when_decided(self, permit: Permit, is_server_fault: Awaitable[bool]) -> None:
        end = SendOutcome.FAILED if await is_server_fault else SendOutcome.UNKNOWN
        self.release(permit, 0.0, -1, end)

    def _is_local(self, permit: Permit) -> bool:
        return permit.owner is None or permit.owner.name == self._own.name

    def _may_self_grant(self, server: Server, spec: PermitSpec) -> bool:
        """Whether to send the request without waiting for the owner's decision.

        Waiting costs a round trip when the server is in another region. The owner is only informed
        as long as nothing indicates that the server is congested.
        """
        at = now()
        is_other_region = server.entry.region != self._own.region
        is_uncongested = at >= server.congested_until and server.load(at) < server.entry.slots
        is_limited = server.is_cold(at) or self._limits.find(server.entry) is not None
        return is_other_region and is_uncongested and not is_limited and not spec.is_fallback

    def _self_grant(self, permit: Permit, spec: PermitSpec) -> None:
        permit.source = PermitSource.AHEAD
        self._servers.note_start(permit.server)
        if self._is_local(permit):
            self._scheduler.request(
                permit.server, _local_request(self._own.name, permit, spec, True), now()
            )
            return
        self._spawn(self._announce(permit, spec))

    async def _announce(self, permit: Permit, spec: PermitSpec) -> None:
        decision = await self._request_remote(permit, spec, is_already_sent=True)
        if decision.state != PermitState.GRANTED:
            self._servers.note_congested(permit.server, now())

    async def _request_local(self, permit: Permit, spec: PermitSpec) -> PermitDecision:
        decision = self._scheduler.request(
            permit.server, _local_request(self._own.name, permit, spec, False), now()
        )
        if decision.state == PermitState.QUEUED:
            self._add_waiter((self._own.name, permit.number))
        return decision

    async def _request_remote(
        self, permit: Permit, spec: PermitSpec, is_already_sent: bool = False
    ) -> PermitDecision:
        at = now()
        message = AcquirePermit(
            self._own.name,
            permit.number,
            permit.server.id,
            spec.rank,
            int((spec.due_at - at) * 1000),
            int((spec.deadline_at - at) * 1000),
            spec.object_key,
            spec.is_fallback,
            is_already_sent,
            *self._limit_fields(permit.server),
        )
        return await self._call_owner(permit, message, REPLY_TIMEOUT_S)

    async def _await_decision(self, permit: Permit, spec: PermitSpec) -> PermitDecision:
        if self._is_local(permit):
            return await self._await_local((self._own.name, permit.number))
        waiting = AwaitPermit(self._own.name, permit.number)
        decision = PermitDecision(PermitState.QUEUED)
        while decision.state == PermitState.QUEUED and now() < spec.deadline_at:
            decision = await self._call_owner(permit, waiting, LONG_POLL_S + REPLY_TIMEOUT_S)
        return decision

    async def _call_owner(
        self, permit: Permit, message: AcquirePermit | AwaitPermit, timeout_s: float
    ) -> PermitDecision:
        owner, server = permit.owner, permit.server
        try:
            reply = await self._pool.request(owner.peer_address, message, timeout_s)
        except (PeerTimeoutError, PeerUnreachableError) as error:
            # The next instance in order becomes the owner; this request continues without a queue.
            self._owners.mark_suspect(owner.name, now())
            log.warning("owner unreachable", owner=owner.name, server=server.id, error=str(error))
            return self._decide_alone(permit)
        self._owners.clear_suspect(owner.name)
        if reply is None:
            return self._decide_alone(permit)
        self._note_reported_limit(server, reply.limit_per_s, reply.limit_age_ms)
        if reply.is_leaving:
            note_leaving(self._servers, server, owner.name)
        return PermitDecision(PermitState(reply.state), reply.wait_ms / 1000)

    def _decide_alone(self, permit: Permit) -> PermitDecision:
        """Grant or refuse a permit from this instance's own view of the server's load."""
        permit.owner = None
        permit.source = PermitSource.ALONE
        server = permit.server
        is_limited = server.is_cold(now()) or self._limits.find(server.entry) is not None
        has_room = server.load(now()) < server.entry.slots and not is_limited
        return PermitDecision(PermitState.GRANTED if has_room else PermitState.REFUSED)

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_release(self, owner: InstanceEntry, message: ReleasePermit) -> None:
        try:
            await self._pool.notify(owner.peer_address, message, REPLY_TIMEOUT_S)
        except PeerUnreachableError as error:
            # The permit expires with its lease.
            log.debug("permit not released", owner=owner.name, error=str(error))

    # Granting permits.

    def handle_acquire(self, message: AcquirePermit) -> PermitReply | None:
        """Grant, queue or refuse a permit at once; None if the server table is empty.

        Load pattern: all instances restart at once, and some send requests before the owners of
        the servers have their state. The instances then decide alone instead of refusing.
        """
        if not self._servers.server_by_id:
            return None
        server = self._servers.server_by_id.get(message.server)
        if server is None:
            return PermitReply(PermitState.REFUSED, 0)
        self._note_reported_limit(server, message.limit_per_s, message.limit_age_ms)
        at = now()
        request = PermitRequest(
            (message.instance, message.number),
            message.rank,
            at,
            at + message.due_in_ms / 1000,
            at + message.lease_ms / 1000,
            message.object_key,
            message.is_fallback,
            message.is_already_sent,
        )
        decision = PermitDecision(PermitState.REFUSED)
        if self._servers.may_send(server) or request.is_already_sent:
            decision = self._scheduler.request(server, request, at)
        if decision.state == PermitState.QUEUED and not request.is_already_sent:
            self._add_waiter(request.id)
        return PermitReply(
            str(decision.state),
            int(decision.wait_s * 1000),
            *self._limit_fields(server),
            server.is_leaving,
        )

    async def handle_await(self, message: AwaitPermit) -> PermitReply:
        """Reply once a queued request is decided, or after a wait that it is still queued."""
        permit_id = (message.instance, message.number)
        waiter = self._waiter_by_id.get(permit_id)
        if waiter is None:
            return PermitReply(PermitState.REFUSED, 0)
        await asyncio.wait({waiter}, timeout=LONG_POLL_S)
        if not waiter.done():
            return PermitReply(PermitState.QUEUED, 0)
        self._waiter_by_id.pop(permit_id, None)
        return (
            PermitReply(PermitState.REFUSED, 0) if waiter.cancelled() else _reply(waiter.result())
        )

    def handle_release(self, message: ReleasePermit) -> None:
        """Release a permit that another instance held or waited for."""
        permit_id = (message.instance, message.number)
        self._waiter_by_id.pop(permit_id, None)
        if server := self._scheduler.find_server(permit_id):
            self._note_reported_limit(server, message.limit_per_s, message.limit_age_ms)
            if message.is_leaving:
                note_leaving(self._servers, server, message.instance)
        end = SendOutcome(message.outcome)
        self._scheduler.release(permit_id, message.ran_ms / 1000, message.running, now(), end)
        self._schedule_decisions()

    def note_limit(self, server: Server, report: LimitReport) -> None:
        """Record the limit that a response named."""
        if self._limits.note(server.entry, report):
            self._follow_limit(server)

    def _note_reported_limit(self, server: Server, per_s: float, age_ms: int) -> None:
        if age_ms == NO_REPORT:
            return
        limit_per_s = None if per_s == NO_LIMIT else per_s
        if self._limits.note_from_peer(server.entry, limit_per_s, age_ms / 1000, now()):
            self._follow_limit(server)

    def _follow_limit(self, server: Server) -> None:
        """Use a server's changed limit, also for the requests that wait."""
        log.info("server limit changed", server=server.id, per_s=self._limits.find(server.entry))
        self._servers.note_limited(server, 0.0, now())
        self._schedule_decisions()

    def _limit_fields(self, server: Server) -> tuple[float, int]:
        """The last known limit of a server, as message fields."""
        report = self._limits.find_report(server.entry)
        if report is None:
            return (NO_LIMIT, NO_REPORT)
        per_s = NO_LIMIT if report.per_s is None else report.per_s
        return (per_s, int((now() - report.seen_at) * 1000))

    def note_servers_changed(self) -> None:
        """Drop servers that were removed, and decide waiting requests again."""
        self._scheduler.drop_removed_servers(set(self._servers.server_by_id))
        self._schedule_decisions()

    def _add_waiter(self, permit_id: PermitId) -> None:
        self._waiter_by_id[permit_id] = asyncio.get_running_loop().create_future()
        self._start_timer()

    async def _await_local(self, permit_id: PermitId) -> PermitDecision:
        waiter = self._waiter_by_id.get(permit_id)
        if waiter is None:
            return PermitDecision(PermitState.REFUSED)
        try:
            return await waiter
        finally:
            self._waiter_by_id.pop(permit_id, None)

    def _schedule_decisions(self) -> None:
        if self._waiter_by_id and not self._is_decision_scheduled:
            self._is_decision_scheduled = True
            asyncio.get_running_loop().call_soon(self._decide_waiting)

    def _decide_waiting(self) -> None:
        self._is_decision_scheduled = False
        for permit_id, decision in self._scheduler.decide_queued(now()):
            waiter = self._waiter_by_id.get(permit_id)
            if waiter and not waiter.done():
                waiter.set_result(decision)
                asyncio.get_running_loop().call_later(
                    DECISION_TTL_S, self._discard_waiter, permit_id, waiter
                )

    def _discard_waiter(self, permit_id: PermitId, waiter: asyncio.Future[PermitDecision]) -> None:
        if self._waiter_by_id.get(permit_id) is waiter:
            del self._waiter_by_id[permit_id]

    def _start_timer(self) -> None:
        if self._tick_timer is None:
            self._tick_timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        if self._waiter_by_id:
            self._start_timer()
        self._decide_waiting()


def log_health(server: Server, health: ServerHealth) -> None:
    """Log that an owned server starts to fail all requests, or recovers."""
    if health.is_failing:
        log.warning("server failing", id=server.id, failures=health.failures)
    else:
        log.info("server recovered", id=server.id)


def _local_request(
    instance: str, permit: Permit, spec: PermitSpec, is_already_sent: bool
) -> PermitRequest:
    return PermitRequest(
        (instance, permit.number),
        spec.rank,
        now(),
        spec.due_at,
        spec.deadline_at,
        spec.object_key,
        spec.is_fallback,
        is_already_sent,
    )


def _reply(decision: PermitDecision) -> PermitReply:
    return PermitReply(str(decision.state), int(decision.wait_s * 1000))
