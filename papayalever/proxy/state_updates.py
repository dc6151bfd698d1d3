"""Updates of the shared state when the configuration or the set of live instances changes."""

import time
from collections.abc import Sequence

from ..cluster.messages import Member
from ..config.models import Backend, Configuration
from ..config.rules import region_by_domain, slots_by_region
from ..routing.admission import RankRule
from ..routing.backends import choose_subset, connection_limit, divide_slots
from ..routing.retries import RetryBudget
from ..steering.plan import latency_by_region
from .admission import AdmissionController
from .shared import SharedState


def apply_configuration(shared: SharedState, configuration: Configuration) -> None:
    """Apply the backend servers, ranks and services; what is unchanged keeps its state."""
    services = configuration.services.values()
    shared.backends.set_backends(backend for service in services for backend in service.backends)
    rules = {name: RankRule(rank.order, rank.floor) for name, rank in configuration.ranks.items()}
    for name in configuration.services:
        admission = shared.admission_by_service.get(name)
        if admission is None or admission.rules != rules:
            shared.admission_by_service[name] = AdmissionController(rules, time.monotonic)
        shared.retry_budget_by_service.setdefault(name, RetryBudget())


def divide_capacity(
    shared: SharedState, configuration: Configuration, own: Member, live: Sequence[Member]
) -> None:
    """Divide the slots and connections of the backend servers among the live instances."""
    instances_in_region = [member.id for member in live if member.region == own.region]
    region_of = region_by_domain(configuration)
    own_slots: dict[str, int] = {}
    connection_limits: dict[str, int] = {}
    for name, service in configuration.services.items():
        subset = choose_subset(service.backends, own.id, len(live))
        shared.backends_by_service[name] = _group_by_region(configuration, own.region, subset)
        connection_limits |= {item.address: connection_limit(item, len(live)) for item in subset}
        slots = slots_by_region(configuration, name).get(own.region, 0.0)
        shared.admission_by_service[name].limit.set_share(slots, len(instances_in_region))
        nearby = [item for item in service.backends if region_of[item.failure_domain] == own.region]
        own_slots |= divide_slots(nearby, own.id, instances_in_region)
    shared.backends.set_own_slots(own_slots)
    shared.backend_client.set_limits(connection_limits)


def _group_by_region(
    configuration: Configuration, own_region: str, backends: Sequence[Backend]
) -> list[list[Backend]]:
    """Group backend servers by region: the own region first, then by latency."""
    region_of = region_by_domain(configuration)
    latency = latency_by_region(configuration, own_region)
    backends_by_region: dict[str, list[Backend]] = {}
    for backend in backends:
        backends_by_region.setdefault(region_of[backend.failure_domain], []).append(backend)
    order = sorted(backends_by_region, key=lambda region: latency.get(region, float("inf")))
    return [backends_by_region[region] for region in order]
