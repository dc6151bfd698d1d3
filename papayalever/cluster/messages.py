"""Typed messages between instances.

Every message is a flat data class of CBOR values; `codec` maps each class to a CBOR tag.
Times are wall-clock milliseconds since the Unix epoch unless a name says otherwise.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class MemberState(StrEnum):
    """Life of an instance as others see it."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """One instance; a greater (incarnation, revision) supersedes a smaller one."""

    id: str
    incarnation: int
    revision: int
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    operator_address: str
    state: str = MemberState.LIVE

    @property
    def replica(self) -> str:
        """Identity of this run of the instance; a restart has lost all state."""
        return f"{self.id}#{self.incarnation}"


@dataclass(frozen=True, slots=True)
class ObjectUpdate:
    """A version of a shared object; ``value`` is its JSON text."""

    name: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class DomainDemand:
    """Demand that the instances of one failure domain serve, as its relay has summed it up."""

    failure_domain: str
    at_ms: int
    rows: list[tuple[str, str, float, float]]
    """Service, home region of the callers, slots in use or waited for, bytes a second."""


@dataclass(frozen=True, slots=True)
class Sync:
    """Heartbeat: the sender's record and what changed since the receiver last heard."""

    sender: Member
    known_sequence: int
    """Sequence of the receiver's table up to which the sender has merged."""
    records: list[Member]
    versions: dict[str, int]
    """Version of each shared object that the sender holds."""
    demand: list[tuple[str, str, float, float]] | None = None
    """Rows as in `DomainDemand`: to the own domain the sender's, to the planner those of its
    domain, to others none."""


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Answer to `Sync`: changes in the receiver's table and newer shared objects."""

    incarnation: int
    sequence: int
    records: list[Member]
    updates: list[ObjectUpdate]
    unreachable_domains: list[str]
    """Failure domains that the receiver has not heard from; empty unless it is a relay."""
    demand: DomainDemand | None = None
    """Demand of the receiver's failure domain, only for the planner."""


@dataclass(frozen=True, slots=True)
class Broadcast:
    """A message for every instance.

    The relays of the origin's failure domain pass it to the relays of the others, and every relay
    to its own members: two copies for each instance. Without an origin domain it stays with the
    members of the sender's domain.
    """

    id: str
    origin_domain: str
    message: object


@dataclass(frozen=True, slots=True)
class FetchBundle:
    """Ask for the body of a configuration by its digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class Bundle:
    """Body of a configuration; empty when it is not held."""

    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Prepare:
    """Hold a configuration so that it can be put in force without a fetch.

    ``data`` is a delta against the body ``base_digest``, or the whole body if that is empty.
    """

    base_version: int
    digest: str
    base_digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Prepared:
    """Whether an instance holds the configuration; ``problem`` is empty if it does."""

    replica: str
    problem: str = ""
    needs_full: bool = False
    """The receiver does not hold the base of the delta."""


@dataclass(frozen=True, slots=True)
class PrepareDomain:
    """Ask a relay to prepare every live instance of its failure domain."""

    prepare: Prepare


@dataclass(frozen=True, slots=True)
class PreparedDomain:
    """Replicas that hold the configuration and problems by replica of those that do not."""

    prepared: list[str]
    problems: dict[str, str]
    needs_full: bool = False
    """The relay does not hold the base of the delta; it has asked nobody."""


@dataclass(frozen=True, slots=True)
class QueryStatus:
    """Ask an instance what it has in force."""


@dataclass(frozen=True, slots=True)
class StatusReply:
    """What an instance has in force and its counters by name."""

    replica: str
    config_version: int
    config_digest: str
    is_relay: bool
    counters: dict[str, float] = field(default_factory=dict)


class ClaimVerdict(StrEnum):
    """Answer of a ledger primary to a claim."""

    GRANTED = "granted"
    REPLAY = "replay"
    ALREADY_RUN = "already-run"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "outcome-unknown"
    BODY_MISMATCH = "key-reused"
    EXPIRED = "key-expired"
    FROM_FUTURE = "key-from-future"
    HISTORY_LOST = "history-lost"
    STALE_VIEW = "stale-view"
    NO_BACKUP = "no-backup"
    FULL = "ledger-full"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Answer of a completed request, kept for resends."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Claim:
    """Ask the primary of ``slot`` for the only right to run a key."""

    region: str
    slot: int
    epoch: int
    key: str
    attempt: str
    digest: str
    minted_ms: int
    """Time in the key, or -1 for a key without one."""


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Verdict on a claim; ``answer`` only with `ClaimVerdict.REPLAY`."""

    attempt: str
    verdict: str
    epoch: int
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Settle:
    """End of an attempt: ``state`` is a `RecordState`."""

    region: str
    slot: int
    key: str
    attempt: str
    state: str
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Record:
    """What the ledger keeps of one key."""

    key: str
    attempt: str
    digest: str
    claimed_ms: int
    state: str
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Replicate:
    """Primary to backup: records of a slot at an epoch, with the start of its history."""

    region: str
    slot: int
    epoch: int
    history_since_ms: int
    records: list[Record]
    resync: bool = False
    """The first part of a complete copy."""
    complete: bool = False
    """The last part of a complete copy."""


