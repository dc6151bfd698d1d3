"""Local cache of the stored objects, with recent changes for the instances that follow this one."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

import logbook

from ..cluster.codec import pack_changes
from ..cluster.messages import ACCEPTS_HELD, ACCEPTS_PACKED, HeldState, KindUpdate, PackedSnapshot
from .held_objects import HeldObjects, HoldPolicy
from .store_position import NEVER_READ, era_of, revision_of

MAX_HISTORY = 200
"""Updates of a kind that are kept for followers. A follower that is further behind gets all objects
of the kind."""

log = logbook.Logger("beliefs")


@dataclass(frozen=True, slots=True)
class Origin:
    """Where an update came from."""

    name: str
    """The instance or seed that sent it, or `STORE_ORIGIN`."""
    age_s: float = 0.0
    """Time since the sender's data was last confirmed by the store."""


STORE_ORIGIN = "store"
FROM_STORE = Origin(STORE_ORIGIN)
Update = KindUpdate | PackedSnapshot | HeldState
OnUpdate = Callable[[KindUpdate, Origin], None]


@dataclass(slots=True)
class KindCache:
    """Cached objects of one kind and their latest updates."""

    kind: str
    held: HeldObjects
    position: int = NEVER_READ
    """Position of the latest update."""
    value_by_name: dict[str, bytes] = field(default_factory=dict)
    history: deque[KindUpdate] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY))
    base_position: int = NEVER_READ
    """Position that the oldest update of ``history`` builds on."""
    known_position: int = NEVER_READ
    """Position up to which the held objects were known."""
    packed: PackedSnapshot | None = None
    """The latest packed snapshot, which all followers that start at the same time get."""

    def replace_all(
        self, update: KindUpdate, is_new_era: bool, sent: HeldState | None, now: float
    ) -> None:
        """Store all objects of a snapshot, and hold what it lacks for now.

        ``sent`` is what the sender of the snapshot holds.
        """
        known, stored_before = self.held.overlay(self.value_by_name), self.value_by_name
        known_position = self.position
        self.value_by_name = {name: value for name, value in update.changes if value is not None}
        self.history.clear()
        self.position = self.base_position = update.position
        if sent and sent.position == update.position and sent.known_position >= known_position:
            self.held.take_over(sent.objects, self.value_by_name, now)
            self.known_position = sent.known_position
            return
        if is_new_era:
            self.held.hold_against_copy(known, self.value_by_name, now)
            self.known_position = known_position
            return
        for name in stored_before.keys() | self.held.held_by_name.keys():
            stored = self.value_by_name.get(name)
            if stored != stored_before.get(name):
                self.held.note_write(name, stored, now)
        if update.is_after_outage:
            self.held.hold_lapsed(known, self.value_by_name, now)
            self.known_position = known_position

    def apply_changes(self, update: KindUpdate, now: float) -> None:
        """Store the changed objects and keep the changes for followers."""
        if len(self.history) == MAX_HISTORY:
            self.base_position = self.history[0].position
        self.history.append(update)
        for name, value in update.changes:
            if value is None:
                self.value_by_name.pop(name, None)
            else:
                self.value_by_name[name] = value
            self.held.note_write(name, value, now)
        self.position = update.position

    def describe_held(self, now: float) -> HeldState:
        """What is held, for a follower that gets a snapshot."""
        return HeldState(self.kind, self.position, self.known_position, self.held.describe(now))

    def without_held(self, update: KindUpdate) -> KindUpdate:
        """The update as it counts here: without changes of objects that are held."""
        held_by_name = self.held.held_by_name
        if not held_by_name:
            return update
        if update.is_snapshot:
            return replace(update, changes=list(self.held.overlay(self.value_by_name).items()))
        return replace(
            update, changes=[item for item in update.changes if item[0] not in held_by_name]
        )

    def pack(self) -> PackedSnapshot:
        """All objects, compressed.

        Load pattern: all instances restart at once and ask the same few for the whole state, whose
        links carry it once for each of them.
        """
        if self.packed is None or self.packed.position != self.position:
            packed = pack_changes(list(self.value_by_name.items()))
            self.packed = PackedSnapshot(self.kind, self.position, packed)
        return self.packed


