"""Reports of other operators: repeated refusals, heads cut short, late work at a stop."""

import asyncio
import time
from dataclasses import replace

from .support.platform import Caller, Seen, configuration, refusal, sealed
from .test_entry import PlatformCase

STOP_S = 3.0
"""Grace time of a planned stop in these tests."""


class TestRepeatedRefusal(PlatformCase):
    """A faulty server writes an earlier refusal once more on a connection that is kept open."""

    async def test_request_sent_again_is_not_taken_for_refused_by_a_copy_of_its_refusal(self):
        ran: list[str] = []

        def repeating() -> object:
            refused_by_writer: dict[asyncio.StreamWriter, bytes] = {}
            asked: list[str] = []

            async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
                asked.append(seen.id)
                if asked.count(seen.id) == 1:
                    refused_by_writer[writer] = refusal(seen, load="0,0,3")
                    writer.write(refused_by_writer[writer])
                    return
                ran.append(seen.id)
                writer.write(refused_by_writer.get(writer, b""))
                await asyncio.sleep(0.05)
                writer.write(sealed(seen))

            return behave

        for _ in range(2):
            await self.platform.add_server(behave=repeating())
        instance = await self.platform.ready_instance()
        for number in range(6):
            reply = await self.platform.ask(
                instance, f"/signoff/{number}", id=f"w{number}", method="POST", body=b"x"
            )
            self.assertEqual(200, reply.status)
        self.assertEqual(len(set(ran)), len(ran))

    async def test_copy_of_another_requests_refusal_is_passed_over(self):
        earlier_by_writer: dict[asyncio.StreamWriter, Seen] = {}
        ran: list[str] = []

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            earlier = earlier_by_writer.get(writer)
            earlier_by_writer[writer] = seen
            if earlier is None:
                writer.write(refusal(seen, load="0,0,3"))
                return
            ran.append(seen.id)
            writer.write(refusal(earlier))
            without_id = refusal(earlier).replace(f"Attempt-Id: {earlier.id}\r\n".encode(), b"")
            writer.write(without_id)
            await asyncio.sleep(0.02)
            writer.write(sealed(seen))

        await self.platform.add_server(behave=behave)
        instance = await self.platform.ready_instance()
        replies = [
            await self.platform.ask(
                instance, f"/signoff/{number}", id=f"w{number}", method="POST", body=b"x"
            )
            for number in range(4)
        ]
        self.assertTrue(ran)
        statuses = {f"w{number}": reply.status for number, reply in enumerate(replies)}
        self.assertEqual([200] * len(ran), [statuses[id] for id in ran])


