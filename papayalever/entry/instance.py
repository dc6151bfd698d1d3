"""One entry instance: wires its components, runs its tasks and shuts down gracefully."""

import asyncio
import signal
import socket
import time
from collections import Counter
from contextlib import suppress
from dataclasses import asdict, replace
from functools import partial
from random import Random
from typing import Any

import logbook
import msgspec

from ..cluster.links import LinkPool, LinkServer
from ..cluster.messages import (
    AcquirePermit,
    AskCarrier,
    AwaitPermit,
    CancelCarry,
    Carry,
    Follow,
    ReleasePermit,
)
from ..routing.owners import Owners
from ..routing.permits import PermitScheduler
from ..routing.placement import Placement
from ..routing.replication_tree import InstanceEntry, ReplicationTree
from ..routing.routes import CallerLimits, RouteTable, WeightedRoundRobin
from ..routing.server_limits import ServerLimits
from ..routing.servers import ServerTable
from .caller import CallerConnection
from .callers import CallerConnections, count_idle_server_places, count_places
from .carried import CarryServer
from .carrying import CarryClient
from .clock import now
from .crashes import CRASH_KIND, CrashTracker
from .exchange import Exchange, refuse
from .follower import Follower
from .freshness import WATCH_SHARE, WatchSchedule, compute_freshness, schedule_alternating
from .header_block import Headers
from .hold_policies import build_hold_policies
from .housekeeping import Housekeeping
from .listeners import Handler, ListenerRules
from .memory import (
    RESPONSE_SHARE,
    HeapTrimmer,
    MessageMemory,
    adapt_limit,
    compute_limit,
    read_own_bytes,
    trim_heap,
)
from .messages import DEFAULT_DEADLINE_S, CallerRequest, RequestMeta, Response
from .metrics import EntryMetrics
from .own_objects import InvalidOwnObjectError, read_instance
from .path_monitor import PathMonitor
from .permit_broker import PermitBroker, log_health
from .pool import ConnectionPool
from .settings import EntrySettings
from .shared import HeaderAdapter, SharedState
from .state_updates import INSTANCE_KIND, StateUpdater, StoreAdapter
from .stopping import RETRY_AFTER_S, STOPPING, StopPlan, plan_stop
from .store_cache import StoreCache
from .store_position import era_of
from .store_protocol import InstanceStore
from .supervision import supervise
from .turns import ReadTurns
from .watcher import WATCH_HISTORY_SHARE, StoreAccessError

ACCEPTS_PER_TURN = 16
"""Connections that a listener accepts at a turn of the loop; each may be one too many."""
BACKLOG = 512
"""Accept queue of a listener; a caller that meets a full queue is delayed by seconds."""
SWEEP_INTERVAL_S = 0.25
"""Interval between removals of expired idle connections and of held objects."""
DIRECTORY_TTL_S = 2.0
"""How long callers may cache a directory response."""
CALLERS, DIRECTORY, READY, METRICS = "callers", "directory", "ready", "metrics"
"""Names of the listeners for HTTP."""
MAX_LOGGED_BYTES = 256
"""Most that is logged of a target or an id, which callers choose."""
CLOSE_TIMEOUT_S = 0.2
"""Limit on the closing handshakes with other instances at shutdown."""
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
"""Port and path of the metrics address in the deployment file."""
REGISTER_RETRY_S = 1.0
"""Interval between attempts to register; store calls are rate-limited and billed, and no request
depends on the entry."""
MAX_REPORTED_AGE_S = 3600.0
"""Age that logs and metrics show for a view that never had contact with the store."""
REWRITE_SHARE = 0.25
"""Share of the store's writes that instances use to write again what it lost; servers and operators
do so at the same time."""
ADMIN_LIMITS = CallerLimits(header_bytes=8 * 1024, body_bytes=1024, header_s=3.0, idle_s=30.0)
"""For readiness, metrics and directory requests, which have no body."""
NO_CONFIG_RETRY_AFTER_S = 0.5
"""Retry-After of an instance that has no configuration yet."""

log = logbook.Logger("instance")


