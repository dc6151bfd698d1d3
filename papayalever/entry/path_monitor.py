"""Finds out whether this instance reaches the backend servers at all, and when it does again."""

import asyncio
from collections.abc import Callable
from random import Random

import logbook

from ..routing.reachability import (
    CHECKED_SERVERS,
    MAX_PROBE_PAUSE_S,
    MIN_PROBE_PAUSE_S,
    Reachability,
    order_probes,
)
from ..routing.servers import Server, ServerTable
from .clock import now
from .connection import SendError
from .pool import ConnectionPool

FIRST_ANSWER_S = 0.15
"""Time for the first attempt before others are made: two round trips between far regions."""

log = logbook.Logger("paths")


class PathMonitor:
    """Decides whose fault failed connections are, and looks for the end of a cut."""

    def __init__(
        self,
        servers: ServerTable,
        pool: ConnectionPool,
        max_idle: Callable[[str], int],
        rng: Random,
    ) -> None:
        self.reachability = Reachability()
        self._servers = servers
        self._pool = pool
        self._max_idle = max_idle
        """Returns the idle connections that may be kept to each server of a service."""
        self._rng = rng
        self._decision: asyncio.Future[bool] | None = None
        self._check: asyncio.Task | None = None
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
        if self.is_cut:
            return False
        self.reachability.note_unreached(server.id, now())
        if self._decision is None:
            self._decision = asyncio.get_running_loop().create_future()
        if self._check is None or self._check.done():
            self._check = asyncio.get_running_loop().create_task(self._check_path())
        return await asyncio.shield(self._decision)

    async def run(self) -> None:
        """Try one server at a time while this instance is cut off."""
        while True:
            await self._cut.wait()
            for server in order_probes(self._candidates(), (), self._rng):
                await self._try_one(server)
                await asyncio.sleep(self._rng.uniform(MIN_PROBE_PAUSE_S, MAX_PROBE_PAUSE_S))
                if not self.is_cut:
                    break
            else:
                await asyncio.sleep(MIN_PROBE_PAUSE_S)

    async def _check_path(self) -> None:
        # Failures that come while the attempts end need attempts of their own.
        while self._decision is not None:
            await self._try_others()

    async def _try_others(self) -> None:
        """Try other servers, the second and later ones only if the first does not answer soon."""
        failing_ids = self.reachability.failing_ids
        others = [server for server in self._candidates() if server.id not in failing_ids]
        first, *rest = order_probes(others, (), self._rng)[:CHECKED_SERVERS] or [None]
        attempts = [asyncio.create_task(self._try_one(first))]
        await asyncio.wait(attempts, timeout=FIRST_ANSWER_S)
        if not (attempts[0].done() and attempts[0].result()):
            attempts += [asyncio.create_task(self._try_one(server)) for server in rest]
        if any(await asyncio.gather(*attempts)):
            return
        if self.reachability.conclude(now()):
            self._begin_cut()
        else:
            # No second server is known: a single one is ejected.
            self._decide(True)

    def _begin_cut(self) -> None:
        """Forget what this instance holds against servers for what was its own fault."""
        failing_ids = self.reachability.failing_ids
        log.warning("no server reached", servers=sorted(failing_ids))
        self._servers.clear_failures(failing_ids)
        self._cut.set()
        self._decide(False)

    async def _try_one(self, server: Server | None) -> bool:
        if server is None:
            return False
        try:
            connection = await self._pool.open(server.entry)
        except SendError as error:
            log.debug("server not reached", server=server.id, error=str(error))
            self.reachability.note_unreached(server.id, now())
            return False
        self._pool.release(server.entry, connection, self._max_idle(server.entry.service))
        return True

    def _candidates(self) -> list[Server]:
        servers = self._servers
        return [item for item in servers.server_by_id.values() if servers.may_send(item)]

    def _decide(self, is_server_fault: bool) -> None:
        if self._decision and not self._decision.done():
            self._decision.set_result(is_server_fault)
        self._decision = None