class StoreCache:
    """Caches objects of all kinds and announces each update."""

    def __init__(
        self,
        policy_by_kind: Mapping[str, HoldPolicy],
        on_update: OnUpdate,
        on_restored: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._cache_by_kind = {
            kind: KindCache(kind, HeldObjects(policy)) for kind, policy in policy_by_kind.items()
        }
        self._on_update = on_update
        self._on_restored = on_restored
        """Called with the kind after a snapshot of a later era was applied."""
        self._changed = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether every kind has been read once."""
        return all(cache.position != NEVER_READ for cache in self._cache_by_kind.values())

    @property
    def position_by_kind(self) -> dict[str, int]:
        """Cached position of each kind, `NEVER_READ` for a kind that was never read."""
        return {kind: cache.position for kind, cache in self._cache_by_kind.items()}

    @property
    def era(self) -> int:
        """The latest era of any kind, -1 if none was read yet."""
        return max(era_of(cache.position) for cache in self._cache_by_kind.values())

    @property
    def held_count(self) -> int:
        """Number of objects that are held against the store's state."""
        return sum(len(cache.held.held_by_name) for cache in self._cache_by_kind.values())

    def position(self, kind: str) -> int:
        """Cached position of a kind, `NEVER_READ` if it was never read."""
        return self._cache_by_kind[kind].position

    def is_newer(self, kind: str, position: int) -> bool:
        """Whether an update to a position changes the cache."""
        cache = self._cache_by_kind.get(kind)
        return cache is not None and position > cache.position

    def stored_value(self, kind: str, name: str) -> bytes | None:
        """Value that the store has for an object, None if it has none, whatever is held."""
        return self._cache_by_kind[kind].value_by_name.get(name)

    def returned_names(self, kind: str) -> list[str]:
        """Objects that a restored copy brought back although they had been deleted."""
        held_by_name = self._cache_by_kind[kind].held.held_by_name
        return [name for name, held in held_by_name.items() if held.value is None]

    def apply(
        self,
        update: KindUpdate,
        now: float,
        origin: Origin = FROM_STORE,
        sent: HeldState | None = None,
    ) -> bool:
        """Apply an update unless it is older than the cache; returns whether it was applied.

        ``sent`` is what the sender of a snapshot holds.
        """
        cache = self._cache_by_kind.get(update.kind)
        if cache is None or update.position < cache.position:
            return False
        is_new_era = NEVER_READ < cache.position and era_of(update.position) > era_of(
            cache.position
        )
        if is_new_era and not update.is_snapshot:
            log.warning("changes of another era ignored", kind=update.kind, origin=origin.name)
            return False
        if not update.is_snapshot and not update.changes:
            cache.position = update.position
            return True
        if update.is_snapshot:
            cache.replace_all(update, is_new_era, sent, now)
        else:
            cache.apply_changes(update, now)
        if is_new_era:
            log.warning(
                "store restored a copy",
                kind=update.kind,
                era=era_of(update.position),
                revision=revision_of(update.position),
                origin=origin.name,
                held=len(cache.held.held_by_name),
            )
        self._announce(cache.without_held(update), origin)
        if is_new_era:
            self._on_restored(update.kind)
        return True

    def release_held(self, now: float) -> None:
        """Let the store's state count again for the objects that were held long enough."""
        for kind, cache in self._cache_by_kind.items():
            names = cache.held.take_expired(now)
            if names:
                changes = [(name, cache.value_by_name.get(name)) for name in names]
                log.info("held objects released", kind=kind, count=len(names))
                self._announce(KindUpdate(kind, cache.position, False, changes), FROM_STORE)

    def _announce(self, update: KindUpdate, origin: Origin) -> None:
        try:
            self._on_update(update, origin)
        except Exception as error:
            # The other kinds and later updates still hold.
            log.error("update not applied", kind=update.kind, error=repr(error))
        self._changed.set()
        self._changed = asyncio.Event()

    def updates_since(self, position_by_kind: dict[str, int], now: float) -> list[Update]:
        """Updates for a follower that has the given positions."""
        updates: list[Update] = []
        accepts_packed = ACCEPTS_PACKED in position_by_kind
        accepts_held = ACCEPTS_HELD in position_by_kind
        for kind, cache in self._cache_by_kind.items():
            known = position_by_kind.get(kind, NEVER_READ)
            if known >= cache.position:
                continue
            if known < cache.base_position and accepts_held and cache.held.held_by_name:
                updates.append(cache.describe_held(now))
            if known < cache.base_position and accepts_packed:
                updates.append(cache.pack())
                continue
            if known < cache.base_position:
                changes = list(cache.value_by_name.items())
                updates.append(KindUpdate(kind, cache.position, True, changes))
                continue
            later = [update for update in cache.history if update.position > known]
            if later:
                changes = [change for update in later for change in update.changes]
                is_after_outage = any(update.is_after_outage for update in later)
                updates.append(KindUpdate(kind, cache.position, False, changes, is_after_outage))
        return updates

    async def wait_later_era(self, era: int) -> None:
        """Wait until some kind is read in a later era."""
        while self.era <= era:
            await self._changed.wait()

    async def wait_change(self, timeout_s: float) -> None:
        """Wait until an update is applied or the timeout is over."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return
