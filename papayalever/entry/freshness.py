"""How often a reader hears from the store, and how old a view may be before another way is tried.

A view is as old as the last answer of the store behind it. All durations follow from the shortest
staleness bound of the deployment, so that the second way ends within it: a watch that is not
answered, then other instances, then a read of the store by the instance itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .settings import Bounds

WATCH_SHARE = 0.55
"""Wait of a watch as a share of the bound of its kind. A dead connection is noticed after the wait,
the margin and another call, all within the bound."""
TIMEOUT_SHARE = 0.2
MAX_TIMEOUT_MARGIN_S = 0.6
"""Time for the response to a watch beyond its wait, as a share of the bound, and at most. The store
responds in 4 ms, and may be 60 times slower."""
MIN_WAIT_SHARE = 0.1
"""Share of the period below which a watch waits until the following slot."""
ANSWER_MARGIN_S = 0.45
"""Time by which an answer may be later than its slot: the pause after a change and a round trip."""
SECOND_WAY_S = 0.6
"""Time for a read of the store by an instance that found no other way: a refused or silent poll, a
connection, two calls and the messages to the instances that follow it."""


@dataclass(frozen=True, slots=True)
class WatchSchedule:
    """When the watches of one kind end; those of several kinds alternate."""

    period_s: float
    offset_s: float | None = None
    """Start of the slots by the loop's clock; None for watches that all wait for the period."""
    timeout_margin_s: float = MAX_TIMEOUT_MARGIN_S

    @property
    def longest_s(self) -> float:
        """Longest time from the start of a watch to its answer."""
        return (1 + MIN_WAIT_SHARE) * self.period_s + self.timeout_margin_s


@dataclass(frozen=True, slots=True)
class Freshness:
    """Limits on the age of a view."""

    watch_s: float
    """Period of the watches of the kinds with the shortest bound."""
    silent_s: float
    """Time without an answer after which the store counts as silent."""
    give_up_s: float
    """Age at which an instance without a current upstream reads the store at once."""


@dataclass(frozen=True, slots=True)
class KindAnswer:
    """When the store last answered for one kind, and how long that may take."""

    at: float | None
    longest_s: float


def compute_freshness(bounds: Bounds, alternating_kinds: int) -> Freshness:
    """Limits for a deployment whose strictest kinds are watched in turn."""
    bound_s = min(bounds.config_s, bounds.drain_s, bounds.contact_s)
    watch_s = WATCH_SHARE * bound_s
    slot_s = (1 / alternating_kinds + MIN_WAIT_SHARE) * watch_s
    silent_s = slot_s + ANSWER_MARGIN_S
    return Freshness(watch_s, silent_s, max(silent_s, bound_s - SECOND_WAY_S))


def schedule_alternating(freshness: Freshness, index: int, count: int) -> WatchSchedule:
    """Schedule of one of the kinds with the shortest bound."""
    bound_s = freshness.watch_s / WATCH_SHARE
    return WatchSchedule(
        freshness.watch_s,
        freshness.watch_s * index / count,
        min(MAX_TIMEOUT_MARGIN_S, TIMEOUT_SHARE * bound_s),
    )


def compute_wait_s(schedule: WatchSchedule, now: float) -> float:
    """How long a watch that starts now waits: until the next slot that is not too close."""
    if schedule.offset_s is None:
        return schedule.period_s
    left_s = schedule.period_s - (now - schedule.offset_s) % schedule.period_s
    is_close = left_s < MIN_WAIT_SHARE * schedule.period_s
    return left_s + schedule.period_s if is_close else left_s


def compute_age_s(answers: Iterable[KindAnswer], now: float) -> float:
    """Age of a view that its holder reads from the store.

    Any answer shows that the store answers, also for the kinds whose watch waits, unless the answer
    of one kind is overdue.
    """
    ages: list[float] = []
    overdue: list[float] = []
    for answer in answers:
        if answer.at is None:
            return float("inf")
        age_s = now - answer.at
        ages.append(age_s)
        if age_s > answer.longest_s:
            overdue.append(age_s)
    return max(overdue) if overdue else min(ages, default=float("inf"))
