"""A small deployment on loopback addresses: store, upstreams, entry instances and callers.

The entry instances are processes of the project's own program, with the command of the deploy
file. The store runs in the process of the script; each upstream is a process of `upstream.py`.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path

from upstream import HEARTBEAT_S, read_message

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
ZONES = {"cdmx-a": "cdmx", "cdmx-b": "cdmx", "gdl-a": "gdl"}
HOST = "ficu95.example"
BOUNDS = (
    "seed_lag_s=3,reuse_after_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,"
    "grace_s=6,loss_slack_ms=200,config_ms=2000,regression_slack_ms=250,outer_ms=5000,"
    "retry_budget_ratio=0.2,budget_window_s=10,retry_budget_extra=116,cold_over=1.5,cold_slack=5,"
    "evacuation_ms=5000,recovery_s=15,ttl_max_s=5,shift_most=0.15"
)
"""The bounds of the site file tlaloc-gslb."""
CONTACT_S = 3.0
HISTORY_S = 20.0
METRICS_PORT = 9464
"""The program listens there on the machine's address, as the deploy file says."""
PAGE = 500
"""Objects of a page of a list."""
COLD_PER_S, COLD_OVER, COLD_SLACK = 6.9, 1.5, 5.0


class CannotRunError(Exception):
    """The case could not be run; says nothing about the rule."""


@dataclass(frozen=True)
class Stored:
    """An object of the store, and its encoded form, which is made once."""

    name: str
    spec: dict
    text: str
    at: float


