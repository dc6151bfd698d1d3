"""Pooled connections to backend servers."""

import asyncio
from collections import defaultdict, deque

from ..routing.idle import IdleLimit
from ..routing.servers import ServerEntry
from .connection import PeerConnection, connect

CONNECT_S = 0.45
"""Three round trips between regions; a retransmitted opening packet would come after 1 s."""
IDLE_S = 8.0
"""Servers that do not say so close after 10 s."""
IDLE_SHARE = 0.5
"""Part of a server's connections that may rest at all instances together; the others are for
requests, and servers take fewer while their queue is long."""
IDLE_MARGIN_S = 1.0
"""Taken off the idle time that a server states: its close may be on its way."""


class Pool:
    """Idle connections by server id, the last used first."""

    def __init__(self) -> None:
        self._idle_by_id: dict[str, deque[PeerConnection]] = {}
        self._trust_by_service: defaultdict[str, IdleLimit] = defaultdict(IdleLimit)
        self.opened = 0

    async def acquire(self, server: ServerEntry, must_not_repeat: bool) -> PeerConnection:
        """An idle connection or a new one; raises `SendError`."""
        now = asyncio.get_running_loop().time()
        trusted_s = self._trust_by_service[server.service].limit_s(must_not_repeat, now)
        idle = self._idle_by_id.get(server.id)
        while idle:
            connection = idle.pop()
            rested_s = now - connection.idle_since
            if not connection.is_usable or rested_s > _idle_limit(connection):
                connection.close()
            elif rested_s > trusted_s:
                idle.append(connection)
                break
            else:
                connection.rested_s = rested_s
                return connection
        self.opened += 1
        return await connect(server.address, CONNECT_S)

    def note_lost(self, server: ServerEntry, connection: PeerConnection, after_s: float) -> bool:
        """A connection ended ``after_s`` behind a request; returns whether it was stale."""
        now = asyncio.get_running_loop().time()
        trust = self._trust_by_service[server.service]
        return trust.note_lost(connection.rested_s, after_s, now)

    def release(self, server: ServerEntry, connection: PeerConnection, most_idle: int) -> None:
        """Keep a connection for the next request, ``most_idle`` of a server at most."""
        if not connection.is_usable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle = self._idle_by_id.setdefault(server.id, deque())
        idle.append(connection)
        while len(idle) > most_idle:
            idle.popleft().close()

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


def share_idle(connections: int, instances: int) -> int:
    """Idle connections to a server that each instance may keep."""
    return max(1, int(connections * IDLE_SHARE / max(1, instances)))


def _idle_limit(connection: PeerConnection) -> float:
    stated = connection.idle_limit_s
    return IDLE_S if stated is None else max(0.0, stated - IDLE_MARGIN_S)
