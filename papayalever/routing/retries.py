"""Whether a failed attempt may be retried."""

from dataclasses import dataclass
from enum import StrEnum

RETRY_RATIO = 0.1
"""Retries earned by each first attempt."""
MAX_RETRY_TOKENS = 10.0
MAX_ATTEMPTS = 3
MAX_CONNECT_ATTEMPTS = 6


class AttemptFailure(StrEnum):
    """How an attempt at a backend server failed."""

    NOT_CONNECTED = "not-connected"
    SHED = "shed"
    LOST = "connection-lost"
    CRASHED = "backend-crashed"
    TIMEOUT = "timeout"
    SILENT = "silent-connection"
    CROSSED = "crossed-answer"


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """State of a request when an attempt has failed."""

    failure: AttemptFailure
    attempts: int
    is_idempotent: bool
    is_body_replayable: bool
    time_left_s: float


class RetryBudget:
    """Retries of one service: a share of its first attempts, so that retries cannot multiply a
    flood."""

    def __init__(self) -> None:
        self._tokens = MAX_RETRY_TOKENS

    def note_first_attempt(self) -> None:
        """Earn `RETRY_RATIO` of a retry."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def take(self) -> bool:
        """Spend one retry if there is one left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def may_retry(failed: FailedAttempt) -> bool:
    """Whether a retry is safe and useful, regardless of the budget."""
    if failed.time_left_s <= 0 or not failed.is_body_replayable:
        return False
    if failed.failure == AttemptFailure.SHED:
        # A server that sheds does no work: the request stays admitted and is retried until its
        # deadline.
        return True
    if failed.failure == AttemptFailure.NOT_CONNECTED:
        return failed.attempts < MAX_CONNECT_ATTEMPTS
    return failed.is_idempotent and failed.attempts < MAX_ATTEMPTS


def is_budgeted(failure: AttemptFailure) -> bool:
    """Whether a retry after this failure counts against the budget.

    A server that sheds does no work, so a retry after it does not add to the servers' load.
    """
    return failure != AttemptFailure.SHED
