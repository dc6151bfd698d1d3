"""What the requests of one instance share."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ..cluster.gossip import Gossip
from ..config.models import Backend
from ..metrics import Metrics
from ..routing.backends import BackendTable
from ..routing.quarantine import CrashLog
from ..routing.retries import RetryBudget
from ..steering.demand import DemandMeter
from .claims import Claims
from .gate import Gate
from .upstream import Upstream


@dataclass
class Shared:
    """State and tasks that requests use; one of each for an instance."""

    gossip: Gossip
    backends: BackendTable
    crashes: CrashLog
    claims: Claims
    upstream: Upstream
    metrics: Metrics
    demand: DemandMeter
    gate_by_service: dict[str, Gate] = field(default_factory=dict)
    budget_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    backends_by_service: dict[str, list[list[Backend]]] = field(default_factory=dict)
    """Backend servers of each service, the own region's first, then by latency."""
    random: Random = field(default_factory=Random)
    clock: Callable[[], float] = time.monotonic
