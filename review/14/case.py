"""An upstream crashes and starts again, cold, under the id that it had, while the store is away."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from deployment import (  # noqa: E402
    COLD_OVER,
    COLD_PER_S,
    COLD_SLACK,
    Caller,
    Deployment,
    configuration,
    route,
    run_case,
)

SERVICE = "tienda"
CALLERS = 22
"""Callers at each machine."""
PAUSE_S = 0.8
STORE_AWAY_S = 8.0
DOWN_S = 2.5


async def browse(deployment: Deployment, address: str, number: int) -> None:
    caller = Caller(address)
    await asyncio.sleep(PAUSE_S * (number % CALLERS) / CALLERS)
    for step in range(1_000_000):
        key = str((number * 5 + step * 7) % 38)
        answer, _ = await asyncio.gather(
            caller.ask("GET", f"/catalog/{key}/{number:x}{step:x}", deployment.new_id(), key),
            asyncio.sleep(PAUSE_S),
        )
        if answer.status == 503:
            wait_s = float(answer.headers.get("retry-after", "0"))
            await asyncio.sleep(min(wait_s, 0.8))


async def main(deployment: Deployment, has_trouble: bool) -> bool:
    routes = [route("r-catalog", "/catalog/", "safe", SERVICE)]
    deployment.store.put("config", "main", configuration(routes, [SERVICE]))
    zones = ("cdmx-a", "cdmx-b")
    for zone in zones * 2:
        server = deployment.add_server(zone, SERVICE, "--run-s", "0.06")
        deployment.start_server(server)
    for zone in zones * 2:
        deployment.add_machine(zone)
    for machine in deployment.machines:
        deployment.start_machine(machine)
    await deployment.wait_ready()
    tasks = [
        asyncio.create_task(browse(deployment, machine.front, index * CALLERS + number))
        for index, machine in enumerate(deployment.machines)
        for number in range(CALLERS)
    ]
    await asyncio.sleep(8.0)
    server = deployment.servers[0]
    if has_trouble:
        deployment.store.is_busy = True
        deployment.store.wake()
        deployment.note("the store answers 503")
        await asyncio.sleep(0.5)
        server.process.kill()
        deployment.note(f"upstream {server.id} crashed")
        await asyncio.sleep(DOWN_S)
        deployment.start_server(server, "--cold-s", "3.0")
        await asyncio.sleep(STORE_AWAY_S - 0.5 - DOWN_S)
        deployment.store.is_busy = False
        deployment.note("the store answers again")
    else:
        await asyncio.sleep(STORE_AWAY_S)
    await asyncio.sleep(3.0)
    for task in tasks:
        task.cancel()
    return judge(deployment)


def judge(deployment: Deployment) -> bool:
    """FAILBACK: requests that a cold upstream gets in one second."""
    most = COLD_PER_S * COLD_OVER + COLD_SLACK
    worst = 0
    for server in deployment.servers:
        cold = [
            event["t"]
            for event in deployment.events
            if event["e"] == "arrive" and event["server"] == server.id and event["cold"]
        ]
        counts = [sum(1 for other in cold if at <= other < at + 1.0) for at in cold]
        worst = max([worst, *counts])
    deployment.note(f"at most {worst} requests in a second at a cold upstream, {most:.2f} allowed")
    print(f"{worst} in a second, {most:.2f} allowed")
    return worst <= most


run_case(main)
