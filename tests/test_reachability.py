"""Whose fault it is when a server is not reached, and who sends for a cut instance."""

import unittest
from collections import Counter
from random import Random

from papayalever.routing.carriers import (
    ENOUGH_OFFERS,
    MAX_ASKED_PER_GROUP,
    MAX_CARRIED,
    OFFER_TTL_S,
    REFUSED_PAUSE_S,
    Carriers,
)
from papayalever.routing.reachability import FAILURE_TTL_S, Reachability, order_probes
from papayalever.routing.replication_tree import InstanceEntry
from papayalever.routing.servers import Server, ServerEntry


def server(name: str) -> Server:
    return Server(ServerEntry(name, "logboek", "127.0.0.1:1", "noord-a", "noord", 3))


class TestReachability(unittest.TestCase):
    def test_one_server_out_of_reach_is_no_cut(self):
        state = Reachability()
        for at in (1.0, 1.1, 1.2):
            state.note_unreached("a", at)
            self.assertFalse(state.conclude(at))
        self.assertFalse(state.is_cut)

    def test_two_servers_out_of_reach_are_a_cut_from_the_first_failure_on(self):
        state = Reachability()
        state.note_unreached("a", 1.0)
        state.note_unreached("b", 1.4)
        self.assertFalse(state.is_cut, "other servers are tried first")
        self.assertTrue(state.conclude(1.4))
        self.assertEqual((True, 1.0), (state.is_cut, state.cut_since))
        self.assertFalse(state.conclude(1.5), "it is known already")

    def test_connection_in_between_shows_that_the_path_is_good(self):
        state = Reachability()
        state.note_unreached("a", 1.0)
        state.note_connected(1.1)
        state.note_unreached("b", 1.2)
        self.assertFalse(state.conclude(1.2))

    def test_old_failure_says_nothing_of_the_path(self):
        state = Reachability()
        state.note_unreached("a", 1.0)
        state.note_unreached("b", 1.0 + FAILURE_TTL_S)
        self.assertFalse(state.conclude(1.0 + FAILURE_TTL_S))

    def test_connection_ends_a_cut_and_later_sends_count_again(self):
        state = Reachability()
        state.note_unreached("a", 1.0)
        state.note_unreached("b", 1.0)
        state.conclude(1.0)
        self.assertTrue(state.note_connected(5.0))
        self.assertFalse(state.is_cut)
        self.assertTrue(state.was_cut_since(4.0))
        self.assertFalse(state.was_cut_since(5.1))

    def test_servers_that_answered_last_are_tried_first_and_failing_ones_last(self):
        servers = [server("a"), server("b"), server("c")]
        servers[1].answered_at, servers[2].answered_at = 5.0, 7.0
        for seed in range(20):
            ordered = [item.id for item in order_probes(servers, {"c"}, Random(seed))]
            self.assertEqual(["b", "a", "c"], ordered)
        self.assertEqual([], order_probes([], (), Random(1)))


def instance(name: str, region: str = "noord", capacity: float = 1.0) -> InstanceEntry:
    return InstanceEntry(name, f"{region}-a", region, name, name, capacity, 1)


class TestCarriers(unittest.TestCase):
    def setUp(self) -> None:
        self.carriers, self.rng = Carriers(), Random(32)

    def offer(self, *entries: InstanceEntry, carried: int = 0) -> None:
        for entry in entries:
            self.carriers.note_offer(entry, carried, 10.0)

    def choose(self, homes: frozenset[str] = frozenset(), now: float = 10.0) -> str | None:
        entry = self.carriers.choose("noord", homes, now, self.rng)
        return entry.name if entry else None

    def test_own_region_is_preferred_and_homes_bind(self):
        self.offer(instance("near"), instance("far", "zuid"))
        self.assertEqual({"near"}, {self.choose() for _ in range(20)})
        self.assertEqual("far", self.choose(frozenset({"zuid"})))
        self.assertIsNone(self.choose(frozenset({"midden"})))

    def test_work_is_shared_by_spare_capacity(self):
        self.offer(instance("small", capacity=1.0), instance("large", capacity=3.0))
        picked = Counter()
        for _ in range(400):
            name = self.choose()
            picked[name] += 1
            self.carriers.note_start(name)
            if sum(picked.values()) % 4 == 0:
                self.carriers.note_end(name)
        self.assertLess(picked["small"], picked["large"])
        self.assertGreater(picked["small"], 40)

    def test_offer_ends_and_a_refusal_pauses_it(self):
        self.offer(instance("near"))
        self.assertIsNone(self.choose(now=10.0 + OFFER_TTL_S))
        self.carriers.note_refused("near", 10.0)
        self.offer(instance("near"))
        self.assertIsNone(self.choose(now=10.1))
        self.assertEqual("near", self.choose(now=10.0 + REFUSED_PAUSE_S))

    def test_instance_that_carries_its_limit_gets_no_more(self):
        self.offer(instance("near"), carried=MAX_CARRIED)
        self.assertIsNone(self.choose())

    def test_questions_are_few_and_go_to_those_that_carried(self):
        own, others = instance("own"), [instance(f"i{n}") for n in range(100)]
        self.assertTrue(self.carriers.must_ask(10.0))
        asked = self.carriers.start_round(others, own, 10.0, self.rng)
        self.assertEqual(MAX_ASKED_PER_GROUP, len(asked))
        self.assertFalse(self.carriers.must_ask(10.1))
        self.offer(*asked[:ENOUGH_OFFERS])
        self.assertFalse(self.carriers.must_ask(10.0 + OFFER_TTL_S / 2 - 0.01))
        again = self.carriers.start_round(others, own, 11.0, self.rng)
        self.assertEqual(asked[:ENOUGH_OFFERS], again)
