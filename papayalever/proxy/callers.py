"""HTTP listener for callers: lookups and proxied requests."""

import asyncio
import time
from contextlib import suppress

from aiohttp import web

from ..config.bundles import LoadedConfiguration
from ..lookup.blocks import parse_address
from ..lookup.directory import Directory, NoInstanceError, UnknownServiceError
from ..metrics import Metrics
from ..routing.matching import HostTable
from ..settings import Limits
from .claims import adjust_outcome
from .exchange import Exchange
from .headers import REQUEST_TIMEOUT
from .problems import ProblemError, Reason, refuse_not_run
from .shared import SharedState

RESERVED_PREFIX = "/-/"
LOOKUP_PATH = "/-/lookup"
SHUTDOWN_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 3_600.0


class CallerListener:
    """Serves callers until it is closed; owns the listening socket."""

    def __init__(
        self, address: str, limits: Limits, directory: Directory, shared: SharedState
    ) -> None:
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._limits = limits
        self._directory = directory
        self._shared = shared
        self._metrics: Metrics = shared.metrics
        self._in_force: LoadedConfiguration | None = None
        self._host_table: HostTable | None = None
        self._runner: web.AppRunner | None = None
        self.in_progress = 0

    def set_configuration(self, in_force: LoadedConfiguration) -> None:
        """Replace the configuration."""
        self._in_force = in_force
        self._host_table = HostTable(in_force.configuration)

    async def start(self) -> None:
        """Start listening."""
        app = web.Application(client_max_size=0)
        app.router.add_get(LOOKUP_PATH, self._handle_lookup)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=self._limits.max_header_bytes,
            max_field_size=self._limits.max_header_bytes,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            keepalive_timeout=75.0,
            lingering_time=2.0,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port, backlog=1024).start()

    async def close(self) -> None:
        """Stop listening and close the connections."""
        if self._runner:
            await self._runner.cleanup()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; returns False on a timeout."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.in_progress:
                    await asyncio.sleep(0.05)
        return self.in_progress == 0

    async def _handle_lookup(self, request: web.Request) -> web.Response:
        try:
            return self._look_up(request)
        except ProblemError as problem:
            return self._refuse(problem)

    def _look_up(self, request: web.Request) -> web.Response:
        service = request.query.get("service", "")
        caller = request.query.get("caller") or request.remote or ""
        address = parse_address(caller)
        if address is None:
            raise refuse_not_run(
                Reason.BAD_CALLER, 400, "caller must be an IPv4 address, for example 10.1.2.3."
            )
        try:
            cached = self._directory.find(service, address, time.time())
        except UnknownServiceError as error:
            raise refuse_not_run(
                Reason.UNKNOWN_SERVICE, 404, f"There is no service {service[:80]!r}."
            ) from error
        except NoInstanceError as error:
            raise refuse_not_run(
                Reason.NO_INSTANCE, 503, "No instance accepts new work.", 1
            ) from error
        self._metrics.lookups.inc()
        return web.Response(
            body=cached.body,
            content_type="application/json",
            headers={"Cache-Control": f"max-age={cached.max_age_s}"},
        )

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        started = self._shared.clock()
        self.in_progress += 1
        try:
            return await self._forward(request, started)
        except ProblemError as problem:
            return self._refuse(adjust_outcome(problem, request))
        finally:
            self.in_progress -= 1

    async def _forward(self, request: web.Request, started: float) -> web.StreamResponse:
        if request.path.startswith(RESERVED_PREFIX):
            raise refuse_not_run(Reason.UNKNOWN_PATH, 404, "There is nothing at this path.")
        if self.in_progress > self._limits.max_requests:
            raise refuse_not_run(
                Reason.TOO_MANY_REQUESTS, 503, "This instance has too many requests.", 1
            )
        if self._host_table is None or self._in_force is None:
            raise refuse_not_run(
                Reason.NO_CONFIGURATION, 503, "No configuration is in force yet.", 1
            )
        host = request.headers.get("Host", "")
        policy = self._host_table.find(host, request.method, request.path)
        if policy is None:
            raise refuse_not_run(
                Reason.UNKNOWN_HOST, 404, "No service has this host, method and path."
            )
        timeout_s = min(policy.deadline_s, _read_timeout(request))
        exchange = Exchange(
            self._shared,
            request,
            policy,
            self._in_force.configuration,
            started + timeout_s,
            self._limits.idle_body_s,
        )
        response = await exchange.run()
        duration_s = self._shared.clock() - started
        self._metrics.requests.labels(policy.service_name, policy.rank_name).inc()
        self._metrics.record_latency(policy.service_name, policy.rank_name, duration_s)
        return response

    def _refuse(self, problem: ProblemError) -> web.Response:
        self._metrics.refusals.labels(problem.reason, problem.outcome).inc()
        return problem.to_response()


def _read_timeout(request: web.Request) -> float:
    """Return the caller's timeout in seconds.

    Raises `ProblemError` if it is malformed, too long or not positive.
    """
    text = request.headers.get(REQUEST_TIMEOUT)
    if text is None:
        return MAX_TIMEOUT_S
    try:
        seconds = float(text)
    except ValueError as error:
        raise refuse_not_run(
            Reason.BAD_DEADLINE, 400, "Request-Timeout must be a number of seconds."
        ) from error
    if not seconds <= MAX_TIMEOUT_S:
        raise refuse_not_run(
            Reason.BAD_DEADLINE, 400, f"Request-Timeout must be at most {MAX_TIMEOUT_S:g} s."
        )
    if seconds <= 0:
        raise refuse_not_run(Reason.DEADLINE_PASSED, 504, "The deadline has passed.")
    return seconds
