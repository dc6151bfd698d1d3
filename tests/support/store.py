"""Stand-in for the platform's object service: versions, conditional updates, watches, faults."""

import argparse
import asyncio
import base64
import time
from collections import Counter
from contextlib import suppress

from aiohttp import web

MAX_VALUE_BYTES = 1_000_000
WRITES_PER_S = 300
READS_PER_S = 2_000


class ObjectStore:
    """Objects, the lagging list of instances and the faults that tests switch on."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, int, bytes]] = {}
        self.instances: list[dict] = []
        self.revision = 0
        self.calls: Counter[str] = Counter()
        self.is_down = False
        self.delay_s = 0.0
        self.lost_answers = 0
        self.changed = asyncio.Condition()
        self._window = (0, Counter())

    def app(self) -> web.Application:
        app = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
        app.router.add_get("/objects/{key:.+}", self.get)
        app.router.add_put("/objects/{key:.+}", self.put)
        app.router.add_get("/watch", self.watch)
        app.router.add_get("/instances", self.list_instances)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_get("/calls", self.read_calls)
        return app

    async def get(self, request: web.Request) -> web.Response:
        await self._enter("get")
        found = self.objects.get(request.match_info["key"])
        if found is None:
            return web.Response(status=404)
        return web.Response(body=found[2], headers={"ETag": str(found[0])})

    async def put(self, request: web.Request) -> web.Response:
        body = await request.read()
        await self._enter("put")
        key = request.match_info["key"]
        version = self.objects[key][0] if key in self.objects else 0
        if int(request.headers["If-Match"]) != version:
            return web.Response(status=412)
        if len(body) > MAX_VALUE_BYTES:
            return web.Response(status=413)
        self.revision += 1
        self.objects[key] = (version + 1, self.revision, body)
        async with self.changed:
            self.changed.notify_all()
        if self.lost_answers:
            self.lost_answers -= 1
            request.transport.abort()
        return web.Response(headers={"ETag": str(version + 1)})

    async def watch(self, request: web.Request) -> web.Response:
        await self._enter("watch")
        prefix, after = request.query["prefix"], int(request.query["after"])
        if after > self.revision:
            after = 0
        with suppress(TimeoutError):
            async with asyncio.timeout(float(request.query["timeout"])), self.changed:
                await self.changed.wait_for(lambda: self._since(prefix, after) or self.is_down)
        if self.is_down:
            raise web.HTTPServiceUnavailable()
        objects = [
            {"key": key, "version": item[0], "value": base64.b64encode(item[2]).decode()}
            for key, item in self._since(prefix, after).items()
        ]
        return web.json_response({"revision": self.revision, "objects": objects})

    async def list_instances(self, request: web.Request) -> web.Response:
        await self._enter("list")
        return web.json_response(self.instances)

    async def set_faults(self, request: web.Request) -> web.Response:
        faults = await request.json()
        for name in ("is_down", "delay_s", "lost_answers", "instances"):
            if name in faults:
                setattr(self, name, faults[name])
        async with self.changed:
            self.changed.notify_all()
        return web.json_response({})

    async def read_calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.calls)

    def _since(self, prefix: str, after: int) -> dict[str, tuple[int, int, bytes]]:
        return {
            key: item
            for key, item in self.objects.items()
            if key.startswith(prefix) and item[1] > after
        }

    async def _enter(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.is_down:
            raise web.HTTPServiceUnavailable()
        second = int(time.monotonic())
        if self._window[0] != second:
            self._window = (second, Counter())
        group = "write" if kind == "put" else "read"
        self._window[1][group] += 1
        if self._window[1][group] > (WRITES_PER_S if group == "write" else READS_PER_S):
            raise web.HTTPTooManyRequests()
        await asyncio.sleep(self.delay_s)


async def start_store(port: int) -> web.AppRunner:
    store = ObjectStore()
    runner = web.AppRunner(store.app(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


async def _main(port: int) -> None:
    await start_store(port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int)
    with suppress(KeyboardInterrupt):
        asyncio.run(_main(parser.parse_args().port))
