"""Steering plan: the share of each region's callers that other regions serve."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from pydantic import TypeAdapter

from ..config.models import Configuration
from ..config.rules import slots_by_region

PLAN_NAME = "plan"
MAX_CREDIT_S = 1.0
"""Longest time since the last call that counts toward the next shift."""

Shares = Mapping[str, float]
"""Share of one home region's callers by serving region; the shares add up to 1."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Shares by service, home region and serving region, and the fallback for a lost region."""

    made_ms: int = 0
    shares_by_service: dict[str, dict[str, dict[str, float]]] = field(default_factory=dict)
    fallback_by_service: dict[str, dict[str, float]] = field(default_factory=dict)
    """Free slots by service and region, which weight the fallback from a lost region."""


PLAN_ADAPTER = TypeAdapter(Plan)


def planned_shares(plan: Plan, configuration: Configuration, service: str, home: str) -> Shares:
    """Planned shares for the callers of ``home``; without a plan, ``home`` serves all of them."""
    planned = plan.shares_by_service.get(service, {}).get(home)
    if planned:
        return {region: planned.get(region, 0.0) for region in configuration.regions}
    return {region: float(region == home) for region in configuration.regions}


def redistribute_shares(
    shares: Shares,
    live_regions: Collection[str],
    plan: Plan,
    configuration: Configuration,
    service: str,
) -> Shares:
    """Divide the shares of lost regions among the live ones in proportion to their headroom.

    Every instance does this from its own view of the cluster: losing a region may also make the
    store unreachable, and without the store there is no new plan.
    """
    lost_share = sum(share for region, share in shares.items() if region not in live_regions)
    live_shares = {region: share for region, share in shares.items() if region in live_regions}
    if lost_share <= 0 or not live_shares:
        return live_shares
    headroom = plan.fallback_by_service.get(service) or slots_by_region(configuration, service)
    weights = {region: max(0.0, headroom.get(region, 0.0)) for region in live_shares}
    total = sum(weights.values())
    if total <= 0:
        weights = dict.fromkeys(live_shares, 1.0)
        total = float(len(live_shares))
    return {
        region: share + lost_share * weights[region] / total
        for region, share in live_shares.items()
    }


def shift_between(before: Shares, after: Shares) -> float:
    """Share of the callers whose serving region differs between ``before`` and ``after``."""
    return sum(max(0.0, share - before.get(region, 0.0)) for region, share in after.items())


def move_toward(before: Shares, target: Shares, allowed: float) -> Shares:
    """Move the shares from ``before`` toward ``target``, shifting at most ``allowed``."""
    shift = shift_between(before, target)
    if shift <= allowed:
        return target
    fraction = allowed / shift
    return {
        region: before.get(region, 0.0)
        + fraction * (target.get(region, 0.0) - before.get(region, 0.0))
        for region in {**before, **target}
    }


class ShiftLimiter:
    """The shares that one instance applies, which change no faster than the shift cap.

    Each instance enforces the cap by its own clock, so the steps of two concurrent planners, or of
    one that was paused, cannot add up.
    """

    def __init__(self) -> None:
        self._shares: dict[tuple[str, str], Shares] = {}
        self._moved_at: dict[tuple[str, str], float] = {}

    def advance(
        self,
        service: str,
        home: str,
        target: Shares,
        share_per_step: float,
        step_s: float,
        now: float,
    ) -> Shares:
        """Move toward ``target`` as far as the time since the last call allows.

        The first call for a service and home region applies ``target`` at once.
        """
        key = (service, home)
        before = self._shares.get(key)
        if before is None:
            shares = target
        else:
            elapsed_s = min(MAX_CREDIT_S, max(0.0, now - self._moved_at[key]))
            # Adding the credit to the divisor keeps every window of ``step_s`` within one step.
            allowed = share_per_step * elapsed_s / (step_s + MAX_CREDIT_S)
            shares = move_toward(before, target, allowed)
        self._shares[key] = shares
        self._moved_at[key] = now
        return shares


def latency_by_region(configuration: Configuration, home: str) -> Mapping[str, float]:
    """One-way latency in milliseconds from ``home`` to each region."""
    latency = {region: float("inf") for region in configuration.regions}
    latency[home] = 0.0
    for link in configuration.links:
        if home in link.between:
            other = link.between[0] if link.between[1] == home else link.between[1]
            latency[other] = link.latency_ms
    return latency
