"""The ledger over fakes while instances can not reach each other or the store."""

import asyncio
import random
import unittest

from papayalever.cluster.messages import Claim, ClaimVerdict
from papayalever.config.models import LedgerOptions
from papayalever.ledger.exceptions import LedgerUnavailableError
from papayalever.ledger.views import REGION_VIEWS

from .support.fakes import FakeClock, FakeNetwork, FakeStore

SEED = 20_261_204
REGION = "north"
OPTIONS = LedgerOptions(ranges_per_region=1, clock_skew_s=0)
PATIENCE_S = 0.05


class TestLedgerCuts(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        random.seed(SEED)
        self.clock = FakeClock()
        self.store = FakeStore()
        self.network = FakeNetwork(self.clock, self.store)
        self.names = [f"{domain}-{number}" for domain in "abc" for number in (1, 2)]
        for name in self.names:
            self.network.add(name, REGION, name[0], ("a-1",))
            self.network.add_ledger(name, OPTIONS)
        await self.network.run(5)

    def view(self):
        return REGION_VIEWS.validate_json(self.store.objects["shared/ledger/north"].value).views[0]

    def replicas(self) -> list[str]:
        view = self.view()
        return [view.primary.split("#")[0], view.backup.split("#")[0]]

    async def claim(self, entry: str, key: str, attempt: str | None = None) -> str:
        minted_ms = int(self.clock.now * 1000)
        claim = Claim(REGION, 0, 0, key, attempt or f"{entry}/{key}", "digest", minted_ms)
        give_up_at = asyncio.get_running_loop().time() + PATIENCE_S
        try:
            reply = await self.network.ledgers[entry].client.claim(claim, give_up_at)
        except LedgerUnavailableError:
            return "unavailable"
        return reply.verdict

    async def grants(self, key: str, entries: list[str]) -> int:
        return [await self.claim(entry, key) for entry in entries].count(ClaimVerdict.GRANTED)

    async def test_primary_that_lost_its_backup_grants_nothing(self):
        primary, backup = self.replicas()
        entry = next(name for name in self.names if name not in (primary, backup))
        self.assertEqual(ClaimVerdict.GRANTED, await self.claim(entry, "before"))
        self.network.cut_off([primary], [backup])
        self.assertEqual("unavailable", await self.claim(entry, "during"))

    async def test_cut_off_primary_and_its_successor_grant_a_key_once(self):
        primary, backup = self.replicas()
        others = [name for name in self.names if name != primary]
        self.assertEqual(ClaimVerdict.GRANTED, await self.claim(others[0], "old"))
        self.network.cut_off([primary], others)
        await self.network.run(10)
        self.assertNotEqual(primary, self.replicas()[0])
        self.assertEqual("unavailable", await self.claim(primary, "new"))
        self.assertEqual(1, await self.grants("new", others))
        self.assertEqual(0, await self.grants("old", [others[1], primary]))
        self.network.cut.clear()
        await self.network.run(10)
        self.assertEqual(0, await self.grants("new", [primary]))

    async def test_two_silent_replicas_are_not_replaced_while_they_may_grant(self):
        primary, backup = self.replicas()
        inside = [name for name in self.names if name[0] in (primary[0], backup[0])]
        outside = [name for name in self.names if name not in inside]
        self.network.cut_off(inside, outside)
        before = self.view().primary
        await self.network.run(20)
        self.assertEqual(before, self.view().primary)
        self.assertEqual(1, await self.grants("key", inside + outside))
        self.network.cut.clear()
        await self.network.run(10)
        self.assertEqual(0, await self.grants("key", outside))

    async def test_store_outage_of_half_an_hour_with_deaths_and_restarts(self):
        self.store.is_down = True
        chance = random.Random(SEED)
        for round_number in range(30):
            name = chance.choice(self.names[1:])
            self.network.by_address.pop(name)
            self.network.ledgers.pop(name)
            await self.network.run(15)
            self.network.add(name, REGION, name[0], tuple(self.names))
            self.network.add_ledger(name, OPTIONS)
            await self.network.run(45)
            for other in self.names:
                live = {item.id for item in self.network.by_address[other].table.live()}
                self.assertEqual(set(self.names), live, f"{other} in round {round_number}")
        self.store.is_down = False
        await self.network.run(30)
        self.assertEqual(1, await self.grants("after", self.names))
