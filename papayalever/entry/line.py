"""Runs the waiting line of an instance: tasks wait here until a server has room for them."""

import asyncio
from collections.abc import Callable

from ..routing.servers import Server, ServerTable
from ..routing.waiting import Ticket, WaitingLine
from .shared import now

TICK_S = 0.02
"""Room also comes from other instances' work, whose end is not reported here."""


class Line:
    """Waiting requests of one instance."""

    def __init__(
        self, servers: ServerTable, choose: Callable[[Ticket, float], Server | None]
    ) -> None:
        self._servers = servers
        self._line = WaitingLine(choose)
        self._waiter_by_ticket: dict[Ticket, asyncio.Future[Server | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_settling = False

    def __len__(self) -> int:
        return len(self._line)

    async def wait(self, ticket: Ticket) -> Server | None:
        """A server with a place that is counted as taken, None if there is none in time."""
        if self._line.offer(ticket, now()):
            return self._take(ticket)
        waiter = asyncio.get_running_loop().create_future()
        self._waiter_by_ticket[ticket] = waiter
        self._arm()
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self._servers.note_end(waiter.result())
            raise
        finally:
            ticket.is_over = True
            self._waiter_by_ticket.pop(ticket, None)

    def note_room(self) -> None:
        """A place may be free: look once when the present callbacks are done."""
        if self._waiter_by_ticket and not self._is_settling:
            self._is_settling = True
            asyncio.get_running_loop().call_soon(self._settle)

    def _settle(self) -> None:
        self._is_settling = False
        for ticket in self._line.settle_each(now(), self._take):
            waiter = self._waiter_by_ticket.get(ticket)
            if waiter and not waiter.done():
                waiter.set_result(ticket.server)
            elif ticket.server:
                self._servers.note_end(ticket.server)

    def _take(self, ticket: Ticket) -> Server | None:
        if ticket.server:
            self._servers.note_start(ticket.server)
        return ticket.server

    def _arm(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._settle()
        if self._waiter_by_ticket:
            self._arm()
