"""Cuts entry instances of a test off from all backend servers, and from nothing else."""

import asyncio
from collections.abc import Iterable
from enum import StrEnum, auto

from papayalever.entry.connection import ClientConnection, SendError, SendFailure
from papayalever.entry.instance import EntryInstance
from papayalever.entry.pool import CONNECT_TIMEOUT_S
from papayalever.routing.servers import ServerEntry


class Cut(StrEnum):
    """How attempts to reach a server fail."""

    HANG = auto()
    """New connections hang, and open ones go silent."""
    RESET = auto()
    """New connections are refused, and open ones are reset."""
    REFUSE_NEW = auto()
    """New connections are refused, and open ones live on."""


class ServerCut:
    """Cuts off some instances from the servers; `heal` ends it."""

    def __init__(self, instances: Iterable[EntryInstance], cut: Cut) -> None:
        self.instances = list(instances)
        self.cut = cut
        self.attempts = 0
        self.heal_pause = 0.0
        self._opened_before = [(item, item.shared.pool.open) for item in self.instances]
        for instance in self.instances:
            instance.shared.pool.open = self._open
            if cut != Cut.REFUSE_NEW:
                self._end_connections(instance)

    def heal(self) -> None:
        for instance, open_connection in self._opened_before:
            instance.shared.pool.open = open_connection

    def _end_connections(self, instance: EntryInstance) -> None:
        for idle in instance.shared.pool._idle_by_id.values():
            for connection in idle:
                if self.cut == Cut.HANG:
                    silence(connection)
                else:
                    connection._transport.abort()

    async def _open(self, _server: ServerEntry) -> ClientConnection:
        self.attempts += 1
        if self.cut == Cut.HANG:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise SendError(SendFailure.NOT_CONNECTED, "no response to the connection attempt")
        raise SendError(SendFailure.NOT_CONNECTED, "connection refused", True)


def silence(connection: ClientConnection) -> None:
    """Lose what is sent on an open connection, until the system gives it up."""
    transport = connection._transport

    def write(_data: bytes) -> None:
        asyncio.get_running_loop().call_later(2.0, transport.abort)

    connection._transport = _SilentTransport(transport, write)
    connection._outbox.open(connection._transport)


class _SilentTransport:
    def __init__(self, transport: asyncio.Transport, write) -> None:
        self._transport = transport
        self.write = write

    def __getattr__(self, name: str):
        return getattr(self._transport, name)
