"""Entries of other writers whose bytes cannot be read: each costs itself, the others hold."""

import time
import unittest

import msgspec

from papayalever.entry.instance import EntryInstance
from papayalever.platform.documents import (
    MAX_DEPTH,
    UNREADABLE,
    DocumentError,
    read_events,
    read_page,
    read_revision,
)
from papayalever.platform.json_parts import (
    SplitError,
    is_nested_deeper,
    split_array,
    split_object,
)

from .support.platform import dump
from .test_entry import PlatformCase

GOOD = dump({"x": [1, {"y": '} ], "'}], "text": 'A"\\ä€𐍈'})
UNREADABLE_STRINGS = (
    rb'"\ud800"',
    rb'"\udc00"',
    rb'"\ud800\ud800"',
    rb'"\ud800\u0041"',
    rb'"\ud800x"',
    rb'"\x41"',
    rb'"\u12"',
    rb'"\u12G4"',
    b'"\x01"',
    b'"line\nbreak"',
    b'"\xff"',
    b'"\xc0\xaf"',
    b'"\xed\xa0\x80"',
    b'"\xf0\x9f\x98"',
)
UNREADABLE_VALUES = (
    *UNREADABLE_STRINGS,
    b"NaN",
    b"-Infinity",
    b"01",
    b"+1",
    b"1.",
    b".5",
    b"1e",
    b"0x10",
    b"tru",
    b"undefined",
    b"'text'",
    b"",
    b"[1,]",
    b"{,}",
    b'{"a" 1}',
    b"{1:2}",
    b"\xef\xbb\xbf1",
    b"[" * 100_000 + b"]" * 100_000,
    b'{"a":' * 1000 + b"1" + b"}" * 1000,
)


def spec_with(value: bytes) -> bytes:
    return b'{"service":"logboek","unknown":' + value + b"}"


UNREADABLE_SPECS = (
    *UNREADABLE_VALUES,
    *(spec_with(value) for value in UNREADABLE_VALUES),
    *(b"{" + key + b':1,"service":"logboek"}' for key in UNREADABLE_STRINGS),
)


def encode_item(name: bytes, spec: bytes, more: bytes = b"") -> bytes:
    """An object as the store sends it; ``name`` is encoded."""
    return b'{"metadata":{"name":' + name + b',"revision":7},"spec":' + spec + more + b"}"


def encode_page(items: list[bytes], more: bytes = b"") -> bytes:
    return b'{"items":[' + b",".join(items) + b'],"as_of":9' + more + b"}"


def encode_events(items: list[bytes]) -> bytes:
    events = [b'{"object":' + item + b',"deleted":false}' for item in items]
    return b'{"events":[' + b",".join(events) + b'],"as_of":9}'


