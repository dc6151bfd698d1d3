"""A store that restores a copy: it loses its latest changes and gives their revisions out again."""

import asyncio
import time
import unittest
from collections import Counter
from random import Random
from unittest.mock import AsyncMock, patch

from papayalever.cluster.codec import unpack_changes
from papayalever.cluster.messages import (
    ACCEPTS_HELD,
    ACCEPTS_PACKED,
    HeldState,
    KindUpdate,
    PackedSnapshot,
)
from papayalever.entry.clock import now
from papayalever.entry.crashes import CRASH_KIND
from papayalever.entry.freshness import WatchSchedule
from papayalever.entry.held_objects import HoldPolicy
from papayalever.entry.hold_policies import HEARTBEATS_PER_LEASE, REWRITE_S, build_hold_policies
from papayalever.entry.instance import EntryInstance
from papayalever.entry.state_updates import INSTANCE_KIND
from papayalever.entry.store_cache import Origin, StoreCache
from papayalever.entry.store_position import MAX_REVISION, era_of, make_position, revision_of
from papayalever.entry.watcher import KindWatcher, ReadResult, StoreAccessError, StoreHealth
from papayalever.platform.program import build_store_adapter
from papayalever.platform.store import StoreAnswer, StoreClient

from .support.platform import REGIONS, LoopLag, configuration, dump
from .test_entry import PlatformCase

CONFIG_S = 2.0
"""The shortest bound of the deployments within which a configuration is in force everywhere."""

NO_HOLD = HoldPolicy(lambda _: 0.0)
NOW = 10.0


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

    async def test_all_kinds_are_read_again_once_one_of_them_shows_a_later_era(self):
        # Nothing is cut, and the watched revisions exist: no call fails.
        (instance,) = await self.start("noord-a")
        self.store.era = "2"
        self.put_config(8)
        took_s = await self.time_until(lambda: self.eras(instance) == {2}, "all kinds are read")
        self.assertLess(took_s, CONFIG_S)

    def eras(self, instance: EntryInstance) -> set[int]:
        return {era_of(position) for position in instance.cache.position_by_kind.values()}

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
        # A store without eras: positions equal its revisions.
        self.assertEqual(77, make_position(0, 77))


class TestExchange(unittest.TestCase):
    """Two instances, one with the state of the later era at a lower revision."""

    def setUp(self) -> None:
        self.older, self.newer = (
            StoreCache({"servers": NO_HOLD}, lambda *_: None) for _ in range(2)
        )
        self.older.apply(KindUpdate("servers", make_position(1, 90), True, [("a", b"1")]), NOW)
        self.older.apply(KindUpdate("servers", make_position(1, 95), False, [("lost", b"2")]), NOW)
        self.newer.apply(KindUpdate("servers", make_position(2, 60), True, [("a", b"0")]), NOW)
        self.newer.apply(KindUpdate("servers", make_position(2, 61), False, [("b", b"3")]), NOW)

    def test_state_of_the_later_era_wins_as_a_whole_plain_or_packed(self):
        for accepts in ({}, {ACCEPTS_PACKED: 1}):
            (update,) = self.newer.updates_since(self.older.position_by_kind | accepts, NOW)
            self.assertTrue(self.older.is_newer("servers", update.position))
            if isinstance(update, PackedSnapshot):
                changes = unpack_changes(update.packed)
                update = KindUpdate("servers", update.position, True, changes)
            self.assertTrue(update.is_snapshot)
            self.assertEqual({"a": b"0", "b": b"3"}, dict(update.changes))
        self.assertTrue(self.older.apply(update, NOW))
        self.assertEqual([], self.newer.updates_since(self.older.position_by_kind, NOW))

    def test_state_of_the_earlier_era_changes_nothing(self):
        for update in self.older.updates_since({}, NOW):
            self.assertFalse(self.newer.is_newer("servers", update.position))
            self.assertFalse(self.newer.apply(update, NOW))
        self.assertEqual([], self.older.updates_since(self.newer.position_by_kind, NOW))

    def test_changes_of_another_era_are_not_applied_to_the_objects_of_this_one(self):
        update = KindUpdate("servers", make_position(2, 62), False, [("c", b"4")])
        self.assertFalse(self.older.apply(update, NOW))
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


