"""Requests that crash backend servers, shared between all instances.

Guards against a request that crashes every server that runs it and is retried through any instance.
Each crash is a small object in the store, which every instance receives with the other updates.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field

import logbook
import msgspec

from ..routing.quarantine import CRASH_WINDOW_S, CrashLog
from .store_protocol import InstanceStore
from .watcher import StoreAccessError

CRASH_KIND = "papayalever-crashes"
MAX_WRITES_PER_WINDOW = 20
WRITE_WINDOW_S = 10.0
"""Bounds the writes for innocent requests: a crash ends all requests that the server ran."""

log = logbook.Logger("crashes")


class CrashRecord(msgspec.Struct):
    """Stored record of a server that crashed while it ran a request."""

    digest: str
    server: str


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
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def apply_record(self, name: str, value: bytes, now: float) -> None:
        """Apply a record from the store; raises `msgspec.DecodeError` when it is malformed."""
        self.received_at_by_name[name] = now
        record = msgspec.json.decode(value, type=CrashRecord)
        self.crash_log.note(record.digest, record.server, now)

    def forget_record(self, name: str) -> None:
        """Forget a record that was removed from the store."""
        self.received_at_by_name.pop(name, None)

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
        task = asyncio.get_running_loop().create_task(
            self._store_record(f"{self.instance}-{digest}-{self._number}", digest, server)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _store_record(self, name: str, digest: str, server: str) -> None:
        try:
            await self.store.put(CRASH_KIND, name, {"digest": digest, "server": server})
        except StoreAccessError as error:
            log.warning("crash record not stored", request=digest, server=server, error=str(error))
