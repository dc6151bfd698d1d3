"""Membership over fakes: joins, deaths, cuts and the witnesses' lease."""

import asyncio
import random
import unittest

from papayalever.cluster.messages import BackendDrainNotice, MemberState
from papayalever.store import ListedInstance

from .support.fakes import FakeClock, FakeNetwork, FakeStore

SEED = 20_261_204


class TestMembership(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        random.seed(SEED)
        self.clock = FakeClock()
        self.store = FakeStore()
        self.network = FakeNetwork(self.clock, self.store)

    def add_domain(self, region: str, domain: str, count: int, seeds=("a-1",)) -> list[str]:
        names = [f"{domain}-{number + 1}" for number in range(count)]
        for name in names:
            self.network.add(name, region, domain, seeds)
        return names

    def live_ids(self, name: str) -> set[str]:
        return {item.id for item in self.network.by_address[name].table.live()}

    async def test_every_instance_learns_of_every_other(self):
        names = self.add_domain("north", "a", 5) + self.add_domain("south", "b", 4)
        await self.network.run(5)
        for name in names:
            self.assertEqual(set(names), self.live_ids(name))

    async def test_groups_that_started_apart_become_one(self):
        late = self.add_domain("south", "b", 3)
        self.store.instances = [ListedInstance(name, "live", name) for name in late]
        await self.network.run(3)
        self.store.instances = []
        names = late + self.add_domain("north", "a", 3)
        await self.network.run(20)
        for name in names:
            self.assertEqual(set(names), self.live_ids(name))

    async def test_dead_instance_leaves_and_its_next_run_comes_back(self):
        names = self.add_domain("north", "a", 3) + self.add_domain("south", "b", 3)
        await self.network.run(5)
        del self.network.by_address["b-2"]
        await self.network.run(6)
        for name in set(names) - {"b-2"}:
            self.assertNotIn("b-2", self.live_ids(name))
        self.network.add("b-2", "south", "b", ("a-1",))
        await self.network.run(5)
        for name in names:
            self.assertIn("b-2", self.live_ids(name))

    async def test_both_relays_of_a_domain_die(self):
        names = self.add_domain("north", "a", 4) + self.add_domain("south", "b", 5)
        await self.network.run(5)
        del self.network.by_address["b-1"], self.network.by_address["b-2"]
        await self.network.run(12)
        for name in set(names) - {"b-1", "b-2"}:
            self.assertEqual(set(names) - {"b-1", "b-2"}, self.live_ids(name))

    async def test_cut_region_is_not_named_and_comes_back(self):
        north, south = self.add_domain("north", "a", 3), self.add_domain("south", "b", 3)
        await self.network.run(5)
        self.network.cut_off(north, south)
        await self.network.run(8)
        for name in north:
            self.assertEqual(set(north), self.live_ids(name))
        dead = [m for m in self.network.by_address["a-1"].table.members
                if m.state == MemberState.DEAD]  # fmt: skip
        self.assertEqual([], dead)
        self.network.cut.clear()
        await self.network.run(8)
        for name in north + south:
            self.assertEqual(set(north + south), self.live_ids(name))

    async def test_lease_lapses_before_a_member_is_declared_dead(self):
        self.add_domain("north", "a", 4)
        await self.network.run(5)
        member = self.network.by_address["a-4"]
        self.assertTrue(member.holds_lease())
        self.network.cut_off(["a-4"], ["a-1", "a-2", "a-3"])
        for _ in range(40):
            self.clock.now += 0.25
            for name in ("a-1", "a-2"):
                await self.network.by_address[name].sync_round()
                seen = self.network.by_address[name].table.get("a-4")
                if seen.state == MemberState.DEAD:
                    self.assertFalse(member.holds_lease())
                    return
        self.fail("nobody declared the cut member dead")

    async def test_the_planner_alone_learns_the_demand_of_every_domain(self):
        names = [name for d in "abc" for name in self.add_domain("north", d, 3)]
        for number, name in enumerate(names):
            rows = [("shop", "north", float(number), 0.0)]
            self.network.by_address[name].read_demand = lambda rows=rows: rows
        await self.network.run(6)
        planners = {self.network.by_address[name].planner_id for name in names}
        self.assertEqual({"a-1"}, planners)
        demands = self.network.by_address["a-1"].demands()
        slots = {domain: item.rows[0][2] for domain, item in demands.items()}
        self.assertEqual({"a": 0 + 1 + 2, "b": 3 + 4 + 5, "c": 6 + 7 + 8}, slots)
        self.assertEqual({"b"}, set(self.network.by_address["b-1"].demands()))

    async def test_instances_alone_in_their_domains_hold_leases(self):
        names = self.add_domain("north", "a", 1) + self.add_domain("north", "b", 1)
        await self.network.run(3)
        for name in names:
            self.assertTrue(self.network.by_address[name].holds_lease(), name)

    async def test_lost_domain_is_gone_when_the_platform_stops_listing_it(self):
        north = self.add_domain("north", "a", 2) + self.add_domain("north", "c", 2)
        self.add_domain("south", "b", 2)
        await self.network.run(5)
        del self.network.by_address["b-1"], self.network.by_address["b-2"]
        await self.network.run(8)
        gossip = self.network.by_address["a-1"]
        listed = [ListedInstance(name, "live", name) for name in north]
        for _ in range(3):
            self.assertNotEqual(MemberState.DEAD, gossip.table.get("b-1").state)
            await gossip.note_listed(listed)
        self.assertEqual(MemberState.DEAD, gossip.table.get("b-1").state)

    async def test_broadcast_costs_a_few_messages_for_each_instance(self):
        names = []
        for number in range(21):
            names += self.add_domain(f"region-{number % 6}", f"d{number}", 4, ("d0-1",))
        await self.network.run(6)
        heard = []
        for name in names:
            self.network.by_address[name].broadcasts.subscribe(heard.append)
        self.network.messages = 0
        self.network.by_address["d5-4"].broadcast(BackendDrainNotice("server", 0))
        while pending := [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]:
            await asyncio.wait(pending)
        self.assertEqual(len(names) - 1, len(heard))
        self.assertLessEqual(self.network.messages, 4 * len(names))
