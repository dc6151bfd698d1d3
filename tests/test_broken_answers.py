"""Answers that break off or whose status is none: no caller may get them as an answer."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from .support.platform import configuration
from .test_entry import PlatformCase

UPLOAD_BYTES = 6_000_000
PART = b"p" * 30_000

Answer = Callable[[asyncio.StreamReader, asyncio.StreamWriter, bytes], Awaitable[None]]


class RawServer:
    """A backend server that answers as soon as it has read the head of a request."""

    def __init__(self, address: str, answer: Answer) -> None:
        self.address = address
        self.answer = answer
        self.asked = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.asked += 1
            lines = head.split(b"\r\n")
            name = b"attempt-id: "
            id_ = next(line[len(name) :] for line in lines if line.lower().startswith(name))
            sealed = b"Attempt-Id: " + id_ + b"\r\nResponse-Seal: s." + id_ + b"\r\n"
            await self.answer(reader, writer, sealed)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The instance closed the connection.
            return
        finally:
            writer.transport.abort()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close with a reset, whatever was read."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


def break_off(reads_all: bool, pause_s: float, ends_first: bool, is_sealed: bool = True) -> Answer:
    """A 200 without a length, of which a part is sent before the connection is reset."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sealed: bytes
    ) -> None:
        if reads_all:
            await reader.readexactly(UPLOAD_BYTES)
        await asyncio.sleep(pause_s)
        writer.write(b"HTTP/1.1 200 OK\r\n" + (sealed if is_sealed else b"") + b"\r\n" + PART)
        await writer.drain()
        if ends_first:
            writer.write_eof()
        reset(writer)

    return answer


def state(line: str, framing: bytes = b"Content-Length: 2\r\n\r\nno") -> Answer:
    """An answer with this text in place of status and reason."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sealed: bytes
    ) -> None:
        writer.write(f"HTTP/1.1 {line}\r\n".encode() + sealed + framing)
        await writer.drain()
        # The failure shows by the answer and not by the end of the connection.
        await reader.read()

    return answer


class BrokenCase(PlatformCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        config = configuration(4, limits={"max_body_bytes": 8_000_000})
        self.platform.store.put("config", "main", config)
        self._hosts = iter(range(100, 200))

    async def add_raw_server(self, answer: Answer) -> RawServer:
        number = next(self._hosts)
        server = RawServer(f"{self.platform.net}.{number}:8080", answer)
        await server.start()
        self.addAsyncCleanup(server.stop)
        entry = {
            "service": "logboek", "address": server.address, "zone": "noord-a", "version": "v1",
            "max_concurrency": 3, "phase": "ready", "warmup_left_ms": 0, "sequence": 1,
            "born": 1_700_000_000_000,
        }  # fmt: skip
        self.platform.store.put("servers", f"i-{number}", entry)
        return server

    async def ask_one(self, answer: Answer, method: str, body: bytes = b"") -> int:
        """Status of one request whose only server answers like this."""
        server = await self.add_raw_server(answer)
        instance = await self.platform.ready_instance()
        target = "/signoff/1" if method == "POST" else "/recording/1"
        reply = await self.platform.ask(instance, target, method=method, body=body)
        self.assertEqual(0, instance.shared.memory.used)
        await self.platform.kill(instance.settings.instance)
        self.platform.store.drop("servers", f"i-{server.address.split('.')[3].split(':')[0]}")
        return reply.status


class TestAnswersThatBreakOff(BrokenCase):
    async def test_answer_without_a_length_while_the_upload_is_written(self):
        for pause_s in (0.0, 0.3):
            for ends_first in (False, True):
                for is_sealed in (False, True):
                    with self.subTest(pause_s=pause_s, ends_first=ends_first, sealed=is_sealed):
                        answer = break_off(False, pause_s, ends_first, is_sealed)
                        status = await self.ask_one(answer, "POST", b"u" * UPLOAD_BYTES)
                        self.assertEqual(502, status)

    async def test_answer_without_a_length_after_the_whole_upload(self):
        for ends_first in (False, True):
            with self.subTest(ends_first=ends_first):
                answer = break_off(True, 0.0, ends_first)
                status = await self.ask_one(answer, "POST", b"u" * UPLOAD_BYTES)
                self.assertEqual(502, status)

    async def test_whole_answer_without_a_length_is_passed_on(self):
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sealed: bytes
        ) -> None:
            await reader.readexactly(UPLOAD_BYTES)
            writer.write(b"HTTP/1.1 200 OK\r\n" + sealed + b"\r\n" + PART)
            await writer.drain()
            writer.close()
            await writer.wait_closed()

        self.assertEqual(200, await self.ask_one(answer, "POST", b"u" * UPLOAD_BYTES))

    async def test_answers_with_a_length_or_chunks_that_end_early(self):
        for framing in (
            b"Content-Length: 9\r\n\r\npart",
            b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
        ):
            with self.subTest(framing):

                async def answer(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    sealed: bytes,
                    framing: bytes = framing,
                ) -> None:
                    writer.write(b"HTTP/1.1 200 OK\r\n" + sealed + framing)
                    await writer.drain()
                    writer.close()
                    await writer.wait_closed()

                self.assertEqual(502, await self.ask_one(answer, "GET"))

    async def test_answers_that_have_no_body_are_whole(self):
        for method, status in (("HEAD", 200), ("GET", 204), ("GET", 304)):
            with self.subTest(f"{method} {status}"):
                answer = state(f"{status} Fine", b"\r\n")
                self.assertEqual(status, await self.ask_one(answer, method))
