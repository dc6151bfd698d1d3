"""What the requests of one entry instance share."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

from ..routing.retry_budget import WindowedRetryBudget
from ..routing.routes import RouteTable, WeightedRoundRobin
from ..routing.servers import ServerTable
from .caller import BodyMemory
from .crashes import CrashTracker
from .messages import AnswerKind, RequestMeta, ServerAnswer
from .metrics import EntryMetrics
from .pool import Pool, share_idle
from .settings import Bounds


@dataclass(frozen=True, slots=True)
class Dialect:
    """Functions of the adapter that read and write what the platform calls its own way."""

    read_request: Callable[[list[tuple[bytes, bytes]]], RequestMeta]
    read_answer: Callable[[ServerAnswer], AnswerKind]
    forward_headers: Callable[[str, float], list[tuple[bytes, bytes]]]
    retry_after: Callable[[float], tuple[bytes, bytes]]
    own_headers: frozenset[bytes]
    """Headers that callers can not pass through."""


@dataclass(slots=True)
class Shared:
    """State that all requests of the instance use."""

    dialect: Dialect
    bounds: Bounds
    routes: RouteTable
    servers: ServerTable
    splitter: WeightedRoundRobin
    pool: Pool
    crashes: CrashTracker
    metrics: EntryMetrics
    bodies: BodyMemory
    budget_by_service: dict[str, WindowedRetryBudget] = field(default_factory=dict)
    instances: int = 24
    """Entry instances that share budgets; the most one of today's deployments has."""

    def budget(self, service: str) -> WindowedRetryBudget:
        """The service's budget of repeated sends."""
        if service not in self.budget_by_service:
            bounds = self.bounds
            self.budget_by_service[service] = WindowedRetryBudget(
                bounds.repeat_share, bounds.repeat_extra, bounds.repeat_window_s
            )
        budget = self.budget_by_service[service]
        budget.instances = self.instances
        return budget

    def most_idle(self, service: str) -> int:
        """Idle connections to each server of a service that this instance may keep."""
        rule = self.routes.config.service_by_name.get(service) if self.routes.config else None
        return share_idle(rule.connections, self.instances) if rule else 1


def digest_request(host: str, method: bytes, target: bytes, body: bytes) -> str:
    """Digest of what a server would run."""
    hashed = hashlib.blake2b(digest_size=12)
    for part in (host.encode(), method, target, body):
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.hexdigest()
