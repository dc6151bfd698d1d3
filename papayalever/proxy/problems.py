"""Refusals as problem details (RFC 9457)."""

import json
from dataclasses import dataclass
from enum import StrEnum

from aiohttp import web

TYPE_BASE = "urn:papayalever:problem:"


class RequestOutcome(StrEnum):
    """What a refusal says about the request and every earlier attempt with its key."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Stable reason of a refusal; also the counter's label."""

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
    """A refusal on its way to the caller."""

    reason: Reason
    status: int
    outcome: RequestOutcome
    detail: str
    retry_after_s: int | None = None

    def to_response(self) -> web.Response:
        """The refusal as an HTTP answer."""
        headers = {"Cache-Control": "no-store"}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
        document = {
            "type": TYPE_BASE + self.reason,
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
    """A refusal of a request that has certainly not run."""
    return ProblemError(reason, status, RequestOutcome.NOT_RUN, detail, retry_after_s)


def refuse_unknown(
    reason: Reason, status: int, detail: str, retry_after_s: int | None = None
) -> ProblemError:
    """A refusal of a request that may have run."""
    return ProblemError(reason, status, RequestOutcome.UNKNOWN, detail, retry_after_s)