class TestPages(unittest.IsolatedAsyncioTestCase):
    async def test_list_whose_pages_are_of_two_eras_is_no_list(self):
        first = b'{"items":[{"metadata":{"name":"a"}}],"as_of":9,"has_more":true}'
        answers = [StoreAnswer(first, 1), StoreAnswer(b'{"items":[],"as_of":9}', 2)]
        with (
            patch.object(StoreClient, "_call", AsyncMock(side_effect=answers)),
            self.assertRaises(StoreAccessError),
        ):
            await StoreClient("127.0.0.1:1", Counter()).list_all("servers")


class TestLateAnswers(unittest.IsolatedAsyncioTestCase):
    async def test_answer_of_the_earlier_era_counts_as_no_answer(self):
        cache = StoreCache({"config": NO_HOLD}, lambda *_: None)
        cache.apply(KindUpdate("config", make_position(2, 10), True, []), NOW)
        late = ReadResult([("main", b"old")], make_position(1, 99))
        store = AnsweringStore(late, late, ReadResult([("main", b"new")], make_position(2, 11)))
        health = StoreHealth()
        watcher = KindWatcher("config", store, cache, health, Random(1), WatchSchedule(1.0))
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


HEARTBEAT_S = 1.5
LEASE_S = (HEARTBEATS_PER_LEASE + 1) * HEARTBEAT_S


def server(phase: str = "ready", sequence: int = 1, born: int = 1_700_000_000_000) -> bytes:
    """A stored entry of a backend server."""
    return dump(
        {
            "service": "logboek",
            "address": "10.0.0.1:80",
            "zone": "noord-a",
            "max_concurrency": 3,
            "phase": phase,
            "sequence": sequence,
            "born": born,
        }
    )


class HeldCase(unittest.TestCase):
    """The objects that count at an instance, as its updates say."""

    def setUp(self) -> None:
        policies = build_hold_policies(build_store_adapter(REGIONS), HEARTBEAT_S)
        self.values_by_kind: dict[str, dict[str, bytes]] = {kind: {} for kind in policies}
        self.cache = StoreCache(policies, self.note)

    def note(self, update: KindUpdate, _origin: Origin) -> None:
        values = {} if update.is_snapshot else self.values_by_kind[update.kind]
        for name, value in update.changes:
            values.pop(name, None)
            if value is not None:
                values[name] = value
        self.values_by_kind[update.kind] = values

    def read(self, kind: str, values: dict[str, bytes], era: int, revision: int, **fields) -> None:
        """A list of all objects at ``now``, 0 if the test does not care."""
        now, is_after_outage = fields.get("now", 0.0), fields.get("is_after_outage", False)
        changes = list(values.items())
        position = make_position(era, revision)
        self.cache.apply(KindUpdate(kind, position, True, changes, is_after_outage), now)

    def write(self, kind: str, name: str, value: bytes | None, era: int, revision: int) -> None:
        update = KindUpdate(kind, make_position(era, revision), False, [(name, value)])
        self.cache.apply(update, 1.0)


class TestLapsedEntries(HeldCase):
    def test_entry_that_lapsed_in_an_outage_gets_its_grace_and_a_leaving_one_does_not(self):
        ready, leaving = server(), server("draining")
        self.read("servers", {"i-1": ready, "i-2": leaving, "i-3": ready}, 0, 5)
        self.read("servers", {"i-3": ready}, 0, 6, now=10.0, is_after_outage=True)
        self.assertEqual({"i-1", "i-3"}, set(self.values_by_kind["servers"]))
        self.cache.release_held(10.0 + REWRITE_S - 0.1)
        self.assertEqual({"i-1", "i-3"}, set(self.values_by_kind["servers"]))
        self.cache.release_held(10.0 + REWRITE_S + 0.1)
        self.assertEqual({"i-3"}, set(self.values_by_kind["servers"]))
        self.read("servers", {}, 0, 7, now=20.0)
        self.assertEqual({}, self.values_by_kind["servers"])

    def test_lapsed_entry_that_is_written_again_stays(self):
        self.read("servers", {"i-1": server()}, 0, 5)
        self.read("servers", {}, 0, 6, now=0.5, is_after_outage=True)
        self.write("servers", "i-1", server(sequence=9), 0, 7)
        self.cache.release_held(20.0)
        self.assertEqual({"i-1": server(sequence=9)}, self.values_by_kind["servers"])


