"""Computes the next steering plan from measured demand, as pure functions.

Demand is measured in slots: the running and queued requests by the home region of their callers.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ..config.models import Configuration
from ..config.rules import slots_by_region
from .plan import Plan, Shares, move_toward, planned_shares, shift_between

MAX_REGION_UTILIZATION = 0.8
"""Largest share of a region's slots that a plan fills."""
MAX_LINK_UTILIZATION = 0.8
"""Largest share of a link's capacity that steered traffic may use."""
MAX_REPORT_AGE_S = 6.0
"""Age of a demand report beyond which the plan stays unchanged."""
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
MIN_SHIFT = 0.001
"""Shares up to this size count as no change."""


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand on one service by home region: slots in use or queued for, and bytes per second."""

    slots_by_home: Mapping[str, float] = field(default_factory=dict)
    bytes_by_home: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PlannerInput:
    """Measurements and cluster state from which the next plan is computed."""

    demand_by_service: Mapping[str, ServiceDemand]
    report_age_s: Mapping[str, float]
    usable_slots: Mapping[str, Mapping[str, float]]
    """Slots of the backend servers that accept work, by service and region.

    A region that is missing here counts with all its configured slots.
    """
    draining_regions: Collection[str] = ()
    live_regions: Collection[str] = ()


def next_plan(
    current: Plan, configuration: Configuration, planner_input: PlannerInput, now_ms: int
) -> Plan | None:
    """Compute the next plan, at most one step from ``current``; None if the plan stays.

    The plan also stays while any live region lacks a fresh demand report.
    """
    if now_ms - current.made_ms < configuration.shift_cap.step_s * 1000:
        return None
    if any(
        planner_input.report_age_s.get(region, MAX_REPORT_AGE_S + 1) > MAX_REPORT_AGE_S
        for region in planner_input.live_regions
    ):
        return None
    shares_by_service = {
        service: _next_shares(current, configuration, planner_input, service)
        for service in configuration.services
    }
    fallback = {
        service: _headroom(configuration, planner_input, service)
        for service in configuration.services
    }
    plan = Plan(now_ms, shares_by_service, fallback)
    return plan if _differs(current, plan, configuration) else None


def _next_shares(
    current: Plan, configuration: Configuration, planner_input: PlannerInput, service: str
) -> dict[str, dict[str, float]]:
    demand = planner_input.demand_by_service.get(service, ServiceDemand())
    before = {
        home: planned_shares(current, configuration, service, home)
        for home in configuration.regions
    }
    target = _target_shares(configuration, planner_input, service, demand)
    limited = {
        home: move_toward(before[home], target[home], configuration.shift_cap.share_per_step)
        for home in configuration.regions
    }
    return {home: dict(shares) for home, shares in limited.items()}


def _target_shares(
    configuration: Configuration, planner_input: PlannerInput, service: str, demand: ServiceDemand
) -> dict[str, Shares]:
    """Keep what fits in the home region and move the excess by free slots and link capacity."""
    free_slots = {
        region: (
            0.0
            if region in planner_input.draining_regions
            else MAX_REGION_UTILIZATION
            * _usable_slots(configuration, planner_input, service, region)
        )
        for region in configuration.regions
    }
    target: dict[str, dict[str, float]] = {}
    slots_by_home = {home: demand.slots_by_home.get(home, 0.0) for home in configuration.regions}
    for home, slots in slots_by_home.items():
        slots_at_home = min(slots, free_slots[home])
        free_slots[home] -= slots_at_home
        share = (
            slots_at_home / slots
            if slots > 0
            else float(home not in planner_input.draining_regions)
        )
        target[home] = {region: share * float(region == home) for region in configuration.regions}
    for home in configuration.regions:
        _place_excess(
            configuration, target[home], home, slots_by_home[home], free_slots, demand, service
        )
    return target


def _place_excess(
    configuration: Configuration,
    shares: dict[str, float],
    home: str,
    slots: float,
    free_slots: dict[str, float],
    demand: ServiceDemand,
    service: str,
) -> None:
    excess_share = 1.0 - sum(shares.values())
    others = [region for region in configuration.regions if region != home]
    total = sum(free_slots[region] for region in others)
    if excess_share <= MIN_SHIFT or total <= 0:
        # No other region has free slots: admission in the home region refuses the excess.
        shares[home] += excess_share
        return
    for region in others:
        share = excess_share * free_slots[region] / total
        share = min(share, free_slots[region] / slots if slots > 0 else share)
        share = min(share, _link_limit(configuration, home, region, demand))
        shares[region] += share
    shares[home] += 1.0 - sum(shares.values())
    for region in others:
        free_slots[region] -= shares[region] * slots


def _link_limit(
    configuration: Configuration, home: str, region: str, demand: ServiceDemand
) -> float:
    """Share of the callers of ``home`` whose traffic fits the link to ``region``."""
    bytes_s = demand.bytes_by_home.get(home, 0.0)
    if bytes_s <= 0:
        return 1.0
    services = len(configuration.services)
    for link in configuration.links:
        if {home, region} == set(link.between):
            capacity = link.capacity_mbit_s * BITS_PER_MEGABIT / BITS_PER_BYTE
            return MAX_LINK_UTILIZATION * capacity / services / bytes_s
    return 1.0


def _headroom(
    configuration: Configuration, planner_input: PlannerInput, service: str
) -> dict[str, float]:
    demand = planner_input.demand_by_service.get(service, ServiceDemand())
    return {
        region: max(
            0.0,
            _usable_slots(configuration, planner_input, service, region)
            - demand.slots_by_home.get(region, 0.0),
        )
        for region in configuration.regions
        if region not in planner_input.draining_regions
    }


def _usable_slots(
    configuration: Configuration, planner_input: PlannerInput, service: str, region: str
) -> float:
    if region not in planner_input.live_regions:
        return 0.0
    usable = planner_input.usable_slots.get(service, {})
    return usable.get(region, slots_by_region(configuration, service).get(region, 0.0))


def _differs(current: Plan, plan: Plan, configuration: Configuration) -> bool:
    for service, shares_by_home in plan.shares_by_service.items():
        for home, shares in shares_by_home.items():
            before = planned_shares(current, configuration, service, home)
            if shift_between(before, shares) > MIN_SHIFT:
                return True
    return _fallback_differs(current, plan)


def _fallback_differs(current: Plan, plan: Plan) -> bool:
    """Whether a region's headroom changed by more than a fifth of the largest headroom."""
    for service, headroom in plan.fallback_by_service.items():
        current_headroom = current.fallback_by_service.get(service, {})
        largest = max([*headroom.values(), *current_headroom.values(), 1.0])
        for region in {**headroom, **current_headroom}:
            if abs(headroom.get(region, 0.0) - current_headroom.get(region, 0.0)) > largest / 5:
                return True
    return False
