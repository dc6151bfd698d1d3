"""Views: the primary and the backup of each slot of a region's ledger.

The design is primary-backup with an external view service (Alsberg and Day 1976; Viewstamped
Replication, Oki and Liskov 1988). The platform's store serves as the view service.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from pydantic import TypeAdapter

from ..cluster.messages import Member, MemberState
from ..hashing import hash_text

FIRST_EPOCH = 1
"""Epoch of the first view of a slot; no claim precedes it."""

HANDOVER_DELAY_MS = 3_000
"""Time for a new backup to receive its copy before a leaving primary hands over."""


@dataclass(frozen=True, slots=True)
class View:
    """Replicas of one slot; each change increments ``epoch``."""

    epoch: int
    primary: str
    backup: str
    changed_ms: int
    primary_since: int
    """Epoch since which the primary has been a replica of the slot without interruption."""
    backup_since: int

    def replica_since(self, replica: str) -> int:
        """Epoch since which ``replica`` has been in the view, the next epoch if it is not in it."""
        if replica == self.primary:
            return self.primary_since
        if replica == self.backup:
            return self.backup_since
        return self.epoch + 1

    def with_replicas(self, primary: str, backup: str, now_ms: int) -> "View":
        """Return the next view, with the given replicas."""
        since = (self.replica_since(primary), self.replica_since(backup))
        return View(self.epoch + 1, primary, backup, now_ms, *since)


@dataclass(frozen=True, slots=True)
class RegionViews:
    """Views of a region's slots; ``writer`` makes the JSON of each write unique."""

    region: str
    writer: str
    views: tuple[View, ...]


REGION_VIEWS = TypeAdapter(RegionViews)

FindMember = Callable[[str], Member | None]
"""The member that runs a replica, None if it cannot be reached."""

HasEnded = Callable[[str], bool]
"""Whether a replica has certainly ended; an unreachable one may still grant claims."""


OBJECT_PREFIX = "ledger/"


def object_name(region: str) -> str:
    """Name of the shared object with a region's views."""
    return OBJECT_PREFIX + region


def next_views(
    current: RegionViews | None,
    slots: int,
    live: Sequence[Member],
    find_member: FindMember,
    has_ended: HasEnded,
    now_ms: int,
) -> tuple[View, ...] | None:
    """Compute the views that follow ``current``, None if nothing has to change.

    ``live`` are the region's members that accept new work.
    """
    if current is None:
        return _first_views(slots, live, now_ms)
    load = Counter(replica for view in current.views for replica in (view.primary, view.backup))
    views = []
    for index, view in enumerate(current.views):
        successor = _next_view(view, index, live, find_member, has_ended, load, now_ms)
        load.update((successor.primary, successor.backup))
        load.subtract((view.primary, view.backup))
        views.append(successor)
    if tuple(views) == current.views:
        return _rebalance(current.views, live, load, find_member, now_ms)
    return tuple(views)


def _first_views(slots: int, live: Sequence[Member], now_ms: int) -> tuple[View, ...] | None:
    if len(live) < 2:
        return None
    load: Counter[str] = Counter()
    views = []
    for index in range(slots):
        primary = _pick_replica(live, None, index, load)
        load[primary.replica] += 1
        backup = _pick_replica(live, primary, index, load)
        load[backup.replica] += 1
        views.append(View(FIRST_EPOCH, primary.replica, backup.replica, now_ms, 1, 1))
    return tuple(views)


def _next_view(
    view: View,
    index: int,
    live: Sequence[Member],
    find_member: FindMember,
    has_ended: HasEnded,
    load: Counter[str],
    now_ms: int,
) -> View:
    primary = find_member(view.primary)
    backup = find_member(view.backup)
    if primary is None and backup is None:
        if not (has_ended(view.primary) and has_ended(view.backup)):
            return view
        return _replace_both(view, index, live, load, now_ms)
    may_hand_over = now_ms - view.changed_ms >= HANDOVER_DELAY_MS
    if primary is None or (_is_leaving(primary) and _is_live(backup) and may_hand_over):
        primary, backup = backup, None
    elif backup is not None and _is_leaving(backup) and may_hand_over:
        backup = None
    if backup is None:
        backup = _pick_replica(live, primary, index, load)
    if backup is None or (primary.replica, backup.replica) == (view.primary, view.backup):
        return view
    return view.with_replicas(primary.replica, backup.replica, now_ms)


def _replace_both(
    view: View, index: int, live: Sequence[Member], load: Counter[str], now_ms: int
) -> View:
    """Assign two new replicas without history; the primary refuses keys created before it."""
    primary = _pick_replica(live, None, index, load)
    backup = _pick_replica(live, primary, index, load) if primary else None
    if backup is None:
        return view
    return view.with_replicas(primary.replica, backup.replica, now_ms)


def _rebalance(
    views: tuple[View, ...],
    live: Sequence[Member],
    load: Counter[str],
    find_member: FindMember,
    now_ms: int,
) -> tuple[View, ...] | None:
    """Move one backup from the most to the least loaded member."""
    if not live or not all(find_member(view.primary) for view in views):
        return None
    last_changed_ms = max(view.changed_ms for view in views)
    least_loaded = min(live, key=lambda member: (load[member.replica], member.id))
    most_loaded = max(live, key=lambda member: (load[member.replica], member.id))
    if (
        now_ms - last_changed_ms < HANDOVER_DELAY_MS
        or load[most_loaded.replica] - load[least_loaded.replica] < 3
    ):
        return None
    for index, view in enumerate(views):
        primary = find_member(view.primary)
        if view.backup != most_loaded.replica or view.primary == least_loaded.replica:
            continue
        if (
            _has_other_domain(live, primary)
            and primary.failure_domain == least_loaded.failure_domain
        ):
            continue
        moved_view = view.with_replicas(view.primary, least_loaded.replica, now_ms)
        return (*views[:index], moved_view, *views[index + 1 :])
    return None


def _pick_replica(
    live: Sequence[Member], other: Member | None, index: int, load: Counter[str]
) -> Member | None:
    """Pick the least loaded member, in another failure domain than ``other`` if there is one."""
    candidates = [member for member in live if other is None or member.id != other.id]
    if other is not None and _has_other_domain(candidates, other):
        candidates = [
            member for member in candidates if member.failure_domain != other.failure_domain
        ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda item: (load[item.replica], hash_text(f"{item.id}/{index}")),
    )


def _has_other_domain(members: Sequence[Member], other: Member) -> bool:
    return any(member.failure_domain != other.failure_domain for member in members)


def _is_live(member: Member | None) -> bool:
    return member is not None and member.state == MemberState.LIVE


def _is_leaving(member: Member) -> bool:
    return member.state == MemberState.LEAVING
