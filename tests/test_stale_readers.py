"""Instances that depend on others whose way to the store, or to them, fails silently."""

import asyncio
import time
import unittest
from collections import Counter
from random import Random

from papayalever.cluster.messages import Follow
from papayalever.entry.clock import now
from papayalever.entry.freshness import (
    SECOND_WAY_S,
    KindAnswer,
    WatchSchedule,
    compute_age_s,
    compute_freshness,
    compute_wait_s,
    schedule_alternating,
)
from papayalever.entry.held_objects import HoldPolicy
from papayalever.entry.instance import EntryInstance
from papayalever.entry.settings import Bounds
from papayalever.entry.store_cache import StoreCache
from papayalever.entry.watcher import KindWatcher, ReadResult, StoreHealth

from .soak.proxy import Fault, FaultProxy
from .support.platform import LoopLag, configuration
from .test_entry import PlatformCase

CONFIG_S = 2.0
"""The shortest bound of the deployments within which a configuration is in force everywhere."""


class SilentUpstreamCase(PlatformCase):
    async def start_region(self, store: str = "") -> tuple[EntryInstance, list[EntryInstance]]:
        """The reader of one region, its followers and, last, the reader of another region."""
        reader = await self.platform.add_instance("noord-a", store=store)
        await self.platform.wait(lambda: reader.is_ready, "the reader is ready")
        others = [
            await self.platform.ready_instance(domain)
            for domain in ("noord-a", "noord-b", "noord-b", "midden-a")
        ]
        await self.platform.wait(
            lambda: not any(item.follower.is_reading for item in others[:-1])
            and all(item.shared.instances == len(others) + 1 for item in others),
            "the others of the region follow",
        )
        return reader, others

    async def time_configuration(self, version: int, instances: list[EntryInstance]) -> float:
        """Seconds until a configuration is in force, without those the loop had no processor."""
        self.platform.store.put("config", "main", configuration(version))
        began = time.monotonic()
        async with LoopLag() as lag:
            await self.platform.wait(
                lambda: all(item.shared.routes.version == version for item in instances), "in force"
            )
        return time.monotonic() - began - lag.seconds


class TestSilentReader(SilentUpstreamCase):
    async def test_followers_of_a_silently_cut_reader_get_a_configuration_within_its_bound(self):
        proxy = FaultProxy(f"{self.platform.net}.9:8142", self.platform.store.address)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        reader, others = await self.start_region(proxy.address)
        proxy.fault = Fault.SILENCE
        for version in (8, 9):
            self.assertLess(await self.time_configuration(version, others), CONFIG_S)
        proxy.fault = Fault.NONE
        await self.platform.wait(lambda: reader.shared.routes.version == 9, "the reader is back")


class TestStoreSilentToReaders(SilentUpstreamCase):
    """Guards against an old state in force while the store is silent to those that read it."""

    async def start_regions(self) -> list[EntryInstance]:
        """Readers of two regions, then the instances that follow them."""
        instances = [
            await self.platform.ready_instance(domain)
            for domain in ("noord-a", "midden-a", "noord-a", "noord-b", "noord-b", "midden-a")
        ]
        await self.platform.wait(
            lambda: [item.follower.is_reading for item in instances] == [True] * 2 + [False] * 4
            and all(item.shared.instances == len(instances) for item in instances),
            "two read the store",
        )
        return instances

    def silence(self, instances: list[EntryInstance], kinds: tuple[str, ...] = ()) -> None:
        ips = {item.settings.ip for item in instances}
        self.platform.store.silent_for = lambda host, kind: (
            host in ips and (not kinds or kind in kinds)
        )

    def count_new_readers(self, instances: list[EntryInstance], before: Counter) -> int:
        callers = self.platform.store.callers
        return sum(callers[item.settings.ip] > before[item.settings.ip] for item in instances)

    async def test_followers_of_silent_readers_of_all_regions_get_a_configuration(self):
        instances = await self.start_regions()
        for version, silent in ((8, instances[:2]), (9, instances[:3]), (10, instances[:4])):
            self.silence(silent)
            self.assertLess(await self.time_configuration(version, instances[4:]), CONFIG_S)

    async def test_server_that_leaves_is_known_to_leave_while_the_store_is_silent(self):
        server = await self.platform.add_server()
        instances = await self.start_regions()
        self.silence(instances[:2])
        self.platform.store.drop("servers", server.id)
        for item in instances[2:]:
            await self.platform.wait(
                lambda item=item: server.id not in item.shared.servers.server_by_id,
                "the server is gone",
                CONFIG_S,
            )

    async def test_one_more_instance_of_a_region_reads_while_the_store_is_silent_to_its_reader(
        self,
    ):
        instances = await self.start_regions()
        before = self.platform.store.callers.copy()
        self.silence(instances[:2])
        for version in range(8, 14):
            await self.time_configuration(version, instances[2:])
        self.assertEqual(2, self.count_new_readers(instances[2:], before))

    async def test_reader_whose_watch_of_one_kind_is_silent_calls_again_within_the_bound(self):
        instances = await self.start_regions()
        config_watches = ("config",)
        self.silence(instances[:2], config_watches)
        self.platform.store.put("config", "main", configuration(8))
        began = time.monotonic()
        # The store answers again, but not on the connections of these watches.
        await asyncio.sleep(0.2)
        self.silence([])
        async with LoopLag() as lag:
            await self.platform.wait(
                lambda: all(item.shared.routes.version == 8 for item in instances), "in force"
            )
        self.assertLess(time.monotonic() - began - lag.seconds, CONFIG_S)

    async def test_readers_are_used_again_once_the_store_answers_them(self):
        instances = await self.start_regions()
        self.silence(instances[:2])
        await self.time_configuration(8, instances[2:])
        self.silence([])
        await self.platform.wait(
            lambda: [item.follower.is_reading for item in instances] == [True] * 2 + [False] * 4,
            "the oldest read the store",
            12.0,
        )


