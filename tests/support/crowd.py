"""Callers that do not behave, and the process of an entry instance that they meet."""

import asyncio
import itertools
import os
import socket
import tempfile
import unittest
from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path

from .platform import (
    Behave,
    Caller,
    FakeServer,
    PlatformStore,
    Reply,
    boot_text,
    configuration,
)
from .program import Program

WATCH_INTERVAL_S = 0.02
CROWD_S = 5.0
"""How long a crowd sends and stays; all that it sent may still be waiting afterwards."""
CONNECTS_AT_A_TIME = 50
SERVERS = 4
DEADLINE_MS = 20_000
MAX_RETURNS = 3
"""How often an ordinary caller comes back after a refusal, when its Retry-After says so."""
START_S = 30.0
FRONT, READY, DIRECTORY = 8144, 8140, 8143
_hosts = itertools.count(1)


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """One entry instance as a process, with a store and servers in the test's own."""

    memory_mb = 80
    max_fds = 2870
    slots = 4
    limits: dict[str, int] = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 6_710_886,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    }
    behave: Behave | None = None

    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        net = f"127.{220 + next(_hosts) % 30}.{os.getpid() % 250}"
        self.store = PlatformStore(f"{net}.1:8142")
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.servers = [
            FakeServer(f"i-{number}", f"{net}.{number}:8080", "noord-a", slots=self.slots)
            for number in range(2, 2 + SERVERS)
        ]
        for server in self.servers:
            server.behave = self.behave
            await server.start()
            self.addAsyncCleanup(server.stop)
            self.store.put("servers", server.id, server.entry())
        slow = {"timeout_ms": DEADLINE_MS, "target_latency_ms": 1000}
        routes = {name: slow for name in ("lookup", "signoff", "scan", "recording")}
        self.store.put("config", "main", configuration(4, limits=self.limits, **routes))
        self.ip = f"{net}.40"
        path = Path(directory) / "settings.conf"
        path.write_text(
            boot_text(
                "edge-noord-a-40",
                self.ip,
                "noord-a",
                self.store.address,
                memory_mb=self.memory_mb,
                max_fds=self.max_fds,
            )
        )
        self.program = Program("edge-noord-a-40", self.ip, path, Path(directory) / "program.log")
        self.program.start()
        self.addCleanup(self._end_program)
        self.most_memory_mb = 0.0
        self.most_descriptors = 0
        watching = asyncio.create_task(self._watch())
        self.addCleanup(watching.cancel)
        self._ids = itertools.count(1)
        await self._wait_ready()

    def _end_program(self) -> None:
        self.program.process.kill()
        self.program.process.wait()

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(START_S):
            while (await self.ask("/readyz", port=READY)).status != 200:
                await asyncio.sleep(0.05)

    async def _watch(self) -> None:
        while self.program.is_running:
            with suppress(OSError, ValueError):
                self.most_memory_mb = max(self.most_memory_mb, self.program.read_memory_mb())
                self.most_descriptors = max(self.most_descriptors, self.program.count_descriptors())
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def ask(
        self,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        port: int = FRONT,
        deadline_ms: int = DEADLINE_MS,
    ) -> Reply:
        """One ordinary request; status 0 if it is not answered."""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                caller = await Caller.connect(f"{self.ip}:{port}")
                caller.send(
                    target, f"a{next(self._ids)}", method, body=body, deadline_ms=deadline_ms
                )
                reply = await caller.read()
                caller.close()
                return reply
        except (OSError, TimeoutError):
            return Reply(0, {}, b"")

    async def crowd(
        self, size: int, parts: Iterable[bytes], port: int = FRONT, reads: bool = False
    ) -> None:
        """Many callers send the parts and stay open until the crowd ends."""
        begun = asyncio.Semaphore(CONNECTS_AT_A_TIME)
        tasks = [
            asyncio.create_task(_flood(self.ip, port, parts, reads, begun)) for _ in range(size)
        ]
        await asyncio.sleep(CROWD_S)
        for task in tasks:
            task.cancel()
        ends = await asyncio.gather(*tasks, return_exceptions=True)
        faults = [end for end in ends if end and not isinstance(end, asyncio.CancelledError)]
        self.assertEqual([], faults)

    async def check_after(self) -> None:
        """What has to hold whatever a crowd did."""
        reply = await self.ask("/lookup/1")
        for _ in range(MAX_RETURNS):
            if reply.status != 503:
                break
            await asyncio.sleep(float(reply.headers["retry-after"]))
            reply = await self.ask("/lookup/1")
        self.assertTrue(self.program.is_running, "the process has ended")
        self.check_bounds()
        self.assertEqual(200, reply.status, f"an ordinary request after the crowd: {reply.body}")

    def check_bounds(self) -> None:
        """Memory and descriptors stay within those of the machine."""
        self.assertLess(self.most_memory_mb, self.memory_mb, "memory in MB")
        self.assertLess(self.most_descriptors, self.max_fds, "descriptors")


class Endless:
    """A start, and the same part after it without end."""

    def __init__(self, start: bytes, part: bytes) -> None:
        self.start = start
        self.part = part

    def __iter__(self) -> Iterator[bytes]:
        yield self.start
        while True:
            yield self.part


async def _flood(
    ip: str, port: int, parts: Iterable[bytes], reads: bool, begun: asyncio.Semaphore
) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        reading: asyncio.Task | None = None
        try:
            async with begun:
                await loop.sock_connect(sock, (ip, port))
            if reads:
                reading = asyncio.create_task(_read_all(sock))
            for part in parts:
                await loop.sock_sendall(sock, part)
                await asyncio.sleep(0)
            await asyncio.Event().wait()
        except OSError:
            # The instance closed the connection, as it may.
            return
        finally:
            if reading:
                reading.cancel()


async def _read_all(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with suppress(OSError):
        while await loop.sock_recv(sock, 65_536):
            pass