class Store:
    """The platform's object store: kinds, revisions, watches, leases of upstreams."""

    def __init__(self) -> None:
        self.revision = 1
        self.object_by_key: dict[tuple[str, str], Stored] = {}
        self.history: list[tuple[int, str, Stored, bool]] = []
        self.oldest = 0
        """The oldest revision that can be watched."""
        self.renewed_at: dict[str, float] = {}
        self.is_busy = False
        """Whether it answers every call with 503."""
        self.is_stopped = False
        self.software = "v1"
        """Version of the software that the upstreams name."""
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    async def start(self, host: str, port: int) -> None:
        await asyncio.start_server(self._enter, host, port)
        self._tasks.append(asyncio.create_task(self._expire()))

    async def start_view(self, address: str, address_by_real: dict[str, str]) -> None:
        """Serve machines that reach each upstream over a path of their own."""

        def enter(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._enter(reader, writer, address_by_real)

        host, port = address.split(":")
        await asyncio.start_server(enter, host, int(port))

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            for name, at in list(self.renewed_at.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S and not self.is_busy:
                    del self.renewed_at[name]
                    self.delete("servers", name)
            self._forget_history()

    def _forget_history(self) -> None:
        """Keep the changes of the last `HISTORY_S`."""
        while self.history and time.monotonic() - self.history[0][2].at > HISTORY_S:
            self.oldest = self.history.pop(0)[0]

    def put(self, kind: str, name: str, spec) -> Stored:
        if kind == "servers":
            self.renewed_at[name] = time.monotonic()
            spec = spec | {"version": self.software}
        known = self.object_by_key.get((kind, name))
        # A heartbeat that only counts on is no change of an upstream's entry.
        if known and known.spec | {"sequence": 0} == spec | {"sequence": 0}:
            return known
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        text = json.dumps({"metadata": metadata, "spec": spec})
        item = Stored(name, spec, text, time.monotonic())
        self.object_by_key[kind, name] = item
        self._note(kind, item, False)
        return item

    def renew_servers(self) -> None:
        """Change the entries of all upstreams at once, so that every reader hears of it itself."""
        self.software = "v2"
        for (kind, name), item in list(self.object_by_key.items()):
            if kind == "servers":
                self.put(kind, name, item.spec)

    def delete(self, kind: str, name: str) -> bool:
        item = self.object_by_key.pop((kind, name), None)
        if item is None:
            return False
        self.revision += 1
        self._note(kind, replace(item, at=time.monotonic()), True)
        return True

    def _note(self, kind: str, item: Stored, is_deleted: bool) -> None:
        self.history.append((self.revision, kind, item, is_deleted))
        self.wake()

    async def stop(self) -> None:
        self.is_stopped = True
        self.wake()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _enter(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address_by_real: dict[str, str] | None = None,
    ) -> None:
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(asyncio.create_task(self._serve(reader, writer, address_by_real or {})))

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address_by_real: dict[str, str],
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while not self.is_stopped:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                status, text = await self._answer(method, target, body)
                for real, address in address_by_real.items():
                    text = text.replace(f'"{real}"', f'"{address}"')
                data = text.encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, str]:
        if self.is_busy:
            return 503, "{}"
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        _, _, kind, *rest = path.split("/")
        name = urllib.parse.unquote(rest[0]) if rest else ""
        if method == "GET" and "watch" in fields:
            return await self._watch(kind, int(fields["watch"]), int(fields.get("wait_ms", 0)))
        if method == "GET" and not name:
            return 200, self._list(kind, fields.get("after", ""))
        known = self.object_by_key.get((kind, name))
        if method == "GET":
            return (200, known.text) if known else (404, "{}")
        if method == "DELETE":
            return (200, "{}") if self.delete(kind, name) else (404, "{}")
        document = json.loads(body)
        name = name or document["metadata"]["name"]
        known = self.object_by_key.get((kind, name))
        if method == "POST" and known:
            return 409, known.text
        if method == "PUT" and not known:
            return 404, "{}"
        return 200, self.put(kind, name, document["spec"]).text

    def _list(self, kind: str, after: str) -> str:
        items = [item for (other, _), item in self.object_by_key.items() if other == kind]
        items = sorted((item for item in items if item.name > after), key=lambda item: item.name)
        texts = ",".join(item.text for item in items[:PAGE])
        has_more = json.dumps(len(items) > PAGE)
        return f'{{"items":[{texts}],"has_more":{has_more},"as_of":{self.revision}}}'

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, str]:
        end = time.monotonic() + wait_ms / 1000
        while True:
            if not self.oldest <= since <= self.revision:
                return 410, "{}"
            if self.is_busy or self.is_stopped:
                return 503, "{}"
            events = [
                f'{{"object":{item.text},"deleted":{json.dumps(is_deleted)}}}'
                for revision, other, item, is_deleted in self.history
                if other == kind and revision > since
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, f'{{"events":[{",".join(events)}],"as_of":{self.revision}}}'
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


def route(name: str, prefix: str, kind: str, service: str, **changes) -> dict:
    spec = {
        "host": HOST,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 300,
        "priority": 0 if kind == "safe" else 1,
        "service": service,
        "attempts": 2,
        "session_affinity": True,
        "allowed_regions": [],
    }
    return {"entry_kind": "routes", "metadata": {"name": name}, "spec": spec | changes}


def configuration(routes: list[dict], services: list[str]) -> dict:
    resources = list(routes)
    for name in services:
        spec = {
            "health_path": "/healthz",
            "max_connections": 660,
            "protocol": "h1",
            "tls": False,
            "warmup_s": 3.0,
            "warmup_per_s": COLD_PER_S,
        }
        resources.append({"entry_kind": "services", "metadata": {"name": name}, "spec": spec})
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    resources.append({"entry_kind": "limits", "metadata": {}, "spec": limits})
    return {"version": "r7", "base_version": "r5", "resources": resources}


@dataclass
class Machine:
    """One entry instance."""

    name: str
    ip: str
    zone: str
    ports: dict[str, int]
    store: str = ""
    """Address of the store for this machine, if it is not that for all."""
    process: subprocess.Popen | None = None

    @property
    def front(self) -> str:
        return self.address("front")

    def address(self, listener: str) -> str:
        """Address of one of the machine's listeners."""
        return f"{self.ip}:{self.ports[listener]}"


@dataclass
class Server:
    """One upstream, over several runs."""

    id: str
    address: str
    zone: str
    service: str
    options: list[str] = field(default_factory=list)
    process: subprocess.Popen | None = None


@dataclass
class Answer:
    """What a caller got; status 0 means that the connection ended without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """One kept connection of a caller."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.was_closed = False
        """Whether the other side ended the connection of the last request without an answer."""

    async def ask(
        self,
        method: str,
        target: str,
        request_id: str,
        key: str = "",
        body: bytes = b"",
        deadline_ms: int = 2500,
    ) -> Answer:
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self.writer is None:
                    host, port = self.address.split(":")
                    self.reader, self.writer = await asyncio.open_connection(host, int(port))
                head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
                head += f"Deadline-Ms: {deadline_ms}\r\n"
                head += f"Cookie: Affinity-Key={key}\r\n" if key else ""
                head += f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
                self.writer.write(f"{head}\r\n".encode() + body)
                first, headers, answer = await read_message(self.reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.was_closed = not isinstance(error, TimeoutError)
            self.close()
            return Answer(0, {}, b"")
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(first.split(" ")[1]), headers, answer)

    def close(self) -> None:
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


class Deployment:
    """Starts everything, keeps the record and ends all processes that it started."""

    def __init__(self, record: Path) -> None:
        self.record_path = record
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store = Store()
        self.ports = find_ports()
        self.store_address = f"{self.net}.1:{self.ports['store']}"
        self.zone_store = f"{self.net}.1:{self.ports['zone store']}"
        """Address of the store for the machines of a zone that can be cut off."""
        self.memory_mb = 222
        self.seeds: list[Machine] | None = None
        """Those that the settings name, if they are not the first machines."""
        self.machines: list[Machine] = []
        self.servers: list[Server] = []
        self.events: list[dict] = []
        self.folder = tempfile.TemporaryDirectory()
        self.began = time.monotonic()
        self.is_over = False
        """Whether no process may be started any more."""
        self._ips = itertools.count(10)
        self._ids = itertools.count(1)
        self._readers: list[asyncio.Task] = []
        self._processes: list[subprocess.Popen] = []
        self._record = record.open("w")

    async def __aenter__(self) -> "Deployment":
        host, port = self.store_address.split(":")
        await self.store.start(host, int(port))
        return self

    async def __aexit__(self, *_) -> None:
        self.is_over = True
        for process in self._processes:
            if process.poll() is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for reader in self._readers:
            reader.cancel()
        await self.store.stop()
        self.folder.cleanup()
        self._record.close()

    def note(self, text: str) -> None:
        self._record.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self._record.flush()

    def new_id(self) -> str:
        return f"{os.getpid():08x}{next(self._ids):08x}"

    # Processes.

    def _spawn(self, command: list[str], **options) -> subprocess.Popen:
        process = subprocess.Popen(command, **options)
        self._processes.append(process)
        return process

    def add_machine(self, zone: str) -> Machine:
        number = next(self._ips)
        machine = Machine(f"edge-{zone}-{number}", f"{self.net}.{number}", zone, self.ports)
        self.machines.append(machine)
        return machine

    def settings(self, machine: Machine) -> str:
        known = self.machines[:3] if self.seeds is None else self.seeds
        seeds = ",".join(item.address("control") for item in known)
        zones = "".join(f"zones.{zone}={region}\n" for zone, region in ZONES.items())
        return (
            f"node_name={machine.name}\nrole=entry\nmachine_class=edge\n"
            f"serves=edge,directory,control_plane\nip={machine.ip}\nzone={machine.zone}\n"
            f"region={ZONES[machine.zone]}\n{zones}listen.front={machine.front}\n"
            f"listen.ready={machine.address('ready')}\n"
            f"listen.control={machine.address('control')}\n"
            f"listen.directory={machine.address('directory')}\ninternal_ports=7660,7675\nseeds={seeds}\n"
            "bootstrap=true\nlimits.cpu_share=0.602\nlimits.cores=1\n"
            f"limits.memory_mb={self.memory_mb}\n"
            "limits.max_fds=2870\nlimits.link_mbps=700.0\nlimits.disk_mb=0\ndiscovery=platform\n"
            "entry=directory\nheartbeat_ms=1500\n"
            f"bounds={BOUNDS}\nprovider.address={machine.store or self.store_address}\n"
            "provider.form=objects\n"
            "provider.writes_per_s=400\nprovider.reads_per_s=2000\nprovider.history_s=20\n"
            "provider.value_bytes=1048576\n"
        )

    def write_settings(self, machine: Machine) -> Path:
        """Put the settings file of a machine in place at once."""
        path = Path(self.folder.name) / f"{machine.name}.conf"
        draft = path.with_suffix(".draft")
        draft.write_text(self.settings(machine))
        draft.replace(path)
        return path

    def start_machine(self, machine: Machine) -> None:
        if self.is_over:
            return
        path = self.write_settings(machine)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": self.folder.name,
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "PAPAYALEVER_BOOT": str(path),
        }
        log_path = os.environ.get("LOG_FOLDER", self.folder.name)
        with open(Path(log_path) / f"{machine.name}.log", "ab") as log:
            machine.process = self._spawn(
                [sys.executable, "-m", "papayalever.platform.program"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.note(f"machine {machine.name} started at {machine.front}")

    def add_server(self, zone: str, service: str, *options: str) -> Server:
        number = next(self._ips)
        server = Server(
            f"i-{number:08x}", f"{self.net}.{number}:{self.ports['server']}", zone, service
        )
        server.options = list(options)
        self.servers.append(server)
        return server

    def path_address(self, server: Server) -> str:
        """Address of the proxy that is a zone's way to an upstream."""
        return f"{server.address.split(':')[0]}:{self.ports['path']}"

    def start_server(self, server: Server, *options: str) -> None:
        if self.is_over:
            return
        command = [sys.executable, str(HERE / "upstream.py"), "--id", server.id]
        command += ["--address", server.address, "--zone", server.zone]
        command += ["--service", server.service, "--store", self.store_address]
        server.process = self._spawn(
            command + server.options + list(options), stdout=subprocess.PIPE, cwd=HERE
        )
        self.note(f"upstream {server.id} started at {server.address}")
        self._readers.append(asyncio.create_task(self._read_events(server.process)))

    async def _read_events(self, process: subprocess.Popen) -> None:
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), process.stdout)
        while line := await reader.readline():
            event = json.loads(line)
            self.events.append(event)
            self._record.write(f"{event['t'] - self.began:9.3f} {line.decode().strip()}\n")

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until every machine says that it is ready, and names itself in the directory."""
        end = time.monotonic() + timeout_s
        for machine in self.machines:
            while not await self._is_ready(machine):
                if time.monotonic() > end:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    async def _is_ready(self, machine: Machine) -> bool:
        ready = await Caller(machine.address("ready")).ask("GET", "/readyz", "")
        target = f"/resolve?name={HOST}&region={ZONES[machine.zone]}&zone={machine.zone}"
        listed = await Caller(machine.address("directory")).ask("GET", target, "")
        return ready.status == 200 and machine.front.encode() in listed.body


class ServerPath:
    """The path from a region's machines to one upstream: a proxy that can be cut."""

    def __init__(self, address: str, target: str) -> None:
        self.address, self.target = address, target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._enter, host, int(port))

    def cut(self) -> None:
        """Reset open connections and refuse new ones."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _enter(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.split(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, other_writer}
        self._writers |= pair
        await asyncio.gather(_pipe(reader, other_writer), self._pipe_back(other_reader, writer))
        self._writers -= pair

    async def _pipe_back(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _copy(reader, writer)
        await self._follow_target()
        writer.close()

    async def _follow_target(self) -> None:
        """Refuse connections as soon as the upstream does, before its end is passed on."""
        host, port = self.target.split(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
        except OSError:
            self._server.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(ConnectionError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()


async def _pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await _copy(reader, writer)
    writer.close()


def find_ports() -> dict[str, int]:
    """A free port for each purpose, below those that the system gives to outgoing connections."""
    names = ("store", "zone store", "front", "ready", "control", "directory", "server", "path")
    found: list[int] = []
    for port in random.sample(range(20_000, 32_000), 2_000):
        if len(found) < len(names) and is_free(port):
            found.append(port)
    if len(found) < len(names) or not is_free(METRICS_PORT):
        raise CannotRunError("there are not enough free ports")
    return dict(zip(names, found, strict=True))


def is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def run_case(main) -> None:
    """Run a case's coroutine function of a deployment; it returns whether the rule held."""
    record = Path(sys.argv[1])

    async def run() -> bool:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with Deployment(record) as deployment:
            return await main(deployment)

    try:
        has_held = asyncio.run(run())
    except asyncio.CancelledError:
        print("the case was ended before it was over")
        sys.exit(2)
    except CannotRunError as error:
        print(f"the case could not run: {error}")
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        print("the case could not run: a fault of the script")
        sys.exit(2)
    print("the rule held" if has_held else "the rule was broken")
    sys.exit(0 if has_held else 1)
