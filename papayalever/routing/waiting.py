"""Requests that wait for a server at one instance, the most urgent first.

Load pattern: for seconds more work arrives than the slots can run. Urgent requests go first; among
equals those that can still make their aim go before those that can not, and first come first.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from .placement import Claim
from .servers import Server


@dataclass(eq=False, slots=True)
class Ticket:
    """A request that wants a server."""

    claim: Claim
    rank: int
    aim_at: float
    """When its answer loses its full value."""
    leave_at: float
    """When it is turned away if no server had room."""
    avoid: set[str] = field(default_factory=set)
    """Servers that failed it."""
    server: Server | None = None
    is_over: bool = False


@dataclass(slots=True)
class WaitingLine:
    """Tickets of all services at one instance."""

    choose: Callable[[Ticket, float], Server | None]
    """A server with room for the ticket, now."""
    _heap: list[tuple[int, int, Ticket]] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    def __len__(self) -> int:
        return len(self._heap)

    def offer(self, ticket: Ticket, now: float) -> bool:
        """Give a ticket a server at once, or let it wait; returns whether it has one."""
        if not any(other.claim.service == ticket.claim.service for *_, other in self._heap):
            ticket.server = self.choose(ticket, now)
            if ticket.server:
                ticket.is_over = True
                return True
        heapq.heappush(self._heap, (ticket.rank, next(self._numbers), ticket))
        return False

    def settle_each(self, now: float, take: Callable[[Ticket], object]) -> list[Ticket]:
        """Tickets that got a server or waited long enough; all of them leave the line.

        ``take`` counts each place before the next ticket is looked at.
        """
        over: list[Ticket] = []
        kept: list[tuple[int, int, Ticket]] = []
        for item in sorted(self._heap):
            ticket = item[2]
            if ticket.is_over:
                continue
            ticket.server = self.choose(ticket, now)
            if ticket.server or now >= ticket.leave_at:
                take(ticket)
                ticket.is_over = True
                over.append(ticket)
            else:
                kept.append(item)
        self._heap = kept
        return over
