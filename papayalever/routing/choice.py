"""Whether a server has room for a request: slots, the server's own queue, cold starts.

Load patterns: more work than slots for seconds at a time; servers that come back cold and crash
under a surge.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .placement import Placement
from .servers import Server
from .waiting import Ticket

QUEUED_PER_SLOT = 1.0
"""Requests for each slot that may wait at the server that knows the object: a cold run elsewhere
takes 3.3 times a warm one, so that a wait of one run ends first."""
SPARE_SHARE = 0.5
"""Part of its slots below which a substitute takes an object that it does not know. Under overload
nobody has this room: objects stay where they are known, and capacity does not fall."""
SUBSTITUTES = 2
"""Servers beside an object's own that may get it while its own is full; more would push out
objects that they know."""
COLD_INTERVAL_S = 1.0
"""Time between two sends of one instance to a cold server."""


@dataclass(slots=True)
class Chooser:
    """Choice of a server for a ticket at one instance."""

    placement: Placement
    may_warm_up: Callable[[Server, float], bool]
    """Whether this instance is among those that send to a cold server now."""

    def choose(self, ticket: Ticket, now: float) -> Server | None:
        """The first server in the object's order that has room, None if none has."""
        position = 0
        for server in self.placement.order(ticket.claim):
            if server.id in ticket.avoid or not server.may_get_work(now):
                continue
            if server.is_cold(now) and not self._may_warm_up(server, now):
                continue
            if now >= server.full_until and server.load(now) < room(server, position):
                if server.is_cold(now):
                    server.cold_sent_at = now
                return server
            position += 1
            if position > SUBSTITUTES:
                return None
        return None

    def _may_warm_up(self, server: Server, now: float) -> bool:
        return now - server.cold_sent_at >= COLD_INTERVAL_S and self.may_warm_up(server, now)


def room(server: Server, position: int) -> float:
    """Requests that may run or wait at a server at a position of an object's order."""
    slots = server.entry.slots
    return slots * (1 + QUEUED_PER_SLOT) if position == 0 else slots * SPARE_SHARE
