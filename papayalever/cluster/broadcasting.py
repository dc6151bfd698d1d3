"""Broadcasts to all instances through the relays; each instance receives two copies."""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from .exceptions import PeerUnreachableError
from .links import LinkPool
from .membership import MembershipTable
from .messages import Ack, Broadcast, MemberState

PUSH_TIMEOUT_S = 1.0
MAX_SEEN_BROADCASTS = 10_000


class Broadcaster:
    """Sends broadcasts of this instance and forwards each broadcast of the others once."""

    def __init__(
        self,
        table: MembershipTable,
        pool: LinkPool,
        clock: Callable[[], float],
        deliver: Callable[[Any], None],
    ) -> None:
        self._table = table
        self._pool = pool
        self._clock = clock
        self._deliver = deliver
        self._ids = itertools.count(1)
        self._seen: OrderedDict[str, None] = OrderedDict()
        self._pushes: set[asyncio.Task] = set()

    def send_to_all(self, message: Any) -> None:
        """Send a message to every other instance."""
        self._send(self._table.own.failure_domain, message)

    def send_to_domain(self, message: Any) -> None:
        """Send a message from this relay to the other instances of its failure domain."""
        self._send("", message)

    def handle(self, broadcast: Broadcast) -> Ack:
        """Deliver a broadcast unless it is a duplicate; a relay also forwards it."""
        if self._mark_seen(broadcast.id):
            self._deliver(broadcast.message)
            if self._table.is_relay(self._clock()):
                self._forward(broadcast)
        return Ack()

    def _send(self, origin_domain: str, message: Any) -> None:
        broadcast_id = f"{self._table.own.replica}/{next(self._ids)}"
        broadcast = Broadcast(broadcast_id, origin_domain, message)
        self._mark_seen(broadcast.id)
        self._forward(broadcast)

    def _mark_seen(self, broadcast_id: str) -> bool:
        if broadcast_id in self._seen:
            return False
        self._seen[broadcast_id] = None
        if len(self._seen) > MAX_SEEN_BROADCASTS:
            self._seen.popitem(last=False)
        return True

    def _forward(self, broadcast: Broadcast) -> None:
        for address in self._receivers(broadcast) - {self._table.own.peer_address}:
            task = asyncio.create_task(self._push(address, broadcast))
            self._pushes.add(task)
            task.add_done_callback(self._pushes.discard)

    def _receivers(self, broadcast: Broadcast) -> set[str]:
        """Peer addresses to forward a broadcast to.

        These are the relays of the own failure domain. A relay adds the members of its failure
        domain and, if the broadcast originates there, the relays of the other failure domains.
        """
        now = self._clock()
        table, own = self._table, self._table.own
        is_relay = table.is_relay(now)
        is_origin = broadcast.origin_domain == own.failure_domain
        domains = table.domains() if is_relay and is_origin else {own.failure_domain}
        relays = {relay.peer_address for item in domains for relay in table.relays(item, now)}
        if not is_relay:
            return relays
        return relays | {
            member.peer_address
            for member in table.members
            if member.failure_domain == own.failure_domain and member.state != MemberState.DEAD
        }

    async def _push(self, address: str, broadcast: Broadcast) -> None:
        try:
            await self._pool.notify(address, broadcast, PUSH_TIMEOUT_S)
        except PeerUnreachableError:
            # Heartbeats repeat member records and objects; the other messages are only hints.
            return
