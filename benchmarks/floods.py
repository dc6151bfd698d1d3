"""Goodput and latency of every rank while one rank floods, against naive proxies."""

import asyncio
import subprocess
import sys
from contextlib import contextmanager

from tests.support.cluster import Cluster, Shape, free_ports

from .load import RankResult, Stream, send_open_loop
from .report import print_rows

SEED = 11
DURATION_S = 8.0
SERVICE_S = 0.05
SLOTS = 3
BACKENDS_PER_DOMAIN = 2
INSTANCES_PER_DOMAIN = 2
REGIONS = {"noord": ["noord-a", "noord-b"]}
CAPACITY_PER_S = 2 * BACKENDS_PER_DOMAIN * SLOTS / SERVICE_S
DEADLINE_S = {"urgent": 1.0, "normal": 2.0, "bulk": 5.0}
PATHS = {"urgent": "/urgent/1", "normal": "/normal", "bulk": "/bulk/1"}
BASE_LOAD = {"urgent": 0.2, "normal": 0.2, "bulk": 0.1}
"""Share of the capacity that each rank requests without a flood."""
SCENARIOS = {
    "quiet": {},
    "bulk 2x": {"bulk": 2.0},
    "bulk 5x": {"bulk": 5.0},
    "bulk 10x": {"bulk": 10.0},
    "urgent 5x": {"urgent": 5.0},
    "bulk 5x, domain and store lost": {"bulk": 5.0},
}


def make_streams(flood: dict[str, float]) -> list[Stream]:
    """Return the base load, with the flooding rank at a multiple of the capacity."""
    return [
        Stream(rank, PATHS[rank], flood.get(rank, share) * CAPACITY_PER_S, DEADLINE_S[rank])
        for rank, share in BASE_LOAD.items()
    ]


async def run_papayalever(name: str, flood: dict[str, float]) -> dict[str, RankResult]:
    """Run one scenario against four instances."""
    ranks = {
        rank: {"order": order, "deadline_s": DEADLINE_S[rank], "floor": 0.1 if order else 0.0}
        for order, rank in enumerate(DEADLINE_S)
    }
    shape = Shape(
        REGIONS,
        INSTANCES_PER_DOMAIN,
        BACKENDS_PER_DOMAIN,
        SLOTS,
        SERVICE_S,
        overrides={"ranks": ranks},
    )
    async with Cluster(shape) as cluster:
        await cluster.put_in_force()
        await warm_up(cluster)
        if "lost" in name:
            await lose_domain(cluster)
        addresses = [item.caller for item in cluster.running()]
        return await send_open_loop(
            lambda rng: rng.choice(addresses),
            "logboek.example",
            make_streams(flood),
            DURATION_S,
            SEED,
        )


async def run_naive(name: str, flood: dict[str, float]) -> dict[str, RankResult]:
    """Run the scenario against four naive proxies with the same backend servers."""
    shape = Shape(REGIONS, 0, BACKENDS_PER_DOMAIN, SLOTS, SERVICE_S)
    async with Cluster(shape) as cluster:
        concurrency = 2 * BACKENDS_PER_DOMAIN * SLOTS // (2 * INSTANCES_PER_DOMAIN)
        with naive_proxies(cluster, concurrency) as addresses:
            await asyncio.sleep(1.5)
            if "lost" in name:
                await lose_domain(cluster)
                addresses = addresses[: len(addresses) // 2]
            return await send_open_loop(
                lambda rng: rng.choice(addresses),
                "logboek.example",
                make_streams(flood),
                DURATION_S,
                SEED,
            )


@contextmanager
def naive_proxies(cluster: Cluster, concurrency: int):
    """Run naive proxies in their own processes; yield their addresses."""
    backends = [item["address"] for item in cluster.backends]
    ports = free_ports(2 * INSTANCES_PER_DOMAIN)
    processes = [
        subprocess.Popen(
            [sys.executable, "-m", "benchmarks.naive", str(port), str(concurrency), *backends]
        )
        for port in ports
    ]
    try:
        yield [f"127.0.0.1:{port}" for port in ports]
    finally:
        for process in processes:
            process.kill()
            process.wait()


async def warm_up(cluster: Cluster) -> None:
    """Send a few requests to warm up backend servers and connections."""
    for _ in range(5):
        await asyncio.gather(
            *(
                cluster.send("GET", "/urgent/0", item.id)
                for item in cluster.running()
                for _ in range(3)
            )
        )


async def lose_domain(cluster: Cluster) -> None:
    """Kill the instances and backend servers of ``noord-b`` and take the store down."""
    await cluster.set_faults(is_down=True)
    for item in cluster.backends:
        if item["failure_domain"] == "noord-b":
            await cluster.control(item["id"], is_dead=True)
    for instance in cluster.running():
        if instance.domain == "noord-b":
            cluster.kill(instance.id)


async def main() -> None:
    """Print one row for each scenario, rank and version."""
    rows = []
    quiet_p99 = 1.0
    for name, flood in SCENARIOS.items():
        for version, run in (("papayalever", run_papayalever), ("naive", run_naive)):
            results = await run(name, flood)
            answered = sum(item.answered for item in results.values())
            goodput = answered / max(item.last_s for item in results.values()) / CAPACITY_PER_S
            if name == "quiet" and version == "papayalever":
                quiet_p99 = results["urgent"].quantile_ms(0.99)
            for rank, item in results.items():
                rows.append(make_row(name, version, rank, item, goodput, quiet_p99))
    titles = ["scenario", "version", "rank", "offered/s", "answered %", "p50 ms", "p99 ms"]
    titles += ["p99 / quiet urgent", "goodput / capacity"]
    print_rows(titles, rows)


def make_row(
    name: str, version: str, rank: str, item: RankResult, goodput: float, quiet_p99: float
) -> list[str]:
    """Return one table row."""
    return [
        name,
        version,
        rank,
        f"{item.offered / DURATION_S:.0f}",
        f"{100 * item.answered / max(1, item.offered):.1f}",
        f"{item.quantile_ms(0.5):.0f}",
        f"{item.quantile_ms(0.99):.0f}",
        f"{item.quantile_ms(0.99) / quiet_p99:.2f}",
        f"{goodput:.2f}",
    ]


if __name__ == "__main__":
    asyncio.run(main())
