"""When an instance that shuts down refuses, answers and closes what is left."""

from dataclasses import dataclass

ACCEPT_S = 1.5
"""How long after SIGTERM new connections are accepted, from callers that still use the address."""
CLOSE_MARGIN_S = 0.4
"""Time reserved before SIGKILL to close the remaining connections."""
ANSWER_MARGIN_S = 0.1
"""Time reserved before that for the last answers to reach callers in other regions."""
MAX_FORWARD_S = 3.0
"""How long after SIGTERM requests are sent to servers. Only these may outlast the grace time by the
users' rules. A request that still waits for a server then finds one through another instance."""
MAX_FORWARD_SHARE = 0.5
"""The same as a share of a short grace time."""
STOPPING = "the instance stops"
"""Reason of the refusals that follow."""
RETRY_AFTER_S = 0.05
"""Retry-After of a request that was not sent by then: other instances accept it at once."""


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of a graceful shutdown, in seconds of the monotonic clock."""

    accept_until: float
    forward_until: float
    """When the last request is sent to a server."""
    answer_by: float
    """When every request has an answer."""
    close_by: float


def plan_stop(stop_s: float, now: float) -> StopPlan:
    """Plan a shutdown that must be over within ``stop_s`` seconds."""
    close_by = now + stop_s - CLOSE_MARGIN_S
    return StopPlan(
        accept_until=now + ACCEPT_S,
        forward_until=now + min(MAX_FORWARD_S, MAX_FORWARD_SHARE * stop_s),
        answer_by=close_by - ANSWER_MARGIN_S,
        close_by=close_by,
    )
