"""HTTP client for backend servers; it makes one attempt to send a request."""

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
KEEPALIVE_TIMEOUT_S = 15.0
POOL_CLOSE_DELAY_S = 60.0
"""Time for requests in progress to finish before their retired pool is closed."""
SILENT_TIMEOUT_SHARE = 1 / 3
"""Share of the time left after which a reused connection without a response counts as silent."""
READ_BUFFER_BYTES = 64 * 1024


@dataclass(eq=False)
class AttemptFailedError(Exception):
    """An attempt failed without a response for the caller."""

    failure: AttemptFailure


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send a request; the server echoes ``request_id``, which is unique."""

    backend: Backend
    request_id: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: RequestBody
    may_reuse: bool
    """Whether the attempt may use a pooled connection."""
    time_left_s: float


class BackendClient:
    """HTTP client with a connection pool for each backend server.

    Every non-idempotent request uses a new connection, because a pooled connection may have become
    silent, and a failure on it would leave the outcome of the request unknown.
    """

    def __init__(self) -> None:
        self._session_by_address: dict[str, aiohttp.ClientSession] = {}
        self._connection_limit_by_address: dict[str, int] = {}
        self._retired_sessions: list[aiohttp.ClientSession] = []
        self._unpooled_session: aiohttp.ClientSession | None = None
        self.renewed_pools = 0

    async def start(self) -> None:
        """Open the session for requests that do not use a pool."""
        self._unpooled_session = _open_session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def close(self) -> None:
        """Close all connections."""
        sessions = [*self._session_by_address.values(), *self._retired_sessions]
        if self._unpooled_session:
            sessions.append(self._unpooled_session)
        for session in sessions:
            await session.close()

    def set_limits(self, limit_by_address: dict[str, int]) -> None:
        """Replace the limits; pools of servers whose limit changed or is missing are retired."""
        for address in list(self._session_by_address):
            if limit_by_address.get(address) != self._connection_limit_by_address.get(address):
                self._retire_pool(address)
        self._connection_limit_by_address = limit_by_address

    def _open_pool(self, address: str) -> aiohttp.ClientSession:
        if address not in self._session_by_address:
            self._session_by_address[address] = _open_session(
                aiohttp.TCPConnector(
                    limit=self._connection_limit_by_address.get(address, 1),
                    keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                    socket_factory=_create_keepalive_socket,
                )
            )
        return self._session_by_address[address]

    def _renew_pool(self, address: str) -> None:
        """Replace the pool, because its connections may be permanently silent."""
        if address in self._session_by_address:
            self._retire_pool(address)
            self.renewed_pools += 1

    def _retire_pool(self, address: str) -> None:
        """Use the pool for no new requests, and close it after `POOL_CLOSE_DELAY_S`."""
        session = self._session_by_address.pop(address)
        self._retired_sessions.append(session)
        loop = asyncio.get_running_loop()
        loop.call_later(POOL_CLOSE_DELAY_S, lambda: loop.create_task(self._close_retired(session)))

    async def _close_retired(self, session: aiohttp.ClientSession) -> None:
        self._retired_sessions.remove(session)
        await session.close()

    async def send(self, attempt: Attempt) -> aiohttp.ClientResponse:
        """Send a request and return the response without its body.

        Raises `AttemptFailedError`, or `ProblemError` if the caller's body is unusable.
        """
        address = attempt.backend.address
        session = self._open_pool(address) if attempt.may_reuse else self._unpooled_session
        connection = ConnectionTrace()
        sending = session.request(
            attempt.method,
            f"http://{address}{attempt.path}",
            headers=attempt.headers,
            data=None if attempt.body.is_empty else _build_payload(attempt.body),
            allow_redirects=False,
            trace_request_ctx=connection,
        )
        try:
            response = await _wait_for_head(sending, connection, attempt.time_left_s)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise AttemptFailedError(connection.classify_connect_failure()) from error
        except SilentConnectionError as error:
            self._renew_pool(address)
            raise AttemptFailedError(AttemptFailure.SILENT) from error
        except TimeoutError as error:
            raise AttemptFailedError(AttemptFailure.TIMEOUT) from error
        except (aiohttp.ClientError, OSError) as error:
            _reraise_problem(error)
            raise AttemptFailedError(AttemptFailure.LOST) from error
        self._check_response(response, attempt)
        return response

    def _check_response(self, response: aiohttp.ClientResponse, attempt: Attempt) -> None:
        echoed = response.headers.get(REQUEST_ID)
        if echoed is not None and echoed != attempt.request_id:
            # The connection returns responses of other requests, so it must not be reused.
            response.close()
            raise AttemptFailedError(AttemptFailure.CROSSED)
        if response.headers.get(OUTCOME) == RequestOutcome.NOT_RUN:
            raise ShedError(AttemptFailure.SHED, response)


class SilentConnectionError(Exception):
    """A reused connection returned no response within its share of the time left."""


@dataclass(slots=True)
class ConnectionTrace:
    """State of the connection of one attempt."""

    is_reused: bool = False
    is_sent: bool = False
    """Whether any part of the request has been sent."""
    is_silent: bool = False

    def classify_connect_failure(self) -> AttemptFailure:
        """Return `AttemptFailure.NOT_CONNECTED` only if the server cannot have got any data."""
        return AttemptFailure.LOST if self.is_sent else AttemptFailure.NOT_CONNECTED


class ShedError(AttemptFailedError):
    """The backend server reported that it has not run the request."""

    def __init__(self, failure: AttemptFailure, response: aiohttp.ClientResponse) -> None:
        super().__init__(failure)
        self.response = response


async def is_listening(address: str) -> bool:
    """Whether a server accepts connections; used to distinguish a crash from a lost connection."""
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


async def _wait_for_head(
    sending: Awaitable[aiohttp.ClientResponse], connection: ConnectionTrace, time_left_s: float
) -> aiohttp.ClientResponse:
    """Wait for the status line and headers, on a reused connection only for a share of the time."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(time_left_s) as scope:

            def expire_if_reused() -> None:
                if connection.is_reused:
                    connection.is_silent = True
                    scope.reschedule(loop.time())

            check = loop.call_later(time_left_s * SILENT_TIMEOUT_SHARE, expire_if_reused)
            try:
                return await sending
            finally:
                check.cancel()
    except TimeoutError:
        if connection.is_silent:
            raise SilentConnectionError from None
        raise


async def _record_reuse(session, context, params) -> None:
    if context.trace_request_ctx:
        context.trace_request_ctx.is_reused = True


async def _record_sent(session, context, params) -> None:
    if context.trace_request_ctx:
        context.trace_request_ctx.is_sent = True


def _build_payload(body: RequestBody) -> bytes | Callable:
    return body.prefix if body.is_whole else body.stream()


def _reraise_problem(error: BaseException) -> None:
    """Raise the `ProblemError` that caused a client error, if there is one."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ProblemError):
            raise cause from error
        cause = cause.__cause__ or cause.__context__


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    trace_config = aiohttp.TraceConfig()
    trace_config.on_connection_reuseconn.append(_record_reuse)
    trace_config.on_request_headers_sent.append(_record_sent)
    session = aiohttp.ClientSession(
        connector=connector,
        trace_configs=[trace_config],
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BUFFER_BYTES,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # aiohttp retries idempotent requests by itself and has no public option to disable this.
    session._retry_connection = False
    return session


def _create_keepalive_socket(address_info) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    return created
