"""Keeps one kind of the store cache current: lists it once, then watches it and lists it again when
the watch cannot continue."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import logbook

from ..cluster.messages import KindUpdate
from .freshness import KindAnswer, WatchSchedule, compute_wait_s
from .store_cache import StoreCache
from .store_position import NEVER_READ, era_of, revision_of

WATCH_HISTORY_SHARE = 0.85
"""Longest wait of a watch as a share of the time that the store keeps changes. A watch that waits
longer may miss changes, which costs a list."""
MAX_WAIT_S = 30.0
"""Longest wait that the store accepts."""
FIRST_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.4
"""With the grace period for lapsed entries (`REWRITE_S`) this stays below 3 s, the time after
an outage at which the staleness bounds apply again."""
BATCH_PAUSE_S = 0.4
"""Pause after a change: changes come in bursts, and each call counts against a rate limit and a
price. A fifth of the shortest staleness bound (2 s)."""
LOW_PRIORITY_PAUSE_S = 1.5
"""Pause after failures of an instance that calls the store only because none of its upstreams
reaches it: all instances of a region may do so at once."""
FIRST_WAIT_S = 0.05
"""Wait of the first watch of a reader that has the objects from another instance: its followers
need to know soon that it reaches the store."""
AFTER_PAUSE_SHARE = 0.3
"""Longest wait of the watch after such a pause, as a share of the period."""
MIN_OUTAGE_S = 1.0
"""A list after failures for longer than this counts as a list after an outage."""

log = logbook.Logger("feed")


class StoreAccessError(Exception):
    """A call to the store failed."""


class HistoryExpiredError(StoreAccessError):
    """The store no longer keeps the changes since the position; the kind must be listed again."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a list or watch, and the position in the store's history that it reflects."""

    changes: list[tuple[str, bytes | None]]
    position: int


class StoreReader(Protocol):
    """Read access to the store."""

    async def list_all(self, kind: str) -> ReadResult:
        """Return every object of a kind."""

    async def watch(self, kind: str, position: int, wait_s: float) -> ReadResult:
        """Return the changes after a position, waiting up to ``wait_s`` for one."""


@dataclass(slots=True)
class StoreHealth:
    """State of the store as the watchers of one instance see it.

    While the store fails, one watcher at a time calls it.
    """

    failing_since: float | None = None
    pause_s: float = FIRST_RETRY_PAUSE_S
    is_verified: bool = False
    """Whether a call succeeded since this instance began to read."""
    is_low_priority: bool = False
    """Whether other instances read the store on behalf of this one, so that it can retry slowly."""
    is_stand_in: bool = False
    """Whether this instance reads in place of an older one that hears nothing: if that is an outage
    of the store, all instances of a region may do so one after the other."""
    outages: int = 0
    """Outages of over `MIN_OUTAGE_S` that have ended; one call at a time showed them, so that most
    kinds did not fail themselves."""
    probe_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def note_failure(self, kind: str, error: Exception, now: float) -> None:
        """Record a failed call and lengthen the retry pause."""
        self.is_verified = False
        if self.failing_since is None:
            self.failing_since = now
            log.warning("store unreachable", kind=kind, error=str(error))
        if self.is_low_priority or self.is_stand_in:
            self.pause_s = LOW_PRIORITY_PAUSE_S
        else:
            self.pause_s = min(MAX_RETRY_PAUSE_S, self.pause_s * 2)

    def compute_outage_s(self, view_age_s: float, now: float) -> float:
        """How long the store is away, 0 if it is not; an instance may have read for a part only."""
        return 0.0 if self.failing_since is None else max(now - self.failing_since, view_age_s)

    def note_success(self, kind: str, view_age_s: float, now: float) -> None:
        """Record a successful call and reset the retry pause."""
        if self.compute_outage_s(view_age_s, now) > MIN_OUTAGE_S:
            self.outages += 1
        if self.failing_since is not None:
            log.info("store reachable again", kind=kind, away_s=round(now - self.failing_since, 3))
        self.failing_since = None
        self.is_verified = True
        self.pause_s = FIRST_RETRY_PAUSE_S

    @property
    def must_probe(self) -> bool:
        """Whether one call at a time has to show first that the store answers."""
        return (self.is_low_priority or self.is_stand_in) and not self.is_verified


