"""Asynchronous front of `Admission`: waits for a place and gives it back."""

import asyncio
from collections.abc import Callable

from ..routing.admission import Admission, Outcome, RankRule, Refusal, Ticket
from ..routing.capacity import ConcurrencyLimit

Clock = Callable[[], float]


class NotAdmittedError(Exception):
    """A request was refused before it ran."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal)
        self.refusal = refusal


class Gate:
    """Places for the requests of one service on one instance."""

    def __init__(self, rules: dict[str, RankRule], clock: Clock) -> None:
        self.rules = rules
        self.limit = ConcurrencyLimit()
        self._admission = Admission(rules, self.limit.limit)
        self._clock = clock
        self._future_by_ticket: dict[Ticket, asyncio.Future] = {}

    @property
    def running(self) -> int:
        """Requests that hold a place."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Requests that wait for a place."""
        return self._admission.waiting

    async def enter(self, rank: str, deadline: float) -> Ticket:
        """Wait for a place until the deadline; raises `NotAdmittedError`."""
        ticket = Ticket(rank, deadline)
        self._admission.capacity = self.limit.limit
        outcome = self._admission.offer(ticket, self._clock())
        if outcome.started == [ticket] and not outcome.refused:
            return ticket
        future = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = future
        self._settle(outcome)
        try:
            async with asyncio.timeout_at(deadline):
                await future
        except TimeoutError:
            self._abandon(ticket, future)
            raise NotAdmittedError(Refusal.DEADLINE_TOO_CLOSE) from None
        except asyncio.CancelledError:
            self._abandon(ticket, future)
            raise
        finally:
            self._future_by_ticket.pop(ticket, None)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Give the place back."""
        self._admission.capacity = self.limit.limit
        self._settle(self._admission.finish(ticket, self._clock()))

    def _abandon(self, ticket: Ticket, future: asyncio.Future) -> None:
        if ticket.started_at is not None:
            self.leave(ticket)
        else:
            self._admission.withdraw(ticket)

    def _settle(self, outcome: Outcome) -> None:
        for ticket in outcome.started:
            future = self._future_by_ticket.get(ticket)
            if future and not future.done():
                future.set_result(None)
        for ticket, refusal in outcome.refused:
            future = self._future_by_ticket.get(ticket)
            if future and not future.done():
                future.set_exception(NotAdmittedError(refusal))
