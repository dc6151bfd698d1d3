"""Places asked for over links that fail, with the links as fakes."""

import asyncio
import unittest

from papayalever.cluster.exceptions import PeerTimeoutError
from papayalever.cluster.messages import (
    AcquirePermit,
    AwaitPermit,
    PermitReply,
    PermitState,
    ReleasePermit,
)
from papayalever.entry.clock import now
from papayalever.entry.permit_broker import ANSWER_S, AWAIT_S, Desk, Want
from papayalever.routing.owners import Owners
from papayalever.routing.placement import Claim, Placement
from papayalever.routing.places import Places
from papayalever.routing.relays import Relays
from papayalever.routing.servers import ServerTable

from .test_decisions import instance_entry, server_entry

LEASE_S = 5.0
PATIENT_MS = 3000
"""Time to the aim: a request in line stays there for several questions."""
SLACK_S = 0.5
"""For a busy machine."""


class SilentPool:
    """Links to an owner that queues a question and then goes silent."""

    def __init__(self) -> None:
        self.notices: list[ReleasePermit] = []

    async def request(self, address: str, message: object, timeout_s: float) -> PermitReply:
        if isinstance(message, AcquirePermit):
            return PermitReply(PermitState.QUEUED, 50)
        await asyncio.sleep(timeout_s)
        raise PeerTimeoutError(f"{address} did not answer")

    async def notify(self, address: str, message: ReleasePermit, timeout_s: float) -> None:
        self.notices.append(message)


def build_desk(own: str, pool: object) -> tuple[Desk, ServerTable]:
    table = ServerTable()
    table.put(server_entry(1), now())
    owners = Owners()
    owners.set_instances({"owner": instance_entry("owner")})
    places = Places(lambda service: 1.0, table.may_send)
    return Desk(Relays(instance_entry(own)).own, owners, table, places, pool), table


def want() -> Want:
    return Want(0, now() + 0.5, now() + LEASE_S, "o1", False)


def ask(instance: str, number: int) -> AcquirePermit:
    lease_ms = int(LEASE_S * 1000)
    return AcquirePermit(instance, number, "i-1", 0, PATIENT_MS, lease_ms, "o1", False, False)


class TestSilentOwner(unittest.IsolatedAsyncioTestCase):
    async def test_wait_for_an_owner_that_went_silent_ends_soon(self):
        desk, table = build_desk("asker", SilentPool())
        server = Placement(table, "noord", {}).order(Claim("logboek", "o1", frozenset()))[0]
        began = now()
        await desk.acquire(server, want())
        self.assertLess(now() - began, AWAIT_S + ANSWER_S + SLACK_S)


class TestWaiting(unittest.IsolatedAsyncioTestCase):
    async def test_verdict_between_two_questions_is_kept_for_the_next(self):
        desk, _ = build_desk("owner", SilentPool())
        for number in range(1, 5):
            self.assertEqual(PermitState.GRANTED, desk.handle_ask(ask("other", number)).state)
        self.assertEqual(PermitState.QUEUED, desk.handle_ask(ask("other", 5)).state)
        waiting = AwaitPermit("other", 5)
        self.assertEqual(PermitState.QUEUED, (await desk.handle_await(waiting)).state)
        desk.handle_return(ReleasePermit("other", 1, 100, -1, "good"))
        await asyncio.sleep(0.05)
        self.assertEqual(PermitState.GRANTED, (await desk.handle_await(waiting)).state)
        self.assertEqual(PermitState.REFUSED, (await desk.handle_await(waiting)).state)
