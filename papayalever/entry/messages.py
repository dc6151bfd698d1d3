"""Requests and answers as the entry instance handles them."""

from dataclasses import dataclass, field
from enum import StrEnum, auto


@dataclass(frozen=True, slots=True)
class RequestMeta:
    """What a caller says of its request."""

    request_id: bytes | None
    deadline_s: float | None
    """How long the caller waits from its first byte."""
    object_key: bytes
    """The object that the request is about, empty if it names none."""


@dataclass(eq=False, slots=True)
class CallerRequest:
    """One whole request of a caller."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    """Lower-case names."""
    host: str
    body: bytes
    arrived_at: float
    """Monotonic seconds of the first byte."""
    keep_alive: bool = True

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """A server's own count at the time of an answer."""

    running: int
    waiting: int
    slots: int


class AnswerKind(StrEnum):
    """What an answer of a server says about the run."""

    SEALED = auto()
    UNSEALED = auto()
    NOT_RUN = auto()
    OTHER_SERVER = auto()
    """Another server has the address now; not run."""


@dataclass(eq=False, slots=True)
class ServerAnswer:
    """One whole answer of a server."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    """Lower-case names."""
    body: bytes
    request_id: bytes | None = None
    load: ServerLoad | None = None


@dataclass(slots=True)
class Answer:
    """What a caller gets."""

    status: int
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    reason: str = ""
    """Why the instance answered itself; empty for a server's answer."""
    must_close: bool = False


@dataclass(frozen=True, slots=True)
class Look:
    """A caller's question which instances to use."""

    region: str
    failure_domain: str
