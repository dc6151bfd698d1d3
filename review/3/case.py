"""The store is silent to two of six machines, those that read it for the others."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import TROUBLE, run_case  # noqa: E402

ZONES = ["cdmx-a"] * 3 + ["gdl-a"] * 3
ROUNDS, ROUND_S, AWAY_S, CHANGE_AFTER_S = 7, 10.0, 5.0, 0.3
CONFIG_S, MARGIN_S, ASKED_S = 2.0, 0.05, 2.0
CUT = 2
"""Machines that the store turns away: a third of them."""


class StoreLink:
    """The store's address for one machine, which may fall silent."""

    def __init__(self, address: str, store: str) -> None:
        self.address, self.store = address, store
        self.is_silent = False
        self.watched_at = float("-inf")
        """When the machine last asked for the upstreams, by the loop's clock."""

    async def start(self) -> None:
        host, port = self.address.split(":")
        await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer) -> None:
        host, port = self.store.split(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        pumps = [
            asyncio.create_task(self._pump(reader, store_writer, True)),
            asyncio.create_task(self._pump(store_reader, writer, False)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        for item in (writer, store_writer):
            item.close()

    async def _pump(self, reader, writer, is_call: bool) -> None:
        while data := await reader.read(1 << 16):
            if is_call and b"/objects/servers?watch" in data:
                self.watched_at = asyncio.get_running_loop().time()
            if self.is_silent:
                # What was sent in a silence is lost, as is the answer to it.
                await asyncio.sleep(3600)
            writer.write(data)
            await writer.drain()


class Case:
    def __init__(self, deployment) -> None:
        self.d = deployment
        self.results = Counter()
        self.stale: list[str] = []
        self.version = 7

    def write_config(self, service: str) -> None:
        self.version += random.randrange(1, 4)
        routes = {
            "catalog-browse": {"path_prefix": "/look/", "service": service},
            "catalog-sync": {"path_prefix": "/sync/", "service": "bodega"},
        }
        self.d.write_config(self.version, routes, ["tienda", "bodega"])

    async def ask(self, machine, service: str, since_ack_s: float) -> None:
        """A request on the route that was moved: which service runs it?"""
        answer = await self.d.ask(machine.front, "GET", "/look/1", key="1")
        ran = {
            item.service
            for item in self.d.upstreams
            for _, attempt in item.runs
            if attempt == answer.attempt
        }
        is_old = bool(ran - {service})
        self.results["old service" if is_old else f"{answer.status}"] += 1
        if is_old:
            self.stale.append(machine.name)
            self.d.record.write(
                f"{machine.name}: sent {since_ack_s:.3f} s after the acknowledgement, run by {ran}, "
                f"the route's service is {service}"
            )

    async def round(self, links: dict, service: str) -> None:
        loop = asyncio.get_running_loop()
        readers = sorted(links, key=lambda name: -links[name].watched_at)[:CUT]
        if TROUBLE:
            for name in readers:
                links[name].is_silent = True
            self.d.record.write("platform_down, nodes, silent: share", CUT / 6, readers)
        cut_at = loop.time()
        await asyncio.sleep(CHANGE_AFTER_S)
        self.write_config(service)
        acked_at = loop.time()
        await asyncio.sleep(CONFIG_S + MARGIN_S)
        others = [machine for machine in self.d.machines if machine.name not in readers]
        tasks = []
        while loop.time() < acked_at + CONFIG_S + ASKED_S:
            for machine in others:
                tasks.append(self.d.spawn(self.ask(machine, service, loop.time() - acked_at)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, cut_at + AWAY_S - loop.time()))
        for link in links.values():
            link.is_silent = False
        self.d.record.write("the store serves all machines again", dict(self.results))
        await asyncio.sleep(max(0.0, cut_at + ROUND_S - loop.time()))


async def case(deployment) -> int:
    d, test = deployment, Case(deployment)
    d.add_machines(ZONES)
    links = {}
    for number, machine in enumerate(d.machines):
        link = StoreLink(f"{d.net}.{40 + number}:8142", d.store.address)
        await link.start()
        links[machine.name] = link
        machine.settings["provider.address"] = link.address
    d.add_upstreams("tienda", ["cdmx-a", "gdl-a"] * 2, work_s=0.05)
    d.add_upstreams("bodega", ["cdmx-a", "gdl-a"] * 2, work_s=0.05)
    test.write_config("tienda")
    await d.start()
    await asyncio.sleep(6)
    for number in range(ROUNDS):
        await test.round(links, ("bodega", "tienda")[number % 2])
    d.record.write("run by the old service later than config_ms:", len(test.stale))
    print(dict(test.results), Counter(test.stale))
    return 1 if test.stale else 0


run_case(Path(__file__).resolve().parent, case)
