"""One entry instance: starts its tasks, connects them and stops them gracefully."""

import asyncio
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import logbook
import msgspec

from ..routing.choice import Chooser
from ..routing.placement import Placement
from ..routing.routes import CallerLimits, PartSplitter, RouteTable, RoutingConfig
from ..routing.servers import Server, ServerEntry, ServerTable
from .caller import CallerConnection, Handle
from .exchange import Exchange, refuse
from .feed import Change, Feed, Source, Taker
from .line import Line
from .messages import Answer, CallerRequest, Look
from .pool import Pool
from .settings import EntrySettings
from .shared import Dialect, Shared, now

BACKLOG = 512
"""New connections that wait to be accepted; a full queue delays a caller by seconds."""
SWEEP_S = 0.25
ANSWER_LIFE_S = 2.0
"""How long callers may use an answer of the directory."""
LISTEN_ON_S = 1.5
"""After SIGTERM callers that still have the address are served for so long."""
STOP_MARGIN_S = 0.3
"""Kept before SIGKILL, to close what is left."""
OWN_LIMITS = CallerLimits(header_bytes=8 * 1024, body_bytes=1024, header_s=3.0, idle_s=30.0)
RETURN_UNKNOWN_S = 0.5
"""When to come back to an instance that knows no configuration yet."""

log = logbook.Logger("instance")


@dataclass(frozen=True, slots=True)
class Reader:
    """Functions of the adapter that decode stored objects; they raise ``error``."""

    read_server: Callable[[str, bytes], ServerEntry]
    read_config: Callable[[bytes], RoutingConfig]
    read_look: Callable[[str], Look | None]
    look_answer: Callable[[list[str], float], dict]
    error: type[Exception]
    config_kind: str
    config_name: str
    server_kind: str
    evacuation_kind: str
    ready_path: str


