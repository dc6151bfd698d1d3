"""Peers that send bytes without end, until the instance closes the connection."""

import asyncio
import time
from contextlib import suppress

from papayalever.entry.framing import (
    CHUNK_FRAMING_RATIO,
    MAX_FRAMING_BYTES,
    FramingMeter,
)
from papayalever.entry.memory import SMALL_BODY_BYTES, MessageMemory

from .support.platform import Caller, Seen, configuration, sealed
from .test_entry import PlatformCase

PART = b"x" * 16_384
SERVERS = 20
SENT_AHEAD_BYTES = 10 * 1024 * 1024
"""What the kernel's buffers of a loopback connection hold at most: 4 MB to send, 6 MB received."""
TURNS = 30
SERVED_S = 2.0
CALLERS_MEMORY_BYTES = 222 * 1024 * 1024
"""Memory of the instance in the settings of the stand-in."""


class Endless:
    """Behaviour of a server that sends a start and then the same part until it is cut off."""

    def __init__(self, start: bytes, part: bytes) -> None:
        self.start = start
        self.part = part
        self.sent_bytes = 0
        self.is_cut_off = asyncio.Event()

    async def __call__(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            writer.write(self.start.replace(b"%ID", seen.id.encode()))
            while not writer.transport.is_closing():
                writer.write(self.part)
                self.sent_bytes += len(self.part)
                await writer.drain()
        self.is_cut_off.set()


HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %ID\r\nResponse-Seal: s\r\n"
HEAD_KINDS = {
    "header lines": (HEAD, b"X-More: and more\r\n" * 900),
    "one header line": (HEAD + b"X-More: ", PART),
    "reason phrase": (b"HTTP/1.1 200 ", PART),
    "bytes that are no answer": (b"", PART),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 400),
    "chunk extensions": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;a=", PART),
    "trailers": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-More: more\r\n" * 900),
    "answers of other requests": (
        b"",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nContent-Length: 1\r\n\r\nx"
        * 200,
    ),
}
BODY_KINDS = {
    "body without length": (HEAD + b"\r\n", PART),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"4000\r\n" + PART + b"\r\n"),
}


class TestEndlessHead(PlatformCase):
    async def test_connection_is_closed_before_much_is_held(self):
        for name, (start, part) in HEAD_KINDS.items():
            with self.subTest(name):
                endless = Endless(start, part)
                server = await self.platform.add_server(behave=endless)
                instance = await self.platform.ready_instance()
                began = time.monotonic()
                reply = await self.platform.ask(instance, "/signoff/1", method="POST", body=b"x")
                self.assertEqual(502, reply.status)
                self.assertLess(time.monotonic() - began, SERVED_S)
                await asyncio.wait_for(endless.is_cut_off.wait(), SERVED_S)
                self.assertLess(endless.sent_bytes, MAX_FRAMING_BYTES + SENT_AHEAD_BYTES)
                self.assertEqual(0, instance.shared.memory.used)
                await server.stop()
                self.platform.store.drop("servers", server.id)
                await self.platform.kill(instance.settings.instance)

    async def test_request_that_may_be_repeated_goes_on_to_another_server(self):
        for _ in range(2):
            await self.platform.add_server(behave=Endless(*HEAD_KINDS["header lines"]))
        for _ in range(2):
            await self.platform.add_server()
        self.platform.store.put("config", "main", configuration(4, lookup={"attempts": 3}))
        instance = await self.platform.ready_instance()
        replies = [
            await self.platform.ask(instance, f"/lookup/{number}", key=f"k{number}")
            for number in range(8)
        ]
        self.assertEqual({200}, {reply.status for reply in replies})


