"""Answers on their way from a backend server to a caller."""

import asyncio

import aiohttp
from aiohttp import web

from ..cluster.messages import StoredResponse
from ..ledger.slots import RecordState
from .headers import returned_headers

STORED_BODY_BYTES = 16 * 1024
SHORT_BODY_BYTES = 64 * 1024
WRITE_IDLE_S = 30.0
REPLAYED = "Idempotency-Replayed"


class IncompleteAnswerError(Exception):
    """A backend server broke its answer off; nothing of it was passed on."""


class AnswerRecorder:
    """What the ledger will keep of a keyed request's answer."""

    def __init__(self) -> None:
        self.state = RecordState.UNKNOWN
        self._status = 0
        self._headers: dict[str, str] = {}
        self._parts = bytearray()
        self._is_short = False

    @property
    def head(self) -> bytes:
        """What was read before the caller got any of it."""
        return bytes(self._parts)

    @property
    def answer(self) -> StoredResponse | None:
        """The whole answer, None if it was too long to keep."""
        if not self._is_short:
            return None
        return StoredResponse(self._status, self._headers, bytes(self._parts))

    async def read(self, response: aiohttp.ClientResponse) -> None:
        """Read an answer that fits the ledger whole, of a longer one the first part."""
        self._status = response.status
        self._headers = dict(returned_headers(response.headers))
        while len(self._parts) <= STORED_BODY_BYTES:
            part = await response.content.readany()
            if not part:
                self._is_short = True
                self.state = RecordState.DONE
                return
            self._parts += part

    def finish(self) -> None:
        """Note that the answer came whole."""
        self.state = RecordState.DONE


async def pass_on(
    request: web.Request,
    response: aiohttp.ClientResponse,
    recorder: AnswerRecorder | None,
    deadline: float,
) -> web.StreamResponse:
    """Stream an answer in bounded memory; one that can not be whole is broken off visibly.

    ``deadline`` is event loop time. A keyed answer that fits the ledger is read before its caller
    can break it off.
    """
    length = response.content_length
    if recorder is None and length is not None and length <= SHORT_BODY_BYTES:
        return await _read_short(response, deadline)
    answer = web.StreamResponse(status=response.status, headers=returned_headers(response.headers))
    is_whole = False
    try:
        async with asyncio.timeout_at(deadline):
            if recorder:
                await recorder.read(response)
            await answer.prepare(request)
            if recorder:
                await answer.write(recorder.head)
            async for part in response.content.iter_any():
                async with asyncio.timeout(WRITE_IDLE_S):
                    await answer.write(part)
        is_whole = True
        if recorder:
            recorder.finish()
        await answer.write_eof()
    except (aiohttp.ClientError, OSError, TimeoutError):
        break_off(request)
    finally:
        # A connection with unread parts of this answer must not serve another request.
        if is_whole:
            response.release()
        else:
            response.close()
    return answer


async def _read_short(response: aiohttp.ClientResponse, deadline: float) -> web.Response:
    """Read a short answer whole; raises `IncompleteAnswerError` before the caller got any of it."""
    try:
        async with asyncio.timeout_at(deadline):
            body = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        response.close()
        raise IncompleteAnswerError from error
    headers = returned_headers(response.headers)
    return web.Response(status=response.status, headers=headers, body=body)


def replay(answer: StoredResponse) -> web.Response:
    """The stored answer of the attempt that ran."""
    response = web.Response(status=answer.status, headers=answer.headers, body=answer.body)
    response.headers[REPLAYED] = "true"
    return response


def break_off(request: web.Request) -> None:
    """End the connection so that the caller sees that the answer is not whole."""
    if request.transport:
        request.transport.abort()
