"""Messages between instances.

Every message is a data class of CBOR values and other messages; `codec` maps each class to a CBOR
tag and encodes the fields by position. Fields in ``_ms`` without another description are
milliseconds since the Unix epoch.
"""

from dataclasses import dataclass, field
from enum import StrEnum

ACCEPTS_PACKED = "#packed"
ACCEPTS_HELD = "#held"
NO_TIME_LIMIT = -1
"""Time left of an object that is held until it is written again."""
NO_LIMIT = -1.0
"""Rate of a backend server that names no limit."""
NO_REPORT = -1
"""Age of an unknown limit."""


class MemberState(StrEnum):
    """Lifecycle state of an instance."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """Membership record of an instance; the greatest (incarnation, revision) is the newest.

    The incarnation is the time at which the instance started.
    """

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
        """Identifier of this run of the instance, because a restart loses all state."""
        return f"{self.id}#{self.incarnation}"


@dataclass(frozen=True, slots=True)
class ObjectUpdate:
    """A version of a shared object; ``value`` is JSON."""

    name: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class DomainDemand:
    """Total demand that the instances of a failure domain serve, computed by its relay."""

    failure_domain: str
    at_ms: int
    rows: list[tuple[str, str, float, float]]
    """Service, home region of the callers, slots in use or waited for, and bytes per second."""


@dataclass(frozen=True, slots=True)
class Sync:
    """Heartbeat with the sender's record and the records that changed since the previous one."""

    sender: Member
    known_sequence: int
    """Sequence number up to which the sender has merged the receiver's table."""
    records: list[Member]
    versions: dict[str, int]
    """Version of each shared object at the sender."""
    demand: list[tuple[str, str, float, float]] | None = None
    """Rows as in `DomainDemand`: the sender's own demand within its failure domain, the demand of
    the whole domain if the receiver is the planner, otherwise None."""


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Reply to `Sync` with changed records and newer shared objects of the replying instance."""

    incarnation: int
    sequence: int
    records: list[Member]
    updates: list[ObjectUpdate]
    unreachable_domains: list[str]
    """Failure domains that the replying instance cannot reach; empty unless it is a relay."""
    demand: DomainDemand | None = None
    """Demand of the replying instance's failure domain, only for the planner."""


@dataclass(frozen=True, slots=True)
class Broadcast:
    """A message for every instance.

    The relays of the failure domain ``origin_domain`` forward it to the relays of the other failure
    domains, and every relay forwards it to the members of its own, so each instance receives two
    copies. If ``origin_domain`` is empty, only the members of the sender's failure domain get it.
    """

    id: str
    origin_domain: str
    message: object


