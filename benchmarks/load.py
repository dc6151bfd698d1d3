"""Load on an HTTP server: keep-alive connections in closed loop, and an open loop by rank."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

CONNECTIONS = 16


async def send_closed_loop(address: str, path: str, headers: dict[str, str], count: int) -> None:
    """Send ``count`` GET requests over a few connections and read each answer."""
    host, port = address.split(":")
    lines = [f"GET {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    request = ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def run(share: int) -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(share):
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
    """What the callers of one rank got in an open loop."""

    offered: int = 0
    answered: int = 0
    refused: int = 0
    late: int = 0
    last_s: float = 0.0
    """Time from the start of the load to the last answer."""
    latency_s: list[float] = field(default_factory=list)

    def quantile_ms(self, share: float) -> float:
        """Latency of the answered requests."""
        ordered = sorted(self.latency_s)
        return 1000 * ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


@dataclass(frozen=True)
class Stream:
    """Requests of one rank at a rate, with the time after which an answer is worth nothing."""

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
    """Send Poisson streams whatever the answers, and sort the answers by rank."""
    results = {stream.rank: RankResult() for stream in streams}
    tasks: set[asyncio.Task] = set()
    started = time.monotonic()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def send(stream: Stream, address: str) -> None:
            result = results[stream.rank]
            began = time.monotonic()
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
                result.latency_s.append(time.monotonic() - began)
                result.last_s = time.monotonic() - started
            else:
                result.refused += 1

        async def generate(stream: Stream, chance: random.Random) -> None:
            due = time.monotonic()
            end = due + duration_s
            while due < end:
                due += chance.expovariate(stream.rate_s)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                results[stream.rank].offered += 1
                task = asyncio.create_task(send(stream, pick_address(chance)))
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
