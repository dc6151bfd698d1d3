"""One entry instance: starts its tasks, connects them and stops them gracefully."""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, replace
from random import Random
from typing import Any

import logbook
import msgspec

from ..cluster.links import LinkPool, LinkServer
from ..cluster.messages import AcquirePermit, AwaitPermit, Follow, ReleasePermit
from ..routing.owners import Owners
from ..routing.permits import PermitScheduler
from ..routing.placement import Placement
from ..routing.replication_tree import InstanceEntry, ReplicationTree
from ..routing.routes import CallerLimits, RouteTable, WeightedRoundRobin
from ..routing.servers import ServerTable
from .caller import BodyMemory, CallerConnection, Handle
from .clock import now
from .crashes import CrashTracker
from .exchange import Exchange, refuse
from .follower import Follower
from .housekeeping import Housekeeping
from .messages import Answer, CallerRequest, RequestMeta
from .metrics import EntryMetrics
from .permit_broker import PermitBroker, log_health
from .pool import Pool
from .settings import EntrySettings
from .shared import Dialect, Shared
from .state_updates import INSTANCE_KIND, StateUpdater, StoreAdapter
from .store_cache import StoreCache
from .store_protocol import InstanceStore
from .watcher import WATCH_HISTORY_SHARE, StoreAccessError

BACKLOG = 512
"""New connections that wait to be accepted; a full queue delays a caller by seconds."""
SWEEP_S = 0.25
"""Between looks for connections that idled too long and entries whose grace is over."""
ANSWER_LIFE_S = 2.0
"""How long callers may use an answer of the directory."""
LISTEN_ON_S = 1.5
"""After SIGTERM callers that still have the address are served for so long."""
STOP_MARGIN_S = 0.4
"""Kept before SIGKILL, to close what is left."""
CLOSE_S = 0.2
"""How long the closing handshakes with other instances may take at the end."""
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
"""Port and path of the deploy file's metrics address."""
BODY_SHARE = 0.25
"""Part of the memory that callers' bodies may fill; the program itself needs 40 MB of 152 MB."""
REGISTER_PAUSE_S = 1.0
"""Between tries to register: calls are limited and priced, and nobody waits for the entry."""
SILENCE_MARGIN_S = 1.0
"""From the wait of a watch to the answer of the list behind it, when its connection is silent."""
OWN_LIMITS = CallerLimits(header_bytes=8 * 1024, body_bytes=1024, header_s=3.0, idle_s=30.0)
"""For the platform's and the operators' questions, which have no body."""
RETURN_UNKNOWN_S = 0.5
"""When to come back to an instance that knows no configuration yet."""

log = logbook.Logger("instance")


