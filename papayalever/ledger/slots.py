"""State of one slot at one replica: records, epoch and the period its history covers."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum

from ..cluster.messages import Claim, ClaimVerdict, Record, Replicate, Settle, StoredResponse
from .keys import NO_TIMESTAMP
from .views import FIRST_EPOCH, View

# The outcome of an attempt that has been running for longer counts as unknown.
RUNNING_TIMEOUT_MS = 120_000


class RecordState(StrEnum):
    """State of the request of a key."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Role(StrEnum):
    """Role of this replica in the newest view that it knows."""

    NONE = "none"
    PRIMARY = "primary"
    BACKUP = "backup"


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """How long keys are remembered and the allowed clock skew, in milliseconds."""

    window_ms: int
    skew_ms: int


@dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on a claim; ``record`` must be replicated before `GRANTED` is sent."""

    verdict: ClaimVerdict
    record: Record | None = None
    response: StoredResponse | None = None


class Slot:
    """State of one slot on one instance; every decision takes the time as an argument."""

    def __init__(self) -> None:
        self.epoch = 0
        self.role = Role.NONE
        self.history_since_ms: int | None = None
        """Keys created earlier may have been used without a record here; None: no history."""
        self.is_synced = False
        """Primary: the backup holds a complete copy. Backup: this replica holds one."""
        self.is_copying = False
        """Backup: a complete copy is being received."""
        self.records_by_key: OrderedDict[str, Record] = OrderedDict()

    def apply_view(self, view: View, replica: str, now_ms: int, limits: TimeLimits) -> None:
        """Assume the role that a newer view assigns to ``replica``."""
        if view.epoch <= self.epoch:
            return
        role = _find_role(view, replica)
        # A replica that was replaced and reinstated has missed the grants in between.
        is_continuous = self.epoch >= view.replica_since(replica)
        has_history = is_continuous and self._ensure_history()
        self.epoch = view.epoch
        self.role = role
        self.is_synced = False
        self.is_copying = False
        if role == Role.PRIMARY and view.epoch == FIRST_EPOCH:
            self.history_since_ms = 0
        elif role == Role.PRIMARY and not has_history:
            # A stale `NOT_RUN` record would allow another attempt, though a later one may have run.
            self.records_by_key.clear()
            self.history_since_ms = now_ms + limits.skew_ms
        if role == Role.NONE:
            self.records_by_key.clear()
            self.history_since_ms = None

    def decide_claim(self, claim: Claim, now_ms: int, limits: TimeLimits) -> Decision:
        """Decide a claim as the primary, after the view and the backup have been checked."""
        record = self.records_by_key.get(claim.key)
        if record is not None and record.state != RecordState.NOT_RUN:
            return _decide_recorded(record, claim, now_ms)
        if record is not None and record.digest != claim.digest:
            return Decision(ClaimVerdict.BODY_MISMATCH)
        refusal = self._check_key_age(claim, now_ms, limits) if record is None else None
        if refusal:
            return Decision(refusal)
        granted = Record(claim.key, claim.attempt, claim.digest, now_ms, RecordState.RUNNING)
        return Decision(ClaimVerdict.GRANTED, granted)

    def put(self, record: Record) -> None:
        """Store a record as the newest one; expiry starts with the oldest."""
        self.records_by_key[record.key] = record
        self.records_by_key.move_to_end(record.key)

    def settle(self, message: Settle) -> Record | None:
        """Store the result of the attempt that holds the key and return its record.

        None if another attempt holds the key. A repeated message returns the same record, which
        may not have reached the backup.
        """
        record = self.records_by_key.get(message.key)
        if record is None or record.attempt != message.attempt:
            return None
        if record.state != RecordState.RUNNING:
            return record
        settled = replace(record, state=message.state, answer=message.answer)
        self.records_by_key[message.key] = settled
        return settled

    def accept(self, message: Replicate) -> bool:
        """Store records as the backup; returns False unless they are of the current epoch."""
        if message.epoch != self.epoch or self.role != Role.BACKUP:
            return False
        if message.resync:
            self.records_by_key.clear()
            self.is_synced = False
            self.is_copying = True
        if not self.is_synced and not self.is_copying:
            # Without the copy that precedes it, a change would pass for a complete history.
            return False
        for record in message.records:
            self.put(record)
        self.history_since_ms = message.history_since_ms
        self.is_synced = self.is_synced or message.complete
        return True

    def expire(self, now_ms: int, limits: TimeLimits) -> int:
        """Drop records whose keys would be refused as expired; returns their number."""
        oldest_ms = now_ms - limits.window_ms - 2 * limits.skew_ms
        expired_count = 0
        while self.records_by_key:
            key, record = next(iter(self.records_by_key.items()))
            if record.claimed_ms >= oldest_ms:
                break
            del self.records_by_key[key]
            expired_count += 1
        return expired_count

    def _ensure_history(self) -> bool:
        """Whether this replica's records are complete, also if nothing was granted yet."""
        if self.role == Role.BACKUP and self.epoch == FIRST_EPOCH and not self.is_synced:
            # In the first epoch the primary grants nothing until this backup holds a copy.
            self.history_since_ms = 0
            return True
        return self.role == Role.PRIMARY or (self.role == Role.BACKUP and self.is_synced)

    def _check_key_age(self, claim: Claim, now_ms: int, limits: TimeLimits) -> ClaimVerdict | None:
        """Refuse a key without a record whose request may have run before the history starts."""
        oldest_ms = now_ms - limits.window_ms
        minted_ms = oldest_ms if claim.minted_ms == NO_TIMESTAMP else claim.minted_ms
        if minted_ms < oldest_ms:
            return ClaimVerdict.EXPIRED
        if minted_ms > now_ms + limits.skew_ms:
            return ClaimVerdict.FROM_FUTURE
        if self.history_since_ms is None or minted_ms < self.history_since_ms:
            return ClaimVerdict.HISTORY_LOST
        return None


def _decide_recorded(record: Record, claim: Claim, now_ms: int) -> Decision:
    if record.digest != claim.digest:
        return Decision(ClaimVerdict.BODY_MISMATCH)
    if record.state == RecordState.DONE:
        verdict = ClaimVerdict.REPLAY if record.answer else ClaimVerdict.ALREADY_RUN
        return Decision(verdict, response=record.answer)
    if record.state == RecordState.UNKNOWN:
        return Decision(ClaimVerdict.UNKNOWN)
    if record.attempt == claim.attempt:
        # The reply to the same attempt's claim was lost: grant it again.
        return Decision(ClaimVerdict.GRANTED, record)
    if now_ms - record.claimed_ms > RUNNING_TIMEOUT_MS:
        return Decision(ClaimVerdict.UNKNOWN)
    return Decision(ClaimVerdict.IN_PROGRESS)


def _find_role(view: View, replica: str) -> Role:
    if view.primary == replica:
        return Role.PRIMARY
    if view.backup == replica:
        return Role.BACKUP
    return Role.NONE
