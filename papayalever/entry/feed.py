"""Keeps a copy of one kind of stored objects: list once, then watch, list again when needed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import logbook

WAIT_S = 25.0
"""Below the 30 s that the store allows; a silent connection is noticed by keep-alive before."""
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.4
"""Pause after failures: with the grace for lapsed entries it stays under the 3 s after which
bounds hold again."""
OUTAGE_S = 1.0
"""Failures for so long make the next list one after an outage."""

log = logbook.Logger("feed")


class FeedError(Exception):
    """A call that brought nothing."""


class HistoryGoneError(FeedError):
    """The store does not remember the revision any more: list again."""


@dataclass(frozen=True, slots=True)
class Change:
    """One object; ``value`` is None if it was deleted."""

    name: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Objects or changes and the store's revision that they are from."""

    changes: list[Change]
    revision: int


class Source(Protocol):
    """What a feed reads from."""

    async def list_all(self, kind: str) -> Snapshot:
        """Every object of a kind."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> Snapshot:
        """Changes after a revision."""


@dataclass(frozen=True, slots=True)
class Taker:
    """Who takes over what a feed reads."""

    take_list: Callable[[list[Change], bool], None]
    """All objects; whether the store was away before."""
    take_changes: Callable[[list[Change], bool], None]


class Feed:
    """The copy of one kind; knows how old it is."""

    def __init__(self, kind: str, source: Source, taker: Taker, rng: Random) -> None:
        self.kind = kind
        self.heard_at: float | None = None
        """Monotonic seconds of the store's last word."""
        self._source = source
        self._taker = taker
        self._rng = rng
        self._revision: int | None = None
        self._failing_since: float | None = None
        self._pause_s = FIRST_PAUSE_S
        self.is_known = asyncio.Event()

    @property
    def is_connected(self) -> bool:
        """Whether the last call succeeded."""
        return self._failing_since is None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                log.info("the store forgot its history", kind=self.kind, revision=self._revision)
                self._revision = None
            except FeedError as error:
                await self._note_failure(error)

    async def _step(self) -> None:
        loop = asyncio.get_running_loop()
        if self._revision is None:
            snapshot = await self._source.list_all(self.kind)
            take = self._taker.take_list
        else:
            snapshot = await self._source.watch(self.kind, self._revision, WAIT_S)
            take = self._taker.take_changes
        now = loop.time()
        was_away = self._failing_since is not None and now - self._failing_since > OUTAGE_S
        if self._failing_since is not None:
            log.info("the store answers again", kind=self.kind, away_s=now - self._failing_since)
        self._failing_since = None
        self._pause_s = FIRST_PAUSE_S
        self.heard_at = now
        self._revision = snapshot.revision
        take(snapshot.changes, was_away)
        self.is_known.set()

    async def _note_failure(self, error: FeedError) -> None:
        loop = asyncio.get_running_loop()
        if self._failing_since is None:
            self._failing_since = loop.time()
            log.warning("the store does not answer", kind=self.kind, error=str(error))
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2)
