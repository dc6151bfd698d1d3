"""Steering plan: the share of each region's callers that other regions serve."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pydantic import TypeAdapter

from ..config.models import Configuration

PLAN_NAME = "plan"

Shares = dict[str, float]


@dataclass(frozen=True, slots=True)
class Plan:
    """Shares by service and home region; ``epoch`` is the planner's lease."""

    epoch: int = 0
    made_ms: int = 0
    shares_by_service: dict[str, dict[str, Shares]] = field(default_factory=dict)


PLAN = TypeAdapter(Plan)


def shares_for(plan: Plan, configuration: Configuration, service: str, home: str) -> Shares:
    """Shares of the regions for callers of ``home``; without a plan all stay at home."""
    planned = plan.shares_by_service.get(service, {}).get(home)
    if planned:
        return {**dict.fromkeys(configuration.regions, 0.0), **planned}
    latency = latency_by_region(configuration, home)
    ordered = sorted(configuration.regions, key=lambda region: latency[region])
    return {region: float(region == home) for region in ordered}


def latency_by_region(configuration: Configuration, home: str) -> Mapping[str, float]:
    """One-way latency in milliseconds from ``home`` to each region."""
    latency = {region: float("inf") for region in configuration.regions}
    latency[home] = 0.0
    for link in configuration.links:
        if home in link.between:
            other = link.between[0] if link.between[1] == home else link.between[1]
            latency[other] = link.latency_ms
    return latency
