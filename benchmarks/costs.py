"""CPU time of a lookup, a proxied request and a hop between instances, against bare libraries."""

import asyncio
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import contextmanager, suppress

import aiohttp
import cbor2
from aiohttp import web
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

from papayalever.cluster.links import LinkPool, LinkServer
from papayalever.cluster.membership import MembershipTable
from papayalever.cluster.messages import Member, Sync, SyncReply
from papayalever.config.bundles import LoadedConfiguration
from papayalever.config.loader import load_configuration
from papayalever.lookup.directory import Directory
from papayalever.metrics import Metrics
from papayalever.proxy.callers import CallerListener
from papayalever.proxy.shared import SharedState
from papayalever.settings import Limits
from tests.support.cluster import Cluster, Shape, free_ports

from .blocks import HOMES, make_text
from .load import send_closed_loop
from .membership import read_cpu_s
from .report import print_rows

REQUESTS = 8_000
HOPS = 5_000
BLOCKS = 120_000
MEMBERS = 700
ROUNDS = 3
CONSTANT_BODY = b"{" + b'"service": "shop"' + b" " * 600 + b"}"


def make_member(number: int) -> Member:
    """Return a cluster member in one of the 77 home regions."""
    home = HOMES[number % len(HOMES)]
    return Member(f"i{number}", number, 0, home, f"{home}-a", f"10.1.0.{number % 250}:80", "", "")


async def serve_lookups(port: int) -> None:
    """Serve lookups with the real listener, 120,000 caller blocks and 700 members."""
    table = MembershipTable(make_member(0))
    table.merge([make_member(number) for number in range(1, MEMBERS)], 0.0)
    directory = Directory(table)
    text = make_text(BLOCKS)
    loaded = LoadedConfiguration(1, "", b"", "", load_configuration(text))
    directory.set_configuration(loaded)
    shared = SharedState(None, None, None, None, None, Metrics(dict), None)
    listener = CallerListener(f"127.0.0.1:{port}", Limits(), directory, shared)
    await listener.start()
    await asyncio.Event().wait()


async def serve_constant(port: int) -> None:
    """Serve a constant body about as long as a lookup response."""

    async def handle(request: web.Request) -> web.Response:
        return web.Response(body=CONSTANT_BODY, content_type="application/json")

    app = web.Application()
    app.router.add_get("/{path:.*}", handle)
    await run_app(app, port)


async def serve_forwarder(port: int, backend: str) -> None:
    """Forward every request to ``backend`` without further work."""
    session = aiohttp.ClientSession()

    async def handle(request: web.Request) -> web.Response:
        url = f"http://{backend}{request.raw_path}"
        async with session.request(request.method, url) as response:
            return web.Response(status=response.status, body=await response.read())

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    await run_app(app, port)


