"""The whole path as separate processes: look up, send, understand a refusal."""

import unittest

from .support.cluster import Cluster, Shape

TWO_REGIONS = {"noord": ["noord-a", "noord-b"], "midden": ["midden-a", "midden-b"]}


class TestWholePath(unittest.IsolatedAsyncioTestCase):
    async def test_caller_looks_up_sends_and_resends(self):
        async with Cluster(Shape(TWO_REGIONS)) as cluster:
            await cluster.put_in_force()

            found = await cluster.lookup("noord-a-1", caller="127.2.0.9")
            self.assertEqual("midden", found["home"])
            self.assertEqual("midden", found["instances"][0]["region"])
            self.assertAlmostEqual(1.0, sum(item["weight"] for item in found["instances"]))

            answer = await cluster.send("GET", "/urgent/bay-7", work="w1")
            self.assertEqual((200, "w1"), (answer.status, answer.document["work"]))

            first = await cluster.send("POST", "/signoff", key="noord.order-0001", work="w2")
            again = await cluster.send(
                "POST", "/signoff", "midden-b-1", key="noord.order-0001", work="w2"
            )
            self.assertEqual((200, 200), (first.status, again.status))
            self.assertEqual(first.document, again.document)
            self.assertEqual("true", again.headers["Idempotency-Replayed"])
            self.assertEqual(1, await cluster.runs("w2"))

            reused = await cluster.send(
                "POST", "/signoff", key="noord.order-0001", work="w2", body=b"other"
            )
            self.assertEqual((422, "key-reused"), (reused.status, reused.document["reason"]))

    async def test_bad_input_is_refused_and_harms_nobody(self):
        async with Cluster(Shape({"noord": ["noord-a"]})) as cluster:
            await cluster.apply()
            await cluster.wait_for(lambda: cluster.all_at(1))

            cases = [
                ({"Host": "nobody.example"}, "unknown-host"),
                ({"Request-Timeout": "soon"}, "bad-deadline"),
                ({"Request-Timeout": "-1"}, "deadline-passed"),
                ({"Idempotency-Key": "a b"}, "bad-key"),
                ({"Idempotency-Key": "nowhere.order-0001"}, "bad-key"),
            ]
            for headers, reason in cases:
                answer = await cluster.send("POST", "/signoff", headers=headers)
                self.assertEqual((reason, "not-run"), (answer.document["reason"], answer.outcome))
            answer = await cluster.send("GET", "/-/nothing")
            self.assertEqual((404, "unknown-path"), (answer.status, answer.document["reason"]))

            answer = await cluster.send(
                "GET",
                "/normal",
                headers={"Connection": "X-Secret", "X-Secret": "1", "X-Papayalever-Me": "1"},
            )
            self.assertEqual(200, answer.status)
            self.assertNotIn("x-secret", answer.document["forwarded"])
            self.assertNotIn("x-papayalever-me", answer.document["forwarded"])
