"""One short seeded run of the soak; more seeds are run by hand, see docs/SOAK.md."""

import unittest

from .soak.run import soak

SEED = 25
FAULTS_S = 20.0


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_seeded_faults_break_no_promise(self):
        self.assertEqual([], await soak(SEED, FAULTS_S))
