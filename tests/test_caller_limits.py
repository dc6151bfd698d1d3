"""What callers make an instance hold: limits, the ends at which it is given back, refusals."""

import asyncio
import time
import unittest
from contextlib import suppress
from dataclasses import dataclass, field
from unittest.mock import patch

from papayalever.entry.bodies import PIECE_BYTES, SMALL_PART_BYTES, Body
from papayalever.entry.callers import (
    FILE_DESCRIPTORS,
    LISTENER_SHARES,
    CallerConnections,
    count_places,
)
from papayalever.entry.header_block import pack_headers, unpack_headers
from papayalever.entry.memory import (
    LARGE_REQUEST_SHARE,
    MIN_MESSAGE_MB,
    REQUEST_SHARE,
    SMALL_BODY_BYTES,
    TRIM_BYTES,
    HeapTrimmer,
    MessageMemory,
    adapt_limit,
    compute_limit,
)
from papayalever.entry.turns import (
    EXPENSIVE_S,
    MAX_PAUSE_S,
    SMALL_READ_BYTES,
    TINY_READ_BYTES,
    TURN_S,
    WINDOW_S,
    ReadCosts,
    ReadTurns,
)

from .support.crowd import CrowdCase
from .support.platform import Caller, Reply, Seen, configuration, sealed
from .test_entry import PlatformCase

MB = 1024 * 1024
LARGE = 2 * SMALL_BODY_BYTES