class TestHeldAgainstCopy(HeldCase):
    def restore(self, kind: str, known: dict, copy: dict) -> dict[str, bytes]:
        """What counts of a kind after the store restored a copy at second 0."""
        self.read(kind, known, 1, 90, now=-1.0)
        self.read(kind, copy, 2, 60)
        return self.values_by_kind[kind]

    def test_server_that_the_copy_lacks_counts_until_it_had_time_to_register_again(self):
        self.assertEqual({"i-1"}, set(self.restore("servers", {"i-1": server()}, {})))
        self.cache.release_held(REWRITE_S - 0.1)
        self.assertEqual({"i-1"}, set(self.values_by_kind["servers"]))
        self.cache.release_held(REWRITE_S)
        self.assertEqual({}, self.values_by_kind["servers"])

    def test_server_that_left_is_not_used_unless_it_outlives_its_lease_in_the_copy(self):
        self.read("servers", {"i-1": server()}, 1, 80, now=-2.0)
        self.assertEqual({}, self.restore("servers", {}, {"i-1": server()}))
        self.cache.release_held(LEASE_S - 0.1)
        self.assertEqual({}, self.values_by_kind["servers"])
        self.cache.release_held(LEASE_S)
        self.assertEqual({"i-1": server()}, self.values_by_kind["servers"])

    def test_server_that_left_comes_back_at_once_as_another_incarnation(self):
        self.read("servers", {"i-1": server()}, 1, 80, now=-2.0)
        self.assertEqual({}, self.restore("servers", {}, {"i-1": server()}))
        reborn = server(born=1_800_000_000_000)
        self.write("servers", "i-1", reborn, 2, 61)
        self.assertEqual({"i-1": reborn}, self.values_by_kind["servers"])

    def test_leaving_server_that_is_ready_in_the_copy_stays_leaving(self):
        leaving = {"i-1": server("draining", 7)}
        self.assertEqual(leaving, self.restore("servers", leaving, {"i-1": server("ready", 2)}))
        self.cache.release_held(LEASE_S - 0.1)
        self.assertEqual(leaving, self.values_by_kind["servers"])

    def test_entries_that_are_newer_than_what_was_known_count_at_once(self):
        leaving = {"i-1": server("draining", 7), "i-2": server()}
        self.assertEqual(leaving, self.restore("servers", {"i-1": server("ready", 2)}, leaving))

    def test_malformed_entry_in_the_copy_hides_no_known_one(self):
        known = {"i-1": server()}
        self.assertEqual(known, self.restore("servers", known, {"i-1": b"{}"}))

    def test_evacuation_that_began_or_ended_counts_until_it_had_time_to_be_written_again(self):
        self.read("evacuations", {"noord-b": b"{}"}, 1, 80, now=-2.0)
        known = self.restore("evacuations", {"noord-a": b"{}"}, {"noord-b": b"{}"})
        self.assertEqual({"noord-a"}, set(known))
        self.cache.release_held(REWRITE_S)
        self.assertEqual({"noord-b"}, set(self.values_by_kind["evacuations"]))

    def test_configuration_is_never_replaced_by_an_older_one(self):
        def config(version: int) -> dict[str, bytes]:
            return {"main": dump(configuration(version))}

        self.assertEqual(config(12), self.restore("config", config(12), config(7)))
        self.cache.release_held(3600.0)
        self.write("config", "main", config(9)["main"], 2, 61)
        self.write("config", "main", None, 2, 62)
        self.write("config", "main", b"[]", 2, 63)
        self.assertEqual(config(12), self.values_by_kind["config"])
        self.write("config", "main", config(12)["main"], 2, 64)
        self.write("config", "main", config(13)["main"], 2, 65)
        self.assertEqual(config(13), self.values_by_kind["config"])

    def test_configuration_of_the_copy_counts_where_it_is_newer(self):
        newer = {"main": dump(configuration(9))}
        older = {"main": dump(configuration(7))}
        self.assertEqual(newer, self.restore("config", older, newer))

    def test_instances_count_while_they_register_again(self):
        entries = {"edge-1": b'{"started_ms":1}', "edge-2": b'{"started_ms":2}'}
        self.assertEqual(entries, self.restore(INSTANCE_KIND, entries, {}))
        self.cache.release_held(5.0)
        self.assertEqual(entries, self.values_by_kind[INSTANCE_KIND])
        self.cache.release_held(10.0)
        self.assertEqual({}, self.values_by_kind[INSTANCE_KIND])

    def test_deleted_objects_of_our_own_stay_deleted_and_are_named(self):
        self.read(INSTANCE_KIND, {"edge-1": b"{}"}, 1, 80, now=-2.0)
        self.assertEqual({}, self.restore(INSTANCE_KIND, {}, {"edge-1": b"{}"}))
        self.cache.release_held(3600.0)
        self.assertEqual({}, self.values_by_kind[INSTANCE_KIND])
        self.assertEqual(["edge-1"], self.cache.returned_names(INSTANCE_KIND))
        self.write(INSTANCE_KIND, "edge-1", None, 2, 61)
        self.assertEqual([], self.cache.returned_names(INSTANCE_KIND))

    def test_second_restore_starts_the_time_anew(self):
        self.restore("servers", {"i-1": server()}, {})
        self.read("servers", {}, 3, 40, now=1.0)
        self.cache.release_held(REWRITE_S)
        self.assertEqual({"i-1"}, set(self.values_by_kind["servers"]))
        self.cache.release_held(1.0 + REWRITE_S)
        self.assertEqual({}, self.values_by_kind["servers"])

    def test_list_without_a_restore_is_the_whole_truth(self):
        self.read("servers", {"i-1": server()}, 1, 90)
        self.read("servers", {"i-2": server()}, 1, 91)
        self.assertEqual({"i-2"}, set(self.values_by_kind["servers"]))


