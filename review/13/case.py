"""A request that crashes each upstream that begins to run it comes again and again."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from deployment import CONTACT_S, Caller, Deployment, configuration, route, run_case  # noqa: E402

SERVICE = "tienda"
POISON = "/order/9b41c7"
BODY = b'{"laptop": "9b41c7", "quantity": -1}'
COMES_AGAIN_S = 3.2
LOOKS, LOOKS_S = 2, 0.3
"""Pages that the caller looks at before it orders, over the same machine, and time for each."""
DOWN_S = 2.5
TIMES = 16
MOST_RETRIES = 3


async def browse(deployment: Deployment, address: str, number: int) -> None:
    """Other callers: about a page a second through one machine."""
    caller = Caller(address)
    for step in range(1_000_000):
        await asyncio.sleep(0.9)
        key = str(100 + (number * 7 + step * 3) % 24)
        await caller.ask("GET", f"/catalog/{key}/{step:x}", deployment.new_id(), key)


async def restart_crashed(deployment: Deployment) -> None:
    """Each upstream that has crashed is back after some seconds, as a new one."""
    starts = 0
    while True:
        await asyncio.sleep(0.05)
        for server in deployment.servers:
            if server.process.poll() is not None and not server.is_down:
                server.is_down = True
                deployment.note(f"upstream {server.id} has ended")
                starts += 1
                asyncio.get_running_loop().call_later(DOWN_S, restart, deployment, server, starts)


def restart(deployment: Deployment, server, number: int) -> None:
    server.id = f"i-{0x9000 + number:08x}"
    deployment.start_server(server, "--cold-s", "3.0")
    server.is_down = False


async def main(deployment: Deployment, has_trouble: bool) -> bool:
    routes = [
        route("r-catalog", "/catalog/", "safe", SERVICE),
        route("r-order", "/order/", "unsafe", SERVICE),
    ]
    deployment.store.put("config", "main", configuration(routes, [SERVICE]))
    crash = ("--crash", POISON) if has_trouble else ()
    for zone in ("cdmx-a", "cdmx-b", "cdmx-a", "cdmx-b"):
        server = deployment.add_server(zone, SERVICE, "--run-s", "0.03", *crash)
        server.is_down = False
        deployment.start_server(server)
    for zone in ("cdmx-a", "cdmx-b") * 4:
        deployment.add_machine(zone)
    for machine in deployment.machines:
        deployment.start_machine(machine)
    await deployment.wait_ready()
    tasks = [asyncio.create_task(restart_crashed(deployment))]
    for number, machine in enumerate(deployment.machines):
        tasks.append(asyncio.create_task(browse(deployment, machine.front, number)))
    await asyncio.sleep(3.0)
    for turn in range(TIMES):
        machine = deployment.machines[turn % len(deployment.machines)]
        caller, began = Caller(machine.front), time.monotonic()
        for page in range(LOOKS):
            target = f"/catalog/17/{turn:x}{page}"
            look = await caller.ask("GET", target, deployment.new_id(), "17")
            await asyncio.sleep(LOOKS_S)
        order = await caller.ask("POST", POISON, deployment.new_id(), "17", BODY)
        caller.close()
        deployment.note(f"caller: look {look.status}, order {order.status} at {machine.name}")
        await asyncio.sleep(max(0.0, COMES_AGAIN_S - (time.monotonic() - began)))
    for task in tasks:
        task.cancel()
    return judge(deployment)


def judge(deployment: Deployment) -> bool:
    """BUDGET: at most three retries later than contact_ms after the third crash."""
    crashed_at = [event["t"] for event in deployment.events if event["e"] == "crash"]
    arrived_at = [
        event["t"]
        for event in deployment.events
        if event["e"] == "arrive" and event["target"] == POISON
    ]
    late = []
    if len(crashed_at) >= MOST_RETRIES:
        late = [at for at in arrived_at if at > crashed_at[2] + CONTACT_S]
    has_held = not crashed_at or len(late) <= MOST_RETRIES
    deployment.note(
        f"{len(arrived_at)} times the request reached an upstream, {len(crashed_at)} crashed, "
        f"{len(late)} arrivals later than {CONTACT_S:g} s after the third crash"
    )
    print(f"{len(crashed_at)} crashes, {len(late)} late retries")
    return has_held


run_case(main)
