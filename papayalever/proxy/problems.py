"""Refusals of requests as problem details (RFC 9457)."""

import json
from dataclasses import dataclass
from enum import StrEnum

from aiohttp import web

TYPE_URN_PREFIX = "urn:papayalever:problem:"


class RequestOutcome(StrEnum):
    """Whether a refused request may have run, in this or an earlier attempt with the same key."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Reason of a refusal; a stable value, also used as a label of the refusal counter."""

    UNKNOWN_HOST = "unknown-host"
    NO_CONFIGURATION = "no-configuration"
    BAD_KEY = "bad-key"
    BAD_DEADLINE = "bad-deadline"
    DEADLINE_PASSED = "deadline-passed"
    DEADLINE_TOO_CLOSE = "deadline-too-close"
    BODY_TOO_LARGE = "body-too-large"
    BODY_INCOMPLETE = "body-incomplete"
    BODY_TOO_SLOW = "body-too-slow"
    TOO_MANY_REQUESTS = "too-many-requests"
    QUEUE_FULL = "queue-full"
    NO_BACKEND = "no-backend"
    BACKEND_SHED = "backend-shed"
    BACKEND_LOST = "backend-lost"
    BACKEND_TIMEOUT = "backend-timeout"
    QUARANTINED = "quarantined"
    LEDGER_UNAVAILABLE = "ledger-unavailable"
    LEDGER_FULL = "ledger-full"
    KEY_REUSED = "key-reused"
    KEY_EXPIRED = "key-expired"
    KEY_FROM_FUTURE = "key-from-future"
    ALREADY_RUN = "already-run"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    HISTORY_LOST = "history-lost"
    UNKNOWN_PATH = "unknown-path"
    UNKNOWN_SERVICE = "unknown-service"
    NO_INSTANCE = "no-instance"
    BAD_CALLER = "bad-caller"


@dataclass(eq=False)
class ProblemError(Exception):
    """A refusal that is returned to the caller."""

    reason: Reason
    status: int
    outcome: RequestOutcome
    detail: str
    retry_after_s: int | None = None

    def to_response(self) -> web.Response:
        """Return the refusal as an HTTP response."""
        headers = {"Cache-Control": "no-store"}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
        document = {
            "type": TYPE_URN_PREFIX + self.reason,
            "title": self.reason.replace("-", " "),
            "status": self.status,
            "detail": self.detail,
            "reason": self.reason,
            "outcome": self.outcome,
        }
        return web.Response(
            status=self.status,
            body=json.dumps(document).encode(),
            content_type="application/problem+json",
            headers=headers,
        )


def refuse_not_run(
    reason: Reason, status: int, detail: str, retry_after_s: int | None = None
) -> ProblemError:
    """Return the refusal of a request that has not run."""
    return ProblemError(reason, status, RequestOutcome.NOT_RUN, detail, retry_after_s)


def refuse_unknown(
    reason: Reason, status: int, detail: str, retry_after_s: int | None = None
) -> ProblemError:
    """Return the refusal of a request that may have run."""
    return ProblemError(reason, status, RequestOutcome.UNKNOWN, detail, retry_after_s)
