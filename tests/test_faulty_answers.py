"""Servers whose answers do not end, seen from outside the process: its memory, and other requests.

Guards against a process that keeps all that a faulty server sends, or that parses nothing else.
"""

import asyncio
import time
from contextlib import suppress

from papayalever.entry.framing import MAX_FRAMING_BYTES

from .support.crowd import CrowdCase
from .support.platform import FakeServer, Seen, configuration
from .test_endless_bytes import HEAD, Endless

FAULTY_SERVERS = 8
CALLERS_A_SERVER = 30
ORDINARY = 12
ANSWERED_S = 3.0
DEADLINE_MS = 8_000
SHORT_LINES = b"a:b\r\n" * 2_000
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 10_000
HELD_HEAD = HEAD + b"a:b\r\n" * ((MAX_FRAMING_BYTES - 1_000) // 5)
"""As much of a head as is taken."""


class HeldBack:
    """Behaviour of a server that sends the start of an answer and keeps the rest."""

    def __init__(self, start: bytes) -> None:
        self.start = start

    async def __call__(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(self.start.replace(b"%ID", seen.id.encode()))
        with suppress(ConnectionError):
            await writer.drain()
            await writer.wait_closed()


class TestFaultyAnswers(CrowdCase):
    async def add_faulty_servers(self, behave) -> None:
        """Servers of another service, which requests to `/scan/` reach."""
        net = self.ip.rsplit(".", 1)[0]
        for number in range(FAULTY_SERVERS):
            server = FakeServer(
                f"i-faulty-{number}",
                f"{net}.{60 + number}:8080",
                "noord-a",
                service="faulty",
                slots=CALLERS_A_SERVER,
                behave=behave,
            )
            await server.start()
            self.addAsyncCleanup(server.stop)
            self.store.put("servers", server.id, server.entry())
        slow = {"timeout_ms": DEADLINE_MS, "target_latency_ms": 1000}
        config = configuration(
            5, ("logboek", "faulty"), limits=self.limits, lookup=slow,
            scan=slow | {"service": "faulty"},
        )  # fmt: skip
        self.store.put("config", "main", config)
        async with asyncio.timeout(ANSWERED_S):
            while (await self.ask("/scan/0", "POST", deadline_ms=300)).status == 200:
                await asyncio.sleep(0.05)

    async def check_beside(self, behave) -> None:
        """Ordinary requests are answered in time beside many that faulty servers answer."""
        await self.add_faulty_servers(behave)
        asks = [
            asyncio.create_task(self.ask(f"/scan/{number}", "POST", deadline_ms=DEADLINE_MS))
            for number in range(FAULTY_SERVERS * CALLERS_A_SERVER)
        ]
        await asyncio.sleep(1.0)
        took: list[float] = []
        for number in range(ORDINARY):
            began = time.monotonic()
            reply = await self.ask(f"/lookup/{number}", deadline_ms=DEADLINE_MS)
            took.append(time.monotonic() - began)
            self.assertEqual(200, reply.status, took)
        replies = await asyncio.gather(*asks)
        self.assertNotIn(200, {reply.status for reply in replies}, "a fault passed on as whole")
        self.assertLess(max(took), ANSWERED_S)
        await self.check_after()

    async def test_heads_of_short_lines_without_end(self):
        await self.check_beside(Endless(HEAD, SHORT_LINES))

    async def test_heads_of_short_lines_that_are_held_back(self):
        await self.check_beside(HeldBack(HELD_HEAD))

    async def test_trailers_of_short_lines_that_are_held_back(self):
        await self.check_beside(HeldBack(CHUNKED + b"0\r\n" + HELD_HEAD[len(HEAD) + 200 :]))

    async def test_trailers_of_short_lines_without_end(self):
        await self.check_beside(Endless(CHUNKED + b"0\r\n", SHORT_LINES))

    async def test_chunks_of_one_byte_without_end(self):
        await self.check_beside(Endless(CHUNKED, TINY_CHUNKS))
