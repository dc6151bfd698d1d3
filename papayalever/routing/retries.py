"""Whether a failed try may be followed by another."""

from dataclasses import dataclass
from enum import StrEnum

BUDGET_SHARE = 0.1
BUDGET_BURST = 10.0
MAX_TRIES = 3
MAX_CONNECT_TRIES = 6


class TryFailure(StrEnum):
    """How a try at a backend server failed."""

    NOT_CONNECTED = "not-connected"
    SHED = "shed"
    LOST = "connection-lost"
    CRASHED = "backend-crashed"
    TIMEOUT = "timeout"
    SILENT = "silent-connection"
    CROSSED = "crossed-answer"


@dataclass(frozen=True, slots=True)
class TryState:
    """What is known when a try has failed."""

    failure: TryFailure
    tries: int
    is_idempotent: bool
    is_body_replayable: bool
    time_left_s: float


class RetryBudget:
    """Retries of one service: a share of its first tries, so that they never multiply a flood."""

    def __init__(self) -> None:
        self._tokens = BUDGET_BURST

    def note_first_try(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(BUDGET_BURST, self._tokens + BUDGET_SHARE)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def may_retry(state: TryState) -> bool:
    """Whether another try is safe and useful, before the budget is asked."""
    if state.time_left_s <= 0 or not state.is_body_replayable:
        return False
    if state.failure == TryFailure.SHED:
        # A server that sheds does no work: its place in the queue is kept until the deadline.
        return True
    if state.failure == TryFailure.NOT_CONNECTED:
        return state.tries < MAX_CONNECT_TRIES
    return state.is_idempotent and state.tries < MAX_TRIES


def is_budgeted(failure: TryFailure) -> bool:
    """Whether a try after this failure may add to the servers' work."""
    return failure != TryFailure.SHED
