"""Sends requests to backend servers for instances that do not reach these."""

import asyncio
from collections.abc import Callable

import logbook

from ..cluster.messages import AskCarrier, CancelCarry, Carried, CarrierOffer, Carry
from ..routing.carriers import MAX_CARRIED
from ..routing.servers import Server
from .bodies import Body
from .clock import now
from .connection import SendError, SendFailure
from .header_block import HEADER_OBJECT_BYTES, pack_headers
from .messages import CallerRequest, ServerResponse
from .path_monitor import PathMonitor
from .sending import OutgoingRequest, send_direct
from .shared import SharedState

log = logbook.Logger("paths")


class CarryServer:
    """Makes single sends for other instances; these keep the request itself."""

    def __init__(
        self, shared: SharedState, paths: PathMonitor, is_stopping: Callable[[], bool]
    ) -> None:
        self._shared = shared
        self._paths = paths
        self._is_stopping = is_stopping
        """Whether this instance stops: others can be found, and what it carries may take long."""
        self._task_by_id: dict[tuple[str, int], asyncio.Task] = {}

    def __len__(self) -> int:
        """Number of sends that are made for other instances at present."""
        return len(self._task_by_id)

    def handle_ask(self, _message: AskCarrier) -> CarrierOffer:
        """Offer to carry requests, unless there is a reason not to."""
        return CarrierOffer(self._find_obstacle() == "", len(self._task_by_id))

    def handle_cancel(self, message: CancelCarry) -> None:
        """End a send whose caller left; the server sees its connection close."""
        if task := self._task_by_id.get((message.instance, message.number)):
            task.cancel()

    async def handle_carry(self, message: Carry) -> Carried:
        """Make one send; replies at once if nothing is sent."""
        server = self._shared.servers.server_by_id.get(message.server)
        obstacle = self._find_obstacle()
        if not obstacle and (server is None or not self._shared.servers.accepts(server, now())):
            return Carried(False, SendFailure.WITHDRAWN, "the server is not in use here")
        size = len(message.body) + HEADER_OBJECT_BYTES * len(message.headers)
        if not obstacle and not self._shared.memory.take(size, size):
            obstacle = "no memory for the body"
        if obstacle or server is None:
            return Carried(is_sent=False, detail=obstacle)
        key = (message.instance, message.number)
        self._task_by_id[key] = asyncio.current_task()
        try:
            return await self._carry(server, message)
        finally:
            self._shared.memory.used -= size
            del self._task_by_id[key]

    def _find_obstacle(self) -> str:
        """Why this instance carries nothing at present, empty if it does."""
        if self._is_stopping():
            return "the instance stops"
        if self._paths.is_cut:
            return "the instance reaches no server"
        if len(self._task_by_id) >= MAX_CARRIED:
            return "the instance carries too much"
        return ""

    async def _carry(self, server: Server, message: Carry) -> Carried:
        sent_at: list[float] = []
        outgoing = OutgoingRequest(
            _to_request(message),
            message.request_id or None,
            message.is_idempotent,
            now() + message.left_ms / 1000,
            lambda: sent_at.append(now()),
        )
        shared, entry = self._shared, server.entry
        shared.servers.note_start(server)
        try:
            connection = await shared.pool.open(entry) if message.is_repeat else None
            response = await send_direct(shared, server, outgoing, connection)
        except SendError as error:
            is_server_fault = error.failure not in (SendFailure.STALE, SendFailure.WITHDRAWN)
            if error.failure == SendFailure.NOT_CONNECTED:
                is_server_fault = await self._paths.is_server_fault(server)
            is_sent = bool(sent_at) and error.failure != SendFailure.NOT_CONNECTED
            return Carried(is_sent, str(error.failure), error.detail, is_server_fault)
        finally:
            shared.servers.note_end(server)
            shared.metrics.count("carried_sends", entry.service)
        return _to_reply(response)


def _to_request(message: Carry) -> CallerRequest:
    return CallerRequest(
        method=message.method,
        target=message.target,
        head=pack_headers((bytes(name), bytes(value)) for name, value in message.headers),
        host=message.host,
        body=Body(message.body),
        arrived_at=now(),
    )


def _to_reply(response: ServerResponse) -> Carried:
    return Carried(
        is_sent=True,
        status=response.status,
        reason=response.reason,
        headers=response.headers,
        body=response.body,
        head_age_ms=int((now() - response.head_at) * 1000),
    )
