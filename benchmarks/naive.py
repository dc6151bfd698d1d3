"""The naive version to compare with: round robin, one FIFO queue, three blind retries, no ranks."""

import asyncio
import itertools
import sys

import aiohttp
from aiohttp import web

TRIES = 4


class NaiveProxy:
    """Forwards each request to the next backend server."""

    def __init__(self, backends: list[str], places: int) -> None:
        self._backends = itertools.cycle(backends)
        self._queue = asyncio.Semaphore(places)
        self._session: aiohttp.ClientSession | None = None

    async def handle(self, request: web.Request) -> web.Response:
        """Forward with blind retries."""
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        body = await request.read()
        async with self._queue:
            for _ in range(TRIES):
                answer = await self._forward(request, body)
                if answer is not None and answer.status == 200:
                    return answer
        return answer or web.Response(status=502)

    async def _forward(self, request: web.Request, body: bytes) -> web.Response | None:
        url = f"http://{next(self._backends)}{request.raw_path}"
        try:
            async with self._session.request(request.method, url, data=body or None) as response:
                return web.Response(status=response.status, body=await response.read())
        except (aiohttp.ClientError, OSError):
            return None


async def serve(port: int, places: int, backends: list[str]) -> None:
    """Listen until cancelled."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", NaiveProxy(backends, places).handle)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3:]))