class TestUnreadableEntriesOfResponses(unittest.TestCase):
    """Guards against one unreadable entry that made a whole list or watch unreadable."""

    def test_each_unreadable_value_or_key_costs_only_its_entry_wherever_it_is(self):
        good = [encode_item(b'"a"', GOOD), encode_item(b'"z"', GOOD)]
        for spec in UNREADABLE_SPECS:
            odd = encode_item(b'"odd"', spec)
            for items in ([odd, *good], [good[0], odd, good[1]], [*good, odd]):
                with self.subTest(spec=spec[:60]):
                    page, events = read_page(encode_page(items)), read_events(encode_events(items))
                    for response in (page, events):
                        value_by_name = dict(response.changes)
                        self.assertEqual({"a": GOOD, "odd": UNREADABLE, "z": GOOD}, value_by_name)
                        self.assertEqual(9, response.as_of)
                        self.assertEqual((1, ["odd"]), self.describe(response))

    def test_all_forms_in_one_response(self):
        items = [
            encode_item(b'"odd%d"' % number, spec) for number, spec in enumerate(UNREADABLE_SPECS)
        ]
        items += [encode_item(name, GOOD) for name in UNREADABLE_STRINGS]
        items.insert(20, encode_item(b'"a"', GOOD))
        for response in (read_page(encode_page(items)), read_events(encode_events(items))):
            readable = [change for change in response.changes if change[1] != UNREADABLE]
            self.assertEqual([("a", GOOD)], readable)
            self.assertEqual(len(UNREADABLE_SPECS) + 1, len(response.changes))
            self.assertEqual(len(items) - 1, response.unreadable.count)

    def describe(self, response) -> tuple[int, list[str]]:
        return response.unreadable.count, response.unreadable.names

    def test_entry_whose_name_is_unreadable_is_left_out(self):
        for name in (*UNREADABLE_STRINGS, b"7", b"null", b"[]"):
            items = [encode_item(b'"a"', GOOD), encode_item(name, GOOD)]
            with self.subTest(name=name):
                for response in (read_page(encode_page(items)), read_events(encode_events(items))):
                    self.assertEqual([("a", GOOD)], response.changes)
                    self.assertEqual(1, response.unreadable.count)

    def test_parts_that_are_not_used_do_not_make_an_entry_unreadable(self):
        for part in (rb',"status":{"x":"\ud800"}', b',"status":NaN', rb',"\ud800":1'):
            odd = encode_item(b'"a"', GOOD, part)
            with self.subTest(part=part):
                self.assertEqual([("a", GOOD)], read_page(encode_page([odd])).changes)
                self.assertEqual([("a", GOOD)], read_events(encode_events([odd])).changes)
                self.assertEqual(7, read_revision(odd))

    def test_deleted_entry_is_deleted_whatever_its_value(self):
        for spec in UNREADABLE_SPECS:
            item = encode_item(b'"odd"', spec)
            leaving = item.replace(b'"revision":7', b'"deleting":true')
            event = b'{"events":[{"deleted":true,"object":' + item + b'}],"as_of":9}'
            with self.subTest(spec=spec[:60]):
                self.assertEqual([("odd", None)], read_events(event).changes)
                self.assertEqual([("odd", None)], read_page(encode_page([leaving])).changes)

    def test_list_goes_on_after_a_page_of_unreadable_names(self):
        for name, cursors in (
            (rb'"a\ud800"', ["a%EF%BF%BD", "a%ED%A0%80"]),
            (b'"a\xff"', ["a%EF%BF%BD", "a%FF"]),
            (rb'"a\x"', ["a%5Cx", "a%5Cx"]),
            (rb'"a\u0041"', ["aA"]),
        ):
            items = [encode_item(other, GOOD) for other in (*UNREADABLE_STRINGS, name)]
            with self.subTest(name=name):
                page = read_page(encode_page([*items, b"null"], b',"has_more":true'))
                self.assertEqual(cursors, page.cursors)

    def test_response_that_is_no_list_is_an_error(self):
        for body in (b"", b"null", b"[]", b'{"items":{}}', b'{"items":[]}', b'{"items":[{"a":"}'):
            with self.subTest(body=body), self.assertRaises(DocumentError):
                read_page(body)

    def test_page_full_of_unreadable_entries_is_read_in_a_fraction_of_a_second(self):
        # The store sends about 500 objects or 1 MB in a page.
        odd = rb'{"service":"\ud800","address":"127.0.0.1:9","zone":"noord-a","phase":"ready"}'
        small = [encode_item(b'"i-%d"' % number, odd) for number in range(500)]
        large = [encode_item(b'"i"', b"[" + b'{"a":"\\x"},' * 80_000 + b"1]")]
        for items in (small, large):
            began = time.process_time()
            page = read_page(encode_page(items))
            self.assertLess(time.process_time() - began, 0.5)
            self.assertEqual(len(items), page.unreadable.count)


