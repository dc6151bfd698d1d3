"""A TCP proxy on loopback that delays, resets, silences or cuts connections one way."""

import asyncio
from contextlib import suppress
from enum import StrEnum, auto


class Fault(StrEnum):
    """What a proxy does to its connections."""

    NONE = auto()
    DELAY = auto()
    SILENCE = auto()
    """Bytes are taken and go nowhere, without a close: open connections are dead for good."""
    REQUESTS_LOST = auto()
    ANSWERS_LOST = auto()


DELAY_S = 0.15


class FaultProxy:
    """Forwards connections to one target while a test sets its fault."""

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.fault = Fault.NONE
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._forward, host, int(port))

    async def stop(self) -> None:
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.split(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, other_writer}
        self._writers |= pair
        loop = asyncio.get_running_loop()
        there = loop.create_task(self._pump(reader, other_writer, Fault.REQUESTS_LOST))
        back = loop.create_task(self._pump(other_reader, writer, Fault.ANSWERS_LOST))
        self._tasks |= {there, back}
        await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
        for task in (there, back):
            task.cancel()
        self._tasks -= {there, back}
        self._writers -= pair
        for item in pair:
            item.close()

    async def _pump(self, reader, writer, own_fault: Fault) -> None:
        is_dead = False
        with suppress(ConnectionError):
            while data := await reader.read(65536):
                is_dead = is_dead or self.fault in (Fault.SILENCE, own_fault)
                if is_dead:
                    continue
                if self.fault == Fault.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        if is_dead:
            await asyncio.sleep(3600)