class TestEndlessBody(PlatformCase):
    async def test_many_endless_bodies_leave_memory_for_other_requests(self):
        endless = [Endless(*BODY_KINDS[name]) for name in BODY_KINDS for _ in range(SERVERS // 2)]
        for behave in endless:
            await self.platform.add_server(service="slow", behave=behave)
        await self.platform.add_server(behave=None)
        config = configuration(
            4, ("logboek", "slow"), scan={"service": "slow", "timeout_ms": 20_000}
        )
        self.platform.store.put("config", "main", config)
        instance = await self.platform.ready_instance()
        most = 0

        async def watch() -> None:
            nonlocal most
            while True:
                most = max(most, instance.shared.memory.used)
                await asyncio.sleep(0.005)

        watching = asyncio.create_task(watch())
        asks = [
            asyncio.create_task(
                self.platform.ask(
                    instance, "/scan/x", method="POST", body=b"x", key=f"{number}",
                    deadline_ms=20_000,
                )
            )
            for number in range(SERVERS)
        ]  # fmt: skip
        for number in range(10):
            reply = await self.platform.ask(instance, f"/lookup/{number}", key=f"{number}")
            self.assertEqual(200, reply.status)
        replies = await asyncio.gather(*asks)
        watching.cancel()
        self.assertLessEqual({reply.status for reply in replies}, {502, 503})
        self.assertIn(502, {reply.status for reply in replies})
        self.assertLess(most, CALLERS_MEMORY_BYTES / 3)
        self.assertEqual(0, instance.shared.memory.used)


class TestCallers(PlatformCase):
    async def test_chunk_extensions_and_trailers_without_end_are_rejected(self):
        instance = await self.platform.ready_instance()
        head = (
            b"POST /scan/1 HTTP/1.1\r\nHost: papaya.example\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for start, part in ((b"5;a=", PART), (b"0\r\n", b"X-More: more\r\n" * 900)):
            caller = await Caller.connect(instance.settings.caller_listener)
            caller.writer.write(head + start)
            sent = 0
            with suppress(ConnectionError):
                while not caller.writer.transport.is_closing() and sent < 4 * SENT_AHEAD_BYTES:
                    caller.writer.write(part)
                    sent += len(part)
                    await caller.writer.drain()
                    await asyncio.sleep(0)
            self.assertLess(sent, MAX_FRAMING_BYTES + SENT_AHEAD_BYTES)
            caller.close()
        self.assertEqual(0, instance.shared.memory.used)

    async def test_responses_that_callers_do_not_read_count_as_memory(self):
        body = b"r" * 400_000

        async def answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, body))

        await self.platform.add_server(behave=answer, slots=200)
        instance = await self.platform.ready_instance()
        callers = [await Caller.connect(instance.settings.caller_listener) for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.writer.transport.pause_reading()
            for turn in range(TURNS):
                caller.send("/recording/1", f"r{number}-{turn}")
        await self.platform.wait(
            lambda: instance.shared.memory.used > len(body), "unread responses are counted"
        )
        for caller in callers:
            caller.writer.transport.abort()
        await self.platform.wait(
            lambda: instance.shared.memory.used == 0, "nothing is counted any longer"
        )


class TestFramingMeter(PlatformCase):
    def test_chunks_of_one_byte_are_within_the_limit(self):
        meter = FramingMeter()
        for _ in range(100_000):
            meter.note_received(6)
            meter.note_body(1)
        self.assertFalse(meter.is_exceeded)
        meter.note_received(MAX_FRAMING_BYTES + CHUNK_FRAMING_RATIO * 100_000)
        self.assertTrue(meter.is_exceeded)

    def test_large_body_leaves_half_of_the_free_memory(self):
        memory = MessageMemory(limit=4 * SMALL_BODY_BYTES, used=2 * SMALL_BODY_BYTES)
        self.assertTrue(memory.may_grow(2 * SMALL_BODY_BYTES))
        self.assertFalse(memory.may_grow(2 * SMALL_BODY_BYTES + 1))
        memory.used = memory.limit
        self.assertTrue(memory.may_grow(SMALL_BODY_BYTES))
        memory.used = memory.limit + 1
        self.assertFalse(memory.may_grow(1))
