"""Decisions about servers that fail and connections that rested, in virtual time."""

import unittest

from papayalever.cluster.messages import PermitState
from papayalever.routing.health import (
    FAILURES_TO_EJECT,
    MAX_EJECT_S,
    MIN_STALL_S,
    SendOutcome,
    ServerHealth,
    classify_unanswered,
)
from papayalever.routing.idle import (
    DOUBLING_S,
    MAX_STALE_LOSS_S,
    MAX_UNSAFE_IDLE_S,
    MIN_IDLE_S,
    IdleLimit,
)
from papayalever.routing.permits import PermitScheduler
from papayalever.routing.server_queue import PermitRequest
from papayalever.routing.servers import Server

from .test_decisions import server_entry

PLACES = 4
LONG_UPTIME_S = 1e9
"""A monotonic clock counts from the machine's start, or from anywhere."""


def ask(number: int, now: float = 0.0, **changes) -> PermitRequest:
    fields = {"rank": 0, "requested_at": now, "due_at": now + 0.5, "lease_ends_at": now + 2.0}
    return PermitRequest(("edge", number), object_key=f"o{number}", **(fields | changes))


class TestServerHealth(unittest.TestCase):
    def test_single_failures_change_nothing(self):
        health = ServerHealth()
        for end in (SendOutcome.FAILED, SendOutcome.FAILED, SendOutcome.GOOD) * 5:
            health.note(end, 0.0)
            self.assertEqual(PLACES, health.limit_permits(PLACES, 0.0))

    def test_failures_in_a_row_eject_and_one_at_a_time_tries_it_afterwards(self):
        health = ServerHealth()
        for _ in range(FAILURES_TO_EJECT):
            health.note(SendOutcome.FAILED, 0.0)
        self.assertEqual(0, health.limit_permits(PLACES, 0.1))
        self.assertEqual(1, health.limit_permits(PLACES, MAX_EJECT_S))
        health.note(SendOutcome.GOOD, MAX_EJECT_S)
        self.assertEqual(PLACES, health.limit_permits(PLACES, MAX_EJECT_S))

    def test_ejection_has_a_longest_time(self):
        health = ServerHealth()
        for _ in range(50):
            health.note(SendOutcome.FAILED, 0.0)
        self.assertEqual(1, health.limit_permits(PLACES, MAX_EJECT_S))

    def test_ends_that_tell_nothing_count_neither_way(self):
        health = ServerHealth()
        for _ in range(FAILURES_TO_EJECT):
            health.note(SendOutcome.FAILED, 0.0)
            health.note(SendOutcome.UNKNOWN, 0.0)
        self.assertTrue(health.is_failing)

    def test_silence_counts_as_a_failure_only_when_it_was_long_beside_the_aim(self):
        self.assertEqual(SendOutcome.UNKNOWN, classify_unanswered(MIN_STALL_S - 0.1, 0.25))
        self.assertEqual(SendOutcome.FAILED, classify_unanswered(MIN_STALL_S, 0.25))
        self.assertEqual(SendOutcome.UNKNOWN, classify_unanswered(4.0, 3.0))
        self.assertEqual(SendOutcome.FAILED, classify_unanswered(6.0, 3.0))


class TestPlacesOfAFailingServer(unittest.TestCase):
    def setUp(self) -> None:
        self.server = Server(server_entry(1))
        self.places = PermitScheduler(lambda service: 1.0, lambda server: True)

    def fail(self, now: float) -> None:
        for number in range(FAILURES_TO_EJECT):
            self.places.request(self.server, ask(number, now), now)
            self.places.release(("edge", number), 0.0, -1, now, SendOutcome.FAILED)

    def test_asks_are_refused_at_once_and_lines_dissolve(self):
        for number in range(100, 100 + PLACES):
            self.places.request(self.server, ask(number), 0.0)
        queued = self.places.request(self.server, ask(200), 0.0)
        self.assertEqual(PermitState.QUEUED, queued.state)
        for number in range(100, 100 + FAILURES_TO_EJECT):
            self.places.release(("edge", number), 0.0, -1, 0.1, SendOutcome.FAILED)
        decided = dict(self.places.decide_queued(0.1))
        self.assertEqual(PermitState.REFUSED, decided["edge", 200].state)
        self.assertEqual(PermitState.REFUSED, self.places.request(self.server, ask(201), 0.1).state)

    def test_after_the_ejection_one_request_tries_the_server(self):
        self.fail(0.0)
        later = MAX_EJECT_S + 0.1
        states = [
            self.places.request(self.server, ask(n, later), later).state for n in range(50, 53)
        ]
        self.assertEqual([PermitState.GRANTED, PermitState.REFUSED, PermitState.REFUSED], states)

    def test_time_of_a_failed_run_is_no_run_time(self):
        self.places.request(self.server, ask(1), 0.0)
        self.places.release(("edge", 1), 0.001, -1, 0.0, SendOutcome.FAILED)
        self.places.request(self.server, ask(2), 0.0)
        self.places.release(("edge", 2), 0.4, -1, 0.0, SendOutcome.GOOD)
        expected_s = self.places._queue_by_server["i-1"].expected_run_s(ask(3))
        self.assertAlmostEqual(0.4, expected_s)


class TestIdleTrust(unittest.TestCase):
    def test_any_uptime_of_the_machine_will_do(self):
        trust = IdleLimit()
        for now in (0.0, LONG_UPTIME_S):
            self.assertEqual(MAX_UNSAFE_IDLE_S, trust.limit_s(True, now))
            self.assertEqual(float("inf"), trust.limit_s(False, now))
        trust.note_lost(0.4, 0.0, 0.0)
        self.assertEqual(float("inf"), trust.limit_s(False, LONG_UPTIME_S))

    def test_lost_connection_shortens_the_trusted_rest_for_a_while(self):
        trust = IdleLimit()
        self.assertTrue(trust.note_lost(0.4, 0.01, 100.0))
        self.assertAlmostEqual(0.2, trust.limit_s(False, 100.0))
        self.assertAlmostEqual(0.4, trust.limit_s(False, 100.0 + DOUBLING_S))
        self.assertEqual(MAX_UNSAFE_IDLE_S, trust.limit_s(True, 100.0 + 5 * DOUBLING_S))

    def test_loss_in_the_middle_of_a_run_or_of_a_busy_connection_teaches_nothing(self):
        trust = IdleLimit()
        self.assertFalse(trust.note_lost(0.4, MAX_STALE_LOSS_S + 0.1, 0.0))
        self.assertFalse(trust.note_lost(MIN_IDLE_S / 2, 0.01, 0.0))
        self.assertEqual(float("inf"), trust.limit_s(False, 0.0))