async def run_app(app: web.Application, port: int) -> None:
    """Listen until cancelled."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


@contextmanager
def start_server(*arguments: str):
    """Run a server of this module in its own process; yield its address and process ID."""
    (port,) = free_ports(1)
    command = [sys.executable, "-m", "benchmarks.costs", arguments[0], str(port), *arguments[1:]]
    process = subprocess.Popen(command)
    try:
        yield f"127.0.0.1:{port}", process.pid
    finally:
        process.kill()
        process.wait()


async def wait_open(address: str) -> None:
    """Wait until a server accepts connections."""
    host, port = address.split(":")
    while True:
        with suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        await asyncio.sleep(0.1)


async def measure_server(address: str, pid: int, path: str, host: str) -> float:
    """Return the server's CPU time per request in microseconds."""
    await wait_open(address)
    headers = {"Host": host}
    await send_closed_loop(address, path, headers, REQUESTS // 8)
    before = read_cpu_s(pid)
    await send_closed_loop(address, path, headers, REQUESTS)
    return (read_cpu_s(pid) - before) / REQUESTS * 1e6


async def measure_lookups() -> tuple[float, float]:
    """Measure a lookup and a constant response."""
    path = "/-/lookup?service=shop&caller=1.2.3.4"
    with start_server("lookups") as (address, pid):
        own_us = await measure_server(address, pid, path, "any")
    with start_server("constant") as (address, pid):
        bare_us = await measure_server(address, pid, path, "any")
    return own_us, bare_us


async def measure_forwarding() -> tuple[float, float]:
    """Measure a proxied request and a bare forwarder with the same backend server."""
    shape = Shape({"noord": ["noord-a"]}, slots=64, service_s=0.0)
    async with Cluster(shape) as cluster:
        await cluster.apply()
        await cluster.wait_for(lambda: cluster.all_at(1))
        instance = next(iter(cluster.by_id.values()))
        own_us = await measure_server(
            instance.caller, instance.process.pid, "/normal", "logboek.example"
        )
        backend = cluster.backends[0]["address"]
        with start_server("forwarder", backend) as (address, pid):
            bare_us = await measure_server(address, pid, "/normal", "logboek.example")
    return own_us, bare_us


async def measure_hops() -> tuple[float, float]:
    """Measure a heartbeat round trip and a bare WebSocket echo of a similar message, both ends."""
    member = make_member(1)
    sync = Sync(member, 10, [], {"config": 3, "plan": 9, "ledger/noord": 4}, [])
    reply = SyncReply(1, 2, [], [], [])
    port, bare_port = free_ports(2)
    server = LinkServer(f"127.0.0.1:{port}", lambda message: reply)
    await server.start()
    pool = LinkPool()
    address = f"127.0.0.1:{port}"
    own_us = await time_calls(lambda: pool.request(address, sync, 1.0))
    await pool.close()
    await server.close()

    async def echo(socket) -> None:
        async for frame in socket:
            await socket.send(cbor2.dumps(cbor2.loads(frame)))

    payload = [1, [member.id, 1, 0, member.region, member.failure_domain, "", "", ""], 10, [], {}]
    async with serve(echo, "127.0.0.1", bare_port, compression=None):
        async with connect(f"ws://127.0.0.1:{bare_port}", compression=None) as socket:

            async def call() -> None:
                await socket.send(cbor2.dumps(payload))
                cbor2.loads(await socket.recv())

            bare_us = await time_calls(call)
    return own_us, bare_us


async def time_calls(call: Callable[[], Awaitable]) -> float:
    """Return the CPU time per call in microseconds, after a warm-up."""
    for _ in range(HOPS // 10):
        await call()
    started_at = time.process_time()
    for _ in range(HOPS):
        await call()
    return (time.process_time() - started_at) / HOPS * 1e6


async def main() -> None:
    """Print the medians over all rounds for each comparison."""
    rows = []
    for name, measure, target in (
        ("lookup, 120,000 blocks, 700 members", measure_lookups, 1.3),
        ("proxied request", measure_forwarding, 1.5),
        ("hop between instances, both ends", measure_hops, 1.5),
    ):
        pairs = [await measure() for _ in range(ROUNDS)]
        own_us = sorted(pair[0] for pair in pairs)[ROUNDS // 2]
        bare_us = sorted(pair[1] for pair in pairs)[ROUNDS // 2]
        ratio = sorted(pair[0] / pair[1] for pair in pairs)[ROUNDS // 2]
        rows.append([name, f"{own_us:.0f}", f"{bare_us:.0f}", f"{ratio:.2f}", f"{target}"])
    print_rows(["path", "us", "bare library us", "ratio (median)", "target"], rows)


SERVERS = {"lookups": serve_lookups, "constant": serve_constant, "forwarder": serve_forwarder}

if __name__ == "__main__":
    if len(sys.argv) > 1:
        asyncio.run(SERVERS[sys.argv[1]](int(sys.argv[2]), *sys.argv[3:]))
    else:
        asyncio.run(main())
