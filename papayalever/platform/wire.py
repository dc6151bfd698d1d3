"""Headers of callers and backend servers, converted to and from the project's own types."""

import re
from urllib.parse import parse_qs

from ..entry.messages import (
    DirectoryQuery,
    RequestMeta,
    ResponseKind,
    ServerLoad,
    ServerNotice,
    ServerResponse,
)

REQUEST_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
TARGET_INSTANCE = b"target-instance"
SEAL = b"response-seal"
"""The backend server's signature over its response."""
LOAD = b"server-load"
NOT_EXECUTED = b"not-executed"
WARMUP_MS = b"warmup-ms"
LIMIT = b"server-limit"
"""Requests per second that the server takes from all instances together."""
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
DECIMAL = re.compile(rb"\d{1,18}(\.\d{1,18})?")
AFFINITY_COOKIE = re.compile(rb"(?:^|;)\s*Affinity-Key=([^;]*)")

MAX_QUERY_FIELDS = 16
"""Fields of a directory query that are read; callers send three."""

READY_PATH = "/readyz"
DIRECTORY_PATH = "/resolve"
RESERVED_HEADERS = frozenset((DEADLINE, TARGET_INSTANCE))
"""Headers that the instance sets for each backend server and never copies from the caller."""
MISDIRECTED_STATUS = 421
BUSY_STATUS = 503


def read_request(headers: list[tuple[bytes, bytes]]) -> RequestMeta:
    """Read request id, remaining time and affinity key from a caller's headers."""
    request_id: bytes | None = None
    deadline_s: float | None = None
    object_key = b""
    for name, value in headers:
        if name == REQUEST_ID:
            request_id = value
        elif name == DEADLINE:
            deadline_s = _parse_ms(value)
        elif name == b"cookie":
            match = AFFINITY_COOKIE.search(value)
            object_key = match.group(1).strip() if match else object_key
    return RequestMeta(request_id, deadline_s, object_key)


def forward_headers(server_id: str, left_s: float) -> list[tuple[bytes, bytes]]:
    """Headers that are added to the caller's own for a backend server."""
    return [
        (b"Deadline-Ms", b"%d" % max(1, int(left_s * 1000))),
        (b"Target-Instance", server_id.encode()),
    ]


def read_response(response: ServerResponse) -> ResponseKind:
    """Return whether the backend server ran the request; fills in the other fields."""
    is_sealed = is_not_executed = False
    for name, value in response.headers:
        if name == REQUEST_ID:
            response.request_id = value
        elif name == SEAL:
            is_sealed = True
        elif name == NOT_EXECUTED:
            is_not_executed = True
        elif name == LOAD:
            response.load = _parse_load(value)
        elif name == LIMIT:
            _read_limit(response, value)
    if response.status == MISDIRECTED_STATUS:
        return ResponseKind.OTHER_SERVER
    if is_not_executed:
        return ResponseKind.NOT_RUN
    return ResponseKind.SEALED if is_sealed else ResponseKind.UNSEALED


def read_notice(status: int, headers: list[tuple[bytes, bytes]]) -> ServerNotice:
    """Read from the head of a response whether the server goes on to take requests."""
    if status == MISDIRECTED_STATUS:
        # From another server at the same address.
        return ServerNotice()
    leaving = [value.strip() for name, value in headers if name == LEAVING]
    pauses = [value.strip() for name, value in headers if name == RETRY_AFTER]
    if status != BUSY_STATUS:
        pauses = []
    is_pause_readable = len(pauses) == 1 and DECIMAL.fullmatch(pauses[0]) is not None
    unreadable = None if leaving in ([], [b"1"]) else leaving[-1]
    if pauses and not is_pause_readable:
        unreadable = pauses[-1]
    return ServerNotice(
        is_leaving=leaving == [b"1"],
        pause_s=float(pauses[0]) if is_pause_readable else None,
        unreadable=unreadable,
    )


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Header that tells a caller how long to wait before a retry."""
    return (b"Retry-After", b"%.2f" % seconds)


def read_directory_query(target: str) -> DirectoryQuery | None:
    """Parse a caller's query for instances to connect to; None for any other path."""
    path, _, query = target.partition("?")
    if path != DIRECTORY_PATH:
        return None
    # The rest of a query without end is not worth the time.
    fields = parse_qs("&".join(query.split("&", MAX_QUERY_FIELDS)[:MAX_QUERY_FIELDS]))
    return DirectoryQuery(fields.get("region", [""])[0], fields.get("zone", [""])[0])


def directory_response(addresses: list[str], ttl_s: float) -> dict:
    """Body of the response to a directory query."""
    return {"addresses": addresses, "ttl_s": ttl_s}


def _parse_ms(value: bytes) -> float | None:
    try:
        return int(value) / 1000
    except (ValueError, OverflowError):
        return None


def _read_limit(response: ServerResponse, value: bytes) -> None:
    """Add a limit to a response; the lowest of several counts."""
    if not DECIMAL.fullmatch(value.strip()):
        response.unreadable_limit = value
        return
    per_s = float(value)
    known = response.limit_per_s
    response.limit_per_s = per_s if known is None else min(known, per_s)


def _parse_load(value: bytes) -> ServerLoad | None:
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    return ServerLoad(running, waiting, slots)