class TestParts(unittest.TestCase):
    def test_parts_of_readable_documents_are_their_values(self):
        for document in (
            b"[]",
            b"{ }",
            b' [1, "a,]", [2,[3]], {"b":{"c":[]}} ,null] ',
            rb'{"a":"\\", "b\"":"\"]}", "c":{"d":[1,{"e":"}"}]},"f" : 1.5e3}',
        ):
            value = msgspec.json.decode(document)
            with self.subTest(document=document):
                if isinstance(value, list):
                    self.assertEqual(value, [msgspec.json.decode(x) for x in split_array(document)])
                else:
                    parts = split_object(document).items()
                    self.assertEqual(value, {key: msgspec.json.decode(x) for key, x in parts})

    def test_document_that_breaks_off_is_an_error(self):
        for document in (b"", b"1", b"]", b"[1", b'["a', b"[" * 200_000, b'{"a":' * 200_000):
            for split in (split_array, split_object):
                with self.subTest(document=document[:9]), self.assertRaises(SplitError):
                    split(document)

    def test_depth_is_that_of_the_brackets_outside_strings(self):
        for opening, closing in ((b"[", b"]"), (b'{"a":', b"}"), (b'[{"[[":', b"}]")):
            levels = opening.count(b"[") - opening.count(b'"[[') * 2 + opening.count(b"{")
            document = opening * 30 + b'"' + b"[{" * 500 + b'"' + closing * 30
            with self.subTest(opening=opening):
                self.assertFalse(is_nested_deeper(document, 30 * levels))
                self.assertTrue(is_nested_deeper(document, 30 * levels - 1))


class TestUnreadableEntries(PlatformCase):
    """Guards against one unreadable entry that kept every instance from the list of servers."""

    def put_raw(self, kind: str, name: str, item: bytes) -> None:
        """Store an object as another writer encoded it."""
        store = self.platform.store
        store.revision += 1
        store.objects[kind, name] = msgspec.Raw(item)
        store._note(kind, store.objects[kind, name], False)

    def put_unreadable(self, name: str, spec: bytes) -> None:
        self.put_raw("servers", name, encode_item(dump(name), spec))

    async def wait_servers(self, instances: list[EntryInstance], ids: set[str]) -> None:
        for item in instances:
            await self.platform.wait(
                lambda item=item: set(item.shared.servers.server_by_id) == ids,
                f"{item.settings.instance} has the servers {sorted(ids)}",
                5.0,
            )

    async def test_instance_that_starts_serves_around_a_page_of_unreadable_entries(self):
        for number, spec in enumerate(UNREADABLE_SPECS):
            self.put_unreadable(f"i-0odd{number}", spec)
        for kind in ("servers", "evacuations", "papayalever-instances"):
            for code in range(0xD800, 0xD800 + 2 * self.platform.store.page):
                self.put_raw(kind, chr(code), encode_item(rb'"\u%x"' % code, b"{}"))
        server = await self.platform.add_server()
        instance = await self.platform.ready_instance()
        await self.wait_servers([instance], {server.id})
        self.assertEqual(200, (await self.platform.ask(instance, "/lookup/1")).status)
        self.assertIn(("objects_unreadable", "servers"), instance.metrics.counts)

    async def test_entry_that_becomes_unreadable_and_good_again_is_seen_alike_everywhere(self):
        known, other = [await self.platform.add_server() for _ in range(2)]
        reader = await self.platform.ready_instance()
        follower = await self.platform.ready_instance()
        instances = [reader, follower]
        for spec in (rb'{"service":"\ud800"}', b'{"service":NaN}', spec_with(b"[" * 900)):
            if spec.count(b"[") > MAX_DEPTH:
                spec = spec_with(b"[" * 900 + b"]" * 900)
            self.put_unreadable(other.id, spec)
            await self.wait_servers(instances, {known.id})
            late = await self.platform.ready_instance()
            await self.wait_servers([*instances, late], {known.id})
            self.platform.store.put("servers", other.id, other.entry())
            instances.append(late)
            await self.wait_servers(instances, {known.id, other.id})
        await self.platform.wait(
            lambda: sum(item.follower.is_reading for item in instances) == 1, "one reads", 5.0
        )
