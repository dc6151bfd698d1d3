"""All connections that callers opened, and which of them are closed first.

Load pattern: thousands of connections hold memory and do not go on.
"""

from collections.abc import Iterable

import logbook

from .caller import CallerConnection
from .clock import now

STALLED_S = 1.0
"""Pause after which a caller that holds memory is closed if others need it."""
MIN_HELD_BYTES = 4 * 1024
"""Memory for which closing a caller is worth while."""
SCAN_PAUSE_S = 0.05
"""Shortest time between two searches for callers to close, unless the last one found some."""
log = logbook.Logger("caller")


class CallerConnections:
    """Open connections, in the order in which they were accepted."""

    def __init__(self, listeners: Iterable[str]) -> None:
        self._open_by_listener: dict[str, dict[CallerConnection, None]] = {
            name: {} for name in listeners
        }
        self._no_room_until = 0.0

    def admit(self, connection: CallerConnection) -> None:
        """Add a new connection."""
        self._open_by_listener[connection.listener][connection] = None

    def discard(self, connection: CallerConnection) -> None:
        """Remove a connection that was closed."""
        self._open_by_listener[connection.listener].pop(connection, None)

    def list_open(self, listener: str) -> list[CallerConnection]:
        """The open connections of a listener."""
        return list(self._open_by_listener[listener])

    def count_open(self, listener: str) -> int:
        """How many connections of a listener are open."""
        return len(self._open_by_listener[listener])

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
