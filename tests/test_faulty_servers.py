"""Backend servers that fail in ways their health answers do not show, against whole instances."""

import asyncio

from .support.platform import FakeServer, Seen, configuration, refusal, sealed
from .test_entry import PlatformCase

REQUESTS = 40
"""Enough that half of them prefer the faulty one of two servers."""
RESTED_S = 0.3
"""Idle time after which the forgetful server of these tests resets a connection."""
CALLER_PATIENCE_MS = 1500


async def fail(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed(seen, b"failed", "500 Internal Server Error"))


async def hang(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(30)


async def cut(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def forgetful() -> tuple[list[str], object]:
    """Behaviour that resets the next request on a connection that rested, and what it reset."""
    used_at: dict[asyncio.StreamWriter, float] = {}
    reset: list[str] = []

    async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
        at = asyncio.get_running_loop().time()
        if writer in used_at and at - used_at[writer] > RESTED_S:
            reset.append(seen.id)
            writer.transport.abort()
            return
        used_at[writer] = at
        writer.write(sealed(seen))

    return reset, behave


def shedding(load: str) -> tuple[list[str], object]:
    """Behaviour that refuses every second request, and the ids of those that ran."""
    asked: list[str] = []
    ran: list[str] = []

    async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
        asked.append(seen.id)
        if len(asked) % 2:
            writer.write(refusal(seen, load=load))
            return
        ran.append(seen.id)
        writer.write(sealed(seen))

    return ran, behave


class TestServersThatRefuseWithRoom(PlatformCase):
    """Every server refuses half of the requests although it is idle and has the object."""

    async def run_requests(self, load: str) -> list[int]:
        """Returns how many different servers ran the requests for each object."""
        ran_by_server = []
        for _ in range(4):
            ran, behave = shedding(load)
            ran_by_server.append(ran)
            await self.platform.add_server(behave=behave)
        instance = await self.platform.ready_instance()
        for turn in range(4):
            for number in range(6):
                reply = await self.platform.ask(
                    instance, f"/signoff/{number}", id=f"o{number}-{turn}", key=f"o{number}",
                    method="POST", body=b"x",
                )  # fmt: skip
                self.assertEqual(200, reply.status)
        return [
            sum(any(item.startswith(f"o{number}-") for item in ran) for ran in ran_by_server)
            for number in range(6)
        ]

    async def test_request_goes_again_to_the_server_that_has_its_object(self):
        self.assertEqual([1] * 6, await self.run_requests("0,0,3"))

    async def test_server_that_is_full_is_left(self):
        async def refuse(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(refusal(seen, load="3,9,3"))

        full = await self.platform.add_server(behave=refuse)
        await self.platform.add_server()
        instance = await self.platform.ready_instance()
        for number in range(12):
            reply = await self.platform.ask(
                instance, f"/signoff/{number}", key=f"o{number}", method="POST", body=b"x"
            )
            self.assertEqual(200, reply.status)
        self.assertTrue(full.seen)

    async def test_caller_is_told_to_come_back_at_once(self):
        async def refuse(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(refusal(seen, load="0,0,3"))

        await self.platform.add_server(behave=refuse)
        instance = await self.platform.ready_instance()
        reply = await self.platform.ask(instance, "/lookup/1")
        self.assertEqual(503, reply.status)
        self.assertLessEqual(float(reply.headers["retry-after"]), 0.1)


class TestUnhealthyServers(PlatformCase):
    async def count_sends(self, faulty: FakeServer, method: str) -> int:
        instance = await self.platform.ready_instance()
        for number in range(REQUESTS):
            await self.platform.ask(instance, f"/signoff/{number}", method=method, key=f"o{number}")
        return len(faulty.seen)

    async def test_server_that_fails_all_it_runs_gets_little(self):
        faulty = await self.platform.add_server(behave=fail)
        await self.platform.add_server()
        # Three failures show it; from then on one request tries it now and then.
        self.assertLessEqual(await self.count_sends(faulty, "POST"), 5)

    async def test_server_that_never_answers_gets_little(self):
        faulty = await self.platform.add_server(behave=hang)
        healthy = await self.platform.add_server()
        instance = await self.platform.ready_instance()
        asks = (
            self.platform.ask(instance, f"/lookup/{number}", key=f"o{number}")
            for number in range(REQUESTS)
        )
        await asyncio.gather(*asks)
        before = len(faulty.seen)
        for number in range(REQUESTS):
            await self.platform.ask(instance, f"/lookup/{number}", key=f"o{number}")
        # One request at a time tries it, and each of them waits for the route's limit of 2 s.
        self.assertLessEqual(len(faulty.seen) - before, 2)
        self.assertGreater(len(healthy.seen), REQUESTS)

    async def test_failures_at_several_instances_add_up_at_the_owner(self):
        faulty = await self.platform.add_server(behave=fail)
        await self.platform.add_server()
        instances = [await self.platform.ready_instance() for _ in range(4)]
        await self.platform.wait(
            lambda: all(item.shared.instances == 4 for item in instances),
            "they know each other",
        )
        for number in range(REQUESTS):
            instance = instances[number % len(instances)]
            await self.platform.ask(instance, f"/signoff/{number}", method="POST", key=f"o{number}")
        self.assertLessEqual(len(faulty.seen), 6)

    async def test_server_that_recovers_gets_its_work_back(self):
        faulty = await self.platform.add_server(behave=fail)
        await self.platform.add_server()
        instance = await self.platform.ready_instance()
        for number in range(REQUESTS):
            await self.platform.ask(instance, f"/signoff/{number}", method="POST", key=f"o{number}")
        faulty.behave = None

        async def ask_until_back() -> None:
            before, number = len(faulty.seen), 0
            while len(faulty.seen) < before + 5:
                number += 1
                await self.platform.ask(instance, f"/lookup/{number}", key=f"o{number}")

        await asyncio.wait_for(ask_until_back(), 10)


class TestRepeats(PlatformCase):
    async def test_servers_own_failure_is_delivered_when_the_repeat_brings_nothing(self):
        async def fail_or_cut(seen: Seen, writer: asyncio.StreamWriter) -> None:
            sends.append(seen.id)
            await (fail if len(sends) == 1 else cut)(seen, writer)

        sends: list[str] = []
        await self.platform.add_server(behave=fail_or_cut)
        await self.platform.add_server(behave=fail_or_cut)
        instance = await self.platform.ready_instance()
        reply = await self.platform.ask(instance, "/lookup/1", id="r1")
        self.assertEqual(2, len(sends))
        self.assertEqual((500, b"failed"), (reply.status, reply.body))
        self.assertEqual("s.r1", reply.headers["response-seal"])


class TestIdleConnections(PlatformCase):
    async def test_server_that_forgets_connections_costs_few_requests_that_must_not_repeat(self):
        reset, behave = forgetful()
        await self.platform.add_server(behave=behave)
        instance = await self.platform.ready_instance()
        for number in range(8):
            await self.platform.ask(instance, f"/signoff/{number}", method="POST")
            await asyncio.sleep(RESTED_S * 1.5)
        self.assertEqual(1, len(reset))

    async def test_idle_connections_keep_to_the_share_of_the_servers_connections(self):
        document = configuration(4)
        for resource in document["resources"]:
            if resource["entry_kind"] == "services":
                resource["spec"]["max_connections"] = 4
        self.platform.store.put("config", "main", document)
        server = await self.platform.add_server(run_s=0.1)
        instance = await self.platform.ready_instance()
        await self.platform.wait(lambda: instance.shared.instances == 1, "it knows itself")
        asks = (self.platform.ask(instance, f"/lookup/{number}") for number in range(4))
        await asyncio.gather(*asks)
        self.assertEqual(4, server.connections)
        # Half of four connections are for all instances, and there is one.
        await self.platform.wait(lambda: len(server._writers) == 2, "the others are closed", 3.0)
