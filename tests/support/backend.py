"""Stand-in for backend servers: slots, cold starts, shedding, draining, crashes and lies."""

import argparse
import asyncio
import json
import weakref
from collections import Counter
from contextlib import suppress

import xxhash
from aiohttp import web

CRASH_PATH = "/crash"
DOWN_S = 2.0
COLD_REQUESTS = 3


class BackendServer:
    """One server with ``slots`` places that counts what it ran."""

    def __init__(self, name: str, port: int, slots: int, service_s: float) -> None:
        self.name = name
        self.port = port
        self.slots = slots
        self.service_s = service_s
        self.running = 0
        self.arrived = 0
        self.started = 0
        self.crashes = 0
        self.is_draining = False
        self.truncates = False
        self.lies_about_id = False
        self.is_dead = False
        self.accidents = 0
        self._is_down = False
        self.is_silent_on_old = False
        self._known_transports: weakref.WeakSet = weakref.WeakSet()
        self._silent_transports: weakref.WeakSet = weakref.WeakSet()
        self.runs: Counter[str] = Counter()
        self.paths: Counter[str] = Counter()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = web.Application(client_max_size=0)
        app.router.add_route("*", "/{path:.*}", self.handle)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0, handler_cancellation=True
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, "127.0.0.1", self.port, backlog=1024)
        await self._site.start()

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        if self.is_silent_on_old:
            self.is_silent_on_old = False
            self._silent_transports |= self._known_transports
        if self.is_dead:
            request.transport.abort()
        if request.transport in self._silent_transports:
            await asyncio.Event().wait()
        self._known_transports.add(request.transport)
        self.arrived += 1
        headers = {
            "X-Request-Id": "someone-else" if self.lies_about_id else self._id(request),
            "X-Load": f"{self.running}/{self.slots}",
        }
        if self.is_draining:
            headers["X-Draining"] = "1"
        if self.running >= self.slots or self.is_draining:
            return web.Response(status=503, headers={**headers, "X-Outcome": "not-run"})
        self.running += 1
        self.started += 1
        try:
            return await self._run(request, headers)
        finally:
            self.running -= 1

    async def _run(self, request: web.Request, headers: dict[str, str]) -> web.StreamResponse:
        body = xxhash.xxh3_128()
        length = 0
        async for part in request.content.iter_any():
            body.update(part)
            length += len(part)
        work = request.headers.get("X-Work-Id", "")
        self.runs[work] += 1
        self.paths[request.path] += 1
        if request.path.startswith(CRASH_PATH) or self._has_accident():
            return await self._crash(request)
        await asyncio.sleep(self.service_s * (2 if self.started <= COLD_REQUESTS else 1))
        size = int(request.query.get("bytes", "0"))
        document = {
            "server": self.name,
            "work": work,
            "path": request.path,
            "body": body.hexdigest(),
            "body_bytes": length,
            "forwarded": sorted(name.lower() for name in request.headers),
            "fill": "x" * size,
        }
        payload = json.dumps(document).encode()
        if not self.truncates:
            return web.Response(body=payload, content_type="application/json", headers=headers)
        response = web.StreamResponse(headers={**headers, "Content-Length": str(len(payload))})
        await response.prepare(request)
        await response.write(payload[: len(payload) // 2])
        request.transport.close()
        return response

    def _has_accident(self) -> bool:
        self.accidents -= 1
        return self.accidents >= 0

    async def _crash(self, request: web.Request) -> web.StreamResponse:
        self.crashes += 1
        if self._is_down:
            request.transport.abort()
            return web.Response(status=500)
        self._is_down = True
        await self._site.stop()
        request.transport.abort()
        asyncio.get_running_loop().create_task(self._restart())
        await asyncio.sleep(DOWN_S)
        return web.Response(status=500)

    async def _restart(self) -> None:
        await self.stop()
        await asyncio.sleep(DOWN_S)
        await self.start()
        self._is_down = False

    def _id(self, request: web.Request) -> str:
        return request.headers.get("X-Request-Id", "")


class BackendFleet:
    """Several servers in one process, with a control port."""

    def __init__(self, servers: list[BackendServer]) -> None:
        self.by_name = {server.name: server for server in servers}

    async def start(self, port: int) -> None:
        for server in self.by_name.values():
            await server.start()
        app = web.Application()
        app.router.add_post("/control", self.control)
        app.router.add_get("/report", self.report)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()

    async def control(self, request: web.Request) -> web.Response:
        for name, values in (await request.json()).items():
            for field, value in values.items():
                setattr(self.by_name[name], field, value)
        return web.json_response({})

    async def report(self, request: web.Request) -> web.Response:
        document = {
            name: {
                "runs": server.runs,
                "paths": server.paths,
                "arrived": server.arrived,
                "started": server.started,
                "crashes": server.crashes,
            }
            for name, server in self.by_name.items()
        }
        return web.json_response(document)


async def _main(port: int, specs: list[str]) -> None:
    servers = []
    for spec in specs:
        name, server_port, slots, service_s = spec.split(":")
        servers.append(BackendServer(name, int(server_port), int(slots), float(service_s)))
    await BackendFleet(servers).start(port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int)
    parser.add_argument("servers", nargs="+", help="NAME:PORT:SLOTS:SERVICE_S")
    arguments = parser.parse_args()
    with suppress(KeyboardInterrupt):
        asyncio.run(_main(arguments.port, arguments.servers))
