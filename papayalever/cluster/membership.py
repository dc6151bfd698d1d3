"""Membership table: state and decisions without I/O; ``now`` is in seconds of a monotonic clock.

The oldest members of each failure domain are its relays. Relays exchange heartbeats with the relays
of the other failure domains and detect dead members of their own.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .messages import Member, MemberState

RELAYS_PER_DOMAIN = 2
SYNC_INTERVAL_S = 1.0
MEMBER_TIMEOUT_S = 3.5
DOMAIN_TIMEOUT_S = 4.5
SUSPECT_S = 5.0
DEAD_RETENTION_S = 3_600.0
MIN_UNLISTED_READS = 3
MAX_SWEEP_GAP_S = 2.5


@dataclass(slots=True)
class Entry:
    """A member's record with the local sequence number and time of its last change."""

    member: Member
    sequence: int
    changed_at: float


class MembershipTable:
    """Records of all instances as one instance knows them."""

    def __init__(self, own: Member) -> None:
        self.own_id = own.id
        self.sequence = 0
        self._entry_by_id: dict[str, Entry] = {}
        self._ids_by_domain: dict[str, set[str]] = {}
        self._relays_by_domain: dict[str, tuple[float, list[Member]]] = {}
        """Relays of each failure domain and the time until which this cached result is valid."""
        self._heard_at_by_id: dict[str, float] = {}
        self._suspect_until_by_id: dict[str, float] = {}
        self._heard_at_by_domain: dict[str, float] = {}
        self._swept_at = float("-inf")
        self._listening_since = 0.0
        self._unlisted_reads_by_id: dict[str, int] = {}
        self.unreachable_domains: frozenset[str] = frozenset()
        self._store(own, now=0.0)

    @property
    def own(self) -> Member:
        """The record of this instance."""
        return self._entry_by_id[self.own_id].member

    @property
    def members(self) -> list[Member]:
        """All records, including those of dead members."""
        return [entry.member for entry in self._entry_by_id.values()]

    def get(self, member_id: str) -> Member | None:
        """Return the record of a member."""
        entry = self._entry_by_id.get(member_id)
        return entry.member if entry else None

    def find_replica(self, replica: str) -> Member | None:
        """Return the reachable member whose current run is ``replica``, or None."""
        member = self.get(replica.split("#", 1)[0])
        if member is None or member.replica != replica or not self.is_reachable(member):
            return None
        return member

    def is_reachable(self, member: Member) -> bool:
        """Whether a member is not dead and its failure domain is reachable."""
        if member.id == self.own_id:
            return True
        return (
            member.state != MemberState.DEAD
            and member.failure_domain not in self.unreachable_domains
        )

    def live(self, region: str | None = None) -> list[Member]:
        """Reachable members that accept new work, oldest first."""
        found = (
            entry.member
            for entry in self._entry_by_id.values()
            if entry.member.state == MemberState.LIVE
            and (region is None or entry.member.region == region)
            and self.is_reachable(entry.member)
        )
        return sorted(found, key=_age_order)

    def merge(self, records: Iterable[Member], now: float) -> list[Member]:
        """Store newer records and return them; refute a wrong record of this instance."""
        changed = []
        for record in records:
            if record.id == self.own_id:
                self._refute(record, now)
                continue
            known = self.get(record.id)
            if known and _version(known) >= _version(record):
                continue
            self._store(record, now)
            self._heard_at_by_id.setdefault(record.id, now)
            if known is None or known.incarnation != record.incarnation:
                self._heard_at_by_id[record.id] = now
                if self._suspect_until_by_id.pop(record.id, None):
                    self._relays_by_domain.pop(record.failure_domain, None)
            changed.append(record)
        return changed

    def set_own_state(self, state: MemberState, now: float) -> None:
        """Change the state in the record of this instance."""
        self._store(replace(self.own, state=state, revision=self.own.revision + 1), now)

    def changes_since(self, sequence: int) -> list[Member]:
        """Return the records that changed after a local sequence number."""
        if sequence >= self.sequence:
            return []
        return [entry.member for entry in self._entry_by_id.values() if entry.sequence > sequence]

    def note_heard(self, member: Member, now: float) -> None:
        """Record direct contact with a member."""
        self._heard_at_by_id[member.id] = now
        if self._suspect_until_by_id.pop(member.id, None):
            self._relays_by_domain.pop(member.failure_domain, None)
        self._heard_at_by_domain[member.failure_domain] = now

    def note_failed(self, member_id: str, now: float) -> None:
        """Record that a member did not reply; it is not used as a relay for `SUSPECT_S`."""
        self._suspect_until_by_id[member_id] = now + SUSPECT_S
        member = self.get(member_id)
        if member:
            self._relays_by_domain.pop(member.failure_domain, None)

    def relays(self, domain: str, now: float) -> list[Member]:
        """Return the relays of a failure domain."""
        valid_until, found = self._relays_by_domain.get(domain, (float("-inf"), []))
        if now < valid_until:
            return found
        members = [self._entry_by_id[item].member for item in self._ids_by_domain.get(domain, ())]
        alive = [member for member in members if member.state != MemberState.DEAD]
        suspect_until_by_id = {
            member.id: until
            for member in alive
            if (until := self._suspect_until_by_id.get(member.id, 0.0)) > now
        }
        candidates = [member for member in alive if member.id not in suspect_until_by_id]
        found = sorted(candidates, key=_relay_order)[:RELAYS_PER_DOMAIN]
        valid_until = min(suspect_until_by_id.values(), default=float("inf"))
        self._relays_by_domain[domain] = (valid_until, found)
        return found

    def is_relay(self, now: float) -> bool:
        """Whether this instance is a relay of its failure domain."""
        return any(item.id == self.own_id for item in self.relays(self.own.failure_domain, now))

    def domains(self) -> set[str]:
        """Failure domains with a member that is not dead."""
        return {
            domain
            for domain, ids in self._ids_by_domain.items()
            if any(self._entry_by_id[item].member.state != MemberState.DEAD for item in ids)
        }

    def sweep(self, now: float) -> list[Member]:
        """On a relay, declare timed-out members dead and update the unreachable domains."""
        if now - self._swept_at > MAX_SWEEP_GAP_S:
            # A new relay, or one that was paused, has not received heartbeats until now.
            self._listening_since = now
        self._swept_at = now
        dead = [item for item in self.members if self._is_timed_out(item, now)]
        for member in dead:
            self._declare_dead(member, now)
        self.unreachable_domains = frozenset(
            domain
            for domain in self.domains() - {self.own.failure_domain}
            if now - self._domain_heard_at(domain) > DOMAIN_TIMEOUT_S
        )
        return dead

    def note_listed(self, listed: frozenset[str], now: float) -> list[Member]:
        """On a relay, declare unreachable members dead that the platform no longer lists.

        The list lags, so a member must be missing from `MIN_UNLISTED_READS` lists in a row. An
        empty list is ignored.
        """
        dead = []
        for member in self.members:
            is_unreachable = member.failure_domain in self.unreachable_domains
            if not listed or member.id in listed or not is_unreachable:
                self._unlisted_reads_by_id.pop(member.id, None)
                continue
            reads = self._unlisted_reads_by_id.get(member.id, 0) + 1
            self._unlisted_reads_by_id[member.id] = reads
            if reads >= MIN_UNLISTED_READS and member.state != MemberState.DEAD:
                dead.append(member)
        for member in dead:
            self._declare_dead(member, now)
        return dead

    def forget_dead(self, now: float) -> None:
        """Drop records of members that have been dead for longer than `DEAD_RETENTION_S`."""
        for member_id, entry in list(self._entry_by_id.items()):
            is_dead = entry.member.state == MemberState.DEAD
            if is_dead and now - entry.changed_at > DEAD_RETENTION_S:
                del self._entry_by_id[member_id]
                self._ids_by_domain[entry.member.failure_domain].discard(member_id)

    def _domain_heard_at(self, domain: str) -> float:
        return max(self._heard_at_by_domain.get(domain, 0.0), self._listening_since)

    def _is_timed_out(self, member: Member, now: float) -> bool:
        if member.id == self.own_id or member.state == MemberState.DEAD:
            return False
        if member.failure_domain != self.own.failure_domain:
            return False
        heard_at = max(self._heard_at_by_id.get(member.id, 0.0), self._listening_since)
        return now - heard_at > MEMBER_TIMEOUT_S

    def _declare_dead(self, member: Member, now: float) -> None:
        self._store(replace(member, state=MemberState.DEAD, revision=member.revision + 1), now)

    def _refute(self, record: Member, now: float) -> None:
        own = self.own
        if record.incarnation != own.incarnation or record.revision < own.revision:
            return
        if record.state != own.state:
            self._store(replace(own, revision=record.revision + 1), now)

    def _store(self, member: Member, now: float) -> None:
        self.sequence += 1
        self._entry_by_id[member.id] = Entry(member, self.sequence, now)
        self._ids_by_domain.setdefault(member.failure_domain, set()).add(member.id)
        self._relays_by_domain.pop(member.failure_domain, None)


def _version(member: Member) -> tuple[int, int]:
    return member.incarnation, member.revision


def _age_order(member: Member) -> tuple[int, str]:
    return member.incarnation, member.id


def _relay_order(member: Member) -> tuple[bool, int, str]:
    return member.state == MemberState.LEAVING, member.incarnation, member.id
