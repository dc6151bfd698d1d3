"""Servers that name a limit of requests per second: what is read, logged and sent."""

import asyncio
import io
import itertools
import json
import os
import tempfile
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import logbook

from papayalever.context import Environment
from papayalever.core import main
from papayalever.entry.instance import EntryInstance
from papayalever.entry.logs import JsonLogHandler
from papayalever.routing.server_limits import FORGET_S, REORDER_S, LimitReport, ServerLimits
from papayalever.status import ExitStatus

from .support.limits import LimitCheck
from .support.platform import Caller, Platform, Reply
from .test_decisions import server_entry

OBJECTS = 40
SEED = 25


class TestLimitReports(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = ServerLimits()
        self.server = server_entry(1)

    def note(self, per_s: float | None, seen_at: float) -> bool:
        return self.limits.note(self.server, LimitReport(per_s, seen_at))

    def test_limit_appears_changes_and_ends(self):
        self.assertFalse(self.note(None, 0.0))
        self.assertTrue(self.note(2.0, 1.0))
        self.assertFalse(self.note(2.0, 2.0))
        self.assertTrue(self.note(0.5, 2.1))
        self.assertTrue(self.note(4.0, 2.1 + REORDER_S))
        self.assertEqual(4.0, self.limits.find(self.server))
        self.assertTrue(self.note(None, 2.1 + 2 * REORDER_S))
        self.assertIsNone(self.limits.find(self.server))

    def test_older_response_that_arrives_late_neither_raises_nor_ends_a_limit(self):
        self.note(2.0, 1.0)
        for per_s in (None, 5.0):
            self.assertFalse(self.note(per_s, 1.0 + REORDER_S / 2))
        self.assertEqual(2.0, self.limits.find(self.server))

    def test_limit_that_ended_is_not_taken_from_an_old_report(self):
        self.note(2.0, 1.0)
        self.note(None, 9.0)
        self.assertFalse(self.note(2.0, 1.0))
        self.assertIsNone(self.limits.find(self.server))

    def test_restart_ends_a_limit(self):
        self.note(2.0, 1.0)
        self.assertIsNone(self.limits.find(server_entry(1, started_ms=7)))

    def test_server_whose_entry_returns_keeps_its_limit_for_a_while(self):
        self.note(2.0, 1.0)
        self.limits.forget_unlisted({"i-1"}, 1.0 + 2 * FORGET_S)
        self.limits.forget_unlisted(set(), 1.0 + FORGET_S)
        self.assertEqual(2.0, self.limits.find(self.server))
        self.limits.forget_unlisted(set(), 2.0 + FORGET_S)
        self.assertIsNone(self.limits.find(self.server))


class TestLimitLogs(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "edge-noord-a-1.log"
        descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT)
        self.addCleanup(os.close, descriptor)
        self.enterContext(JsonLogHandler(descriptor).applicationbound())

    def events(self, event: str) -> list[dict]:
        records = [json.loads(line) for line in self.path.read_text().splitlines()]
        return [record for record in records if record["event"] == event]

    async def test_limit_and_permit_of_a_send_are_explained(self):
        async with Platform() as platform:
            await platform.add_server(limit="1.5")
            instance = await platform.ready_instance()
            for number in range(2):
                await platform.ask(instance, "/signoff/1", id=f"a{number}", method="POST", key="7")
        (changed,) = self.events("server limit changed")
        self.assertEqual(1.5, changed["per_s"])
        out = io.StringIO()
        self.assertEqual(
            ExitStatus.SUCCESS,
            main(["explain", "a1", str(self.path)], Environment(stdout=out, stderr=io.StringIO())),
        )
        self.assertIn("permitted by owner, limit known 1.5 a second", out.getvalue())

    async def test_unreadable_limit_is_logged_once_and_changes_nothing(self):
        async with Platform() as platform:
            server = await platform.add_server(limit="soon")
            instance = await platform.ready_instance()
            for number in range(5):
                server.limit = f"soon{number}"
                reply = await platform.ask(instance, "/lookup/1", key="7")
                self.assertEqual(200, reply.status)
        self.assertEqual(1, len(self.events("limit of a server is not a number")))
        self.assertEqual([], self.events("server limit changed"))


@dataclass
class Load:
    """Callers that send requests at a fixed rate to instances, and the answers they got."""

    platform: Platform
    check: LimitCheck
    per_s: float
    choose: Callable[[Random], EntryInstance]
    kinds: tuple[str, ...] = ("lookup", "lookup", "signoff")
    replies: list[Reply] = field(default_factory=list)
    _rng: Random = field(default_factory=lambda: Random(SEED))
    _ids: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                group.create_task(self.send_one(self.choose(self._rng)))
                await asyncio.sleep(self._rng.expovariate(self.per_s))

    async def send_one(self, instance: EntryInstance) -> None:
        kind, key = self._rng.choice(self.kinds), str(self._rng.randrange(OBJECTS))
        name = instance.settings.instance
        try:
            caller = await Caller.connect(instance.settings.caller_listener)
        except ConnectionError:
            return
        method = "GET" if kind in ("lookup", "recording") else "POST"
        caller.send(
            f"/{kind}/{key}", f"l{next(self._ids)}", method=method, key=key, entry_name=name
        )
        reply = await caller.read()
        caller.close()
        self.check.note_reply(name, reply.headers, time.monotonic())
        self.replies.append(reply)


class TestServerLimit(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(logbook.NullHandler().applicationbound())
        self.platform = await self.enterAsyncContext(Platform())

    async def test_server_gets_no_more_than_its_limit_from_all_instances(self):
        """Incident LIMIT: limits were not read, and 22 instances sent what they had before."""
        limits = {"2.2": "noord-a", "0.4": "noord-a", "1.6": "midden-a", "": "noord-b"}
        servers = [
            await self.platform.add_server(domain, limit=limit, run_s=0.05)
            for limit, domain in limits.items()
        ]
        instances = [
            await self.platform.add_instance(domain)
            for domain in ("noord-a", "noord-a", "noord-b", "noord-b", "midden-a", "midden-a")
        ]
        await self.platform.wait(
            lambda: all(item.is_ready for item in instances), "the instances are ready"
        )
        check = LimitCheck()
        load = Load(self.platform, check, 60.0, lambda rng: rng.choice(instances))
        await load.run(9.0)
        self.assertEqual([], check.find(servers)[:3])
