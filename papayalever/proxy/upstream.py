"""HTTP towards backend servers: one try of one request."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from ..config.models import Backend
from ..routing.retries import AttemptFailure
from .bodies import RequestBody
from .headers import OUTCOME, REQUEST_ID
from .problems import ProblemError, RequestOutcome

CONNECT_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 0.5
IDLE_CONNECTION_S = 15.0
RETIRED_POOL_S = 60.0
SILENT_SHARE = 1 / 3
"""Share of the time left after which a reused connection counts as silent."""
READ_BUFFER_BYTES = 64 * 1024


@dataclass(eq=False)
class TryFailedError(Exception):
    """A try without an answer for the caller."""

    failure: AttemptFailure


@dataclass(frozen=True, slots=True)
class TryRequest:
    """One try: ``request_id`` is unique and the backend server returns it."""

    backend: Backend
    request_id: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: RequestBody
    may_reuse: bool
    """Whether a pooled connection will do."""
    time_left_s: float


class Upstream:
    """Pooled connections to backend servers.

    Non-idempotent requests get a new connection each, because a pooled one may have gone silent
    and a failure on it would leave their outcome unknown.
    """

    def __init__(self) -> None:
        self._pool_by_address: dict[str, aiohttp.ClientSession] = {}
        self._limit_by_address: dict[str, int] = {}
        self._retired: list[aiohttp.ClientSession] = []
        self._fresh: aiohttp.ClientSession | None = None
        self.renewed_pools = 0

    async def start(self) -> None:
        """Open what every request shares."""
        self._fresh = _open_session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def close(self) -> None:
        """Close the connections."""
        sessions = [*self._pool_by_address.values(), *self._retired]
        if self._fresh:
            sessions.append(self._fresh)
        for session in sessions:
            await session.close()

    def set_limits(self, limit_by_address: dict[str, int]) -> None:
        """Use other limits of connections; servers that are not named get none any more."""
        for address in list(self._pool_by_address):
            if limit_by_address.get(address) != self._limit_by_address.get(address):
                self._retire(address)
        self._limit_by_address = limit_by_address

    def _open_pool(self, address: str) -> aiohttp.ClientSession:
        if address not in self._pool_by_address:
            self._pool_by_address[address] = _open_session(
                aiohttp.TCPConnector(
                    limit=self._limit_by_address.get(address, 1),
                    keepalive_timeout=IDLE_CONNECTION_S,
                    socket_factory=_keepalive_socket,
                )
            )
        return self._pool_by_address[address]

    def _renew_pool(self, address: str) -> None:
        """Use new connections from now on: the pooled ones may have gone silent for good."""
        if address in self._pool_by_address:
            self._retire(address)
            self.renewed_pools += 1

    def _retire(self, address: str) -> None:
        """Let requests in progress finish, then close the pool."""
        session = self._pool_by_address.pop(address)
        self._retired.append(session)
        loop = asyncio.get_running_loop()
        loop.call_later(RETIRED_POOL_S, lambda: loop.create_task(self._close_retired(session)))

    async def _close_retired(self, session: aiohttp.ClientSession) -> None:
        self._retired.remove(session)
        await session.close()

    async def send(self, attempt: TryRequest) -> aiohttp.ClientResponse:
        """Send and return the answer's head; raises `TryFailedError` or `ProblemError`."""
        address = attempt.backend.address
        session = self._open_pool(address) if attempt.may_reuse else self._fresh
        connection = ConnectionTrace()
        sending = session.request(
            attempt.method,
            f"http://{address}{attempt.path}",
            headers=attempt.headers,
            data=None if attempt.body.is_empty else _payload(attempt.body),
            allow_redirects=False,
            trace_request_ctx=connection,
        )
        try:
            response = await _wait_head(sending, connection, attempt.time_left_s)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise TryFailedError(connection.failure_to_connect()) from error
        except SilentConnectionError as error:
            self._renew_pool(address)
            raise TryFailedError(AttemptFailure.SILENT) from error
        except TimeoutError as error:
            raise TryFailedError(AttemptFailure.TIMEOUT) from error
        except (aiohttp.ClientError, OSError) as error:
            _raise_body_problem(error)
            raise TryFailedError(AttemptFailure.LOST) from error
        self._check_answer(response, attempt)
        return response

    def _check_answer(self, response: aiohttp.ClientResponse, attempt: TryRequest) -> None:
        echoed = response.headers.get(REQUEST_ID)
        if echoed is not None and echoed != attempt.request_id:
            # The connection carries answers of other requests: it must not be used again.
            response.close()
            raise TryFailedError(AttemptFailure.CROSSED)
        if response.headers.get(OUTCOME) == RequestOutcome.NOT_RUN:
            raise ShedError(AttemptFailure.SHED, response)


class SilentConnectionError(Exception):
    """No answer on a reused connection in the time after which a new one is tried."""


@dataclass(slots=True)
class ConnectionTrace:
    """What happened to one try: whether a used connection served it and any byte was sent."""

    is_reused: bool = False
    is_sent: bool = False
    is_silent: bool = False

    def failure_to_connect(self) -> AttemptFailure:
        """`AttemptFailure.NOT_CONNECTED` only if the server can not have got any of the request."""
        return AttemptFailure.LOST if self.is_sent else AttemptFailure.NOT_CONNECTED


class ShedError(TryFailedError):
    """The backend server's own word that it has not run the request."""

    def __init__(self, failure: AttemptFailure, response: aiohttp.ClientResponse) -> None:
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


async def _wait_head(
    sending: Awaitable[aiohttp.ClientResponse], connection: ConnectionTrace, time_left_s: float
) -> aiohttp.ClientResponse:
    """Wait for the answer's head; on a reused connection only for a share of the time."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(time_left_s) as scope:

            def give_up_if_reused() -> None:
                if connection.is_reused:
                    connection.is_silent = True
                    scope.reschedule(loop.time())

            check = loop.call_later(time_left_s * SILENT_SHARE, give_up_if_reused)
            try:
                return await sending
            finally:
                check.cancel()
    except TimeoutError:
        if connection.is_silent:
            raise SilentConnectionError from None
        raise


async def _note_reuse(session, context, params) -> None:
    if context.trace_request_ctx:
        context.trace_request_ctx.is_reused = True


async def _note_sent(session, context, params) -> None:
    if context.trace_request_ctx:
        context.trace_request_ctx.is_sent = True


def _payload(body: RequestBody) -> bytes | Callable:
    return body.prefix if body.is_whole else body.stream()


def _raise_body_problem(error: BaseException) -> None:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ProblemError):
            raise cause from error
        cause = cause.__cause__ or cause.__context__


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_note_reuse)
    trace.on_request_headers_sent.append(_note_sent)
    session = aiohttp.ClientSession(
        connector=connector,
        trace_configs=[trace],
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BUFFER_BYTES,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # The library sends an idempotent request again by itself and has no public switch for it.
    session._retry_connection = False
    return session


def _keepalive_socket(address_info) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    return created
