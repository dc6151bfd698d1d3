"""Urgent requests behind delay-tolerant ones on one connection, when servers are full."""

import asyncio
import time
import unittest

from papayalever.routing.pipelining import Turn, find_blocking

from .support.platform import Caller, Seen, configuration, sealed
from .test_entry import PlatformCase

URGENT_S = 0.5
TOLERANT_S = 4.0
CONFIG = {
    "lookup": {"target_latency_ms": URGENT_S * 1000, "timeout_ms": 3000},
    "scan": {"type": "safe", "service": "archive", "priority": 2, "timeout_ms": 8000,
             "target_latency_ms": TOLERANT_S * 1000},
}  # fmt: skip


def waiting(target_s: float) -> Turn:
    return Turn(target_s, lambda: None)


class TestFindBlocking(unittest.TestCase):
    def test_waiting_tolerant_requests_give_way_to_an_urgent_one(self):
        first, second = waiting(TOLERANT_S), waiting(TOLERANT_S)
        self.assertEqual([first, second], find_blocking([first, second], URGENT_S))

    def test_nothing_gives_way_behind_one_that_runs(self):
        ahead = [Turn(TOLERANT_S), waiting(TOLERANT_S)]
        self.assertEqual([], find_blocking(ahead, URGENT_S))

    def test_urgent_requests_ahead_do_not_matter(self):
        tolerant = waiting(TOLERANT_S)
        self.assertEqual([tolerant], find_blocking([Turn(URGENT_S), tolerant], URGENT_S))

    def test_nothing_gives_way_to_its_equals(self):
        self.assertEqual([], find_blocking([waiting(TOLERANT_S)], TOLERANT_S))
        self.assertEqual([], find_blocking([waiting(URGENT_S)], 0.8 * URGENT_S))


class TestPipelinedBurst(PlatformCase):
    async def start(self, busy_permits: int = 4):
        """An archive server with permits taken for seconds (it has 4), and one for lookups."""

        async def run_long(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(2.0)
            writer.write(sealed(seen, seen.id.encode()))

        self.archive = await self.platform.add_server(service="archive", behave=run_long)
        await self.platform.add_server()
        services = ("logboek", "archive")
        self.platform.store.put("config", "main", configuration(4, services, **CONFIG))
        instance = await self.platform.ready_instance()
        self.busy = await Caller.connect(instance.settings.caller_listener)
        for number in range(busy_permits):
            self.busy.send("/scan/1", f"busy{number}", key="k", deadline_ms=9000)
        await self.platform.wait(
            lambda: len(self.archive.seen) == busy_permits, "its slots are taken"
        )
        return instance

    async def test_waiting_request_is_refused_as_not_run_and_the_urgent_one_is_in_time(self):
        instance = await self.start()
        caller = await Caller.connect(instance.settings.caller_listener)
        caller.send("/scan/1", "head", key="k", deadline_ms=9000)
        await asyncio.sleep(0.2)
        began = time.monotonic()
        caller.send("/lookup/1", "urgent", key="o")
        head, urgent = await caller.read(), await caller.read()
        self.assertLess(time.monotonic() - began, URGENT_S)
        self.assertEqual((503, 200), (head.status, urgent.status))
        self.assertGreater(float(head.headers["retry-after"]), 0)
        await asyncio.sleep(4.5)
        self.assertNotIn("head", [seen.id for seen in self.archive.seen])

    async def test_request_that_runs_keeps_its_turn(self):
        instance = await self.start(busy_permits=2)
        caller = await Caller.connect(instance.settings.caller_listener)
        caller.send("/scan/1", "head", key="k", deadline_ms=9000)
        await self.platform.wait(
            lambda: "head" in [seen.id for seen in self.archive.seen], "it runs"
        )
        caller.send("/lookup/1", "urgent", key="o")
        head, urgent = await caller.read(), await caller.read()
        self.assertEqual((200, 200), (head.status, urgent.status))

    async def test_waiting_request_alone_on_its_connection_is_served(self):
        instance = await self.start()
        reply = await self.platform.ask(instance, "/scan/1", key="k", deadline_ms=9000)
        self.assertEqual(200, reply.status)