@dataclass(frozen=True, slots=True)
class FetchBundle:
    """Request for a configuration bundle by its digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class Bundle:
    """A configuration bundle; ``data`` is empty if the replying instance does not have it."""

    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Prepare:
    """Request to store a configuration, so that it can be put in force without a fetch.

    ``data`` is a delta against the bundle ``base_digest``, or the full bundle if that is empty.
    """

    base_version: int
    digest: str
    base_digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Prepared:
    """Whether an instance has stored the configuration; ``problem`` is empty if it has."""

    replica: str
    problem: str = ""
    needs_full_bundle: bool = False
    """Whether the full bundle is needed because the instance lacks the base of the delta."""


@dataclass(frozen=True, slots=True)
class PrepareDomain:
    """Request to a relay to send ``prepare`` to every live instance of its failure domain."""

    prepare: Prepare


@dataclass(frozen=True, slots=True)
class PreparedDomain:
    """Instances that have stored the configuration, and the problems of those that have not.

    Instances are identified by `Member.replica`.
    """

    prepared: list[str]
    problems: dict[str, str]
    needs_full_bundle: bool = False
    """Whether the relay lacks the base of the delta; it has then not asked any instance."""


@dataclass(frozen=True, slots=True)
class QueryStatus:
    """Request for the configuration in force at an instance."""


@dataclass(frozen=True, slots=True)
class StatusReply:
    """Configuration in force at an instance, and its counters by name."""

    replica: str
    config_version: int
    config_digest: str
    is_relay: bool
    counters: dict[str, float] = field(default_factory=dict)


class ClaimVerdict(StrEnum):
    """Decision of a ledger primary about a claim."""

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
class StoredResponse:
    """Response to a completed request, kept to answer retries."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Claim:
    """Request to the primary of ``slot`` for the exclusive right to run the request of a key."""

    region: str
    slot: int
    epoch: int
    key: str
    attempt: str
    digest: str
    minted_ms: int
    """Creation time contained in the key, or -1 if the key contains none."""


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Decision about a claim; ``answer`` is set only with `ClaimVerdict.REPLAY`."""

    attempt: str
    verdict: str
    epoch: int
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class Settle:
    """Result of an attempt; ``state`` is a `ledger.slots.RecordState`."""

    region: str
    slot: int
    key: str
    attempt: str
    state: str
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class Record:
    """Ledger entry of a key; ``state`` is a `ledger.slots.RecordState`."""

    key: str
    attempt: str
    digest: str
    claimed_ms: int
    state: str
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class Replicate:
    """Records of a slot that its primary sends to its backup.

    ``history_since_ms`` is the start of the period for which the primary has complete records.
    """

    region: str
    slot: int
    epoch: int
    history_since_ms: int
    records: list[Record]
    resync: bool = False
    """Whether this is the first part of a complete copy."""
    complete: bool = False
    """Whether this is the last part of a complete copy."""


@dataclass(frozen=True, slots=True)
class ReplicateReply:
    """Whether the backup stored the records; it only stores those of its current epoch."""

    accepted: bool
    epoch: int


@dataclass(frozen=True, slots=True)
class BackendDrainNotice:
    """Announcement that a backend server is draining, in effect until ``until_ms``."""

    backend: str
    until_ms: int


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Announcement that a backend server crashed after it was sent the request ``digest``."""

    digest: str
    backend: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Empty acknowledgement."""


@dataclass(frozen=True, slots=True)
class KindUpdate:
    """Changes to the stored objects of one kind."""

    kind: str
    position: int
    """Position of the receiver in the store's history once it has applied the changes; see
    `entry.store_position`."""
    is_snapshot: bool
    """Whether ``changes`` lists all objects rather than only those that changed."""
    changes: list[tuple[str, bytes | None]]
    """Name and stored value of each object; None for an object that was deleted."""
    is_after_outage: bool = False
    """Whether the store was unavailable before, so that missing objects may reappear."""


@dataclass(frozen=True, slots=True)
class PackedSnapshot:
    """All stored objects of one kind, compressed; only sent to instances that accept it."""

    kind: str
    position: int
    packed: bytes
    """The compressed changes of a snapshot, as `cluster.codec.pack_changes` encodes them."""


@dataclass(frozen=True, slots=True)
class HeldState:
    """Objects that count at the sender although the store's state lacks them or differs.

    Sent together with a snapshot of the kind, and only to instances that accept it.
    """

    kind: str
    position: int
    """Position of the snapshot."""
    known_position: int
    """Position up to which the sender knew the objects before it received that state."""
    objects: list[tuple[str, bytes | None, int]]
    """Name, value (None if deleted) and milliseconds left, or `NO_TIME_LIMIT`."""


@dataclass(frozen=True, slots=True)
class Follow:
    """Long poll of another instance for store changes; also shows that ``instance`` is alive."""

    instance: str
    position_by_kind: dict[str, int]
    """Positions of the sender; the keys `ACCEPTS_PACKED` and `ACCEPTS_HELD` show that it accepts
    `PackedSnapshot` and `HeldState`, as earlier versions reject messages that they do not know."""
    wait_ms: int
    """Time that the receiver may wait for changes before it replies."""


@dataclass(frozen=True, slots=True)
class FollowReply:
    """Changes since the requested positions; empty if there were none within the wait."""

    is_current: bool
    """Whether the data is recent: its sender reads the store or follows an instance that does."""
    updates: list[KindUpdate | PackedSnapshot | HeldState]
    age_ms: int = 0
    """Time since the last contact with the store that the replying instance's data reflects."""
    started_ms: int = 0
    """Start time of the replying instance; the store may still list its previous run."""


