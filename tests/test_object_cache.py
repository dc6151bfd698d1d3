"""What a server has cached, learned from run times: replays of servers that keep few or many."""

import unittest
from collections import OrderedDict
from random import Random

from papayalever.routing.object_cache import FIRST_CAPACITY, ObjectCache

SEED = 5
FAST_S = 0.23
SLOW_S = 0.91
SPREAD = 0.15
REQUESTS = 1500


class ServerModel:
    """A server that keeps the objects used last and runs the others four times as long."""

    def __init__(self, keeps: int, chance: Random) -> None:
        self.keeps = keeps
        self.chance = chance
        self.kept: OrderedDict[str, None] = OrderedDict()

    def run(self, key: str) -> tuple[bool, float]:
        is_kept = key in self.kept
        self.kept[key] = None
        self.kept.move_to_end(key)
        if len(self.kept) > self.keeps:
            self.kept.popitem(last=False)
        mean_s = FAST_S if is_kept else SLOW_S
        return is_kept, mean_s * self.chance.uniform(1 - SPREAD, 1 + SPREAD)


def replay(keeps: int, objects: int) -> tuple[ObjectCache, int]:
    """Returns the cache and the wrong predictions in the second half of the requests."""
    chance = Random(SEED)
    server, cache, wrong = ServerModel(keeps, chance), ObjectCache(), 0
    for number in range(REQUESTS):
        # Some objects are asked for much more often than others.
        key = f"o{int(objects * chance.random() ** 2)}"
        expected = cache.has(key)
        use = cache.note_use(key)
        is_kept, ran_s = server.run(key)
        cache.note_run(use, 0, ran_s)
        wrong += number >= REQUESTS / 2 and expected != is_kept
    return cache, wrong


class TestLearnedCapacity(unittest.TestCase):
    def test_server_that_keeps_fewer_objects_than_assumed(self):
        for keeps in (8, 15):
            cache, wrong = replay(keeps, objects=40)
            self.assertLess(abs(cache.capacity - keeps), 0.25 * keeps)
            self.assertLess(wrong, 0.05 * REQUESTS / 2)

    def test_server_that_keeps_more_objects_than_assumed(self):
        cache, wrong = replay(50, objects=60)
        self.assertGreater(cache.capacity, 1.5 * FIRST_CAPACITY)
        self.assertLess(wrong, 0.05 * REQUESTS / 2)

    def test_server_without_a_difference_keeps_the_assumption(self):
        cache = ObjectCache()
        for number in range(200):
            cache.note_run(cache.note_use(f"o{number % 30}"), 0, FAST_S)
        self.assertEqual(FIRST_CAPACITY, cache.capacity)

    def test_requests_beside_the_first_run_of_an_object_teach_nothing(self):
        cache = ObjectCache()
        uses = [cache.note_use("a") for _ in range(3)]
        for use in uses:
            cache.note_run(use, 0, SLOW_S)
        self.assertEqual({}, cache._fast_s_by_rank)
        self.assertTrue(cache.has("a"))
