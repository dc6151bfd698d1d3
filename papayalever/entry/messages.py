"""Requests and responses as the entry instance handles them."""

from dataclasses import dataclass, field
from enum import StrEnum, auto

from ..routing.pipelining import Turn
from .bodies import Body
from .header_block import Headers, unpack_headers

DEFAULT_DEADLINE_S = 10.0
"""For requests without a deadline."""


@dataclass(frozen=True, slots=True)
class RequestMeta:
    """Metadata that a caller sends in its request headers."""

    request_id: bytes | None
    deadline_s: float | None
    """How long the caller waits, counted from the first byte of its request."""
    object_key: bytes
    """Key of the object that the request concerns, empty if the request names none."""


@dataclass(eq=False, slots=True)
class CallerRequest:
    """A complete request of a caller."""

    method: bytes
    target: bytes
    head: bytes
    """Its headers as one block, see `header_block`; the names are in lower case."""
    host: str
    body: Body
    arrived_at: float
    """When the first byte arrived, in seconds of the monotonic clock."""
    keep_alive: bool = True
    ahead: tuple["CallerRequest", ...] = ()
    """Requests sent before it on the same connection that have no response yet."""
    turn: Turn | None = None
    """Set while the request is handled by a route."""

    @property
    def headers(self) -> Headers:
        """The headers with lower-case names, made anew by each use."""
        return unpack_headers(self.head)

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server reports with a response."""

    running: int
    waiting: int
    slots: int


class ResponseKind(StrEnum):
    """What a backend server's response says about the execution of the request."""

    SEALED = auto()
    """The response carries the server's signature."""
    UNSEALED = auto()
    """The response carries no signature; something on the way may have sent it."""
    NOT_RUN = auto()
    """The server refused the request without running it."""
    OTHER_SERVER = auto()
    """The address now belongs to another server, which did not run the request."""


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What the head of a response says of the server's further use."""

    is_leaving: bool = False
    """Whether the server takes no more requests and ends soon."""
    pause_s: float | None = None
    """Seconds for which it wants no request from this instance; others may go on."""
    unreadable: bytes | None = None
    """Value of a notice that could not be read."""


@dataclass(eq=False, slots=True)
class ServerResponse:
    """A complete response of a backend server."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    """Lower-case names."""
    body: bytes
    head_at: float = 0.0
    """When the head arrived, by the clock of the event loop."""
    request_id: bytes | None = None
    load: ServerLoad | None = None
    limit_per_s: float | None = None
    """Requests per second that the server takes from all instances together, if it limits them."""
    unreadable_limit: bytes | None = None
    """Value of a limit that is not a number."""


@dataclass(slots=True)
class Response:
    """A complete response to a caller."""

    status: int
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    reason: str = ""
    """Why the instance generated the response; empty if it comes from a backend server."""
    must_close: bool = False


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """A caller's query for the addresses of instances to connect to."""

    region: str
    failure_domain: str
