"""Applies updates from the store to the tables of an instance and logs each change."""

from collections.abc import Callable
from dataclasses import dataclass

import logbook

from ..cluster.messages import KindUpdate
from ..routing.owners import Owners
from ..routing.replication_tree import ReplicationTree
from ..routing.routes import RoutingConfig
from ..routing.servers import ServerEntry
from .clock import now
from .crashes import CRASH_KIND
from .messages import DirectoryQuery
from .own_objects import InvalidOwnObjectError, read_instance
from .permit_broker import PermitBroker
from .shared import SharedState
from .store_cache import Origin
from .store_position import era_of, revision_of

INSTANCE_KIND = "papayalever-instances"
"""Kind of the stored objects with which instances register themselves."""

log = logbook.Logger("beliefs")


@dataclass(frozen=True, slots=True)
class StoreAdapter:
    """Platform-specific parts: kinds and decoders of stored objects, and directory queries.

    The decoders raise ``error`` when an object is malformed.
    """

    read_server: Callable[[str, bytes], ServerEntry]
    read_config: Callable[[bytes], RoutingConfig]
    read_directory_query: Callable[[str], DirectoryQuery | None]
    directory_response: Callable[[list[str], float], dict]
    error: type[Exception]
    config_kind: str
    config_name: str
    server_kind: str
    evacuation_kind: str
    ready_path: str


class StateUpdater:
    """Applies updates of all kinds to the tables that routing decisions use."""

    def __init__(
        self,
        shared: SharedState,
        adapter: StoreAdapter,
        tree: ReplicationTree,
        owners: Owners,
        permit_broker: PermitBroker,
        on_instances: Callable[[], None],
    ) -> None:
        self._on_instances = on_instances
        """Called after each update of the registered instances."""
        self._shared = shared
        self._adapter = adapter
        self._tree = tree
        self._owners = owners
        self._permit_broker = permit_broker
        self._apply_by_kind: dict[str, Callable[[KindUpdate, Origin], None]] = {
            adapter.config_kind: self._apply_config,
            adapter.server_kind: self._apply_servers,
            adapter.evacuation_kind: self._apply_evacuations,
            INSTANCE_KIND: self._apply_instances,
            CRASH_KIND: self._apply_crashes,
        }

    @property
    def kinds(self) -> tuple[str, ...]:
        """Kinds of stored objects that an instance watches."""
        return tuple(self._apply_by_kind)

    @property
    def strict_kinds(self) -> tuple[str, ...]:
        """Kinds whose changes must be applied within the shortest staleness bound."""
        return (self._adapter.config_kind, self._adapter.server_kind)

    def apply(self, update: KindUpdate, origin: Origin) -> None:
        """Apply an update of one kind."""
        self._apply_by_kind[update.kind](update, origin)

    def _apply_config(self, update: KindUpdate, origin: Origin) -> None:
        for name, value in update.changes:
            if name != self._adapter.config_name or value is None:
                continue
            try:
                config = self._adapter.read_config(value)
            except self._adapter.error as error:
                log.warning(
                    "configuration rejected", error=str(error), **_position_fields(update.position)
                )
                continue
            if self._shared.routes.apply(config):
                log.info(
                    "configuration in force",
                    version=config.version,
                    **_position_fields(update.position),
                    **_origin_fields(origin),
                )
                self._permit_broker.note_servers_changed()

    def _apply_servers(self, update: KindUpdate, origin: Origin) -> None:
        servers = self._shared.servers
        entries = [self._read_server(name, value) for name, value in update.changes]
        if update.is_snapshot:
            servers.replace_all([entry for entry in entries if entry], now())
            log.info(
                "server list replaced",
                servers=len(entries),
                after_outage=update.is_after_outage,
                **_position_fields(update.position),
                **_origin_fields(origin),
            )
        else:
            for (name, _), entry in zip(update.changes, entries, strict=True):
                self._apply_server(name, entry)
        self._permit_broker.note_servers_changed()

    def _apply_server(self, name: str, entry: ServerEntry | None) -> None:
        if entry:
            self._shared.servers.put(entry, now())
            log.info("server updated", id=entry.id, phase=entry.phase, cold_s=entry.cold_left_s)
        else:
            self._shared.servers.remove(name)
            log.info("server removed", id=name)

    def _read_server(self, name: str, value: bytes | None) -> ServerEntry | None:
        if value is None:
            return None
        try:
            return self._adapter.read_server(name, value)
        except self._adapter.error as error:
            log.warning("server entry rejected", error=str(error))
            return None

    def _apply_evacuations(self, update: KindUpdate, origin: Origin) -> None:
        domains = set() if update.is_snapshot else set(self._shared.servers.evacuated)
        for name, value in update.changes:
            if value is None:
                domains.discard(name)
            else:
                domains.add(name)
        config = self._shared.routes.config
        rules = config.service_by_name.values() if config else ()
        cold_s = max((rule.cold_s for rule in rules), default=0.0)
        self._shared.servers.set_evacuated(domains, cold_s, now())
        log.info(
            "evacuations updated",
            failure_domains=sorted(domains),
            **_position_fields(update.position),
            **_origin_fields(origin),
        )
        self._permit_broker.note_servers_changed()

    def _apply_instances(self, update: KindUpdate, origin: Origin) -> None:
        entry_by_name = {} if update.is_snapshot else dict(self._tree.entry_by_name)
        for name, value in update.changes:
            entry_by_name.pop(name, None)
            if value is None:
                continue
            try:
                entry_by_name[name] = read_instance(name, value)
            except InvalidOwnObjectError as error:
                log.warning("instance entry rejected", name=name, error=str(error))
        self._tree.replace_all(entry_by_name.values())
        self._owners.set_instances(entry_by_name)
        self._shared.instances = max(1, len(entry_by_name))
        log.info(
            "instances updated",
            count=len(entry_by_name),
            **_position_fields(update.position),
            **_origin_fields(origin),
        )
        self._on_instances()

    def _apply_crashes(self, update: KindUpdate, _origin: Origin) -> None:
        crashes = self._shared.crashes
        if update.is_snapshot:
            crashes.keep_records({name for name, _ in update.changes})
        for name, value in update.changes:
            if value is None:
                crashes.forget_record(name)
                continue
            try:
                crashes.apply_record(name, value, now())
            except InvalidOwnObjectError as error:
                log.warning("crash record rejected", name=name, error=str(error))


def _position_fields(position: int) -> dict[str, int]:
    return {"era": era_of(position), "revision": revision_of(position)}


def _origin_fields(origin: Origin) -> dict[str, str | int]:
    return {"origin": origin.name, "origin_age_ms": int(origin.age_s * 1000)}
