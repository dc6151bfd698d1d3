"""Handles one request of a caller: selects backend servers, retries and builds the response."""

import asyncio
import itertools
import time
from collections.abc import Awaitable
from dataclasses import dataclass, field

import logbook
import xxhash

from ..hashing import HASH_RANGE, hash_text
from ..routing.health import SendOutcome, classify_unanswered
from ..routing.permits import PermitDecision
from ..routing.pipelining import Turn, find_blocking, is_delay_tolerant
from ..routing.placement import Placement, PlacementKey
from ..routing.reachability import MAX_PROBE_PAUSE_S
from ..routing.routes import RouteRule
from ..routing.server_limits import LimitReport
from ..routing.servers import Server
from .carrying import CarryClient
from .clock import now
from .connection import ClientConnection, SendError, SendFailure
from .forwarding import end_to_end_headers
from .messages import (
    DEFAULT_DEADLINE_S,
    CallerRequest,
    RequestMeta,
    Response,
    ResponseKind,
    ServerLoad,
    ServerResponse,
)
from .notices import MAX_LOGGED_VALUE_BYTES, note_head
from .permit_broker import Permit, PermitBroker, PermitSpec
from .sending import OutgoingRequest, may_have_run, send_direct
from .shared import SharedState, digest_request
from .stopping import RETRY_AFTER_S, STOPPING, StopPlan

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses from which a caller concludes that its request did not run."""
MAX_CONNECT_FAILURES = 4
"""Failed connections after which a request is given up; nothing was sent on these."""
MIN_RETRY_TIME_SHARE = 0.5
"""Share of the latency target that must remain to retry an idempotent request after an error."""
MAX_FALLBACKS = 2
"""Servers besides an object's own that are asked for spare capacity. With more of them, servers
would evict objects of their own from their caches."""
MAX_KEY_BYTES = 128
"""Longer keys of objects are replaced by their hash, since thousands of them are remembered."""
MAX_SELECTIONS = 3
"""How many times a request selects a server, as the selected one may leave while it waits."""
MIN_RETRY_AFTER_S = 0.15
"""Shortest Retry-After of a refusal: a request on a warm server frees a slot by then."""
SHED_RETRY_AFTER_S = 0.05
"""Retry-After of a request that a server with room refused: there is nothing to wait for."""
SHED_WITH_ROOM = "server with room refused"
NO_WAY = "no instance reaches the server"
PATH_LOST = "the path to the server was lost"
SERVERS_NOT_TO_BLAME = frozenset((SendFailure.STALE, SHED_WITH_ROOM, NO_WAY, PATH_LOST))
"""Failures after which a request may be sent to the same server again."""
RETURN_SPREAD_S = 0.2
"""Time over which the callers of one rank come back: a run on a warm server."""
MAX_SPREAD_RANK = 3
"""Lower ranks come back together."""
NO_SERVER_RETRY_AFTER_S = 1.0
"""Retry-After while no server of the service takes requests: one that starts is listed by then."""
MIN_SEND_TIME_S = 0.02
"""Remaining time below which a request is not sent again."""

log = logbook.Logger("request")


@dataclass(slots=True)
class RequestTrace:
    """What happened to a request, for its log line."""

    servers: list[str] = field(default_factory=list)
    loads: list[int] = field(default_factory=list)
    """Known load of each server, in requests, when it was selected."""
    permits: list[str] = field(default_factory=list)
    """Who permitted each send."""
    limits: dict[str, float] = field(default_factory=dict)
    """Known limits of the servers in requests per second, by server, when they were selected."""
    failures: list[str] = field(default_factory=list)
    carriers: list[str] = field(default_factory=list)
    """Instances by way of which it was sent, since this one reached no server."""
    refused_ms: dict[str, float] = field(default_factory=dict)
    """Expected wait in milliseconds by server, for servers whose owner refused the request."""
    may_have_run: bool = False
    waited_s: float = 0.0


class Exchange:
    """Handles one request."""

    def __init__(
        self,
        shared: SharedState,
        permit_broker: PermitBroker,
        carry_client: CarryClient,
        placement: Placement,
        request: CallerRequest,
        meta: RequestMeta,
        route: RouteRule,
    ) -> None:
        self._shared = shared
        self._permit_broker = permit_broker
        self._carry_client = carry_client
        self._placement = placement
        self._retry_after_s = MIN_RETRY_AFTER_S
        self._request = request
        self._meta = meta
        self._route = route
        self.service = shared.splitter.choose(route)
        self.object_key = self._find_key()
        self._digest: str | None = None
        deadline_s = meta.deadline_s or DEFAULT_DEADLINE_S
        self._deadline = request.arrived_at + min(deadline_s, route.timeout_s)
        self._scope: asyncio.Timeout | None = None
        """Ends the request at its deadline."""
        self._send_until: float | None = None
        """Set once the instance stops: nothing is sent to a server later."""
        self._search_scope: asyncio.Timeout | None = None
        """Ends the wait for a server at that time."""
        self._excluded_ids: set[str] = set()
        self._unreached_ids: set[str] = set()
        """Servers that were out of reach, used again once that turns out to be the own path."""
        self._is_cut_known = False
        self._connect_failures = 0
        self._send_count = 0
        self._used_connections: set[ClientConnection] = set()
        self._error_response: Response | None = None
        """Error response of a server, returned to the caller unless a retry succeeds."""
        self._turn = Turn(route.target_latency_s)
        self._has_given_way = False
        request.turn = self._turn
        self.trace = RequestTrace()

    def log_fields(self) -> dict:
        """Fields of the request's log line."""
        trace = self.trace
        return {
            "route": self._route.name,
            "rank": self._route.rank,
            "service": self.service,
            "object": self.object_key,
            "waited_ms": round(trace.waited_s * 1000, 1),
            "servers": trace.servers,
            "loads": trace.loads,
            "permits": trace.permits,
            "limits": trace.limits,
            "failures": trace.failures,
            "carriers": trace.carriers,
            "refused_ms": trace.refused_ms,
            "may_have_run": trace.may_have_run,
        }

    async def run(self) -> Response:
        """Return the response for the caller; raises only when cancelled."""
        self._shared.budget(self.service).note_request(now())
        ahead = (item.turn for item in self._request.ahead if item.turn)
        for turn in find_blocking(ahead, self._route.target_latency_s):
            turn.give_way()
        # Would keep all earlier requests of a connection that pipelines without a pause.
        self._request.ahead = ()
        try:
            async with asyncio.timeout_at(self._deadline) as self._scope:
                return await self._try_servers()
        except TimeoutError:
            return self._final_response("out of time")

    def note_stop(self, plan: StopPlan) -> None:
        """Answer the request within a shutdown, and send it to no server late in it."""
        self._send_until = plan.forward_until
        _reschedule(self._search_scope, plan.forward_until)
        if plan.answer_by < self._deadline:
            self._deadline = plan.answer_by
            _reschedule(self._scope, plan.answer_by)

    async def _try_servers(self) -> Response:
        while True:
            if self._is_quarantined():
                return self._final_response("the request crashed servers")
            if not await self._find_way():
                self._retry_after_s = MAX_PROBE_PAUSE_S
                return self._final_response(NO_WAY)
            try:
                async with asyncio.timeout_at(self._send_until) as self._search_scope:
                    permit = await self._wait_for_permit()
            except TimeoutError:
                self._retry_after_s = RETRY_AFTER_S
                return self._final_response(STOPPING)
            finally:
                self._search_scope = None
            if permit is None and self._has_given_way:
                return self._final_response("an urgent request waits behind it")
            if permit is None:
                return self._final_response("no server has room")
            outcome = await self._attempt(permit)
            if isinstance(outcome, Response):
                return outcome
            self.trace.failures.append(outcome)
            self._exclude(permit.server, outcome)
            self._shared.metrics.count("failed_sends", outcome)
            if not self._may_retry():
                if not self._has_available_server():
                    self._note_waits()
                return self._final_response(outcome)

    def _exclude(self, server: Server, outcome: str) -> None:
        """Send to other servers after a failure, unless it says nothing about this one."""
        if outcome == SendFailure.NOT_CONNECTED:
            self._unreached_ids.add(server.id)
        elif outcome not in SERVERS_NOT_TO_BLAME:
            self._excluded_ids.add(server.id)

    async def _find_way(self) -> bool:
        """Whether this instance, or another one for it, reaches the servers.

        Load pattern: a cut instance would take permits that it cannot use.
        """
        paths = self._shared.paths
        if not paths.is_cut:
            return True
        if not self._is_cut_known:
            self._is_cut_known = True
            self._unreached_ids.clear()
            self._connect_failures = 0
        if await self._carry_client.find(self._route.regions):
            return True
        return paths.cut_since is None or self._shared.pool.has_live(paths.cut_since)

    async def _wait_for_permit(self) -> Permit | None:
        """Get a permit, unless the request gives way to an urgent one on its connection."""
        shortest_s = self._shared.routes.shortest_target_s
        if self.trace.may_have_run or not is_delay_tolerant(self._turn.target_s, shortest_s):
            return await self._find_permit()
        search = asyncio.get_running_loop().create_task(self._find_permit())

        def give_way() -> None:
            self._has_given_way = search.cancel() or self._has_given_way

        self._turn.give_way = give_way
        try:
            return await search
        except asyncio.CancelledError:
            if not self._has_given_way:
                raise
            return None
        finally:
            self._turn.give_way = None

    async def _find_permit(self) -> Permit | None:
        """Get a permit at a server, selecting again if the selected server leaves meanwhile."""
        started = now()
        try:
            for _ in range(MAX_SELECTIONS):
                first, fallbacks = self._candidates()
                if first is None:
                    self._note_waits()
                    return await self._ask_fallbacks(fallbacks)
                permit = await self._ask_candidates(first, fallbacks)
                if permit or self._is_usable(first):
                    return permit
            return None
        finally:
            self.trace.waited_s += now() - started

    async def _ask_candidates(self, first: Server, fallbacks: list[Server]) -> Permit | None:
        """Get a permit at the first server, or at a fallback server with spare capacity."""
        permit = await self._permit_broker.acquire(
            first, self._permit_spec(), lambda: self._ask_fallbacks(fallbacks)
        )
        if isinstance(permit, Permit):
            return permit
        self._note_refusal(first, permit)
        self._retry_after_s = max(MIN_RETRY_AFTER_S, permit.wait_s)
        if self._is_usable(first):
            return await self._ask_fallbacks(fallbacks)
        return None

    async def _ask_fallbacks(self, fallbacks: list[Server]) -> Permit | None:
        for server in fallbacks:
            permit = await self._permit_broker.acquire(server, self._permit_spec(is_fallback=True))
            if isinstance(permit, Permit):
                return permit
            self._note_refusal(server, permit)
        return None

    def _note_refusal(self, server: Server, decision: PermitDecision) -> None:
        self.trace.refused_ms[server.id] = round(decision.wait_s * 1000, 1)
        if self._shared.limits.find(server.entry) is not None:
            self._shared.servers.note_limited(server, decision.wait_s, now())

    def _is_usable(self, server: Server) -> bool:
        """Whether a selected server still takes requests and has room within its limit."""
        return self._shared.servers.accepts(server, now()) and server.has_limit_room(now())

    def _has_available_server(self) -> bool:
        at, servers = now(), self._shared.servers.servers(self.service)
        return any(server.is_available(at) for server in servers)

    def _note_waits(self) -> None:
        """Let the caller come back when the first server takes requests again."""
        at, shared = now(), self._shared
        usable = [
            server
            for server in shared.servers.servers(self.service)
            if shared.servers.may_send(server)
        ]
        if not usable:
            self._retry_after_s = NO_SERVER_RETRY_AFTER_S
        ends = [max(server.limited_until, server.paused_until) for server in usable]
        waits_s = [end - at for end in ends if end > at]
        if waits_s:
            spread = compute_spread(self._route.rank, self._meta.request_id or b"")
            self._retry_after_s = max(MIN_RETRY_AFTER_S, min(waits_s) + spread)

    def _permit_spec(self, is_fallback: bool = False) -> PermitSpec:
        return PermitSpec(
            rank=self._route.rank,
            due_at=self._request.arrived_at + self._route.target_latency_s,
            target_s=self._route.target_latency_s,
            deadline_at=self._deadline,
            object_key=f"{self._route.name}/{self.object_key}",
            is_fallback=is_fallback,
        )

    def _candidates(self) -> tuple[Server | None, list[Server]]:
        """The server to ask first and the fallback servers, in the object's order of preference.

        Load pattern: servers name limits that are used up. A server without a limit takes over
        their objects like its own. One with a limit does not, since it would spend its few requests
        on objects that it has to load, and its own would be refused: it is a fallback server only.
        """
        claim = PlacementKey(self.service, self.object_key, self._route.regions)
        at, limits = now(), self._shared.limits
        usable = (
            server
            for server in self._placement.order(claim, time.time())
            if server.id not in self._excluded_ids
            and server.id not in self._unreached_ids
            and server.is_available(at)
        )
        own = next(usable, None)
        with_room = (server for server in usable if server.has_limit_room(at))
        if own is None or own.has_limit_room(at):
            return own, list(itertools.islice(with_room, MAX_FALLBACKS))
        others = list(with_room)
        first = next((item for item in others if limits.find(item.entry) is None), None)
        return first, [item for item in others if item is not first][:MAX_FALLBACKS]

    def _find_key(self) -> str:
        has_object = self._route.has_affinity and self._meta.object_key
        # Without an object any server is suitable: spread the requests by their ids.
        key = self._meta.object_key if has_object else self._meta.request_id or b""
        if len(key) > MAX_KEY_BYTES:
            key = xxhash.xxh3_128_hexdigest(key).encode()
        return key.decode("latin-1")

    async def _attempt(self, permit: Permit) -> Response | str:
        """Send once; returns the response for the caller, or the reason why there is none."""
        shared, server = self._shared, permit.server
        started, ran_s, running, end = now(), 0.0, -1, SendOutcome.UNKNOWN
        fault: Awaitable[bool] | None = None
        self._trace_send(permit, started)
        try:
            response = await self._send(server)
            kind = shared.adapter.read_response(response)
            if response.load:
                running = response.load.running + response.load.waiting
                shared.servers.note_load(
                    server, response.load.running, response.load.waiting, now()
                )
            self._note_limit(server, response, kind)
            if may_have_run(kind):
                ran_s = now() - started
            end = classify_response(response.status, kind)
            return self._check_response(server, response, kind)
        except SendError as error:
            if error.failure in (SendFailure.STALE, SendFailure.WITHDRAWN):
                return str(error.failure)
            if error.failure == SendFailure.LOST:
                # Once the caller leaves, its body is gone.
                self._request_digest()
            fault = asyncio.ensure_future(self._find_fault(server, error))
            if error.failure == SendFailure.LOST:
                await asyncio.shield(fault)
            return self._note_failed(server, error)
        except asyncio.CancelledError:
            if not shared.paths.reachability.was_cut_since(started):
                end = classify_unanswered(now() - started, self._route.target_latency_s)
            raise
        finally:
            if fault:
                self._permit_broker.note_failed(permit, fault)
            else:
                self._permit_broker.note_end(permit, ran_s, running, end)

    def _trace_send(self, permit: Permit, started: float) -> None:
        server = permit.server
        self.trace.servers.append(server.id)
        self.trace.loads.append(server.load(started))
        self.trace.permits.append(str(permit.source))
        if (limit_per_s := self._shared.limits.find(server.entry)) is not None:
            self.trace.limits[server.id] = limit_per_s

    async def _send(self, server: Server) -> ServerResponse:
        may_have_run_before = self.trace.may_have_run
        send_count_before = self._send_count
        try:
            response = await self._send_some_way(server)
        except SendError as error:
            if error.failure in (SendFailure.NOT_CONNECTED, SendFailure.WITHDRAWN):
                self.trace.may_have_run = may_have_run_before
                self._send_count = send_count_before
            raise
        if not may_have_run(self._shared.adapter.read_response(response)):
            self.trace.may_have_run = may_have_run_before
        return response

    async def _send_some_way(self, server: Server) -> ServerResponse:
        """Send over an own connection, or while this instance is cut off by way of another one."""
        shared, outgoing, entry = self._shared, self._outgoing(), server.entry
        if not shared.paths.is_cut:
            return await send_direct(shared, server, outgoing)
        connection = shared.pool.take_idle(
            entry, not self._route.is_idempotent, self._used_connections, shared.paths.cut_since
        )
        if connection:
            return await send_direct(shared, server, outgoing, connection)
        carrier = self._carry_client.choose(self._route.regions)
        if carrier is None:
            raise SendError(SendFailure.NOT_CONNECTED, NO_WAY, is_server_fault=False)
        self.trace.carriers.append(carrier.name)
        response = await self._carry_client.send(carrier, server, outgoing, self._send_count > 0)
        note_head(shared, server, response.status, response.headers)
        return response

    def _outgoing(self) -> OutgoingRequest:
        return OutgoingRequest(
            self._request,
            self._meta.request_id,
            self._route.is_idempotent,
            self._deadline,
            self._note_sent,
            self._used_connections,
        )

    def _note_sent(self) -> None:
        self.trace.may_have_run = True
        self._send_count += 1

    def _note_limit(self, server: Server, response: ServerResponse, kind: ResponseKind) -> None:
        """Record the limit that a response names; only a signed one ends a limit by naming none."""
        limits = self._shared.limits
        if kind == ResponseKind.OTHER_SERVER:
            return
        bad_value = response.unreadable_limit
        if bad_value is not None and limits.note_unreadable(server.entry):
            log.warning(
                "limit of a server is not a number",
                server=server.id,
                value=repr(bad_value[:MAX_LOGGED_VALUE_BYTES]),
            )
        is_end = kind == ResponseKind.SEALED and bad_value is None
        if response.limit_per_s is None and not is_end:
            return
        report = LimitReport(response.limit_per_s, response.head_at)
        self._permit_broker.note_limit(server, report)

    def _check_response(
        self, server: Server, response: ServerResponse, kind: ResponseKind
    ) -> Response | str:
        servers = self._shared.servers
        if kind == ResponseKind.OTHER_SERVER:
            servers.note_failure(server, now())
            return "another server has the address"
        if kind == ResponseKind.NOT_RUN and response.status in NOT_RUN_STATUSES:
            is_paused = now() < server.paused_until
            if not is_paused and is_shed_with_room(
                response.load, server.load(now()), server.entry.slots
            ):
                self._retry_after_s = SHED_RETRY_AFTER_S
                return SHED_WITH_ROOM
            servers.note_full(server, now())
            return "server refused"
        if kind == ResponseKind.UNSEALED and (
            response.status < 400 or response.status in NOT_RUN_STATUSES
        ):
            return "answer without signature"
        if response.status in NOT_RUN_STATUSES and kind == ResponseKind.SEALED:
            return "refusal that does not say that nothing ran"
        servers.note_success(server)
        forwarded = Response(response.status, end_to_end_headers(response.headers), response.body)
        if response.status >= 500 and self._may_retry_error():
            self._error_response = forwarded
            return "server error"
        return forwarded

    def _is_quarantined(self) -> bool:
        crashes = self._shared.crashes
        return crashes.crash_log.has_any and crashes.is_quarantined(self._request_digest(), now())

    def _request_digest(self) -> str:
        if self._digest is None:
            request = self._request
            self._digest = digest_request(
                request.host, request.method, request.target, request.body
            )
        return self._digest

    async def _find_fault(self, server: Server, error: SendError) -> bool:
        """Whether a failed send is the server's fault, and not that of the path to it.

        Records a crash if the server refuses connections right after it broke one.
        """
        if error.is_server_fault is not None:
            return error.is_server_fault
        if error.failure == SendFailure.NOT_CONNECTED:
            return await self._shared.paths.is_server_fault(server)
        if error.failure != SendFailure.LOST:
            log.warning("response not accepted", server=server.id, error=error.detail)
            return True
        if self._shared.paths.is_cut:
            return False
        try:
            connection = await self._shared.pool.open(server.entry)
        except SendError as connect_error:
            is_server_fault = await self._shared.paths.is_server_fault(server)
            if connect_error.is_refused and is_server_fault:
                self._shared.crashes.note(self._request_digest(), server.id, now())
            return is_server_fault
        connection.close()
        return True

    def _may_retry_error(self) -> bool:
        """Whether the request may be retried on another server after an error response."""
        has_time = self._deadline - now() > self._route.target_latency_s * MIN_RETRY_TIME_SHARE
        is_allowed = self._route.is_idempotent and self._send_count < self._route.max_servers
        return (
            is_allowed
            and has_time
            and not self._is_too_late_to_send()
            and self._shared.budget(self.service).left(now()) >= 1
        )

    def _note_failed(self, server: Server, error: SendError) -> str:
        servers = self._shared.servers
        is_own_path = self._shared.paths.is_cut and error.is_server_fault is None
        if is_own_path or error.is_server_fault is False:
            self._connect_failures += error.failure == SendFailure.NOT_CONNECTED
            return NO_WAY if error.failure == SendFailure.NOT_CONNECTED else PATH_LOST
        if error.failure == SendFailure.NOT_CONNECTED:
            self._connect_failures += 1
            servers.note_failure(server, now())
        elif server.failures:
            servers.note_failure(server, now())
        else:
            # One lost response does not prove a fault; after a crash the next connect fails.
            server.failures = 1
        return str(error.failure)

    def _may_retry(self) -> bool:
        if (
            self._deadline - now() < MIN_SEND_TIME_S
            or self._connect_failures >= MAX_CONNECT_FAILURES
            or self._is_too_late_to_send()
        ):
            return False
        if self.trace.may_have_run and not self._route.is_idempotent:
            return False
        if self._send_count >= self._route.max_servers:
            return False
        return not self._send_count or self._shared.budget(self.service).take(now())

    def _is_too_late_to_send(self) -> bool:
        return self._send_until is not None and now() >= self._send_until

    def _final_response(self, reason: str) -> Response:
        """The response to a request that no server completed successfully."""
        if self._error_response:
            return self._error_response
        if not self.trace.may_have_run:
            return refuse(self._shared, reason, self._retry_after_s)
        status = 504 if reason == "out of time" else 502
        return Response(status, [(b"Content-Type", b"text/plain")], b"no answer\n", reason)


