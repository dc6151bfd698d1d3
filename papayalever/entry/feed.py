"""Follows one kind of stored objects at the store: list once, then watch, list again if needed."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import logbook

from ..cluster.messages import KindUpdate
from .copy import StoreCopy

HISTORY_SHARE = 0.85
"""Part of the store's history that a watch waits: one that waits longer loses its place in it and
costs a list."""
MAX_WAIT_S = 30.0
"""The longest wait that the store allows."""
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.4
"""Pause after failures: with the grace for lapsed entries it stays under the 3 s after which
bounds hold again."""
GATHER_S = 0.4
"""Pause behind a change: changes come in series, and each call is counted and priced. A fifth of
the shortest bound (2 s)."""
SPARING_PAUSE_S = 1.5
"""The same for instances that only ask because no reader hears the store: all of a region may."""
OUTAGE_S = 1.0
"""Failures for so long make the next list one after an outage."""

log = logbook.Logger("feed")


class FeedError(Exception):
    """A call that brought nothing."""


class HistoryGoneError(FeedError):
    """The store does not remember the revision any more: list again."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Objects or changes and the store's revision that they are from."""

    changes: list[tuple[str, bytes | None]]
    revision: int


class Source(Protocol):
    """What a feed reads from."""

    async def list_all(self, kind: str) -> Snapshot:
        """Every object of a kind."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> Snapshot:
        """Changes after a revision."""


@dataclass(slots=True)
class StoreHealth:
    """What the feeds of one instance know together of the store; while it fails, one asks."""

    failing_since: float | None = None
    pause_s: float = FIRST_PAUSE_S
    is_sparing: bool = False
    """Whether others read the store for this instance and only they are in a hurry."""
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)

    def note_failure(self, kind: str, error: Exception, now: float) -> None:
        """Count a failure and lengthen the pause."""
        if self.failing_since is None:
            self.failing_since = now
            log.warning("store lost", kind=kind, error=str(error))
        most_s = SPARING_PAUSE_S if self.is_sparing else MAX_PAUSE_S
        self.pause_s = most_s if self.is_sparing else min(most_s, self.pause_s * 2)

    def note_success(self, kind: str, now: float) -> None:
        """Count an answer."""
        if self.failing_since is not None:
            log.info("store regained", kind=kind, away_s=round(now - self.failing_since, 3))
        self.failing_since = None
        self.pause_s = FIRST_PAUSE_S


class Feed:
    """Keeps one kind of a copy current."""

    def __init__(
        self,
        kind: str,
        source: Source,
        copy: StoreCopy,
        health: StoreHealth,
        rng: Random,
        wait_s: float,
    ) -> None:
        self._wait_s = min(MAX_WAIT_S, wait_s)
        self.kind = kind
        self.is_connected = False
        """Whether the last call succeeded."""
        self._source = source
        self._copy = copy
        self._health = health
        self._rng = rng
        self._failing_since: float | None = None
        self._is_history_gone = False

    async def run(self) -> None:
        """Follow the store until cancelled."""
        try:
            while True:
                if self._failing_since is None:
                    if await self._step():
                        await asyncio.sleep(GATHER_S)
                    continue
                async with self._health.turn:
                    await asyncio.sleep(self._health.pause_s * self._rng.uniform(0.5, 1.0))
                    await self._step(is_probe=True)
        finally:
            self.is_connected = False

    async def _step(self, is_probe: bool = False) -> bool:
        """One call; returns whether it brought changes."""
        loop = asyncio.get_running_loop()
        known = self._copy.revision(self.kind)
        is_whole = known is None or self._is_history_gone or is_probe
        try:
            if is_whole:
                snapshot = await self._source.list_all(self.kind)
            else:
                snapshot = await self._source.watch(self.kind, known, self._wait_s)
        except HistoryGoneError:
            log.info("history gone", kind=self.kind, revision=known)
            self._is_history_gone = True
            return False
        except FeedError as error:
            self.is_connected = False
            self._failing_since = self._failing_since or loop.time()
            self._health.note_failure(self.kind, error, loop.time())
            return False
        away_s = loop.time() - self._failing_since if self._failing_since is not None else 0.0
        self._health.note_success(self.kind, loop.time())
        self._failing_since = None
        self._is_history_gone = False
        self.is_connected = True
        self._copy.apply(
            KindUpdate(self.kind, snapshot.revision, is_whole, snapshot.changes, away_s > OUTAGE_S)
        )
        return bool(snapshot.changes)
