"""Bad input of callers on raw sockets: a clear error, nothing dispatched, nobody else harmed."""

import asyncio
import unittest

from .support.cluster import Cluster, Shape

IDLE_S = 1.0
HOST = "Host: logboek.example\r\n"


class TestBadInput(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = await self.enterAsyncContext(QuickCluster(Shape({"noord": ["noord-a"]})))
        await self.cluster.apply()
        await self.cluster.wait_for(lambda: self.cluster.all_at(1))
        self.host, self.port = next(iter(self.cluster.by_id.values())).caller.split(":")

    async def talk(self, text: str) -> str:
        """Send bytes as they are and read until the instance closes or has answered."""
        reader, writer = await asyncio.open_connection(self.host, int(self.port))
        writer.write(text.encode())
        answer = b""
        while b"\r\n\r\n" not in answer:
            part = await reader.read(65_536)
            if not part:
                break
            answer += part
        writer.close()
        return answer.decode()

    async def expect_unharmed(self) -> None:
        started = sum(item["started"] for item in (await self.cluster.report()).values())
        answer = await self.cluster.send("GET", "/urgent/1")
        self.assertEqual((200, 0), (answer.status, started))

    async def test_oversized_and_malformed_headers(self):
        for text in (
            f"GET /urgent HTTP/1.1\r\n{HOST}X-Long: {'x' * 40_000}\r\n\r\n",
            f"GET /{'x' * 40_000} HTTP/1.1\r\n{HOST}\r\n",
            f"GET /urgent HTTP/1.1\r\n{HOST}Bad Header\r\n\r\n",
            f"GET /urgent HTTP/1.1\r\n{HOST}X: a\x00b\r\n\r\n",
            "nonsense\r\n\r\n",
        ):
            self.assertIn(" 400 ", (await self.talk(text)).split("\r\n")[0])
        await self.expect_unharmed()

    async def test_contradictory_lengths(self):
        for text in (
            f"POST /x HTTP/1.1\r\n{HOST}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
            f"POST /x HTTP/1.1\r\n{HOST}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\n",
            f"POST /x HTTP/1.1\r\n{HOST}Content-Length: -4\r\n\r\n",
        ):
            self.assertIn(" 400 ", (await self.talk(text)).split("\r\n")[0])
        await self.expect_unharmed()

    async def test_body_over_the_limit_is_refused_before_dispatch(self):
        answer = await self.talk(
            f"PUT /scan HTTP/1.1\r\n{HOST}Content-Length: {100 * 1024 * 1024}\r\n\r\n"
        )
        self.assertIn(" 413 ", answer.split("\r\n")[0])
        await self.expect_unharmed()

    async def test_sender_that_stops_is_refused_and_never_dispatched(self):
        answer = await self.talk(f"POST /x HTTP/1.1\r\n{HOST}Content-Length: 10\r\n\r\nabc")
        self.assertIn(" 408 ", answer.split("\r\n")[0])
        await self.expect_unharmed()

    async def test_caller_that_leaves_in_mid_body_harms_nobody(self):
        reader, writer = await asyncio.open_connection(self.host, int(self.port))
        writer.write(f"PUT /scan HTTP/1.1\r\n{HOST}Content-Length: 200000\r\n\r\n".encode())
        writer.write(b"x" * 100_000)
        await writer.drain()
        writer.transport.abort()
        answer = await self.cluster.send("GET", "/urgent/1")
        self.assertEqual(200, answer.status)


class QuickCluster(Cluster):
    """A cluster whose instances lose patience soon."""

    def settings(self, instance) -> dict:
        return {**super().settings(instance), "limits": {"idle_body_s": IDLE_S}}
