"""Servers that name a limit get no more from all instances, whatever happens to these."""

import asyncio
import itertools
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from unittest.mock import patch

import logbook

from papayalever.cluster.exceptions import PeerTimeoutError, PeerUnreachableError
from papayalever.cluster.links import LinkPool
from papayalever.entry.instance import EntryInstance
from papayalever.routing.permits import PermitScheduler
from papayalever.routing.server_limits import REORDER_S

from .support.limits import LimitCheck
from .support.platform import Caller, FakeServer, Platform, Reply, Seen, refusal, sealed
from .support.virtual import VirtualFleet, regions_of_schakelboek, run_virtually

OBJECTS = 40
SEED = 25


@dataclass
class Load:
    """Callers that send requests at a fixed rate to instances, and the answers they got."""

    platform: Platform
    check: LimitCheck
    per_s: float
    choose: Callable[[Random], EntryInstance]
    kinds: tuple[str, ...] = ("lookup", "lookup", "signoff")
    replies: list[Reply] = field(default_factory=list)
    _rng: Random = field(default_factory=lambda: Random(SEED))
    _ids: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                group.create_task(self.send_one(self.choose(self._rng)))
                await asyncio.sleep(self._rng.expovariate(self.per_s))

    async def send_one(self, instance: EntryInstance) -> None:
        kind, key = self._rng.choice(self.kinds), str(self._rng.randrange(OBJECTS))
        name = instance.settings.instance
        try:
            caller = await Caller.connect(instance.settings.caller_listener)
        except ConnectionError:
            return
        method = "GET" if kind in ("lookup", "recording") else "POST"
        request_id = f"{id(self)}-{next(self._ids)}"
        caller.send(f"/{kind}/{key}", request_id, method=method, key=key, entry_name=name)
        started = time.monotonic()
        reply = await caller.read()
        reply.id, reply.took_s = request_id, time.monotonic() - started
        caller.close()
        self.check.note_reply(name, reply.headers, time.monotonic())
        self.replies.append(reply)


class LimitCase(unittest.IsolatedAsyncioTestCase):
    """Six instances in three failure domains and servers that name limits."""

    async def asyncSetUp(self) -> None:
        self.enterContext(logbook.NullHandler().applicationbound())
        self.platform = await self.enterAsyncContext(Platform())
        self.check = LimitCheck()
        self.instances: list[EntryInstance] = []

    async def add_instances(self, *domains: str) -> None:
        self.instances += [await self.platform.add_instance(domain) for domain in domains]
        await self.platform.wait(
            lambda: all(item.is_ready for item in self.instances), "the instances are ready"
        )
        await self.platform.wait(
            lambda: all(item.shared.instances >= len(self.instances) for item in self.instances),
            "the instances know each other",
        )

    async def add_server(self, domain: str, limit: str = "", **fields) -> FakeServer:
        return await self.platform.add_server(domain, limit=limit, run_s=0.05, **fields)

    def load(self, per_s: float, **fields) -> Load:
        return Load(
            self.platform, self.check, per_s, lambda rng: rng.choice(self.instances), **fields
        )

    def find_owner(self, server: FakeServer) -> EntryInstance:
        entry = self.instances[0].shared.servers.server_by_id[server.id].entry
        owner = self.instances[0].permit_broker._owners.find(entry, time.monotonic())
        return self.platform.instance_by_name[owner.name]

    def assert_kept(self) -> None:
        self.assertEqual([], self.check.find(self.platform.server_by_id.values())[:3])

    def assert_truthful(self, load: Load) -> None:
        """What was refused as not run has reached no server."""
        arrived = {seen.id for item in self.platform.server_by_id.values() for seen in item.seen}
        refused = {reply.id for reply in load.replies if reply.status == 503}
        self.assertEqual(set(), arrived & refused)


