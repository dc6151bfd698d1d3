"""Gossip protocol that replicates membership and shared objects to every instance.

Each instance sends heartbeats to the relays of its failure domain, and relays send them to the
relays of the other failure domains. A heartbeat and its reply, once a second, carry the changed
records and newer objects in both directions.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import logbook
from reactivex.subject import Subject

from ..hashing import hash_text
from ..store import ListedInstance, StoreClient, StoreError, StoreThrottledError
from .broadcasting import Broadcaster
from .exceptions import PeerUnreachableError
from .links import LinkPool
from .membership import MEMBER_TIMEOUT_S, SYNC_INTERVAL_S, MembershipTable
from .messages import (
    DomainDemand,
    Member,
    MemberState,
    ObjectUpdate,
    Sync,
    SyncReply,
)
from .objects import ObjectCache

CALL_TIMEOUT_S = 1.0
LEASE_S = 3.0
"""Shorter than `MEMBER_TIMEOUT_S`, after which a relay declares a member dead."""
SHARED_PREFIX = "shared/"
WATCH_RETRY_S = 1.0
SEED_SYNC_PROBABILITY = 0.2
"""Probability per round of a heartbeat to a seed that is not among the members."""

log = logbook.Logger("cluster")

Clock = Callable[[], float]


class Gossip:
    """Maintains the membership table and the object cache of one instance."""

    def __init__(
        self,
        own: Member,
        seeds: tuple[str, ...],
        pool: LinkPool,
        store: StoreClient,
        clock: Clock,
    ) -> None:
        self.table = MembershipTable(own)
        self.objects = ObjectCache()
        self.member_changes: Subject[list[Member]] = Subject()
        self.broadcasts: Subject[Any] = Subject()
        self.has_heard_peer = False
        self.planner_id = ""
        """Id of the instance that makes the steering plans, as of the last round of heartbeats."""
        self._seeds = seeds
        self._pool = pool
        self._store = store
        self._clock = clock
        self.broadcaster = Broadcaster(self.table, pool, clock, self._deliver)
        self._received_sequence_by_address: dict[str, tuple[int, int]] = {}
        """Incarnation of a peer and the sequence number up to which its table is merged here."""
        self._sent_sequence_by_address: dict[str, tuple[int, int]] = {}
        """Incarnation of a peer and the own sequence number up to which it has the records."""
        self._last_answered_at_by_address: dict[str, float] = {}
        """Send time of the newest heartbeat that a peer has answered."""
        self._demand_rows_by_id: dict[str, tuple[float, list]] = {}
        self._demand_by_domain: dict[str, DomainDemand] = {}
        self.read_demand: Callable[[], list] = list
        """Returns the demand of this instance as rows of `DomainDemand`."""
        self._calls: set[asyncio.Task] = set()

    @property
    def is_relay(self) -> bool:
        """Whether this instance is a relay of its failure domain."""
        return self.table.is_relay(self._clock())

    def holds_lease(self) -> bool:
        """Whether this instance has a valid lease, so that no relay can have declared it dead.

        The lease is valid if every other relay of the failure domain has answered a heartbeat sent
        within `LEASE_S`; without another relay, one answer from any instance is enough. An instance
        that was paused finds its lease expired.
        """
        now = self._clock()
        relays = self._lease_relays()
        if not relays:
            return any(now - at < LEASE_S for at in self._last_answered_at_by_address.values())
        return all(
            now - self._last_answered_at_by_address.get(item, -LEASE_S) < LEASE_S for item in relays
        )

    def _lease_relays(self) -> list[str]:
        """Peer addresses of the other relays of the own failure domain, which renew the lease."""
        table = self.table
        return [
            relay.peer_address
            for relay in table.relays(table.own.failure_domain, self._clock())
            if relay.id != table.own_id
        ]

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        while True:
            await self.sync_round()
            await asyncio.sleep(SYNC_INTERVAL_S * random.uniform(0.9, 1.1))

    async def run_watch(self) -> None:
        """Watch the store for shared objects while this instance is a relay, until cancelled."""
        revision = 0
        while True:
            if not self.is_relay:
                await asyncio.sleep(WATCH_RETRY_S)
                continue
            try:
                result = await self._store.watch(SHARED_PREFIX, revision)
            except StoreThrottledError:
                await asyncio.sleep(WATCH_RETRY_S * random.uniform(2.0, 5.0))
                continue
            except StoreError:
                await asyncio.sleep(WATCH_RETRY_S * random.uniform(0.5, 1.5))
                continue
            # A store restored from an older state may return a lower revision.
            revision = result.revision
            for item in result.objects:
                name = item.key.removeprefix(SHARED_PREFIX)
                update = ObjectUpdate(name, item.version, item.value.decode())
                if self.objects.merge(update):
                    # The relays of the other failure domains watch the store themselves.
                    self.broadcaster.send_to_domain(update)

    async def sync_round(self) -> None:
        """Send a heartbeat to every instance that this one syncs with."""
        now = self._clock()
        if self.table.is_relay(now):
            self._report_dead(self.table.sweep(now))
        self.planner_id = self._find_planner(now)
        self.table.forget_dead(now)
        targets = self._sync_targets(now)
        calls = [self._sync_with(address, member_id) for address, member_id in targets.items()]
        await asyncio.gather(*calls)
        if not self.has_heard_peer:
            await self._discover_peers()

    def handle_sync(self, sync: Sync) -> SyncReply:
        """Return the reply to a heartbeat."""
        now = self._clock()
        self.has_heard_peer = True
        self._merge([sync.sender, *sync.records], now)
        self.table.note_heard(sync.sender, now)
        table = self.table
        is_relay = table.is_relay(now)
        unreachable = sorted(table.unreachable_domains) if is_relay else []
        is_other_domain = sync.sender.failure_domain != table.own.failure_domain
        if sync.demand is not None and is_other_domain:
            domain = sync.sender.failure_domain
            self._demand_by_domain[domain] = DomainDemand(domain, _unix_ms(), sync.demand)
        elif sync.demand is not None:
            self._demand_rows_by_id[sync.sender.id] = (now, sync.demand)
        is_for_planner = sync.sender.id == self.planner_id and self._is_reporter(now)
        self._sync_back_if_behind(sync)
        known = sync.known_sequence
        return SyncReply(
            incarnation=table.own.incarnation,
            sequence=table.sequence,
            records=table.changes_since(known),
            updates=self.objects.newer_than(sync.versions),
            unreachable_domains=unreachable,
            demand=self._own_domain_demand(now) if is_for_planner and is_other_domain else None,
        )

    def _sync_back_if_behind(self, sync: Sync) -> None:
        """Sync with a sender that has a newer version of a shared object."""
        if any(version > self.objects.version(name) for name, version in sync.versions.items()):
            call = asyncio.create_task(self._sync_with(sync.sender.peer_address, sync.sender.id))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    def broadcast(self, message: Any) -> None:
        """Send a message to every other instance."""
        self.broadcaster.send_to_all(message)

    def publish(self, update: ObjectUpdate) -> None:
        """Store a shared object and, if it is newer than the known one, broadcast it."""
        if self.objects.merge(update):
            self.broadcast(update)

    def _find_planner(self, now: float) -> str:
        """Id of the oldest relay in the reachable failure domains; empty if there is none."""
        table = self.table
        reachable = table.domains() - table.unreachable_domains
        relays = (relay for domain in reachable for relay in table.relays(domain, now))
        oldest = min(relays, key=lambda item: (item.incarnation, item.id), default=None)
        return oldest.id if oldest else ""

    def demands(self) -> dict[str, DomainDemand]:
        """Return the demand by failure domain; only complete on the planner."""
        own = self._own_domain_demand(self._clock())
        return {**self._demand_by_domain, own.failure_domain: own}

    def _own_domain_demand(self, now: float) -> DomainDemand:
        total: dict[tuple[str, str], list[float]] = {}
        reports = [
            rows for at, rows in self._demand_rows_by_id.values() if now - at < MEMBER_TIMEOUT_S
        ]
        for rows in (*reports, self.read_demand()):
            for service, home, slots, bytes_s in rows:
                summed = total.setdefault((service, home), [0.0, 0.0])
                summed[0] += slots
                summed[1] += bytes_s
        rows = [(*key, *values) for key, values in total.items()]
        return DomainDemand(self.table.own.failure_domain, _unix_ms(), rows)

    def announce(self, state: MemberState) -> None:
        """Change the state of this instance and broadcast it."""
        self.table.set_own_state(state, self._clock())
        self.broadcast(self.table.own)
        self.member_changes.on_next([self.table.own])

    async def note_listed(self, listed: list[ListedInstance]) -> None:
        """Declare unlisted unreachable members dead and sync with one unknown listed instance."""
        ids = frozenset(item.id for item in listed)
        self._report_dead(self.table.note_listed(ids, self._clock()))
        unknown = [item for item in listed if item.peer_address and not self.table.get(item.id)]
        for item in random.sample(unknown, min(1, len(unknown))):
            await self._sync_with(item.peer_address, "")

    def _report_dead(self, dead: list[Member]) -> None:
        for member in dead:
            log.info("instance {} is dead", member.id)
        if dead:
            self.member_changes.on_next(dead)

    def _sync_targets(self, now: float) -> dict[str, str]:
        """Ids of the instances to send heartbeats to, by peer address; empty for seeds."""
        table = self.table
        targets = {
            member.peer_address: member.id
            for domain in self._sync_domains(now)
            for member in table.relays(domain, now)
            if member.id != table.own_id and self._is_sync_initiator(member)
        }
        seeds = self._unknown_seeds()
        if self.has_heard_peer and targets:
            # Clusters that formed separately discover each other through the seeds.
            seeds = seeds[:1] if random.random() < SEED_SYNC_PROBABILITY else []
        return targets | dict.fromkeys(seeds, "")

    def _is_sync_initiator(self, member: Member) -> bool:
        """Whether this side of a pair of relays sends the heartbeats.

        One direction is enough, because a heartbeat and its reply carry the changes of both sides.
        Within a failure domain both sides send, because each renews its lease with the other's
        replies. An instance without another relay in its failure domain always sends, too.
        """
        own = self.table.own
        if member.failure_domain == own.failure_domain or not self._lease_relays():
            return True
        is_reversed = hash_text("/".join(sorted((own.id, member.id)))) % 2 == 1
        return (own.id < member.id) != is_reversed

    def _unknown_seeds(self) -> list[str]:
        known = {
            member.peer_address for member in self.table.members if member.state != MemberState.DEAD
        }
        unknown = [seed for seed in self._seeds if seed not in known]
        return random.sample(unknown, len(unknown))

    def _sync_domains(self, now: float) -> set[str]:
        if self.table.is_relay(now):
            return self.table.domains()
        return {self.table.own.failure_domain}

    async def _sync_with(self, address: str, member_id: str) -> None:
        table = self.table
        incarnation, received = self._received_sequence_by_address.get(address, (0, 0))
        sent_incarnation, sent = self._sent_sequence_by_address.get(address, (0, 0))
        sequence = table.sequence
        records = table.changes_since(sent if sent_incarnation == incarnation else 0)
        demand = self._demand_for(table.get(member_id))
        sync = Sync(table.own, received, records, self.objects.versions(), demand)
        sent_at = self._clock()
        try:
            reply = await self._pool.request(address, sync, CALL_TIMEOUT_S)
        except PeerUnreachableError:
            if member_id:
                table.note_failed(member_id, self._clock())
            self._received_sequence_by_address.pop(address, None)
            self._sent_sequence_by_address.pop(address, None)
            return
        self._sent_sequence_by_address[address] = (reply.incarnation, sequence)
        self._last_answered_at_by_address[address] = sent_at
        self._handle_reply(address, member_id, reply, incarnation)

    def _demand_for(self, member: Member | None) -> list | None:
        """Demand rows to include in a heartbeat; None for receivers that do not use them."""
        if member is None:
            return None
        if member.failure_domain == self.table.own.failure_domain:
            return self.read_demand()
        now = self._clock()
        if member.id == self.planner_id and self._is_reporter(now):
            return self._own_domain_demand(now).rows
        return None

    def _is_reporter(self, now: float) -> bool:
        """Whether this instance reports the demand of its failure domain to the planner."""
        relays = self.table.relays(self.table.own.failure_domain, now)
        return bool(relays) and relays[0].id == self.table.own_id

    def _handle_reply(
        self, address: str, member_id: str, reply: SyncReply, incarnation: int
    ) -> None:
        now = self._clock()
        self.has_heard_peer = True
        self._merge(reply.records, now)
        member = self.table.get(member_id)
        if member:
            self.table.note_heard(member, now)
        if reply.incarnation == incarnation or not incarnation:
            self._received_sequence_by_address[address] = (reply.incarnation, reply.sequence)
        else:
            self._received_sequence_by_address.pop(address, None)
        for update in reply.updates:
            self.objects.merge(update)
        if reply.demand:
            self._demand_by_domain[reply.demand.failure_domain] = reply.demand
        is_own_relay = member and member.failure_domain == self.table.own.failure_domain
        if is_own_relay and not self.table.is_relay(now):
            self.table.unreachable_domains = frozenset(reply.unreachable_domains)

    def _merge(self, records: list[Member], now: float) -> None:
        changed = self.table.merge(records, now)
        if changed:
            self.member_changes.on_next(changed)

    async def _discover_peers(self) -> None:
        """Sync with instances from the platform's list, for when no seed answers."""
        try:
            listed = await self._store.list_instances()
        except StoreError:
            return
        own = self.table.own
        addresses = [item.peer_address for item in listed if item.id != own.id]
        for address in random.sample(addresses, min(3, len(addresses))):
            if address:
                await self._sync_with(address, "")

    def _deliver(self, message: Any) -> None:
        if isinstance(message, ObjectUpdate):
            self.objects.merge(message)
        elif isinstance(message, Member):
            self._merge([message], self._clock())
        else:
            self.broadcasts.on_next(message)


def _unix_ms() -> int:
    return int(time.time() * 1000)
