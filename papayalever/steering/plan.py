"""Steering plan: the share of each region's callers that other regions serve."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from pydantic import TypeAdapter

from ..config.models import Configuration
from ..config.rules import slots_by_region

PLAN_NAME = "plan"
MAX_CREDIT_S = 1.0
"""Time without a call that still counts toward the next shift."""

Shares = Mapping[str, float]
"""Share by serving region; the shares of one home region add up to 1."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Shares by service and home region, and what to do when a region is lost."""

    made_ms: int = 0
    shares_by_service: dict[str, dict[str, dict[str, float]]] = field(default_factory=dict)
    fallback_by_service: dict[str, dict[str, float]] = field(default_factory=dict)
    """Headroom of each region by service, for the callers of a region that is lost."""


PLAN = TypeAdapter(Plan)


def planned_shares(plan: Plan, configuration: Configuration, service: str, home: str) -> Shares:
    """Shares of the regions for callers of ``home``; without a plan all stay at home."""
    planned = plan.shares_by_service.get(service, {}).get(home)
    if planned:
        return {region: planned.get(region, 0.0) for region in configuration.regions}
    return {region: float(region == home) for region in configuration.regions}


def present_shares(
    shares: Shares, present: Collection[str], plan: Plan, configuration: Configuration, service: str
) -> Shares:
    """Shares without the regions that are lost: theirs go to the others by headroom.

    Every instance does this on its own evidence, because a lost region may take the store with it
    and with the store every new plan.
    """
    lost = sum(share for region, share in shares.items() if region not in present)
    kept = {region: share for region, share in shares.items() if region in present}
    if lost <= 0 or not kept:
        return kept
    headroom = plan.fallback_by_service.get(service) or slots_by_region(configuration, service)
    weights = {region: max(0.0, headroom.get(region, 0.0)) for region in kept}
    total = sum(weights.values())
    if total <= 0:
        weights = dict.fromkeys(kept, 1.0)
        total = float(len(kept))
    return {region: share + lost * weights[region] / total for region, share in kept.items()}


def shift_between(before: Shares, after: Shares) -> float:
    """Share of the callers that two plans serve from different regions."""
    return sum(max(0.0, share - before.get(region, 0.0)) for region, share in after.items())


def move_toward(before: Shares, target: Shares, allowed: float) -> Shares:
    """The shares on the way to ``target`` after a shift of at most ``allowed``."""
    wanted = shift_between(before, target)
    if wanted <= allowed:
        return target
    part = allowed / wanted
    return {
        region: before.get(region, 0.0) + part * (target.get(region, 0.0) - before.get(region, 0.0))
        for region in {**before, **target}
    }


class ShiftLimiter:
    """The shares that one instance obeys: no plan moves them faster than the cap.

    Each instance holds the cap by its own clock, so that two planners at once, or one that was
    paused, can not add their steps up.
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
        """Move toward ``target`` as far as the time since the last call allows."""
        key = (service, home)
        before = self._shares.get(key)
        if before is None:
            shares = target
        else:
            elapsed_s = min(MAX_CREDIT_S, max(0.0, now - self._moved_at[key]))
            # With the credit counted in, no window of ``step_s`` sees more than one step.
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