class TestServerLimit(LimitCase):
    async def test_server_gets_no_more_than_its_limit_from_all_instances(self):
        """Incident LIMIT: limits were not read, and 22 instances sent what they had before."""
        for limit, domain in {"2.2": "noord-a", "0.4": "noord-a", "1.6": "midden-a"}.items():
            await self.add_server(domain, limit)
        await self.add_server("noord-b")
        await self.add_instances("noord-a", "noord-a", "noord-b", "noord-b", "midden-a", "midden-a")
        load = self.load(60.0)
        await load.run(9.0)
        self.assert_kept()
        self.assert_truthful(load)

    async def test_work_beyond_the_limit_goes_to_other_servers(self):
        limited = await self.add_server("noord-a", "1")
        others = [await self.add_server(domain) for domain in ("noord-a", "noord-b")]
        for server in others:
            # Busy enough that no fallback server has spare capacity most of the time.
            server.run_s = 0.1
        await self.add_instances("noord-a", "noord-b")
        load = self.load(40.0)
        await load.run(6.0)
        self.assert_kept()
        served = sum(reply.status == 200 for reply in load.replies)
        self.assertGreater(served, 0.98 * len(load.replies))
        # The limit itself is used: it allows 6, less what its first second leaves unused.
        self.assertGreaterEqual(len(limited.seen), 4)

    async def test_work_beyond_the_limits_of_most_servers_goes_to_the_others(self):
        for number in range(12):
            await self.add_server(("noord-a", "noord-b")[number % 2], "0.3")
        for domain in ("noord-a", "noord-b"):
            await self.add_server(domain, slots=12)
        await self.add_instances("noord-a", "noord-b")
        load = self.load(30.0)
        await load.run(8.0)
        self.assert_kept()
        served = sum(reply.status == 200 for reply in load.replies)
        self.assertGreater(served, 0.98 * len(load.replies))

    async def test_instances_of_another_region_do_not_send_ahead_of_the_decision(self):
        await self.add_server("noord-a", "0.5")
        await self.add_server("noord-b")
        await self.add_instances("noord-a", *["midden-a"] * 6)
        load = self.load(50.0)
        await load.run(8.0)
        self.assert_kept()

    async def test_request_without_room_anywhere_is_refused_at_once(self):
        await self.add_server("noord-a", "0.2")
        await self.add_instances("noord-a")
        load = self.load(20.0)
        await load.run(5.0)
        self.assert_kept()
        self.assert_truthful(load)
        refused = [reply for reply in load.replies if reply.status == 503]
        self.assertGreater(len(refused), 80)
        self.assertLess(max(reply.took_s for reply in refused), 0.3)
        self.assertTrue(all(float(reply.headers["retry-after"]) > 0 for reply in refused))

    async def test_request_for_a_server_that_takes_nothing_is_answered_by_its_second_owner(self):
        await self.add_server("noord-a", "0")
        await self.add_instances("noord-a", "noord-a", "noord-a")
        await self.load(20.0).run(1.0)
        for owner in self.instances[:2]:
            await self.platform.kill(owner.settings.instance)
        self.instances = self.instances[2:]
        load = self.load(20.0)
        await load.run(2.0)
        self.assertEqual({503}, {reply.status for reply in load.replies})
        self.assert_truthful(load)

    async def test_limit_that_appears_changes_and_ends_is_followed(self):
        server = await self.add_server("noord-a")
        await self.add_server("midden-a")
        await self.add_instances("noord-a", "noord-b", "midden-a")
        load = self.load(40.0)
        running = asyncio.create_task(load.run(18.0))
        for limit in ("4", "0.8", ""):
            await asyncio.sleep(2.0 if limit == "4" else 4.5)
            server.limit = limit
        # At 0.8 a second the first response without a limit comes up to 4 s later.
        ended_at = time.monotonic() + 4.0
        await running
        self.assert_kept()
        after = [seen for seen in server.seen if seen.at > ended_at]
        self.assertGreater(len(after), 12)

    async def test_limit_that_a_server_names_by_turns_holds_from_its_first_answer_on(self):
        server = await self.add_server("noord-a", "0.4")
        server.run_s = 0.3
        await self.add_server("midden-a")
        await self.add_instances("noord-a", "noord-b", "midden-a", "midden-a")
        load = self.load(60.0)
        running = asyncio.create_task(load.run(18.0))
        for limit in ("", "0.4", ""):
            await asyncio.sleep(4.5)
            server.limit = limit
        await running
        self.assert_kept()
        self.assertEqual(4, len(server.limit_changes))

    async def test_response_whose_body_takes_long_does_not_end_a_limit_named_meanwhile(self):
        server = await self.add_server("noord-a")
        await self.add_instances("noord-a")
        (instance,) = self.instances
        answered = asyncio.Event()

        async def answer_slowly(seen: Seen, writer: asyncio.StreamWriter) -> None:
            answer = sealed(seen, bytes(100), extra=server.name_limit())
            writer.write(answer[:-50])
            if seen.target == "/recording/1":
                await answered.wait()
            writer.write(answer[-50:])

        server.behave = answer_slowly
        slow = asyncio.create_task(self.platform.ask(instance, "/recording/1", key="1", id="slow"))
        await self.platform.wait(lambda: server.seen, "the slow request runs")
        server.limit = "0.5"
        await self.platform.ask(instance, "/lookup/1", key="1")
        await asyncio.sleep(1.5 * REORDER_S)
        answered.set()
        self.assertEqual(200, (await slow).status)
        entry = instance.shared.servers.server_by_id[server.id].entry
        self.assertEqual(0.5, instance.shared.limits.find(entry))

    async def test_unexpected_error_does_not_end_the_decisions_about_waiting_requests(self):
        await self.add_server("noord-a", "4")
        await self.add_instances("noord-a")
        (instance,) = self.instances
        await self.platform.ask(instance, "/lookup/1", key="1")
        scheduler, errors = PermitScheduler, [RuntimeError("once")]
        original = scheduler.decide_queued

        def decide_queued(self: PermitScheduler, now: float) -> list:
            if errors:
                raise errors.pop()
            return original(self, now)

        self.enterContext(patch.object(scheduler, "decide_queued", decide_queued))
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await asyncio.sleep(0.1)
        replies = [
            await self.platform.ask(instance, "/lookup/1", id=f"w{number}", key="1")
            for number in range(2)
        ]
        self.assertEqual([], errors)
        self.assertEqual([200, 200], [reply.status for reply in replies])

    async def test_repeats_of_failed_requests_keep_the_limit_of_other_servers(self):
        limited = [await self.add_server("noord-a", limit) for limit in ("1.5", "0.5")]

        async def fail(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, b"failed", "500 Internal Server Error"))

        await self.add_server("noord-b", behave=fail)
        await self.add_instances("noord-a", "noord-b", "midden-a")
        load = self.load(40.0, kinds=("lookup",))
        await load.run(8.0)
        self.assert_kept()
        self.assertTrue(all(item.seen for item in limited))

    async def test_server_that_fails_or_refuses_everything_gets_no_probes_beyond_its_limit(self):
        failing = await self.add_server("noord-a", "0.5")
        refusing = await self.add_server("noord-b", "0.5")

        async def fail(seen: Seen, writer: asyncio.StreamWriter) -> None:
            limit = failing.name_limit()
            writer.write(sealed(seen, b"failed", "500 Internal Server Error", limit))

        async def refuse(seen: Seen, writer: asyncio.StreamWriter) -> None:
            head = refusal(seen, load="0,0,3")[: -len(b"\r\n")]
            writer.write(head + refusing.name_limit().encode() + b"\r\n")

        failing.behave, refusing.behave = fail, refuse
        await self.add_instances("noord-a", "noord-b", "midden-a")
        load = self.load(40.0)
        await load.run(8.0)
        self.assert_kept()
        ran = {seen.id for seen in failing.seen}
        self.assertFalse(ran & {reply.id for reply in load.replies if reply.status == 503})


