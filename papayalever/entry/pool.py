"""Pool of idle connections to backend servers."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Container

from ..routing.idle import IdleLimit
from ..routing.servers import ServerEntry
from ..sockets import SILENT_S
from .connection import ClientConnection, connect
from .memory import MessageMemory
from .turns import ReadTurns

CONNECT_TIMEOUT_S = 0.45
"""Three round trips between regions; TCP would retransmit a lost SYN only after 1 s."""
DEFAULT_IDLE_LIMIT_S = 8.0
"""For backend servers that announce no idle timeout; these close after 10 s."""
IDLE_CONNECTION_SHARE = 0.5
"""Share of a backend server's connections that all instances together may keep idle. The others
serve requests, and a server accepts fewer while its queue is long."""
IDLE_MARGIN_S = 1.0
"""Subtracted from the idle timeout that a server announces: its close may already be in transit."""
SILENT_MARGIN_S = 1.0
"""Added to the time after which the system closes silent connections, for late timers."""


class ConnectionPool:
    """Idle connections by server id, reused in LIFO order."""

    def __init__(
        self, memory: MessageMemory, max_idle: int, turns: ReadTurns | None = None
    ) -> None:
        self._memory = memory
        self._turns = turns or ReadTurns()
        self._max_idle = max_idle
        """Idle connections to all servers together."""
        self.on_connected: Callable[[], None] = lambda: None
        """Called after each new connection."""
        self._idle_by_id: dict[str, deque[ClientConnection]] = {}
        self._trust_by_service: defaultdict[str, IdleLimit] = defaultdict(IdleLimit)
        self.opened = 0

    async def acquire(
        self,
        server: ServerEntry,
        must_not_retry: bool,
        excluded: Container[ClientConnection] = (),
    ) -> ClientConnection:
        """Take an idle connection or open a new one; raises `SendError`."""
        return self.take_idle(server, must_not_retry, excluded) or await self.open(server)

    def take_idle(
        self,
        server: ServerEntry,
        must_not_retry: bool,
        excluded: Container[ClientConnection] = (),
        cut_since: float | None = None,
    ) -> ClientConnection | None:
        """Take an idle connection, if there is one.

        Connections for requests that must not be retried are reused only after short idle times.
        During a cut that began at ``cut_since`` only those are used that have proved to live on.
        """
        now = asyncio.get_running_loop().time()
        trusted_s = self._trust_by_service[server.service].limit_s(must_not_retry, now)
        idle = self._idle_by_id.get(server.id, deque())
        for connection in reversed(idle.copy()):
            if connection in excluded or not _is_live(connection, cut_since, now):
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
        return None

    def has_live(self, cut_since: float) -> bool:
        """Whether any idle connection has proved to live on during a cut."""
        now = asyncio.get_running_loop().time()
        return any(
            connection.is_usable and _is_live(connection, cut_since, now)
            for idle in self._idle_by_id.values()
            for connection in idle
        )

    async def open(self, server: ServerEntry) -> ClientConnection:
        """Open a new connection; raises `SendError`."""
        self.opened += 1
        connection = await connect(server.address, CONNECT_TIMEOUT_S, self._memory, self._turns)
        self.on_connected()
        return connection

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
        if sum(map(len, self._idle_by_id.values())) > self._max_idle:
            self._close_longest_idle()

    def _close_longest_idle(self) -> None:
        """Close the connection that is idle longest, so that descriptors stay for others."""
        used = (idle for idle in self._idle_by_id.values() if idle)
        min(used, key=lambda idle: idle[0].idle_since).popleft().close()

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


def _is_live(connection: ClientConnection, cut_since: float | None, now: float) -> bool:
    """Whether a connection was used since a cut began, or would be closed if it were silent."""
    if cut_since is None or connection.idle_since >= cut_since:
        return True
    return now - cut_since > SILENT_S + SILENT_MARGIN_S


def _idle_limit(connection: ClientConnection) -> float:
    announced_s = connection.idle_limit_s
    return DEFAULT_IDLE_LIMIT_S if announced_s is None else max(0.0, announced_s - IDLE_MARGIN_S)
