"""Options with which the system detects peers that went silent."""

import socket
import unittest

import logbook

from papayalever.cluster.links import Link
from papayalever.entry.connection import connect
from papayalever.sockets import KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, SILENT_S, USER_TIMEOUT_MS

from .support.platform import Platform

CONTACT_S = 3.0
"""Shortest time within which the users' bounds must hold again."""


class TestSilentPeers(unittest.IsolatedAsyncioTestCase):
    """Loopback never goes silent, so that the options themselves are read back."""

    def check(self, sock: socket.socket) -> None:
        tcp = socket.IPPROTO_TCP
        self.assertEqual(1, sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        idle_s = sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
        interval_s = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        timeout_s = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) / 1000
        # With a user timeout set, Linux gives up at the first probe after it, whatever their count.
        probe_s = float(idle_s)
        while probe_s < timeout_s:
            probe_s += interval_s
        self.assertEqual(SILENT_S, probe_s)
        self.assertLess(SILENT_S, CONTACT_S)
        self.assertEqual((KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S), (idle_s, interval_s))
        self.assertEqual(USER_TIMEOUT_MS, timeout_s * 1000)

    async def test_connections_to_servers_store_and_instances_detect_a_silent_peer(self):
        self.enterContext(logbook.NullHandler().applicationbound())
        platform = await self.enterAsyncContext(Platform())
        server = await platform.add_server()
        instance = await platform.ready_instance()
        for address in (server.address, platform.store.address):
            connection = await connect(address, 1.0)
            self.check(connection._transport.get_extra_info("socket"))
            connection.close()
        link = Link(instance.settings.peer_listener)
        await link.open()
        self.check(link._socket.transport.get_extra_info("socket"))
        await link.close()
