"""Requests that crash the backend servers that run them, as all instances know them.

Load pattern: one request kills each server that begins to run it and comes again at any instance.
Each crash is one small object in the store; every instance hears of it with the other news.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field

import logbook
import msgspec

from ..routing.quarantine import CRASH_WINDOW_S, CrashLog
from .feed import FeedError
from .store_view import InstanceStore

CRASH_KIND = "papayalever-crashes"
PUBLISHED_PER_WINDOW = 20
WINDOW_S = 10.0
"""A crash of a server ends all requests that it ran; this bounds the writes for innocent ones."""

log = logbook.Logger("crashes")


class CrashRecord(msgspec.Struct):
    """One server that went away while it ran a request."""

    digest: str
    server: str


@dataclass(slots=True)
class Crashes:
    """The crash log of this instance and the way to the others."""

    store: InstanceStore
    instance: str
    known: CrashLog = field(default_factory=CrashLog)
    taken_at_by_name: dict[str, float] = field(default_factory=dict)
    """Records in the store and when this instance heard of them."""
    _published: deque[float] = field(default_factory=deque)
    _number: int = 0
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def take(self, name: str, value: bytes, now: float) -> None:
        """Take over a record of another instance; raises `msgspec.ValidationError`."""
        self.taken_at_by_name[name] = now
        record = msgspec.json.decode(value, type=CrashRecord)
        self.known.note(record.digest, record.server, now)

    def forget_record(self, name: str) -> None:
        """A record was removed from the store."""
        self.taken_at_by_name.pop(name, None)

    def old_records(self, now: float) -> list[str]:
        """Names of records in the store that no decision uses any more."""
        return [name for name, at in self.taken_at_by_name.items() if now - at > CRASH_WINDOW_S]

    def is_quarantined(self, digest: str, now: float) -> bool:
        """Whether the request crashed so many servers that it is not sent again."""
        return self.known.is_quarantined(digest, now)

    def note(self, digest: str, server: str, now: float) -> None:
        """Record a crash; the others are told while the request goes on."""
        self.known.note(digest, server, now)
        log.warning("server crashed", request=digest, server=server)
        while self._published and self._published[0] <= now - WINDOW_S:
            self._published.popleft()
        if len(self._published) >= PUBLISHED_PER_WINDOW:
            log.warning("crash not published", request=digest, server=server, error="too many")
            return
        self._published.append(now)
        self._number += 1
        task = asyncio.get_running_loop().create_task(
            self._publish(f"{self.instance}-{digest}-{self._number}", digest, server)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _publish(self, name: str, digest: str, server: str) -> None:
        try:
            await self.store.put(CRASH_KIND, name, {"digest": digest, "server": server})
        except FeedError as error:
            log.warning("crash not published", request=digest, server=server, error=str(error))
