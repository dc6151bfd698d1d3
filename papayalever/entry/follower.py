"""Keeps an instance's store cache current, from the store or an upstream (another instance)."""

import asyncio
import itertools
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import replace
from functools import partial
from random import Random

import logbook

from ..cluster.codec import unpack_changes
from ..cluster.exceptions import CodecError, PeerUnreachableError
from ..cluster.links import LinkPool
from ..cluster.messages import (
    ACCEPTS_HELD,
    ACCEPTS_PACKED,
    Follow,
    FollowReply,
    HeldState,
    KindUpdate,
    PackedSnapshot,
)
from ..routing.replication_tree import InstanceEntry, ReplicationTree
from .clock import now
from .freshness import Freshness, WatchSchedule, compute_age_s
from .store_cache import STORE_ORIGIN, Origin, StoreCache
from .supervision import supervise
from .watcher import KindWatcher, StoreHealth, StoreReader

LONG_POLL_S = 0.6
"""How long an upstream holds a request while it has no update; this also serves as heartbeat."""
REPLY_TIMEOUT_S = 1.1
"""An upstream that has not replied by then is skipped. With the reply of the next one, changes
reach every instance within 2 s."""
LATE_REPLY_S = 0.25
"""How much later than expected a reply may be before the next upstream is polled as well: several
round trips between regions. Silent upstreams then delay a change by this time each, and not by
`REPLY_TIMEOUT_S`."""
CHAIN_AGE_S = 1.5 * LONG_POLL_S
"""How much older than a reader's a view may be. Covers a chain of three upstreams,
each polled every `LONG_POLL_S`, below a reader that was answered in time."""
MAX_REPORTED_AGE_S = 60.0
"""Largest age in a reply."""
CHECK_MARGIN_S = 0.01
"""Added to a wait, so that a limit has passed when it ends."""
READER_CHECK_INTERVAL_S = 0.5
"""How often an instance that reads the store checks whether an older instance should do so."""
SEED_TIMEOUT_S = 1.2
"""How long a starting instance waits for the seeds before it reads the store itself. All instances
may start together, and starting seeds need about 0.5 s; the store's rate limit does not grow with
the number of instances."""
SEED_PAUSE_S = 0.15
"""Pause between requests to seeds whose cache is not filled yet; filling it from the store takes
about as long."""
DIRECT_READ_S = 2.0
"""How long an instance reads the store itself once it finds no current upstream."""
UPSTREAM_GRACE_S = 0.4
"""How long an instance looks for a current upstream before it reads the store itself: a new reader
needs two round trips between regions and the wait of its first watch."""
UPSTREAM_RETRY_S = 0.1
"""Pause between the polls of that time."""
REMOTE_POLL_INTERVAL_S = 0.5
"""Interval of the polls of other regions' readers. They do not wait for a change: it usually
arrives through the own region first, and would cross the links between regions once more."""
STALE_SEED_S = 2.0
"""How long the state of a seed that is not current is held back. A starting instance that reaches
the store has read it by then, and without it a server that left would be used again."""
SEED_FOLLOW_S = 3.0
"""Longest time for which a starting instance follows a seed. Its entry is replicated within 1 s
unless the store fails."""

log = logbook.Logger("follower")


