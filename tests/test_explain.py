"""From a request's id to its cause, with nothing but the logs of a played failure."""

import asyncio
import io
import json
import os
import tempfile
import unittest
from pathlib import Path

from papayalever.context import Environment
from papayalever.core import main
from papayalever.entry.logs import MAX_LINES_PER_S, JsonLogHandler
from papayalever.explain import explain
from papayalever.routing.health import FAILURES_TO_EJECT
from papayalever.status import ExitStatus

from .support.platform import Platform, Seen, sealed


class TestExplain(unittest.IsolatedAsyncioTestCase):
    async def play(self, directory: str) -> Path:
        """A request whose server is lost and one that answers; the log of the instance."""
        path = Path(directory) / "edge-noord-a-1.log"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
        self.addCleanup(os.close, descriptor)
        with JsonLogHandler(descriptor).applicationbound():
            async with Platform() as platform:

                async def cut(seen: Seen, writer: asyncio.StreamWriter) -> None:
                    writer.transport.abort()

                await platform.add_server(behave=cut)
                instance = await platform.ready_instance()
                await platform.ask(instance, "/signoff/1", id="lost1", method="POST", key="17")
                await platform.ask(instance, "/nowhere/", id="none1")
        return path

    async def test_request_that_lost_its_server_is_explained(self):
        with tempfile.TemporaryDirectory() as directory:
            path = await self.play(directory)
            records = [json.loads(line) for line in path.read_text().splitlines()]
            out, err = io.StringIO(), io.StringIO()
            env = Environment(stdout=out, stderr=err)
            self.assertEqual(ExitStatus.SUCCESS, main(["explain", "lost1", str(path)], env))
            self.assertEqual(ExitStatus.ERROR, main(["explain", "other", str(path)], env))
        events = {record["event"] for record in records}
        self.assertLessEqual(
            {"started", "stopped", "configuration in force", "server list replaced", "request"},
            events,
        )
        text = out.getvalue()
        self.assertIn("status 502", text)
        self.assertIn("sent to i-", text)
        self.assertIn("lost", text)
        self.assertIn("configuration in force: version 3", text)
        self.assertIn("'other'", err.getvalue())

    async def test_refusal_names_the_owners_that_gave_no_place_and_the_failing_server(self):
        async def fail(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, b"", "500 Internal Server Error"))

        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "edge-noord-a-1.log"
            descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
            self.addCleanup(os.close, descriptor)
            with JsonLogHandler(descriptor).applicationbound():
                async with Platform() as platform:
                    server = await platform.add_server(behave=fail)
                    instance = await platform.ready_instance()
                    for number in range(FAILURES_TO_EJECT + 1):
                        await platform.ask(instance, f"/signoff/{number}", id=f"f{number}")
            with path.open() as lines:
                text = "\n".join(explain(f"f{FAILURES_TO_EJECT}", [("edge", lines)]))
            with path.open() as lines:
                events = {json.loads(line)["event"] for line in lines}
        self.assertIn("status 503", text)
        self.assertIn(f"no permit at {server.id}: its owner expected a wait of", text)
        self.assertIn("server failing", events)


EVENT_BY_EARLIER_TEXT = {
    "configuration refused": "configuration rejected",
    "evacuations": "evacuations updated",
    "server list": "server list replaced",
    "store lost": "store unreachable",
    "store regained": "store reachable again",
    "relay followed": "following relay",
    "relay lost": "relay unreachable",
    "store read": "reading the store",
    "owner lost": "owner unreachable",
    "server": "server updated",
    "server gone": "server removed",
    "server entry refused": "server entry rejected",
    "rested connection lost": "idle connection lost",
}
"""Texts of log events before and after their rewording."""


class TestEarlierLogs(unittest.TestCase):
    """Logs of an earlier version must still lead from a request to its cause."""

    def explain_after(self, event: str) -> str:
        cause = {"at": 1.0, "event": event, "server": "i-1"}
        request = {
            "at": 2.0,
            "event": "request",
            "id": "a",
            "status": 502,
            "ms": 5,
            "config": 3,
            "reason": "lost",
            "servers": ["i-1"],
        }
        lines = [json.dumps(cause), json.dumps(request)]
        return "\n".join(explain("a", [("edge-1", lines)]))

    def test_earlier_and_new_text_of_an_event_are_explained_alike(self):
        for earlier, event in EVENT_BY_EARLIER_TEXT.items():
            with self.subTest(event=event):
                found = self.explain_after(event)
                self.assertIn(f" {event}: server i-1", found)
                self.assertEqual(found.replace(event, earlier), self.explain_after(earlier))


class TestTell(unittest.TestCase):
    def test_send_without_an_answer_is_not_called_answered(self):
        record = {
            "at": 1.0,
            "event": "request",
            "id": "a",
            "status": 0,
            "ms": 5,
            "config": 3,
            "reason": "caller left",
            "servers": ["i-1"],
            "loads": [1],
            "failures": [],
        }
        told = "\n".join(explain("a", [("edge-1", [json.dumps(record)])]))
        self.assertIn("sent to i-1 (load known 1): no answer", told)


class TestJsonLines(unittest.TestCase):
    def test_reader_that_does_not_read_delays_nobody_and_is_told_of_what_was_left_out(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        import logbook

        handler = JsonLogHandler(writing)
        log = logbook.Logger("test")
        with handler.applicationbound():
            for number in range(MAX_LINES_PER_S * 20):
                handler._second = 0 if number % MAX_LINES_PER_S == 0 else handler._second
                log.info("request", id="x" * 100)
        self.assertGreater(sum(handler.dropped.values()), 0)

    def test_lines_of_an_event_are_bounded_in_a_second(self):
        with tempfile.TemporaryFile() as file:
            import logbook

            handler = JsonLogHandler(file.fileno())
            log = logbook.Logger("test")
            with handler.applicationbound():
                for _ in range(MAX_LINES_PER_S * 3):
                    log.info("request", id="a")
                log.info("leaving", open_connections=1)
            file.seek(0)
            events = [json.loads(line)["event"] for line in file.read().splitlines()]
        self.assertLessEqual(events.count("request"), 2 * MAX_LINES_PER_S)
        self.assertIn("leaving", events)
