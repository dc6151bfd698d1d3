"""Headers of callers and backend servers, decoded once into our own types."""

import re
from urllib.parse import parse_qs

from ..entry.messages import DirectoryQuery, RequestMeta, ResponseKind, ServerLoad, ServerResponse

REQUEST_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
TARGET = b"target-instance"
SEAL = b"response-seal"
"""The server's signature over its answer."""
LOAD = b"server-load"
NOT_EXECUTED = b"not-executed"
COLD_MS = b"warmup-ms"
OBJECT_COOKIE = re.compile(rb"(?:^|;)\s*Affinity-Key=([^;]*)")

READY_PATH = "/readyz"
LOOK_PATH = "/resolve"
OWN_HEADERS = frozenset((DEADLINE, TARGET))
"""Headers that are set anew for each server."""
MISDIRECTED = 421


def read_request(headers: list[tuple[bytes, bytes]]) -> RequestMeta:
    """Identity, time left and object of a caller's request."""
    request_id: bytes | None = None
    deadline_s: float | None = None
    object_key = b""
    for name, value in headers:
        if name == REQUEST_ID:
            request_id = value
        elif name == DEADLINE:
            deadline_s = _seconds(value)
        elif name == b"cookie":
            found = OBJECT_COOKIE.search(value)
            object_key = found.group(1).strip() if found else object_key
    return RequestMeta(request_id, deadline_s, object_key)


def forward_headers(server_id: str, left_s: float) -> list[tuple[bytes, bytes]]:
    """Headers that a server gets beside the caller's own."""
    return [
        (b"Deadline-Ms", b"%d" % max(1, int(left_s * 1000))),
        (b"Target-Instance", server_id.encode()),
    ]


def read_answer(answer: ServerResponse) -> ResponseKind:
    """What a server's answer says about the run; fills in load and request id."""
    is_sealed = is_refused = False
    for name, value in answer.headers:
        if name == REQUEST_ID:
            answer.request_id = value
        elif name == SEAL:
            is_sealed = True
        elif name == NOT_EXECUTED:
            is_refused = True
        elif name == LOAD:
            answer.load = _load(value)
    if answer.status == MISDIRECTED:
        return ResponseKind.OTHER_SERVER
    if is_refused:
        return ResponseKind.NOT_RUN
    return ResponseKind.SEALED if is_sealed else ResponseKind.UNSEALED


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Header that tells a caller when to come back."""
    return (b"Retry-After", b"%.2f" % seconds)


def read_look(target: str) -> DirectoryQuery | None:
    """A caller's question where to connect; None if the path is another one."""
    path, _, query = target.partition("?")
    if path != LOOK_PATH:
        return None
    fields = parse_qs(query)
    return DirectoryQuery(fields.get("region", [""])[0], fields.get("zone", [""])[0])


def look_answer(addresses: list[str], life_s: float) -> dict:
    """Body of the answer to a look."""
    return {"addresses": addresses, "ttl_s": life_s}


def _seconds(value: bytes) -> float | None:
    try:
        return int(value) / 1000
    except ValueError:
        return None


def _load(value: bytes) -> ServerLoad | None:
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    return ServerLoad(running, waiting, slots)