class TestSentOn(unittest.TestCase):
    """What one instance holds and sends to another, plain or packed."""

    def setUp(self) -> None:
        policies = build_hold_policies(build_store_adapter(REGIONS), HEARTBEAT_S)
        self.sender, self.receiver = (StoreCache(policies, lambda *_: None) for _ in range(2))
        self.config = {version: dump(configuration(version)) for version in (7, 12)}
        self.apply(self.sender, "config", 1, 90, main=self.config[12])
        self.apply(self.sender, "servers", 1, 90, joined=server())

    def apply(self, cache: StoreCache, kind: str, era: int, revision: int, **values) -> None:
        changes = list(values.items())
        cache.apply(KindUpdate(kind, make_position(era, revision), True, changes), NOW)

    def restore(self) -> None:
        self.apply(self.sender, "config", 2, 60, main=self.config[7])
        self.apply(self.sender, "servers", 2, 60)

    def send(self, accepts: dict, now: float = NOW) -> None:
        updates = self.sender.updates_since(self.receiver.position_by_kind | accepts, now)
        sent = {item.kind: item for item in updates if isinstance(item, HeldState)}
        for update in updates:
            if isinstance(update, PackedSnapshot):
                changes = unpack_changes(update.packed)
                update = KindUpdate(update.kind, update.position, True, changes)
            if isinstance(update, KindUpdate):
                self.receiver.apply(update, now, sent=sent.get(update.kind))

    def values(self, kind: str) -> dict[str, bytes]:
        cache = self.receiver._cache_by_kind[kind]
        return cache.held.overlay(cache.value_by_name)

    def test_instance_that_starts_after_the_restore_gets_the_newer_configuration(self):
        self.restore()
        for accepts in ({ACCEPTS_HELD: 1}, {ACCEPTS_HELD: 1, ACCEPTS_PACKED: 1}):
            with self.subTest(accepts=accepts):
                self.receiver = StoreCache(
                    build_hold_policies(build_store_adapter(REGIONS), HEARTBEAT_S), lambda *_: None
                )
                self.send(accepts)
                self.assertEqual({"main": self.config[12]}, self.values("config"))

    def test_time_that_is_left_counts_at_the_receiver(self):
        self.restore()
        self.send({ACCEPTS_HELD: 1}, NOW + 1.0)
        self.assertEqual({"joined"}, set(self.values("servers")))
        self.receiver.release_held(NOW + REWRITE_S - 0.1)
        self.assertEqual({"joined"}, set(self.values("servers")))
        self.receiver.release_held(NOW + REWRITE_S + 0.1)
        self.assertEqual({}, self.values("servers"))
        self.assertEqual({"main": self.config[12]}, self.values("config"))

    def test_receiver_that_knew_more_holds_its_own(self):
        self.apply(self.receiver, "servers", 1, 95, joined=server(), later=server())
        self.restore()
        self.send({ACCEPTS_HELD: 1})
        self.assertEqual({"joined", "later"}, set(self.values("servers")))

    def test_entries_that_lapsed_in_an_outage_are_kept_by_followers_too(self):
        self.send({ACCEPTS_HELD: 1, ACCEPTS_PACKED: 1})
        update = KindUpdate("servers", make_position(1, 91), True, [], True)
        self.sender.apply(update, NOW)
        self.send({ACCEPTS_HELD: 1, ACCEPTS_PACKED: 1})
        self.assertEqual({"joined"}, set(self.values("servers")))

    def test_instances_of_earlier_builds_get_no_message_that_they_do_not_know(self):
        self.restore()
        updates = self.sender.updates_since({ACCEPTS_PACKED: 1}, NOW)
        self.assertEqual({PackedSnapshot}, {type(item) for item in updates})


