"""Links between instances whose other end stands still."""

import time
import unittest

from websockets.asyncio.client import connect

from papayalever.cluster.links import LinkServer

ADDRESS = "127.0.0.1:18146"
CLOSE_S = 0.3
"""An instance that stops has 0.4 s for everything behind its last answer."""


class TestStillPeer(unittest.IsolatedAsyncioTestCase):
    async def test_server_closes_at_once_although_a_peer_does_not_answer_the_close(self):
        server = LinkServer(ADDRESS, lambda message: None)
        await server.start()
        still = await connect(f"ws://{ADDRESS}/", ping_interval=None)
        still.transport.pause_reading()
        began = time.monotonic()
        await server.close()
        self.assertLess(time.monotonic() - began, CLOSE_S)
        still.transport.abort()
