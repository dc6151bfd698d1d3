"""Bodies of configurations and deltas between them."""

import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from papayalever.config.bundles import (
    MissingBaseError,
    apply_delta,
    digest_bundle,
    make_delta,
    pack,
    unpack,
)
from papayalever.config.exceptions import InvalidConfigError
from papayalever.config.loader import load_configuration
from papayalever.config.versions import ConfigState

EXAMPLE = (Path(__file__).parents[1] / "examples" / "schakelboek.yaml").read_text()
PROPERTY = settings(max_examples=60, derandomize=True, deadline=None, database=None)


def make_text(homes: list[str]) -> str:
    """The example with one block for each home named."""
    lines = [
        f"  - {{cidr: 20.{number // 256}.{number % 256}.0/24, home: {home}}}"
        for number, home in enumerate(homes)
    ]
    return EXAMPLE.replace("caller_blocks:\n", "caller_blocks:\n" + "\n".join(lines) + "\n")


def make_body(homes: list[str]) -> bytes:
    text = make_text(homes)
    return pack(text, load_configuration(text))


homes = st.lists(st.sampled_from(["noord", "midden", "zuid"]), min_size=1, max_size=60)


class TestBodies(unittest.TestCase):
    def test_body_holds_the_text_and_its_checked_form(self):
        body = make_body(["zuid"])
        found = unpack(digest_bundle(body), body, None)
        self.assertEqual(make_text(["zuid"]), found.text)
        self.assertEqual(load_configuration(make_text(["zuid"])), found.configuration)

    @PROPERTY
    @given(homes, homes)
    def test_delta_leads_from_any_body_to_any_other(self, old, new):
        base, data = make_body(old), make_body(new)
        built = apply_delta(base, make_delta(base, data))
        self.assertEqual(digest_bundle(data), digest_bundle(built))

    def test_small_change_of_a_large_file_makes_a_small_delta(self):
        old = ["noord"] * 5_000
        new = ["noord"] * 2_500 + ["zuid"] + ["noord"] * 2_499
        base, data = make_body(old), make_body(new)
        self.assertLess(len(make_delta(base, data)), len(data) / 5)

    def test_delta_on_another_base_is_refused(self):
        base, data = make_body(["noord"] * 50), make_body(["zuid"] * 50)
        text = make_text(["zuid"]).replace("ttl_s: 2", "ttl_s: 3")
        other = pack(text, load_configuration(text))
        delta = make_delta(base, data)
        state = ConfigState()
        with self.assertRaises(MissingBaseError):
            state.prepare(digest_bundle(data), digest_bundle(base), delta)
        state.add_bundle(digest_bundle(other), other)
        with self.assertRaises(InvalidConfigError):
            state.prepare(digest_bundle(data), digest_bundle(other), delta)
        state.add_bundle(digest_bundle(base), base)
        state.prepare(digest_bundle(data), digest_bundle(base), delta)
        self.assertEqual(digest_bundle(data), digest_bundle(state.get_bundle(digest_bundle(data))))

    def test_unchanged_blocks_are_taken_over(self):
        first = make_body(["zuid"] * 10)
        known = unpack(digest_bundle(first), first, None)
        text = make_text(["zuid"] * 10).replace("ttl_s: 2", "ttl_s: 3")
        second = pack(text, load_configuration(text))
        found = unpack(digest_bundle(second), second, known)
        self.assertIs(known.configuration.caller_blocks, found.configuration.caller_blocks)
        self.assertEqual(3, found.configuration.lookup.ttl_s)
