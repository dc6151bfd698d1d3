"""Whose fault it is when a server is not reached."""

import unittest
from random import Random

from papayalever.routing.reachability import FAILURE_TTL_S, Reachability, choose_probe
from papayalever.routing.servers import Server, ServerEntry


def server(name: str) -> Server:
    return Server(ServerEntry(name, "logboek", "127.0.0.1:1", "noord-a", "noord", 3))


class TestReachability(unittest.TestCase):
    def test_one_server_out_of_reach_is_no_cut(self):
        state = Reachability()
        self.assertFalse(any(state.note_unreached("a", at) for at in (1.0, 1.1, 1.2)))
        self.assertFalse(state.is_cut)

    def test_two_servers_out_of_reach_are_a_cut_from_the_first_failure_on(self):
        state = Reachability()
        state.note_unreached("a", 1.0)
        self.assertTrue(state.note_unreached("b", 1.4))
        self.assertEqual((True, 1.0), (state.is_cut, state.cut_since))
        self.assertFalse(state.note_unreached("c", 1.5), "it is known already")

    def test_connection_in_between_shows_that_the_path_is_good(self):
        state = Reachability()
        state.note_unreached("a", 1.0)
        state.note_connected(1.1)
        self.assertFalse(state.note_unreached("b", 1.2))

    def test_old_failure_says_nothing_of_the_path(self):
        state = Reachability()
        state.note_unreached("a", 1.0)
        self.assertFalse(state.note_unreached("b", 1.0 + FAILURE_TTL_S))

    def test_connection_ends_a_cut_and_later_sends_count_again(self):
        state = Reachability()
        state.note_unreached("a", 1.0)
        state.note_unreached("b", 1.0)
        self.assertTrue(state.note_connected(5.0))
        self.assertFalse(state.is_cut)
        self.assertTrue(state.was_cut_since(4.0))
        self.assertFalse(state.was_cut_since(5.1))

    def test_probe_goes_to_a_server_that_did_not_fail(self):
        servers = [server("a"), server("b")]
        picked = {choose_probe(servers, {"a"}, Random(seed)).id for seed in range(20)}
        self.assertEqual({"b"}, picked)
        self.assertIsNotNone(choose_probe(servers, {"a", "b"}, Random(1)))
        self.assertIsNone(choose_probe([], (), Random(1)))
