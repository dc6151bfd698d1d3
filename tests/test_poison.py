"""Malformed messages and unexpected errors: the process keeps running and applies later updates."""

import asyncio
import unittest
from unittest.mock import patch

import cbor2
import logbook
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.asyncio.client import connect

from papayalever.cluster.codec import FIRST_TAG, MESSAGE_TYPES, decode, encode
from papayalever.cluster.exceptions import CodecError
from papayalever.cluster.messages import AcquirePermit, Follow, FollowReply, KindUpdate
from papayalever.routing.replication_tree import ReplicationTree

from .support.platform import configuration
from .test_entry import PlatformCase

FUZZ = settings(max_examples=300, derandomize=True, deadline=None, database=None)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5) | st.binary(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)
POISON = [
    b"",
    b"\xff\xff\xff",
    b"\x81" * 5_000,
    cbor2.dumps([1]),
    cbor2.dumps({"a": 1}),
    cbor2.dumps([1, cbor2.CBORTag(99_999, [])]),
    encode(1, Follow("a", None, "soon")),
    encode(1, Follow("a", {"servers": "newest"}, 10)),
    encode(1, AcquirePermit("a", 1, [], "x", None, None, {}, 1, 2)),
    encode(1, FollowReply(True, [KindUpdate("servers", 1, True, [])])),
    b"text",
]


class TestCodec(unittest.TestCase):
    @FUZZ
    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_frame_or_a_clear_error(self, frame):
        try:
            decode(frame)
        except CodecError as error:
            self.assertIn("frame", str(error))

    @FUZZ
    @given(st.integers(0, len(MESSAGE_TYPES) - 1), st.lists(VALUES, max_size=9))
    def test_any_fields_are_a_frame_or_a_clear_error(self, number, values):
        try:
            decode(cbor2.dumps([1, cbor2.CBORTag(FIRST_TAG + number, values)]))
        except CodecError as error:
            self.assertIn("frame", str(error))


class TestPoisonMessages(PlatformCase):
    async def test_each_ends_its_connection_and_nothing_else(self):
        await self.platform.add_server()
        instance = await self.platform.ready_instance()
        handler = logbook.TestHandler()
        with handler.applicationbound():
            for frame in POISON:
                async with connect(f"ws://{instance.settings.peer_listener}/") as socket:
                    await socket.send(frame)
                    try:
                        await asyncio.wait_for(socket.recv(), 2.0)
                    except Exception as error:
                        self.assertNotIsInstance(error, TimeoutError, frame)
        reasons = [item for item in handler.records if "not handled" in (item.message or "")]
        self.assertTrue(reasons)
        self.assertEqual(200, (await self.platform.ask(instance, "/lookup/1")).status)

    async def test_poisoned_reply_of_an_upstream_is_survived(self):
        await self.platform.add_server()
        first = await self.platform.ready_instance()
        second = await self.platform.ready_instance()
        await self.platform.wait(lambda: not second.follower.is_reading, "it follows the first")
        whole = first.follower.handle_follow
        poisoned = 0

        async def poison(message):
            nonlocal poisoned
            poisoned += 1
            if poisoned < 4:
                return FollowReply(True, ["no update", None])
            return await whole(message)

        first.follower.handle_follow = poison
        await self.platform.wait(lambda: poisoned > 3, "the poison is over")
        self.platform.store.put("config", "main", configuration(8))
        await self.platform.wait(lambda: second.shared.routes.version == 8, "in force", 4.0)


class TestUnexpectedErrors(PlatformCase):
    async def test_error_while_an_update_is_applied_costs_that_update_only(self):
        await self.platform.add_server()
        instance = await self.platform.ready_instance()
        updater = instance._state_updater
        whole = updater._apply_by_kind["evacuations"]

        def break_down(update):
            raise ArithmeticError("a fault of the program")

        updater._apply_by_kind["evacuations"] = break_down
        self.platform.store.put("evacuations", "midden-a", {})
        await asyncio.sleep(1.0)
        updater._apply_by_kind["evacuations"] = whole
        self.platform.store.put("evacuations", "noord-b", {})
        self.platform.store.put("config", "main", configuration(8))
        await self.platform.wait(lambda: instance.shared.routes.version == 8, "in force", 2.5)
        await self.platform.wait(
            lambda: "noord-b" in instance.shared.servers.evacuated, "evacuated", 2.5
        )

    async def test_task_that_fails_is_started_again(self):
        await self.platform.add_server()
        instance = await self.platform.add_instance()
        whole, failures = ReplicationTree.is_reader, 0

        def fail_twice(tree: ReplicationTree, now: float) -> bool:
            nonlocal failures
            failures += 1
            if failures <= 2:
                raise ArithmeticError("a fault of the program")
            return whole(tree, now)

        with patch.object(ReplicationTree, "is_reader", fail_twice):
            await self.platform.wait(lambda: failures > 2, "the task runs again", 4.0)
        self.platform.store.put("config", "main", configuration(8))
        await self.platform.wait(lambda: instance.shared.routes.version == 8, "in force", 2.5)


class TestStaleSeed(PlatformCase):
    async def test_server_that_left_is_not_used_after_a_restart_beside_a_stale_seed(self):
        gone = await self.platform.add_server()
        stays = await self.platform.add_server()
        seed = await self.platform.ready_instance()
        cut_off = seed.settings.ip
        self.platform.store.down_for = lambda host: host == cut_off
        await self.platform.wait(lambda: not seed.follower.is_current, "the seed is cut off")
        self.platform.store.drop("servers", gone.id)
        self.platform.store.put("config", "main", configuration(8))
        started = await self.platform.add_instance("noord-b", seed.settings.peer_listener)
        seen: set[str] = set()

        def is_ready() -> bool:
            seen.update(started.shared.servers.server_by_id)
            return started.is_ready

        await self.platform.wait(is_ready, "it is ready", 4.0)
        self.assertEqual(({stays.id}, 8), (seen, started.shared.routes.version))

    async def test_state_of_a_stale_seed_serves_while_the_store_is_away(self):
        await self.platform.add_server()
        seed = await self.platform.ready_instance()
        self.platform.store.down_for = lambda host: True
        await self.platform.wait(lambda: not seed.follower.is_current, "the store is away")
        started = await self.platform.add_instance("noord-b", seed.settings.peer_listener)
        await self.platform.wait(lambda: started.is_ready, "it is ready", 5.0)
        self.assertEqual(200, (await self.platform.ask(started, "/lookup/1")).status)
