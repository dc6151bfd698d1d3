"""Garbage collection in the store: removes entries of instances that no longer exist, crash records
that have expired, and both where a restored copy brought them back.

The oldest instance does this. Two instances may do it for a moment: deleting twice is harmless, and
an instance whose entry was deleted by mistake registers again.
"""

import asyncio

import logbook

from ..cluster.exceptions import PeerUnreachableError
from ..cluster.links import LinkPool
from ..cluster.messages import Follow
from ..routing.replication_tree import AbsenceTracker, InstanceEntry, ReplicationTree
from .clock import now
from .crashes import CRASH_KIND, CrashTracker
from .store_cache import StoreCache
from .store_protocol import InstanceStore
from .watcher import StoreAccessError

CHECK_INTERVAL_S = 60.0
"""At the target size of 700 instances the oldest one sends 700 requests a minute, 12 a second."""
REPLY_TIMEOUT_S = 1.1
"""Same as the timeout for the reply of an upstream."""

log = logbook.Logger("housekeeping")


class Housekeeping:
    """Deletes stale objects while this instance is the oldest one."""

    def __init__(
        self,
        tree: ReplicationTree,
        cache: StoreCache,
        crashes: CrashTracker,
        store: InstanceStore,
        pool: LinkPool,
        instance_kind: str,
    ) -> None:
        self._tree = tree
        self._cache = cache
        self._crashes = crashes
        self._store = store
        self._pool = pool
        self._instance_kind = instance_kind
        self._absences = AbsenceTracker()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._tree.is_oldest(now()):
                continue
            for entry in list(self._tree.entry_by_name.values()):
                await self._check_instance(entry)
            for name in self._crashes.old_records(now()):
                await self._delete(CRASH_KIND, name)
            for kind in (self._instance_kind, CRASH_KIND):
                for name in self._cache.returned_names(kind):
                    await self._delete(kind, name)

    async def _check_instance(self, entry: InstanceEntry) -> None:
        if entry.name == self._tree.own.name:
            return
        has_answered = await self._is_answering(entry)
        if self._absences.note(entry.name, has_answered, now()):
            await self._delete(self._instance_kind, entry.name)

    async def _is_answering(self, entry: InstanceEntry) -> bool:
        request = Follow(self._tree.own.name, self._cache.position_by_kind, 0)
        try:
            await self._pool.request(entry.peer_address, request, REPLY_TIMEOUT_S)
        except PeerUnreachableError:
            return False
        return True

    async def _delete(self, kind: str, name: str) -> None:
        try:
            await self._store.delete(kind, name)
        except StoreAccessError as error:
            # The next check tries again.
            log.warning("stale object not removed", kind=kind, name=name, error=str(error))
            return
        log.info("stale object removed", kind=kind, name=name)