def _reschedule(scope: asyncio.Timeout | None, at: float) -> None:
    if scope and not scope.expired():
        scope.reschedule(at)


def is_shed_with_room(reported: ServerLoad | None, known_load: int, slots: int) -> bool:
    """Whether a server refused a request although no request waits there.

    Load pattern: servers refuse half of the requests although they are idle. The server has the
    object, so that asking it again is better than a run without the object elsewhere, which would
    be late and take the room of four. ``known_load`` includes the refused request and counts only
    if the server reports no load of its own.
    """
    if reported:
        return reported.waiting == 0
    return known_load <= slots


def compute_spread(rank: int, request_id: bytes) -> float:
    """Seconds that a caller waits beyond the end of a pause.

    Load pattern: all callers that were refused meanwhile would come back at the same moment. The
    urgent ranks come first, and those of a rank one after the other.
    """
    share = hash_text(request_id.decode("latin-1")) / HASH_RANGE
    return RETURN_SPREAD_S * (min(rank, MAX_SPREAD_RANK) + share)


def classify_response(status: int, kind: ResponseKind) -> SendOutcome:
    """What a complete response says about the health of its server."""
    if kind in (ResponseKind.NOT_RUN, ResponseKind.OTHER_SERVER):
        return SendOutcome.UNKNOWN
    is_good = status < 500 and (kind == ResponseKind.SEALED or status >= 400)
    return SendOutcome.GOOD if is_good else SendOutcome.FAILED


def refuse(shared: SharedState, reason: str, retry_after_s: float) -> Response:
    """Refuse a request that did not run, with a Retry-After header."""
    headers = [(b"Content-Type", b"text/plain"), shared.adapter.retry_after(retry_after_s)]
    return Response(503, headers, f"not run: {reason}\n".encode(), reason)
