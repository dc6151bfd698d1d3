"""Reports of other operators: repeated refusals, heads cut short, late work at a stop."""

import asyncio

from .support.platform import Seen, refusal, sealed
from .test_entry import PlatformCase

STOP_S = 3.0
"""Grace time of a planned stop in these tests."""


class TestRepeatedRefusal(PlatformCase):
    """A faulty server writes an earlier refusal once more on a connection that is kept open."""

    async def test_request_sent_again_is_not_taken_for_refused_by_a_copy_of_its_refusal(self):
        ran: list[str] = []

        def repeating() -> object:
            refused_by_writer: dict[asyncio.StreamWriter, bytes] = {}
            asked: list[str] = []

            async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
                asked.append(seen.id)
                if asked.count(seen.id) == 1:
                    refused_by_writer[writer] = refusal(seen, load="0,0,3")
                    writer.write(refused_by_writer[writer])
                    return
                ran.append(seen.id)
                writer.write(refused_by_writer.get(writer, b""))
                await asyncio.sleep(0.05)
                writer.write(sealed(seen))

            return behave

        for _ in range(2):
            await self.platform.add_server(behave=repeating())
        instance = await self.platform.ready_instance()
        for number in range(6):
            reply = await self.platform.ask(
                instance, f"/signoff/{number}", id=f"w{number}", method="POST", body=b"x"
            )
            self.assertEqual(200, reply.status)
        self.assertEqual(len(set(ran)), len(ran))

    async def test_copy_of_another_requests_refusal_is_passed_over(self):
        earlier_by_writer: dict[asyncio.StreamWriter, Seen] = {}
        ran: list[str] = []

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            earlier = earlier_by_writer.get(writer)
            earlier_by_writer[writer] = seen
            if earlier is None:
                writer.write(refusal(seen, load="0,0,3"))
                return
            ran.append(seen.id)
            writer.write(refusal(earlier))
            without_id = refusal(earlier).replace(f"Attempt-Id: {earlier.id}\r\n".encode(), b"")
            writer.write(without_id)
            await asyncio.sleep(0.02)
            writer.write(sealed(seen))

        await self.platform.add_server(behave=behave)
        instance = await self.platform.ready_instance()
        replies = [
            await self.platform.ask(
                instance, f"/signoff/{number}", id=f"w{number}", method="POST", body=b"x"
            )
            for number in range(4)
        ]
        self.assertTrue(ran)
        statuses = {f"w{number}": reply.status for number, reply in enumerate(replies)}
        self.assertEqual([200] * len(ran), [statuses[id] for id in ran])


class TestHeadCutShort(PlatformCase):
    """A server stops in the middle of the head of its answer and closes the connection."""

    async def ask_server_that_cuts(self, share: float, before: bytes = b"") -> tuple[int, bytes]:
        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            head, _, _ = sealed(seen, b"x" * 500).partition(b"\r\n\r\n")
            head += b"\r\n"
            writer.write(before + head[: int(len(head) * share)])
            await writer.drain()
            writer.close()

        server = await self.platform.add_server(behave=behave)
        servers = self.instance.shared.servers
        await self.platform.wait(lambda: server.id in servers.server_by_id, "the server is listed")
        reply = await self.platform.ask(self.instance, "/signoff/1", method="POST", body=b"x")
        self.assertEqual(1, len(server.seen))
        self.platform.store.drop("servers", server.id)
        await self.platform.wait(lambda: not servers.server_by_id, "the server is gone")
        return reply.status, reply.body

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instance = await self.platform.ready_instance()

    async def test_answer_cut_in_its_head_is_no_success_wherever_the_cut_is(self):
        for tenths in range(1, 11):
            status, _ = await self.ask_server_that_cuts(tenths / 10)
            self.assertEqual(502, status, tenths)

    async def test_answer_cut_in_the_head_that_follows_an_interim_response_is_no_success(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        self.assertEqual(502, (await self.ask_server_that_cuts(0.8, interim))[0])

    async def test_answer_cut_in_the_head_that_follows_a_skipped_response_is_no_success(self):
        foreign = sealed(Seen("other", "GET", "/", {}, b""))
        self.assertEqual(502, (await self.ask_server_that_cuts(0.8, foreign))[0])