class TestMessageMemory(unittest.TestCase):
    def test_callers_who_hold_much_leave_room_for_others(self):
        memory = MessageMemory(limit=100 * MB, used=int(100 * MB * LARGE_REQUEST_SHARE))
        self.assertFalse(memory.take(1, LARGE))
        self.assertTrue(memory.take(1, SMALL_BODY_BYTES))
        memory.used = int(100 * MB * REQUEST_SHARE)
        self.assertFalse(memory.take(1, 1))
        self.assertTrue(memory.may_grow(SMALL_BODY_BYTES))

    def test_stalled_callers_are_closed_first(self):
        memory = MessageMemory(limit=10 * MB, used=10 * MB)

        def close_stalled(size: int) -> None:
            memory.used -= 5 * MB

        memory.make_room = close_stalled
        self.assertTrue(memory.take(1, LARGE))

    def test_responses_leave_room_for_requests(self):
        memory = MessageMemory(limit=100 * MB, response_share=0.5)
        memory.hold_response(50 * MB)
        self.assertFalse(memory.may_grow(LARGE))
        self.assertTrue(memory.take(10 * MB, 10 * MB))
        memory.hold_response(-50 * MB)
        self.assertEqual(10 * MB, memory.used)

    def test_limit_follows_the_machine_and_the_process(self):
        self.assertLess(compute_limit(222), 222 * MB)
        self.assertEqual(int(MIN_MESSAGE_MB * MB), compute_limit(22))
        self.assertEqual(compute_limit(222), adapt_limit(222, 40 * MB, 0))
        self.assertLess(adapt_limit(222, 150 * MB, 0), compute_limit(222) // 2)
        # What messages hold themselves does not lower their limit.
        self.assertEqual(compute_limit(222), adapt_limit(222, 150 * MB, 110 * MB))

    def test_heap_is_trimmed_once_much_was_given_back(self):
        trimmer = HeapTrimmer()
        self.assertFalse(trimmer.must_trim(2 * TRIM_BYTES))
        self.assertFalse(trimmer.must_trim(TRIM_BYTES + 1))
        self.assertTrue(trimmer.must_trim(0))
        self.assertFalse(trimmer.must_trim(0))


class TestBody(unittest.TestCase):
    def test_small_parts_are_joined_and_large_ones_kept(self):
        body = Body()
        for _ in range(PIECE_BYTES):
            body.append(b"x")
        body.append(b"y" * SMALL_PART_BYTES)
        self.assertEqual(2, len(list(body.pieces())))
        self.assertEqual(b"x" * PIECE_BYTES + b"y" * SMALL_PART_BYTES, body.join())
        self.assertEqual(PIECE_BYTES + SMALL_PART_BYTES, len(body))
        body.clear()
        self.assertEqual((0, b""), (len(body), body.join()))

    def test_headers_survive_as_a_block(self):
        headers = [(b"a", b""), (b"b", b" x: y "), (b"a", b"c:d")]
        self.assertEqual(headers, unpack_headers(pack_headers(headers)))
        self.assertEqual([], unpack_headers(b""))


class TestReadTurns(unittest.TestCase):
    def test_reads_become_small_in_a_turn_that_takes_long(self):
        turns = ReadTurns()
        self.assertGreater(len(turns.choose_buffer(False)), SMALL_READ_BYTES)
        self.assertTrue(turns.note_cost(TURN_S))
        self.assertFalse(turns.note_cost(TURN_S))
        self.assertEqual(SMALL_READ_BYTES, len(turns.choose_buffer(False)))
        self.assertEqual(TINY_READ_BYTES, len(turns.choose_buffer(True)))
        turns.start_turn()
        self.assertGreater(len(turns.choose_buffer(True)), SMALL_READ_BYTES)

    def test_expensive_input_pauses_the_longer_the_more_do(self):
        self.assertEqual(0.0, ReadCosts().compute_pause(EXPENSIVE_S / 2, 100, 1.0))
        alone = ReadCosts().compute_pause(EXPENSIVE_S, 0, 1.0)
        self.assertGreater(alone, EXPENSIVE_S)
        self.assertAlmostEqual(10 * alone, ReadCosts().compute_pause(EXPENSIVE_S, 9, 1.0))
        self.assertEqual(MAX_PAUSE_S, ReadCosts().compute_pause(9.0, 10_000, 1.0))

    def test_many_reads_in_a_short_time_add_up(self):
        costs = ReadCosts()
        self.assertEqual(0.0, costs.compute_pause(EXPENSIVE_S / 2, 0, 1.0))
        self.assertGreater(costs.compute_pause(EXPENSIVE_S / 2, 0, 1.0 + WINDOW_S / 2), 0.0)
        self.assertEqual(0.0, costs.compute_pause(EXPENSIVE_S / 2, 0, 2.0))
        self.assertEqual(0.0, costs.compute_pause(EXPENSIVE_S / 2, 0, 3.0))


@dataclass(eq=False)
class FakeConnection:
    listener: str = "callers"
    opened_at: float = 0.0
    has_sent: bool = True
    is_lingering: bool = False
    idle_s: float = 0.0
    stall_s: float = 0.0
    held_bytes: int = 0
    ends: list[str] = field(default_factory=list)

    def compute_idle_s(self, _now: float) -> float:
        return self.idle_s

    def compute_stall_s(self, _now: float) -> float:
        return self.stall_s

    def abort(self) -> None:
        self.ends.append("aborted")

    def shed(self) -> None:
        self.ends.append("shed")


class TestCallerConnections(unittest.TestCase):
    def build(self, most: int) -> CallerConnections:
        self.refused: list[str] = []
        return CallerConnections({"callers": most}, lambda: 15.0, self.refused.append)

    def at(self, seconds: float) -> object:
        return patch("papayalever.entry.callers.now", lambda: seconds)

    def test_newest_is_refused_while_all_are_in_use(self):
        connections = self.build(2)
        with self.at(10.0):
            used = [FakeConnection() for _ in range(3)]
            self.assertEqual([True, True, False], [connections.admit(item) for item in used])
            self.assertTrue(connections.is_full("callers", 10.5))
            self.assertFalse(connections.is_full("callers", 12.0))
        self.assertEqual(1, len(self.refused))

    def test_connections_that_are_not_in_use_give_way(self):
        cases = (
            (FakeConnection(has_sent=False, opened_at=8.0), True),
            (FakeConnection(has_sent=False, opened_at=9.5), False),
            (FakeConnection(is_lingering=True), True),
            (FakeConnection(idle_s=14.0), True),
            (FakeConnection(idle_s=1.0), False),
        )
        for held, gives_way in cases:
            with self.subTest(held), self.at(10.0):
                connections = self.build(1)
                self.assertTrue(connections.admit(held))
                self.assertEqual(gives_way, connections.admit(FakeConnection()))
                self.assertEqual(["aborted"] if gives_way else [], held.ends)

    def test_callers_idle_for_less_give_way_only_if_no_other_does(self):
        connections = self.build(2)
        kept, silent = FakeConnection(idle_s=12.0), FakeConnection(has_sent=False)
        with self.at(10.0):
            for item in (kept, silent, FakeConnection()):
                self.assertTrue(connections.admit(item))
            self.assertEqual(([], ["aborted"]), (kept.ends, silent.ends))
            self.assertTrue(connections.admit(FakeConnection()))
        self.assertEqual(["aborted"], kept.ends)

    def test_stalled_callers_who_hold_most_are_closed(self):
        connections = self.build(9)
        large = FakeConnection(stall_s=5.0, held_bytes=5 * MB)
        small = FakeConnection(stall_s=5.0, held_bytes=1 * MB)
        active = FakeConnection(held_bytes=9 * MB)
        with self.at(10.0):
            for item in (small, large, active):
                connections.admit(item)
            connections.make_room(2 * MB)
        self.assertEqual(([], ["shed"], []), (small.ends, large.ends, active.ends))

    def test_places_leave_descriptors_for_all_else(self):
        for max_fds in (2870, 600):
            places = count_places(max_fds)
            self.assertEqual(set(LISTENER_SHARES), set(places))
            self.assertLess(sum(places.values()), 0.8 * (max_fds - FILE_DESCRIPTORS))
        self.assertGreater(min(count_places(0).values()), 0)


class TestMemoryIsGivenBack(PlatformCase):
    """At every end of a request nothing is counted any longer."""

    HEAD = b"POST /scan/1 HTTP/1.1\r\nHost: papaya.example\r\nAttempt-Id: m1\r\n"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.server = await self.platform.add_server()
        self.instance = await self.platform.ready_instance()

    async def send(self, data: bytes) -> Caller:
        caller = await Caller.connect(self.instance.settings.caller_listener)
        caller.writer.write(data)
        return caller

    async def check_none_held(self) -> None:
        await self.platform.wait(lambda: self.instance.shared.memory.used == 0, "nothing is held")

    async def check_held(self) -> None:
        await self.platform.wait(lambda: self.instance.shared.memory.used > 0, "something is held")

    async def test_answers_and_refusals(self):
        for target, status in (("/scan/1", 200), ("/none", 404)):
            reply = await self.platform.ask(
                self.instance, target, method="POST", body=b"x" * 90_000
            )
            self.assertEqual(status, reply.status)
            await self.check_none_held()
        reply = await self.platform.ask(
            self.instance, "/scan/1", method="POST", body=b"x" * 200_000
        )
        self.assertEqual(413, reply.status)
        await self.check_none_held()

    async def test_caller_who_leaves_at_any_time(self):
        self.server.run_s = 5.0
        whole = self.HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * 9000
        for data in (whole[:60], whole[:5000], whole, whole + whole[:5000]):
            caller = await self.send(data)
            await self.check_held()
            caller.writer.transport.abort()
            await self.check_none_held()

    async def test_time_outs_of_head_and_body(self):
        for data in (self.HEAD, self.HEAD + b"Content-Length: 9\r\n\r\nx"):
            caller = await self.send(data)
            await self.check_held()
            self.assertEqual(408, (await caller.read()).status)
            await self.check_none_held()

    async def test_body_that_drips_ends_with_the_deadline(self):
        head = self.HEAD + b"Deadline-Ms: 700\r\nContent-Length: 100\r\n\r\n"
        caller = await self.send(head)

        async def drip() -> None:
            with suppress(ConnectionError):
                for _ in range(90):
                    caller.writer.write(b"x")
                    await asyncio.sleep(0.1)

        dripping = asyncio.create_task(drip())
        reply = await caller.read()
        dripping.cancel()
        self.assertEqual(408, reply.status)
        self.assertEqual([], self.server.seen)
        await self.check_none_held()

    async def test_planned_stop(self):
        self.server.run_s = 0.5
        caller = await self.send(self.HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * 9000)
        await self.platform.wait(lambda: bool(self.server.seen), "it runs")
        self.instance.request_stop()
        self.assertEqual(200, (await caller.read()).status)
        await self.check_none_held()

    async def test_answers_that_are_not_read(self):
        async def answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, b"r" * 12_000_000))

        self.server.behave = answer
        config = configuration(5, limits={"idle_timeout_ms": 600})
        self.platform.store.put("config", "main", config)
        await self.platform.wait(lambda: self.instance.shared.routes.version == 5, "in force")
        caller = await self.send(b"")
        caller.writer.transport.pause_reading()
        caller.send("/recording/1", "m2")
        await self.check_held()
        # The instance closes the connection itself.
        await self.check_none_held()
        caller.writer.transport.abort()

    async def test_lingering_caller_is_cut_off_at_last(self):
        caller = await self.send(self.HEAD + b"Content-Length: 200000\r\n\r\n")
        self.assertEqual(413, (await caller.read()).status)
        began, sent = time.monotonic(), 0
        with suppress(ConnectionError):
            while time.monotonic() - began < 30:
                caller.writer.write(b"x" * 10_000)
                sent += 10_000
                await caller.writer.drain()
                await asyncio.sleep(0.01)
        self.assertLess(time.monotonic() - began, 30)
        await self.check_none_held()


