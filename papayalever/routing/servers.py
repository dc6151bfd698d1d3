"""What one instance knows of the backend servers: their entries, its own counts, reported load.

Pure state: ``now`` is in seconds of a monotonic clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum, auto

CONGESTED_S = 1.0
"""How long a server counts as congested after it was reported full: about four warm runs."""
LOAD_TTL_S = 0.4
"""How long the count of other instances' requests is used: about two of the shortest runs."""
SHED_PAUSE_S = 0.1
"""How long a server that refused a request counts as full. It frees one or two slots within half of
the shortest mean run time."""
MAX_LIMITED_S = 1.0
"""A server whose limit left no room is asked again at least this often, since the limit may end."""
FIRST_EJECT_S = 0.5
MAX_LEAVING_RUNS = 4_096
"""Runs of servers that said they leave and are remembered without an entry, the latest ones."""
MAX_EJECT_S = 4.0
"""Crashed servers are down for a few seconds, so they are retried at least this often."""


class Phase(StrEnum):
    """State that a server reports for itself."""

    READY = auto()
    LEAVING = auto()


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as it registered itself."""

    id: str
    service: str
    address: str
    failure_domain: str
    region: str
    slots: int
    phase: Phase = Phase.READY
    cold_left_s: float = 0.0
    """How much longer it is cold: slow, and crashed by too many requests."""
    started_ms: int | None = None
    """Start time in Unix milliseconds; another value under the same id means a restart."""
    sequence: int = 0
    """Number of writes of the entry since the server started."""


RunKey = tuple[str, str, int | None]
"""Id, address and start time of a server; a restart ends what it said of itself."""


@dataclass(eq=False, slots=True)
class Server:
    """One backend server: its entry, own requests in flight and what its responses reported."""

    entry: ServerEntry
    in_flight: int = 0
    other_requests: int = 0
    """Requests of other instances according to the server's last response."""
    other_requests_at: float = float("-inf")
    failures: int = 0
    ejected_until: float = float("-inf")
    full_until: float = float("-inf")
    cold_until: float = float("-inf")
    congested_until: float = float("-inf")
    """Set when its owner or the server itself reports that it has no room."""
    has_unreadable_notice: bool = False
    is_leaving: bool = False
    """Whether it said in an answer that it leaves, whatever its entry says."""
    paused_until: float = float("-inf")
    """Until when it wants nothing from this instance; other instances may send."""
    limited_until: float = float("-inf")
    """Until when the limit that the server named leaves no room."""
    answered_at: float = float("-inf")
    """When it answered this instance last."""
    pace: float = 1.0
    """Measured response time relative to the mean of its service; 1 is average."""

    @property
    def id(self) -> str:
        """The server's id."""
        return self.entry.id

    def load(self, now: float) -> int:
        """Known number of requests that run or wait at the server."""
        return self.in_flight + (
            self.other_requests if now - self.other_requests_at < LOAD_TTL_S else 0
        )

    def is_available(self, now: float) -> bool:
        """Whether it is ready and stays, and is neither ejected for failures nor paused."""
        is_ready = self.entry.phase == Phase.READY and not self.is_leaving
        return is_ready and now >= max(self.ejected_until, self.paused_until)

    def has_limit_room(self, now: float) -> bool:
        """Whether the limit that it named, if any, leaves room as far as known."""
        return now >= self.limited_until

    def is_cold(self, now: float) -> bool:
        """Whether it is cold, so that a surge of requests would crash it."""
        return now < self.cold_until


