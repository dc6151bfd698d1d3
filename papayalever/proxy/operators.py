"""HTTP listener for operators: health, metrics, status and the configuration."""

import time
from collections.abc import Callable
from dataclasses import asdict

from aiohttp import web

from ..config.commit import (
    ApplyRequest,
    Committer,
    LostRaceError,
    NotAcceptedError,
    OutcomeUnknownError,
)
from ..config.exceptions import ConfigError, InvalidConfigError
from ..config.updater import ConfigUpdater
from ..metrics import Metrics

MAX_CONFIG_BYTES = 64 * 1024 * 1024
STATUS_BY_ERROR = {
    InvalidConfigError: 422,
    LostRaceError: 409,
    NotAcceptedError: 503,
    OutcomeUnknownError: 504,
}


class OperatorListener:
    """Serves operators until it is closed; owns the listening socket."""

    def __init__(
        self,
        address: str,
        updater: ConfigUpdater,
        committer: Committer,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        read_status: Callable[[], dict],
    ) -> None:
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._updater = updater
        self._committer = committer
        self._metrics = metrics
        self._is_ready = is_ready
        self._read_status = read_status
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        app = web.Application(client_max_size=MAX_CONFIG_BYTES)
        app.router.add_get("/-/health", self._handle_health)
        app.router.add_get("/-/ready", self._handle_ready)
        app.router.add_get("/-/metrics", self._handle_metrics)
        app.router.add_get("/-/status", self._handle_status)
        app.router.add_get("/-/config", self._handle_get_config)
        app.router.add_post("/-/config", self._handle_post_config)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def close(self) -> None:
        """Stop listening and close the connections."""
        if self._runner:
            await self._runner.cleanup()

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _handle_ready(self, request: web.Request) -> web.Response:
        is_ready = self._is_ready()
        document = {"status": "ready" if is_ready else "not ready"}
        return web.json_response(document, status=200 if is_ready else 503)

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self._metrics.render(), content_type="text/plain")

    async def _handle_status(self, request: web.Request) -> web.Response:
        return web.json_response(self._read_status())

    async def _handle_get_config(self, request: web.Request) -> web.Response:
        current = self._updater.state.current
        if current is None:
            return web.json_response({"version": 0, "digest": "", "text": "", "history": []})
        head = self._updater.state.head
        document = {
            "version": current.version,
            "digest": current.digest,
            "text": current.text,
            "history": [asdict(item) for item in head.history],
        }
        return web.json_response(document)

    async def _handle_post_config(self, request: web.Request) -> web.Response:
        expected = request.query.get("expected_version")
        apply_request = ApplyRequest(
            text=await request.text(),
            operator=request.query.get("operator", "unknown"),
            override_unreachable=request.query.get("override_unreachable") == "1",
            expected_version=int(expected) if expected else None,
        )
        try:
            applied = await self._committer.apply(apply_request, int(time.time() * 1000))
        except ConfigError as error:
            document = {"error": type(error).__name__, "detail": str(error)}
            return web.json_response(document, status=STATUS_BY_ERROR[type(error)])
        return web.json_response(asdict(applied))
