"""Odd objects that another writer left in the store: each costs itself and nothing else."""

import unittest

from papayalever.cluster.exceptions import PeerUnreachableError
from papayalever.cluster.links import LinkPool
from papayalever.cluster.messages import Follow
from papayalever.entry.connection import SendError, SendFailure, connect


class TestOddAddresses(unittest.IsolatedAsyncioTestCase):
    async def test_connection_to_an_odd_address_is_not_connected(self):
        for address in (
            "127.0.0.1:99999",
            "127.0.0.1:-5",
            "999.0.0.1:80",
            "x",
            "127.0.0.1:",
            "a\0b:1",
        ):
            with self.subTest(address=address), self.assertRaises(SendError) as caught:
                await connect(address, 0.5)
            self.assertEqual(SendFailure.NOT_CONNECTED, caught.exception.failure)

    async def test_instance_with_an_odd_address_is_unreachable(self):
        pool = LinkPool()
        self.addAsyncCleanup(pool.close)
        for address in ("127.0.0.1:99999", "no address", "[::1", "127.0.0.1:x", "a\0b:1"):
            with self.subTest(address=address), self.assertRaises(PeerUnreachableError):
                await pool.request(address, Follow("edge", {}, 0), 0.5)
