"""State that all requests of one instance share."""

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
from .admission import AdmissionController
from .backend_client import BackendClient
from .claims import Claims


@dataclass
class SharedState:
    """State and components that requests use; an instance has one of each."""

    gossip: Gossip
    backends: BackendTable
    crashes: CrashLog
    claims: Claims
    backend_client: BackendClient
    metrics: Metrics
    demand: DemandMeter
    admission_by_service: dict[str, AdmissionController] = field(default_factory=dict)
    retry_budget_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    backends_by_service: dict[str, list[list[Backend]]] = field(default_factory=dict)
    """Backend servers of each service, grouped by region: the own region first, then by latency."""
    random: Random = field(default_factory=Random)
    clock: Callable[[], float] = time.monotonic
