"""Pool of idle connections to backend servers."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Container

from ..routing.idle import IdleLimit
from ..routing.servers import ServerEntry
from .connection import ClientConnection, connect
from .framing import BodyMemory

CONNECT_TIMEOUT_S = 0.45
"""Three round trips between regions; TCP would retransmit a lost SYN only after 1 s."""
DEFAULT_IDLE_LIMIT_S = 8.0
"""For backend servers that announce no idle timeout; these close after 10 s."""
IDLE_CONNECTION_SHARE = 0.5
"""Share of a backend server's connections that all instances together may keep idle. The others
serve requests, and a server accepts fewer while its queue is long."""
IDLE_MARGIN_S = 1.0
"""Subtracted from the idle timeout that a server announces: its close may already be in transit."""


class ConnectionPool:
    """Idle connections by server id, reused in LIFO order."""

    def __init__(self, body_memory: BodyMemory) -> None:
        self._body_memory = body_memory
        self._idle_by_id: dict[str, deque[ClientConnection]] = {}
        self._trust_by_service: defaultdict[str, IdleLimit] = defaultdict(IdleLimit)
        self.opened = 0

    async def acquire(
        self,
        server: ServerEntry,
        must_not_retry: bool,
        excluded: Container[ClientConnection] = (),
    ) -> ClientConnection:
        """Take an idle connection or open a new one; raises `SendError`.

        Connections for requests that must not be retried are reused only after short idle times.
        """
        now = asyncio.get_running_loop().time()
        trusted_s = self._trust_by_service[server.service].limit_s(must_not_retry, now)
        idle = self._idle_by_id.get(server.id, deque())
        for connection in reversed(idle.copy()):
            if connection in excluded:
                continue
            idle_s = now - connection.idle_since
            is_expired = not connection.is_usable or idle_s > _idle_limit(connection)
            if not is_expired and idle_s > trusted_s:
                break
            idle.remove(connection)
            if not is_expired:
                connection.idle_s = idle_s
                return connection
            connection.close()
        return await self.open(server)

    async def open(self, server: ServerEntry) -> ClientConnection:
        """Open a new connection; raises `SendError`."""
        self.opened += 1
        return await connect(server.address, CONNECT_TIMEOUT_S, self._body_memory)

    def note_lost(
        self, server: ServerEntry, connection: ClientConnection, ended_after_s: float
    ) -> bool:
        """Record a connection lost ``ended_after_s`` after a send; returns whether it was stale."""
        now = asyncio.get_running_loop().time()
        trust = self._trust_by_service[server.service]
        return trust.note_lost(connection.idle_s, ended_after_s, now)

    def release(self, server: ServerEntry, connection: ClientConnection, max_idle: int) -> None:
        """Keep a connection for reuse, at most ``max_idle`` for each server."""
        if not connection.is_usable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle = self._idle_by_id.setdefault(server.id, deque())
        idle.append(connection)
        while len(idle) > max_idle:
            idle.popleft().close()

    def sweep(self, known_ids: set[str]) -> None:
        """Close connections that exceed their idle timeout or belong to removed servers."""
        now = asyncio.get_running_loop().time()
        for server_id, idle in list(self._idle_by_id.items()):
            for connection in list(idle):
                idle_s = now - connection.idle_since
                is_expired = idle_s > _idle_limit(connection) or server_id not in known_ids
                if is_expired or not connection.is_usable:
                    idle.remove(connection)
                    connection.close()
            if not idle:
                del self._idle_by_id[server_id]


def max_idle_per_instance(connections: int, instances: int) -> int:
    """Idle connections that each instance may keep to one backend server."""
    return max(1, int(connections * IDLE_CONNECTION_SHARE / max(1, instances)))


def _idle_limit(connection: ClientConnection) -> float:
    announced_s = connection.idle_limit_s
    return DEFAULT_IDLE_LIMIT_S if announced_s is None else max(0.0, announced_s - IDLE_MARGIN_S)
