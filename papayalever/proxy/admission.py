"""Asynchronous wrapper of `Admission`: requests wait for admission and release it."""

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


class AdmissionController:
    """Admits the requests of one service on one instance within a concurrency limit."""

    def __init__(self, rules: dict[str, RankRule], clock: Clock) -> None:
        self.rules = rules
        self.limit = ConcurrencyLimit()
        self._admission = Admission(rules, self.limit.limit)
        self._clock = clock
        self._future_by_ticket: dict[Ticket, asyncio.Future] = {}

    @property
    def running(self) -> int:
        """Number of admitted requests."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._admission.waiting

    async def admit(self, rank: str, deadline: float) -> Ticket:
        """Wait for admission until the deadline; raises `NotAdmittedError`."""
        ticket = Ticket(rank, deadline)
        self._admission.capacity = self.limit.limit
        outcome = self._admission.offer(ticket, self._clock())
        if outcome.started == [ticket] and not outcome.refused:
            return ticket
        future = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = future
        self._resolve(outcome)
        try:
            async with asyncio.timeout_at(deadline):
                await future
        except TimeoutError:
            self._cancel(ticket, future)
            raise NotAdmittedError(Refusal.DEADLINE_TOO_CLOSE) from None
        except asyncio.CancelledError:
            self._cancel(ticket, future)
            raise
        finally:
            self._future_by_ticket.pop(ticket, None)
        return ticket

    def release(self, ticket: Ticket) -> None:
        """End an admitted request."""
        self._admission.capacity = self.limit.limit
        self._resolve(self._admission.finish(ticket, self._clock()))

    def _cancel(self, ticket: Ticket, future: asyncio.Future) -> None:
        if ticket.started_at is not None:
            self.release(ticket)
        else:
            self._admission.withdraw(ticket)

    def _resolve(self, outcome: Outcome) -> None:
        """Wake the requests that a decision started or refused."""
        for ticket in outcome.started:
            future = self._future_by_ticket.get(ticket)
            if future and not future.done():
                future.set_result(None)
        for ticket, refusal in outcome.refused:
            future = self._future_by_ticket.get(ticket)
            if future and not future.done():
                future.set_exception(NotAdmittedError(refusal))
