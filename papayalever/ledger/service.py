"""Tasks of the ledger: claims, replication and the region's views."""

import asyncio
import uuid
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import logbook

from ..cluster.exceptions import PeerUnreachableError
from ..cluster.gossip import SHARED_PREFIX, Gossip
from ..cluster.links import LinkPool
from ..cluster.messages import (
    Claim,
    ClaimReply,
    ClaimVerdict,
    Member,
    MemberState,
    ObjectUpdate,
    Record,
    Replicate,
    ReplicateReply,
    Settle,
)
from ..config.models import LedgerOptions
from ..store import StoreClient, StoreError, put_surely
from .exceptions import LedgerUnavailableError
from .slots import RecordState, Role, Rules, Slot
from .views import REGION_VIEWS, RegionViews, View, next_views, object_name

REPLICATE_TIMEOUT_S = 1.0
CLAIM_TIMEOUT_S = 1.3
CLAIM_RETRY_S = 0.1
SETTLE_TIMEOUT_S = 2.5
SETTLE_RETRY_S = 1.0
SETTLE_TRIES = 60
"""Longer than a takeover: an answer that is known must not be reported as unknown."""
VIEW_INTERVAL_S = 0.5
VIEW_SETTLE_S = 5.0
EXPIRE_INTERVAL_S = 30.0
COPY_RECORDS = 500
RETRIED_VERDICTS = frozenset({ClaimVerdict.STALE_VIEW, ClaimVerdict.NO_BACKUP})

log = logbook.Logger("ledger")

SlotKey = tuple[str, int]


