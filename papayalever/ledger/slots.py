"""One replica's state of one slot: records, epoch and what its history covers."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum

from ..cluster.messages import Claim, ClaimVerdict, Record, Replicate, Settle, StoredResponse
from .keys import NO_TIME
from .views import FIRST_EPOCH, View

STALE_RUNNING_MS = 120_000


class RecordState(StrEnum):
    """What is known of one key."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Role(StrEnum):
    """What this replica is in the newest view it knows."""

    NONE = "none"
    PRIMARY = "primary"
    BACKUP = "backup"


@dataclass(frozen=True, slots=True)
class Rules:
    """Times that bound the ledger, in milliseconds."""

    window_ms: int
    skew_ms: int


@dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on a claim; ``record`` has to be replicated before `GRANTED` is said."""

    verdict: ClaimVerdict
    record: Record | None = None
    answer: StoredResponse | None = None


class Slot:
    """State of one slot on one instance; every decision takes the time as an argument."""

    def __init__(self) -> None:
        self.epoch = 0
        self.role = Role.NONE
        self.history_since_ms: int | None = None
        """Keys minted before may have run without a record here; None: no history yet."""
        self.is_synced = False
        """Primary: the backup holds a complete copy. Backup: this replica holds one."""
        self.is_copying = False
        """Backup: parts of a complete copy are arriving."""
        self.records_by_key: OrderedDict[str, Record] = OrderedDict()

    def adopt(self, view: View, replica: str, now_ms: int, rules: Rules) -> None:
        """Take the role that a newer view gives to this replica."""
        if view.epoch <= self.epoch:
            return
        role = _role_in(view, replica)
        # A replica that was replaced and came back has missed the grants in between.
        is_continuous = self.epoch >= view.since(replica)
        has_history = is_continuous and self._has_history()
        self.epoch = view.epoch
        self.role = role
        self.is_synced = False
        self.is_copying = False
        if role == Role.PRIMARY and view.epoch == FIRST_EPOCH:
            self.history_since_ms = 0
        elif role == Role.PRIMARY and not has_history:
            # A stale record of an attempt that was not run would allow another one.
            self.records_by_key.clear()
            self.history_since_ms = now_ms + rules.skew_ms
        if role == Role.NONE:
            self.records_by_key.clear()
            self.history_since_ms = None

    def decide(self, claim: Claim, now_ms: int, rules: Rules) -> Decision:
        """As the primary: judge a claim; the caller checked the view and the backup."""
        record = self.records_by_key.get(claim.key)
        if record is not None and record.state != RecordState.NOT_RUN:
            return _judge_known(record, claim, now_ms)
        if record is not None and record.digest != claim.digest:
            return Decision(ClaimVerdict.BODY_MISMATCH)
        refusal = self._judge_age(claim, now_ms, rules) if record is None else None
        if refusal:
            return Decision(refusal)
        granted = Record(claim.key, claim.attempt, claim.digest, now_ms, RecordState.RUNNING)
        return Decision(ClaimVerdict.GRANTED, granted)

    def put(self, record: Record) -> None:
        """Store a record; the oldest claims stay first."""
        self.records_by_key[record.key] = record
        self.records_by_key.move_to_end(record.key)

    def settle(self, message: Settle) -> Record | None:
        """End the attempt that holds the key and return its record.

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
        """As the backup: store records of the primary unless a later epoch is known."""
        if message.epoch != self.epoch or self.role != Role.BACKUP:
            return False
        if message.resync:
            self.records_by_key.clear()
            self.is_synced = False
            self.is_copying = True
        if not self.is_synced and not self.is_copying:
            # A change without the copy it builds on would look like a full history.
            return False
        for record in message.records:
            self.put(record)
        self.history_since_ms = message.history_since_ms
        self.is_synced = self.is_synced or message.complete
        return True

    def expire(self, now_ms: int, rules: Rules) -> int:
        """Drop records whose keys would be refused as expired; returns how many."""
        oldest_ms = now_ms - rules.window_ms - 2 * rules.skew_ms
        expired = 0
        while self.records_by_key:
            key, record = next(iter(self.records_by_key.items()))
            if record.claimed_ms >= oldest_ms:
                break
            del self.records_by_key[key]
            expired += 1
        return expired

    def _has_history(self) -> bool:
        if self.role == Role.BACKUP and self.epoch == FIRST_EPOCH and not self.is_synced:
            # Without this replica's copy nothing was granted in the first epoch.
            self.history_since_ms = 0
            return True
        return self.role == Role.PRIMARY or (self.role == Role.BACKUP and self.is_synced)

    def _judge_age(self, claim: Claim, now_ms: int, rules: Rules) -> ClaimVerdict | None:
        """Refuse an unseen key that may have run before this replica's history."""
        oldest_ms = now_ms - rules.window_ms
        minted_ms = oldest_ms if claim.minted_ms == NO_TIME else claim.minted_ms
        if minted_ms < oldest_ms:
            return ClaimVerdict.EXPIRED
        if minted_ms > now_ms + rules.skew_ms:
            return ClaimVerdict.FROM_FUTURE
        if self.history_since_ms is None or minted_ms < self.history_since_ms:
            return ClaimVerdict.HISTORY_LOST
        return None


def _judge_known(record: Record, claim: Claim, now_ms: int) -> Decision:
    if record.digest != claim.digest:
        return Decision(ClaimVerdict.BODY_MISMATCH)
    if record.state == RecordState.DONE:
        verdict = ClaimVerdict.REPLAY if record.answer else ClaimVerdict.ALREADY_RUN
        return Decision(verdict, answer=record.answer)
    if record.state == RecordState.UNKNOWN:
        return Decision(ClaimVerdict.UNKNOWN)
    if record.attempt == claim.attempt:
        # The reply to the same attempt's claim was lost: grant it again.
        return Decision(ClaimVerdict.GRANTED, record)
    if now_ms - record.claimed_ms > STALE_RUNNING_MS:
        return Decision(ClaimVerdict.UNKNOWN)
    return Decision(ClaimVerdict.IN_PROGRESS)


def _role_in(view: View, replica: str) -> Role:
    if view.primary == replica:
        return Role.PRIMARY
    if view.backup == replica:
        return Role.BACKUP
    return Role.NONE
