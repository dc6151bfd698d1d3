"""HTTP towards backend servers: one try of one request."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from ..config.models import Backend
from ..routing.retries import TryFailure
from .bodies import RequestBody
from .headers import OUTCOME, REQUEST_ID
from .problems import ProblemError, RequestOutcome

CONNECT_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 0.5
IDLE_CONNECTION_S = 15.0
READ_BUFFER_BYTES = 64 * 1024


@dataclass(eq=False)
class TryFailedError(Exception):
    """A try without an answer for the caller."""

    failure: TryFailure


@dataclass(frozen=True, slots=True)
class TryRequest:
    """One try: ``request_id`` is unique and the backend server returns it."""

    backend: Backend
    request_id: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: RequestBody
    is_idempotent: bool
    time_left_s: float


class Upstream:
    """Pooled connections to backend servers.

    Non-idempotent requests get a new connection each, because a pooled one may have gone silent
    and a failure on it would leave their outcome unknown.
    """

    def __init__(self) -> None:
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def start(self, limit_per_backend: int) -> None:
        """Open the sessions."""
        self._pooled = _open_session(
            aiohttp.TCPConnector(
                limit=0,
                limit_per_host=limit_per_backend,
                keepalive_timeout=IDLE_CONNECTION_S,
                socket_factory=_keepalive_socket,
            )
        )
        self._fresh = _open_session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._pooled, self._fresh):
            if session:
                await session.close()

    async def send(self, attempt: TryRequest) -> aiohttp.ClientResponse:
        """Send and return the answer's head; raises `TryFailedError` or `ProblemError`."""
        session = self._pooled if attempt.is_idempotent else self._fresh
        try:
            response = await asyncio.wait_for(
                session.request(
                    attempt.method,
                    f"http://{attempt.backend.address}{attempt.path}",
                    headers=attempt.headers,
                    data=None if attempt.body.is_empty else _payload(attempt.body),
                    allow_redirects=False,
                ),
                attempt.time_left_s,
            )
        except aiohttp.ClientConnectorError as error:
            raise TryFailedError(TryFailure.NOT_CONNECTED) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise TryFailedError(TryFailure.NOT_CONNECTED) from error
        except TimeoutError as error:
            raise TryFailedError(TryFailure.TIMEOUT) from error
        except (aiohttp.ClientError, OSError) as error:
            _raise_body_problem(error)
            raise TryFailedError(TryFailure.LOST) from error
        self._check_answer(response, attempt)
        return response

    def _check_answer(self, response: aiohttp.ClientResponse, attempt: TryRequest) -> None:
        echoed = response.headers.get(REQUEST_ID)
        if echoed is not None and echoed != attempt.request_id:
            # The connection carries answers of other requests: it must not be used again.
            response.close()
            raise TryFailedError(TryFailure.CROSSED)
        if response.headers.get(OUTCOME) == RequestOutcome.NOT_RUN:
            raise ShedError(TryFailure.SHED, response)


class ShedError(TryFailedError):
    """The backend server's own word that it has not run the request."""

    def __init__(self, failure: TryFailure, response: aiohttp.ClientResponse) -> None:
        super().__init__(failure)
        self.response = response


async def is_listening(address: str) -> bool:
    """Whether a server accepts connections, to tell a crash from a lost connection."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return False
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
    return True


def _payload(body: RequestBody) -> bytes | Callable:
    return body.prefix if body.is_whole else body.stream()


def _raise_body_problem(error: BaseException) -> None:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ProblemError):
            raise cause from error
        cause = cause.__cause__ or cause.__context__


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BUFFER_BYTES,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )


def _keepalive_socket(address_info) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    return created
