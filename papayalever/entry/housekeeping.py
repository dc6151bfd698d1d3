"""Removes from the store what nobody else removes: entries of instances that are gone for good and
records of crashes that are too old to count.

The most senior instance does it. For a moment two may: a second removal does no harm, and an
instance whose entry was removed by mistake writes it again.
"""

import asyncio

import logbook

from ..cluster.exceptions import PeerUnreachableError
from ..cluster.links import LinkPool
from ..cluster.messages import Follow
from ..routing.replication_tree import AbsenceTracker, InstanceEntry, ReplicationTree
from .clock import now
from .copy import StoreCopy
from .crashes import CRASH_KIND, Crashes
from .feed import FeedError
from .store_view import InstanceStore

CHECK_S = 60.0
"""Between checks: 700 questions a minute at the target's size, 12 a second of one instance."""
ANSWER_S = 1.1
"""As long as a relay's answer may take."""

log = logbook.Logger("housekeeping")


class Housekeeping:
    """Looks for leftovers while this instance is the most senior one."""

    def __init__(
        self,
        relays: ReplicationTree,
        copy: StoreCopy,
        crashes: Crashes,
        store: InstanceStore,
        pool: LinkPool,
        instance_kind: str,
    ) -> None:
        self._relays = relays
        self._copy = copy
        self._crashes = crashes
        self._store = store
        self._pool = pool
        self._instance_kind = instance_kind
        self._absences = AbsenceTracker()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            if not self._relays.is_oldest(now()):
                continue
            for entry in list(self._relays.entry_by_name.values()):
                await self._check_instance(entry)
            for name in self._crashes.old_records(now()):
                await self._remove(CRASH_KIND, name)

    async def _check_instance(self, entry: InstanceEntry) -> None:
        if entry.name == self._relays.own.name:
            return
        has_answered = await self._ask(entry)
        if self._absences.note(entry.name, has_answered, now()):
            await self._remove(self._instance_kind, entry.name)

    async def _ask(self, entry: InstanceEntry) -> bool:
        question = Follow(self._relays.own.name, self._copy.revision_by_kind, 0)
        try:
            await self._pool.request(entry.peer_address, question, ANSWER_S)
        except PeerUnreachableError:
            return False
        return True

    async def _remove(self, kind: str, name: str) -> None:
        try:
            await self._store.withdraw(kind, name)
        except FeedError as error:
            # The next check finds it again.
            log.warning("leftover not removed", kind=kind, name=name, error=str(error))
            return
        log.info("leftover removed", kind=kind, name=name)
