"""Keeps an instance's copy of the store current, through another instance or by itself."""

import asyncio
from collections.abc import Mapping
from contextlib import suppress
from random import Random

import logbook

from ..cluster.exceptions import PeerUnreachableError
from ..cluster.links import LinkPool
from ..cluster.messages import Follow, FollowReply
from ..routing.replication_tree import InstanceEntry, ReplicationTree
from .clock import now
from .copy import StoreCopy
from .feed import Feed, Source, StoreHealth

WAIT_S = 0.6
"""How long a relay holds a question without news: the heartbeat of the domain."""
ANSWER_S = 1.1
"""A relay that does not answer by then is left: with the next one's answer, changes are known
everywhere within 2 s."""
MAX_AGE_S = 2.0
"""Contact with the store that is longer ago is none: three relays in a row that are asked each
`WAIT_S`, and the shortest bound of the sites."""
REVIEW_S = 0.5
"""How often an instance that reads the store looks for a more senior one."""
SEED_S = 1.2
"""How long a starting instance asks the seeds before it reads the store itself: all may start
together, and seeds that start need some 0.5 s. The store's rate does not grow with the fleet."""
SEED_PAUSE_S = 0.15
"""Between questions to seeds that know nothing yet: a start from the store takes about as long."""
OWN_READ_S = 2.0
"""How long an instance asks the store itself when no relay hears it, before it asks them again."""

log = logbook.Logger("follower")


class Follower:
    """Follows a relay; reads the store while this instance is the relay or none is current."""

    def __init__(
        self,
        relays: ReplicationTree,
        copy: StoreCopy,
        source: Source,
        pool: LinkPool,
        seeds: tuple[str, ...],
        rng: Random,
        wait_by_kind: Mapping[str, float],
    ) -> None:
        self.relays = relays
        self.health = StoreHealth()
        self.heard_at = float("-inf")
        """When a current relay answered last."""
        self._heard_age_s = 0.0
        """Age that the relay's news had then."""
        self.following = ""
        self.is_leaving = False
        self._copy = copy
        self._pool = pool
        self._seeds = seeds
        self._feeds = [
            Feed(kind, source, copy, self.health, rng, wait_s)
            for kind, wait_s in wait_by_kind.items()
        ]
        self._tasks: list[asyncio.Task] = []
        self._has_learned = asyncio.Event()
        self._own_until = float("-inf")

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads the store itself."""
        return bool(self._tasks)

    @property
    def is_current(self) -> bool:
        """Whether the copy is fed by the store or by an instance that is."""
        return self._age_s() < MAX_AGE_S

    async def run(self) -> None:
        """Keep the copy current until cancelled."""
        try:
            if not await self._wait_for_seeds():
                self._read_store()
            while True:
                is_reader = self.relays.is_reader(now())
                self.health.is_sparing = not is_reader and self._copy.is_complete
                if is_reader or now() < self._own_until:
                    self._read_store()
                    if not self._is_turned_away or not await self._ask_helpers():
                        await self._copy.wait_change(REVIEW_S)
                elif not await self._follow_one():
                    self._own_until = now() + OWN_READ_S
        finally:
            self._leave_store()

    @property
    def _is_turned_away(self) -> bool:
        """Whether the store turns this reader away, so that it learns from its followers."""
        return self.is_reading and self.health.failing_since is not None

    async def _ask_helpers(self) -> bool:
        """Ask those that would follow this instance; returns whether one is current."""
        for helper in self.relays.fallback_sources(now()):
            reply = await self._ask(helper.peer_address)
            if reply is None:
                self.relays.mark_suspect(helper.name, now())
                continue
            self._apply(reply)
            if reply.is_current:
                self._note_heard(helper, reply.age_ms / 1000)
                return True
        return False

    def _age_s(self) -> float:
        """Time since the newest contact with the store that the copy rests on."""
        if self.is_reading and all(feed.is_connected for feed in self._feeds):
            return 0.0
        return now() - self.heard_at + self._heard_age_s

    async def answer(self, message: Follow) -> FollowReply:
        """Tell another instance what is new, or that nothing is."""
        self.relays.clear_suspect(message.instance)
        news = self._copy.since(message.revision_by_kind)
        if not news and self.is_current:
            await self._copy.wait_change(message.wait_ms / 1000)
            news = self._copy.since(message.revision_by_kind)
        age_s = self._age_s()
        is_current = age_s < MAX_AGE_S and not self.is_leaving and not self._is_turned_away
        age_ms = int(min(age_s, MAX_AGE_S) * 1000)
        return FollowReply(is_current, news, age_ms, self.relays.own.started_ms)

    async def ask_seeds(self) -> None:
        """Take over what a running instance knows until all is known: the store may be away."""
        others = [item for item in self._seeds if item != self.relays.own.peer_address]
        while others and not self._copy.is_complete:
            asks = [asyncio.ensure_future(self._ask(address)) for address in others]
            try:
                for ask in asyncio.as_completed(asks):
                    self._learn(await ask)
                    if self._has_learned.is_set():
                        return
            finally:
                for ask in asks:
                    ask.cancel()
            await asyncio.sleep(SEED_PAUSE_S)

    def _learn(self, reply: FollowReply | None) -> None:
        if reply is None:
            return
        self._apply(reply)
        if reply.is_current and self._copy.is_complete:
            log.info("learned from a seed", age_ms=reply.age_ms)
            self._has_learned.set()

    async def _wait_for_seeds(self) -> bool:
        """Whether a seed told all that is current. Seeds themselves do not wait for others."""
        if not self._seeds or self.relays.own.peer_address in self._seeds:
            return False
        with suppress(TimeoutError):
            async with asyncio.timeout(SEED_S):
                await self._has_learned.wait()
        return self._has_learned.is_set()

    async def _follow_one(self) -> bool:
        """Ask the best relay that answers; returns whether one is current."""
        for relay in self.relays.upstreams(now()):
            reply = await self._ask(relay.peer_address)
            if reply is None:
                self.relays.mark_suspect(relay.name, now())
                log.warning("relay lost", relay=relay.name)
                continue
            self._apply(reply)
            self.relays.note_start(relay.name, reply.started_ms)
            if reply.is_current:
                self._note_followed(relay, reply.age_ms / 1000)
                return True
        return False

    def _note_followed(self, relay: InstanceEntry, age_s: float) -> None:
        self._note_heard(relay, age_s)
        if self._copy.is_complete:
            self._leave_store()

    def _note_heard(self, relay: InstanceEntry, age_s: float) -> None:
        self.heard_at = now()
        self._heard_age_s = age_s
        if self.following != relay.name:
            self.following = relay.name
            log.info("relay followed", relay=relay.name)

    async def _ask(self, address: str) -> FollowReply | None:
        question = Follow(self.relays.own.name, self._copy.revision_by_kind, int(WAIT_S * 1000))
        try:
            reply = await self._pool.request(address, question, ANSWER_S)
        except PeerUnreachableError:
            return None
        return reply if isinstance(reply, FollowReply) else None

    def _apply(self, reply: FollowReply) -> None:
        for news in reply.updates:
            self._copy.apply(news)

    def _read_store(self) -> None:
        if not self._tasks:
            log.info("store read", why="most senior" if self._copy.is_complete else "start")
            self.following = ""
            loop = asyncio.get_running_loop()
            self._tasks = [loop.create_task(feed.run()) for feed in self._feeds]

    def _leave_store(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks = []
