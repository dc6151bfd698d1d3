"""A planned drain and the loss of a region in virtual time, against a naive plan."""

import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from papayalever.config.loader import load_configuration
from papayalever.config.models import Configuration, ShiftCap
from papayalever.config.rules import slots_by_region
from papayalever.steering.plan import (
    Plan,
    Shares,
    ShiftLimiter,
    planned_shares,
    redistribute_shares,
    shift_between,
)
from papayalever.steering.planner import PlannerInput, ServiceDemand, next_plan

from .report import print_rows

EXAMPLE = Path(__file__).parents[1] / "examples" / "schakelboek.yaml"
SERVICE = "logboek"
CAP = ShiftCap(0.1, 10.0)
DEMAND = {"noord": 11.0, "midden": 13.0, "zuid": 4.0}
DRAINED = "noord"
DURATION_S = 240
REPORT_LAG_S = 2


def plan_naively(configuration: Configuration, home: str) -> Shares:
    """Send all callers of the drained region to the first other region at once."""
    others = [region for region in configuration.regions if region != DRAINED]
    return {others[0]: 1.0} if home == DRAINED else {home: 1.0}


def run_drain(configuration: Configuration, is_naive: bool) -> list[str]:
    """Drain one region and track each second the shares that an instance applies."""
    plan, limiter = Plan(), ShiftLimiter()
    history: list[Shares] = []
    worst_load, done_s = 0.0, DURATION_S
    slots = slots_by_region(configuration, SERVICE)
    for second in range(DURATION_S):
        if not is_naive and second >= REPORT_LAG_S:
            planner_input = PlannerInput(
                {SERVICE: ServiceDemand(DEMAND, {})},
                dict.fromkeys(DEMAND, 0.0),
                {},
                (DRAINED,),
                tuple(DEMAND),
            )
            now_ms = (second + int(CAP.step_s)) * 1000
            plan = next_plan(plan, configuration, planner_input, now_ms) or plan
        shares = {
            home: (
                plan_naively(configuration, home)
                if is_naive
                else limiter.advance(
                    SERVICE,
                    home,
                    planned_shares(plan, configuration, SERVICE, home),
                    CAP.share_per_step,
                    CAP.step_s,
                    float(second),
                )
            )
            for home in DEMAND
        }
        history.append(shares[DRAINED])
        worst_load = max(worst_load, find_worst_load(shares, slots))
        if shares[DRAINED].get(DRAINED, 0.0) < 0.01:
            done_s = min(done_s, second)
    start = {DRAINED: 1.0}
    window = int(CAP.step_s)
    steps = [
        shift_between(history[index - window] if index >= window else start, history[index])
        for index in range(len(history))
    ]
    return [f"{done_s}", f"{max(steps):.3f}", f"{worst_load:.2f}"]


def find_worst_load(shares: dict[str, Shares], slots: dict[str, float]) -> float:
    """Return the largest share of slots in use of any region but the drained one."""
    return max(
        sum(DEMAND[home] * shares[home].get(region, 0.0) for home in DEMAND) / slots[region]
        for region in DEMAND
        if region != DRAINED
    )


def run_loss(configuration: Configuration, shares_for: Callable[[str], Shares]) -> str:
    """Return the largest share of a region's slots in use right after the loss."""
    shares = {home: shares_for(home) for home in DEMAND}
    return f"{find_worst_load(shares, slots_by_region(configuration, SERVICE)):.2f}"


def main() -> None:
    """Print the results of papayalever and of the naive plan."""
    configuration = replace(load_configuration(EXAMPLE.read_text()), shift_cap=CAP)
    live_regions = [region for region in DEMAND if region != DRAINED]
    planner_input = PlannerInput(
        {SERVICE: ServiceDemand(DEMAND, {})}, dict.fromkeys(DEMAND, 0.0), {}, (), tuple(DEMAND)
    )
    plan = next_plan(Plan(), configuration, planner_input, int(CAP.step_s * 1000)) or Plan()

    def fall_back(home: str) -> Shares:
        planned = planned_shares(plan, configuration, SERVICE, home)
        return redistribute_shares(planned, live_regions, plan, configuration, SERVICE)

    titles = ["version", "drained after s", "largest shift in a step", "largest load of a region"]
    print_rows(
        [*titles, "largest load after a sudden loss"],
        [
            ["papayalever", *run_drain(configuration, False), run_loss(configuration, fall_back)],
            [
                "naive",
                *run_drain(configuration, True),
                run_loss(configuration, lambda home: plan_naively(configuration, home)),
            ],
        ],
    )
    print(f"\nthe cap is {CAP.share_per_step} in {CAP.step_s:g} s; steering fills to 0.8")


if __name__ == "__main__":
    sys.exit(main())
