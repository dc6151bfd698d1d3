"""Permits for the backend servers that one instance owns: who may send, and in which order.

Load patterns: for seconds there are more urgent requests than slots, so that every response would
be late if all requests waited in the servers' own queues; cold servers crash under a surge. The
owner of a server counts the permits of all instances and keeps one queue for it. Requests that can
still meet their latency target go first, ordered by urgency; a request that cannot be served in
time is refused at once.

Pure state: ``now`` is in seconds of the owner's monotonic clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from ..cluster.messages import PermitState
from .health import SendOutcome, ServerHealth
from .rate_limiter import NO_SHARE, RateLimiter, compute_share
from .server_queue import PermitId, PermitRequest, ServerQueue
from .servers import Server

EXTRA_PERMITS = 1
"""Permits beyond the slots, so that the next request is in transit while a slot is freed.
Delay-tolerant requests do not get them, since an urgent request would have to wait behind."""
MAX_FALLBACK_LOAD = 0.5
"""Share of its slots in use below which a fallback server also accepts objects that it has not
cached."""
LATE_WAIT_RATIO = 1.0
"""How long a request that can no longer meet its latency target waits, as a multiple of it."""
LEASE_MARGIN_S = 0.5
"""Added to each lease: the permits of an instance that died are freed this long after their
requests must be over."""


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """Response to a permit request; ``wait_s`` is the expected time until a permit is free."""

    state: PermitState
    wait_s: float = 0.0


@dataclass(slots=True)
class PermitScheduler:
    """Grants the permits of all servers that this instance owns."""

    cold_per_s: Callable[[str], float]
    """Returns the requests per second that a cold server of a service withstands."""
    may_send: Callable[[Server], bool]
    """Returns whether a server may get new requests at all."""
    on_health: Callable[[Server, ServerHealth], None] = lambda server, health: None
    """Called when a server starts to fail every request and when it recovers."""
    limit_per_s: Callable[[Server], float | None] = lambda server: None
    """Returns the limit that a server names, in requests per second."""
    owner_rank: Callable[[Server], int | None] = lambda server: 0
    """Returns the position of this instance in the order of a server's owners, if it has one."""
    _queue_by_server: dict[str, ServerQueue] = field(default_factory=dict)
    _server_by_permit: dict[PermitId, str] = field(default_factory=dict)
    _sequence_numbers: count = field(default_factory=count)

    def request(self, server: Server, request: PermitRequest, now: float) -> PermitDecision:
        """Grant a permit, queue the request or refuse it at once."""
        queue = self._find(server)
        self._update_limiter(queue, now)
        queue.note_target(request)
        if request.is_already_sent:
            has_room = not queue.waiting_by_id and self._has_room(queue, request, now)
            wait_s = self._expected_wait_s(queue, request, now)
            self._grant(queue, request, now)
            return PermitDecision(PermitState.GRANTED if has_room else PermitState.QUEUED, wait_s)
        if queue.health.is_failing and not self._has_room(queue, request, now):
            # Another server may respond in time; here the request would wait for a probe to end.
            return _refuse(queue, request, now)
        if queue.limiter and queue.limiter.share == NO_SHARE:
            return _refuse(queue, request, now)
        if request.is_fallback:
            may_serve = queue.objects.has(request.object_key) or self._has_spare_room(queue, now)
            if queue.waiting_by_id or not may_serve or not self._has_room(queue, request, now):
                return _refuse(queue, request, now)
            return self._grant(queue, request, now)
        if self._is_first(queue, request, now) and self._has_room(queue, request, now):
            return self._grant(queue, request, now)
        wait_s = self._expected_wait_s(queue, request, now)
        if now + wait_s > self._refuse_at(queue, request, now + wait_s):
            return PermitDecision(PermitState.REFUSED, wait_s)
        queue.waiting_by_id[request.id] = (next(self._sequence_numbers), request)
        self._server_by_permit[request.id] = server.id
        return PermitDecision(PermitState.QUEUED, wait_s)

    def release(
        self,
        permit: PermitId,
        ran_s: float,
        running: int,
        now: float,
        outcome: SendOutcome = SendOutcome.UNKNOWN,
    ) -> None:
        """Free a permit or leave the queue.

        ``running`` is the load that the server reported, negative if it reported none.
        """
        queue = self._queue_by_server.get(self._server_by_permit.pop(permit, ""))
        if queue is None:
            return
        queue.waiting_by_id.pop(permit, None)
        if queue.lease_end_by_id.pop(permit, None) is None:
            return
        was_failing = queue.health.is_failing
        queue.health.note(outcome, now)
        if queue.health.is_failing != was_failing:
            self.on_health(queue.server, queue.health)
        key, use = queue.forget_permit(permit)
        if ran_s > 0 and key and outcome != SendOutcome.FAILED:
            queue.note_run(key, use, ran_s)
        if running >= 0:
            queue.untracked_requests = max(0, running - len(queue.lease_end_by_id) - 1)
            queue.untracked_requests_at = now

    def find_server(self, permit: PermitId) -> Server | None:
        """The server that a permit or a queued request is for."""
        queue = self._queue_by_server.get(self._server_by_permit.get(permit, ""))
        return queue.server if queue else None

    def decide_queued(self, now: float) -> list[tuple[PermitId, PermitDecision]]:
        """Grant queued requests that have room now and refuse those that are too late."""
        decided: list[tuple[PermitId, PermitDecision]] = []
        for queue in self._queue_by_server.values():
            self._expire_leases(queue, now)
            if queue.waiting_by_id:
                self._update_limiter(queue, now)
                decided += self._decide_queue(queue, now)
        return decided

    def drop_removed_servers(self, known_ids: set[str]) -> None:
        """Drop servers that no longer exist once they have no permits and no queue."""
        for server_id in list(self._queue_by_server):
            queue = self._queue_by_server[server_id]
            if server_id not in known_ids and not queue.lease_end_by_id and not queue.waiting_by_id:
                del self._queue_by_server[server_id]

    def _decide_queue(
        self, queue: ServerQueue, now: float
    ) -> list[tuple[PermitId, PermitDecision]]:
        decided: list[tuple[PermitId, PermitDecision]] = []
        may_send = self.may_send(queue.server)
        waiting = sorted(
            queue.waiting_by_id.values(),
            key=lambda item: queue.sort_key(item[1], now, item[0]),
        )
        ahead = 0
        for _, request in waiting:
            if may_send and self._has_room(queue, request, now):
                del queue.waiting_by_id[request.id]
                decided.append((request.id, self._grant(queue, request, now)))
            elif (
                not may_send
                or queue.health.is_failing
                or now >= self._refuse_at(queue, request, now)
                or self._is_beyond_limit(queue, request, ahead, now)
            ):
                del queue.waiting_by_id[request.id]
                self._server_by_permit.pop(request.id, None)
                decided.append((request.id, _refuse(queue, request, now)))
            else:
                ahead += 1
        return decided

    def _is_beyond_limit(
        self, queue: ServerQueue, request: PermitRequest, ahead: int, now: float
    ) -> bool:
        """Whether the server's limit leaves a queued request no room in time."""
        if queue.limiter is None:
            return False
        if queue.limiter.share == NO_SHARE:
            return True
        start_at = now + queue.limiter.wait_s(ahead, now)
        return start_at > self._refuse_at(queue, request, start_at)

    def _grant(self, queue: ServerQueue, request: PermitRequest, now: float) -> PermitDecision:
        queue.lease_end_by_id[request.id] = request.lease_ends_at + LEASE_MARGIN_S
        self._server_by_permit[request.id] = queue.server.id
        queue.note_grant(request)
        if queue.limiter:
            queue.limiter.note_grant(now)
        if queue.server.is_cold(now):
            queue.cold_granted_at.append(now)
        return PermitDecision(PermitState.GRANTED)

    def _has_room(self, queue: ServerQueue, request: PermitRequest, now: float) -> bool:
        server = queue.server
        extra = 0 if queue.is_delay_tolerant(request) else EXTRA_PERMITS
        limit = queue.health.limit_permits(server.entry.slots + extra, now)
        if now < server.full_until or queue.in_use(now) >= limit:
            return False
        if queue.limiter and not queue.limiter.has_room(now):
            return False
        if not server.is_cold(now):
            return True
        share = compute_share(self.cold_per_s(server.entry.service), self.owner_rank(server))
        if share == NO_SHARE:
            return False
        queue.cold_granted_at = [at for at in queue.cold_granted_at if at > now - 1.0]
        return len(queue.cold_granted_at) < max(1, int(share.per_s))

    def _has_spare_room(self, queue: ServerQueue, now: float) -> bool:
        """Whether a server has room for objects that it has to load for others."""
        if queue.limiter and not queue.limiter.is_unused(now):
            return False
        return queue.in_use(now) < queue.server.entry.slots * MAX_FALLBACK_LOAD

    def _is_first(self, queue: ServerQueue, request: PermitRequest, now: float) -> bool:
        """Whether the request precedes all queued ones."""
        own_key = queue.sort_key(request, now, 0)
        return all(
            queue.sort_key(other, now, 0) > own_key for _, other in queue.waiting_by_id.values()
        )

    def _expected_wait_s(self, queue: ServerQueue, request: PermitRequest, now: float) -> float:
        """Time until a request gets a permit, from the run times of those that precede it."""
        own_run_s = queue.expected_run_s(request)
        own_key = queue.sort_key(request, now, 0)
        ahead = [
            other
            for _, other in queue.waiting_by_id.values()
            if queue.sort_key(other, now, 0) <= own_key
        ]
        ahead_s = sum(queue.expected_run_s(other) for other in ahead)
        slots = queue.server.entry.slots
        excess = max(0, queue.in_use(now) - slots - EXTRA_PERMITS + 1)
        wait_s = (ahead_s + excess * own_run_s) / slots
        return max(wait_s, queue.limiter.wait_s(len(ahead), now)) if queue.limiter else wait_s

    def _refuse_at(self, queue: ServerQueue, request: PermitRequest, start_at: float) -> float:
        """When a request is refused if it is still queued; see `LATE_WAIT_RATIO` for late ones."""
        if start_at + queue.expected_run_s(request) <= request.due_at:
            return request.due_at
        target_s = max(0.1, request.due_at - request.requested_at)
        return min(request.requested_at + LATE_WAIT_RATIO * target_s, request.lease_ends_at)

    def _expire_leases(self, queue: ServerQueue, now: float) -> None:
        for permit, lease_ends_at in list(queue.lease_end_by_id.items()):
            if now > lease_ends_at:
                del queue.lease_end_by_id[permit]
                queue.forget_permit(permit)
                self._server_by_permit.pop(permit, None)

    def _update_limiter(self, queue: ServerQueue, now: float) -> None:
        limit_per_s = self.limit_per_s(queue.server)
        if limit_per_s is None:
            queue.limiter = None
            return
        share = compute_share(limit_per_s, self.owner_rank(queue.server))
        if queue.limiter is None:
            queue.limiter = RateLimiter(share, now)
        elif queue.limiter.share != share:
            queue.limiter.set_share(share, now)

    def _find(self, server: Server) -> ServerQueue:
        queue = self._queue_by_server.get(server.id)
        if queue is None or queue.server is not server:
            queue = ServerQueue(server)
            self._queue_by_server[server.id] = queue
        return queue


def _refuse(queue: ServerQueue, request: PermitRequest, now: float) -> PermitDecision:
    """Refuse a request; it finds room after a run, or once the server's limit allows it."""
    wait_s = queue.expected_run_s(request)
    if queue.limiter:
        wait_s = max(wait_s, queue.limiter.wait_s(0, now))
    return PermitDecision(PermitState.REFUSED, wait_s)