class TestWritingAgain(RestoredCase):
    def listed(self) -> set[str]:
        return {name for kind, name in self.store.objects if kind == INSTANCE_KIND}

    async def test_instances_that_the_copy_lacks_register_again_and_stay_known_meanwhile(self):
        copy = self.store.copy()
        instances = await self.start("noord-a", "noord-b", "midden-a")
        names = self.listed()
        self.store.restore(copy)
        self.assertEqual(set(), self.listed())
        fewest = 3
        while self.listed() != names:
            fewest = min(fewest, *(item.shared.instances for item in instances))
            await asyncio.sleep(0.01)
        self.assertEqual(3, fewest)
        self.assertEqual(3, self.store.calls[f"create {INSTANCE_KIND}"] - 3)

    async def test_registration_that_was_lost_before_it_was_read_back_is_repeated(self):
        copy = self.store.copy()
        instance = await self.platform.add_instance("noord-a")
        await self.platform.wait(self.listed, "it is registered")
        self.store.restore(copy)
        await self.platform.wait(self.listed, "it is registered again", 5.0)
        await self.platform.wait(lambda: instance.shared.instances == 1, "it knows", 5.0)

    async def test_own_entry_of_an_earlier_run_in_the_copy_is_replaced(self):
        (instance,) = await self.start("noord-a")
        key = (INSTANCE_KIND, instance.settings.instance)
        revision, objects = self.store.copy()
        earlier = {
            "metadata": objects[key]["metadata"],
            "spec": objects[key]["spec"] | {"started_ms": 7},
        }
        self.store.restore((revision, objects | {key: earlier}))
        await self.platform.wait(
            lambda: self.store.objects[key]["spec"]["started_ms"] != 7, "it is replaced", 5.0
        )

    async def test_crash_records_that_the_copy_lacks_are_written_again_once(self):
        first, second = await self.start("noord-a", "noord-b")
        copy = self.store.copy()
        first.shared.crashes.note("digest", "i-1", now())
        received = second.shared.crashes.received_at_by_name
        await self.platform.wait(lambda: received, "the other knows the crash")
        ((name, received_at),) = received.items()
        self.store.restore(copy)
        await self.platform.wait(
            lambda: (CRASH_KIND, name) in self.store.objects, "it is written again", 5.0
        )
        await self.platform.wait(
            lambda: second.cache.stored_value(CRASH_KIND, name) is not None, "the other has it"
        )
        self.assertEqual({name: received_at}, received)
        self.assertEqual(2, self.store.calls[f"create {CRASH_KIND}"])

    async def test_entry_of_an_instance_that_left_is_removed_from_the_copy(self):
        interval = patch("papayalever.entry.housekeeping.CHECK_INTERVAL_S", 0.3)
        interval.start()
        self.addCleanup(interval.stop)
        stays, leaves = await self.start("noord-a", "noord-b")
        copy = self.store.copy()
        self.store.drop(INSTANCE_KIND, leaves.settings.instance)
        await self.platform.kill(leaves.settings.instance)
        await self.platform.wait(lambda: stays.shared.instances == 1, "it is known")
        self.store.restore(copy)
        await self.platform.wait(
            lambda: era_of(stays.cache.position(INSTANCE_KIND)) == 2, "the copy was read"
        )
        self.assertEqual(1, stays.shared.instances)
        await self.platform.wait(
            lambda: self.listed() == {stays.settings.instance}, "it is removed", 5.0
        )

    async def test_writes_of_many_instances_stay_within_a_quarter_of_the_rate(self):
        (instance,) = await self.start("noord-a")
        instance.shared.instances = 195
        pauses = [instance._rewrite_pause_s() for _ in range(500)]
        self.assertLessEqual(max(pauses), 195 / 100)
        self.assertGreater(max(pauses) - min(pauses), 1.5)


