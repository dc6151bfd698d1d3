"""Admission control by rank: bounded concurrency, guaranteed shares (floors) and deadlines.

Pure state: ``now`` is in seconds of a monotonic clock.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.02
MAX_WAITING = 10_000
DEVIATION_FACTOR = 3.0
FINISH_MARGIN_S = 0.01
MIN_CAPACITY_SHARE = 0.05
URGENT_EXTRA_REQUESTS = 1.0
"""Requests beyond the capacity that the most urgent rank may start."""


class Refusal(StrEnum):
    """Why a request was not admitted."""

    QUEUE_FULL = "queue-full"
    DEADLINE_TOO_CLOSE = "deadline-too-close"


@dataclass(eq=False, slots=True)
class Ticket:
    """One queued or running request."""

    rank: str
    deadline: float
    started_at: float | None = None


@dataclass(slots=True)
class Outcome:
    """Tickets that were started and refused by one decision."""

    started: list[Ticket] = field(default_factory=list)
    refused: list[tuple[Ticket, Refusal]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RankRule:
    """Order (0 is the most urgent) and floor (guaranteed share of starts) of a rank."""

    order: int
    floor: float


class Admission:
    """Admission queue of one service on one instance."""

    def __init__(self, rules: Mapping[str, RankRule], capacity: float) -> None:
        self._rules = dict(rules)
        self._ranks = sorted(rules, key=lambda rank: rules[rank].order)
        self._waiting: dict[str, deque[Ticket]] = {rank: deque() for rank in self._ranks}
        self._running: dict[str, int] = dict.fromkeys(self._ranks, 0)
        self._credit: dict[str, float] = dict.fromkeys(self._ranks, 0.0)
        self._service_time_s: dict[str, float] = dict.fromkeys(self._ranks, INITIAL_SERVICE_TIME_S)
        self._deviation_s: dict[str, float] = dict.fromkeys(self._ranks, 0.0)
        self.capacity = capacity

    @property
    def running(self) -> int:
        """Number of started requests that have not finished."""
        return sum(self._running.values())

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self._waiting.values())

    def offer(self, ticket: Ticket, now: float) -> Outcome:
        """Start, queue or refuse a new request."""
        if now + self._expected_s(ticket.rank) > ticket.deadline:
            return Outcome(refused=[(ticket, Refusal.DEADLINE_TOO_CLOSE)])
        if self.waiting >= MAX_WAITING:
            return Outcome(refused=[(ticket, Refusal.QUEUE_FULL)])
        self._waiting[ticket.rank].append(ticket)
        return self._start_next(now)

    def finish(self, ticket: Ticket, now: float) -> Outcome:
        """Finish a started request and start queued ones in its place."""
        self._running[ticket.rank] -= 1
        if ticket.started_at is not None:
            took_s = now - ticket.started_at
            self._note_service_time(ticket.rank, took_s)
        return self._start_next(now)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a queued request whose caller disconnected."""
        queue = self._waiting[ticket.rank]
        if ticket in queue:
            queue.remove(ticket)

    def _note_service_time(self, rank: str, took_s: float) -> None:
        error_s = took_s - self._service_time_s[rank]
        self._service_time_s[rank] += SERVICE_TIME_WEIGHT * error_s
        self._deviation_s[rank] += SERVICE_TIME_WEIGHT * (abs(error_s) - self._deviation_s[rank])

    def _start_next(self, now: float) -> Outcome:
        outcome = Outcome()
        self._refuse_late(outcome, now)
        while True:
            rank = self._pick_rank()
            if rank is None:
                return outcome
            ticket = self._waiting[rank].popleft()
            ticket.started_at = now
            self._running[rank] += 1
            self._update_credit(rank)
            outcome.started.append(ticket)

    def _refuse_late(self, outcome: Outcome, now: float) -> None:
        for rank, queue in self._waiting.items():
            while queue and now + self._finish_s(rank) > queue[0].deadline:
                outcome.refused.append((queue.popleft(), Refusal.DEADLINE_TOO_CLOSE))

    def _pick_rank(self) -> str | None:
        """Return the rank to start next: one below its floor, else the most urgent one."""
        free = self.capacity - self.running
        waiting = [rank for rank in self._ranks if self._waiting[rank]]
        below_floor = [rank for rank in waiting if self._credit[rank] >= 1]
        if free >= 1 or self.running == 0:
            return (
                max(below_floor, key=lambda rank: self._credit[rank])
                if below_floor
                else next(iter(waiting), None)
            )
        # The most urgent rank may exceed the capacity, since another instance may free a slot.
        is_urgent = waiting[:1] == self._ranks[:1]
        return (
            waiting[0]
            if is_urgent and not below_floor and free + URGENT_EXTRA_REQUESTS >= 1
            else None
        )

    def _update_credit(self, started: str) -> None:
        """Credit each other queued rank with its floor and charge the started rank one start."""
        for rank in self._ranks:
            if rank != started and self._waiting[rank]:
                self._credit[rank] += self._rules[rank].floor
        self._credit[started] = max(0.0, self._credit[started] - 1)

    def _expected_s(self, rank: str) -> float:
        """Expected time until the response to a new request of a rank, with a margin."""
        return self._expected_wait_s(rank) + self._finish_s(rank)

    def _finish_s(self, rank: str) -> float:
        """Expected run time of a started request, with a margin for slow ones."""
        return (
            self._service_time_s[rank]
            + DEVIATION_FACTOR * self._deviation_s[rank]
            + FINISH_MARGIN_S
        )

    def _expected_wait_s(self, rank: str) -> float:
        """Expected time in the queue, from the rank's order or its floor, whichever is shorter."""
        own_s = len(self._waiting[rank]) * self._service_time_s[rank]
        floors = sum(self._rules[other].floor for other in self._ranks if self._waiting[other])
        floor = self._rules[rank].floor
        ahead_s = own_s + sum(
            len(queue) * self._service_time_s[other]
            for other, queue in self._waiting.items()
            if self._rules[other].order < self._rules[rank].order
        )
        in_order_s = ahead_s / max(
            1.0, self.capacity * max(MIN_CAPACITY_SHARE, 1.0 - floors + floor)
        )
        if floor <= 0:
            return in_order_s
        return min(in_order_s, own_s / (self.capacity * floor))
