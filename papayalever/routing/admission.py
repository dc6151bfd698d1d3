"""Admission of requests by rank: bounded concurrency, floors and deadlines.

Pure state: every decision takes ``now`` in seconds of a monotonic clock.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

SERVICE_TIME_WEIGHT = 0.1
DEMAND_WEIGHT = 0.05
FIRST_SERVICE_TIME_S = 0.02
MAX_WAITING = 10_000


class Refusal(StrEnum):
    """Why a request was not admitted."""

    QUEUE_FULL = "queue-full"
    DEADLINE_TOO_CLOSE = "deadline-too-close"


@dataclass(eq=False, slots=True)
class Ticket:
    """One request that waits or runs."""

    rank: str
    deadline: float
    started_at: float | None = None


@dataclass(slots=True)
class Outcome:
    """Tickets that a decision starts and tickets that it refuses."""

    started: list[Ticket] = field(default_factory=list)
    refused: list[tuple[Ticket, Refusal]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RankRule:
    """Order (0 first) and floor (share of starts) of a rank."""

    order: int
    floor: float


class Admission:
    """Queue of one service on one instance."""

    def __init__(self, rules: Mapping[str, RankRule], capacity: float) -> None:
        self._rules = dict(rules)
        self._ranks = sorted(rules, key=lambda rank: rules[rank].order)
        self._waiting: dict[str, deque[Ticket]] = {rank: deque() for rank in self._ranks}
        self._running: dict[str, int] = dict.fromkeys(self._ranks, 0)
        self._credit: dict[str, float] = dict.fromkeys(self._ranks, 0.0)
        self._service_time_s: dict[str, float] = dict.fromkeys(self._ranks, FIRST_SERVICE_TIME_S)
        self._urgent_demand = 0.0
        self.capacity = capacity

    @property
    def running(self) -> int:
        """Requests admitted and not finished."""
        return sum(self._running.values())

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return sum(len(queue) for queue in self._waiting.values())

    def offer(self, ticket: Ticket, now: float) -> Outcome:
        """Start, queue or refuse a new request."""
        expected_s = self._expected_wait_s(ticket.rank) + self._service_time_s[ticket.rank]
        if now + expected_s > ticket.deadline:
            return Outcome(refused=[(ticket, Refusal.DEADLINE_TOO_CLOSE)])
        if self.waiting >= MAX_WAITING:
            return Outcome(refused=[(ticket, Refusal.QUEUE_FULL)])
        self._waiting[ticket.rank].append(ticket)
        return self._start_next(now)

    def finish(self, ticket: Ticket, now: float) -> Outcome:
        """End a started request and start others in its place."""
        self._running[ticket.rank] -= 1
        if ticket.started_at is not None:
            took_s = now - ticket.started_at
            average = self._service_time_s[ticket.rank]
            self._service_time_s[ticket.rank] = average + SERVICE_TIME_WEIGHT * (took_s - average)
        return self._start_next(now)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request whose caller went away."""
        queue = self._waiting[ticket.rank]
        if ticket in queue:
            queue.remove(ticket)

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
            self._note_demand()
            self._give_credit(rank)
            outcome.started.append(ticket)

    def _refuse_late(self, outcome: Outcome, now: float) -> None:
        for rank, queue in self._waiting.items():
            while queue and now + self._service_time_s[rank] > queue[0].deadline:
                outcome.refused.append((queue.popleft(), Refusal.DEADLINE_TOO_CLOSE))

    def _pick_rank(self) -> str | None:
        free = self.capacity - self.running
        if free < 1 and self.running > 0:
            return None
        waiting = [rank for rank in self._ranks if self._waiting[rank]]
        owed = [rank for rank in waiting if self._credit[rank] >= 1]
        if owed:
            return max(owed, key=lambda rank: self._credit[rank])
        if not waiting:
            return None
        rank = waiting[0]
        if rank != self._ranks[0] and free - self._reserve() < 1:
            return None
        return rank

    def _reserve(self) -> float:
        """Places kept for the most urgent rank: what it used lately, less what it uses now."""
        if self.capacity < 2:
            return 0.0
        wanted = min(self._urgent_demand, self.capacity / 2)
        return max(0.0, wanted - self._running[self._ranks[0]])

    def _note_demand(self) -> None:
        urgent = self._running[self._ranks[0]]
        weight = 0.5 if urgent > self._urgent_demand else DEMAND_WEIGHT
        self._urgent_demand += weight * (urgent - self._urgent_demand)

    def _give_credit(self, started: str) -> None:
        """Each start gives the waiting ranks their floor of it; a start spends one."""
        for rank in self._ranks:
            if rank != started and self._waiting[rank]:
                self._credit[rank] += self._rules[rank].floor
        self._credit[started] = max(0.0, self._credit[started] - 1)

    def _expected_wait_s(self, rank: str) -> float:
        """Time until the work ahead has drained at the present capacity."""
        order = self._rules[rank].order
        ahead_s = sum(
            len(queue) * self._service_time_s[other]
            for other, queue in self._waiting.items()
            if self._rules[other].order <= order
        )
        share = 1.0 if order == self._rules[self._ranks[0]].order else self._left_share(rank)
        return ahead_s / max(1.0, self.capacity * share)

    def _left_share(self, rank: str) -> float:
        """Share of the capacity that a lower rank can count on."""
        urgent = sum(
            self._running[other]
            for other in self._ranks
            if self._rules[other].order < self._rules[rank].order
        )
        free = max(0.0, self.capacity - urgent) / max(1.0, self.capacity)
        return max(free, self._rules[rank].floor, 0.05)
