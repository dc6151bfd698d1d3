"""Requests that crash backend servers, shared between all instances.

Guards against a request that crashes every server that runs it and is retried through any instance.
Each crash is a small object in the store, which every instance receives with the other updates.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

import logbook
import msgspec

from ..routing.quarantine import CRASH_WINDOW_S, CrashLog
from .own_objects import CrashRecord, read_crash_record
from .store_protocol import InstanceStore
from .watcher import StoreAccessError

CRASH_KIND = "papayalever-crashes"
MAX_WRITES_PER_WINDOW = 20
WRITE_WINDOW_S = 10.0
"""Bounds the writes for innocent requests: a crash ends all requests that the server ran."""

log = logbook.Logger("crashes")


@dataclass(slots=True)
class CrashTracker:
    """Crash log of this instance, shared with the other instances through the store."""

    store: InstanceStore
    instance: str
    crash_log: CrashLog = field(default_factory=CrashLog)
    received_at_by_name: dict[str, float] = field(default_factory=dict)
    """When this instance received each record that is in the store."""
    _stored_at: deque[float] = field(default_factory=deque)
    _number: int = 0
    _own_record_by_name: dict[str, tuple[CrashRecord, float]] = field(default_factory=dict)
    """Records that this instance wrote, and when; kept while a decision may use them."""
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def apply_record(self, name: str, value: bytes, now: float) -> None:
        """Apply a record from the store; raises `InvalidOwnObjectError` if it is malformed.

        Records never change: one that is read again does not date its crash anew.
        """
        if name in self.received_at_by_name:
            return
        self.received_at_by_name[name] = now
        record = read_crash_record(value)
        self.crash_log.note(record.digest, record.server, now)

    def forget_record(self, name: str) -> None:
        """Forget a record that was removed from the store."""
        self.received_at_by_name.pop(name, None)

    def keep_records(self, names: set[str]) -> None:
        """Forget all other records: the store has none but these."""
        for name in self.received_at_by_name.keys() - names:
            self.forget_record(name)

    def old_records(self, now: float) -> list[str]:
        """Return names of records in the store that are too old to affect a decision."""
        return [name for name, at in self.received_at_by_name.items() if now - at > CRASH_WINDOW_S]

    def is_quarantined(self, digest: str, now: float) -> bool:
        """Whether the request crashed so many servers that it must not be sent again."""
        return self.crash_log.is_quarantined(digest, now)

    def note(self, digest: str, server: str, now: float) -> None:
        """Record a crash and write it to the store in the background."""
        self.crash_log.note(digest, server, now)
        log.warning("server crashed", request=digest, server=server)
        while self._stored_at and self._stored_at[0] <= now - WRITE_WINDOW_S:
            self._stored_at.popleft()
        if len(self._stored_at) >= MAX_WRITES_PER_WINDOW:
            log.warning("crash record not stored", request=digest, server=server, error="too many")
            return
        self._stored_at.append(now)
        self._number += 1
        name, record = f"{self.instance}-{digest}-{self._number}", CrashRecord(digest, server)
        self._own_record_by_name[name] = (record, now)
        self._start(self._store_record(name, record))

    def write_missing(
        self, is_stored: Callable[[str], bool], first_pause_s: float, pause_s: float, now: float
    ) -> None:
        """Write the own records again that a restored copy of the store lacks.

        Pauses keep the writes of all instances within the rate of the store.
        """
        self._own_record_by_name = {
            name: (record, at)
            for name, (record, at) in self._own_record_by_name.items()
            if now - at < CRASH_WINDOW_S
        }
        missing = [
            (name, record)
            for name, (record, _) in self._own_record_by_name.items()
            if not is_stored(name)
        ]
        if missing:
            log.info("crash records written again", count=len(missing))
            self._start(self._store_records(missing, first_pause_s, pause_s))

    async def _store_records(
        self, records: list[tuple[str, CrashRecord]], first_pause_s: float, pause_s: float
    ) -> None:
        await asyncio.sleep(first_pause_s)
        for name, record in records:
            await self._store_record(name, record)
            await asyncio.sleep(pause_s)

    async def _store_record(self, name: str, record: CrashRecord) -> None:
        try:
            await self.store.put(CRASH_KIND, name, msgspec.to_builtins(record))
        except StoreAccessError as error:
            log.warning(
                "crash record not stored",
                request=record.digest,
                server=record.server,
                error=str(error),
            )

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
