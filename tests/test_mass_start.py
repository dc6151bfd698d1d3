"""Many instances that start at the same moment: calls to the store, and who reads it."""

from collections import Counter

from .support.platform import REGIONS, configuration
from .test_entry import PlatformCase

DOMAINS = ["noord-a", "noord-b", "noord-a", "midden-a", "noord-b", "midden-a"]
FOLLOWER_CALLS = 2
"""The registration of an instance whose entry the store already has: a create and a replace."""
START_S = 6.0
FIRST_HOST = 10
"""Last part of the address of the first server or instance of a `Platform`."""


class TestMassStart(PlatformCase):
    async def start_all(self) -> list:
        """Start instances beside seeds that are younger than them, as not all start in order."""
        first = FIRST_HOST + len(DOMAINS) + len(self.platform.server_by_id)
        seeds = ",".join(f"{self.platform.net}.{first + number}:8146" for number in range(2))
        instances = [
            await self.platform.add_instance(domain, seeds)
            for domain in (*DOMAINS, "noord-a", "midden-a")
        ]
        self.assertEqual(seeds.split(","), [item.settings.peer_listener for item in instances[-2:]])
        await self.wait_all_know_all(instances)
        return instances

    async def wait_all_know_all(self, instances: list) -> None:
        count = len(instances)
        await self.platform.wait(
            lambda: all(item.is_ready and item.shared.instances == count for item in instances),
            "all are ready and know each other",
            START_S,
        )

    def region_of_readers(self, instances: list) -> Counter[str]:
        return Counter(item.settings.region for item in instances if item.follower.is_reading)

    async def wait_one_reader_a_region(self, instances: list) -> None:
        expected = Counter(dict.fromkeys(set(REGIONS.values()), 1))
        await self.platform.wait(
            lambda: self.region_of_readers(instances) == expected,
            "one instance of each region reads the store",
            START_S,
        )

    async def test_only_readers_call_the_store_beyond_their_registration(self):
        await self.platform.add_server()
        instances = await self.start_all()
        await self.wait_one_reader_a_region(instances)
        callers = self.platform.store.callers
        many = {
            item.settings.instance: callers[item.settings.ip]
            for item in instances
            if callers[item.settings.ip] > FOLLOWER_CALLS
        }
        # Two seeds read until the oldest instances of their regions do.
        self.assertLessEqual(len(many), 4, many)

    async def test_followers_of_a_new_reader_do_not_read_the_store(self):
        await self.platform.add_server()
        instances = await self.start_all()
        await self.wait_one_reader_a_region(instances)
        reader = next(
            item
            for item in instances
            if item.follower.is_reading and item.settings.region == "noord"
        )
        rest = [item for item in instances if item is not reader]
        before = self.platform.store.callers.copy()
        reader.request_stop()
        await self.platform.wait(lambda: not reader.follower.is_current, "it no longer reads")
        await self.wait_one_reader_a_region(rest)
        self.platform.store.put("config", "main", configuration(8))
        await self.platform.wait(
            lambda: all(item.shared.routes.version == 8 for item in rest), "in force", 2.5
        )
        called = [
            item.settings.instance
            for item in rest
            if item.settings.region == "noord"
            and self.platform.store.callers[item.settings.ip] > before[item.settings.ip]
        ]
        self.assertEqual(1, len(called), called)
