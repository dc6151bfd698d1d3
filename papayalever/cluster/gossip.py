"""Tasks that keep membership and shared objects the same on every instance.

Each instance calls the relays of its failure domain; relays call the relays of the others. One
call a second carries the heartbeat, changed records and newer objects both ways.
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
from .exceptions import PeerUnreachableError
from .links import LinkPool
from .membership import MEMBER_SILENCE_S, SYNC_INTERVAL_S, MembershipTable
from .messages import (
    DomainDemand,
    Member,
    MemberState,
    ObjectUpdate,
    Sync,
    SyncReply,
)
from .objects import ObjectCache
from .spreading import Spreader

CALL_TIMEOUT_S = 1.0
LEASE_S = 3.0
"""Shorter than the silence after which a relay declares a member dead."""
SHARED_PREFIX = "shared/"
WATCH_RETRY_S = 1.0
SEED_CHANCE = 0.2
"""Chance in each round to call a seed that is not among the members."""

log = logbook.Logger("cluster")

Clock = Callable[[], float]


class Gossip:
    """Owns the membership table and the object cache of one instance."""

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
        """The instance that makes the plans, as of the last round of heartbeats."""
        self._seeds = seeds
        self._pool = pool
        self._store = store
        self._clock = clock
        self.spreader = Spreader(self.table, pool, clock, self._deliver)
        self._merged_sequence: dict[str, tuple[int, int]] = {}
        self._told_sequence: dict[str, tuple[int, int]] = {}
        self._answered_at: dict[str, float] = {}
        self._rows_by_member: dict[str, tuple[float, list]] = {}
        self._demand_by_domain: dict[str, DomainDemand] = {}
        self.read_demand: Callable[[], list] = list
        """Own demand, as rows of `DomainDemand`."""
        self._calls: set[asyncio.Task] = set()

    @property
    def is_relay(self) -> bool:
        """Whether this instance relays for its failure domain."""
        return self.table.is_relay(self._clock())

    def holds_lease(self) -> bool:
        """Whether no relay can have declared this instance dead yet.

        The relays are the witnesses: each must have answered a heartbeat that was sent within
        `LEASE_S`. An instance that was paused finds its lease lapsed.
        """
        now = self._clock()
        witnesses = self._witnesses()
        if not witnesses:
            return any(now - at < LEASE_S for at in self._answered_at.values())
        return all(now - self._answered_at.get(item, -LEASE_S) < LEASE_S for item in witnesses)

    def _witnesses(self) -> list[str]:
        """Peer addresses of the other relays of the own failure domain."""
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
        """As a relay, watch the store for shared objects until cancelled."""
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
            # A store that came back may count revisions from an older state.
            revision = result.revision
            for item in result.objects:
                name = item.key.removeprefix(SHARED_PREFIX)
                update = ObjectUpdate(name, item.version, item.value.decode())
                if self.objects.offer(update):
                    # The other domains' relays watch too: only the own members need it.
                    self.spreader.send_to_domain(update)

    async def sync_round(self) -> None:
        """Call every instance that this one exchanges heartbeats with."""
        now = self._clock()
        if self.table.is_relay(now):
            self._report_dead(self.table.sweep(now))
        self.planner_id = self._find_planner(now)
        self.table.forget_dead(now)
        targets = self._targets(now)
        calls = [self._sync_with(address, member_id) for address, member_id in targets.items()]
        await asyncio.gather(*calls)
        if not self.has_heard_peer:
            await self._ask_platform()

    def handle_sync(self, sync: Sync) -> SyncReply:
        """Answer a heartbeat."""
        now = self._clock()
        self.has_heard_peer = True
        self._merge([sync.sender, *sync.records], now)
        self.table.note_heard(sync.sender, now)
        table = self.table
        is_relay = table.is_relay(now)
        silent = sorted(table.unreachable_domains) if is_relay else []
        is_other_domain = sync.sender.failure_domain != table.own.failure_domain
        if sync.demand is not None and is_other_domain:
            domain = sync.sender.failure_domain
            self._demand_by_domain[domain] = DomainDemand(domain, _wall_ms(), sync.demand)
        elif sync.demand is not None:
            self._rows_by_member[sync.sender.id] = (now, sync.demand)
        is_for_planner = sync.sender.id == self.planner_id and self._is_reporter(now)
        self._ask_if_behind(sync)
        known = sync.known_sequence
        return SyncReply(
            incarnation=table.own.incarnation,
            sequence=table.sequence,
            records=table.changes_since(known),
            updates=self.objects.newer_than(sync.versions),
            unreachable_domains=silent,
            demand=self._own_domain_demand(now) if is_for_planner and is_other_domain else None,
        )

    def _ask_if_behind(self, sync: Sync) -> None:
        """Call a sender back that holds a newer shared object."""
        if any(version > self.objects.version(name) for name, version in sync.versions.items()):
            call = asyncio.create_task(self._sync_with(sync.sender.peer_address, sync.sender.id))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    def broadcast(self, message: Any) -> None:
        """Send a message to every instance; this one does not receive it."""
        self.spreader.send_everywhere(message)

    def publish(self, update: ObjectUpdate) -> None:
        """Take over a shared object and, if it is new, broadcast it."""
        if self.objects.offer(update):
            self.broadcast(update)

    def _find_planner(self, now: float) -> str:
        """Id of the most senior relay of the failure domains that are heard."""
        table = self.table
        heard = table.domains() - table.unreachable_domains
        relays = (relay for domain in heard for relay in table.relays(domain, now))
        senior = min(relays, key=lambda item: (item.incarnation, item.id), default=None)
        return senior.id if senior else ""

    def demands(self) -> dict[str, DomainDemand]:
        """As a relay: demand by failure domain."""
        own = self._own_domain_demand(self._clock())
        return {**self._demand_by_domain, own.failure_domain: own}

    def _own_domain_demand(self, now: float) -> DomainDemand:
        total: dict[tuple[str, str], list[float]] = {}
        reports = [
            rows for at, rows in self._rows_by_member.values() if now - at < MEMBER_SILENCE_S
        ]
        for rows in (*reports, self.read_demand()):
            for service, home, slots, bytes_s in rows:
                summed = total.setdefault((service, home), [0.0, 0.0])
                summed[0] += slots
                summed[1] += bytes_s
        rows = [(*key, *values) for key, values in total.items()]
        return DomainDemand(self.table.own.failure_domain, _wall_ms(), rows)

    def announce(self, state: MemberState) -> None:
        """Tell every instance the new state of this one."""
        self.table.set_own_state(state, self._clock())
        self.broadcast(self.table.own)
        self.member_changes.on_next([self.table.own])

    async def note_listed(self, listed: list[ListedInstance]) -> None:
        """Take over the platform's list: who is gone, and whom nobody here has met."""
        ids = frozenset(item.id for item in listed)
        self._report_dead(self.table.note_listed(ids, self._clock()))
        strangers = [item for item in listed if item.peer_address and not self.table.get(item.id)]
        for item in random.sample(strangers, min(1, len(strangers))):
            await self._sync_with(item.peer_address, "")

    def _report_dead(self, dead: list[Member]) -> None:
        for member in dead:
            log.info("instance {} is dead", member.id)
        if dead:
            self.member_changes.on_next(dead)

    def _targets(self, now: float) -> dict[str, str]:
        """Peer address and id of the instances to call, seeds without an id."""
        table = self.table
        targets = {
            member.peer_address: member.id
            for domain in self._called_domains(now)
            for member in table.relays(domain, now)
            if member.id != table.own_id and self._is_caller_of(member)
        }
        seeds = self._unknown_seeds()
        if self.has_heard_peer and targets:
            # Groups that started apart find each other through the seeds.
            seeds = seeds[:1] if random.random() < SEED_CHANCE else []
        return targets | dict.fromkeys(seeds, "")

    def _is_caller_of(self, member: Member) -> bool:
        """Whether this side of a pair calls; one call a second carries both sides' news.

        Both call in the own failure domain, because each needs the other as a witness, and so does
        an instance that has no witness there.
        """
        own = self.table.own
        if member.failure_domain == own.failure_domain or not self._witnesses():
            return True
        is_swapped = hash_text("/".join(sorted((own.id, member.id)))) % 2 == 1
        return (own.id < member.id) != is_swapped

    def _unknown_seeds(self) -> list[str]:
        known = {
            member.peer_address for member in self.table.members if member.state != MemberState.DEAD
        }
        unknown = [seed for seed in self._seeds if seed not in known]
        return random.sample(unknown, len(unknown))

    def _called_domains(self, now: float) -> set[str]:
        if self.table.is_relay(now):
            return self.table.domains()
        return {self.table.own.failure_domain}

    async def _sync_with(self, address: str, member_id: str) -> None:
        table = self.table
        incarnation, merged = self._merged_sequence.get(address, (0, 0))
        told_incarnation, told = self._told_sequence.get(address, (0, 0))
        sequence = table.sequence
        records = table.changes_since(told if told_incarnation == incarnation else 0)
        demand = self._demand_for(table.get(member_id))
        sync = Sync(table.own, merged, records, self.objects.versions(), demand)
        sent_at = self._clock()
        try:
            reply = await self._pool.request(address, sync, CALL_TIMEOUT_S)
        except PeerUnreachableError:
            if member_id:
                table.note_failed(member_id, self._clock())
            self._merged_sequence.pop(address, None)
            self._told_sequence.pop(address, None)
            return
        self._told_sequence[address] = (reply.incarnation, sequence)
        self._answered_at[address] = sent_at
        self._take_reply(address, member_id, reply, incarnation)

    def _demand_for(self, member: Member | None) -> list | None:
        """Demand to send along: every second, so only to those who use it."""
        if member is None:
            return None
        if member.failure_domain == self.table.own.failure_domain:
            return self.read_demand()
        now = self._clock()
        if member.id == self.planner_id and self._is_reporter(now):
            return self._own_domain_demand(now).rows
        return None

    def _is_reporter(self, now: float) -> bool:
        """Whether this instance reports the demand of its failure domain."""
        relays = self.table.relays(self.table.own.failure_domain, now)
        return bool(relays) and relays[0].id == self.table.own_id

    def _take_reply(self, address: str, member_id: str, reply: SyncReply, incarnation: int) -> None:
        now = self._clock()
        self.has_heard_peer = True
        self._merge(reply.records, now)
        member = self.table.get(member_id)
        if member:
            self.table.note_heard(member, now)
        if reply.incarnation == incarnation or not incarnation:
            self._merged_sequence[address] = (reply.incarnation, reply.sequence)
        else:
            self._merged_sequence.pop(address, None)
        for update in reply.updates:
            self.objects.offer(update)
        if reply.demand:
            self._demand_by_domain[reply.demand.failure_domain] = reply.demand
        is_own_relay = member and member.failure_domain == self.table.own.failure_domain
        if is_own_relay and not self.table.is_relay(now):
            self.table.unreachable_domains = frozenset(reply.unreachable_domains)

    def _merge(self, records: list[Member], now: float) -> None:
        changed = self.table.merge(records, now)
        if changed:
            self.member_changes.on_next(changed)

    async def _ask_platform(self) -> None:
        """Find peers in the platform's list when no seed answers."""
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
            self.objects.offer(message)
        elif isinstance(message, Member):
            self._merge([message], self._clock())
        else:
            self.broadcasts.on_next(message)


def _wall_ms() -> int:
    return int(time.time() * 1000)
