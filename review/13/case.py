"""A request that crashes upstreams comes to a machine that sends through another one."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from deployment import (  # noqa: E402
    CONTACT_S,
    Caller,
    Deployment,
    ServerPath,
    configuration,
    route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1")
HAS_CRASHES, HAS_CUT = TROUBLE != "0", TROUBLE not in ("0", "part")
"""With TROUBLE=part the order crashes upstreams, and no machine is cut off."""
SERVICE = "tienda"
UPSTREAMS = 14
CUT_MACHINES, OTHER_MACHINES = 2, 2
"""All of the zone gdl-a, and those of cdmx-a."""
POISON = "/order/9b41c7"
BODY = b'{"laptop": "9b41c7", "quantity": -1}'
CRASHES_AFTER_S = 0.4
COMES_AGAIN_S, TIMES = 0.9, 13
DOWN_S = 9.0
CUT_S = 13.0
MOST_RETRIES = 3


async def browse(deployment: Deployment, address: str, number: int) -> None:
    """Another caller: some pages a second through one machine."""
    caller = Caller(address)
    for step in range(1_000_000):
        await asyncio.sleep(0.3)
        key = str((number * 7 + step * 3) % 24)
        await caller.ask("GET", f"/catalog/{key}/{step:x}", deployment.new_id(), key)


class Upstreams:
    """Starts each upstream that has crashed again after some seconds, as a new one.

    The path to one that is down refuses connections like the upstream itself.
    """

    def __init__(self, deployment: Deployment, paths: list[ServerPath]) -> None:
        self.deployment, self.paths = deployment, paths
        self.is_cut = False
        self.down: set[int] = set()
        self.starts = 0

    async def run(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            for index, server in enumerate(self.deployment.servers):
                if index not in self.down and server.process.poll() is not None:
                    self.down.add(index)
                    self.paths[index].cut()
                    self.deployment.note(f"upstream {server.id} has ended")
                    loop = asyncio.get_running_loop()
                    loop.call_later(DOWN_S, self.restart, index)

    def restart(self, index: int) -> None:
        self.starts += 1
        server = self.deployment.servers[index]
        server.id = f"i-{0x9000 + self.starts:08x}"
        self.deployment.start_server(server, "--cold-s", "3.0")
        self.down.discard(index)
        if not self.is_cut:
            asyncio.get_running_loop().create_task(self.paths[index].open())

    def cut(self) -> None:
        """Cut the zone off from all upstreams."""
        self.is_cut = True
        for path in self.paths:
            path.cut()

    async def heal(self) -> None:
        """Let the zone reach those that run."""
        self.is_cut = False
        for index, path in enumerate(self.paths):
            if index not in self.down:
                await path.open()


async def start(deployment: Deployment) -> list[ServerPath]:
    """Start everything; returns the paths from the zone to the upstreams."""
    deployment.seeds = []
    routes = [
        route("r-catalog", "/catalog/", "safe", SERVICE),
        route("r-order", "/order/", "unsafe", SERVICE),
    ]
    deployment.store.put("config", "main", configuration(routes, [SERVICE]))
    crash = ("--crash", POISON, "--crash-after", str(CRASHES_AFTER_S)) if HAS_CRASHES else ()
    for number in range(UPSTREAMS):
        zone = ("cdmx-a", "gdl-a")[number % 2]
        deployment.start_server(deployment.add_server(zone, SERVICE, "--run-s", "0.05", *crash))
    paths = []
    for server in deployment.servers:
        path = ServerPath(deployment.path_address(server), server.address)
        await path.open()
        paths.append(path)
    await deployment.store.start_view(
        deployment.zone_store, {path.target: path.address for path in paths}
    )
    for number in range(CUT_MACHINES + OTHER_MACHINES):
        machine = deployment.add_machine("gdl-a" if number < CUT_MACHINES else "cdmx-a")
        machine.store = deployment.zone_store if number < CUT_MACHINES else ""
    for machine in deployment.machines:
        deployment.start_machine(machine)
    await deployment.wait_ready()
    await asyncio.sleep(2.0)
    # Until here machines of one region may have heard of an upstream through the other region.
    deployment.store.renew_servers()
    await asyncio.sleep(2.0)
    return paths


async def main(deployment: Deployment) -> bool:
    upstreams = Upstreams(deployment, await start(deployment))
    tasks = [asyncio.create_task(upstreams.run())]
    for number, machine in enumerate(deployment.machines):
        tasks.append(asyncio.create_task(browse(deployment, machine.front, number)))
    await asyncio.sleep(3.0)
    if HAS_CUT:
        deployment.note("the zone gdl-a is cut off from all upstreams")
        upstreams.cut()
    cut_at = time.monotonic()
    await asyncio.sleep(1.0)
    for turn in range(TIMES):
        began = time.monotonic()
        machine = deployment.machines[turn % CUT_MACHINES]
        caller = Caller(machine.front)
        order = await caller.ask("POST", POISON, deployment.new_id(), "17", BODY)
        caller.close()
        deployment.note(f"caller: order {order.status} at {machine.name}")
        await asyncio.sleep(max(0.0, COMES_AGAIN_S - (time.monotonic() - began)))
    await asyncio.sleep(max(0.0, CUT_S - (time.monotonic() - cut_at)))
    if HAS_CUT:
        deployment.note("the zone reaches them again")
        await upstreams.heal()
    await asyncio.sleep(2.0)
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
    deployment.note(
        f"{len(arrived_at)} times the request reached an upstream, {len(crashed_at)} crashed, "
        f"{len(late)} arrivals later than {CONTACT_S:g} s after the third crash"
    )
    print(f"{len(crashed_at)} crashes, {len(late)} late retries")
    return len(late) <= MOST_RETRIES


run_case(main)