@dataclass(slots=True)
class ServerTable:
    """Backend servers by id and by service."""

    server_by_id: dict[str, Server] = field(default_factory=dict)
    evacuated: set[str] = field(default_factory=set)
    """Failure domains whose servers get no requests."""
    generation: int = 0
    """Increases with each change of the servers, to invalidate derived data."""
    on_withdrawn: Callable[[Server], None] = lambda server: None
    """Called when a server takes no more requests, so that those which wait for it go elsewhere."""
    _servers_by_service: dict[str, list[Server]] = field(default_factory=dict)
    _leaving_runs: dict[RunKey, None] = field(default_factory=dict)
    """Runs that said they leave: their entries may lapse and return while the store is away."""
    _paused_until_by_run: dict[RunKey, float] = field(default_factory=dict)
    """The same for runs that want nothing for a while."""

    def servers(self, service: str) -> list[Server]:
        """Servers of a service, ordered by id."""
        return self._servers_by_service.get(service, [])

    def replace_all(self, entries: Iterable[ServerEntry], now: float) -> None:
        """Replace all entries."""
        entry_by_id = {entry.id: entry for entry in entries}
        for server_id in list(self.server_by_id):
            if server_id not in entry_by_id:
                self.remove(server_id)
        for entry in entry_by_id.values():
            self._put(entry, now)
        self._regroup()

    def put(self, entry: ServerEntry, now: float) -> None:
        """Add or update an entry; a server restarted under the same id loses its known state."""
        self._put(entry, now)
        self._regroup()

    def _put(self, entry: ServerEntry, now: float) -> None:
        server = self.server_by_id.get(entry.id)
        if server is None or is_restart(server.entry, entry):
            run = run_key(entry)
            server = Server(entry, is_leaving=run in self._leaving_runs)
            server.paused_until = self._paused_until_by_run.get(run, float("-inf"))
            self.server_by_id[entry.id] = server
        server.entry = entry
        if entry.cold_left_s > 0:
            server.cold_until = max(server.cold_until, now + entry.cold_left_s)

    def remove(self, server_id: str) -> None:
        """Remove a server if it is known."""
        if self.server_by_id.pop(server_id, None):
            self._regroup()

    def may_send(self, server: Server) -> bool:
        """Whether a server is still listed, stays, and is not in an evacuated domain."""
        return (
            self.server_by_id.get(server.id) is server
            and server.entry.phase == Phase.READY
            and not server.is_leaving
            and server.entry.failure_domain not in self.evacuated
        )

    def accepts(self, server: Server, now: float) -> bool:
        """Whether this instance may send a server requests now."""
        return self.may_send(server) and now >= server.paused_until

    def set_evacuated(self, domains: Iterable[str], cold_s: float, now: float) -> None:
        """Replace the evacuated domains; servers of domains no longer evacuated start cold."""
        evacuated = set(domains)
        for domain in self.evacuated - evacuated:
            for server in self.server_by_id.values():
                if server.entry.failure_domain == domain:
                    server.cold_until = max(server.cold_until, now + cold_s)
        self.evacuated = evacuated
        self.generation += 1

    def note_start(self, server: Server) -> None:
        """Count the start of a send."""
        server.in_flight += 1

    def note_end(self, server: Server) -> None:
        """Count the end of a send, whatever its outcome."""
        server.in_flight -= 1

    def note_load(self, server: Server, running: int, waiting: int, now: float) -> None:
        """Record the load that a server reported.

        The server counts before it sends the response, so this instance's own requests, including
        the one answered, are part of it.
        """
        server.other_requests = max(0, running + waiting - server.in_flight)
        server.other_requests_at = now
        if running + waiting > server.entry.slots:
            self.note_congested(server, now)

    def note_leaving(self, server: Server) -> bool:
        """Record that a server said it leaves; returns whether that is new.

        It ends with this run of the server.
        """
        if server.is_leaving:
            return False
        server.is_leaving = True
        self._leaving_runs[run_key(server.entry)] = None
        while len(self._leaving_runs) > MAX_LEAVING_RUNS:
            del self._leaving_runs[next(iter(self._leaving_runs))]
        self.on_withdrawn(server)
        return True

    def note_pause(self, server: Server, pause_s: float, now: float) -> bool:
        """Send a server nothing for a while; returns whether that is new."""
        is_new = now >= server.paused_until and pause_s > 0
        server.paused_until = max(server.paused_until, now + pause_s)
        self._paused_until_by_run = {
            run: until for run, until in self._paused_until_by_run.items() if until > now
        } | {run_key(server.entry): server.paused_until}
        if is_new:
            self.on_withdrawn(server)
        return is_new

    def note_unreadable(self, server: Server) -> bool:
        """Record a malformed notice; returns whether it is the server's first."""
        is_first = not server.has_unreadable_notice
        server.has_unreadable_notice = True
        return is_first

    def note_success(self, server: Server) -> None:
        """Reset the failures after a complete response."""
        server.failures = 0

    def note_congested(self, server: Server, now: float) -> None:
        """Mark a server as without room: the next send needs its owner's permit first."""
        server.congested_until = now + CONGESTED_S

    def note_full(self, server: Server, now: float) -> None:
        """Mark a server as full after it refused a request."""
        server.full_until = now + SHED_PAUSE_S
        self.note_congested(server, now)

    def note_limited(self, server: Server, wait_s: float, now: float) -> None:
        """Use other servers until the limit that a server named leaves room again."""
        server.limited_until = now + min(wait_s, MAX_LIMITED_S)

    def note_failure(self, server: Server, now: float) -> None:
        """Eject a server that was unreachable or broke a connection, longer each time."""
        server.failures += 1
        eject_s = min(MAX_EJECT_S, FIRST_EJECT_S * 2 ** (server.failures - 1))
        server.ejected_until = now + eject_s

    def clear_failures(self, server_ids: Iterable[str]) -> None:
        """Use servers again whose failures turned out to be this instance's own."""
        for server_id in server_ids:
            if server := self.server_by_id.get(server_id):
                server.failures, server.ejected_until = 0, float("-inf")

    def _regroup(self) -> None:
        grouped: dict[str, list[Server]] = {}
        for server in sorted(self.server_by_id.values(), key=lambda item: item.id):
            grouped.setdefault(server.entry.service, []).append(server)
        self._servers_by_service = grouped
        self.generation += 1


def run_key(entry: ServerEntry) -> RunKey:
    """Key of one run of a server."""
    return (entry.id, entry.address, entry.started_ms)


def is_restart(known: ServerEntry, entry: ServerEntry) -> bool:
    """Whether an entry is from a different run of the server than the known entry."""
    return (
        known.started_ms != entry.started_ms
        or known.address != entry.address
        or known.service != entry.service
    )