@dataclass(frozen=True, slots=True)
class ReplicateReply:
    """Whether the backup stored the records; refused when it knows a later epoch."""

    accepted: bool
    epoch: int


@dataclass(frozen=True, slots=True)
class BackendDrainNotice:
    """A backend server said that it is leaving."""

    backend: str
    until_ms: int


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """A request after whose dispatch a backend server died."""

    digest: str
    backend: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Empty acknowledgement."""


@dataclass(frozen=True, slots=True)
class KindUpdate:
    """What changed in one kind of stored objects; values are the objects' own bytes."""

    kind: str
    revision: int
    """Revision of the store that the receiver then holds."""
    is_snapshot: bool
    """Whether ``changes`` lists all objects, not only what changed."""
    changes: list[tuple[str, bytes | None]]
    """Name and value; None for an object that is gone."""
    is_after_outage: bool = False
    """Whether the store had been away, so that missing objects may come back."""


@dataclass(frozen=True, slots=True)
class Follow:
    """An instance asks another for news of the store, and says that it lives."""

    instance: str
    revision_by_kind: dict[str, int]
    wait_ms: int


@dataclass(frozen=True, slots=True)
class FollowReply:
    """News since the revisions asked for; empty when the wait is over."""

    is_current: bool
    """Whether the sender itself hears the store or one that does."""
    updates: list[KindUpdate]
    age_ms: int = 0
    """Time since the newest contact with the store that the sender's copy rests on."""
    started_ms: int = 0
    """Unix milliseconds of the sender's start; what the store lists may be of a run before."""


class PermitState(StrEnum):
    """What the owner of a server says to a question for a place."""

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class AcquirePermit:
    """An instance wants to send a request to a server that the receiver owns."""

    instance: str
    number: int
    """With the instance the identity of the place."""
    server: str
    rank: int
    due_in_ms: int
    """Time until the answer loses its full value, below 0 if it has."""
    lease_ms: int
    """Time after which the request is over in any case."""
    object_key: str
    """The request's route and object: a server that handled the two lately is faster."""
    is_fallback: bool
    """Whether the object has another server: then only spare room is given, or room where the
    object is known."""
    is_already_sent: bool
    """Whether the request is on its way already; the answer is for the next one."""


@dataclass(frozen=True, slots=True)
class AwaitPermit:
    """The instance waits for a place that was queued."""

    instance: str
    number: int


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Whether there is a place, and if not, when to try again."""

    state: str
    wait_ms: int


@dataclass(frozen=True, slots=True)
class ReleasePermit:
    """A place is free again, or not wanted any more."""

    instance: str
    number: int
    ran_ms: int
    """Time from the send to the answer; 0 if there was no answer."""
    running: int
    """The server's own count of running and waiting requests, -1 if it told none."""
    outcome: str = "unknown"
    """How the send ended, a value of `routing.health.RunEnd`."""
