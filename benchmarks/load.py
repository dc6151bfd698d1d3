"""Load generators for HTTP servers: a closed loop, and an open loop with streams by rank."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

CONNECTIONS = 16


async def send_closed_loop(address: str, path: str, headers: dict[str, str], count: int) -> None:
    """Send ``count`` GET requests over a few keep-alive connections and read each response."""
    host, port = address.split(":")
    lines = [f"GET {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    request = ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def run(request_count: int) -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(request_count):
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200"):
                raise RuntimeError(head.decode())
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
        writer.close()

    await asyncio.gather(*(run(count // CONNECTIONS) for _ in range(CONNECTIONS)))


@dataclass
class RankResult:
    """Outcomes of the requests of one rank in an open loop."""

    offered: int = 0
    answered: int = 0
    refused: int = 0
    late: int = 0
    last_s: float = 0.0
    """Time from the start of the load to the last successful response."""
    latency_s: list[float] = field(default_factory=list)

    def quantile_ms(self, quantile: float) -> float:
        """Return a latency quantile of the answered requests."""
        ordered = sorted(self.latency_s)
        return 1000 * ordered[int(quantile * (len(ordered) - 1))] if ordered else 0.0


@dataclass(frozen=True)
class Stream:
    """Requests of one rank at a mean rate per second, each cancelled after ``deadline_s``."""

    rank: str
    path: str
    rate_s: float
    deadline_s: float


async def send_open_loop(
    pick_address: Callable[[random.Random], str],
    host: str,
    streams: list[Stream],
    duration_s: float,
    seed: int,
) -> dict[str, RankResult]:
    """Send Poisson streams regardless of the responses and count the outcomes by rank."""
    results = {stream.rank: RankResult() for stream in streams}
    tasks: set[asyncio.Task] = set()
    load_started_at = time.monotonic()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def send(stream: Stream, address: str) -> None:
            result = results[stream.rank]
            started_at = time.monotonic()
            try:
                async with asyncio.timeout(stream.deadline_s):
                    async with session.get(
                        f"http://{address}{stream.path}", headers={"Host": host}
                    ) as response:
                        await response.read()
                        status = response.status
            except TimeoutError:
                result.late += 1
                return
            except (aiohttp.ClientError, OSError):
                result.refused += 1
                return
            if status == 200:
                result.answered += 1
                result.latency_s.append(time.monotonic() - started_at)
                result.last_s = time.monotonic() - load_started_at
            else:
                result.refused += 1

        async def generate(stream: Stream, rng: random.Random) -> None:
            due = time.monotonic()
            end = due + duration_s
            while due < end:
                due += rng.expovariate(stream.rate_s)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                results[stream.rank].offered += 1
                task = asyncio.create_task(send(stream, pick_address(rng)))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

        await asyncio.gather(
            *(
                generate(stream, random.Random(f"{seed}/{stream.rank}"))
                for stream in streams
                if stream.rate_s > 0
            )
        )
        while tasks:
            await asyncio.wait(tasks)
    return results