class EntryInstance:
    """Serves callers until a stop is requested."""

    def __init__(
        self,
        settings: EntrySettings,
        store: InstanceStore,
        adapter: HeaderAdapter,
        store_adapter: StoreAdapter,
    ) -> None:
        self.settings = settings
        self._store_adapter = store_adapter
        self._store = store
        rng = Random(settings.instance)
        servers, limits = ServerTable(), ServerLimits()
        memory = MessageMemory(compute_limit(settings.memory_mb), RESPONSE_SHARE)
        self.metrics = EntryMetrics(self._read_gauges)
        store.on_unreadable = partial(self.metrics.count, "objects_unreadable")
        self._turns = ReadTurns()
        pool = ConnectionPool(memory, count_idle_server_places(settings.max_fds), self._turns)
        paths = PathMonitor(servers, pool, lambda service: self.shared.max_idle(service), rng)
        pool.on_connected = paths.note_connected
        self.shared = SharedState(
            adapter=adapter,
            bounds=settings.bounds,
            routes=RouteTable(),
            servers=servers,
            limits=limits,
            splitter=WeightedRoundRobin(),
            pool=pool,
            paths=paths,
            crashes=CrashTracker(store, settings.instance),
            metrics=self.metrics,
            memory=memory,
        )
        domains = Counter(settings.region_by_domain.values())
        self._placement = Placement(servers, settings.region, domains)
        self._connections = CallerConnections(
            count_places(settings.max_fds),
            lambda: self.shared.routes.limits.idle_s,
            self._note_refused,
        )
        memory.make_room = self._connections.make_room
        self._trimmer = HeapTrimmer()
        self._listeners: list[asyncio.Server] = []
        self._exchanges: set[Exchange] = set()
        self._stop = asyncio.Event()
        self._stop_plan: StopPlan | None = None
        """Set when a graceful shutdown begins."""
        self.is_leaving = False
        self._is_listening = False
        self._tree = ReplicationTree(_own_entry(settings, int(time.time() * 1000)))
        self._links = LinkPool()
        self._carry_links = LinkPool()
        self.carry_client = CarryClient(self._tree, self._carry_links, rng, memory)
        self.carry_server = CarryServer(self.shared, paths, lambda: self.is_leaving)
        owners = Owners()
        self.permit_broker = PermitBroker(
            self._tree.own,
            owners,
            servers,
            limits,
            PermitScheduler(
                self._cold_per_s,
                servers.may_send,
                log_health,
                lambda server: limits.find(server.entry),
                lambda server: owners.rank(settings.instance, server.entry),
            ),
            self._links,
        )
        self._must_register = asyncio.Event()
        self._must_register.set()
        self._registered_position: int | None = None
        """Position of the write of the own entry, None before the first one and while it is written
        again."""
        self._rng = rng
        self._state_updater = StateUpdater(
            self.shared,
            store_adapter,
            self._tree,
            owners,
            self.permit_broker,
            self._check_registration,
        )
        self.cache = StoreCache(
            build_hold_policies(store_adapter, settings.heartbeat_s),
            self._state_updater.apply,
            self._note_restored,
        )
        self.follower = Follower(
            self._tree,
            self.cache,
            store,
            self._links,
            settings.seeds,
            rng,
            compute_freshness(settings.bounds, len(self._state_updater.strict_kinds)),
            self._schedule_watches(),
        )
        self._housekeeping = Housekeeping(
            self._tree, self.cache, self.shared.crashes, store, self._links, INSTANCE_KIND
        )
        self._peers = LinkServer(settings.peer_listener, self._handle_peer)

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this instance."""
        has_state = self.cache.is_complete and self.shared.routes.version > 0
        is_open = self._is_listening and not self._connections.is_full(CALLERS, now())
        return has_state and is_open and not self.is_leaving

    def reload(self, settings: EntrySettings) -> None:
        """Apply changed settings; identity and listeners change only with a restart."""
        if settings == self.settings:
            return
        self.settings = replace(
            self.settings,
            bounds=settings.bounds,
            store=settings.store,
            seeds=settings.seeds,
            region_by_domain=settings.region_by_domain,
        )
        self.shared.bounds = settings.bounds
        self.shared.budget_by_service.clear()
        self._store.address = settings.store
        log.info("settings changed", store=settings.store, bounds=asdict(settings.bounds))

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a stop is requested, then finish the accepted requests."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        work_by_name = {
            "follower": self.follower.run,
            "seeds": self.follower.poll_seeds,
            "remote readers": self.follower.poll_remote_readers,
            "registration": self._register,
            "sweep": self._sweep,
            "housekeeping": self._housekeeping.run,
            "path monitor": self.shared.paths.run,
        }
        tasks = [loop.create_task(supervise(name, work)) for name, work in work_by_name.items()]
        settings = self.settings
        await self._peers.start()
        caller_server = await self._listen(CALLERS, settings.caller_listener, self._handle_request)
        await self._listen(READY, settings.ready_listener, self._handle_ready)
        await self._listen(METRICS, f"{settings.ip}:{METRICS_PORT}", self._handle_metrics)
        if settings.directory_listener:
            await self._listen(DIRECTORY, settings.directory_listener, self._handle_directory)
        self._is_listening = True
        log.info("started", instance=settings.instance, failure_domain=settings.failure_domain)
        try:
            await self._stop.wait()
            await self._drain(caller_server)
        finally:
            for task in tasks:
                task.cancel()
            with suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self.abort()
            log.info("stopped", instance=settings.instance)

    async def abort(self) -> None:
        """Close every listener and connection at once, as if the process ended."""
        for listener in self._listeners:
            listener.close()
        self._connections.abort()
        await self._peers.close()
        await self._links.close()
        await self._carry_links.close()
        self.shared.pool.sweep(set())

    # Listeners.

    async def _listen(self, name: str, address: str, handle: Handler) -> asyncio.Server:
        rules = ListenerRules(
            name=name,
            handle=handle,
            read_limits=self._caller_limits if name == CALLERS else lambda: ADMIN_LIMITS,
            memory=self.shared.memory,
            turns=self._turns,
            on_open=self._admit,
            on_close=self._connections.discard,
            on_refused=self._note_refused,
            retry_after=self.shared.adapter.retry_after,
        )
        if name == CALLERS:
            rules.read_deadline_s = self._read_deadline
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        sock = socket.create_server((host, int(port)), backlog=BACKLOG)
        sock.setblocking(False)
        server = await loop.create_server(
            lambda: CallerConnection(rules), sock=sock, backlog=ACCEPTS_PER_TURN
        )
        # The loop listens with the backlog that it is given, and accepts as many at a turn.
        sock.listen(BACKLOG)
        self._listeners.append(server)
        return server

    def _admit(self, connection: CallerConnection) -> bool:
        if not self._connections.admit(connection):
            return False
        connection.is_draining = self.is_leaving and connection.listener == CALLERS
        return True

    def _note_refused(self, reason: str) -> None:
        self.metrics.count("input_refused", reason)

    def _read_deadline(self, target: bytes, headers: Headers) -> float:
        """Seconds after which an incomplete request is of no use; like those of an exchange."""
        deadline_s = self.shared.adapter.read_request(headers).deadline_s or DEFAULT_DEADLINE_S
        host = next(value for name, value in headers if name == b"host").decode("latin-1")
        path = target.partition(b"?")[0].decode("latin-1")
        route = self.shared.routes.match(host, path)
        return min(deadline_s, route.timeout_s) if route else min(deadline_s, DEFAULT_DEADLINE_S)

    def _schedule_watches(self) -> dict[str, WatchSchedule]:
        """Schedule of the watches of each kind; those with the shortest bound alternate."""
        bounds, strict = self.settings.bounds, self._state_updater.strict_kinds
        longest_s = self.settings.history_s * WATCH_HISTORY_SHARE
        freshness = compute_freshness(bounds, len(strict))
        schedules = {kind: WatchSchedule(longest_s) for kind in self._state_updater.kinds}
        for index, kind in enumerate(strict):
            schedules[kind] = schedule_alternating(freshness, index, len(strict))
        evacuation_s = WATCH_SHARE * min(bounds.evacuation_s, bounds.contact_s)
        schedules[self._store_adapter.evacuation_kind] = WatchSchedule(evacuation_s)
        return schedules

    def _caller_limits(self) -> CallerLimits:
        return self.shared.routes.limits

    async def _handle_ready(self, request: CallerRequest) -> Response:
        if request.path != self._store_adapter.ready_path:
            return Response(404)
        return Response(200 if self.is_ready else 503)

    async def _handle_metrics(self, request: CallerRequest) -> Response:
        if request.path != METRICS_PATH:
            return Response(404)
        return Response(200, [(b"Content-Type", b"text/plain")], self.metrics.render())

    def _read_gauges(self) -> dict[str, float]:
        follower, servers = self.follower, self.shared.servers
        return {
            "config_version": float(self.shared.routes.version),
            "store_era": float(max(0, self.cache.era)),
            "objects_held": float(self.cache.held_count),
            "servers": float(len(servers.server_by_id)),
            "evacuated_domains": float(len(servers.evacuated)),
            "instances": float(len(self._tree.entry_by_name)),
            "reads_store": float(follower.is_reading),
            "view_is_current": float(follower.is_current),
            "view_age_seconds": min(follower.view_origin.age_s, MAX_REPORTED_AGE_S),
            "callers_connected": float(self._connections.count_open(CALLERS)),
            "connections_most": float(self._connections.most_by_listener[CALLERS]),
            "connections_paused": float(self._turns.paused),
            "requests_waiting": float(len(self.permit_broker)),
            "requests_sent": float(sum(item.in_flight for item in servers.server_by_id.values())),
            "message_bytes": float(self.shared.memory.used),
            "message_bytes_most": float(self.shared.memory.limit),
            "reaches_servers": float(not self.shared.paths.is_cut),
            "sends_carried": float(len(self.carry_server)),
            "server_connections_opened": float(self.shared.pool.opened),
        }

    async def _handle_directory(self, request: CallerRequest) -> Response:
        query = self._store_adapter.read_directory_query(request.target.decode("latin-1"))
        if query is None:
            return Response(404)
        if not self.is_ready:
            return Response(503)
        body = self._store_adapter.directory_response(
            [self.settings.caller_listener], DIRECTORY_TTL_S
        )
        return Response(200, [(b"Content-Type", b"application/json")], msgspec.json.encode(body))

    async def _handle_request(self, request: CallerRequest) -> Response:
        started = now()
        meta = self.shared.adapter.read_request(request.headers)
        exchange = self._open_exchange(request, meta)
        if isinstance(exchange, Response):
            self._log_response(request, meta, exchange, started)
            return exchange
        self._exchanges.add(exchange)
        try:
            response = await exchange.run()
        except asyncio.CancelledError:
            self._log_response(request, meta, Response(0, reason="caller left"), started, exchange)
            raise
        finally:
            self._exchanges.discard(exchange)
        self._log_response(request, meta, response, started, exchange)
        return response

    def _open_exchange(self, request: CallerRequest, meta: RequestMeta) -> Exchange | Response:
        """Return the exchange for a request, or the response if no backend server is needed."""
        shared = self.shared
        if shared.routes.config is None:
            return refuse(shared, "no configuration is known yet", NO_CONFIG_RETRY_AFTER_S)
        if meta.request_id is None or not request.target.startswith(b"/"):
            return Response(400, [], b"the request has no id or no path\n", "malformed")
        route = shared.routes.match(request.host, request.path)
        if route is None:
            return Response(404, [], b"no route\n", "no route")
        if self._sends_nothing():
            return refuse(shared, STOPPING, RETRY_AFTER_S)
        exchange = Exchange(
            shared, self.permit_broker, self.carry_client, self._placement, request, meta, route
        )
        if self._stop_plan:
            exchange.note_stop(self._stop_plan)
        return exchange

    def _sends_nothing(self) -> bool:
        """Whether no new request is sent to a server, since this instance stops."""
        return self._stop_plan is not None and now() >= self._stop_plan.forward_until

    def _log_response(
        self,
        request: CallerRequest,
        meta: RequestMeta,
        response: Response,
        started: float,
        exchange: Exchange | None = None,
    ) -> None:
        fields = exchange.log_fields() if exchange else {"rank": "none"}
        took_s = now() - started
        self.metrics.count("answers", f"{response.status} {response.reason}".strip())
        self.metrics.time("request", f"rank {fields['rank']}", took_s)
        view = self.follower.view_origin
        if exchange:
            self.metrics.time("wait", f"rank {fields['rank']}", exchange.trace.waited_s)
        elif response.status == 404:
            # Shows whether the route is missing here only.
            fields = fields | {"origin": view.name}
        log.info(
            "request",
            id=(meta.request_id or b"")[:MAX_LOGGED_BYTES].decode("latin-1"),
            target=request.target[:MAX_LOGGED_BYTES].decode("latin-1"),
            config=self.shared.routes.version,
            status=response.status,
            reason=response.reason,
            ms=round(took_s * 1000, 1),
            view_is_current=self.follower.is_current,
            view_age_ms=int(min(view.age_s, MAX_REPORTED_AGE_S) * 1000),
            **fields,
        )

    # Other instances and the store.

    def _handle_peer(self, message: Any) -> Any:
        if isinstance(message, Follow):
            return self.follower.handle_follow(message)
        if isinstance(message, AcquirePermit):
            return self.permit_broker.handle_acquire(message)
        if isinstance(message, AwaitPermit):
            return self.permit_broker.handle_await(message)
        if isinstance(message, ReleasePermit):
            return self.permit_broker.handle_release(message)
        if isinstance(message, AskCarrier):
            return self.carry_server.handle_ask(message)
        if isinstance(message, Carry):
            return self.carry_server.handle_carry(message)
        if isinstance(message, CancelCarry):
            return self.carry_server.handle_cancel(message)
        log.warning("unknown message", type=type(message).__name__)
        return None

    async def _register(self) -> None:
        """Write this instance's entry to the store whenever it is missing there."""
        while True:
            await self._must_register.wait()
            if self.is_leaving:
                return
            try:
                entry = msgspec.to_builtins(self._tree.own)
                position = await self._store.put(INSTANCE_KIND, self.settings.instance, entry)
            except StoreAccessError as error:
                log.warning("registration failed", error=str(error))
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            self._must_register.clear()
            self._registered_position = position
            self._check_registration()

    def _check_registration(self) -> None:
        """Register again if the store lacks the own entry in a state after its write.

        An instance that took this one for gone removed it, or the store restored a copy.
        """
        written_at, position = self._registered_position, self.cache.position(INSTANCE_KIND)
        if written_at is None or position < written_at or self.is_leaving:
            return
        if self._is_own_entry(self.cache.stored_value(INSTANCE_KIND, self.settings.instance)):
            return
        log.warning("entry missing, registering again", instance=self.settings.instance)
        self._registered_position = None
        pause_s = self._rewrite_pause_s() if era_of(position) > era_of(written_at) else 0.0
        asyncio.get_running_loop().call_later(pause_s, self._must_register.set)

    def _is_own_entry(self, value: bytes | None) -> bool:
        if value is None:
            return False
        try:
            return read_instance(self.settings.instance, value) == self._tree.own
        except InvalidOwnObjectError:
            return False

    def _note_restored(self, kind: str) -> None:
        if kind == CRASH_KIND:
            self.shared.crashes.write_missing(
                lambda name: self.cache.stored_value(CRASH_KIND, name) is not None,
                self._rewrite_pause_s(),
                self._rewrite_period_s(),
                now(),
            )

    def _rewrite_pause_s(self) -> float:
        """Pause before this instance writes again what the store lost, which all may have to do."""
        return self._rng.uniform(0.0, self._rewrite_period_s())

    def _rewrite_period_s(self) -> float:
        """Time in which each instance may write once."""
        return self.shared.instances / (REWRITE_SHARE * self.settings.store_writes_per_s)

    def _cold_per_s(self, service: str) -> float:
        config = self.shared.routes.config
        rule = config.service_by_name.get(service) if config else None
        return rule.cold_per_s if rule else 1.0

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.cache.release_held(now())
            listed_ids = set(self.shared.servers.server_by_id)
            self.shared.pool.sweep(listed_ids)
            self.shared.limits.forget_unlisted(listed_ids, now())
            self._adapt_memory()

    def _adapt_memory(self) -> None:
        """Fit the limit on messages to the process, and give back memory that is free again."""
        memory = self.shared.memory
        if self._trimmer.must_trim(memory.used):
            trim_heap()
        if own_bytes := read_own_bytes():
            memory.limit = adapt_limit(self.settings.memory_mb, own_bytes, memory.used)

    # Shutdown.

    async def _drain(self, caller_server: asyncio.Server) -> None:
        """Accept new connections for a while, then finish pending requests until the time limit."""
        plan = self._stop_plan = plan_stop(self.settings.bounds.stop_s, now())
        for exchange in self._exchanges:
            exchange.note_stop(plan)
        self.is_leaving = self.follower.is_leaving = True
        log.info("leaving", open_connections=self._connections.count_open(CALLERS))
        for connection in self._connections.list_open(CALLERS):
            connection.drain()
        try:
            await self._store.delete(INSTANCE_KIND, self.settings.instance)
        except StoreAccessError as error:
            log.warning("entry not removed from the store", error=str(error))
        await asyncio.sleep(max(0.0, plan.accept_until - now()))
        caller_server.close()
        while self._is_finishing() and now() < plan.close_by:
            for connection in self._connections.list_open(CALLERS):
                connection.drain()
            await asyncio.sleep(0.02)

    def _is_finishing(self) -> bool:
        """Whether requests are still being answered, or carried for others."""
        return self._connections.count_open(CALLERS) > 0 or len(self.carry_server) > 0


def _own_entry(settings: EntrySettings, started_ms: int) -> InstanceEntry:
    return InstanceEntry(
        name=settings.instance,
        failure_domain=settings.failure_domain,
        region=settings.region,
        peer_address=settings.peer_listener,
        caller_address=settings.caller_listener,
        capacity=settings.cpu_share * settings.link_mbit_s,
        started_ms=started_ms,
    )