class EntryInstance:
    """Serves callers until a stop is requested."""

    def __init__(
        self,
        settings: EntrySettings,
        store: InstanceStore,
        dialect: Dialect,
        store_adapter: StoreAdapter,
    ) -> None:
        self.settings = settings
        self._store_adapter = store_adapter
        self._store = store
        rng = Random(settings.instance)
        servers = ServerTable()
        self.metrics = EntryMetrics(self._read_gauges)
        self.shared = Shared(
            dialect=dialect,
            bounds=settings.bounds,
            routes=RouteTable(),
            servers=servers,
            splitter=WeightedRoundRobin(),
            pool=Pool(),
            crashes=CrashTracker(store, settings.instance),
            metrics=self.metrics,
            bodies=BodyMemory(int(settings.memory_mb * BODY_SHARE * 1024 * 1024)),
        )
        domains = Counter(settings.region_by_domain.values())
        self._placement = Placement(servers, settings.region, domains)
        self._callers: set[CallerConnection] = set()
        self._connections: set[CallerConnection] = set()
        """Those of callers and of who asks for readiness, directory and metrics."""
        self._listeners: list[asyncio.Server] = []
        self._stop = asyncio.Event()
        self.is_leaving = False
        self._is_listening = False
        self._relays = ReplicationTree(_own_entry(settings, int(time.time() * 1000)))
        self._links = LinkPool()
        owners = Owners()
        self.permit_broker = PermitBroker(
            self._relays.own,
            owners,
            servers,
            PermitScheduler(self._cold_per_s, servers.may_send, log_health),
            self._links,
        )
        self._must_register = asyncio.Event()
        self._must_register.set()
        self._is_registered = False
        self._state_updater = StateUpdater(
            self.shared, store_adapter, self._relays, owners, self.permit_broker, self._note_missing
        )
        self.copy = StoreCache(self._state_updater.kinds, self._state_updater.apply)
        self.follower = Follower(
            self._relays,
            self.copy,
            store,
            self._links,
            settings.seeds,
            rng,
            self._watch_waits(),
        )
        self._housekeeping = Housekeeping(
            self._relays, self.copy, self.shared.crashes, store, self._links, INSTANCE_KIND
        )
        self._peers = LinkServer(settings.peer_listener, self._handle_peer)

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this instance."""
        knows = self.copy.is_complete and self.shared.routes.version > 0
        return knows and self._is_listening and not self.is_leaving

    def reload(self, settings: EntrySettings) -> None:
        """Use other settings; identity and listeners stay as they are until the next start."""
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
        """Serve until a stop is requested, then finish what was accepted."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        work = (
            self.follower.run(),
            self.follower.poll_seeds(),
            self._register(),
            self._sweep(),
            self._housekeeping.run(),
        )
        tasks = [loop.create_task(item) for item in work]
        settings = self.settings
        await self._peers.start()
        front = await self._listen(settings.caller_listener, self._handle, self._limits, True)
        await self._listen(settings.ready_listener, self._handle_ready, lambda: OWN_LIMITS, False)
        metrics = f"{settings.ip}:{METRICS_PORT}"
        await self._listen(metrics, self._handle_metrics, lambda: OWN_LIMITS, False)
        if settings.directory_listener:
            await self._listen(
                settings.directory_listener, self._handle_look, lambda: OWN_LIMITS, False
            )
        self._is_listening = True
        log.info("started", instance=settings.instance, failure_domain=settings.failure_domain)
        try:
            await self._stop.wait()
            await self._drain(front)
        finally:
            for task in tasks:
                task.cancel()
            with suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_S):
                    await self.abort()
            log.info("stopped", instance=settings.instance)

    async def abort(self) -> None:
        """Drop every connection and listener, as when the process ends."""
        for listener in self._listeners:
            listener.close()
        for connection in list(self._connections):
            connection.abort()
        await self._peers.close()
        await self._links.close()
        self.shared.pool.sweep(set())

    # Listeners.

    async def _listen(
        self, address: str, handle: Handle, limits: Callable[[], CallerLimits], is_front: bool
    ) -> asyncio.Server:
        host, port = address.rsplit(":", 1)

        def build() -> CallerConnection:
            on_open = self._note_caller if is_front else self._connections.add
            return CallerConnection(handle, limits, on_open, self._note_closed, self.shared.bodies)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(build, host, int(port), backlog=BACKLOG)
        self._listeners.append(server)
        return server

    def _note_closed(self, connection: CallerConnection) -> None:
        self._callers.discard(connection)
        self._connections.discard(connection)

    def _note_caller(self, connection: CallerConnection) -> None:
        self._callers.add(connection)
        self._connections.add(connection)
        if self.is_leaving:
            connection.is_draining = True

    def _watch_waits(self) -> dict[str, float]:
        """How long the store may hold a watch of each kind.

        A connection can go silent for good with no sign but the missing answer: what bounds
        depend on is asked again before an instance counts as out of touch.
        """
        settings = self.settings
        longest_s = settings.history_s * WATCH_HISTORY_SHARE
        bounded_s = max(1.0, settings.bounds.contact_s - SILENCE_MARGIN_S)
        bounded = self._state_updater.bounded_kinds
        return {
            kind: bounded_s if kind in bounded else longest_s for kind in self._state_updater.kinds
        }

    def _limits(self) -> CallerLimits:
        return self.shared.routes.limits

    async def _handle_ready(self, request: CallerRequest) -> Answer:
        if request.path != self._store_adapter.ready_path:
            return Answer(404)
        return Answer(200 if self.is_ready else 503)

    async def _handle_metrics(self, request: CallerRequest) -> Answer:
        if request.path != METRICS_PATH:
            return Answer(404)
        return Answer(200, [(b"Content-Type", b"text/plain")], self.metrics.render())

    def _read_gauges(self) -> dict[str, float]:
        follower, servers = self.follower, self.shared.servers
        return {
            "config_version": float(self.shared.routes.version),
            "servers": float(len(servers.server_by_id)),
            "evacuated_domains": float(len(servers.evacuated)),
            "instances": float(len(self._relays.entry_by_name)),
            "reads_store": float(follower.is_reading),
            "view_is_current": float(follower.is_current),
            "callers_connected": float(len(self._callers)),
            "requests_waiting": float(len(self.permit_broker)),
            "requests_sent": float(sum(item.in_flight for item in servers.server_by_id.values())),
            "body_bytes": float(self.shared.bodies.used),
            "server_connections_opened": float(self.shared.pool.opened),
        }

    async def _handle_look(self, request: CallerRequest) -> Answer:
        look = self._store_adapter.read_directory_query(request.target.decode("latin-1"))
        if look is None:
            return Answer(404)
        if not self.is_ready:
            return Answer(503)
        body = self._store_adapter.directory_response(
            [self.settings.caller_listener], ANSWER_LIFE_S
        )
        return Answer(200, [(b"Content-Type", b"application/json")], msgspec.json.encode(body))

    async def _handle(self, request: CallerRequest) -> Answer:
        started = now()
        meta = self.shared.dialect.read_request(request.headers)
        exchange = self._open_exchange(request, meta)
        if isinstance(exchange, Answer):
            self._log_answer(request, meta, exchange, started)
            return exchange
        try:
            answer = await exchange.run()
        except asyncio.CancelledError:
            self._log_answer(request, meta, Answer(0, reason="caller left"), started, exchange)
            raise
        self._log_answer(request, meta, answer, started, exchange)
        return answer

    def _open_exchange(self, request: CallerRequest, meta: RequestMeta) -> Exchange | Answer:
        """The work on a request, or the answer to one that goes no further."""
        shared = self.shared
        if shared.routes.config is None:
            return refuse(shared, "no configuration is known yet", RETURN_UNKNOWN_S)
        if meta.request_id is None or not request.target.startswith(b"/"):
            return Answer(400, [], b"the request has no id or no path\n", "malformed")
        route = shared.routes.match(request.host, request.path)
        if route is None:
            return Answer(404, [], b"no route\n", "no route")
        return Exchange(shared, self.permit_broker, self._placement, request, meta, route)

    def _log_answer(
        self,
        request: CallerRequest,
        meta: RequestMeta,
        answer: Answer,
        started: float,
        exchange: Exchange | None = None,
    ) -> None:
        fields = exchange.describe() if exchange else {"rank": "none"}
        took_s = now() - started
        self.metrics.count("answers", f"{answer.status} {answer.reason}".strip())
        self.metrics.time("request", f"rank {fields['rank']}", took_s)
        if exchange:
            self.metrics.time("wait", f"rank {fields['rank']}", exchange.story.waited_s)
        log.info(
            "request",
            id=(meta.request_id or b"").decode("latin-1"),
            target=request.target.decode("latin-1"),
            config=self.shared.routes.version,
            status=answer.status,
            reason=answer.reason,
            ms=round(took_s * 1000, 1),
            view_is_current=self.follower.is_current,
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
        log.warning("unknown message", type=type(message).__name__)
        return None

    async def _register(self) -> None:
        """Let the others know of this instance whenever the store does not list it."""
        while True:
            await self._must_register.wait()
            try:
                entry = msgspec.to_builtins(self._relays.own)
                await self._store.put(INSTANCE_KIND, self.settings.instance, entry)
            except StoreAccessError as error:
                log.warning("not registered yet", error=str(error))
                await asyncio.sleep(REGISTER_PAUSE_S)
                continue
            self._must_register.clear()
            self._is_registered = True

    def _note_missing(self) -> None:
        """The entry was removed, by mistake or by who took this instance for gone."""
        if self._is_registered and not self.is_leaving:
            log.warning("entry missing, writing it again", instance=self.settings.instance)
            self._is_registered = False
            self._must_register.set()

    def _cold_per_s(self, service: str) -> float:
        config = self.shared.routes.config
        rule = config.service_by_name.get(service) if config else None
        return rule.cold_per_s if rule else 1.0

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            for server_id in self.shared.servers.drop_expired(now()):
                log.info("server gone", id=server_id, after_outage=True)
            self.shared.pool.sweep(set(self.shared.servers.server_by_id))

    # Shutdown.

    async def _drain(self, front: asyncio.Server) -> None:
        """Serve who still comes, then only what was accepted, until it ends or time is up."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.is_leaving = self.follower.is_leaving = True
        log.info("leaving", open_connections=len(self._callers))
        for connection in list(self._callers):
            connection.drain()
        try:
            await self._store.delete(INSTANCE_KIND, self.settings.instance)
        except StoreAccessError as error:
            log.warning("entry not withdrawn", error=str(error))
        await asyncio.sleep(max(0.0, began + LISTEN_ON_S - loop.time()))
        front.close()
        end_at = began + self.settings.bounds.stop_s - STOP_MARGIN_S
        while self._callers and loop.time() < end_at:
            for connection in list(self._callers):
                connection.drain()
            await asyncio.sleep(0.02)


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
