"""Graceful shutdown of instances and leaving backend servers."""

import asyncio
import signal
import unittest
from datetime import UTC, datetime, timedelta

from .support.cluster import Cluster, Shape
from .test_ledger_failures import instance_of, new_key

SHAPE = {"noord": ["noord-a", "noord-b"]}


class TestStop(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        shape = Shape(SHAPE, instances_per_domain=2, backends_per_domain=2)
        self.cluster = await self.enterAsyncContext(Cluster(shape))
        await self.cluster.put_in_force()

    async def named(self, instance_id: str, callers: int = 40) -> set[str]:
        """Instances that look-ups of many callers at one instance name."""
        answers = [
            await self.cluster.lookup(instance_id, f"127.1.{number}.1") for number in range(callers)
        ]
        return {item["instance"] for answer in answers for item in answer["instances"]}

    async def test_sigterm_cuts_no_request_and_hands_the_ledger_over(self):
        key = new_key()
        view = await self.cluster.view(key)
        leaving = instance_of(view.primary)
        other = next(item for item in self.cluster.by_id if item != leaving)
        self.assertEqual(
            200, (await self.cluster.send("POST", "/signoff", other, key=key, work=key)).status
        )
        for backend in self.cluster.backends:
            await self.cluster.control(backend["id"], service_s=2.2)
        works = [f"work-{number}" for number in range(6)]
        running = [
            asyncio.create_task(self.cluster.send("GET", "/bulk/old", leaving, work=work))
            for work in works
        ]
        await self.cluster.wait_for(lambda: self.cluster.runs(works[0]))
        self.cluster.signal(leaving, signal.SIGTERM)

        async def is_unnamed() -> bool:
            return leaving not in await self.named(other)

        await self.cluster.wait_for(is_unnamed)
        self.assertIsNone(self.cluster.by_id[leaving].process.poll())
        answers = await asyncio.gather(*running)
        self.assertEqual([200] * len(works), [answer.status for answer in answers])
        self.assertEqual(0, await self.cluster.wait_exit(leaving))
        self.assertIn("drained in", self.cluster.log(leaving))
        self.assertNotIn(leaving, {instance_of((await self.cluster.view(key)).primary)})
        again = await self.cluster.send("POST", "/signoff", other, key=key, work=key)
        self.assertEqual((200, "true"), (again.status, again.headers.get("Idempotency-Replayed")))

    async def test_planned_stop_in_the_file_does_the_same(self):
        leaving, other = list(self.cluster.by_id)[:2]
        at = (datetime.now(UTC) + timedelta(seconds=2)).isoformat()
        stop = {"kind": "instance", "id": leaving, "at": at}
        await self.cluster.apply(other, planned_stops=[stop])
        self.assertEqual(0, await self.cluster.wait_exit(leaving))
        self.assertNotIn(leaving, await self.named(other))
        self.assertEqual(200, (await self.cluster.send("GET", "/urgent/1", other)).status)

    async def expect_no_new_work(self, backend: str) -> None:
        """A burst through every instance adds nothing to the server's work."""

        async def is_idle() -> bool:
            before = (await self.cluster.report())[backend]["arrived"]
            for instance in self.cluster.running():
                await asyncio.gather(
                    *(self.cluster.send("GET", "/urgent/1", instance.id) for _ in range(10))
                )
            return (await self.cluster.report())[backend]["arrived"] == before

        await self.cluster.wait_for(is_idle)

    async def test_server_that_says_it_drains_gets_no_new_work(self):
        backend = self.cluster.backends[0]["id"]
        await self.cluster.control(backend, is_draining=True)
        await self.expect_no_new_work(backend)

    async def test_server_that_the_platform_lists_as_leaving_gets_no_new_work(self):
        backend = self.cluster.backends[0]["id"]
        listed = [{"id": backend, "state": "leaving"}]
        await self.cluster.set_faults(instances=listed)
        await self.expect_no_new_work(backend)

    async def test_server_with_a_planned_stop_gets_no_new_work(self):
        backend = self.cluster.backends[0]["id"]
        stop = {"kind": "backend", "id": backend, "at": datetime.now(UTC).isoformat()}
        await self.cluster.apply(planned_stops=[stop])
        await self.expect_no_new_work(backend)
