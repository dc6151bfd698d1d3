"""Settings files change while upstreams turn requests away: the retry budget begins anew."""

import asyncio
import os
import signal
import sys
import time
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from deployment import Caller, Deployment, configuration, route, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
HAS_REFUSALS, HAS_CHANGES = TROUBLE != "0", TROUBLE not in ("0", "part")
"""With TROUBLE=part upstreams turn requests away, and no settings change."""
SERVICE = "bodega"
MACHINES, UPSTREAMS = 10, 4
CALLERS, PAUSE_S = 8, 1.0
"""Callers at each machine, and the time between two requests of each."""
SHED, SHED_S = 0.55, 8.5
"""srv_grey, shed all: the share that is turned away, and for how long."""
HUP_SHARE, HUP_GAP_S, HUPS = 0.3, 1.4, 6
"""hup: the share of the machines, and how often."""
RATIO, EXTRA, WINDOW_S = 0.2, 116, 10.0


async def browse(deployment: Deployment, address: str, number: int, sent: list[float]) -> None:
    """One caller of a safe route; it does not ask again what was refused."""
    caller = Caller(address)
    await asyncio.sleep(PAUSE_S * number / CALLERS)
    for step in range(1_000_000):
        sent.append(time.monotonic())
        key = str((number * 5 + step * 7) % 24)
        request = caller.ask("GET", f"/sync/{key}/{step:x}", deployment.new_id(), key)
        await asyncio.gather(request, asyncio.sleep(PAUSE_S))


async def change_settings(deployment: Deployment) -> None:
    """The platform names other seeds to some machines, and tells them so with SIGHUP."""
    count = int(MACHINES * HUP_SHARE)
    for turn in range(HUPS):
        deployment.seeds = [deployment.machines[(turn + index) % MACHINES] for index in range(3)]
        chosen = [deployment.machines[(turn * count + index) % MACHINES] for index in range(count)]
        for machine in chosen:
            deployment.write_settings(machine)
            machine.process.send_signal(signal.SIGHUP)
            deployment.note(f"settings of {machine.name} changed")
        await asyncio.sleep(HUP_GAP_S)


async def main(deployment: Deployment) -> bool:
    routes = [route("r-sync", "/sync/", "safe", SERVICE)]
    deployment.store.put("config", "main", configuration(routes, [SERVICE]))
    shed_from = time.monotonic() + 20.0
    shed = (
        "--shed",
        str(SHED if HAS_REFUSALS else 0.0),
        "--shed-from",
        str(shed_from),
        "--shed-s",
        str(SHED_S),
    )
    zones = ("cdmx-a", "cdmx-b")
    for number in range(UPSTREAMS):
        deployment.start_server(
            deployment.add_server(zones[number % 2], SERVICE, "--run-s", "0.05", *shed)
        )
    for number in range(MACHINES):
        deployment.add_machine(zones[number % 2])
    for machine in deployment.machines:
        deployment.start_machine(machine)
    await deployment.wait_ready(12.0)
    sent: list[float] = []
    tasks = [
        asyncio.create_task(browse(deployment, machine.front, number, sent))
        for machine in deployment.machines
        for number in range(CALLERS)
    ]
    await asyncio.sleep(shed_from - time.monotonic())
    deployment.note("upstreams turn requests away")
    if HAS_CHANGES:
        tasks.append(asyncio.create_task(change_settings(deployment)))
    await asyncio.sleep(SHED_S + 4.0)
    for task in tasks:
        task.cancel()
    return judge(deployment, sent)


def judge(deployment: Deployment, sent: list[float]) -> bool:
    """BUDGET: arrivals beyond the first of each request in some window."""
    arrivals_by_id = defaultdict(list)
    for event in deployment.events:
        if event["e"] == "arrive":
            arrivals_by_id[event["id"]].append(event["t"])
    repeats = sorted(at for times in arrivals_by_id.values() for at in sorted(times)[1:])
    worst, worst_allowed = 0, 0.0
    for start in repeats:
        count = sum(1 for at in repeats if start <= at < start + WINDOW_S)
        requests = max(
            sum(1 for at in sent if begin <= at < begin + WINDOW_S)
            for begin in (start, start - WINDOW_S, start - WINDOW_S / 2)
        )
        allowed = RATIO * requests + EXTRA
        if count - allowed > worst - worst_allowed or not worst:
            worst, worst_allowed = count, allowed
    deployment.note(f"{worst} repeats in {WINDOW_S:g} s, {worst_allowed:.0f} allowed")
    print(f"{worst} repeats, {worst_allowed:.0f} allowed")
    return worst <= worst_allowed


run_case(main)
