"""Odd objects that another writer left in the store: each costs itself and nothing else."""

import asyncio
import unittest

import msgspec

from papayalever.cluster.exceptions import PeerUnreachableError
from papayalever.cluster.links import LinkPool
from papayalever.cluster.messages import Follow
from papayalever.entry.connection import SendError, SendFailure, connect
from papayalever.entry.crashes import CRASH_KIND
from papayalever.entry.instance import EntryInstance
from papayalever.entry.state_updates import INSTANCE_KIND
from papayalever.platform import objects
from papayalever.platform.documents import UNREADABLE, DocumentError, read_page

from .support.platform import REGIONS, configuration, dump
from .test_entry import PlatformCase

NESTED = msgspec.Raw(b"[" * 100_000 + b"]" * 100_000)
NESTED_LESS = msgspec.Raw(b'{"a":' * 900 + b"1" + b"}" * 900)
"""Decoded as part of a page, but not at the depth of the code that reads the object."""
KNOWN_S = 2.5
SERVER = {
    "service": "logboek",
    "address": "10.9.9.9:80",
    "zone": "noord-a",
    "version": "v1",
    "max_concurrency": 3,
    "phase": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
ODD_VALUES_BY_FIELD = {
    "address": ("10.9.9.9:0", "10.9.9.9:99999", "999.0.0.1:80", "10.9.9.9:080808", "٣.0.0.1:80"),
    "born": (msgspec.Raw(b"9" * 400), msgspec.Raw(b"9" * 5000), -1),
    "warmup_left_ms": (msgspec.Raw(b"9" * 30), msgspec.Raw(b"1e400"), -1),
    "sequence": (msgspec.Raw(b"9" * 400), -1),
    "max_concurrency": (0, 10**9, msgspec.Raw(b"9" * 400)),
}
ODD_SERVERS = [
    NESTED,
    NESTED_LESS,
    *(SERVER | {field: NESTED} for field in (*SERVER, "unknown")),
    *(SERVER | {field: value} for field, values in ODD_VALUES_BY_FIELD.items() for value in values),
]
INSTANCE = {
    "name": "edge-odd",
    "failure_domain": "noord-a",
    "region": "noord",
    "peer_address": "127.0.0.1:1",
    "caller_address": "127.0.0.1:1",
    "capacity": 400.0,
    "started_ms": 1,
}
ODD_INSTANCES = [
    NESTED,
    INSTANCE | {"peer_address": "127.0.0.1:99999"},
    INSTANCE | {"peer_address": "no address"},
    INSTANCE | {"peer_address": "[::1"},
    INSTANCE | {"started_ms": msgspec.Raw(b"-" + b"9" * 400)},
    INSTANCE | {"started_ms": -1},
    INSTANCE | {"capacity": msgspec.Raw(b"9" * 300)},
    INSTANCE | {"capacity": -1.0},
    INSTANCE | {"region": NESTED},
    INSTANCE,
]
"""The last one has the name of another object."""


def odd_configurations(version: int) -> list:
    """Configurations that none may put in force."""
    odd = [NESTED, NESTED_LESS, configuration(version) | {"resources": NESTED}]
    odd.append(configuration(version) | {"version": f"r{'9' * 400}"})
    for field, value in (
        ("timeout_ms", msgspec.Raw(b"9" * 300)),
        ("attempts", msgspec.Raw(b"9" * 400)),
        ("priority", msgspec.Raw(b"9" * 400)),
        ("host", NESTED),
    ):
        odd.append(configuration(version, lookup={field: value}))
    odd.append(configuration(version, limits={"idle_timeout_ms": msgspec.Raw(b"9" * 400)}))
    return odd


class OddCase(PlatformCase):
    def put_odd(self) -> None:
        put = self.platform.store.put
        for number, spec in enumerate(ODD_SERVERS):
            put("servers", f"i-odd{number}", spec)
        for number, spec in enumerate(ODD_INSTANCES):
            put(INSTANCE_KIND, f"edge-odd{number}", spec)
        for number, spec in enumerate((NESTED, NESTED_LESS, {"digest": 7}, {"digest": NESTED})):
            put(CRASH_KIND, f"odd{number}", spec)
        put("evacuations", "nowhere", NESTED)

    async def start_two(self) -> list[EntryInstance]:
        instances = [await self.platform.ready_instance() for _ in range(2)]
        await self.platform.wait(
            lambda: all(item.shared.instances == 2 for item in instances), "they know each other"
        )
        return instances

    async def check_follows(self, instances: list[EntryInstance], version: int) -> None:
        """Whether changes of all kinds still reach the instances, and callers their servers."""
        server = await self.platform.add_server()
        self.platform.store.put("config", "main", configuration(version))
        self.platform.store.put("evacuations", "midden-a", {})
        for item in instances:
            await self.platform.wait(
                lambda item=item: item.shared.routes.version == version
                and "midden-a" in item.shared.servers.evacuated
                and server.id in item.shared.servers.server_by_id,
                "changes are known",
                KNOWN_S,
            )
            ids = set(item.shared.servers.server_by_id)
            self.assertEqual(set(self.platform.server_by_id), ids)
            self.assertEqual(len(instances), item.shared.instances)
            self.assertEqual(200, (await self.platform.ask(item, "/lookup/1")).status)
        self.platform.store.drop("evacuations", "midden-a")


class TestOddEntries(OddCase):
    async def test_list_with_odd_entries_is_read_and_followed(self):
        self.put_odd()
        await self.platform.add_server()
        instances = await self.start_two()
        await self.check_follows(instances, 8)

    async def test_odd_entries_in_a_watch_change_nothing(self):
        await self.platform.add_server()
        instances = await self.start_two()
        await self.check_follows(instances, 8)
        self.put_odd()
        await asyncio.sleep(1.0)
        await self.check_follows(instances, 9)

    async def test_odd_configuration_leaves_the_last_good_one_in_force(self):
        await self.platform.add_server()
        instances = await self.start_two()
        for spec in odd_configurations(50):
            self.platform.store.put("config", "main", spec)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        self.assertEqual({3}, {item.shared.routes.version for item in instances})
        await self.check_follows(instances, 51)


class TestNesting(unittest.TestCase):
    def test_only_the_object_that_is_nested_too_deeply_is_unreadable(self):
        kept = {"a": [{"b": '[[[{ " ] }} \\'}], "c": 'x"[', "d": {"e": [1, 2]}}
        # The value itself is the first level.
        for value in ("[" * 99 + "]" * 99, '{"[":' * 99 + "1" + "}" * 99):
            levels = f'{{"x":{value}}}'.encode()
            with self.subTest(value=value[:9]):
                for spec, read in ((levels, levels), (b"[%b]" % levels, UNREADABLE)):
                    items = [
                        b'{"metadata":{"name":"%b"},"spec":%b}' % item
                        for item in ((b"a", dump(kept)), (b"deep", spec), (b"z", dump(kept)))
                    ]
                    page = read_page(b'{"items":[%b],"as_of":3}' % b",".join(items))
                    self.assertEqual(
                        [("a", dump(kept)), ("deep", read), ("z", dump(kept))], page.changes
                    )

    def test_document_that_breaks_off_is_an_error_of_the_store(self):
        for document in (b"[" * 200_000, b'{"a":' * 200_000, b'["' + b"[" * 200_000):
            for body in (document, b'{"as_of":3,"items":' + document):
                with self.subTest(body=body[:30]), self.assertRaises(DocumentError):
                    read_page(body)


class TestReading(unittest.TestCase):
    def test_odd_server_is_a_clear_error(self):
        for spec in ODD_SERVERS:
            value = msgspec.json.encode(spec)
            if b"unknown" in value:
                continue
            with (
                self.subTest(value=value[-60:]),
                self.assertRaises(objects.InvalidObjectError) as caught,
            ):
                objects.read_server("i-odd", value, REGIONS)
            self.assertLess(len(str(caught.exception)), 400)

    def test_odd_configuration_is_a_clear_error(self):
        for spec in odd_configurations(50):
            value = msgspec.json.encode(spec)
            with self.subTest(value=value[:60]), self.assertRaises(objects.InvalidObjectError):
                objects.read_config(value)

    def test_entry_with_the_largest_values_is_good(self):
        entry = SERVER | {"address": "255.255.255.255:65535", "sequence": 2**53}
        self.assertEqual(2**53, objects.read_server("i", dump(entry), REGIONS).sequence)


class TestOddAddresses(unittest.IsolatedAsyncioTestCase):
    async def test_connection_to_an_odd_address_is_not_connected(self):
        for address in (
            "127.0.0.1:99999",
            "127.0.0.1:-5",
            "999.0.0.1:80",
            "x",
            "127.0.0.1:",
            "a\0b:1",
        ):
            with self.subTest(address=address), self.assertRaises(SendError) as caught:
                await connect(address, 0.5)
            self.assertEqual(SendFailure.NOT_CONNECTED, caught.exception.failure)

    async def test_instance_with_an_odd_address_is_unreachable(self):
        pool = LinkPool()
        self.addAsyncCleanup(pool.close)
        for address in ("127.0.0.1:99999", "no address", "[::1", "127.0.0.1:x", "a\0b:1"):
            with self.subTest(address=address), self.assertRaises(PeerUnreachableError):
                await pool.request(address, Follow("edge", {}, 0), 0.5)
