"""Pooled connections to backend servers."""

import asyncio
from collections import deque

from ..routing.servers import ServerEntry
from .connection import PeerConnection, connect

CONNECT_S = 0.45
"""Three round trips between regions; a retransmitted opening packet would come after 1 s."""
IDLE_S = 8.0
"""Servers that do not say so close after 10 s."""
IDLE_MARGIN_S = 1.0
"""Taken off the idle time that a server states: its close may be on its way."""
FRESH_S = 3.0
"""Requests that must not be repeated only use connections that lately carried an answer."""


class Pool:
    """Idle connections by server id, the last used first."""

    def __init__(self) -> None:
        self._idle_by_id: dict[str, deque[PeerConnection]] = {}
        self.opened = 0

    async def acquire(self, server: ServerEntry, must_be_fresh: bool) -> PeerConnection:
        """An idle connection or a new one; raises `SendError`."""
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_id.get(server.id)
        while idle:
            connection = idle.pop()
            idle_s = now - connection.idle_since
            if not connection.is_usable or idle_s > _idle_limit(connection):
                connection.close()
            elif must_be_fresh and idle_s > FRESH_S:
                idle.append(connection)
                break
            else:
                return connection
        self.opened += 1
        return await connect(server.address, CONNECT_S)

    def release(self, server: ServerEntry, connection: PeerConnection) -> None:
        """Keep a connection for the next request."""
        if not connection.is_usable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle_by_id.setdefault(server.id, deque()).append(connection)

    def sweep(self, known_ids: set[str]) -> None:
        """Close connections that idled too long or lead to servers that are gone."""
        now = asyncio.get_running_loop().time()
        for server_id, idle in list(self._idle_by_id.items()):
            for connection in list(idle):
                idle_s = now - connection.idle_since
                is_over = idle_s > _idle_limit(connection) or server_id not in known_ids
                if is_over or not connection.is_usable:
                    idle.remove(connection)
                    connection.close()
            if not idle:
                del self._idle_by_id[server_id]


def _idle_limit(connection: PeerConnection) -> float:
    stated = connection.idle_limit_s
    return IDLE_S if stated is None else max(0.0, stated - IDLE_MARGIN_S)
