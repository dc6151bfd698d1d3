"""Reads the objects that instances themselves store; other writers may store some too."""

import math
from typing import Annotated

import msgspec

from ..addresses import is_address
from ..routing.replication_tree import InstanceEntry

MAX_STARTED_MS = 2**53
MAX_NAME_CHARS = 200


class InvalidOwnObjectError(Exception):
    """A stored object does not have the form in which instances write it."""


class CrashRecord(msgspec.Struct):
    """Stored record of a server that crashed while it ran a request."""

    digest: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
    server: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


def read_instance(name: str, value: bytes) -> InstanceEntry:
    """Decode an instance's entry; raises `InvalidOwnObjectError`."""
    entry = _decode(value, InstanceEntry)
    if entry.name != name:
        raise InvalidOwnObjectError(f"it is the entry of {entry.name[:MAX_NAME_CHARS]!r}")
    if not (is_address(entry.peer_address) and is_address(entry.caller_address)):
        raise InvalidOwnObjectError("an address is not of the form IPv4 address:port")
    if not 0 <= entry.started_ms <= MAX_STARTED_MS:
        raise InvalidOwnObjectError("the start time is out of range")
    if not 0 < entry.capacity < math.inf:
        raise InvalidOwnObjectError("the capacity is not a finite positive number")
    return entry


def read_start(value: bytes) -> int:
    """Start time in an instance's entry of any name; raises `InvalidOwnObjectError`."""
    return _decode(value, InstanceEntry).started_ms


def read_crash_record(value: bytes) -> CrashRecord:
    """Decode a crash record; raises `InvalidOwnObjectError`."""
    return _decode(value, CrashRecord)


def _decode(value: bytes, object_type: type):
    try:
        return msgspec.json.decode(value, type=object_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidOwnObjectError(str(error)) from error
