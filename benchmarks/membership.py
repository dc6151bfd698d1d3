"""Steady-state cost of the control traffic for ordinary instances and relays by cluster size.

Each size runs as separate processes without callers. CPU, messages and bytes are read over the same
window; the last lines extrapolate the fitted plane to the target size.
"""

import asyncio
import os
import sys
import time
from dataclasses import dataclass

from tests.support.cluster import Cluster, Shape

from .report import fit_plane, print_rows

SHAPES = ((6, 1), (6, 2), (6, 4), (6, 8), (6, 14), (12, 4), (21, 2), (21, 4))
"""Failure domains and instances in each."""
WARM_UP_S = 6.0
WINDOW_S = 10.0
RELAYS_PER_DOMAIN = 2
TARGET_DOMAINS = 21
TARGET_PER_DOMAIN = 34
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Cost:
    """Average cost of one role: share of a core, messages and bytes a second, resident MB."""

    cpu: float
    messages_s: float
    bytes_s: float
    memory_mb: float


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process so far in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure(domains: int, per_domain: int) -> dict[str, Cost]:
    """Measure the cost by role at one cluster size."""
    regions = {f"r{index}": [] for index in range(min(3, domains))}
    for index in range(domains):
        regions[f"r{index % len(regions)}"].append(f"d{index}")
    async with Cluster(Shape(regions, per_domain)) as cluster:
        await cluster.put_in_force()
        await asyncio.sleep(WARM_UP_S)
        before = await read_all(cluster)
        started_at = time.monotonic()
        await asyncio.sleep(WINDOW_S)
        after = await read_all(cluster)
        window_s = time.monotonic() - started_at
    samples: dict[str, list[tuple]] = {"relay": [], "member": []}
    for name, (roles, cpu, messages, size, memory) in after.items():
        role = "relay" if "relay" in roles else "member"
        old = before[name]
        samples[role].append(
            (
                (cpu - old[1]) / window_s,
                (messages - old[2]) / window_s,
                (size - old[3]) / window_s,
                memory,
            )
        )
    return {
        role: Cost(*(sum(column) / len(rows) for column in zip(*rows, strict=True)))
        for role, rows in samples.items()
        if rows
    }


async def read_all(cluster: Cluster) -> dict[str, tuple]:
    """Read roles, CPU seconds, messages, bytes and memory of each instance."""
    found = {}
    for instance in cluster.by_id.values():
        status = await cluster.status(instance.id)
        gauges = status["gauges"]
        pid = instance.process.pid
        found[instance.id] = (
            status["roles"],
            read_cpu_s(pid),
            2 * (gauges["peer_messages_sent"] + gauges["peer_messages_received"]),
            gauges["peer_bytes"],
            read_memory_mb(pid),
        )
    return found


def print_fit(points: list[tuple[int, int, dict[str, Cost]]]) -> None:
    """Fit cost = constant + a * other relays + b * members of the domain, and extrapolate."""
    for role in ("relay", "member"):
        for name in ("cpu", "messages_s", "bytes_s", "memory_mb"):
            rows = [
                (
                    (
                        min(RELAYS_PER_DOMAIN, per_domain) * domains
                        if role == "relay"
                        else domains * per_domain
                    ),
                    per_domain,
                    getattr(costs[role], name),
                )
                for domains, per_domain, costs in points
                if role in costs
            ]
            constant, first, second = fit_plane(rows)
            size = (
                RELAYS_PER_DOMAIN * TARGET_DOMAINS
                if role == "relay"
                else TARGET_DOMAINS * TARGET_PER_DOMAIN
            )
            target = constant + first * size + second * TARGET_PER_DOMAIN
            worst = max(abs(constant + first * x + second * y - v) for x, y, v in rows)
            print(
                f"{role} {name}: {constant:.4g} + {first:.4g} x "
                f"{'relays' if role == 'relay' else 'instances'} + {second:.4g} x per domain; "
                f"largest residual {worst:.2g}; at the target {target:.4g}"
            )


async def main() -> None:
    """Print the table and the fits."""
    points, rows = [], []
    for domains, per_domain in SHAPES:
        costs = await measure(domains, per_domain)
        points.append((domains, per_domain, costs))
        for role, cost in costs.items():
            rows.append(
                [
                    f"{domains * per_domain}",
                    f"{domains}",
                    role,
                    f"{100 * cost.cpu:.2f}",
                    f"{cost.messages_s:.1f}",
                    f"{cost.bytes_s / 1000:.2f}",
                    f"{cost.memory_mb:.0f}",
                ]
            )
    titles = ["instances", "domains", "role", "CPU %", "messages/s", "KB/s", "MB"]
    print_rows(titles, rows)
    print_fit(points)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
