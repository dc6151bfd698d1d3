"""For each kind of object, how long what was known counts although the store lost it."""

import math

from ..routing.quarantine import CRASH_WINDOW_S
from ..routing.servers import Phase, ServerEntry
from .crashes import CRASH_KIND
from .held_objects import HoldPolicy, Value
from .own_objects import InvalidOwnObjectError, read_start
from .state_updates import INSTANCE_KIND, StoreAdapter

REWRITE_S = 1.9
"""The platform guarantees that what its operators and servers wrote is in the store again within
2 s after an outage or a restored copy."""
HEARTBEATS_PER_LEASE = 3
"""Heartbeats that a server may miss before the store removes its entry."""
INSTANCE_HOLD_S = 10.0
"""How long instances that a restored copy lacks count: 700 of them register again within 7 s."""


def build_hold_policies(adapter: StoreAdapter, heartbeat_s: float) -> dict[str, HoldPolicy]:
    """Policies by kind; ``heartbeat_s`` is the interval at which servers renew their entries."""
    # An entry of a server that left expires in the copy, unless the server lives after all.
    lease_s = (HEARTBEATS_PER_LEASE + 1) * heartbeat_s

    def read_server(value: bytes) -> ServerEntry | None:
        try:
            return adapter.read_server("", value)
        except adapter.error:
            return None

    def hold_server_s(value: Value) -> float:
        entry = read_server(value) if value is not None else None
        return REWRITE_S if entry and entry.phase == Phase.READY else lease_s

    def lapse_server_s(value: bytes) -> float:
        entry = read_server(value)
        return REWRITE_S if entry and entry.phase == Phase.READY else 0.0

    def is_newer_server(known: bytes, stored: bytes) -> bool:
        known_entry, entry = read_server(known), read_server(stored)
        if entry is None:
            return False
        return known_entry is None or _server_order(entry) > _server_order(known_entry)

    def is_newer_config(known: bytes, stored: bytes) -> bool:
        try:
            return adapter.read_config(stored).version >= adapter.read_config(known).version
        except adapter.error:
            return False

    return {
        adapter.config_kind: HoldPolicy(
            lambda _: math.inf, is_newer=is_newer_config, is_ordered=True
        ),
        adapter.server_kind: HoldPolicy(hold_server_s, lapse_server_s, is_newer_server),
        adapter.evacuation_kind: HoldPolicy(lambda _: REWRITE_S),
        INSTANCE_KIND: HoldPolicy(
            lambda value: INSTANCE_HOLD_S if value else math.inf, is_newer=_is_newer_instance
        ),
        CRASH_KIND: HoldPolicy(lambda value: CRASH_WINDOW_S if value else math.inf),
    }


def _server_order(entry: ServerEntry) -> tuple[int, int]:
    return (entry.started_ms or 0, entry.sequence)


def _is_newer_instance(known: bytes, stored: bytes) -> bool:
    try:
        return read_start(stored) > read_start(known)
    except InvalidOwnObjectError:
        return False