class TestCallersBesideARestore(RestoredCase):
    async def test_leaving_and_gone_servers_get_nothing_and_a_new_one_is_still_used(self):
        gone, leaving = await self.platform.add_server(), await self.platform.add_server()
        (instance,) = await self.start("noord-a")
        copy = self.store.copy()
        joined = await self.platform.add_server()
        self.store.put("servers", leaving.id, leaving.entry(phase="draining", sequence=2))
        self.store.drop("servers", gone.id)
        by_id = instance.shared.servers.server_by_id
        await self.platform.wait(lambda: set(by_id) == {leaving.id, joined.id}, "it is known")
        self.store.restore(copy)
        await self.platform.wait(
            lambda: era_of(instance.cache.position("servers")) == 2, "the copy was read"
        )
        for number in range(8):
            reply = await self.platform.ask(instance, f"/lookup/{number}", key=f"o{number}")
            self.assertEqual(200, reply.status)
        self.assertEqual((0, 8, 0), tuple(len(item.seen) for item in (gone, joined, leaving)))

    async def test_instance_that_starts_beside_the_restore_serves_by_the_newer_configuration(self):
        (running,) = await self.start("noord-a")
        copy = self.store.copy()
        self.put_config(8)
        await self.time_config(8, [running])
        self.store.restore(copy)
        await self.platform.wait(
            lambda: era_of(running.cache.position("config")) == 2, "the copy was read"
        )
        late = await self.platform.add_instance("noord-b", running.settings.peer_listener)
        await self.platform.wait(lambda: late.is_ready, "ready")
        self.assertEqual(8, late.shared.routes.version)

    async def test_followers_keep_a_server_whose_entry_lapsed_while_the_store_was_away(self):
        server = await self.platform.add_server()
        instances = await self.start("noord-a", "noord-b")
        self.store.down_for = lambda host: True
        await asyncio.sleep(1.5)
        self.store.drop("servers", server.id)
        self.store.down_for = lambda host: False
        await self.platform.wait(
            lambda: len({item.cache.position("servers") for item in instances}) == 1
            and not instances[0].cache.stored_value("servers", server.id),
            "both know that the entry lapsed",
        )
        for item in instances:
            self.assertIn(server.id, item.shared.servers.server_by_id)
