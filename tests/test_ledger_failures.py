"""At most once and truthful refusals, with real processes killed, frozen and cut off."""

import asyncio
import signal
import unittest

import uuid6

from .support.cluster import Cluster, Shape

SHAPE = {"noord": ["noord-a", "noord-b"], "midden": ["midden-a", "midden-b"]}
NO_SKEW = {"ranges_per_region": 4, "clock_skew_s": 0}


def new_key(home: str = "noord") -> str:
    return f"{home}.{uuid6.uuid7()}"


def instance_of(replica: str) -> str:
    return replica.split("#")[0]


class TestLedgerFailures(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        shape = Shape(SHAPE, instances_per_domain=2, overrides={"ledger": NO_SKEW})
        self.cluster = await self.enterAsyncContext(Cluster(shape))
        await self.cluster.put_in_force()

    async def send(self, key: str, instance_id: str | None = None, **headers):
        return await self.cluster.send(
            "POST", "/signoff", instance_id, key=key, work=key, headers=headers
        )

    def key_beside(self, key: str) -> str:
        """A new key of the same slot."""
        while True:
            candidate = new_key()
            if self.cluster.place(candidate).slot == self.cluster.place(key).slot:
                return candidate

    async def other_than(self, *replicas: str) -> str:
        ids = {instance_of(replica) for replica in replicas}
        return next(item.id for item in self.cluster.running() if item.id not in ids)

    async def send_until_answered(self, key: str, instance_id: str):
        async def is_answered():
            answer = await self.send(key, instance_id)
            return answer if answer.status == 200 else None

        return await self.cluster.wait_for(is_answered)

    async def test_resend_after_primary_was_killed_meets_the_stored_answer(self):
        key = new_key()
        view = await self.cluster.view(key)
        entry = await self.other_than(view.primary, view.backup)
        first = await self.send(key, entry)
        self.assertEqual(200, first.status)

        self.cluster.kill(instance_of(view.primary))
        again = await self.send_until_answered(key, entry)

        self.assertEqual(first.document, again.document)
        self.assertEqual(1, await self.cluster.runs(key))

    async def test_frozen_primary_grants_nothing_after_it_thaws(self):
        used = new_key()
        fresh = self.key_beside(used)
        view = await self.cluster.view(used)
        frozen = instance_of(view.primary)
        entry = await self.other_than(view.primary, view.backup)
        self.cluster.signal(frozen, signal.SIGSTOP)
        await self.cluster.wait_new_view(used, view)
        answer = await self.send_until_answered(used, entry)
        self.assertEqual(used, answer.document["work"])

        self.cluster.signal(frozen, signal.SIGCONT)
        burst = [self.send(key, frozen) for key in (used, fresh) for _ in range(3)]
        await asyncio.gather(*burst)

        self.assertEqual(1, await self.cluster.runs(used))
        self.assertLessEqual(await self.cluster.runs(fresh), 1)

    async def test_keys_older_than_a_lost_history_are_never_run(self):
        key = new_key()
        unused = self.key_beside(key)
        view = await self.cluster.view(key)
        entry = await self.other_than(view.primary, view.backup)
        self.assertEqual(200, (await self.send(key, entry)).status)

        self.cluster.kill(instance_of(view.primary))
        self.cluster.kill(instance_of(view.backup))

        async def is_judged():
            answer = await self.send(key, entry)
            return answer if answer.document.get("reason") == "history-lost" else None

        answer = await self.cluster.wait_for(is_judged)
        self.assertEqual("unknown", answer.outcome)
        unused_answer = await self.send(unused, entry)
        self.assertEqual("unknown", unused_answer.outcome)
        self.assertEqual(1, await self.cluster.runs(key))
        newer = self.key_beside(key)
        await self.send_until_answered(newer, entry)
        self.assertEqual(1, await self.cluster.runs(newer))

    async def test_store_outage_keeps_grants_but_not_takeovers(self):
        key = new_key()
        view = await self.cluster.view(key)
        await self.cluster.set_faults(is_down=True)
        self.assertEqual(200, (await self.send(key)).status)

        entry = await self.other_than(view.primary, view.backup)
        self.cluster.kill(instance_of(view.primary))
        resent = await self.send(key, entry)
        self.assertEqual("ledger-unavailable", resent.document["reason"])
        self.assertEqual("unknown", resent.outcome)
        first = await self.send(key, entry, **{"Idempotency-Attempt": "1"})
        self.assertEqual("not-run", first.outcome)

        await self.cluster.set_faults(is_down=False)
        await self.send_until_answered(key, entry)
        self.assertEqual(1, await self.cluster.runs(key))

    async def test_resends_at_once_through_every_instance_run_once(self):
        keys = [new_key(home) for home in SHAPE for _ in range(5)]
        sends = [self.send(key, item.id) for key in keys for item in self.cluster.running()]
        answers = await asyncio.gather(*sends)
        self.assertEqual([], [answer for answer in answers if answer.outcome == "not-run"])
        for key in keys:
            self.assertEqual(1, await self.cluster.runs(key))

    async def test_entry_killed_in_mid_request_leaves_a_truthful_unknown(self):
        key = new_key()
        view = await self.cluster.view(key)
        entry = await self.other_than(view.primary, view.backup)
        for backend in self.cluster.backends:
            await self.cluster.control(backend["id"], service_s=5.0)
        sending = asyncio.create_task(self.send(key, entry))
        await self.cluster.wait_for(lambda: self.cluster.runs(key))
        self.cluster.kill(entry)
        self.assertEqual(0, (await sending).status)

        other = await self.other_than(view.primary, view.backup)
        answer = await self.send(key, other)
        self.assertEqual("unknown", answer.outcome)
        self.assertEqual(1, await self.cluster.runs(key))
