"""Sends requests by way of another instance while this one reaches no backend server."""

import asyncio
import itertools
from collections.abc import Coroutine
from random import Random

import logbook

from ..cluster.exceptions import PeerUnreachableError
from ..cluster.links import LinkPool
from ..cluster.messages import AskCarrier, CancelCarry, Carried, CarrierOffer, Carry
from ..routing.carriers import Carriers
from ..routing.replication_tree import InstanceEntry, ReplicationTree
from ..routing.server_limits import MAX_TRANSIT_S
from ..routing.servers import Server
from .clock import now
from .connection import FINAL_STATUSES, SendError, SendFailure
from .header_block import HEADER_OBJECT_BYTES, count_headers
from .memory import MessageMemory
from .messages import ServerResponse
from .sending import OutgoingRequest

CARRIED_COPIES = 4
"""Copies of a body while it is sent to a carrier: joined, encoded, masked and in a buffer."""
REPLY_MARGIN_S = 1.0
"""Added to the time that the caller waits: the request's own timeout ends the wait before."""

log = logbook.Logger("paths")


class CarryClient:
    """Finds instances that reach the servers, and hands single sends to them."""

    def __init__(
        self, tree: ReplicationTree, links: LinkPool, rng: Random, memory: MessageMemory
    ) -> None:
        self._memory = memory
        self._tree = tree
        self._links = links
        """Apart from the links for permits, which must not wait for bodies."""
        self._rng = rng
        self._carriers = Carriers()
        self._numbers = itertools.count(1)
        self._round: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()

    async def find(self, homes: frozenset[str]) -> InstanceEntry | None:
        """The instance that carries the next request, asking others if none is known."""
        is_asking = self._round is not None and not self._round.done()
        if not is_asking and self._carriers.must_ask(now()):
            self._round = asyncio.get_running_loop().create_task(self._ask_others())
            is_asking = True
        carrier = self.choose(homes)
        while carrier is None and is_asking:
            # The first offers are used; others may be silent.
            await asyncio.wait({self._round}, timeout=MAX_TRANSIT_S / 10)
            is_asking = not self._round.done()
            carrier = self.choose(homes)
        return carrier

    def choose(self, homes: frozenset[str]) -> InstanceEntry | None:
        """The instance that carries the next request, among those that are known to."""
        return self._carriers.choose(self._tree.own.region, homes, now(), self._rng)

    async def send(
        self,
        carrier: InstanceEntry,
        server: Server,
        outgoing: OutgoingRequest,
        is_repeat: bool,
    ) -> ServerResponse:
        """Have a request sent by another instance; raises `SendError`."""
        request = outgoing.request
        size = CARRIED_COPIES * len(request.body)
        size += HEADER_OBJECT_BYTES * count_headers(request.head)
        if not self._memory.take(size, size):
            detail = "no memory for the copies of the body"
            raise SendError(SendFailure.NOT_CONNECTED, detail, is_server_fault=False)
        try:
            return await self._send(carrier, server, outgoing, is_repeat)
        finally:
            self._memory.used -= size

    async def _send(
        self,
        carrier: InstanceEntry,
        server: Server,
        outgoing: OutgoingRequest,
        is_repeat: bool,
    ) -> ServerResponse:
        number = next(self._numbers)
        try:
            await self._links.open(carrier.peer_address, MAX_TRANSIT_S)
        except PeerUnreachableError as error:
            self._note_refused(carrier, str(error))
            raise SendError(SendFailure.NOT_CONNECTED, str(error), is_server_fault=False) from error
        request = outgoing.request
        left_s = outgoing.deadline - now()
        message = Carry(
            self._tree.own.name,
            number,
            server.id,
            outgoing.is_idempotent,
            is_repeat,
            int(left_s * 1000),
            outgoing.request_id or b"",
            request.method,
            request.target,
            request.headers,
            request.host,
            request.body.join(),
        )
        outgoing.on_sent()
        self._carriers.note_start(carrier.name)
        try:
            reply = await self._links.request(
                carrier.peer_address, message, left_s + REPLY_MARGIN_S
            )
        except PeerUnreachableError as error:
            self._note_refused(carrier, str(error))
            raise SendError(SendFailure.LOST, str(error), is_server_fault=False) from error
        except asyncio.CancelledError:
            self._cancel(carrier, number)
            raise
        finally:
            self._carriers.note_end(carrier.name)
        return self._read_reply(carrier, reply)

    def _read_reply(self, carrier: InstanceEntry, reply: Carried | None) -> ServerResponse:
        if not isinstance(reply, Carried):
            raise SendError(SendFailure.LOST, "unknown reply of a carrier", is_server_fault=False)
        if not reply.is_sent and not reply.failure:
            self._note_refused(carrier, reply.detail)
            raise SendError(SendFailure.NOT_CONNECTED, reply.detail, is_server_fault=False)
        if reply.failure:
            failure = SendFailure(reply.failure)
            is_carrier_fault = not reply.is_sent and not reply.is_server_fault
            if is_carrier_fault and failure != SendFailure.WITHDRAWN:
                self._note_refused(carrier, reply.detail)
            raise SendError(failure, reply.detail, is_server_fault=reply.is_server_fault)
        headers = [(bytes(name), bytes(value)) for name, value in reply.headers]
        if reply.status not in FINAL_STATUSES:
            detail = f"{reply.status:03} is no status code of a response"
            raise SendError(SendFailure.GARBLED, detail, is_server_fault=True)
        # Dated as early as it may be, like the limits that other instances report.
        head_at = now() - reply.head_age_ms / 1000 - MAX_TRANSIT_S
        return ServerResponse(reply.status, reply.reason, headers, reply.body, head_at)

    def _note_refused(self, carrier: InstanceEntry, detail: str) -> None:
        self._carriers.note_refused(carrier.name, now())
        log.info("request not carried", carrier=carrier.name, reason=detail)

    def _cancel(self, carrier: InstanceEntry, number: int) -> None:
        message = CancelCarry(self._tree.own.name, number)
        self._spawn(self._notify(carrier, message))

    async def _notify(self, carrier: InstanceEntry, message: CancelCarry) -> None:
        try:
            await self._links.notify(carrier.peer_address, message, MAX_TRANSIT_S)
        except PeerUnreachableError as error:
            # The carrier ends what it carries with the link.
            log.debug("send not cancelled", carrier=carrier.name, error=str(error))

    async def _ask_others(self) -> None:
        entries = self._tree.entry_by_name.values()
        asked = self._carriers.start_round(entries, self._tree.own, now(), self._rng)
        await asyncio.gather(*(self._ask(entry) for entry in asked))

    async def _ask(self, entry: InstanceEntry) -> None:
        message = AskCarrier(self._tree.own.name)
        try:
            offer = await self._links.request(entry.peer_address, message, MAX_TRANSIT_S)
        except PeerUnreachableError as error:
            self._carriers.note_refused(entry.name, now())
            log.debug("carrier does not answer", carrier=entry.name, error=str(error))
            return
        if isinstance(offer, CarrierOffer) and offer.does_carry:
            self._carriers.note_offer(entry, offer.carried, now())
        else:
            self._carriers.note_refused(entry.name, now())

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
