"""Fit what requests share to the configuration and to the live instances."""

import time
from collections.abc import Sequence

from ..cluster.messages import Member
from ..config.models import Backend, Configuration
from ..config.rules import region_by_domain, slots_by_region
from ..routing.admission import RankRule
from ..routing.backends import choose_subset, connection_limit, divide_slots
from ..routing.retries import RetryBudget
from ..steering.plan import latency_by_region
from .gate import Gate
from .shared import Shared


def use_configuration(shared: Shared, configuration: Configuration) -> None:
    """Take over servers, ranks and services; what stays the same keeps its state."""
    services = configuration.services.values()
    shared.backends.set_backends(backend for service in services for backend in service.backends)
    rules = {name: RankRule(rank.order, rank.floor) for name, rank in configuration.ranks.items()}
    for name in configuration.services:
        gate = shared.gate_by_service.get(name)
        if gate is None or gate.rules != rules:
            shared.gate_by_service[name] = Gate(rules, time.monotonic)
        shared.budget_by_service.setdefault(name, RetryBudget())


def share_capacity(
    shared: Shared, configuration: Configuration, own: Member, live: Sequence[Member]
) -> None:
    """Divide the region's slots and the servers' connections among the live instances."""
    local = [member.id for member in live if member.region == own.region]
    region_of = region_by_domain(configuration)
    own_slots: dict[str, int] = {}
    limits: dict[str, int] = {}
    for name, service in configuration.services.items():
        subset = choose_subset(service.backends, own.id, len(live))
        shared.backends_by_service[name] = _group_by_region(configuration, own.region, subset)
        limits |= {item.address: connection_limit(item, len(live)) for item in subset}
        slots = slots_by_region(configuration, name).get(own.region, 0.0)
        shared.gate_by_service[name].limit.set_share(slots, len(local))
        nearby = [item for item in service.backends if region_of[item.failure_domain] == own.region]
        own_slots |= divide_slots(nearby, own.id, local)
    shared.backends.set_own_slots(own_slots)
    shared.upstream.set_limits(limits)


def _group_by_region(
    configuration: Configuration, own_region: str, backends: Sequence[Backend]
) -> list[list[Backend]]:
    """Servers by region, the own one first, then by latency."""
    region_of = region_by_domain(configuration)
    latency = latency_by_region(configuration, own_region)
    groups: dict[str, list[Backend]] = {}
    for backend in backends:
        groups.setdefault(region_of[backend.failure_domain], []).append(backend)
    order = sorted(groups, key=lambda region: latency.get(region, float("inf")))
    return [groups[region] for region in order]