class Ledger:
    """Owns this instance's replicas and reaches those of others."""

    def __init__(
        self,
        gossip: Gossip,
        pool: LinkPool,
        store: StoreClient,
        now_ms: Callable[[], int],
    ) -> None:
        self.verdicts: Counter[str] = Counter()
        self._gossip = gossip
        self._pool = pool
        self._store = store
        self._now_ms = now_ms
        self._options = LedgerOptions()
        self._is_configured = False
        self._views_by_region: dict[str, RegionViews] = {}
        self._slot_by_key: dict[SlotKey, Slot] = {}
        self._lock_by_key: dict[SlotKey, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task] = set()
        gossip.objects.changes.subscribe(self._take_update)

    @property
    def rules(self) -> Rules:
        """Times that bound the ledger."""
        options = self._options
        return Rules(int(options.window_s * 1000), int(options.clock_skew_s * 1000))

    @property
    def record_count(self) -> int:
        """Records held by this instance."""
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
        """Use other options from now on."""
        self._options = options
        self._is_configured = True

    def slot_count(self, region: str) -> int:
        """Slots of a region's ledger, fixed by its first view."""
        views = self._views_by_region.get(region)
        return len(views.views) if views else self._options.ranges_per_region

    # Callers' side: any instance.

    async def claim(self, claim: Claim, give_up_at: float) -> ClaimReply:
        """Ask for the right to run a key; raises `LedgerUnavailableError` if nobody can grant it.

        ``give_up_at`` is in event loop time. After the error the attempt is not granted, and
        any later grant must be ignored.
        """
        loop = asyncio.get_running_loop()
        while True:
            reply = await self._try_claim(claim, min(CLAIM_TIMEOUT_S, give_up_at - loop.time()))
            if reply is not None and reply.verdict not in RETRIED_VERDICTS:
                self.verdicts[reply.verdict] += 1
                return reply
            if loop.time() + CLAIM_RETRY_S >= give_up_at:
                break
            await asyncio.sleep(CLAIM_RETRY_S)
        self.verdicts["unavailable"] += 1
        self.settle_later(
            Settle(claim.region, claim.slot, claim.key, claim.attempt, RecordState.NOT_RUN)
        )
        raise LedgerUnavailableError(
            f"No primary answered for slot {claim.slot} of {claim.region}."
        )

    def settle_later(self, message: Settle) -> None:
        """Report the end of an attempt in the background."""
        self._spawn(self._settle(message))

    async def _try_claim(self, claim: Claim, timeout_s: float) -> ClaimReply | None:
        view = self._view(claim.region, claim.slot)
        member = self._find(view.primary) if view else None
        if member is None or timeout_s <= 0:
            return None
        claim = Claim(
            claim.region,
            claim.slot,
            view.epoch,
            claim.key,
            claim.attempt,
            claim.digest,
            claim.minted_ms,
        )
        try:
            if member.id == self._gossip.table.own_id:
                reply = await asyncio.wait_for(self.handle_claim(claim), timeout_s)
            else:
                reply = await self._pool.request(member.peer_address, claim, timeout_s)
        except (PeerUnreachableError, TimeoutError):
            return None
        return reply if reply.attempt == claim.attempt else None

    async def _settle(self, message: Settle) -> None:
        for _ in range(SETTLE_TRIES):
            with suppress(PeerUnreachableError):
                if await self._try_settle(message):
                    return
            await asyncio.sleep(SETTLE_RETRY_S)

    async def _try_settle(self, message: Settle) -> bool:
        view = self._view(message.region, message.slot)
        member = self._find(view.primary) if view else None
        if member is None:
            return False
        if member.id == self._gossip.table.own_id:
            reply = await self.handle_settle(message)
        else:
            reply = await self._pool.request(member.peer_address, message, SETTLE_TIMEOUT_S)
        return reply.accepted

    # Primary's side.

    async def handle_claim(self, claim: Claim) -> ClaimReply:
        """Judge a claim; `GRANTED` only after the backup stored it at this epoch."""
        slot = self._slot(claim.region, claim.slot)
        view = self._view(claim.region, claim.slot)
        if view is None or slot.role != Role.PRIMARY or claim.epoch > slot.epoch:
            return ClaimReply(claim.attempt, ClaimVerdict.STALE_VIEW, slot.epoch)
        if not self._gossip.holds_lease() or not await self._ensure_copy(claim, slot, view):
            return ClaimReply(claim.attempt, ClaimVerdict.NO_BACKUP, slot.epoch)
        decision = slot.decide(claim, self._now_ms(), self.rules)
        verdict = decision.verdict
        if verdict == ClaimVerdict.GRANTED and self.record_count >= self._options.max_records:
            verdict = ClaimVerdict.FULL
        elif verdict == ClaimVerdict.GRANTED:
            verdict = await self._grant(claim, slot, view, decision.record)
        return ClaimReply(claim.attempt, verdict, slot.epoch, decision.answer)

    async def handle_settle(self, message: Settle) -> ReplicateReply:
        """End an attempt and tell the backup; not accepted means to send it again."""
        slot = self._slot(message.region, message.slot)
        view = self._view(message.region, message.slot)
        if view is None or slot.role != Role.PRIMARY:
            return ReplicateReply(False, slot.epoch)
        record = slot.settle(message)
        if record is None:
            return ReplicateReply(True, slot.epoch)
        stored = await self._replicate(message.region, message.slot, slot, view, [record])
        return ReplicateReply(stored, slot.epoch)

    async def _grant(self, claim: Claim, slot: Slot, view: View, record: Record) -> ClaimVerdict:
        slot.put(record)
        stored = await self._replicate(claim.region, claim.slot, slot, view, [record])
        if stored and slot.epoch == view.epoch and slot.role == Role.PRIMARY:
            return ClaimVerdict.GRANTED
        # The backup may hold the record all the same; the same attempt may claim again.
        slot.settle(Settle(claim.region, claim.slot, claim.key, claim.attempt, RecordState.NOT_RUN))
        return ClaimVerdict.NO_BACKUP

    async def _ensure_copy(self, claim: Claim, slot: Slot, view: View) -> bool:
        """Send the backup a complete copy, once for each epoch."""
        if slot.is_synced:
            return True
        key = (claim.region, claim.slot)
        async with self._lock_by_key.setdefault(key, asyncio.Lock()):
            if not slot.is_synced and slot.epoch == view.epoch:
                slot.is_synced = await self._send_copy(*key, slot, view)
        return slot.is_synced

    async def _send_copy(self, region: str, index: int, slot: Slot, view: View) -> bool:
        keys = list(slot.records_by_key)
        starts = range(0, max(1, len(keys)), COPY_RECORDS)
        for start in starts:
            part_keys = keys[start : start + COPY_RECORDS]
            part = [slot.records_by_key[key] for key in part_keys if key in slot.records_by_key]
            sent = await self._replicate(
                region,
                index,
                slot,
                view,
                part,
                resync=start == 0,
                complete=start == starts[-1],
            )
            if not sent:
                return False
        return slot.epoch == view.epoch

    async def _replicate(
        self,
        region: str,
        index: int,
        slot: Slot,
        view: View,
        records: list[Record],
        resync: bool = False,
        complete: bool = False,
    ) -> bool:
        backup = self._find(view.backup)
        if backup is None:
            return False
        message = Replicate(
            region, index, view.epoch, slot.history_since_ms or 0, records, resync, complete
        )
        try:
            reply = await self._pool.request(backup.peer_address, message, REPLICATE_TIMEOUT_S)
        except PeerUnreachableError:
            return False
        return reply.accepted

    # Backup's side.

    def handle_replicate(self, message: Replicate) -> ReplicateReply:
        """Store records of the primary; a later epoch or a lapsed lease refuses them."""
        slot = self._slot(message.region, message.slot)
        accepted = self._gossip.holds_lease() and slot.accept(message)
        return ReplicateReply(accepted, slot.epoch)

    # Views.

    async def run_views(self) -> None:
        """Keep the views of the own region in step with its membership until cancelled."""
        while True:
            await asyncio.sleep(VIEW_INTERVAL_S)
            await self.view_round()

    async def view_round(self) -> None:
        """As the coordinator of the own region: change its views if they have to change."""
        # The number of slots is fixed by the first views: it has to be the configured one.
        if self._is_configured and self._is_coordinator():
            with suppress(StoreError):
                await self._update_views()

    async def run_copies(self) -> None:
        """Bring new backups up to date and expire old records until cancelled."""
        last_expiry_ms = 0
        while True:
            await asyncio.sleep(VIEW_INTERVAL_S)
            await self.copy_round()
            if self._now_ms() - last_expiry_ms >= EXPIRE_INTERVAL_S * 1000:
                last_expiry_ms = self._now_ms()
                for slot in self._slot_by_key.values():
                    slot.expire(last_expiry_ms, self.rules)

    async def copy_round(self) -> None:
        """As a primary: send complete copies to the backups that lack one."""
        for (region, index), slot in list(self._slot_by_key.items()):
            view = self._view(region, index)
            if slot.role == Role.PRIMARY and not slot.is_synced and view:
                placeholder = Claim(region, index, view.epoch, "", "", "", 0)
                await self._ensure_copy(placeholder, slot, view)

    def _is_coordinator(self) -> bool:
        table = self._gossip.table
        live = table.live(table.own.region)
        return bool(live) and live[0].id == table.own_id

    async def _update_views(self) -> None:
        table = self._gossip.table
        region = table.own.region
        name = object_name(region)
        if name not in self._gossip.objects.versions():
            await self._read_views(name)
        current = self._views_by_region.get(region)
        views = next_views(
            current,
            region,
            self._options.ranges_per_region,
            table.live(region),
            self._find,
            self._is_gone,
            self._now_ms(),
        )
        if views is None:
            return
        proposal = RegionViews(region, f"{table.own.replica}/{uuid.uuid4().hex}", views)
        value = REGION_VIEWS.dump_json(proposal)
        try:
            version = await put_surely(
                self._store,
                SHARED_PREFIX + name,
                value,
                self._gossip.objects.version(name),
                VIEW_SETTLE_S,
            )
        except StoreError:
            await self._read_views(name)
            raise
        self._gossip.publish(ObjectUpdate(name, version, value.decode()))

    async def _read_views(self, name: str) -> None:
        found = await self._store.get(SHARED_PREFIX + name)
        if found:
            self._gossip.publish(ObjectUpdate(name, found.version, found.value.decode()))

    def _take_update(self, update: ObjectUpdate) -> None:
        if not update.name.startswith("ledger/"):
            return
        views = REGION_VIEWS.validate_json(update.value)
        self._views_by_region[views.region] = views
        own = self._gossip.table.own.replica
        for index, view in enumerate(views.views):
            key = (views.region, index)
            if key in self._slot_by_key or own in (view.primary, view.backup):
                slot = self._slot_by_key.setdefault(key, Slot())
                slot.adopt(view, own, self._now_ms(), self.rules)
        log.debug("views of {} are at version {}", views.region, update.version)

    def _slot(self, region: str, index: int) -> Slot:
        return self._slot_by_key.get((region, index)) or Slot()

    def _view(self, region: str, index: int) -> View | None:
        views = self._views_by_region.get(region)
        return views.views[index] if views and index < len(views.views) else None

    def _find(self, replica: str) -> Member | None:
        return self._gossip.table.find_replica(replica)

    def _is_gone(self, replica: str) -> bool:
        """Whether this run of an instance has ended, not merely gone silent."""
        member = self._gossip.table.get(replica.split("#", 1)[0])
        if member is None or member.replica != replica:
            return True
        return member.state == MemberState.DEAD

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
