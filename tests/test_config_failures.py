"""A configuration accepted is in force everywhere and never reverts, under failure."""

import asyncio
import signal
import unittest
from functools import partial
from io import StringIO
from pathlib import Path

import yaml

from papayalever.context import Environment
from papayalever.core import main
from papayalever.status import ExitStatus

from .support.cluster import Cluster, Shape

SHAPE = {"noord": ["noord-a", "noord-b"], "midden": ["midden-a", "midden-b"]}


class TestConfigFailures(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = await self.enterAsyncContext(Cluster(Shape(SHAPE)))
        await self.cluster.put_in_force()

    async def run_command(self, *arguments: str) -> tuple[ExitStatus, str]:
        env = Environment(stdout=StringIO(), stderr=StringIO())
        status = await asyncio.to_thread(main, arguments, env)
        return status, env.stdout.getvalue() + env.stderr.getvalue()

    def write(self, **changes) -> str:
        path = Path(self.cluster.directory.name) / "applied.yaml"
        path.write_text(yaml.safe_dump(self.cluster.configuration(**changes)))
        return str(path)

    async def versions(self) -> set[int]:
        statuses = [await self.cluster.status(item.id) for item in self.cluster.running()]
        return {status["config_version"] for status in statuses}

    async def test_racing_applies_have_one_order_and_the_loser_is_told(self):
        ids = list(self.cluster.by_id)
        results = await asyncio.gather(
            *(self.cluster.apply(item, lookup={"ttl_s": index + 1})
              for index, item in enumerate(ids))
        )  # fmt: skip
        accepted = [document["version"] for status, document in results if status == 200]
        refused = [document for status, document in results if status != 200]
        self.assertGreaterEqual(len(accepted), 1)
        self.assertEqual(len(accepted), len(set(accepted)))
        for document in refused:
            self.assertIn(document["error"], ("LostRaceError", "NotAcceptedError"))
        await self.cluster.wait_for(lambda: self.cluster.all_at(max(accepted)))

    async def test_apply_whose_answer_was_lost_finds_out_that_it_took_effect(self):
        # The first write of an apply is a chunk, the second one is the commit.
        for lost in (1, 2):
            await self.cluster.set_faults(lost_answers=lost)
            status, document = await self.cluster.apply(lookup={"ttl_s": 2 + lost})
            self.assertEqual(200, status, document)
            self.assertEqual(1 + lost, document["version"])
            await self.cluster.wait_for(partial(self.cluster.all_at, 1 + lost))

    async def test_store_outage_refuses_an_apply_and_changes_nothing(self):
        await self.cluster.set_faults(is_down=True)
        first = next(iter(self.cluster.by_id.values()))
        path = self.write(lookup={"ttl_s": 3})
        status, text = await self.run_command("apply", path, "--instance", first.operator)
        self.assertEqual(ExitStatus.NOT_ACCEPTED, status)
        self.assertIn("Nothing changed", text)
        self.assertEqual({1}, await self.versions())
        await self.cluster.set_faults(is_down=False)
        status, text = await self.run_command("apply", path, "--instance", first.operator)
        self.assertEqual((ExitStatus.SUCCESS, "Version 2 is in force.\n"), (status, text))
        await self.cluster.wait_for(lambda: self.cluster.all_at(2))

    async def test_unreachable_region_means_not_accepted_unless_overridden(self):
        frozen = [item.id for item in self.cluster.by_id.values() if item.region == "midden"]
        for item in frozen:
            self.cluster.signal(item, signal.SIGSTOP)
        first = next(iter(self.cluster.by_id.values()))
        path = self.write(lookup={"ttl_s": 3})
        status, text = await self.run_command("apply", path, "--instance", first.operator)
        self.assertEqual(ExitStatus.NOT_ACCEPTED, status)
        self.assertIn("midden-a-1", text)
        status, text = await self.run_command(
            "apply", path, "--instance", first.operator, "--override-unreachable"
        )
        self.assertEqual(ExitStatus.SUCCESS, status, text)
        for item in frozen:
            self.cluster.signal(item, signal.SIGCONT)
        await self.cluster.wait_for(lambda: self.cluster.all_at(2))

    async def test_restart_storm_during_a_store_outage_serves_the_version_in_force(self):
        await self.cluster.put_in_force(lookup={"ttl_s": 2})
        await self.cluster.set_faults(is_down=True)
        _, *restarted = list(self.cluster.by_id)
        logged = {}
        for item in restarted:
            self.cluster.kill(item)
            logged[item] = len(self.cluster.log(item))
            self.cluster.start(item)
        await self.cluster.wait_for(lambda: self.cluster.all_at(2))
        for item in restarted:
            self.assertNotIn("configuration 1", self.cluster.log(item)[logged[item] :])

    async def test_store_that_comes_back_empty_reverts_nothing(self):
        await self.cluster.put_in_force(lookup={"ttl_s": 2})
        self.cluster.store.kill()
        self.cluster.store.wait()
        self.cluster.start_store()
        await self.cluster.wait_for(self.cluster.has_stand_ins)
        status, document = await self.cluster.apply(lookup={"ttl_s": 3})
        self.assertEqual((503, "NotAcceptedError"), (status, document["error"]))
        self.assertEqual({2}, await self.versions())

    async def test_command_line_reads_back_what_is_in_force(self):
        first = next(iter(self.cluster.by_id.values()))
        status, text = await self.run_command("show", "--instance", first.operator)
        self.assertEqual(ExitStatus.SUCCESS, status)
        self.assertIn("# version 1, sha256", text)
        self.assertIn("# midden-b-1: 1", text)
        status, text = await self.run_command(
            "apply", self.write(), "--instance", first.operator, "--expect", "7"
        )
        self.assertEqual(ExitStatus.CONFLICT, status)
        self.assertIn("Version 1 by test was accepted first", text)
        status, text = await self.run_command("status", "--instance", "127.0.0.1:1")
        self.assertEqual(ExitStatus.ERROR, status)
        self.assertIn("--instance", text)
