"""Responses of backend servers: forwarded to callers and recorded for the ledger."""

import asyncio

import aiohttp
from aiohttp import web

from ..cluster.messages import StoredResponse
from ..ledger.slots import RecordState
from .headers import filter_response_headers

MAX_STORED_BODY_BYTES = 16 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024
WRITE_TIMEOUT_S = 30.0
REPLAYED = "Idempotency-Replayed"


class IncompleteResponseError(Exception):
    """A backend server aborted its response, and no part of it has been forwarded."""


class ResponseRecorder:
    """Records the response to a keyed request (one with an idempotency key) for the ledger."""

    def __init__(self) -> None:
        self.state = RecordState.UNKNOWN
        self._status = 0
        self._headers: dict[str, str] = {}
        self._buffer = bytearray()
        self._is_whole_body = False

    @property
    def body_start(self) -> bytes:
        """The part of the body that `read` has buffered."""
        return bytes(self._buffer)

    @property
    def stored_response(self) -> StoredResponse | None:
        """The complete response, or None if its body is too long to store."""
        if not self._is_whole_body:
            return None
        return StoredResponse(self._status, self._headers, bytes(self._buffer))

    async def read(self, response: aiohttp.ClientResponse) -> None:
        """Buffer the body up to the size that the ledger stores."""
        self._status = response.status
        self._headers = dict(filter_response_headers(response.headers))
        while len(self._buffer) <= MAX_STORED_BODY_BYTES:
            chunk = await response.content.readany()
            if not chunk:
                self._is_whole_body = True
                self.state = RecordState.DONE
                return
            self._buffer += chunk

    def finish(self) -> None:
        """Record that the response was received completely."""
        self.state = RecordState.DONE


async def forward_response(
    request: web.Request,
    response: aiohttp.ClientResponse,
    recorder: ResponseRecorder | None,
    deadline: float,
) -> web.StreamResponse:
    """Forward a response in bounded memory; ``deadline`` is event loop time.

    A short response is read completely first; raises `IncompleteResponseError` if that fails. If a
    longer response cannot be completed, the caller's connection is aborted.

    The response to a keyed request is buffered up to the size that the ledger stores before any of
    it is forwarded, so that a caller that disconnects does not prevent its recording.
    """
    length = response.content_length
    if recorder is None and length is not None and length <= MAX_BUFFERED_BODY_BYTES:
        return await _read_buffered(response, deadline)
    forwarded = web.StreamResponse(
        status=response.status, headers=filter_response_headers(response.headers)
    )
    is_complete = False
    try:
        async with asyncio.timeout_at(deadline):
            if recorder:
                await recorder.read(response)
            await forwarded.prepare(request)
            if recorder:
                await forwarded.write(recorder.body_start)
            async for chunk in response.content.iter_any():
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await forwarded.write(chunk)
        is_complete = True
        if recorder:
            recorder.finish()
        await forwarded.write_eof()
    except (aiohttp.ClientError, OSError, TimeoutError):
        abort_connection(request)
    finally:
        # A connection with unread data of this response must not be reused.
        if is_complete:
            response.release()
        else:
            response.close()
    return forwarded


async def _read_buffered(response: aiohttp.ClientResponse, deadline: float) -> web.Response:
    """Read a response completely before it is forwarded; raises `IncompleteResponseError`."""
    try:
        async with asyncio.timeout_at(deadline):
            body = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        response.close()
        raise IncompleteResponseError from error
    headers = filter_response_headers(response.headers)
    return web.Response(status=response.status, headers=headers, body=body)


def replay(stored: StoredResponse) -> web.Response:
    """Build the response to a retry from the stored response."""
    response = web.Response(status=stored.status, headers=stored.headers, body=stored.body)
    response.headers[REPLAYED] = "true"
    return response


def abort_connection(request: web.Request) -> None:
    """Abort the caller's connection, so that the caller detects an incomplete response."""
    if request.transport:
        request.transport.abort()
