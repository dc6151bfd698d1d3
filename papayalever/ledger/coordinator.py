"""Updates the views of the own region after membership changes."""

import asyncio
import uuid
from contextlib import suppress

from ..cluster.gossip import SHARED_PREFIX, Gossip
from ..cluster.messages import MemberState, ObjectUpdate
from ..store import StoreClient, StoreError, put_confirmed
from .state import LedgerState
from .views import REGION_VIEWS, RegionViews, next_views, object_name

VIEW_INTERVAL_S = 0.5
LOST_WRITE_TIMEOUT_S = 5.0


class Coordinator:
    """Updates the views while this instance is the oldest live one of its region.

    Two instances may consider themselves the oldest; conditional writes to the store keep their
    updates in one sequence.
    """

    def __init__(self, state: LedgerState, gossip: Gossip, store: StoreClient) -> None:
        self._state = state
        self._gossip = gossip
        self._store = store

    async def run(self) -> None:
        """Update the views periodically until cancelled."""
        while True:
            await asyncio.sleep(VIEW_INTERVAL_S)
            await self.update_views()

    async def update_views(self) -> None:
        """Update the views of the own region if necessary."""
        # The first views fix the number of slots, which must come from the configuration.
        if self._state.is_configured and self._is_coordinator():
            with suppress(StoreError):
                await self._propose_views()

    def _is_coordinator(self) -> bool:
        table = self._gossip.table
        live = table.live(table.own.region)
        return bool(live) and live[0].id == table.own_id

    async def _propose_views(self) -> None:
        table = self._gossip.table
        region = table.own.region
        name = object_name(region)
        if not self._gossip.objects.version(name):
            await self._read_views(name)
        views = next_views(
            self._state.region_views(region),
            self._state.options.ranges_per_region,
            table.live(region),
            self._state.find_member,
            self._has_ended,
            self._state.now_ms(),
        )
        if views is None:
            return
        proposal = RegionViews(region, f"{table.own.replica}/{uuid.uuid4().hex}", views)
        value = REGION_VIEWS.dump_json(proposal)
        known = self._gossip.objects.version(name)
        try:
            version = await put_confirmed(
                self._store, SHARED_PREFIX + name, value, known, LOST_WRITE_TIMEOUT_S
            )
        except StoreError:
            await self._read_views(name)
            raise
        self._gossip.publish(ObjectUpdate(name, version, value.decode()))

    async def _read_views(self, name: str) -> None:
        found = await self._store.get(SHARED_PREFIX + name)
        if found:
            self._gossip.publish(ObjectUpdate(name, found.version, found.value.decode()))

    def _has_ended(self, replica: str) -> bool:
        """Whether this run of an instance has ended; an unreachable one may still run."""
        member = self._gossip.table.get(replica.split("#", 1)[0])
        if member is None or member.replica != replica:
            return True
        return member.state == MemberState.DEAD