class TestLimitWithoutOwner(LimitCase):
    """Instances lose the owner of a limited server, or each other."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.server = await self.add_server("noord-a", "1.2")
        await self.add_server("midden-a")
        await self.add_instances("noord-a", "noord-a", "noord-b", "noord-b", "midden-a", "midden-a")

    async def test_limit_holds_while_its_owners_are_killed_in_turn(self):
        load = self.load(50.0)
        running = asyncio.create_task(load.run(10.0))
        for _ in range(2):
            await asyncio.sleep(4.5)
            owner = self.find_owner(self.server)
            self.instances.remove(owner)
            await self.platform.kill(owner.settings.instance)
        killed_at = time.monotonic()
        await running
        self.assert_kept()
        await self.load(50.0).run(6.0)
        self.assert_kept()
        self.assertTrue([seen for seen in self.server.seen if seen.at > killed_at])

    def cut_instances(self) -> None:
        async def request(address, message, timeout_s):
            raise PeerUnreachableError("cut")

        for instance in self.instances:
            self.enterContext(patch.object(instance._links, "request", request))

    async def test_limit_holds_while_no_instance_reaches_another(self):
        load = self.load(60.0)
        await load.run(3.0)
        self.cut_instances()
        await load.run(8.0)
        self.assert_kept()
        self.assert_truthful(load)

    async def test_limits_hold_while_instances_fall_into_groups_that_do_not_reach_each_other(self):
        fast = await self.add_server("noord-b", "6", slots=12)
        rng = Random(SEED)
        group_by_address: dict[str, int] = {}

        def separate(instance: EntryInstance) -> None:
            original = instance._links.request

            async def request(address, message, timeout_s):
                own = instance._tree.own.peer_address
                if group_by_address.get(own) != group_by_address.get(address):
                    raise PeerUnreachableError("cut")
                return await original(address, message, timeout_s)

            self.enterContext(patch.object(instance._links, "request", request))

        for instance in self.instances:
            separate(instance)
        load = self.load(100.0)
        running = asyncio.create_task(load.run(20.0))
        await asyncio.sleep(4.0)
        for groups, seconds in ((3, 8.0), (1, 1.0), (2, 6.0)):
            numbers = [number % groups for number in range(len(self.instances))]
            rng.shuffle(numbers)
            for instance, number in zip(self.instances, numbers, strict=True):
                group_by_address[instance._tree.own.peer_address] = number
            await asyncio.sleep(seconds)
        await running
        self.assert_kept()
        self.assert_truthful(load)
        self.assertTrue(fast.seen)

    async def test_cold_server_gets_its_rate_while_no_instance_reaches_another(self):
        cold = await self.add_server("noord-b")
        entry = cold.entry(warmup_left_ms=20_000)
        self.platform.store.put("servers", cold.id, entry)
        await self.platform.wait(
            lambda: all(
                cold.id in item.shared.servers.server_by_id
                and item.shared.servers.server_by_id[cold.id].is_cold(time.monotonic())
                for item in self.instances
            ),
            "the server is cold",
        )
        self.cut_instances()
        await self.load(90.0).run(5.0)
        arrived_at = [seen.at for seen in cold.seen]
        most = max(sum(end - 1.0 < at <= end for at in arrived_at) for end in arrived_at)
        # The rule: 1.5 times the rate of the configuration, which is 2.6 a second, and 5 more.
        self.assertLessEqual(most, 1.5 * 2.6 + 5)

    async def test_limit_holds_while_replies_of_its_owners_are_late(self):
        load = self.load(60.0)
        await load.run(3.0)
        for instance in self.instances:
            self.enterContext(patch.object(instance._links, "request", delay(instance._links)))
        await load.run(8.0)
        self.assert_kept()

    async def test_limit_holds_while_its_owner_has_no_state(self):
        load = self.load(60.0)
        await load.run(3.0)
        owner = self.find_owner(self.server)
        owner.shared.servers.server_by_id.clear()
        self.instances.remove(owner)
        await load.run(6.0)
        self.assert_kept()
        self.assert_truthful(load)

    async def test_owner_that_starts_again_is_told_the_limit_by_the_others(self):
        load = self.load(60.0)
        await load.run(3.0)
        owner = self.find_owner(self.server)
        owner.shared.limits._report_by_run.clear()
        self.check.forget(owner.settings.instance)
        await load.run(8.0)
        self.assert_kept()


class TestFleetOfLimitedServers(unittest.TestCase):
    """22 instances and 20 servers in three regions, in virtual time."""

    def play(self, limited: int) -> VirtualFleet:
        async def play_in_loop() -> VirtualFleet:
            fleet = VirtualFleet(22, 20, SEED)
            running = asyncio.create_task(fleet.call(107.0, 45.0, 200))
            await asyncio.sleep(15.0)
            for server in fleet.servers[:limited]:
                server.limit = "2"
            await asyncio.sleep(20.0)
            for server in fleet.servers:
                server.limit = ""
            await running
            return fleet

        with logbook.NullHandler().applicationbound(), regions_of_schakelboek():
            fleet = run_virtually(play_in_loop())
        self.assertEqual([], fleet.check.find(fleet.servers)[:3])
        return fleet

    def test_few_limited_servers_cost_no_request_and_get_their_work_back(self):
        fleet = self.play(2)
        replies = [reply for reply in fleet.replies if reply.sent_at > 5.0]
        served = sum(reply.status == 200 for reply in replies)
        self.assertGreater(served, 0.99 * len(replies))
        for server in fleet.servers[:2]:
            after = sum(seen.at > 40.0 for seen in server.seen)
            self.assertGreater(after, 2 * 2.0 * 5.0)

    def test_limits_of_all_servers_are_used_for_requests_that_are_in_time(self):
        fleet = self.play(20)
        replies = [reply for reply in fleet.replies if 20.0 < reply.sent_at < 35.0]
        served = [reply for reply in replies if reply.status == 200]
        allowed = 20 * 2.0 * 15.0
        self.assertGreater(len(served), 0.9 * allowed)
        in_time = sum(reply.took_s <= 0.55 for reply in served)
        self.assertGreater(in_time, 0.4 * allowed)

    def test_limits_hold_while_instances_fall_into_groups(self):
        async def play(seed: int) -> VirtualFleet:
            fleet = VirtualFleet(22, 12, seed)
            for number, server in enumerate(fleet.servers[:9]):
                server.limit = ("0.3", "1.7", "6")[number % 3]
            running = asyncio.create_task(fleet.call(90.0, 60.0, 100))
            for groups in (1, 5, 2, 22, 1, 3, 8):
                fleet.separate(groups)
                await asyncio.sleep(fleet.rng.uniform(4.0, 10.0))
            await running
            return fleet

        for seed in range(2):
            with self.subTest(seed=seed), logbook.NullHandler().applicationbound():
                with regions_of_schakelboek():
                    fleet = run_virtually(play(seed))
                self.assertEqual([], fleet.check.find(fleet.servers)[:3])


def delay(links: LinkPool) -> Callable:
    """Requests whose replies come late half of the time."""
    original, rng = links.request, Random(SEED)

    async def request(address, message, timeout_s):
        reply = await original(address, message, timeout_s)
        if rng.random() < 0.5:
            await asyncio.sleep(timeout_s)
            raise PeerTimeoutError("late")
        return reply

    return request