class Follower:
    """Follows an upstream, or reads the store as the reader or while no upstream is current."""

    def __init__(
        self,
        tree: ReplicationTree,
        cache: StoreCache,
        store: StoreReader,
        pool: LinkPool,
        seeds: tuple[str, ...],
        rng: Random,
        freshness: Freshness,
        schedule_by_kind: Mapping[str, WatchSchedule],
    ) -> None:
        self.tree = tree
        self.health = StoreHealth()
        self._confirmed_at = float("-inf")
        """Time of the latest answer of the store that another instance's reply is based on."""
        self._freshness = freshness
        self.upstream_name = ""
        self.is_leaving = False
        self._cache = cache
        self._pool = pool
        self._seeds = seeds
        self._watchers = [
            KindWatcher(kind, store, cache, self.health, rng, schedule, self._age_s)
            for kind, schedule in schedule_by_kind.items()
        ]
        self._tasks: list[asyncio.Task] = []
        self._poll_by_name: dict[str, asyncio.Task[FollowReply | None]] = {}
        """Polls of upstreams under way, also those that are no longer waited for."""
        self._is_seeded = asyncio.Event()
        self._seed_address = ""
        """Address of the seed that filled the cache."""
        self._read_until = float("-inf")
        self._without_upstream_since: float | None = None

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads the store itself."""
        return bool(self._tasks)

    @property
    def is_current(self) -> bool:
        """Whether the cache is kept current, from the store or through a current instance."""
        return self._age_s() < self._max_age_s

    @property
    def _max_age_s(self) -> float:
        """Age at which the view is no longer current."""
        if self._reading_age_s() < float("inf"):
            return self._freshness.silent_s
        if self._without_upstream_since is not None:
            return self._freshness.give_up_s
        return self._freshness.silent_s + CHAIN_AGE_S

    async def run(self) -> None:
        """Keep the cache current until cancelled."""
        try:
            if await self._wait_for_seeds():
                await self._follow_seed()
            else:
                self._start_reading()
            while True:
                if self.health.failing_since is not None:
                    # An outage of the store: its usual readers retry sooner than this instance.
                    self.tree.clear_outdated()
                is_reader = self.tree.is_reader(now())
                is_complete = self._cache.is_complete
                self.health.is_low_priority = not is_reader and is_complete
                self.health.is_stand_in = is_complete and not self.tree.is_oldest_in_region(now())
                if is_reader or now() < self._read_until:
                    self._start_reading()
                    if not is_reader and await self._poll_upstreams():
                        self._read_until = float("-inf")
                        self._without_upstream_since = None
                    elif not self._is_store_failing or not await self._poll_fallback_sources():
                        await self._wait_while_current(READER_CHECK_INTERVAL_S)
                elif await self._poll_upstreams():
                    self._without_upstream_since = None
                else:
                    await self._note_no_upstream(now())
        finally:
            for poll in self._poll_by_name.values():
                poll.cancel()
            self._stop_reading()

    async def _follow_seed(self) -> None:
        """Follow the seed that filled the cache until its list contains this run of the instance.

        Load pattern: all instances start at once, and the list of instances is still incomplete.
        Each instance would take itself for the oldest one of its region and read the store.
        """
        end_at = now() + SEED_FOLLOW_S
        while not self._is_listed and now() < end_at:
            reply = await self._poll(self._seed_address)
            if reply is None:
                return
            self._apply(reply, self._seed_address)
            if not reply.is_current:
                return
            self._note_current(reply.age_ms / 1000)

    @property
    def _is_listed(self) -> bool:
        entry = self.tree.entry_by_name.get(self.tree.own.name)
        return entry is not None and entry.started_ms == self.tree.own.started_ms

    async def _note_no_upstream(self, at: float) -> None:
        """Wait for an upstream to become current, or decide to read the store after a while.

        Load pattern: the reader of a region was replaced. Its followers would all read the store
        before the first call of the new reader returned.
        """
        if self._without_upstream_since is None:
            self._without_upstream_since = at
            log.warning("no relay is current", age_ms=self._age_ms())
        is_in_grace = at - self._without_upstream_since < UPSTREAM_GRACE_S
        if is_in_grace and self._age_s() < self._freshness.give_up_s:
            await asyncio.sleep(UPSTREAM_RETRY_S)
            return
        self._read_until = at + DIRECT_READ_S

    async def poll_remote_readers(self) -> None:
        """Poll the readers of other regions in turn while this is the oldest of its failure domain.

        They may be the only ones that the store answers.
        """
        for number in itertools.count():
            await asyncio.sleep(REMOTE_POLL_INTERVAL_S)
            readers = self.tree.remote_readers(now()) if self.tree.is_head(now()) else []
            if not self._cache.is_complete or not readers:
                continue
            reader = readers[number % len(readers)]
            reply = await self._poll(reader.peer_address, 0.0)
            if reply is None:
                self.tree.mark_suspect(reader.name, now())
                log.warning("relay unreachable", relay=reader.name)
                continue
            self._apply(reply, reader.name)
            self._note_reply(reader, reply)

    @property
    def _is_store_failing(self) -> bool:
        """Whether this instance reads the store, but its calls fail or are not answered."""
        if not self.is_reading:
            return False
        return self.health.failing_since is not None or (
            self._freshness.silent_s <= self._reading_age_s() < float("inf")
        )

    async def _poll_fallback_sources(self) -> bool:
        """Poll other instances while the store fails; returns whether one is current."""
        for source in self.tree.fallback_sources(now()):
            reply = await self._poll(source.peer_address)
            if reply is None:
                self.tree.mark_suspect(source.name, now())
                continue
            self._apply(reply, source.name)
            # One that follows this instance is no newer.
            if self._note_reply(source, reply) and self._is_newer_than_reading(reply):
                self._note_contact(source)
                return True
        return False

    @property
    def view_origin(self) -> Origin:
        """From where the cache is kept current, and the age of that contact with the store."""
        name = STORE_ORIGIN if self.is_reading else self.upstream_name or self._seed_address
        return Origin(name, self._age_s())

    def _age_s(self) -> float:
        """Time since the latest answer of the store that the cache reflects."""
        return min(self._reading_age_s(), now() - self._confirmed_at)

    def _age_ms(self) -> int:
        # Rounded up: instances that follow each other must not make a view younger.
        return int(min(self._age_s(), MAX_REPORTED_AGE_S) * 1000) + 1

    def _reading_age_s(self) -> float:
        """Age of what this instance read itself, infinite unless it reads and was answered."""
        if not self.is_reading:
            return float("inf")
        return compute_age_s((watcher.answer for watcher in self._watchers), now())

    async def _wait_while_current(self, timeout_s: float) -> None:
        """Wait for an update, at most until this instance's view is no longer current."""
        left_s = self._max_age_s - self._age_s()
        if left_s > 0:
            timeout_s = min(timeout_s, left_s + CHECK_MARGIN_S)
        await self._cache.wait_change(timeout_s)

    async def handle_follow(self, message: Follow) -> FollowReply:
        """Reply with the updates since the sender's positions, or after a wait with none."""
        self.tree.clear_suspect(message.instance)
        updates = self._cache.updates_since(message.position_by_kind, now())
        end_at = now() + message.wait_ms / 1000
        while not updates and self.is_current and now() < end_at:
            await self._wait_while_current(end_at - now())
            updates = self._cache.updates_since(message.position_by_kind, now())
        is_current = self.is_current and not self.is_leaving and not self._is_store_failing
        return FollowReply(is_current, updates, self._age_ms(), self.tree.own.started_ms)

    async def poll_seeds(self) -> None:
        """Fill the cache from running instances: the store may be unreachable during the start."""
        addresses = [item for item in self._seeds if item != self.tree.own.peer_address]
        stale_from = now() + STALE_SEED_S
        while addresses and not self._cache.is_complete:
            polls = [asyncio.ensure_future(self._poll_seed(address)) for address in addresses]
            try:
                for poll in asyncio.as_completed(polls):
                    address, reply = await poll
                    if reply and (reply.is_current or now() >= stale_from):
                        self._apply_seed_reply(address, reply)
                    if self._is_seeded.is_set():
                        return
            finally:
                for poll in polls:
                    poll.cancel()
            await asyncio.sleep(SEED_PAUSE_S)

    async def _poll_seed(self, address: str) -> tuple[str, FollowReply | None]:
        return address, await self._poll(address)

    def _apply_seed_reply(self, address: str, reply: FollowReply) -> None:
        self._apply(reply, address)
        if reply.is_current and self._cache.is_complete:
            log.info("state loaded from seed", seed=address, age_ms=reply.age_ms)
            self._seed_address = address
            self._note_current(reply.age_ms / 1000)
            self._is_seeded.set()

    async def _wait_for_seeds(self) -> bool:
        """Wait until a seed fills the cache; returns whether one did. Seeds do not wait."""
        if not self._seeds or self.tree.own.peer_address in self._seeds:
            return False
        with suppress(TimeoutError):
            async with asyncio.timeout(SEED_TIMEOUT_S):
                await self._is_seeded.wait()
        return self._is_seeded.is_set()

    async def _poll_upstreams(self) -> bool:
        """Poll the upstreams in order of preference; returns whether one is current.

        The first one may wait for a change. While its reply is late, the next ones are polled too.
        """
        wait_s = LONG_POLL_S
        asked: set[str] = set()
        while upstream := self._next_upstream(asked):
            asked.add(upstream.name)
            poll = asyncio.create_task(self._poll_upstream(upstream, wait_s))
            self._poll_by_name[upstream.name] = poll
            poll.add_done_callback(partial(self._forget_poll, upstream.name))
            await asyncio.wait([poll], timeout=wait_s + LATE_REPLY_S)
            reply = poll.result() if poll.done() else None
            if reply and self._note_reply(upstream, reply):
                self._note_upstream(upstream)
                return True
            wait_s = 0.0
        return False

    def _next_upstream(self, asked: set[str]) -> InstanceEntry | None:
        """The best upstream that was not asked yet; replies change which ones there are."""
        for upstream in self.tree.upstreams(now()):
            if upstream.name not in asked and upstream.name not in self._poll_by_name:
                return upstream
        return None

    def _note_reply(self, sender: InstanceEntry, reply: FollowReply) -> bool:
        """Record how old the sender's view is; returns whether it is current."""
        if reply.is_current:
            self._note_current(reply.age_ms / 1000)
            return True
        is_outdated = reply.age_ms / 1000 >= self._freshness.silent_s
        if is_outdated and self.health.failing_since is None:
            self.tree.mark_outdated(sender.name, now())
            log.info("relay hears nothing from the store", relay=sender.name, age_ms=reply.age_ms)
        return False

    def _is_newer_than_reading(self, reply: FollowReply) -> bool:
        return reply.age_ms / 1000 < self._reading_age_s()

    def _forget_poll(self, name: str, poll: asyncio.Task[FollowReply | None]) -> None:
        del self._poll_by_name[name]
        if not poll.cancelled() and (error := poll.exception()):
            log.error("poll failed", relay=name, error=repr(error))

    async def _poll_upstream(self, upstream: InstanceEntry, wait_s: float) -> FollowReply | None:
        """Poll one upstream and apply its reply, also one that nobody waits for any longer."""
        reply = await self._poll(upstream.peer_address, wait_s)
        if reply is None:
            self.tree.mark_suspect(upstream.name, now())
            log.warning("relay unreachable", relay=upstream.name)
            return None
        self._apply(reply, upstream.name)
        self.tree.note_start(upstream.name, reply.started_ms)
        return reply

    def _note_upstream(self, upstream: InstanceEntry) -> None:
        self._note_contact(upstream)
        if self._cache.is_complete:
            self._stop_reading()

    def _note_contact(self, source: InstanceEntry) -> None:
        if self.upstream_name != source.name:
            self.upstream_name = source.name
            log.info("following relay", relay=source.name)

    def _note_current(self, age_s: float) -> None:
        self._confirmed_at = max(self._confirmed_at, now() - age_s)

    async def _poll(self, address: str, wait_s: float = LONG_POLL_S) -> FollowReply | None:
        positions = self._cache.position_by_kind | {ACCEPTS_PACKED: 1, ACCEPTS_HELD: 1}
        request = Follow(self.tree.own.name, positions, int(wait_s * 1000))
        started = now()
        try:
            reply = await self._pool.request(address, request, REPLY_TIMEOUT_S)
        except PeerUnreachableError:
            return None
        if not isinstance(reply, FollowReply):
            return None
        # A reply that was under way for long, or was waiting while this process was stopped.
        late_s = max(0.0, now() - started - wait_s)
        return replace(reply, age_ms=reply.age_ms + int(late_s * 1000))

    def _apply(self, reply: FollowReply, sender: str) -> None:
        origin = Origin(sender, reply.age_ms / 1000)
        held_by_kind = {item.kind: item for item in reply.updates if isinstance(item, HeldState)}
        for update in reply.updates:
            if isinstance(update, HeldState):
                continue
            if not self._cache.is_newer(update.kind, update.position):
                continue
            if isinstance(update, PackedSnapshot):
                try:
                    changes = unpack_changes(update.packed)
                except CodecError as error:
                    log.warning("snapshot rejected", kind=update.kind, error=str(error))
                    continue
                update = KindUpdate(update.kind, update.position, True, changes)
            self._cache.apply(update, now(), origin, held_by_kind.get(update.kind))

    def _start_reading(self) -> None:
        if not self._tasks:
            log.info(
                "reading the store", why="oldest instance" if self._cache.is_complete else "start"
            )
            self.upstream_name = ""
            self.health.is_verified = False
            loop = asyncio.get_running_loop()
            self._tasks = [
                loop.create_task(supervise(f"watch {watcher.kind}", watcher.run))
                for watcher in self._watchers
            ]

    def _stop_reading(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks = []
