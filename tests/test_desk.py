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
from papayalever.entry.permit_broker import (
    LONG_POLL_S,
    REPLY_TIMEOUT_S,
    Permit,
    PermitBroker,
    PermitSpec,
)
from papayalever.routing.health import SendOutcome
from papayalever.routing.owners import Owners
from papayalever.routing.permits import PermitDecision, PermitScheduler
from papayalever.routing.placement import Placement, PlacementKey
from papayalever.routing.replication_tree import ReplicationTree
from papayalever.routing.server_limits import ServerLimits
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


def build_broker(own: str, pool: object) -> tuple[PermitBroker, ServerTable]:
    table = ServerTable()
    table.put(server_entry(1), now())
    owners = Owners()
    owners.set_instances({"owner": instance_entry("owner")})
    places = PermitScheduler(lambda service: 1.0, table.may_send)
    return (
        PermitBroker(
            ReplicationTree(instance_entry(own)).own, owners, table, ServerLimits(), places, pool
        ),
        table,
    )


def permit_spec(target_s: float = 0.5) -> PermitSpec:
    return PermitSpec(0, now() + target_s, target_s, now() + LEASE_S, "o1", False)


def ask(instance: str, number: int) -> AcquirePermit:
    lease_ms = int(LEASE_S * 1000)
    return AcquirePermit(instance, number, "i-1", 0, PATIENT_MS, lease_ms, "o1", False, False)


class TestSilentOwner(unittest.IsolatedAsyncioTestCase):
    async def test_wait_for_an_owner_that_went_silent_ends_soon(self):
        broker, table = build_broker("asker", SilentPool())
        server = Placement(table, "noord", {}).order(
            PlacementKey("logboek", "o1", frozenset()), 0.0
        )[0]
        began = now()
        await broker.acquire(server, permit_spec())
        self.assertLess(now() - began, LONG_POLL_S + REPLY_TIMEOUT_S + SLACK_S)


class PoolToOwner:
    """Links to an owner that runs in the same process."""

    def __init__(self, owner: PermitBroker) -> None:
        self.owner = owner

    async def request(self, address: str, message: object, timeout_s: float) -> PermitReply:
        return self.owner.handle_acquire(message)

    async def notify(self, address: str, message: ReleasePermit, timeout_s: float) -> None:
        self.owner.handle_release(message)


class QueueingPool:
    """Links to an owner that queues a request, expects a wait and then grants it."""

    def __init__(self, wait_ms: int) -> None:
        self.wait_ms = wait_ms

    async def request(self, address: str, message: object, timeout_s: float) -> PermitReply:
        if isinstance(message, AcquirePermit):
            return PermitReply(PermitState.QUEUED, self.wait_ms)
        return PermitReply(PermitState.GRANTED, 0)

    async def notify(self, address: str, message: ReleasePermit, timeout_s: float) -> None:
        return


class TestFallback(unittest.IsolatedAsyncioTestCase):
    async def is_fallback_tried(self, wait_ms: int, target_s: float) -> bool:
        broker, table = build_broker("asker", QueueingPool(wait_ms))
        tried = []

        async def find_fallback() -> None:
            tried.append(True)

        permit = await broker.acquire(
            table.server_by_id["i-1"], permit_spec(target_s), find_fallback
        )
        self.assertIsInstance(permit, Permit)
        return bool(tried)

    async def test_urgent_request_leaves_its_object_for_a_server_with_room(self):
        self.assertTrue(await self.is_fallback_tried(wait_ms=200, target_s=0.5))
        self.assertFalse(await self.is_fallback_tried(wait_ms=80, target_s=0.5))

    async def test_delay_tolerant_request_waits_for_the_server_that_has_its_object(self):
        # A burst of these: each run at a server without the object takes the room of four.
        self.assertFalse(await self.is_fallback_tried(wait_ms=600, target_s=4.0))
        self.assertTrue(await self.is_fallback_tried(wait_ms=1000, target_s=4.0))


class TestOwnerWithoutState(unittest.IsolatedAsyncioTestCase):
    async def test_instances_send_on_their_own_until_the_owner_knows_its_servers(self):
        # All instances were killed at once: the owner is up again and has loaded nothing yet.
        owner, owner_table = build_broker("owner", SilentPool())
        owner_table.replace_all([], now())
        broker, table = build_broker("asker", PoolToOwner(owner))
        server = table.server_by_id["i-1"]
        permits = [await broker.acquire(server, permit_spec()) for _ in range(4)]
        self.assertEqual([True, True, True, False], [isinstance(item, Permit) for item in permits])
        owner_table.put(server_entry(1), now())
        for permit in permits[:3]:
            broker.note_end(permit, 0.1, -1, SendOutcome.GOOD)
        self.assertIsInstance(await broker.acquire(server, permit_spec()), Permit)

    async def test_server_that_the_owner_no_longer_knows_is_refused(self):
        owner, owner_table = build_broker("owner", SilentPool())
        owner_table.replace_all([server_entry(2)], now())
        broker, table = build_broker("asker", PoolToOwner(owner))
        refusal = await broker.acquire(table.server_by_id["i-1"], permit_spec())
        self.assertIsInstance(refusal, PermitDecision)


class TestWaiting(unittest.IsolatedAsyncioTestCase):
    async def test_verdict_between_two_questions_is_kept_for_the_next(self):
        broker, _ = build_broker("owner", SilentPool())
        for number in range(1, 5):
            self.assertEqual(PermitState.GRANTED, broker.handle_acquire(ask("other", number)).state)
        self.assertEqual(PermitState.QUEUED, broker.handle_acquire(ask("other", 5)).state)
        waiting = AwaitPermit("other", 5)
        self.assertEqual(PermitState.QUEUED, (await broker.handle_await(waiting)).state)
        broker.handle_release(ReleasePermit("other", 1, 100, -1, "good"))
        await asyncio.sleep(0.05)
        self.assertEqual(PermitState.GRANTED, (await broker.handle_await(waiting)).state)
        self.assertEqual(PermitState.REFUSED, (await broker.handle_await(waiting)).state)
