"""State that the requests of one entry instance share."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

from ..routing.retry_budget import WindowedRetryBudget
from ..routing.routes import RouteTable, WeightedRoundRobin
from ..routing.server_limits import ServerLimits
from ..routing.servers import ServerTable
from .bodies import Body
from .crashes import CrashTracker
from .memory import MessageMemory
from .messages import RequestMeta, ResponseKind, ServerNotice, ServerResponse
from .metrics import EntryMetrics
from .path_monitor import PathMonitor
from .pool import ConnectionPool, max_idle_per_instance
from .settings import Bounds

UNKNOWN_INSTANCES = 700
"""Assumed number of instances until they are known: that of the largest deployment that the
project is built for, so that all of them together stay within their bounds."""


@dataclass(frozen=True, slots=True)
class HeaderAdapter:
    """Functions that decode and encode the platform's own HTTP headers."""

    read_request: Callable[[list[tuple[bytes, bytes]]], RequestMeta]
    read_response: Callable[[ServerResponse], ResponseKind]
    read_notice: Callable[[int, list[tuple[bytes, bytes]]], ServerNotice]
    forward_headers: Callable[[str, float], list[tuple[bytes, bytes]]]
    retry_after: Callable[[float], tuple[bytes, bytes]]
    reserved_headers: frozenset[bytes]
    """Headers of callers that are replaced by those of ``forward_headers``."""


@dataclass(slots=True)
class SharedState:
    """State that all requests of an instance share."""

    adapter: HeaderAdapter
    bounds: Bounds
    routes: RouteTable
    servers: ServerTable
    limits: ServerLimits
    splitter: WeightedRoundRobin
    pool: ConnectionPool
    paths: PathMonitor
    crashes: CrashTracker
    metrics: EntryMetrics
    memory: MessageMemory
    budget_by_service: dict[str, WindowedRetryBudget] = field(default_factory=dict)
    instances: int = UNKNOWN_INSTANCES
    """Entry instances that share the retry budget and the connections to each backend server."""

    def budget(self, service: str) -> WindowedRetryBudget:
        """Retry budget of a service."""
        if service not in self.budget_by_service:
            bounds = self.bounds
            self.budget_by_service[service] = WindowedRetryBudget(
                bounds.repeat_share, bounds.repeat_extra, bounds.repeat_window_s
            )
        budget = self.budget_by_service[service]
        budget.instances = self.instances
        return budget

    def max_idle(self, service: str) -> int:
        """Idle connections that this instance may keep to each backend server of a service."""
        rule = self.routes.config.service_by_name.get(service) if self.routes.config else None
        return max_idle_per_instance(rule.connections, self.instances) if rule else 1


def digest_request(host: str, method: bytes, target: bytes, body: Body) -> str:
    """Digest that identifies a request by what a backend server would execute."""
    hashed = hashlib.blake2b(digest_size=12)
    for part in (host.encode(), method, target):
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    hashed.update(len(body).to_bytes(8, "big"))
    for piece in body.pieces():
        hashed.update(piece)
    return hashed.hexdigest()
