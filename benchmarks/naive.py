"""Naive proxy for comparison: round robin, one FIFO queue, three blind retries, no ranks."""

import asyncio
import itertools
import sys

import aiohttp
from aiohttp import web

MAX_ATTEMPTS = 4


class NaiveProxy:
    """Forwards each request to the next backend server."""

    def __init__(self, backends: list[str], concurrency: int) -> None:
        self._backends = itertools.cycle(backends)
        self._semaphore = asyncio.Semaphore(concurrency)
        self._session: aiohttp.ClientSession | None = None

    async def handle(self, request: web.Request) -> web.Response:
        """Forward a request, retrying up to three times until the status is 200."""
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        body = await request.read()
        async with self._semaphore:
            for _ in range(MAX_ATTEMPTS):
                response = await self._forward(request, body)
                if response is not None and response.status == 200:
                    return response
        return response or web.Response(status=502)

    async def _forward(self, request: web.Request, body: bytes) -> web.Response | None:
        url = f"http://{next(self._backends)}{request.raw_path}"
        try:
            async with self._session.request(request.method, url, data=body or None) as response:
                return web.Response(status=response.status, body=await response.read())
        except (aiohttp.ClientError, OSError):
            return None


async def serve(port: int, concurrency: int, backends: list[str]) -> None:
    """Listen until cancelled."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", NaiveProxy(backends, concurrency).handle)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3:]))
