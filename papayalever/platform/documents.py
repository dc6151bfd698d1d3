"""Decodes the store's responses, so that an object which cannot be decoded costs no other one.

A whole response is decoded strictly first. Only if that fails is it split into its objects, and
each of them is decoded for itself: the decoder also rejects malformed values that it skips.
"""

import json
import re
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Annotated, Any
from urllib.parse import quote

import msgspec

from ..entry.store_position import MAX_REVISION
from .json_parts import SplitError, is_nested_deeper, split_array, split_object

MAX_DEPTH = 100
"""Deepest nesting of a readable object. Those of the platform are nested less than ten deep."""
UNREADABLE = b"null"
"""Value of an object that cannot be decoded; the readers of all kinds reject it."""
LONE_SURROGATE = re.compile("[\ud800-\udfff]")
REPLACEMENT = "\ufffd"
"""Stands for bytes that are no text; sorts behind every lone surrogate."""
MAX_LOGGED_NAMES = 3
MAX_LOGGED_CHARS = 200
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
Change = tuple[str, bytes | None]
"""Name of an object and its encoded value, None if it was deleted."""


class DocumentError(Exception):
    """A response cannot be decoded, not even in parts."""


class Metadata(msgspec.Struct):
    """What the store itself records about an object."""

    name: str
    revision: Revision = 0
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """One object; ``spec`` stays encoded for the reader of its kind."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class RawEvent(msgspec.Struct):
    """A changed or deleted object, which stays encoded."""

    object: msgspec.Raw
    deleted: bool = False


class ListResponse(msgspec.Struct):
    """A page of objects, each decoded for itself."""

    items: list[msgspec.Raw]
    as_of: Revision
    has_more: bool = False


class WatchResponse(msgspec.Struct):
    """Changes after the watched revision, each decoded for itself."""

    events: list[msgspec.Raw]
    as_of: Revision


@dataclass(slots=True)
class Unreadable:
    """The objects of one response that could not be decoded."""

    count: int = 0
    names: list[str] = field(default_factory=list)
    """The first few of their names."""
    error: str = ""
    """That of the first one."""

    def note(self, name: str | bytes, error: str) -> None:
        """Record one object; a name that cannot be decoded is given as it was encoded."""
        self.count += 1
        self.error = self.error or error[:MAX_LOGGED_CHARS]
        if len(self.names) < MAX_LOGGED_NAMES:
            text = name if isinstance(name, str) else name.decode("utf-8", "backslashreplace")
            self.names.append(text[:MAX_LOGGED_CHARS])


@dataclass(frozen=True, slots=True)
class Page:
    """Objects of one page of a list."""

    changes: list[Change]
    as_of: int
    cursors: list[str]
    """Percent-encoded names after which the list goes on, none at its end.

    They stand for the same last name: one that is no text has several forms.
    """
    unreadable: Unreadable


@dataclass(frozen=True, slots=True)
class Events:
    """Changes in the response to a watch."""

    changes: list[Change]
    as_of: int
    unreadable: Unreadable


def read_page(body: bytes) -> Page:
    """Decode a page of a list; raises `DocumentError`."""
    response = _decode_parts(body, ListResponse, "items")
    unreadable = Unreadable()
    changes = [_read_object(item, unreadable) for item in response.items]
    cursors = _find_cursors(response.items) if response.has_more else []
    return Page([item for item in changes if item], response.as_of, cursors, unreadable)


def read_events(body: bytes) -> Events:
    """Decode the response to a watch; raises `DocumentError`."""
    response = _decode_parts(body, WatchResponse, "events")
    unreadable = Unreadable()
    changes = [_read_event(event, unreadable) for event in response.events]
    return Events([item for item in changes if item], response.as_of, unreadable)


def read_revision(body: bytes) -> int:
    """Decode the revision in the response to a write; raises `DocumentError`.

    Other writers may have added parts to the object that cannot be decoded.
    """
    try:
        return _read_metadata(split_object(body)).revision
    except (SplitError, KeyError, *DECODE_ERRORS) as error:
        raise DocumentError(f"the store's response cannot be decoded: {error}") from error


def _decode_parts(body: bytes, response_type: type, list_name: str) -> Any:
    """Decode a response whose list of objects stays encoded."""
    try:
        return msgspec.json.decode(body, type=response_type)
    except (msgspec.DecodeError, RecursionError):
        pass  # Probably one object of many: the parts are decoded one by one.
    try:
        part_by_name = split_object(body)
        items = [msgspec.Raw(part) for part in split_array(part_by_name[list_name])]
        envelope = {
            name: msgspec.json.decode(part)
            for name, part in part_by_name.items()
            if name in response_type.__struct_fields__ and name != list_name
        }
        return msgspec.convert(envelope | {list_name: items}, response_type)
    except (SplitError, KeyError, *DECODE_ERRORS) as error:
        raise DocumentError(f"the store's response cannot be decoded: {error}") from error


def _read_event(event: msgspec.Raw, unreadable: Unreadable) -> Change | None:
    """Name and value of a changed object, or None for one without a readable name."""
    try:
        decoded = msgspec.json.decode(event, type=RawEvent)
        stored, is_deleted = decoded.object, decoded.deleted
    except DECODE_ERRORS:
        part_by_name = _split_members(bytes(event))
        stored = msgspec.Raw(part_by_name.get("object", b"null"))
        is_deleted = part_by_name.get("deleted", b"").strip() == b"true"
    change = _read_object(stored, unreadable)
    return (change[0], None) if change and is_deleted else change


def _read_object(item: msgspec.Raw, unreadable: Unreadable) -> Change | None:
    """Name and value of an object, `UNREADABLE` if it has none; None without a readable name."""
    try:
        stored = msgspec.json.decode(item, type=StoredObject)
        metadata, value = stored.metadata, bytes(stored.spec)
        _check_value(value)
    except (SplitError, *DECODE_ERRORS) as error:
        part_by_name = _split_members(bytes(item))
        try:
            metadata = _read_metadata(part_by_name)
        except (SplitError, KeyError, *DECODE_ERRORS):
            unreadable.note(_read_raw_name(part_by_name), str(error))
            return None
        value = part_by_name.get("spec", UNREADABLE)
        if not _is_readable(value):
            unreadable.note(metadata.name, str(error))
            value = UNREADABLE
    return (metadata.name, None if metadata.deleting else value)


def _check_value(value: bytes) -> None:
    """Raise an error for a value that a decoder may pass over only where it is skipped.

    How deep a decoder reads depends on the stack of its caller, which differs between instances.
    """
    if not value.isascii():
        value.decode()
    if is_nested_deeper(value, MAX_DEPTH):
        raise SplitError(f"nested in more than {MAX_DEPTH} levels")


def _is_readable(value: bytes) -> bool:
    try:
        _check_value(value)
        msgspec.json.decode(value)
    except (SplitError, *DECODE_ERRORS):
        return False
    return True


def _split_members(document: bytes) -> dict[str, bytes]:
    """Encoded values by key; none if the document is no object."""
    try:
        return split_object(document)
    except SplitError:
        return {}


def _read_metadata(part_by_name: dict[str, bytes]) -> Metadata:
    """Decode the metadata of an object, each field for itself.

    Raises `KeyError`, `SplitError` or a decoder's error if the name cannot be decoded.
    """
    field_by_name = split_object(part_by_name["metadata"])
    metadata = Metadata(msgspec.json.decode(field_by_name["name"], type=str))
    with suppress(KeyError, *DECODE_ERRORS):
        metadata.revision = msgspec.json.decode(field_by_name["revision"], type=Revision)
    metadata.deleting = field_by_name.get("deleting", b"").strip() == b"true"
    return metadata


def _read_raw_name(part_by_name: dict[str, bytes]) -> bytes:
    """The name of an object as it was encoded, empty if there is none."""
    try:
        return split_object(part_by_name["metadata"])["name"].strip()
    except (SplitError, KeyError):
        return b""


def _find_cursors(items: list[msgspec.Raw]) -> list[str]:
    """Percent-encoded forms of the last name on a page."""
    for item in reversed(items):
        if raw_name := _read_raw_name(_split_members(bytes(item))):
            return _encode_cursors(raw_name)
    return []


def _encode_cursors(raw_name: bytes) -> list[str]:
    """Percent-encoded forms of a name; of one that is no text, its nearest text comes first."""
    try:
        return [quote(msgspec.json.decode(raw_name, type=str))]
    except DECODE_ERRORS:
        pass  # The store may still take some form of it.
    try:
        name = str(json.loads(raw_name.decode(), strict=False))
    except (ValueError, RecursionError):
        name_bytes = raw_name.strip(b'"')
        return [quote(name_bytes.decode("utf-8", "replace")), quote(name_bytes)]
    text = LONE_SURROGATE.sub(REPLACEMENT, name)
    return [quote(text), quote(name.encode("utf-8", "surrogatepass"))]
