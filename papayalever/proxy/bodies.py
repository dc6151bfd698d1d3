"""Request bodies: a bounded prefix is buffered, the rest is streamed."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import xxhash
from aiohttp import web

from .problems import ProblemError, Reason, RequestOutcome, refuse_not_run

MAX_PREFIX_BYTES = 64 * 1024


class RequestBody:
    """Body of one request; it can be sent again only if it fits into the prefix."""

    def __init__(
        self, request: web.Request, prefix: bytes, max_bytes: int, idle_timeout_s: float
    ) -> None:
        self._request = request
        self._max_bytes = max_bytes
        self._idle_timeout_s = idle_timeout_s
        self.prefix = prefix
        self.is_whole = request.content.at_eof()
        """Whether the prefix is the whole body."""
        self.is_streamed = False

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent from the start."""
        return self.is_whole or not self.is_streamed

    @property
    def is_empty(self) -> bool:
        """Whether the request has no body."""
        return self.is_whole and not self.prefix

    def digest(self, method: str, path: str) -> str:
        """Return a digest of the request.

        Of a body that exceeds the prefix, only the prefix and the ``Content-Length`` are included.
        """
        length = self._request.content_length
        request_line = f"{method} {path} {length if not self.is_whole else len(self.prefix)}\n"
        return xxhash.xxh3_128_hexdigest(request_line.encode() + self.prefix)

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the whole body in chunks; raises `ProblemError` if the caller aborts it."""
        self.is_streamed = True
        sent = len(self.prefix)
        yield self.prefix
        while not self.is_whole:
            chunk = await _read(
                self._request, MAX_PREFIX_BYTES, self._idle_timeout_s, RequestOutcome.UNKNOWN
            )
            if not chunk:
                return
            sent += len(chunk)
            if sent > self._max_bytes:
                raise _too_large(self._max_bytes, RequestOutcome.UNKNOWN)
            yield chunk


async def read_body(request: web.Request, max_bytes: int, idle_timeout_s: float) -> RequestBody:
    """Read the prefix of a body; raises `ProblemError` if it is too large or incomplete."""
    if request.content_length is not None and request.content_length > max_bytes:
        raise _too_large(max_bytes, RequestOutcome.NOT_RUN)
    prefix = bytearray()
    while len(prefix) < MAX_PREFIX_BYTES and not request.content.at_eof():
        size = MAX_PREFIX_BYTES - len(prefix)
        chunk = await _read(request, size, idle_timeout_s, RequestOutcome.NOT_RUN)
        if not chunk:
            break
        prefix += chunk
    if len(prefix) > max_bytes:
        raise _too_large(max_bytes, RequestOutcome.NOT_RUN)
    return RequestBody(request, bytes(prefix), max_bytes, idle_timeout_s)


async def _read(
    request: web.Request, size: int, idle_timeout_s: float, outcome: RequestOutcome
) -> bytes:
    try:
        async with asyncio.timeout(idle_timeout_s):
            return await request.content.read(size)
    except TimeoutError as error:
        raise ProblemError(
            Reason.BODY_TOO_SLOW,
            408,
            outcome,
            f"No part of the body came for {idle_timeout_s:g} s.",
        ) from error
    except (aiohttp.ClientPayloadError, web.HTTPException, ConnectionError, ValueError) as error:
        raise ProblemError(
            Reason.BODY_INCOMPLETE, 400, outcome, "The body is shorter than announced."
        ) from error


def _too_large(limit: int, outcome: RequestOutcome) -> ProblemError:
    detail = f"The body is longer than the {limit} bytes that this service takes."
    if outcome == RequestOutcome.NOT_RUN:
        return refuse_not_run(Reason.BODY_TOO_LARGE, 413, detail)
    return ProblemError(Reason.BODY_TOO_LARGE, 413, outcome, detail)
