"""Time from the start of an apply until the version is in force on every instance."""

import asyncio
import sys
import time

from tests.support.cluster import Cluster, Shape

from .report import print_rows

SHAPES = ((2, 1), (3, 2), (6, 2), (6, 3), (6, 6))
APPLIES = 5
POLL_S = 0.005


async def measure(domains: int, per_domain: int) -> list[str]:
    """Measure one cluster size and return its table row."""
    regions = {f"r{index}": [] for index in range(min(3, domains // 2))}
    for index in range(domains):
        regions[f"r{index % len(regions)}"].append(f"d{index}")
    times = []
    async with Cluster(Shape(regions, per_domain)) as cluster:
        await cluster.put_in_force()
        calls = await count_calls(cluster)
        for number in range(APPLIES):
            started_at = time.monotonic()
            status, document = await cluster.apply(lookup={"ttl_s": 1 + number % 3})
            if status != 200:
                raise RuntimeError(str(document))
            while not await cluster.all_at(document["version"]):
                await asyncio.sleep(POLL_S)
            times.append(time.monotonic() - started_at)
        calls = await count_calls(cluster) - calls
    times.sort()
    return [
        f"{domains * per_domain}",
        f"{domains}",
        f"{times[len(times) // 2]:.3f}",
        f"{times[-1]:.3f}",
        f"{calls / APPLIES:.1f}",
    ]


async def count_calls(cluster: Cluster) -> int:
    """Return the number of calls of every kind that the store has handled."""
    calls = await cluster.get(f"127.0.0.1:{cluster.store_port}", "/calls")
    return sum(calls.values())


async def main() -> None:
    """Print the table; the target is 9 s."""
    rows = [await measure(*shape) for shape in SHAPES]
    print_rows(["instances", "domains", "median s", "worst s", "store calls/apply"], rows)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
