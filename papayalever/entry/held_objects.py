"""Objects that the store lost, kept until their writers have had time to write them again.

Two cases: entries that lapsed while the store was away, and all differences between what was known
and a copy that the store restored. What is held hides what the store has, until the object is
written again or the time is over.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..cluster.messages import NO_TIME_LIMIT

DELETED_S = 60.0
MAX_DELETIONS = 2000
"""Age and number of the deletions that are remembered; copies are some seconds old."""

Value = bytes | None
"""A stored value, or None if the object does not exist."""
HeldObject = tuple[str, Value, int]
"""Name, value and milliseconds left, as in `HeldState`."""


@dataclass(frozen=True, slots=True)
class HoldPolicy:
    """How the known objects of a kind are held; the functions must not raise."""

    duration_s: Callable[[Value], float]
    """How long a known value, or a known removal, is held against a restored copy."""
    lapse_s: Callable[[bytes], float] = lambda _: 0.0
    """How long a known value is held that is missing after an outage of the store."""
    is_newer: Callable[[bytes, bytes], bool] = lambda known, stored: False
    """Whether a stored value is newer than the known one although it differs from it."""
    is_ordered: bool = False
    """Whether a write that is not newer leaves the known value in force."""


@dataclass(frozen=True, slots=True)
class Held:
    """What is known of an object, and until when that counts."""

    value: Value
    until: float


@dataclass(slots=True)
class HeldObjects:
    """The held objects of one kind."""

    policy: HoldPolicy
    held_by_name: dict[str, Held] = field(default_factory=dict)
    _deleted_at_by_name: dict[str, float] = field(default_factory=dict)
    """When the latest deletions were seen, oldest first: a copy may bring these objects back."""

    def hold_against_copy(
        self, known: Mapping[str, bytes], stored: Mapping[str, bytes], now: float
    ) -> None:
        """Hold what differs from a restored copy, and what is known to have been deleted."""
        self.held_by_name = {}
        deleted = stored.keys() & self._deleted_at_by_name.keys()
        for name in known.keys() | deleted:
            value = known.get(name)
            if value != stored.get(name) and not self._is_newer(value, stored.get(name)):
                self.held_by_name[name] = Held(value, now + self.policy.duration_s(value))

    def take_over(self, objects: list[HeldObject], stored: Mapping[str, bytes], now: float) -> None:
        """Hold what another instance holds against the same state of the store."""
        self.held_by_name = {
            name: Held(value, math.inf if left_ms == NO_TIME_LIMIT else now + left_ms / 1000)
            for name, value, left_ms in objects
            if value != stored.get(name)
        }

    def describe(self, now: float) -> list[HeldObject]:
        """The held objects for another instance."""
        return [
            (
                name,
                held.value,
                NO_TIME_LIMIT if held.until == math.inf else max(0, int((held.until - now) * 1000)),
            )
            for name, held in self.held_by_name.items()
        ]

    def hold_lapsed(
        self, known: Mapping[str, bytes], stored: Mapping[str, bytes], now: float
    ) -> None:
        """Hold what is missing after an outage of the store."""
        for name in known.keys() - stored.keys() - self.held_by_name.keys():
            until = now + self.policy.lapse_s(known[name])
            if until > now:
                self.held_by_name[name] = Held(known[name], until)

    def note_write(self, name: str, stored: Value, now: float) -> None:
        """Stop to hold an object that was written, unless the write is recognisably older."""
        self._deleted_at_by_name.pop(name, None)
        if stored is None:
            self._note_deletion(name, now)
        held = self.held_by_name.get(name)
        if held and (not self.policy.is_ordered or self._is_newer(held.value, stored)):
            del self.held_by_name[name]

    def _note_deletion(self, name: str, now: float) -> None:
        deleted_at = self._deleted_at_by_name
        deleted_at[name] = now
        while len(deleted_at) > MAX_DELETIONS or next(iter(deleted_at.values())) < now - DELETED_S:
            del deleted_at[next(iter(deleted_at))]

    def take_expired(self, now: float) -> list[str]:
        """Stop to hold the objects whose time is over; returns their names."""
        names = [name for name, held in self.held_by_name.items() if now >= held.until]
        for name in names:
            del self.held_by_name[name]
        return names

    def overlay(self, stored: Mapping[str, bytes]) -> dict[str, bytes]:
        """The objects that count: the stored ones, but for those that are held."""
        values = dict(stored)
        for name, held in self.held_by_name.items():
            if held.value is None:
                values.pop(name, None)
            else:
                values[name] = held.value
        return values

    def _is_newer(self, known: Value, stored: Value) -> bool:
        if known is None or stored is None:
            return False
        return self.policy.is_newer(known, stored)
