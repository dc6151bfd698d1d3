"""Ledger state of one instance: the views of all regions, its own slots and the options."""

from collections.abc import Callable, Iterator

from ..cluster.gossip import Gossip
from ..cluster.messages import Member, ObjectUpdate
from ..config.models import LedgerOptions
from .slots import Slot, TimeLimits
from .views import OBJECT_PREFIX, REGION_VIEWS, RegionViews, View

SlotKey = tuple[str, int]
"""Region and number of a slot."""


class LedgerState:
    """Applies the views that the cluster shares to the slots of this instance."""

    def __init__(self, gossip: Gossip, now_ms: Callable[[], int]) -> None:
        self.now_ms = now_ms
        self.options = LedgerOptions()
        self.is_configured = False
        self._gossip = gossip
        self._views_by_region: dict[str, RegionViews] = {}
        self._slot_by_key: dict[SlotKey, Slot] = {}
        gossip.objects.changes.subscribe(self._apply_update)

    @property
    def time_limits(self) -> TimeLimits:
        """Time limits from the options."""
        options = self.options
        return TimeLimits(int(options.window_s * 1000), int(options.clock_skew_s * 1000))

    @property
    def record_count(self) -> int:
        """Number of records at this instance."""
        return sum(len(slot.records_by_key) for slot in self._slot_by_key.values())

    @property
    def is_replica(self) -> bool:
        """Whether a view names this run of the instance."""
        own = self._gossip.table.own.replica
        return any(
            own in (view.primary, view.backup)
            for views in self._views_by_region.values()
            for view in views.views
        )

    def set_options(self, options: LedgerOptions) -> None:
        """Replace the options."""
        self.options = options
        self.is_configured = True

    def slot_count(self, region: str) -> int:
        """Number of slots of a region's ledger, fixed by its first views."""
        views = self._views_by_region.get(region)
        return len(views.views) if views else self.options.ranges_per_region

    def region_views(self, region: str) -> RegionViews | None:
        """The newest known views of a region."""
        return self._views_by_region.get(region)

    def view(self, region: str, index: int) -> View | None:
        """The newest known view of a slot."""
        views = self._views_by_region.get(region)
        return views.views[index] if views and index < len(views.views) else None

    def slot(self, region: str, index: int) -> Slot:
        """Own state of a slot, an empty one without a role if this instance is no replica."""
        return self._slot_by_key.get((region, index)) or Slot()

    def slots(self) -> Iterator[tuple[SlotKey, Slot]]:
        """Iterate over a snapshot of the own slots and their keys."""
        return iter(list(self._slot_by_key.items()))

    def find_member(self, replica: str) -> Member | None:
        """The member that runs a replica, None if it cannot be reached."""
        return self._gossip.table.find_replica(replica)

    def is_own(self, member: Member) -> bool:
        """Whether a member is this instance."""
        return member.id == self._gossip.table.own_id

    def _apply_update(self, update: ObjectUpdate) -> None:
        if not update.name.startswith(OBJECT_PREFIX):
            return
        views = REGION_VIEWS.validate_json(update.value)
        self._views_by_region[views.region] = views
        own = self._gossip.table.own.replica
        for index, view in enumerate(views.views):
            key = (views.region, index)
            if key in self._slot_by_key or own in (view.primary, view.backup):
                slot = self._slot_by_key.setdefault(key, Slot())
                slot.apply_view(view, own, self.now_ms(), self.time_limits)
