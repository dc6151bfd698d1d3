"""Whole answers to the right caller, bad backend servers and connections that lie or go silent."""

import asyncio
import unittest

import xxhash

from .support.cluster import Cluster, Shape
from .test_ledger_failures import new_key

SHAPE = {"noord": ["noord-a", "noord-b"]}
MEGABYTE = 1024 * 1024


class TestAnswers(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        shape = Shape(SHAPE, instances_per_domain=2, backends_per_domain=3)
        self.cluster = await self.enterAsyncContext(Cluster(shape))
        await self.cluster.put_in_force()

    async def control_all(self, **values) -> None:
        for backend in self.cluster.backends:
            await self.cluster.control(backend["id"], **values)

    async def crashes(self) -> int:
        return sum(item["crashes"] for item in (await self.cluster.report()).values())

    async def test_large_uploads_at_once_arrive_whole(self):
        bodies = [bytes([number]) * (3 * MEGABYTE + number) for number in range(6)]
        answers = await asyncio.gather(
            *(self.cluster.send("PUT", "/scan", work=str(n), body=body)
              for n, body in enumerate(bodies))
        )  # fmt: skip
        for number, (body, answer) in enumerate(zip(bodies, answers, strict=True)):
            self.assertEqual(200, answer.status, answer.document)
            self.assertEqual(str(number), answer.document["work"])
            self.assertEqual(xxhash.xxh3_128_hexdigest(body), answer.document["body"])

    async def test_truncated_answer_is_visibly_broken(self):
        await self.control_all(truncates=True)
        for path in ("/urgent/1", "/normal?bytes=300000"):
            answer = await self.cluster.send("GET", path)
            self.assertNotEqual(200, answer.status)
            self.assertNotIn("Timeout", str(answer.document))
        key = new_key()
        first = await self.cluster.send("POST", "/signoff", key=key, work=key)
        self.assertNotEqual(200, first.status)
        await self.control_all(truncates=False)
        again = await self.cluster.send("POST", "/signoff", key=key, work=key)
        self.assertEqual("outcome-unknown", again.document["reason"])
        self.assertEqual(1, await self.cluster.runs(key))

    async def test_answer_of_another_request_is_not_passed_on(self):
        await self.control_all(lies_about_id=True)
        answer = await self.cluster.send("GET", "/urgent/1")
        self.assertEqual((502, "unknown"), (answer.status, answer.outcome))
        key = new_key()
        answer = await self.cluster.send("POST", "/signoff", key=key, work=key)
        self.assertEqual("unknown", answer.outcome)
        self.assertEqual(1, await self.cluster.runs(key))

    async def test_cancelled_request_does_not_cross_the_next_one(self):
        await self.control_all(service_s=0.3)
        instance = next(iter(self.cluster.by_id))

        async def abandon(number: int) -> None:
            sending = self.cluster.send("GET", f"/urgent/old-{number}", instance, work="old")
            try:
                await asyncio.wait_for(sending, 0.1)
            except TimeoutError:
                return

        await asyncio.gather(*(abandon(number) for number in range(6)))
        answers = await asyncio.gather(
            *(self.cluster.send("GET", f"/urgent/new-{n}", instance, work=f"new-{n}")
              for n in range(6))
        )  # fmt: skip
        for number, answer in enumerate(answers):
            self.assertEqual(200, answer.status, answer.document)
            self.assertEqual(f"new-{number}", answer.document["work"])

    async def test_connections_that_went_silent_delay_but_do_not_fail(self):
        instance = next(iter(self.cluster.by_id))
        for number in range(24):
            await self.cluster.send("GET", f"/urgent/{number}", instance)
        await self.control_all(is_silent_on_old=True)
        for number in range(24):
            answer = await self.cluster.send("GET", f"/urgent/{number}", instance)
            self.assertEqual(200, answer.status, answer.document)
        status = await self.cluster.status(instance)
        self.assertGreaterEqual(status["gauges"]["renewed_pools"], 1)
        self.assertLessEqual(status["gauges"]["renewed_pools"], len(self.cluster.backends))

    async def test_request_that_crashes_servers_is_quarantined_everywhere(self):
        first = await self.cluster.send("GET", "/crash/bay-9")
        self.assertEqual("unknown", first.outcome)
        self.assertEqual(2, await self.crashes())
        for instance in self.cluster.running():
            answer = await self.cluster.send("GET", "/crash/bay-9", instance.id)
            self.assertEqual("quarantined", answer.document["reason"])
        self.assertEqual(2, await self.crashes())
        self.assertEqual(200, (await self.cluster.send("GET", "/urgent/bay-9")).status)

    async def test_crashing_request_sent_to_every_instance_at_once(self):
        sends = [
            self.cluster.send("GET", "/crash/bay-9", item.id) for item in self.cluster.running()
        ]
        await asyncio.gather(*sends)
        self.assertLessEqual(await self.crashes(), 2)

    async def test_one_accident_does_not_ban_innocent_work(self):
        backend = self.cluster.backends[0]["id"]
        await self.cluster.control(backend, accidents=1)
        for _ in range(40):
            answer = await self.cluster.send("GET", "/urgent/bay-1")
            self.assertEqual(200, answer.status, answer.document)
        self.assertEqual(1, await self.crashes())
