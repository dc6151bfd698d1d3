"""Decisions on one request: admission by rank, division of slots, choice, retries."""

import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from papayalever.config.models import Backend
from papayalever.routing.admission import Admission, RankRule, Refusal, Ticket
from papayalever.routing.backends import (
    BackendTable,
    choose_subset,
    connection_limit,
    divide_slots,
)
from papayalever.routing.retries import (
    MAX_ATTEMPTS,
    AttemptFailure,
    FailedAttempt,
    RetryBudget,
    is_budgeted,
    may_retry,
)

SEED = 5
PROPERTY = settings(max_examples=200, derandomize=True, deadline=None, database=None)
RULES = {"urgent": RankRule(0, 0.0), "normal": RankRule(1, 0.1), "bulk": RankRule(2, 0.1)}
SERVICE_S = 0.05


def make_backends(count: int, slots: int = 3, connections: int = 800) -> list[Backend]:
    return [Backend(f"b{n}", f"10.0.0.{n}:80", "a", slots, connections) for n in range(count)]


class TestAdmission(unittest.TestCase):
    def flood(self, rates: dict[str, float], duration_s: float = 20.0) -> dict[str, Counter]:
        """Serve open streams with fixed service times in virtual time; count by rank."""
        chance = random.Random(SEED)
        admission = Admission(RULES, capacity=4)
        counts = {rank: Counter() for rank in RULES}
        events = [
            (chance.uniform(0, duration_s), rank)
            for rank, rate in rates.items()
            for _ in range(int(rate * duration_s))
        ]
        running: list[tuple[float, Ticket]] = []
        for now, rank in sorted(events):
            while running and running[0][0] <= now:
                end, ticket = running.pop(0)
                self.take(admission.finish(ticket, end), end, running, counts)
            deadline = now + (1.0 if rank == "urgent" else 2.0)
            self.take(admission.offer(Ticket(rank, deadline), now), now, running, counts)
        return counts

    def take(self, outcome, now, running, counts) -> None:
        for ticket in outcome.started:
            counts[ticket.rank]["started"] += 1
            counts[ticket.rank]["late"] += now + SERVICE_S > ticket.deadline
            running.append((now + SERVICE_S, ticket))
        for ticket, _ in outcome.refused:
            counts[ticket.rank]["refused"] += 1
        running.sort(key=lambda item: item[0])

    def test_flood_of_the_least_urgent_refuses_no_urgent_work(self):
        counts = self.flood({"urgent": 16, "normal": 16, "bulk": 400})
        self.assertEqual(0, counts["urgent"]["refused"])
        self.assertEqual(0, counts["normal"]["refused"])
        self.assertGreater(counts["bulk"]["refused"], 0)

    def test_flood_of_the_most_urgent_leaves_the_others_their_floor(self):
        counts = self.flood({"urgent": 400, "normal": 40, "bulk": 40})
        started = sum(item["started"] for item in counts.values())
        for rank in ("normal", "bulk"):
            self.assertGreaterEqual(counts[rank]["started"], 0.09 * started)

    def test_nothing_is_started_that_is_late_already(self):
        counts = self.flood({"urgent": 100, "normal": 100, "bulk": 400})
        self.assertEqual(0, sum(item["late"] for item in counts.values()))

    def test_withdrawn_and_impossible_work_takes_no_place(self):
        admission = Admission(RULES, capacity=1)
        first, second = Ticket("bulk", 10.0), Ticket("bulk", 10.0)
        admission.offer(first, 0.0)
        admission.offer(second, 0.0)
        admission.withdraw(second)
        self.assertEqual([], admission.finish(first, 1.0).started)
        outcome = admission.offer(Ticket("urgent", 2.0), 2.0)
        self.assertEqual([Refusal.DEADLINE_TOO_CLOSE], [why for _, why in outcome.refused])


class TestBackends(unittest.TestCase):
    @PROPERTY
    @given(st.integers(1, 30), st.integers(1, 40), st.integers(1, 6))
    def test_each_slot_belongs_to_one_instance(self, servers, instances, slots):
        backends = make_backends(servers, slots)
        names = [f"i{number}" for number in range(instances)]
        owned = Counter()
        for name in names:
            owned.update(divide_slots(backends, name, names))
        self.assertEqual({item.id: slots for item in backends}, dict(owned))

    def test_choice_takes_own_slots_first_and_nothing_that_leaves(self):
        table, backends = BackendTable(), make_backends(4)
        table.set_backends(backends)
        table.set_own_slots({"b2": 1})
        chance = random.Random(SEED)
        first = table.choose(backends, (), 0.0, chance)
        self.assertEqual("b2", first.backend.id)
        table.note_start(first)
        self.assertNotEqual("b2", table.choose(backends, (), 0.0, chance).backend.id)
        for item in backends[:3]:
            table.note_leaving(item.id, 60.0)
        self.assertEqual("b3", table.choose(backends, (), 0.0, chance).backend.id)
        self.assertIsNone(table.choose(backends, ("b3",), 0.0, chance))

    def test_connections_stay_under_the_servers_limit_at_the_target(self):
        backends = make_backends(16, connections=650)
        users = Counter(
            item.id for n in range(700) for item in choose_subset(backends, f"i{n}", 700)
        )
        self.assertLess(max(users.values()) * connection_limit(backends[0], 700), 650)
        self.assertGreater(min(users.values()), 400)

    def test_connections_stay_under_the_servers_limit_at_every_size(self):
        for instances in (1, 6, 22, 84, 200, 350, 520, 700):
            for backend in make_backends(3, slots=4, connections=650):
                users = sum(
                    bool(choose_subset([backend], f"i{n}", instances)) for n in range(instances)
                )
                self.assertLess(users * connection_limit(backend, instances), 650, instances)


class TestRetries(unittest.TestCase):
    def test_only_certain_or_idempotent_failures_are_tried_again(self):
        for failure in AttemptFailure:
            state = FailedAttempt(failure, 1, False, True, 1.0)
            is_certain = failure in (AttemptFailure.SHED, AttemptFailure.NOT_CONNECTED)
            self.assertEqual(is_certain, may_retry(state), failure)
            self.assertTrue(may_retry(FailedAttempt(failure, 1, True, True, 1.0)), failure)
            self.assertFalse(may_retry(FailedAttempt(failure, 1, True, False, 1.0)), failure)
            self.assertFalse(may_retry(FailedAttempt(failure, 1, True, True, 0.0)), failure)
        self.assertFalse(
            may_retry(FailedAttempt(AttemptFailure.LOST, MAX_ATTEMPTS, True, True, 1.0))
        )

    def test_retries_are_at_most_a_share_of_first_tries(self):
        budget, retries = RetryBudget(), 0
        for _ in range(1_000):
            budget.note_first_attempt()
            retries += budget.take()
        self.assertLessEqual(retries, 1_000 * 0.1 + 10)
        self.assertFalse(is_budgeted(AttemptFailure.SHED))
