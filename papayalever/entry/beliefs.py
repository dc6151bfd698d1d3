"""What an instance believes: turns news of the store into its tables, one line for each change."""

from collections.abc import Callable
from dataclasses import dataclass

import logbook
import msgspec

from ..cluster.messages import KindUpdate
from ..routing.owners import Owners
from ..routing.replication_tree import InstanceEntry, ReplicationTree
from ..routing.routes import RoutingConfig
from ..routing.servers import ServerEntry
from .clock import now
from .crashes import CRASH_KIND
from .desk import Desk
from .messages import Look
from .shared import Shared

INSTANCE_KIND = "papayalever-instances"
"""Kind of our own in the store: each instance registers itself once."""

log = logbook.Logger("beliefs")


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


class Beliefs:
    """Takes news of all kinds over into the tables that decide about requests."""

    def __init__(
        self,
        shared: Shared,
        reader: Reader,
        relays: ReplicationTree,
        owners: Owners,
        desk: Desk,
        on_missing: Callable[[], None],
    ) -> None:
        self._on_missing = on_missing
        """Called when the store does not list this instance any more."""
        self._shared = shared
        self._reader = reader
        self._relays = relays
        self._owners = owners
        self._desk = desk
        self._take_by_kind: dict[str, Callable[[KindUpdate], None]] = {
            reader.config_kind: self._take_config,
            reader.server_kind: self._take_servers,
            reader.evacuation_kind: self._take_evacuations,
            INSTANCE_KIND: self._take_instances,
            CRASH_KIND: self._take_crashes,
        }

    @property
    def kinds(self) -> tuple[str, ...]:
        """Kinds of stored objects that an instance follows."""
        return tuple(self._take_by_kind)

    @property
    def bounded_kinds(self) -> tuple[str, ...]:
        """Kinds whose changes must be known within the bounds of the settings."""
        reader = self._reader
        return (reader.config_kind, reader.server_kind, reader.evacuation_kind)

    def take(self, news: KindUpdate) -> None:
        """Take over news of one kind."""
        self._take_by_kind[news.kind](news)

    def _take_config(self, news: KindUpdate) -> None:
        for name, value in news.changes:
            if name != self._reader.config_name or value is None:
                continue
            try:
                config = self._reader.read_config(value)
            except self._reader.error as error:
                log.warning("configuration refused", error=str(error), revision=news.revision)
                continue
            if self._shared.routes.apply(config):
                log.info("configuration in force", version=config.version, revision=news.revision)
                self._desk.note_change()

    def _take_servers(self, news: KindUpdate) -> None:
        servers, is_after = self._shared.servers, news.is_after_outage
        entries = [self._read_server(name, value) for name, value in news.changes]
        if news.is_snapshot:
            servers.replace_all([entry for entry in entries if entry], is_after, now())
            log.info("server list", servers=len(entries), after_outage=is_after)
        else:
            for (name, _), entry in zip(news.changes, entries, strict=True):
                self._take_server(name, entry, is_after)
        self._desk.note_change()

    def _take_server(self, name: str, entry: ServerEntry | None, is_after_outage: bool) -> None:
        if entry:
            self._shared.servers.put(entry, now())
            log.info("server", id=entry.id, phase=entry.phase, cold_s=entry.cold_left_s)
        else:
            self._shared.servers.remove(name, is_after_outage, now())
            log.info("server gone", id=name, after_outage=is_after_outage)

    def _read_server(self, name: str, value: bytes | None) -> ServerEntry | None:
        if value is None:
            return None
        try:
            return self._reader.read_server(name, value)
        except self._reader.error as error:
            log.warning("server entry refused", error=str(error))
            return None

    def _take_evacuations(self, news: KindUpdate) -> None:
        domains = set() if news.is_snapshot else set(self._shared.servers.evacuated)
        for name, value in news.changes:
            if value is None:
                domains.discard(name)
            else:
                domains.add(name)
        config = self._shared.routes.config
        rules = config.service_by_name.values() if config else ()
        cold_s = max((rule.cold_s for rule in rules), default=0.0)
        self._shared.servers.set_evacuated(domains, cold_s, now())
        log.info("evacuations", failure_domains=sorted(domains), revision=news.revision)
        self._desk.note_change()

    def _take_instances(self, news: KindUpdate) -> None:
        was_listed = self._relays.own.name in self._relays.entry_by_name
        entry_by_name = {} if news.is_snapshot else dict(self._relays.entry_by_name)
        for name, value in news.changes:
            entry_by_name.pop(name, None)
            if value is None:
                continue
            try:
                entry_by_name[name] = msgspec.json.decode(value, type=InstanceEntry)
            except (msgspec.ValidationError, msgspec.DecodeError) as error:
                log.warning("instance entry refused", name=name, error=str(error))
        self._relays.replace_all(entry_by_name.values())
        self._owners.set_instances(entry_by_name)
        self._shared.instances = max(1, len(entry_by_name))
        log.info("instances", count=len(entry_by_name), revision=news.revision)
        if was_listed and self._relays.own.name not in entry_by_name:
            self._on_missing()

    def _take_crashes(self, news: KindUpdate) -> None:
        for name, value in news.changes:
            if value is None:
                self._shared.crashes.forget_record(name)
                continue
            try:
                self._shared.crashes.take(name, value, now())
            except (msgspec.ValidationError, msgspec.DecodeError) as error:
                log.warning("crash record refused", name=name, error=str(error))