class KindWatcher:
    """Keeps one kind of the store cache current."""

    def __init__(
        self,
        kind: str,
        store: StoreReader,
        cache: StoreCache,
        health: StoreHealth,
        rng: Random,
        schedule: WatchSchedule,
        read_age_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._schedule = schedule
        self._read_age_s = read_age_s
        """Age of the instance's view: it may have taken over from a reader that failed before."""
        self.kind = kind
        self.is_connected = False
        """Whether the last call succeeded."""
        self._answered_at: float | None = None
        """Latest time at which the store is known to have had no newer state than the cache."""
        self._has_paused = False
        """Whether a pause after a change delayed the next watch."""
        self._store = store
        self._cache = cache
        self._health = health
        self._rng = rng
        self._failing_since: float | None = None
        self._known_outages = 0
        """Outages of the store that the objects read here reflect."""
        self._is_history_expired = False

    @property
    def answer(self) -> KindAnswer:
        """When the store last answered, since this instance reads it."""
        return KindAnswer(self._answered_at, self._schedule.longest_s)

    async def run(self) -> None:
        """List and watch the kind until cancelled."""
        self._known_outages = self._health.outages
        try:
            while True:
                if self._failing_since is None and not self._health.must_probe:
                    self._has_paused = await self._read_once()
                    if self._has_paused:
                        await asyncio.sleep(BATCH_PAUSE_S)
                    continue
                async with self._health.probe_lock:
                    has_called = await self._probe()
                if not has_called and self._health.is_low_priority:
                    # An upstream may be current again by then.
                    await asyncio.sleep(BATCH_PAUSE_S)
        finally:
            self.is_connected = False
            self._answered_at = None

    async def _probe(self) -> bool:
        """Make one call, unless another watcher has succeeded meanwhile; returns whether it did."""
        if self._failing_since is None and not self._health.must_probe:
            return False
        if self._health.failing_since is not None:
            await asyncio.sleep(self._health.pause_s * self._rng.uniform(0.5, 1.0))
        await self._read_once(is_probe=self._failing_since is not None)
        return True

    async def _read_once(self, is_probe: bool = False) -> bool:
        """Make one call to the store; returns whether it brought changes or all objects."""
        loop = asyncio.get_running_loop()
        started, wait_s = loop.time(), 0.0
        known = self._cache.position(self.kind)
        is_other_era = era_of(known) < self._cache.era
        view_age_s = self._read_age_s()
        is_after_outage = (
            self._health.outages > self._known_outages
            or self._health.compute_outage_s(view_age_s, started) > MIN_OUTAGE_S
        )
        is_snapshot = (
            known == NEVER_READ
            or self._is_history_expired
            or is_other_era
            or is_probe
            or is_after_outage
        )
        try:
            if is_snapshot:
                result = await self._store.list_all(self.kind)
            else:
                wait_s = self._compute_wait_s(started)
                result = await self._watch(known, wait_s)
            _check_order(result, known)
        except HistoryExpiredError:
            log.info(
                "store history expired",
                kind=self.kind,
                era=era_of(known),
                revision=revision_of(known),
            )
            self._is_history_expired = True
            return False
        except StoreAccessError as error:
            self.is_connected = False
            self._failing_since = self._failing_since or loop.time()
            self._health.note_failure(self.kind, error, loop.time())
            return False
        if self._failing_since is not None:
            outage_s = max(loop.time() - self._failing_since, view_age_s)
            is_after_outage = is_after_outage or outage_s > MIN_OUTAGE_S
        # An answer that was waiting while the process was stopped is older than its arrival.
        self._answered_at = min(loop.time(), started + wait_s)
        self._health.note_success(self.kind, view_age_s, loop.time())
        self._known_outages = self._health.outages
        self._failing_since = None
        self._is_history_expired = False
        self.is_connected = True
        self._cache.apply(
            KindUpdate(self.kind, result.position, is_snapshot, result.changes, is_after_outage),
            loop.time(),
        )
        return is_snapshot or bool(result.changes)

    def _compute_wait_s(self, now: float) -> float:
        wait_s = min(MAX_WAIT_S, compute_wait_s(self._schedule, now))
        if not self.is_connected:
            return min(wait_s, FIRST_WAIT_S)
        if self._has_paused and self._schedule.offset_s is not None:
            # The pause took the time of a slot.
            return min(wait_s, self._schedule.period_s * AFTER_PAUSE_SHARE)
        return wait_s

    async def _watch(self, known: int, wait_s: float) -> ReadResult:
        """Watch the kind; `HistoryExpiredError` as soon as another kind is known in a later era."""
        timeout_s = wait_s + self._schedule.timeout_margin_s
        watch = asyncio.ensure_future(self._store.watch(self.kind, known, wait_s))
        later_era = asyncio.ensure_future(self._cache.wait_later_era(era_of(known)))
        try:
            await asyncio.wait(
                {watch, later_era}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not watch.done() and not later_era.done():
                raise StoreAccessError(f"watch {self.kind}: no response within {timeout_s:.1f} s")
            if not watch.done():
                raise HistoryExpiredError(f"watch {self.kind}: the store restored a copy")
            return watch.result()
        finally:
            watch.cancel()
            later_era.cancel()


def _check_order(result: ReadResult, known: int) -> None:
    """Raise `StoreAccessError` if a response is older than what was known when the call began."""
    if result.position < known:
        raise StoreAccessError(
            f"the store is at revision {revision_of(result.position)} of era "
            f"{era_of(result.position)}, before revision {revision_of(known)} of era "
            f"{era_of(known)}"
        )