class EntryInstance:
    """Serves callers until a stop is requested."""

    def __init__(
        self, settings: EntrySettings, source: Source, dialect: Dialect, reader: Reader
    ) -> None:
        self.settings = settings
        self._reader = reader
        self._source = source
        self._rng = Random(settings.instance)
        servers = ServerTable()
        self.shared = Shared(
            dialect, settings.bounds, RouteTable(), servers, PartSplitter(), Pool()
        )
        domains = Counter(settings.region_by_domain.values())
        self._placement = Placement(servers, settings.region, domains)
        chooser = Chooser(self._placement, self._may_warm_up)
        self.line = Line(servers, chooser.choose)
        self._callers: set[CallerConnection] = set()
        self._listeners: list[asyncio.Server] = []
        self._stop = asyncio.Event()
        self.is_leaving = False
        self._feeds = [
            self._feed(reader.config_kind, self._take_config, self._take_config),
            self._feed(reader.server_kind, self._take_server_list, self._take_servers),
            self._feed(reader.evacuation_kind, self._take_evacuation_list, self._take_evacuations),
        ]

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this instance."""
        knows = all(feed.is_known.is_set() for feed in self._feeds[:2])
        return knows and self.shared.routes.version > 0 and not self.is_leaving

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a stop is requested, then finish what was accepted."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, lambda: log.info("settings changed"))
        tasks = [loop.create_task(feed.run()) for feed in self._feeds]
        tasks.append(loop.create_task(self._sweep()))
        settings = self.settings
        front = await self._listen(settings.caller_listener, self._handle, self._limits, True)
        await self._listen(settings.ready_listener, self._handle_ready, lambda: OWN_LIMITS, False)
        if settings.directory_listener:
            await self._listen(
                settings.directory_listener, self._handle_look, lambda: OWN_LIMITS, False
            )
        log.info("started", instance=settings.instance, failure_domain=settings.failure_domain)
        try:
            await self._stop.wait()
            await self._drain(front)
        finally:
            for task in tasks:
                task.cancel()
            log.info("stopped", instance=settings.instance)

    # Listeners.

    async def _listen(
        self, address: str, handle: Handle, limits: Callable[[], CallerLimits], is_front: bool
    ) -> asyncio.Server:
        host, port = address.rsplit(":", 1)

        def build() -> CallerConnection:
            on_open = self._note_open if is_front else _ignore
            on_close = self._callers.discard if is_front else _ignore
            return CallerConnection(handle, limits, on_open, on_close)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(build, host, int(port), backlog=BACKLOG)
        self._listeners.append(server)
        return server

    def _note_open(self, connection: CallerConnection) -> None:
        self._callers.add(connection)
        if self.is_leaving:
            connection.is_draining = True

    def _limits(self) -> CallerLimits:
        return self.shared.routes.limits

    async def _handle_ready(self, request: CallerRequest) -> Answer:
        if request.path != self._reader.ready_path:
            return Answer(404)
        return Answer(200 if self.is_ready else 503)

    async def _handle_look(self, request: CallerRequest) -> Answer:
        look = self._reader.read_look(request.target.decode("latin-1"))
        if look is None:
            return Answer(404)
        if not self.is_ready:
            return Answer(503)
        body = self._reader.look_answer([self.settings.caller_listener], ANSWER_LIFE_S)
        return Answer(200, [(b"Content-Type", b"application/json")], msgspec.json.encode(body))

    async def _handle(self, request: CallerRequest) -> Answer:
        shared = self.shared
        started = now()
        meta = shared.dialect.read_request(request.headers)
        exchange: Exchange | None = None
        if shared.routes.config is None:
            answer = refuse(shared, "no configuration is known yet", RETURN_UNKNOWN_S)
        elif meta.request_id is None or not request.target.startswith(b"/"):
            answer = Answer(400, [], b"the request has no id or no path\n", "malformed")
        elif (route := shared.routes.match(request.host, request.path)) is None:
            answer = Answer(404, [], b"no route\n", "no route")
        else:
            exchange = Exchange(shared, self.line, request, meta, route)
            try:
                answer = await exchange.run()
            except asyncio.CancelledError:
                self._log_request(request, exchange, 0, "caller left", started)
                raise
        if meta.request_id:
            answer.headers = [item for item in answer.headers if item[0] != b"attempt-id"]
        self._log_request(request, exchange, answer.status, answer.reason, started)
        return answer

    def _log_request(
        self,
        request: CallerRequest,
        exchange: Exchange | None,
        status: int,
        reason: str,
        started: float,
    ) -> None:
        story = exchange.story if exchange else None
        log.info(
            "request",
            id=next(
                (
                    value.decode("latin-1")
                    for name, value in request.headers
                    if name == b"attempt-id"
                ),
                "",
            ),
            target=request.target.decode("latin-1"),
            config=self.shared.routes.version,
            status=status,
            reason=reason,
            ms=round((now() - started) * 1000, 1),
            waited_ms=round(story.waited_s * 1000, 1) if story else 0,
            servers=story.servers if story else [],
            failures=story.failures if story else [],
        )

    # What the store says.

    def _feed(self, kind: str, take_list: Callable, take_changes: Callable) -> Feed:
        return Feed(kind, self._source, Taker(take_list, take_changes), self._rng)

    def _take_config(self, changes: list[Change], was_away: bool) -> None:
        for change in changes:
            if change.name != self._reader.config_name or change.value is None:
                continue
            try:
                config = self._reader.read_config(change.value)
            except self._reader.error as error:
                log.warning("configuration refused", error=str(error))
                continue
            if self.shared.routes.take(config):
                log.info("configuration in force", version=config.version)
                self.line.note_room()

    def _take_server_list(self, changes: list[Change], was_away: bool) -> None:
        entries = [entry for change in changes if (entry := self._read_server(change))]
        self.shared.servers.replace_all(entries, was_away, now())
        log.info("server list", servers=len(entries), after_outage=was_away)
        self.line.note_room()

    def _take_servers(self, changes: list[Change], was_away: bool) -> None:
        for change in changes:
            entry = self._read_server(change)
            if entry:
                self.shared.servers.put(entry, now())
                log.info("server", id=entry.id, phase=entry.phase, cold_s=entry.cold_left_s)
            else:
                self.shared.servers.remove(change.name, was_away, now())
                log.info("server gone", id=change.name, after_outage=was_away)
        if changes:
            self.line.note_room()

    def _read_server(self, change: Change) -> ServerEntry | None:
        if change.value is None:
            return None
        try:
            return self._reader.read_server(change.name, change.value)
        except self._reader.error as error:
            log.warning("server entry refused", error=str(error))
            return None

    def _take_evacuation_list(self, changes: list[Change], was_away: bool) -> None:
        self._set_evacuated({change.name for change in changes if change.value is not None})

    def _take_evacuations(self, changes: list[Change], was_away: bool) -> None:
        evacuated = set(self.shared.servers.evacuated)
        for change in changes:
            if change.value is None:
                evacuated.discard(change.name)
            else:
                evacuated.add(change.name)
        if changes:
            self._set_evacuated(evacuated)

    def _set_evacuated(self, domains: set[str]) -> None:
        config = self.shared.routes.config
        rules = config.service_by_name.values() if config else ()
        cold_s = max((rule.cold_s for rule in rules), default=0.0)
        self.shared.servers.set_evacuated(domains, cold_s, now())
        log.info("evacuations", failure_domains=sorted(domains))
        self.line.note_room()

    def _may_warm_up(self, server: Server, at: float) -> bool:
        return server.entry.failure_domain == self.settings.failure_domain

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            for server_id in self.shared.servers.drop_lapsed(now()):
                log.info("server gone", id=server_id, after_outage=True)
            self.shared.pool.sweep(set(self.shared.servers.server_by_id))

    # Shutdown.

    async def _drain(self, front: asyncio.Server) -> None:
        """Serve who still comes, then only what was accepted, until it ends or time is up."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.is_leaving = True
        log.info("leaving", open_connections=len(self._callers))
        for connection in list(self._callers):
            connection.drain()
        await asyncio.sleep(LISTEN_ON_S)
        front.close()
        end_at = began + self.settings.bounds.stop_s - STOP_MARGIN_S
        while self._callers and loop.time() < end_at:
            for connection in list(self._callers):
                connection.drain()
            await asyncio.sleep(0.02)


def _ignore(_: CallerConnection) -> None:
    """For listeners whose connections nobody counts."""
