"""A store that restores a copy: it loses its latest changes and gives their revisions out again."""

import asyncio
import time
import unittest
from random import Random

from papayalever.cluster.codec import unpack_changes
from papayalever.cluster.messages import ACCEPTS_PACKED, KindUpdate, PackedSnapshot
from papayalever.entry.instance import EntryInstance
from papayalever.entry.store_cache import StoreCache
from papayalever.entry.store_position import MAX_REVISION, era_of, make_position, revision_of
from papayalever.entry.watcher import KindWatcher, ReadResult, StoreHealth

from .support.platform import LoopLag, configuration
from .test_entry import PlatformCase

CONFIG_S = 2.0
"""The shortest bound of the deployments within which a configuration is in force everywhere."""


class RestoredCase(PlatformCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = self.platform.store
        self.store.era = "1"

    async def start(self, *domains: str) -> list[EntryInstance]:
        instances = [await self.platform.ready_instance(domain) for domain in domains]
        await self.platform.wait(
            lambda: all(item.shared.instances == len(instances) for item in instances),
            "they know each other",
        )
        await self.platform.wait(
            lambda: sum(item.follower.is_reading for item in instances)
            == len({item.settings.region for item in instances}),
            "one of each region reads the store",
        )
        return instances

    def put_config(self, version: int) -> None:
        self.store.put("config", "main", configuration(version))

    async def time_until(self, condition, what: str) -> float:
        """Seconds until a condition holds, without those the loop had no processor."""
        began = time.monotonic()
        async with LoopLag() as lag:
            await self.platform.wait(condition, what)
        return time.monotonic() - began - lag.seconds

    async def time_config(self, version: int, instances: list[EntryInstance]) -> float:
        return await self.time_until(
            lambda: all(item.shared.routes.version == version for item in instances),
            f"version {version} is in force",
        )


class TestOrder(RestoredCase):
    async def test_configuration_written_after_a_restore_is_in_force_within_its_bound(self):
        instances = await self.start("noord-a", "noord-b", "midden-a")
        copy = self.store.copy()
        for number in range(20):
            self.store.put("evacuations", "midden-a", {"number": number})
        self.put_config(8)
        await self.time_config(8, instances)
        self.store.restore(copy)
        for version in (8, 9, 10):
            self.put_config(version)
            self.assertLess(await self.time_config(version, instances), CONFIG_S)

    async def test_revisions_that_are_given_out_again_at_once_leave_no_lost_change(self):
        instances = await self.start("noord-a", "noord-b", "midden-a")
        copy = self.store.copy()
        for number in range(5):
            self.store.put("servers", f"i-lost-{number}", self.entry(number))
        await self.wait_servers(instances)
        self.store.restore(copy)
        # As many changes as were lost: a watch from the lost revision finds its history.
        for number in range(8):
            self.store.put("servers", f"i-new-{number}", self.entry(number + 10))
        await self.wait_servers(instances)

    async def test_two_restores_and_an_instance_that_starts_beside_them(self):
        instances = await self.start("noord-a", "midden-a")
        copy = self.store.copy()
        for version in (8, 9):
            self.put_config(version)
            await self.time_config(version, instances)
            self.store.restore(copy)
            self.put_config(version)
            seed = instances[0].settings.peer_listener
            instances.append(await self.platform.add_instance("noord-b", seed))
        self.put_config(10)
        self.assertLess(await self.time_config(10, instances), 2 * CONFIG_S)

    async def test_restore_costs_about_one_list_of_each_kind_for_each_reader(self):
        instances = await self.start("noord-a", "noord-a", "noord-b", "midden-a")
        copy = self.store.copy()
        self.put_config(8)
        await self.time_config(8, instances)
        before = self.store.calls.total()
        await asyncio.sleep(3.0)
        undisturbed = self.store.calls.total() - before
        self.store.restore(copy)
        before = self.store.calls.total()
        await asyncio.sleep(3.0)
        kinds, readers = 5, 2
        # A cut watch, a list and the watch after it for each kind.
        self.assertLessEqual(self.store.calls.total() - before, undisturbed + 3 * kinds * readers)

    async def test_era_that_is_missing_malformed_or_lower_changes_nothing(self):
        (instance,) = await self.start("noord-a")
        copy = self.store.copy()
        self.put_config(8)
        await self.time_config(8, [instance])
        self.store.era = "7"
        self.store.restore(copy)
        self.put_config(9)
        await self.time_config(9, [instance])
        for era in ("", "7", "nan", "-9", "9" * 400):
            with self.subTest(era=era[:10]):
                self.store.era = era
                self.store._reset_watches()
                before = self.store.calls.total()
                self.put_config(5)
                await asyncio.sleep(1.0)
                self.assertEqual(9, instance.shared.routes.version)
                self.assertTrue(instance.is_ready)
                # The failed calls of one watcher at a time, with pauses of up to 0.4 s.
                self.assertLessEqual(self.store.calls.total() - before, 15)
        self.store.era = "8"
        self.put_config(10)
        await self.time_config(10, [instance])

    async def test_store_that_forgets_its_history_is_not_called_without_a_pause(self):
        await self.start("noord-a")
        self.store.forgets = True
        self.store._reset_watches()
        before = self.store.calls.total()
        await asyncio.sleep(2.0)
        kinds, pause_s = 5, 0.4
        self.assertLessEqual(self.store.calls.total() - before, 2 * kinds * (2.0 / pause_s + 2))

    def entry(self, number: int) -> dict:
        return {
            "service": "logboek",
            "address": f"10.0.0.{number}:80",
            "zone": "noord-a",
            "version": "v1",
            "max_concurrency": 3,
            "phase": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def wait_servers(self, instances: list[EntryInstance]) -> None:
        ids = {name for kind, name in self.store.objects if kind == "servers"}
        for item in instances:
            await self.platform.wait(
                lambda item=item: set(item.shared.servers.server_by_id) == ids,
                "it has the servers that the store has",
                5.0,
            )


class TestPositions(unittest.TestCase):
    def test_era_counts_before_the_revision(self):
        positions = [make_position(*item) for item in ((0, 0), (0, MAX_REVISION), (1, 3), (2, 0))]
        self.assertEqual(sorted(positions), positions)
        self.assertEqual((2, 77), (era_of(make_position(2, 77)), revision_of(make_position(2, 77))))
        # A store without eras: positions are those of instances that know none.
        self.assertEqual(77, make_position(0, 77))


class TestExchange(unittest.TestCase):
    """Two instances, one with the state of the later era at a lower revision."""

    def setUp(self) -> None:
        self.older, self.newer = (StoreCache(("servers",), lambda *_: None) for _ in range(2))
        self.older.apply(KindUpdate("servers", make_position(1, 90), True, [("a", b"1")]))
        self.older.apply(KindUpdate("servers", make_position(1, 95), False, [("lost", b"2")]))
        self.newer.apply(KindUpdate("servers", make_position(2, 60), True, [("a", b"0")]))
        self.newer.apply(KindUpdate("servers", make_position(2, 61), False, [("b", b"3")]))

    def test_state_of_the_later_era_wins_as_a_whole_plain_or_packed(self):
        for accepts in ({}, {ACCEPTS_PACKED: 1}):
            (update,) = self.newer.updates_since(self.older.position_by_kind | accepts)
            self.assertTrue(self.older.is_newer("servers", update.position))
            if isinstance(update, PackedSnapshot):
                changes = unpack_changes(update.packed)
                update = KindUpdate("servers", update.position, True, changes)
            self.assertTrue(update.is_snapshot)
            self.assertEqual({"a": b"0", "b": b"3"}, dict(update.changes))
        self.assertTrue(self.older.apply(update))
        self.assertEqual([], self.newer.updates_since(self.older.position_by_kind))

    def test_state_of_the_earlier_era_changes_nothing(self):
        for update in self.older.updates_since({}):
            self.assertFalse(self.newer.is_newer("servers", update.position))
            self.assertFalse(self.newer.apply(update))
        self.assertEqual([], self.older.updates_since(self.newer.position_by_kind))

    def test_changes_of_another_era_are_not_applied_to_the_objects_of_this_one(self):
        update = KindUpdate("servers", make_position(2, 62), False, [("c", b"4")])
        self.assertFalse(self.older.apply(update))
        self.assertEqual(make_position(1, 95), self.older.position("servers"))


class AnsweringStore:
    """A store whose answers a test gives in their order."""

    def __init__(self, *answers: ReadResult) -> None:
        self.answers = list(answers)
        self.calls = 0

    async def list_all(self, kind: str) -> ReadResult:
        return await self._answer()

    async def watch(self, kind: str, position: int, wait_s: float) -> ReadResult:
        return await self._answer()

    async def _answer(self) -> ReadResult:
        self.calls += 1
        if self.answers:
            return self.answers.pop(0)
        return await asyncio.get_running_loop().create_future()


class TestLateAnswers(unittest.IsolatedAsyncioTestCase):
    async def test_answer_of_the_earlier_era_counts_as_no_answer(self):
        cache = StoreCache(("config",), lambda *_: None)
        cache.apply(KindUpdate("config", make_position(2, 10), True, []))
        late = ReadResult([("main", b"old")], make_position(1, 99))
        store = AnsweringStore(late, late, ReadResult([("main", b"new")], make_position(2, 11)))
        health = StoreHealth()
        watcher = KindWatcher("config", store, cache, health, Random(1), 1.0)
        task = asyncio.create_task(watcher.run())
        while store.calls < 2:
            await asyncio.sleep(0.01)
        self.assertFalse(watcher.is_connected)
        self.assertIsNotNone(health.failing_since)
        while store.calls < 4:
            await asyncio.sleep(0.01)
        task.cancel()
        self.assertTrue(cache.position("config") == make_position(2, 11))
        self.assertIsNone(health.failing_since)
