"""Servers that name a limit of requests per second: what is read, logged and sent."""

import io
import itertools
import json
import os
import tempfile
import unittest
from pathlib import Path
from random import Random

from papayalever.cluster.messages import PermitState
from papayalever.context import Environment
from papayalever.core import main
from papayalever.entry.logs import JsonLogHandler
from papayalever.routing.permits import PermitDecision, PermitScheduler
from papayalever.routing.rate_limiter import PROBE_INTERVAL_S, RateLimiter, compute_share
from papayalever.routing.server_limits import FORGET_S, REORDER_S, LimitReport, ServerLimits
from papayalever.routing.server_queue import PermitRequest
from papayalever.routing.servers import Server
from papayalever.status import ExitStatus

from .support.limits import OVER, SLACK, WINDOW_S
from .support.platform import Platform
from .test_decisions import server_entry

SEED = 25


class TestLimitReports(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = ServerLimits()
        self.server = server_entry(1)

    def note(self, per_s: float | None, seen_at: float) -> bool:
        return self.limits.note(self.server, LimitReport(per_s, seen_at))

    def test_limit_appears_changes_and_ends(self):
        self.assertFalse(self.note(None, 0.0))
        self.assertTrue(self.note(2.0, 1.0))
        self.assertFalse(self.note(2.0, 2.0))
        self.assertTrue(self.note(0.5, 2.1))
        self.assertTrue(self.note(4.0, 2.1 + REORDER_S))
        self.assertEqual(4.0, self.limits.find(self.server))
        self.assertTrue(self.note(None, 2.1 + 2 * REORDER_S))
        self.assertIsNone(self.limits.find(self.server))

    def test_older_response_that_arrives_late_neither_raises_nor_ends_a_limit(self):
        self.note(2.0, 1.0)
        for per_s in (None, 5.0):
            self.assertFalse(self.note(per_s, 1.0 + REORDER_S / 2))
        self.assertEqual(2.0, self.limits.find(self.server))

    def test_limit_that_ended_is_not_taken_from_an_old_report(self):
        self.note(2.0, 1.0)
        self.note(None, 9.0)
        self.assertFalse(self.note(2.0, 1.0))
        self.assertIsNone(self.limits.find(self.server))

    def test_restart_ends_a_limit(self):
        self.note(2.0, 1.0)
        self.assertIsNone(self.limits.find(server_entry(1, started_ms=7)))

    def test_server_whose_entry_returns_keeps_its_limit_for_a_while(self):
        self.note(2.0, 1.0)
        self.limits.forget_unlisted({"i-1"}, 1.0 + 2 * FORGET_S)
        self.limits.forget_unlisted(set(), 1.0 + FORGET_S)
        self.assertEqual(2.0, self.limits.find(self.server))
        self.limits.forget_unlisted(set(), 2.0 + FORGET_S)
        self.assertIsNone(self.limits.find(self.server))


class TestLimitReportsBetweenInstances(unittest.TestCase):
    """Instances of several regions exchange reports with a server's owner, in virtual time."""

    def setUp(self) -> None:
        self.server = server_entry(1)
        self.instances = [ServerLimits() for _ in range(22)]
        self.rng = Random(SEED)

    def exchange(self, begin: float, seconds: float, per_s: float, named: float | None) -> None:
        """Permits are asked for at a rate; some responses arrive, all naming the same limit."""
        owner, *others = self.instances
        now = begin
        while (now := now + self.rng.expovariate(per_s)) < begin + seconds:
            asking, delay_s = self.rng.choice(others), self.rng.choice((0.001, 0.035, 0.08))
            if self.rng.random() < 0.1:
                asking.note(self.server, LimitReport(named, now))
            self.report(asking, owner, now, delay_s)
            self.report(owner, asking, now + delay_s, delay_s)

    def report(
        self, sender: ServerLimits, receiver: ServerLimits, at: float, delay_s: float
    ) -> None:
        known = sender.find_report(self.server)
        if known:
            age_s = int((at - known.seen_at) * 1000) / 1000
            receiver.note_from_peer(self.server, known.per_s, age_s, at + delay_s)

    def test_limit_that_ended_ends_everywhere_however_often_instances_exchange_it(self):
        self.exchange(0.0, 20.0, 60.0, 2.0)
        self.assertEqual([2.0] * 22, [item.find(self.server) for item in self.instances])
        self.exchange(20.0, 6.0, 60.0, None)
        self.assertEqual([None] * 22, [item.find(self.server) for item in self.instances])

    def test_limit_in_force_stays_known_everywhere(self):
        self.exchange(0.0, 10.0, 60.0, 2.0)
        for step in range(20):
            self.exchange(10.0 + step, 1.0, 60.0, 2.0 + 0.5 * (step % 2))
            known = {item.find(self.server) for item in self.instances}
            self.assertLessEqual(known, {2.0, 2.5})


class TestRateLimiter(unittest.TestCase):
    """The owners of a server grant as much as they may, in virtual time."""

    def setUp(self) -> None:
        self.granted_at: list[float] = []

    def grant_all(self, limiters: list[RateLimiter], seconds: float, begin: float = 0.0) -> None:
        for step in range(int(seconds * 100)):
            now = begin + step / 100
            for limiter in limiters:
                while limiter.has_room(now):
                    limiter.note_grant(now)
                    self.granted_at.append(now)

    def most_in_window(self) -> int:
        at = self.granted_at
        counts = (sum(end - WINDOW_S < other <= end for other in at) for end in at)
        return max(counts, default=0)

    def test_owners_that_do_not_hear_each_other_stay_within_the_bound(self):
        for per_s in (0.0, 0.05, 0.3, 1.0, 1.6, 2.2, 7.5, 40.0):
            with self.subTest(per_s=per_s):
                self.granted_at = []
                ranks = [0, 1, 2, 3, None, None]
                owners = [RateLimiter(compute_share(per_s, rank), 0.0) for rank in ranks]
                self.grant_all(owners, 30.0)
                self.assertLessEqual(self.most_in_window(), OVER * per_s * WINDOW_S + SLACK)

    def test_owners_that_follow_each_other_at_once_stay_within_the_bound(self):
        for per_s in (0.3, 1.6, 7.5, 40.0):
            with self.subTest(per_s=per_s):
                self.granted_at = []
                for number in range(20):
                    owner = RateLimiter(compute_share(per_s, 0), number * 0.7)
                    self.grant_all([owner], 0.7, number * 0.7)
                self.assertLessEqual(self.most_in_window(), OVER * per_s * WINDOW_S + SLACK)

    def test_first_owner_alone_uses_the_limit(self):
        self.grant_all([RateLimiter(compute_share(1.6, 0), 0.0)], 50.0)
        self.assertAlmostEqual(1.6 * 50.0, len(self.granted_at), delta=2)

    def test_lowered_limit_counts_what_was_granted_before(self):
        limiter = RateLimiter(compute_share(10.0, 0), 0.0)
        self.grant_all([limiter], 8.0)
        limiter.set_share(compute_share(1.0, 0), 8.0)
        self.assertFalse(limiter.has_room(8.5))
        wait_s = limiter.wait_s(0, 8.5)
        self.assertFalse(limiter.has_room(8.5 + wait_s - 0.02))
        self.assertTrue(limiter.has_room(8.5 + wait_s))

    def test_requests_sent_without_asking_are_counted_with_a_bounded_debt(self):
        limiter = RateLimiter(compute_share(1.0, 0), 0.0)
        for _ in range(50):
            limiter.note_grant(0.0)
        self.assertFalse(limiter.has_room(WINDOW_S - 0.1))
        self.assertTrue(limiter.has_room(WINDOW_S + 2.0))

    def test_wait_is_known_and_short_at_every_owner_of_any_limit(self):
        for per_s in (0.0, 1e-17, 0.01, 0.4, 1e17):
            for rank in (0, 1, 2, 3, None):
                for grants, ahead in itertools.product((0, 3), (0, 2, 20)):
                    with self.subTest(per_s=per_s, rank=rank, grants=grants, ahead=ahead):
                        limiter = RateLimiter(compute_share(per_s, rank), 0.0)
                        for _ in range(grants):
                            limiter.note_grant(0.0)
                        self.assertLessEqual(limiter.wait_s(ahead, 0.1), PROBE_INTERVAL_S)

    def test_limit_of_nothing_still_lets_a_request_through_at_times(self):
        self.grant_all([RateLimiter(compute_share(0.0, 0), 0.0)], 60.0)
        self.assertEqual(5, len(self.granted_at))


class TestQueueOfALimitedServer(unittest.TestCase):
    """Requests at the owner of a server that names a limit, in virtual time."""

    def setUp(self) -> None:
        self.limit_per_s: float | None = 2.0
        self.rank: int | None = 0
        self.server = Server(server_entry(1))
        self.places = PermitScheduler(
            lambda _: 2.6,
            lambda _: True,
            limit_per_s=lambda _: self.limit_per_s,
            owner_rank=lambda _: self.rank,
        )

    def ask(self, number: int, now: float, **changes) -> PermitDecision:
        fields = {"rank": 0, "due_at": now + 1.0, "lease_ends_at": now + 3.0}
        request = PermitRequest(
            ("e", number), requested_at=now, object_key="o", **(fields | changes)
        )
        return self.places.request(self.server, request, now)

    def test_request_that_the_limit_serves_in_time_waits_and_others_are_refused(self):
        self.assertEqual(PermitState.QUEUED, self.ask(1, 0.0).state)
        self.assertEqual(PermitState.QUEUED, self.ask(2, 0.0).state)
        refused = self.ask(3, 0.0)
        self.assertEqual(PermitState.REFUSED, refused.state)
        self.assertAlmostEqual(1.5, refused.wait_s)
        ((permit, decision),) = self.places.decide_queued(0.5)
        self.assertEqual((("e", 1), PermitState.GRANTED), (permit, decision.state))

    def test_urgent_request_gets_the_room_before_a_tolerant_one(self):
        self.ask(1, 0.0, rank=2, due_at=6.0, lease_ends_at=12.0)
        self.ask(2, 0.1, rank=0)
        ((permit, _),) = self.places.decide_queued(0.6)
        self.assertEqual(("e", 2), permit)

    def test_queued_requests_are_refused_at_once_when_a_limit_leaves_them_no_room(self):
        self.limit_per_s = None
        states = [self.ask(number, 0.0).state for number in range(6)]
        self.assertEqual(2, states.count(PermitState.QUEUED))
        self.limit_per_s = 0.3
        decided = self.places.decide_queued(0.1)
        self.assertEqual([PermitState.REFUSED] * 2, [item.state for _, item in decided])

    def test_owner_without_a_share_refuses_and_counts_what_was_sent_already(self):
        self.rank = None
        self.assertEqual(PermitState.REFUSED, self.ask(1, 10.0).state)
        sent = self.ask(2, 10.0, is_already_sent=True)
        self.assertEqual(PermitState.QUEUED, sent.state)
        self.assertLess(sent.wait_s, 10.0)

    def test_limit_that_ends_frees_the_queue(self):
        self.ask(1, 0.0)
        self.limit_per_s = None
        ((_, decision),) = self.places.decide_queued(0.1)
        self.assertEqual(PermitState.GRANTED, decision.state)


class TestLimitLogs(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "edge-noord-a-1.log"
        descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT)
        self.addCleanup(os.close, descriptor)
        self.enterContext(JsonLogHandler(descriptor).applicationbound())

    def events(self, event: str) -> list[dict]:
        records = [json.loads(line) for line in self.path.read_text().splitlines()]
        return [record for record in records if record["event"] == event]

    async def test_limit_and_permit_of_a_send_are_explained(self):
        async with Platform() as platform:
            await platform.add_server(limit="4.5")
            instance = await platform.ready_instance()
            for number in range(2):
                await platform.ask(instance, "/signoff/1", id=f"a{number}", method="POST", key="7")
        (changed,) = self.events("server limit changed")
        self.assertEqual(4.5, changed["per_s"])
        out = io.StringIO()
        self.assertEqual(
            ExitStatus.SUCCESS,
            main(["explain", "a1", str(self.path)], Environment(stdout=out, stderr=io.StringIO())),
        )
        self.assertIn("permitted by owner, limit known 4.5 a second", out.getvalue())

    async def test_unreadable_limit_is_logged_once_and_changes_nothing(self):
        async with Platform() as platform:
            server = await platform.add_server(limit="soon")
            instance = await platform.ready_instance()
            for number in range(5):
                server.limit = f"soon{number}"
                reply = await platform.ask(instance, "/lookup/1", key="7")
                self.assertEqual(200, reply.status)
        self.assertEqual(1, len(self.events("limit of a server is not a number")))
        self.assertEqual([], self.events("server limit changed"))
