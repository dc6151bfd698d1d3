"""Request bodies: a bounded prefix in memory, the rest streamed."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import xxhash
from aiohttp import web

from .problems import ProblemError, Reason, RequestOutcome, refuse_not_run

PREFIX_BYTES = 64 * 1024


class RequestBody:
    """The body of one request; only one that fits the prefix can be sent twice."""

    def __init__(self, request: web.Request, prefix: bytes, limit: int, idle_s: float) -> None:
        self._request = request
        self._limit = limit
        self._idle_s = idle_s
        self.prefix = prefix
        self.is_whole = request.content.at_eof()
        self.is_started = False

    @property
    def is_replayable(self) -> bool:
        """Whether it can be sent (again) from the start."""
        return self.is_whole or not self.is_started

    @property
    def is_empty(self) -> bool:
        """Whether there is no body."""
        return self.is_whole and not self.prefix

    def digest(self, method: str, path: str) -> str:
        """Digest of the request; of a long body the prefix and the stated length count."""
        length = self._request.content_length
        head = f"{method} {path} {length if not self.is_whole else len(self.prefix)}\n"
        return xxhash.xxh3_128_hexdigest(head.encode() + self.prefix)

    async def stream(self) -> AsyncIterator[bytes]:
        """The whole body in parts; raises `ProblemError` if the caller breaks it off."""
        self.is_started = True
        sent = len(self.prefix)
        yield self.prefix
        while not self.is_whole:
            part = await _read(self._request, PREFIX_BYTES, self._idle_s, RequestOutcome.UNKNOWN)
            if not part:
                return
            sent += len(part)
            if sent > self._limit:
                raise _too_large(self._limit, RequestOutcome.UNKNOWN)
            yield part


async def read_body(request: web.Request, limit: int, idle_s: float) -> RequestBody:
    """Read up to `PREFIX_BYTES`; raises `ProblemError` for a body that is too large or broken."""
    if request.content_length is not None and request.content_length > limit:
        raise _too_large(limit, RequestOutcome.NOT_RUN)
    prefix = bytearray()
    while len(prefix) < PREFIX_BYTES and not request.content.at_eof():
        room = PREFIX_BYTES - len(prefix)
        part = await _read(request, room, idle_s, RequestOutcome.NOT_RUN)
        if not part:
            break
        prefix += part
    if len(prefix) > limit:
        raise _too_large(limit, RequestOutcome.NOT_RUN)
    return RequestBody(request, bytes(prefix), limit, idle_s)


async def _read(request: web.Request, size: int, idle_s: float, outcome: RequestOutcome) -> bytes:
    try:
        async with asyncio.timeout(idle_s):
            return await request.content.read(size)
    except TimeoutError as error:
        raise ProblemError(
            Reason.BODY_TOO_SLOW, 408, outcome, f"No part of the body came for {idle_s:g} s."
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
