"""What servers say of their further use, in the heads of responses or through other instances."""

import logbook

from ..routing.servers import Server, ServerTable
from .clock import now
from .shared import SharedState

MAX_LOGGED_VALUE_BYTES = 40
"""Longest part of a malformed header that is logged."""

log = logbook.Logger("servers")


def note_head(
    shared: SharedState, server: Server, status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    """Record what the head of a response says; its body may still break off."""
    notice = shared.adapter.read_notice(status, headers)
    if notice.unreadable is not None and shared.servers.note_unreadable(server):
        value = repr(notice.unreadable[:MAX_LOGGED_VALUE_BYTES])
        log.warning("notice of a server is unreadable", server=server.id, value=value)
    if notice.pause_s is not None and shared.servers.note_pause(server, notice.pause_s, now()):
        log.info("server wants nothing for a while", server=server.id, pause_s=notice.pause_s)
    if notice.is_leaving:
        note_leaving(shared.servers, server, "its answer")


def note_leaving(servers: ServerTable, server: Server, source: str) -> None:
    """Record that a server leaves, by its own answer or as another instance reports."""
    if servers.note_leaving(server):
        log.info(
            "server says that it leaves",
            server=server.id,
            started_ms=server.entry.started_ms,
            source=source,
        )
