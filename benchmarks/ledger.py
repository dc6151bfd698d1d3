"""Cost of the ledger: CPU time of a POST with and without a key, and memory per record."""

import asyncio
import sys
import tracemalloc

import uuid6

from papayalever.cluster.messages import Record, StoredResponse
from papayalever.ledger.slots import RecordState, Slot
from tests.support.cluster import Cluster, Shape

from .membership import read_cpu_s
from .report import print_rows

REQUESTS = 1_500
CONCURRENCY = 8
RECORDS = (10_000, 20_000, 40_000, 80_000)
RESPONSE_BYTES = 300


async def measure_requests(is_keyed: bool) -> float:
    """Return the CPU time per POST, summed over all instances, in microseconds.

    The idle load of the instances is measured first and subtracted.
    """
    shape = Shape({"noord": ["noord-a", "noord-b"]}, 2, 2, slots=64, service_s=0.0)
    async with Cluster(shape) as cluster:
        await cluster.put_in_force()
        pids = [item.process.pid for item in cluster.by_id.values()]
        await asyncio.sleep(5.0)
        idle_before = sum(map(read_cpu_s, pids))
        await asyncio.sleep(5.0)
        idle_load = (sum(map(read_cpu_s, pids)) - idle_before) / 5.0
        loop = asyncio.get_running_loop()
        cpu_before, started_at = sum(map(read_cpu_s, pids)), loop.time()
        queue = iter(range(REQUESTS))
        ids = list(cluster.by_id)

        async def run() -> None:
            for number in queue:
                key = f"noord.{uuid6.uuid7()}" if is_keyed else None
                response = await cluster.send("POST", "/x", ids[number % len(ids)], key=key)
                if response.status != 200:
                    raise RuntimeError(str(response))

        await asyncio.gather(*(run() for _ in range(CONCURRENCY)))
        cpu_s = sum(map(read_cpu_s, pids)) - cpu_before - idle_load * (loop.time() - started_at)
    return cpu_s / REQUESTS * 1e6


def measure_memory(records: int) -> float:
    """Return the memory of one record with a short response, in bytes."""
    tracemalloc.start()
    slot = Slot()
    for number in range(records):
        response = StoredResponse(200, {"Content-Type": "application/json"}, bytes(RESPONSE_BYTES))
        key, attempt = f"logboek/noord.{uuid6.uuid7()}", f"noord-a-1#1796365622837/{number}"
        slot.put(Record(key, attempt, "0" * 32, number, RecordState.DONE, response))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / records


async def main() -> None:
    """Print both tables."""
    plain, keyed = await measure_requests(False), await measure_requests(True)
    print_rows(
        ["request", "us over all instances"],
        [["POST without a key", f"{plain:.0f}"], ["POST with a key", f"{keyed:.0f}"]],
    )
    rows = [[f"{count}", f"{measure_memory(count):.0f}"] for count in RECORDS]
    print_rows(["records", "bytes each"], rows)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
