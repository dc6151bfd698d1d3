"""What the connections of one HTTP listener share, and what each holds for a response."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..routing.routes import CallerLimits
from .header_block import Headers
from .memory import MessageMemory
from .messages import DEFAULT_DEADLINE_S, CallerRequest, Response
from .turns import ReadTurns


def _read_default_deadline(_target: bytes, _headers: Headers) -> float:
    """Deadline of requests to listeners whose requests name none."""
    return DEFAULT_DEADLINE_S


Handler = Callable[[CallerRequest], Awaitable[Response]]


@dataclass(eq=False, slots=True)
class ListenerRules:
    """What the connections of one listener share."""

    name: str
    handle: Handler
    read_limits: Callable[[], CallerLimits]
    memory: MessageMemory
    turns: ReadTurns
    on_open: Callable[[asyncio.BufferedProtocol], bool]
    """Returns whether the connection is accepted."""
    on_close: Callable[[asyncio.BufferedProtocol], None]
    on_refused: Callable[[str], None]
    """Gets the reason of each request or connection that is refused."""
    retry_after: Callable[[float], tuple[bytes, bytes]]
    read_deadline_s: Callable[[bytes, Headers], float] = _read_default_deadline
    """Seconds from the first byte of a request, by its target and headers, after which nobody waits
    for its response."""


@dataclass(eq=False, slots=True)
class PendingResponse:
    """A response that is not written yet; without a request if it rejects invalid input."""

    task: asyncio.Task[Response]
    request: CallerRequest | None = None
    held_bytes: int = 0
    """Memory that is counted for it."""
