"""Decide the next plan from measured demand; pure, ``now`` as an argument.

Demand is in slots: the requests that run or wait, by the home region of their callers.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ..config.models import Configuration
from ..config.rules import slots_by_region
from .plan import Plan, Shares, move_toward, planned_shares, shift_between

FULL_SHARE = 0.8
"""Share of a region's slots up to which steering fills it."""
LINK_SHARE = 0.8
"""Share of a link's capacity that steered traffic may take."""
STALE_S = 6.0
BITS_PER_BYTE = 8
MEGA = 1_000_000
MIN_SHIFT = 0.001


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand on one service by home region: slots in use or waited for, and bytes a second."""

    slots_by_home: Mapping[str, float] = field(default_factory=dict)
    bytes_by_home: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Evidence:
    """What the planner knows: demand by service, age of each region's report, drains, losses."""

    demand_by_service: Mapping[str, ServiceDemand]
    report_age_s: Mapping[str, float]
    usable_slots: Mapping[str, Mapping[str, float]]
    """Slots of the servers that accept work, by service and region."""
    draining: Collection[str] = ()
    present: Collection[str] = ()


def next_plan(
    current: Plan, configuration: Configuration, evidence: Evidence, now_ms: int
) -> Plan | None:
    """The next plan, one step from ``current``; None when nothing has to move yet.

    Without fresh reports of every region that is present the plan holds.
    """
    if now_ms - current.made_ms < configuration.shift_cap.step_s * 1000:
        return None
    if any(evidence.report_age_s.get(item, STALE_S + 1) > STALE_S for item in evidence.present):
        return None
    shares_by_service = {
        service: _next_shares(current, configuration, evidence, service)
        for service in configuration.services
    }
    fallback = {
        service: _headroom(configuration, evidence, service) for service in configuration.services
    }
    plan = Plan(now_ms, shares_by_service, fallback)
    return plan if _differs(current, plan, configuration) else None


def _next_shares(
    current: Plan, configuration: Configuration, evidence: Evidence, service: str
) -> dict[str, dict[str, float]]:
    demand = evidence.demand_by_service.get(service, ServiceDemand())
    before = {
        home: planned_shares(current, configuration, service, home)
        for home in configuration.regions
    }
    target = _target_shares(configuration, evidence, service, demand)
    limited = {
        home: move_toward(before[home], target[home], configuration.shift_cap.share_per_step)
        for home in configuration.regions
    }
    return {home: dict(shares) for home, shares in limited.items()}


def _target_shares(
    configuration: Configuration, evidence: Evidence, service: str, demand: ServiceDemand
) -> dict[str, Shares]:
    """Serve at home what fits; the rest goes where there is headroom and link capacity."""
    room = {
        region: (
            0.0
            if region in evidence.draining
            else FULL_SHARE * _usable(configuration, evidence, service, region)
        )
        for region in configuration.regions
    }
    target: dict[str, dict[str, float]] = {}
    wanted = {home: demand.slots_by_home.get(home, 0.0) for home in configuration.regions}
    for home, slots in wanted.items():
        at_home = min(slots, room[home])
        room[home] -= at_home
        share = at_home / slots if slots > 0 else float(home not in evidence.draining)
        target[home] = {region: share * float(region == home) for region in configuration.regions}
    for home in configuration.regions:
        _place_rest(configuration, target[home], home, wanted[home], room, demand, service)
    return target


def _place_rest(
    configuration: Configuration,
    shares: dict[str, float],
    home: str,
    slots: float,
    room: dict[str, float],
    demand: ServiceDemand,
    service: str,
) -> None:
    rest = 1.0 - sum(shares.values())
    others = [region for region in configuration.regions if region != home]
    total = sum(room[region] for region in others)
    if rest <= MIN_SHIFT or total <= 0:
        # Nobody has room: the callers stay, and admission at home refuses what is too much.
        shares[home] += rest
        return
    for region in others:
        share = rest * room[region] / total
        share = min(share, room[region] / slots if slots > 0 else share)
        share = min(share, _link_limit(configuration, home, region, demand))
        shares[region] += share
    shares[home] += 1.0 - sum(shares.values())
    for region in others:
        room[region] -= shares[region] * slots


def _link_limit(
    configuration: Configuration, home: str, region: str, demand: ServiceDemand
) -> float:
    """Share of a home's callers whose bytes fit the link to ``region``."""
    bytes_s = demand.bytes_by_home.get(home, 0.0)
    if bytes_s <= 0:
        return 1.0
    services = len(configuration.services)
    for link in configuration.links:
        if {home, region} == set(link.between):
            capacity = link.capacity_mbit_s * MEGA / BITS_PER_BYTE
            return LINK_SHARE * capacity / services / bytes_s
    return 1.0


def _headroom(configuration: Configuration, evidence: Evidence, service: str) -> dict[str, float]:
    demand = evidence.demand_by_service.get(service, ServiceDemand())
    return {
        region: max(
            0.0,
            _usable(configuration, evidence, service, region)
            - demand.slots_by_home.get(region, 0.0),
        )
        for region in configuration.regions
        if region not in evidence.draining
    }


def _usable(configuration: Configuration, evidence: Evidence, service: str, region: str) -> float:
    if region not in evidence.present:
        return 0.0
    usable = evidence.usable_slots.get(service, {})
    return usable.get(region, slots_by_region(configuration, service).get(region, 0.0))


def _differs(current: Plan, plan: Plan, configuration: Configuration) -> bool:
    for service, shares_by_home in plan.shares_by_service.items():
        for home, shares in shares_by_home.items():
            before = planned_shares(current, configuration, service, home)
            if shift_between(before, shares) > MIN_SHIFT:
                return True
    return _fallback_differs(current, plan)


def _fallback_differs(current: Plan, plan: Plan) -> bool:
    """Whether some region's headroom changed by more than a fifth of the largest."""
    for service, headroom in plan.fallback_by_service.items():
        known = current.fallback_by_service.get(service, {})
        largest = max([*headroom.values(), *known.values(), 1.0])
        for region in {**headroom, **known}:
            if abs(headroom.get(region, 0.0) - known.get(region, 0.0)) > largest / 5:
                return True
    return False