class TestFreshness(unittest.TestCase):
    """Guards against limits on the age of a view that leave no time for another way."""

    def test_all_ways_end_within_each_bound(self):
        for bound_s in (1.0, 2.0, 2.5, 3.0, 4.0, 9.0):
            bounds = Bounds(contact_s=bound_s + 1, drain_s=bound_s, config_s=bound_s + 0.5)
            freshness = compute_freshness(bounds, 2)
            schedules = [schedule_alternating(freshness, index, 2) for index in range(2)]
            with self.subTest(bound_s=bound_s):
                self.assertLess(max(item.longest_s for item in schedules), 0.85 * bound_s)
                if bound_s >= CONFIG_S:
                    self.assertLessEqual(freshness.silent_s + SECOND_WAY_S, bound_s)
                    self.assertLessEqual(freshness.give_up_s + SECOND_WAY_S, bound_s)

    def test_watches_of_two_kinds_end_in_turn(self):
        freshness = compute_freshness(Bounds(), 2)
        ends: list[float] = []
        for index in range(2):
            schedule, at = schedule_alternating(freshness, index, 2), 100.3
            while at < 130.0:
                at += compute_wait_s(schedule, at) + 0.01
                ends.append(at)
        ends.sort()
        gaps = [later - end for end, later in zip(ends[2:], ends[3:], strict=False)]
        self.assertLess(max(gaps), freshness.silent_s - 0.4)
        self.assertLess(len(ends), 2.2 * 30.0 / freshness.watch_s)

    def test_age_is_that_of_the_last_answer_unless_one_kind_is_overdue(self):
        for answers, expected in (
            ([KindAnswer(9.0, 2.0), KindAnswer(9.7, 2.0)], 0.3),
            ([KindAnswer(7.9, 2.0), KindAnswer(9.7, 2.0)], 2.1),
            ([KindAnswer(5.0, 20.0), KindAnswer(9.0, 2.0)], 1.0),
            ([KindAnswer(None, 2.0), KindAnswer(9.7, 2.0)], float("inf")),
        ):
            with self.subTest(answers=answers):
                self.assertAlmostEqual(expected, compute_age_s(answers, 10.0))


class TestLateAnswers(unittest.IsolatedAsyncioTestCase):
    """Guards against an answer that waited while the process was frozen and counted as new."""

    async def test_answer_counts_from_the_end_of_its_wait(self):
        store = SlowStore(0.5)
        cache = StoreCache({"config": HoldPolicy(lambda _: 1.0)}, lambda update, origin: None)
        schedule = WatchSchedule(0.2, timeout_margin_s=5.0)
        watcher = KindWatcher("config", store, cache, StoreHealth(), Random(1), schedule)
        task = asyncio.create_task(watcher.run())
        self.addCleanup(task.cancel)
        while store.answered < 3:
            await asyncio.sleep(0.01)
        self.assertGreater(now() - watcher.answer.at, 0.25)


class SlowStore:
    """Answers each watch some time after its wait."""

    def __init__(self, late_s: float) -> None:
        self.late_s = late_s
        self.answered = 0

    async def list_all(self, kind: str) -> ReadResult:
        return ReadResult([], 1)

    async def watch(self, kind: str, position: int, wait_s: float) -> ReadResult:
        await asyncio.sleep(wait_s + self.late_s)
        self.answered += 1
        return ReadResult([], 1)


class TestSilentUpstreams(SilentUpstreamCase):
    async def test_follower_of_three_silent_instances_gets_a_configuration_within_its_bound(self):
        reader, (_, head, follower, other_reader) = await self.start_region()
        polled = asyncio.Event()
        for instance in (reader, head, other_reader):
            instance._peers._handle = self.never_reply(follower, polled)
        await polled.wait()
        self.assertLess(await self.time_configuration(8, [follower]), CONFIG_S)

    def never_reply(self, follower: EntryInstance, polled: asyncio.Event):
        async def handle(message: object) -> None:
            if isinstance(message, Follow) and message.instance == follower.settings.instance:
                polled.set()
            await asyncio.sleep(30)

        return handle
