"""Sends one request to one backend server over a connection of this instance's pool."""

from collections.abc import Callable
from dataclasses import dataclass, field

import logbook

from ..routing.servers import Server
from .clock import now
from .connection import ClientConnection, SendError, SendFailure
from .forwarding import encode_request_head
from .messages import CallerRequest, ResponseKind, ServerResponse
from .notices import note_head
from .shared import SharedState

log = logbook.Logger("request")


@dataclass(eq=False, slots=True)
class OutgoingRequest:
    """A request as it is sent to servers, once or several times."""

    request: CallerRequest
    request_id: bytes | None
    is_idempotent: bool
    deadline: float
    """When the caller stops waiting, in seconds of the monotonic clock."""
    on_sent: Callable[[], None]
    """Called right before the first byte is sent: from here on a server may run the request."""
    used_connections: set[ClientConnection] = field(default_factory=set)
    """Not used again: a copy of a refusal bears the request's id too, so that only another
    connection distinguishes it from the response to the next send."""


async def send_direct(
    shared: SharedState,
    server: Server,
    outgoing: OutgoingRequest,
    connection: ClientConnection | None = None,
) -> ServerResponse:
    """Send a request over the given, an idle or a new connection; raises `SendError`."""
    entry = server.entry
    connection = connection or await shared.pool.acquire(
        entry, not outgoing.is_idempotent, outgoing.used_connections
    )
    if not shared.servers.accepts(server, now()):
        # It was withdrawn while the request waited for the connection.
        shared.pool.release(entry, connection, shared.max_idle(entry.service))
        raise SendError(SendFailure.WITHDRAWN, "the server takes no more requests")
    outgoing.used_connections.add(connection)
    outgoing.on_sent()
    started = now()
    is_reused = connection.used > 0

    def matches(response: ServerResponse) -> bool:
        return _is_own_response(shared, response, outgoing.request_id, is_reused)

    try:
        response = await connection.send(
            _encode(shared, entry.id, outgoing),
            matches,
            outgoing.request.method == b"HEAD",
            lambda status, headers: note_head(shared, server, status, headers),
            outgoing.request.body,
        )
    except SendError as error:
        is_lost = error.failure == SendFailure.LOST
        if is_lost and shared.pool.note_lost(entry, connection, now() - started):
            log.info("idle connection lost", server=entry.id, rested_s=connection.idle_s)
            raise SendError(SendFailure.STALE, error.detail) from error
        raise
    server.answered_at = now()
    shared.pool.release(entry, connection, shared.max_idle(entry.service))
    return response


def may_have_run(kind: ResponseKind) -> bool:
    """Whether a server may have run the request that it answered."""
    return kind not in (ResponseKind.NOT_RUN, ResponseKind.OTHER_SERVER)


def _encode(shared: SharedState, server_id: str, outgoing: OutgoingRequest) -> bytes:
    adapter = shared.adapter
    added = adapter.forward_headers(server_id, outgoing.deadline - now())
    return encode_request_head(outgoing.request, adapter.reserved_headers, added)


def _is_own_response(
    shared: SharedState, response: ServerResponse, request_id: bytes | None, is_reused: bool
) -> bool:
    """Whether a response belongs to this request.

    One without an id may be a late copy of the response to an earlier request on a reused
    connection.
    """
    shared.adapter.read_response(response)
    if response.request_id is None:
        return not is_reused
    return response.request_id == request_id