class TestRefusedInput(CrowdCase):
    """A body that finds no memory is refused, and its caller gets the refusal."""

    limits = CrowdCase.limits | {"max_body_bytes": 67_108_864}

    def check_refused(self, reply: Reply) -> None:
        self.assertEqual(503, reply.status)
        self.assertIn(b"not run", reply.body)
        self.assertGreater(float(reply.headers["retry-after"]), 0.0)
        self.assertEqual("close", reply.headers["connection"])

    async def test_caller_who_writes_all_of_it_first_gets_the_refusal(self):
        for _ in range(3):
            self.check_refused(await self.ask("/scan/1", "POST", b"x" * 60_000_000))
        self.assertEqual([], [seen for item in self.servers for seen in item.seen])
        await self.check_after()

    async def test_chunked_body_is_dropped_as_it_arrives(self):
        caller = await Caller.connect(f"{self.ip}:8144")
        caller.writer.write(
            b"POST /scan/1 HTTP/1.1\r\nHost: papaya.example\r\nAttempt-Id: r1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(60):
            caller.writer.write(b"f4240\r\n" + b"x" * 1_000_000 + b"\r\n")
            await caller.writer.drain()
        caller.writer.write(b"0\r\n\r\n")
        self.check_refused(await caller.read())
        caller.close()
        await self.check_after()

    async def test_answers_before_a_refusal_keep_their_order(self):
        caller = await Caller.connect(f"{self.ip}:8144")
        for number in range(3):
            caller.send("/lookup/1", f"o{number}")
        caller.send("/scan/1", "o3", "POST", body=b"x" * 30_000_000)
        replies = [await caller.read() for _ in range(4)]
        self.assertEqual([200, 200, 200], [reply.status for reply in replies[:3]])
        self.assertEqual(
            ["s.o0", "s.o1", "s.o2"], [reply.headers["response-seal"] for reply in replies[:3]]
        )
        self.check_refused(replies[3])
        caller.close()
        await self.check_after()
