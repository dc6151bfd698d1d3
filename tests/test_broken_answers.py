"""Answers that break off or whose status is none: no caller may get them as an answer."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from papayalever.cluster.messages import Carried

from .support.cuts import Cut, ServerCut
from .support.platform import configuration
from .test_cut_from_servers import CutCase, FirstTries
from .test_entry import PlatformCase

UPLOAD_BYTES = 6_000_000
PART = b"p" * 30_000
STATUS_LINES = ("000 None", "000", "099 Low", "199 Interim", "101 Switching", "700 High", "999 Top")
NO_STATUS_LINES = ("0 Short", "20 Short", "2000 Long", "abc Words", "-20 Minus", "")

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


class TestStatusesThatAreNone(BrokenCase):
    async def test_caller_gets_a_failure_before_its_deadline(self):
        for line in STATUS_LINES + NO_STATUS_LINES:
            for method in ("GET", "POST", "HEAD"):
                with self.subTest(line, method=method):
                    self.assertEqual(502, await self.ask_one(state(line), method, b""))

    async def test_request_that_may_be_repeated_goes_on_to_another_server(self):
        for line in ("000 None", "199 Interim"):
            await self.add_raw_server(state(line))
        for _ in range(2):
            await self.platform.add_server()
        self.platform.store.put("config", "main", configuration(5, lookup={"attempts": 3}))
        instance = await self.platform.ready_instance()
        replies = [
            await self.platform.ask(instance, f"/lookup/{number}", key=f"k{number}")
            for number in range(8)
        ]
        self.assertEqual({200}, {reply.status for reply in replies})

    async def test_interim_answers_before_the_final_one_are_passed_over(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 More\r\n\r\n"

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sealed: bytes
        ) -> None:
            writer.write(interim + b"HTTP/1.1 200 OK\r\n" + sealed + b"Content-Length: 2\r\n\r\nok")
            await writer.drain()
            await reader.read()

        self.assertEqual(200, await self.ask_one(answer, "GET"))


class TestCarriedAnswers(CutCase):
    """The answers reach the caller's instance by way of another one."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instance = self.instances[0]
        ServerCut([self.instance], Cut.RESET)
        await FirstTries(self.platform, [self.instance]).run(0.5)
        self.assertTrue(self.instance.shared.paths.is_cut)

    async def test_broken_answers_of_a_carrier_are_failures(self):
        for start in (
            b"HTTP/1.1 000 None\r\nContent-Length: 2\r\n",
            b"HTTP/1.1 199 Interim\r\nContent-Length: 2\r\n",
            b"HTTP/1.1 999 Top\r\nContent-Length: 2\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
        ):
            with self.subTest(start):

                async def answer(seen, writer, start: bytes = start) -> None:
                    sealed = f"Attempt-Id: {seen.id}\r\nResponse-Seal: s\r\n\r\nno"
                    writer.write(start + sealed.encode())
                    await writer.drain()
                    writer.close()

                for server in self.servers:
                    server.behave = answer
                reply = await self.platform.ask(
                    self.instance, "/signoff/1", method="POST", body=b"x"
                )
                self.assertEqual(502, reply.status)

    async def test_status_of_an_older_carrier_is_checked(self):
        async def carry(_message: object) -> object:
            return self.make_reply()

        for item in self.instances[1:]:
            item.carry_server.handle_carry = carry
        reply = await self.platform.ask(self.instance, "/signoff/1", method="POST", body=b"x")
        self.assertEqual(502, reply.status)

    @staticmethod
    def make_reply() -> Carried:
        headers = [(b"response-seal", b"s")]
        return Carried(is_sent=True, status=0, reason=b"None", headers=headers, body=b"no")