class TestHeadCutShort(PlatformCase):
    """A server stops in the middle of the head of its answer and closes the connection."""

    async def ask_server_that_cuts(self, share: float, before: bytes = b"") -> tuple[int, bytes]:
        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            head, _, _ = sealed(seen, b"x" * 500).partition(b"\r\n\r\n")
            head += b"\r\n"
            writer.write(before + head[: int(len(head) * share)])
            await writer.drain()
            writer.close()

        server = await self.platform.add_server(behave=behave)
        servers = self.instance.shared.servers
        await self.platform.wait(lambda: server.id in servers.server_by_id, "the server is listed")
        reply = await self.platform.ask(self.instance, "/signoff/1", method="POST", body=b"x")
        self.assertEqual(1, len(server.seen))
        self.platform.store.drop("servers", server.id)
        await self.platform.wait(lambda: not servers.server_by_id, "the server is gone")
        return reply.status, reply.body

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instance = await self.platform.ready_instance()

    async def test_answer_cut_in_its_head_is_no_success_wherever_the_cut_is(self):
        for tenths in range(1, 11):
            status, _ = await self.ask_server_that_cuts(tenths / 10)
            self.assertEqual(502, status, tenths)

    async def test_answer_cut_in_the_head_that_follows_an_interim_response_is_no_success(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        self.assertEqual(502, (await self.ask_server_that_cuts(0.8, interim))[0])

    async def test_answer_cut_in_the_head_that_follows_a_skipped_response_is_no_success(self):
        foreign = sealed(Seen("other", "GET", "/", {}, b""))
        self.assertEqual(502, (await self.ask_server_that_cuts(0.8, foreign))[0])


class TestLateWorkAtAStop(PlatformCase):
    """Requests that come late in the grace time of a planned stop, while all is calm."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.server = await self.platform.add_server(run_s=1.5, slots=20)
        long = {"timeout_ms": 9000, "target_latency_ms": 5000}
        routes = {name: long for name in ("lookup", "signoff", "scan")}
        patience = {"limits": {"idle_timeout_ms": 9000}}
        self.platform.store.put("config", "main", configuration(4, **routes, **patience))
        self.instance = await self.platform.ready_instance()
        await self.platform.wait(lambda: self.instance.shared.routes.version == 4, "version 4")
        settings = self.instance.settings
        self.instance.reload(replace(settings, bounds=replace(settings.bounds, stop_s=STOP_S)))

    async def stop_and_wait(self, seconds: float) -> None:
        self.instance.request_stop()
        await asyncio.sleep(seconds)

    def arrived(self) -> set[str]:
        return {seen.id for seen in self.server.seen}

    async def test_upload_whose_body_ends_late_is_refused_and_not_passed_on(self):
        caller = await Caller.connect(self.instance.settings.caller_listener)
        head = (
            "POST /scan/1 HTTP/1.1\r\nHost: papaya.example\r\nAttempt-Id: late\r\n"
            "Deadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nbo"
        )
        caller.writer.write(head.encode())
        await asyncio.sleep(0.1)
        await self.stop_and_wait(0.75 * STOP_S)
        caller.writer.write(b"dy")
        began = time.monotonic()
        reply = await caller.read()
        self.assertEqual((503, "close"), (reply.status, reply.headers.get("connection")))
        self.assertLess(time.monotonic() - began, 0.3)
        self.assertNotIn("late", self.arrived())

    async def test_requests_pipelined_late_are_not_passed_on(self):
        caller = await Caller.connect(self.instance.settings.caller_listener)
        self.server.run_s = 2.3
        caller.send("/lookup/1", "first", key="1")
        await asyncio.sleep(0.1)
        await self.stop_and_wait(0.6 * STOP_S)
        caller.send("/lookup/2", "second", key="2")
        statuses = [(await caller.read()).status for _ in range(2)]
        self.assertEqual([200, 503], statuses)
        self.assertNotIn("second", self.arrived())

    async def test_request_that_outlasts_the_grace_gets_an_answer(self):
        self.server.run_s = 20.0
        slow = await Caller.connect(self.instance.settings.caller_listener)
        slow.send("/signoff/1", "slow", method="POST", body=b"x", deadline_ms=9000)
        await asyncio.sleep(0.1)
        self.instance.request_stop()
        reply = await slow.read()
        self.assertEqual(504, reply.status)

    async def test_request_that_still_waits_for_a_server_is_refused_as_not_run(self):
        self.server.run_s, entry = 20.0, self.server.entry(max_concurrency=1)
        self.platform.store.put("servers", self.server.id, entry)
        listed = self.instance.shared.servers.server_by_id
        await self.platform.wait(lambda: listed[self.server.id].entry.slots == 1, "one slot")
        callers = [await Caller.connect(self.instance.settings.caller_listener) for _ in range(4)]
        for number, caller in enumerate(callers):
            caller.send("/signoff/1", f"s{number}", method="POST", body=b"x", deadline_ms=30_000)
        await asyncio.sleep(0.2)
        self.instance.request_stop()
        statuses = {f"s{number}": (await item.read()).status for number, item in enumerate(callers)}
        arrived = self.arrived()
        for name, status in statuses.items():
            self.assertEqual(504 if name in arrived else 503, status)
        self.assertIn(503, statuses.values())

    async def test_request_that_waits_too_long_for_a_server_is_not_passed_on_late(self):
        self.server.run_s, entry = 2.2, self.server.entry(max_concurrency=1)
        self.platform.store.put("servers", self.server.id, entry)
        listed = self.instance.shared.servers.server_by_id
        await self.platform.wait(lambda: listed[self.server.id].entry.slots == 1, "one slot")
        callers = [await Caller.connect(self.instance.settings.caller_listener) for _ in range(4)]
        for number, caller in enumerate(callers):
            caller.send("/signoff/1", f"s{number}", method="POST", body=b"x", deadline_ms=30_000)
        await asyncio.sleep(0.2)
        sent_in_time = self.arrived()
        self.instance.request_stop()
        statuses = {f"s{number}": (await item.read()).status for number, item in enumerate(callers)}
        self.assertEqual(sent_in_time, self.arrived())
        for name, status in statuses.items():
            self.assertEqual(200 if name in sent_in_time else 503, status)

    async def test_request_that_fails_late_is_not_repeated(self):
        async def fail(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(2.0)
            writer.write(sealed(seen, b"failed", "500 Internal Server Error"))

        short = {"target_latency_ms": 600, "timeout_ms": 9000}
        self.platform.store.put("config", "main", configuration(5, lookup=short))
        await self.platform.wait(lambda: self.instance.shared.routes.version == 5, "version 5")
        await self.platform.add_server(behave=fail, slots=20)
        self.server.behave = fail
        servers = self.instance.shared.servers.server_by_id
        await self.platform.wait(lambda: len(servers) == 2, "two servers")
        caller = await Caller.connect(self.instance.settings.caller_listener)
        caller.send("/lookup/1", "failing", key="1", deadline_ms=9000)
        await asyncio.sleep(0.1)
        self.instance.request_stop()
        self.assertEqual(500, (await caller.read()).status)
        arrived = [seen.id for item in self.platform.server_by_id.values() for seen in item.seen]
        self.assertEqual(["failing"], arrived)
