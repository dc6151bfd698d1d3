"""What is removed from the store once nobody needs it, and what is written again."""

import unittest
from unittest.mock import patch

from papayalever.entry import housekeeping
from papayalever.entry.crashes import CRASH_KIND
from papayalever.entry.state_updates import INSTANCE_KIND
from papayalever.routing import replication_tree
from papayalever.routing.quarantine import CRASH_WINDOW_S
from papayalever.routing.replication_tree import GONE_AFTER_S, AbsenceTracker, ReplicationTree

from .test_decisions import instance_entry
from .test_entry import PlatformCase


class TestAbsences(unittest.TestCase):
    def test_instance_is_gone_only_after_long_unbroken_silence(self):
        absences = AbsenceTracker()
        self.assertFalse(absences.note("a", False, 0.0))
        self.assertFalse(absences.note("a", False, GONE_AFTER_S - 1))
        self.assertFalse(absences.note("a", True, GONE_AFTER_S - 0.5))
        self.assertFalse(absences.note("a", False, GONE_AFTER_S))
        self.assertTrue(absences.note("a", False, 2 * GONE_AFTER_S))


class TestSeniority(unittest.TestCase):
    def test_one_of_all_regions_is_the_most_senior_and_a_silent_one_is_passed_over(self):
        entries = [
            instance_entry("a", "noord-a", 1),
            instance_entry("b", "midden-a", 2),
            instance_entry("c", "zuid-a", 3),
        ]
        views = {entry.name: ReplicationTree(entry) for entry in entries}
        for view in views.values():
            view.replace_all(entries)
        senior = [name for name, view in views.items() if view.is_oldest(0.0)]
        self.assertEqual(["a"], senior)
        views["b"].mark_suspect("a", 0.0)
        self.assertTrue(views["b"].is_oldest(0.0))
        self.assertFalse(views["c"].is_oldest(0.0))


class TestHousekeeping(PlatformCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for target, value in (
            (f"{housekeeping.__name__}.CHECK_INTERVAL_S", 0.1),
            (f"{replication_tree.__name__}.GONE_AFTER_S", 0.5),
        ):
            patcher = patch(target, value)
            patcher.start()
            self.addCleanup(patcher.stop)

    def listed(self) -> set[str]:
        return {name for kind, name in self.platform.store.objects if kind == INSTANCE_KIND}

    def records(self) -> set[str]:
        return {name for kind, name in self.platform.store.objects if kind == CRASH_KIND}

    async def test_entry_of_an_instance_that_is_gone_is_removed_and_a_live_one_stays(self):
        instances = [await self.platform.ready_instance() for _ in range(3)]
        names = {item.settings.instance for item in instances}
        await self.platform.wait(lambda: self.listed() == names, "all are registered")
        victim = instances[2].settings.instance
        await self.platform.kill(victim)
        await self.platform.wait(lambda: self.listed() == names - {victim}, "it is removed", 10)

    async def test_entry_that_was_removed_by_mistake_is_written_again(self):
        instance = await self.platform.ready_instance()
        name = instance.settings.instance
        await self.platform.wait(lambda: self.listed() == {name}, "it is registered")
        self.platform.store.drop(INSTANCE_KIND, name)
        await self.platform.wait(lambda: self.listed() == {name}, "it is registered again", 10)

    async def test_old_crash_records_are_removed_and_new_ones_stay(self):
        instance = await self.platform.ready_instance()
        for name in ("old", "new"):
            self.platform.store.put(CRASH_KIND, name, {"digest": "d", "server": name})
        received = instance.shared.crashes.received_at_by_name
        await self.platform.wait(lambda: set(received) == {"old", "new"}, "both are known")
        received["old"] -= CRASH_WINDOW_S + 1
        await self.platform.wait(lambda: self.records() == {"new"}, "the old one is removed", 10)
        await self.platform.wait(lambda: set(received) == {"new"}, "it is forgotten", 10)
