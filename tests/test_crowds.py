"""Callers beyond control: the process lives, stays within its machine and goes on to answer."""

import asyncio
import itertools

from .support.crowd import DIRECTORY, READY, CrowdCase, Endless
from .support.platform import Caller, Seen, sealed

HEAD_BYTES = 15_500
PIECE = b"x" * 65_536
BODY_BYTES = 16_777_216
LARGE_ANSWER_BYTES = 1_000_000


def request_head(method: str, target: str, *lines: str) -> bytes:
    """The start of a request's head, without the empty line at its end."""
    start = f"{method} {target} HTTP/1.1\r\nHost: papaya.example\r\nAttempt-Id: c1\r\n"
    return (start + "".join(f"{line}\r\n" for line in lines)).encode()


def fill(head: bytes, line: bytes, size: int = HEAD_BYTES) -> bytes:
    """A head with as many of the same header lines as fit."""
    return head + line * ((size - len(head)) // len(line))


CHUNKED_HEAD = request_head("POST", "/scan/1", "Transfer-Encoding: chunked") + b"\r\n"
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
SHORT_LINE = b"a:b\r\n"
ODD_LINES = {
    "without a value": b"a:\r\n",
    "with spaces only": b"a:     \r\n",
    "continued": b"a:b\r\n c\r\n d\r\n",
    "upper case": b"X-ABCDEFGHIJ:b\r\n",
}


class TestHeads(CrowdCase):
    async def test_pipelined_heads_of_short_lines(self):
        head = fill(request_head("GET", "/lookup/1"), SHORT_LINE) + b"\r\n"
        await self.crowd(100, Endless(b"", head), reads=True)
        await self.check_after()

    async def test_pipelined_heads_of_odd_lines(self):
        for name, line in ODD_LINES.items():
            with self.subTest(name):
                head = fill(request_head("GET", "/lookup/1"), line) + b"\r\n"
                await self.crowd(60, Endless(b"", head), reads=True)
                await self.check_after()

    async def test_heads_without_end(self):
        await self.crowd(600, [fill(request_head("GET", "/lookup/1"), SHORT_LINE)])
        await self.check_after()

    async def test_heads_without_end_at_the_directory(self):
        await self.crowd(600, [fill(request_head("GET", "/resolve"), SHORT_LINE, 8000)], DIRECTORY)
        await self.check_after()


class TestBodies(CrowdCase):
    limits = CrowdCase.limits | {"max_body_bytes": BODY_BYTES}

    async def test_bodies_but_for_the_last_byte(self):
        head = request_head("POST", "/scan/1", f"Content-Length: {BODY_BYTES}") + b"\r\n"
        body = b"x" * (BODY_BYTES - 1)
        await self.crowd(60, [head, body])
        await self.check_after()

    async def test_chunked_bodies_but_for_the_last_byte(self):
        chunks = [CHUNK] * (BODY_BYTES // len(PIECE))
        await self.crowd(60, [CHUNKED_HEAD, *chunks])
        await self.check_after()

    async def test_whole_bodies_at_once(self):
        head = request_head("POST", "/scan/1", f"Content-Length: {BODY_BYTES}") + b"\r\n"
        await self.crowd(60, Endless(b"", head + b"x" * BODY_BYTES), reads=True)
        await self.check_after()

    async def test_bodies_in_tiny_chunks(self):
        await self.crowd(60, Endless(CHUNKED_HEAD, b"1\r\nx\r\n" * 10_000))
        await self.check_after()

    async def test_uploads_whose_callers_leave(self):
        head = request_head("POST", "/scan/1", f"Content-Length: {BODY_BYTES}") + b"\r\n"
        for _ in range(3):
            for share in (2, 1):
                await asyncio.gather(
                    *(self._leave(head + b"x" * (BODY_BYTES // share)) for _ in range(6))
                )
        await self.check_after()

    async def _leave(self, data: bytes) -> None:
        _, writer = await asyncio.open_connection(self.ip, 8144)
        writer.write(data)
        await asyncio.sleep(0.3)
        writer.transport.abort()


class TestFraming(CrowdCase):
    limits = TestBodies.limits

    async def test_trailers_without_end(self):
        start = CHUNKED_HEAD + CHUNK * 16 + b"0\r\n"
        await self.crowd(30, Endless(start, SHORT_LINE * 3000))
        await self.check_after()

    async def test_one_trailer_line_without_end(self):
        start = CHUNKED_HEAD + CHUNK * 32 + b"0\r\na: "
        await self.crowd(60, Endless(start, PIECE))
        await self.check_after()

    async def test_chunk_extensions_without_end(self):
        start = CHUNKED_HEAD + CHUNK * 32 + b"10000;a="
        await self.crowd(60, Endless(start, PIECE))
        await self.check_after()


class TestUnreadAnswers(CrowdCase):
    limits = TestBodies.limits

    @staticmethod
    async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(sealed(seen, b"r" * LARGE_ANSWER_BYTES))

    async def test_pipelined_requests(self):
        request = request_head("GET", "/lookup/1") + b"\r\n"
        await self.crowd(60, Endless(b"", request * 8))
        await self.check_after()

    async def test_whole_uploads(self):
        head = request_head("POST", "/scan/1", f"Content-Length: {BODY_BYTES}") + b"\r\n"
        await self.crowd(60, Endless(b"", head + b"x" * BODY_BYTES))
        await self.check_after()


class TestConnections(CrowdCase):
    max_fds = 600
    """Of which 200 are for files."""

    async def test_connections_that_send_nothing(self):
        await self.crowd(900, [])
        await self.check_after()

    async def test_connections_to_every_port_that_send_nothing(self):
        await asyncio.gather(
            self.crowd(300, []), self.crowd(300, [], READY), self.crowd(300, [], DIRECTORY)
        )
        await self.check_after()
        self.assertEqual(200, (await self.ask("/readyz", port=READY)).status)

    async def test_connections_kept_after_one_request(self):
        request = request_head("GET", "/lookup/1") + b"\r\n"
        await self.crowd(900, [request], reads=True)
        await self.check_after()


class TestMixed(CrowdCase):
    async def test_several_kinds_beside_each_other(self):
        short = fill(request_head("GET", "/lookup/1"), SHORT_LINE)
        upload = request_head("POST", "/scan/1", f"Content-Length: {BODY_BYTES}") + b"\r\n"
        await asyncio.gather(
            self.crowd(40, Endless(b"", short + b"\r\n"), reads=True),
            self.crowd(200, [short]),
            self.crowd(10, [upload, b"x" * (BODY_BYTES - 1)]),
            self.crowd(10, Endless(CHUNKED_HEAD, b"1\r\nx\r\n" * 10_000)),
            self.crowd(10, Endless(CHUNKED_HEAD + CHUNK * 16 + b"0\r\n", SHORT_LINE * 3000)),
            self.crowd(10, Endless(CHUNKED_HEAD + CHUNK * 16 + b"10000;a=", PIECE)),
            self.crowd(100, []),
            self.crowd(100, [], DIRECTORY),
        )
        await self.check_after()


class TestKeys(CrowdCase):
    """What a caller chooses is not remembered at its length."""

    async def test_long_keys_of_objects(self):
        await asyncio.gather(*(self._look_up(name, 160) for name in range(30)))
        await self.check_after()

    async def _look_up(self, name: int, times: int) -> None:
        caller = await Caller.connect(f"{self.ip}:8144")
        for number in range(times):
            caller.send("/lookup/1", f"k{name}-{number}", key=f"{name}-{number}-" + "k" * 15_000)
            await caller.read()
        caller.close()


class TestSingleRequests(CrowdCase):
    """One request after the other at the limits of the users' sites."""

    memory_mb = 222
    limits = CrowdCase.limits | {"max_body_bytes": 67_108_864}

    async def test_uploads_up_to_the_limit_are_served(self):
        for size in (1_000_000, 24_000_000, 32_000_000, 48_000_000, 67_108_864):
            reply = await self.ask("/scan/1", "POST", b"x" * size)
            self.assertEqual(200, reply.status, size)
            self.assertEqual(
                size, max(len(seen.body) for item in self.servers for seen in item.seen)
            )
        await self.check_after()

    async def test_chunked_uploads_up_to_the_limit_are_served(self):
        chunk = b"100000\r\n" + b"x" * 1_048_576 + b"\r\n"
        for chunks in (1, 48, 64):
            self.assertEqual(200, await self._send_chunks([chunk] * chunks), chunks)
        await self.check_after()

    async def _send_chunks(self, chunks: list[bytes]) -> int:
        caller = await asyncio.open_connection(self.ip, 8144)
        caller[1].write(CHUNKED_HEAD + b"".join(chunks) + b"0\r\n\r\n")
        status = (await caller[0].readline()).split(b" ")
        caller[1].transport.abort()
        return int(status[1]) if len(status) > 1 else 0

    async def test_heads_up_to_the_limit_are_served(self):
        for line in (SHORT_LINE, b"a:\r\n", b"a:     \r\n", b"a: " + b"b" * 997 + b"\r\n"):
            head = fill(request_head("GET", "/lookup/1"), line, 16_384 - 4)
            reader, writer = await asyncio.open_connection(self.ip, 8144)
            writer.write(head + b"\r\n")
            self.assertIn(b" 200 ", await reader.readline(), line)
            writer.close()
        await self.check_after()

    async def test_five_large_uploads_beside_each_other_are_served(self):
        for _ in range(2):
            replies = await asyncio.gather(
                *(self.ask("/scan/1", "POST", b"x" * 8_000_000) for _ in range(5))
            )
            self.assertEqual([200] * 5, [reply.status for reply in replies])
        await self.check_after()


class TestLargeAnswers(CrowdCase):
    memory_mb = 222
    slots = 16

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.started = itertools.count()

    async def behave(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        # One after the other, so that each needs a connection and no memory for others.
        await asyncio.sleep(0.5 + 0.05 * (next(self.started) % 64))
        writer.write(sealed(seen, b"r" * 3 * LARGE_ANSWER_BYTES))

    async def test_idle_connections_to_servers_keep_no_answers(self):
        for _ in range(3):
            await asyncio.gather(*(self.ask(f"/lookup/{number}") for number in range(64)))
        await self.check_after()