@dataclass(frozen=True, slots=True)
class AskCarrier:
    """Asks whether an instance reaches backend servers and would send requests for ``instance``."""

    instance: str


@dataclass(frozen=True, slots=True)
class CarrierOffer:
    """Whether the sender reaches backend servers and sends requests for others."""

    does_carry: bool
    carried: int
    """Sends that it makes for other instances at present."""


@dataclass(frozen=True, slots=True)
class Carry:
    """One send to a backend server, for an instance that does not reach it."""

    instance: str
    number: int
    """Identifies the send together with ``instance``."""
    server: str
    is_idempotent: bool
    is_repeat: bool
    """Whether the request was sent before, so that it needs a connection of its own."""
    left_ms: int
    """Time until the caller stops waiting."""
    request_id: bytes
    """Empty if the request has none."""
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    host: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Carried:
    """End of a send that another instance made: the response, or why there is none."""

    is_sent: bool
    """Whether any byte of the request may have reached the server."""
    failure: str = ""
    """A value of `entry.connection.SendFailure`, empty if there is a response or nothing was sent
    because the sender does not carry the request."""
    detail: str = ""
    is_server_fault: bool = False
    """Whether the server is to blame for a failed connection."""
    status: int = 0
    reason: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    head_age_ms: int = 0
    """Time since the head of the response arrived."""


@dataclass(frozen=True, slots=True)
class CancelCarry:
    """The caller of a carried request left, or its time is over."""

    instance: str
    number: int


class PermitState(StrEnum):
    """Decision of a backend server's owner about a permit."""

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class AcquirePermit:
    """Asks the owner of a backend server for a permit to send it a request."""

    instance: str
    number: int
    """Identifies the permit together with ``instance``."""
    server: str
    rank: int
    due_in_ms: int
    """Time until the request misses its latency target, negative if it has missed it."""
    lease_ms: int
    """Time after which the permit expires, because the request has ended by then."""
    object_key: str
    """Route and object of the request; a server that handled both recently is faster."""
    is_fallback: bool
    """Whether another server is preferred for the object. A permit is then granted only from spare
    capacity or if this server handled the object recently."""
    is_already_sent: bool
    """Whether the request has been sent already; the reply then informs about the next request."""
    limit_per_s: float = NO_LIMIT
    """Last known limit of the server, in requests per second."""
    limit_age_ms: int = NO_REPORT
    """Time since the sender learned it."""


@dataclass(frozen=True, slots=True)
class AwaitPermit:
    """Long poll for the decision about a permit request that was queued."""

    instance: str
    number: int


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Decision about a permit; ``wait_ms`` is the expected wait or the time until a retry."""

    state: str
    wait_ms: int
    limit_per_s: float = NO_LIMIT
    limit_age_ms: int = NO_REPORT
    """Limit of the server, as in `AcquirePermit`."""
    is_leaving: bool = False
    """Whether the server said that it leaves."""


@dataclass(frozen=True, slots=True)
class ReleasePermit:
    """Release of a permit, or withdrawal of a queued request for one."""

    instance: str
    number: int
    ran_ms: int
    """Time from sending the request to its response; 0 if there was no response."""
    running: int
    """Number of running and waiting requests that the server reported; -1 if it reported none."""
    outcome: str = "unknown"
    """Outcome of the send, a value of `routing.health.SendOutcome`."""
    limit_per_s: float = NO_LIMIT
    limit_age_ms: int = NO_REPORT
    """Limit of the server, as in `AcquirePermit`."""
    is_leaving: bool = False
    """Whether the server said that it leaves."""
