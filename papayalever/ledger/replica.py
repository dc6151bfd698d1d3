"""Primary and backup side of the ledger: grants, replication and complete copies."""

import asyncio

from ..cluster.exceptions import PeerUnreachableError
from ..cluster.gossip import Gossip
from ..cluster.links import LinkPool
from ..cluster.messages import (
    Claim,
    ClaimReply,
    ClaimVerdict,
    Record,
    Replicate,
    ReplicateReply,
    Settle,
)
from .slots import RecordState, Role, Slot
from .state import LedgerState, SlotKey
from .views import View

REPLICATE_TIMEOUT_S = 1.0
COPY_INTERVAL_S = 0.5
EXPIRE_INTERVAL_S = 30.0
COPY_BATCH_SIZE = 500


class Replica:
    """Decides claims as a primary and stores records as a backup."""

    def __init__(self, state: LedgerState, gossip: Gossip, pool: LinkPool) -> None:
        self._state = state
        self._gossip = gossip
        self._pool = pool
        self._lock_by_slot: dict[SlotKey, asyncio.Lock] = {}

    async def run(self) -> None:
        """Send copies to new backups and expire old records until cancelled."""
        last_expiry_ms = 0
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            await self.sync_backups()
            now_ms = self._state.now_ms()
            if now_ms - last_expiry_ms >= EXPIRE_INTERVAL_S * 1000:
                last_expiry_ms = now_ms
                for _, slot in self._state.slots():
                    slot.expire(now_ms, self._state.time_limits)

    async def sync_backups(self) -> None:
        """Send complete copies, as a primary, to the backups that lack one."""
        for key, slot in self._state.slots():
            view = self._state.view(*key)
            if slot.role == Role.PRIMARY and not slot.is_synced and view:
                await self._ensure_copy(key, slot, view)

    async def handle_claim(self, claim: Claim) -> ClaimReply:
        """Decide a claim; it is `GRANTED` only once the backup has stored it in this epoch."""
        key = (claim.region, claim.slot)
        slot, view = self._state.slot(*key), self._state.view(*key)
        if view is None or slot.role != Role.PRIMARY or claim.epoch > slot.epoch:
            return ClaimReply(claim.attempt, ClaimVerdict.STALE_VIEW, slot.epoch)
        if not self._gossip.holds_lease() or not await self._ensure_copy(key, slot, view):
            return ClaimReply(claim.attempt, ClaimVerdict.NO_BACKUP, slot.epoch)
        decision = slot.decide_claim(claim, self._state.now_ms(), self._state.time_limits)
        verdict = decision.verdict
        if verdict == ClaimVerdict.GRANTED and self._is_full():
            verdict = ClaimVerdict.FULL
        elif verdict == ClaimVerdict.GRANTED:
            verdict = await self._grant(claim, slot, view, decision.record)
        return ClaimReply(claim.attempt, verdict, slot.epoch, decision.response)

    async def handle_settle(self, message: Settle) -> ReplicateReply:
        """Store and replicate the result of an attempt; if not accepted, it must be sent again."""
        key = (message.region, message.slot)
        slot, view = self._state.slot(*key), self._state.view(*key)
        if view is None or slot.role != Role.PRIMARY:
            return ReplicateReply(False, slot.epoch)
        record = slot.settle(message)
        if record is None:
            return ReplicateReply(True, slot.epoch)
        return ReplicateReply(await self._replicate(key, slot, view, [record]), slot.epoch)

    def handle_replicate(self, message: Replicate) -> ReplicateReply:
        """Store records from the primary; refused after a later epoch or without a valid lease."""
        slot = self._state.slot(message.region, message.slot)
        accepted = self._gossip.holds_lease() and slot.accept(message)
        return ReplicateReply(accepted, slot.epoch)

    def _is_full(self) -> bool:
        return self._state.record_count >= self._state.options.max_records

    async def _grant(self, claim: Claim, slot: Slot, view: View, record: Record) -> ClaimVerdict:
        slot.put(record)
        stored = await self._replicate((claim.region, claim.slot), slot, view, [record])
        if stored and slot.epoch == view.epoch and slot.role == Role.PRIMARY:
            return ClaimVerdict.GRANTED
        # The backup may have stored the record nevertheless; the same attempt may claim again.
        slot.settle(Settle(claim.region, claim.slot, claim.key, claim.attempt, RecordState.NOT_RUN))
        return ClaimVerdict.NO_BACKUP

    async def _ensure_copy(self, key: SlotKey, slot: Slot, view: View) -> bool:
        """Send the backup a complete copy once per epoch; returns whether it has one."""
        if slot.is_synced:
            return True
        async with self._lock_by_slot.setdefault(key, asyncio.Lock()):
            if not slot.is_synced and slot.epoch == view.epoch:
                slot.is_synced = await self._send_copy(key, slot, view)
        return slot.is_synced

    async def _send_copy(self, key: SlotKey, slot: Slot, view: View) -> bool:
        record_keys = list(slot.records_by_key)
        starts = range(0, max(1, len(record_keys)), COPY_BATCH_SIZE)
        for start in starts:
            batch = [
                slot.records_by_key[record_key]
                for record_key in record_keys[start : start + COPY_BATCH_SIZE]
                if record_key in slot.records_by_key
            ]
            is_first, is_last = start == 0, start == starts[-1]
            if not await self._replicate(key, slot, view, batch, is_first, is_last):
                return False
        return slot.epoch == view.epoch

    async def _replicate(
        self,
        key: SlotKey,
        slot: Slot,
        view: View,
        records: list[Record],
        resync: bool = False,
        complete: bool = False,
    ) -> bool:
        backup = self._state.find_member(view.backup)
        if backup is None:
            return False
        history_since_ms = slot.history_since_ms or 0
        message = Replicate(*key, view.epoch, history_since_ms, records, resync, complete)
        try:
            reply = await self._pool.request(backup.peer_address, message, REPLICATE_TIMEOUT_S)
        except PeerUnreachableError:
            return False
        return reply.accepted
