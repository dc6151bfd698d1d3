"""Views: which instances are primary and backup of each slot of a region's ledger.

The design is primary-backup with an external view service (Alsberg and Day 1976; Viewstamped
Replication, Oki and Liskov 1988). The platform's store plays the view service.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from pydantic import TypeAdapter

from ..cluster.messages import Member, MemberState
from ..hashing import hash_text

FIRST_EPOCH = 1
"""Nothing was ever claimed before it."""

HANDOVER_SETTLE_MS = 3_000
"""How long a new backup has to receive its copy before a leaving primary hands over."""


@dataclass(frozen=True, slots=True)
class View:
    """Replicas of one slot; ``epoch`` grows with each change."""

    epoch: int
    primary: str
    backup: str
    changed_ms: int
    primary_since: int
    """Epoch since which the primary has been a replica without a gap."""
    backup_since: int

    def since(self, replica: str) -> int:
        """Epoch since which ``replica`` has been one of the two, the next one if it is not."""
        if replica == self.primary:
            return self.primary_since
        if replica == self.backup:
            return self.backup_since
        return self.epoch + 1

    def follow(self, primary: str, backup: str, now_ms: int) -> "View":
        """The next view, with other replicas."""
        since = (self.since(primary), self.since(backup))
        return View(self.epoch + 1, primary, backup, now_ms, *since)


@dataclass(frozen=True, slots=True)
class RegionViews:
    """Views of a region's slots; ``writer`` makes the object's text unique."""

    region: str
    writer: str
    views: tuple[View, ...]


REGION_VIEWS = TypeAdapter(RegionViews)

FindReplica = Callable[[str], Member | None]
"""The member that runs a replica, None when it can not be reached."""

IsGone = Callable[[str], bool]
"""Whether a replica has ended for certain; a silent one may still be granting claims."""


OBJECT_PREFIX = "ledger/"


def object_name(region: str) -> str:
    """Name of the shared object with a region's views."""
    return OBJECT_PREFIX + region


def next_views(
    current: RegionViews | None,
    slots: int,
    live: Sequence[Member],
    find: FindReplica,
    is_gone: IsGone,
    now_ms: int,
) -> tuple[View, ...] | None:
    """Views that follow ``current``, None when nothing has to change.

    ``live`` are the region's members that accept new work.
    """
    if current is None:
        return _first_views(slots, live, now_ms)
    load = Counter(replica for view in current.views for replica in (view.primary, view.backup))
    views = []
    for index, view in enumerate(current.views):
        successor = _next_view(view, index, live, find, is_gone, load, now_ms)
        load.update((successor.primary, successor.backup))
        load.subtract((view.primary, view.backup))
        views.append(successor)
    if tuple(views) == current.views:
        return _rebalance(current.views, live, load, find, now_ms)
    return tuple(views)


def _first_views(slots: int, live: Sequence[Member], now_ms: int) -> tuple[View, ...] | None:
    if len(live) < 2:
        return None
    load: Counter[str] = Counter()
    views = []
    for index in range(slots):
        primary = _pick(live, None, index, load)
        load[primary.replica] += 1
        backup = _pick(live, primary, index, load)
        load[backup.replica] += 1
        views.append(View(FIRST_EPOCH, primary.replica, backup.replica, now_ms, 1, 1))
    return tuple(views)


def _next_view(
    view: View,
    index: int,
    live: Sequence[Member],
    find: FindReplica,
    is_gone: IsGone,
    load: Counter[str],
    now_ms: int,
) -> View:
    primary = find(view.primary)
    backup = find(view.backup)
    if primary is None and backup is None:
        if not (is_gone(view.primary) and is_gone(view.backup)):
            return view
        return _replace_both(view, index, live, load, now_ms)
    is_settled = now_ms - view.changed_ms >= HANDOVER_SETTLE_MS
    if primary is None or (_is_leaving(primary) and _is_live(backup) and is_settled):
        primary, backup = backup, None
    elif backup is not None and _is_leaving(backup) and is_settled:
        backup = None
    if backup is None:
        backup = _pick(live, primary, index, load)
    if backup is None or (primary.replica, backup.replica) == (view.primary, view.backup):
        return view
    return view.follow(primary.replica, backup.replica, now_ms)


def _replace_both(
    view: View, index: int, live: Sequence[Member], load: Counter[str], now_ms: int
) -> View:
    """Start again without history: the new primary refuses keys minted before it."""
    primary = _pick(live, None, index, load)
    backup = _pick(live, primary, index, load) if primary else None
    if backup is None:
        return view
    return view.follow(primary.replica, backup.replica, now_ms)


def _rebalance(
    views: tuple[View, ...],
    live: Sequence[Member],
    load: Counter[str],
    find: FindReplica,
    now_ms: int,
) -> tuple[View, ...] | None:
    """Move one backup from the most to the least loaded member."""
    if not live or not all(find(view.primary) for view in views):
        return None
    newest = max(view.changed_ms for view in views)
    lightest = min(live, key=lambda item: (load[item.replica], item.id))
    heaviest = max(live, key=lambda item: (load[item.replica], item.id))
    if now_ms - newest < HANDOVER_SETTLE_MS or load[heaviest.replica] - load[lightest.replica] < 3:
        return None
    for index, view in enumerate(views):
        primary = find(view.primary)
        if view.backup != heaviest.replica or view.primary == lightest.replica:
            continue
        if _has_other_domain(live, primary) and primary.failure_domain == lightest.failure_domain:
            continue
        moved = view.follow(view.primary, lightest.replica, now_ms)
        return (*views[:index], moved, *views[index + 1 :])
    return None


def _pick(
    live: Sequence[Member], other: Member | None, index: int, load: Counter[str]
) -> Member | None:
    """The least loaded member, in another failure domain than ``other`` if there is one."""
    candidates = [item for item in live if other is None or item.id != other.id]
    if other is not None and _has_other_domain(candidates, other):
        candidates = [item for item in candidates if item.failure_domain != other.failure_domain]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda item: (load[item.replica], hash_text(f"{item.id}/{index}")),
    )


def _has_other_domain(members: Sequence[Member], other: Member) -> bool:
    return any(item.failure_domain != other.failure_domain for item in members)


def _is_live(member: Member | None) -> bool:
    return member is not None and member.state == MemberState.LIVE


def _is_leaving(member: Member) -> bool:
    return member.state == MemberState.LEAVING
