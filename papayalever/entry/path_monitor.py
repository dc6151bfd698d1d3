"""Finds out whether this instance reaches the backend servers at all, and when it does again."""

import asyncio
from random import Random

import logbook

from ..routing.reachability import (
    MAX_PROBE_PAUSE_S,
    MIN_PROBE_PAUSE_S,
    Reachability,
    choose_probe,
)
from ..routing.servers import Server, ServerTable
from .clock import now
from .connection import SendError
from .pool import ConnectionPool

MAX_IDLE_PROBES = 1
"""Connections of successful attempts that are kept for each server, for the next request."""

log = logbook.Logger("paths")


class PathMonitor:
    """Decides whose fault failed connections are, and looks for the end of a cut."""

    def __init__(self, servers: ServerTable, pool: ConnectionPool, rng: Random) -> None:
        self.reachability = Reachability()
        self._servers = servers
        self._pool = pool
        self._rng = rng
        self._decision: asyncio.Future[bool] | None = None
        self._probe: asyncio.Task | None = None
        self._cut = asyncio.Event()

    @property
    def is_cut(self) -> bool:
        """Whether this instance reaches no server over new connections."""
        return self.reachability.is_cut

    @property
    def cut_since(self) -> float | None:
        """When the present cut began, None while servers are reached."""
        return self.reachability.cut_since

    def note_connected(self) -> None:
        """Record that a connection to a server was made."""
        if self.reachability.note_connected(now()):
            self._cut.clear()
            log.info("servers reached again")
        self._decide(True)

    async def is_server_fault(self, server: Server) -> bool:
        """Whether the server is to blame for a connection to it that has just failed."""
        if self.reachability.note_unreached(server.id, now()):
            self._begin_cut()
        if self.is_cut:
            return False
        if self._decision is None:
            self._decision = asyncio.get_running_loop().create_future()
        if self._probe is None or self._probe.done():
            self._probe = asyncio.get_running_loop().create_task(self._try_other())
        return await asyncio.shield(self._decision)

    async def run(self) -> None:
        """Try one server at a time while this instance is cut off."""
        while True:
            await self._cut.wait()
            await asyncio.sleep(self._rng.uniform(MIN_PROBE_PAUSE_S, MAX_PROBE_PAUSE_S))
            if self.is_cut:
                await self._try_one(choose_probe(self._candidates(), (), self._rng))

    def _begin_cut(self) -> None:
        """Forget what this instance holds against servers for what was its own fault."""
        failing_ids = self.reachability.failing_ids
        log.warning("no server reached", servers=sorted(failing_ids))
        self._servers.clear_failures(failing_ids)
        self._cut.set()
        self._decide(False)

    async def _try_other(self) -> None:
        server = choose_probe(self._candidates(), self.reachability.failing_ids, self._rng)
        if not await self._try_one(server) and not self.is_cut:
            # No second server is known: a single one is ejected like before.
            self._decide(True)

    async def _try_one(self, server: Server | None) -> bool:
        if server is None:
            return False
        try:
            connection = await self._pool.open(server.entry)
        except SendError as error:
            log.debug("server not reached", server=server.id, error=str(error))
            if self.reachability.note_unreached(server.id, now()):
                self._begin_cut()
            return False
        self._pool.release(server.entry, connection, MAX_IDLE_PROBES)
        return True

    def _candidates(self) -> list[Server]:
        servers = self._servers
        return [item for item in servers.server_by_id.values() if servers.may_send(item)]

    def _decide(self, is_server_fault: bool) -> None:
        if self._decision and not self._decision.done():
            self._decision.set_result(is_server_fault)
        self._decision = None
