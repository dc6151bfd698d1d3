"""All connections that callers opened: how many there may be, and which of them are closed first.

Load pattern: thousands of connections that send nothing, or hold memory and do not go on.
"""

from collections.abc import Callable, Mapping

import logbook

from .caller import CallerConnection
from .clock import now

FILE_DESCRIPTORS = 200
"""Descriptors that are kept for files."""
LISTENER_SHARES = {"callers": 0.6, "directory": 0.1, "ready": 0.05, "metrics": 0.02}
"""Share of the other descriptors for the connections of each listener. The rest is for servers, the
store and other instances."""
IDLE_SERVER_SHARE = 0.15
"""Share for idle connections to servers."""
MIN_CONNECTIONS = 4
"""Connections of a listener on a machine with few descriptors."""
SILENT_S = 1.0
"""Age at which a connection that never sent anything is closed if another one needs its place."""
IDLE_SHARE = 0.85
"""Share of the idle timeout after which this holds for one that was used: callers reuse connections
up to four fifths of it."""
LEAST_IDLE_S = 2.0
"""Idle time after which it holds for the others too, if all places are taken by such connections.
Their callers connect again, while a new caller would find no instance."""
FREED_AT_A_TIME = 32
"""Most connections that are closed after one search, since each search looks at all of them."""
STALLED_S = 1.0
"""Pause after which a caller that holds memory is closed if others need it."""
MIN_HELD_BYTES = 4 * 1024
"""Memory for which closing a caller is worth while."""
SCAN_PAUSE_S = 0.05
"""Shortest time between two searches for callers to close, unless the last one found some."""
FULL_S = 1.0
"""How long a listener that closed a new connection counts as full."""

log = logbook.Logger("caller")


class CallerConnections:
    """Open connections, in the order in which they were accepted."""

    def __init__(
        self,
        most_by_listener: Mapping[str, int],
        read_idle_s: Callable[[], float],
        on_refused: Callable[[str], None],
    ) -> None:
        self.most_by_listener = most_by_listener
        self._read_idle_s = read_idle_s
        self._on_refused = on_refused
        self._open_by_listener: dict[str, dict[CallerConnection, None]] = {
            name: {} for name in most_by_listener
        }
        self._full_at_by_listener: dict[str, float] = {}
        self._no_place_until = dict.fromkeys(most_by_listener, 0.0)
        self._no_room_until = 0.0

    def admit(self, connection: CallerConnection) -> bool:
        """Add a new connection, in place of an idle one if need be; returns whether it may stay."""
        name = connection.listener
        open_here = self._open_by_listener[name]
        if len(open_here) >= self.most_by_listener[name] and not self._free_places(name, now()):
            if not self.is_full(name, now()):
                log.warning("too many connections", listener=name, open=len(open_here))
            self._full_at_by_listener[name] = now()
            self._on_refused(f"too many connections at {name}")
            return False
        open_here[connection] = None
        return True

    def discard(self, connection: CallerConnection) -> None:
        """Remove a connection that was closed."""
        self._open_by_listener[connection.listener].pop(connection, None)

    def list_open(self, listener: str) -> list[CallerConnection]:
        """The open connections of a listener."""
        return list(self._open_by_listener[listener])

    def count_open(self, listener: str) -> int:
        """How many connections of a listener are open."""
        return len(self._open_by_listener[listener])

    def is_full(self, listener: str, at: float) -> bool:
        """Whether a listener closed a new connection lately."""
        return at - self._full_at_by_listener.get(listener, float("-inf")) < FULL_S

    def abort(self) -> None:
        """Close all connections at once."""
        for name in self._open_by_listener:
            for connection in self.list_open(name):
                connection.abort()

    def make_room(self, size: int) -> None:
        """Close callers that hold memory and do not go on, those that hold most first."""
        at = now()
        if at < self._no_room_until:
            return
        stalled = [
            connection
            for open_here in self._open_by_listener.values()
            for connection in open_here
            if connection.held_bytes >= MIN_HELD_BYTES
            and connection.compute_stall_s(at) >= STALLED_S
        ]
        if not stalled:
            self._no_room_until = at + SCAN_PAUSE_S
            return
        stalled.sort(key=lambda item: item.held_bytes)
        closed = freed = 0
        while stalled and freed < size:
            connection = stalled.pop()
            freed += connection.held_bytes
            closed += 1
            connection.shed()
        log.warning("callers closed for their memory", closed=closed, freed=freed, needed=size)

    def _free_places(self, name: str, at: float) -> bool:
        """Close connections that are not in use; returns whether there were any."""
        if at < self._no_place_until[name]:
            return False
        open_here = self.list_open(name)
        idle_s = self._read_idle_s() * IDLE_SHARE
        replaceable = [item for item in open_here if _is_replaceable(item, idle_s, at)]
        if not replaceable:
            replaceable = [item for item in open_here if item.compute_idle_s(at) >= LEAST_IDLE_S]
            replaceable.sort(key=lambda item: -item.compute_idle_s(at))
        for connection in replaceable[:FREED_AT_A_TIME]:
            self._on_refused(f"idle connection closed at {name}")
            connection.abort()
            self.discard(connection)
        if not replaceable:
            self._no_place_until[name] = at + SCAN_PAUSE_S
        return bool(replaceable)


def count_places(max_fds: int) -> dict[str, int]:
    """How many connections each listener may have on a machine with ``max_fds`` descriptors."""
    sockets = max(0, max_fds - FILE_DESCRIPTORS)
    return {
        name: max(MIN_CONNECTIONS, int(sockets * share)) for name, share in LISTENER_SHARES.items()
    }


def count_idle_server_places(max_fds: int) -> int:
    """How many idle connections to servers may be kept in all."""
    return max(MIN_CONNECTIONS, int((max_fds - FILE_DESCRIPTORS) * IDLE_SERVER_SHARE))


def _is_replaceable(connection: CallerConnection, idle_s: float, at: float) -> bool:
    """Whether a connection may be closed for a new one."""
    if connection.is_lingering:
        return True
    if not connection.has_sent:
        return at - connection.opened_at >= SILENT_S
    return connection.compute_idle_s(at) >= idle_s
