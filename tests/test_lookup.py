"""Look-ups: the block map against a naive one, and minimal movement."""

import random
import unittest
from ipaddress import IPv4Network

from hypothesis import given, settings
from hypothesis import strategies as st

from papayalever.cluster.messages import Member
from papayalever.config.networks import parse_network
from papayalever.lookup.blocks import BlockMap
from papayalever.lookup.responses import choose_instances, limit_ttl

PROPERTY = settings(max_examples=300, derandomize=True, deadline=None, database=None)
HOMES = ("north", "south", "west")
SEED = 3

networks = st.tuples(st.integers(0, 255), st.integers(0, 32)).map(
    lambda pair: IPv4Network((pair[0] << 22, pair[1]), strict=False)
)


def make_members(count: int, region: str = "north") -> list[Member]:
    return [
        Member(f"{region}-{n}", n, 0, region, f"{region}-{n % 3}", f"10.0.0.{n}:80", "", "")
        for n in range(count)
    ]


class TestBlockMap(unittest.TestCase):
    @PROPERTY
    @given(st.dictionaries(networks, st.sampled_from(HOMES), max_size=12), st.integers(0, 999))
    def test_narrowest_block_wins_as_in_a_naive_search(self, blocks, seed):
        built = BlockMap([(parse_network(str(n)), home) for n, home in blocks.items()], HOMES)
        chance = random.Random(seed)
        edges = [int(n[0]) for n in blocks] + [int(n[-1]) for n in blocks]
        for address in [*edges, *(chance.getrandbits(32) for _ in range(20))]:
            holding = [n for n in blocks if int(n[0]) <= address <= int(n[-1])]
            naive = blocks[max(holding, key=lambda n: n.prefixlen)] if holding else None
            self.assertEqual(naive, built.find(address))

    @PROPERTY
    @given(networks)
    def test_network_reads_back_as_it_was_written(self, network):
        self.assertEqual(str(network), str(parse_network(str(network))))

    def test_bad_networks_are_refused(self):
        for text in ("10.0.0.1/24", "10.0.0/24", "10.0.0.0/33", "300.0.0.0/8", "x"):
            with self.assertRaises(ValueError, msg=text):
                parse_network(text)


class TestAnswers(unittest.TestCase):
    def first(self, members, bucket, shares=None):
        return choose_instances(members, shares or {"north": 1.0}, bucket, 4)[0].instance

    def test_only_callers_of_a_leaving_instance_move(self):
        members = make_members(10)
        left = [item for item in members if item.id != "north-4"]
        before = {bucket: self.first(members, bucket) for bucket in range(2_000)}
        moved = [b for b, name in before.items() if self.first(left, b) != name]
        self.assertEqual([b for b, name in before.items() if name == "north-4"], moved)

    def test_callers_spread_over_regions_by_share(self):
        members = make_members(5) + make_members(5, "south")
        shares = {"north": 0.7, "south": 0.3}
        names = [self.first(members, bucket, shares) for bucket in range(4_000)]
        south = sum(name.startswith("south") for name in names) / len(names)
        self.assertAlmostEqual(0.3, south, delta=0.03)

    def test_answer_names_another_region_and_failure_domain(self):
        members = make_members(6) + make_members(2, "south")
        choices = choose_instances(members, {"north": 1.0, "south": 0.0}, 5, 4)
        self.assertEqual(["north"] * 3 + ["south"], [item.region for item in choices])
        self.assertNotEqual(choices[0].failure_domain, choices[1].failure_domain)
        self.assertAlmostEqual(1.0, sum(item.weight for item in choices))

    def test_lifetime_ends_with_the_planned_stay(self):
        self.assertEqual(5.0, limit_ttl(5.0, [], 100.0))
        self.assertEqual(2.0, limit_ttl(5.0, [102.0, 300.0], 100.0))
        self.assertEqual(1.0, limit_ttl(5.0, [100.2], 100.0))
