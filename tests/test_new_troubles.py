"""Troubles of larger deployments, one decision each: clocks that jump, servers that go down and up
by turns, owners that stand still."""

import asyncio
import time
from collections import Counter
from unittest.mock import patch

from papayalever.entry.clock import now
from papayalever.entry.permit_broker import REPLY_TIMEOUT_S
from papayalever.routing.servers import MAX_EJECT_S

from .support.platform import FakeServer, LoopLag, configuration
from .test_entry import PlatformCase

STEP_S = 3.0
"""The larger steps of the grown sites are 2.4 s."""
FLAP_S = 0.5
FLAPS = 6
KNOWN_S = 2.0
"""Within this time every instance knows a change: the shortest bound of the sites."""


class TestClockStep(PlatformCase):
    async def test_time_of_day_that_jumps_decides_nothing(self):
        await self.platform.add_server()
        instance = await self.platform.ready_instance()
        true_time = time.time
        for step_s in (STEP_S, -STEP_S):
            with patch("time.time", lambda step_s=step_s: true_time() + step_s):
                reply = await self.platform.ask(instance, "/lookup/1")
                self.assertEqual(200, reply.status)
                version = instance.shared.routes.version + 1
                self.platform.store.put("config", "main", configuration(version))
                await self.platform.wait(
                    lambda version=version: instance.shared.routes.version == version,
                    "the configuration is in force",
                    KNOWN_S,
                )
                self.assertTrue(instance.is_ready)


class TestFlappingServer(PlatformCase):
    async def flap(self, server: FakeServer) -> None:
        for _ in range(FLAPS):
            await server.stop()
            await asyncio.sleep(FLAP_S)
            await server.start()
            await asyncio.sleep(FLAP_S)

    async def test_requests_are_served_by_who_is_up_and_none_runs_twice(self):
        flapping = await self.platform.add_server(run_s=0.02)
        steady = await self.platform.add_server(run_s=0.02)
        instance = await self.platform.ready_instance()
        flaps = asyncio.create_task(self.flap(flapping))
        statuses: Counter[int] = Counter()
        number = 0
        while not flaps.done():
            number += 1
            reply = await self.platform.ask(
                instance, f"/signoff/{number}", id=f"s{number}", method="POST", key=f"o{number}"
            )
            statuses[reply.status] += 1
        runs = Counter(seen.id for server in (flapping, steady) for seen in server.seen)
        self.assertEqual({1}, set(runs.values()))
        # Only a request that was running when its server went down may be lost: one a flap.
        self.assertLessEqual(sum(statuses.values()) - statuses[200], FLAPS)
        before = len(flapping.seen)

        async def ask_until_it_has_work() -> None:
            number = 0
            while len(flapping.seen) == before:
                number += 1
                await self.platform.ask(instance, f"/lookup/{number}", key=f"o{number}")

        # It is up for good now: an ejection ends after 4 s at the latest.
        async with LoopLag() as lag:
            began = time.monotonic()
            await ask_until_it_has_work()
            took_s = time.monotonic() - began
        self.assertLess(took_s - lag.seconds, MAX_EJECT_S)


class TestFrozenOwner(PlatformCase):
    async def test_owner_that_stands_still_costs_one_wait(self):
        await self.platform.add_server()
        instances = [await self.platform.ready_instance() for _ in range(2)]
        await self.platform.wait(
            lambda: all(item.shared.instances == 2 for item in instances),
            "they know each other",
        )
        server = next(iter(instances[0].shared.servers.server_by_id.values()))
        owner_name = instances[0].permit_broker._owners.find(server.entry, now()).name
        frozen, other = sorted(instances, key=lambda item: item.settings.instance != owner_name)

        async def stand_still(_: object) -> None:
            await asyncio.sleep(30)

        frozen._peers._handle = stand_still
        began = time.monotonic()
        async with LoopLag() as lag:
            for number in range(5):
                reply = await self.platform.ask(other, "/lookup/1", key=f"{number}")
                self.assertEqual(200, reply.status)
        self.assertLess(time.monotonic() - began - lag.seconds, 2 * REPLY_TIMEOUT_S)
