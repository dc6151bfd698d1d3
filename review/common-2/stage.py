"""Stand-ins of a small deployment on loopback: the store, upstreams, clients, and the platform that
starts and stops the project's own program. Standard library only; everything runs on the real
clock. The program runs as separate processes, with the command of `deploy/system.toml`.
"""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import weakref
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
HEARTBEAT_S = 1.5
TRAFFIC_AFTER_S = 10.0
"""Traffic starts so long after the machines do (SYSTEM.md)."""
HOST = "papaya.example"
ZONES = {"noord-a": "noord", "noord-b": "noord"}
STATUS_TEXTS = {
    200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
    421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable",
}
_ids = itertools.count(1)


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


def now() -> float:
    return time.monotonic()


def new_id() -> str:
    """A new `Attempt-Id`."""
    return f"{os.getpid():06x}{next(_ids):010x}"


class Record:
    """What was sent, answered and run, one JSON object per line of `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = now()

    def note(self, event: str, **fields) -> None:
        at = round(now() - self._started, 4)
        print(json.dumps({"at": at, "event": event, **fields}), file=self._file, flush=True)


class HttpPeer(asyncio.Protocol):
    """Server side of one HTTP/1.1 connection; one request at a time, bodies with a length."""

    def __init__(self, handle, peers: set) -> None:
        self._handle, self._peers = handle, peers
        self._data = bytearray()
        self._task: asyncio.Task | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._peers.add(self)

    def connection_lost(self, exc) -> None:
        self._peers.discard(self)
        if self._task:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        self._data += data
        self._next()

    def _next(self) -> None:
        if self._task:
            return
        end = self._data.find(b"\r\n\r\n")
        if end < 0:
            return
        first, *lines = bytes(self._data[:end]).decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = end + 4 + int(headers.get("content-length", 0))
        if len(self._data) < size:
            return
        body = bytes(self._data[end + 4 : size])
        del self._data[:size]
        method, target, _ = first.split(" ")
        self._task = asyncio.get_running_loop().create_task(
            self._run(method, target, headers, body)
        )

    async def _run(self, method: str, target: str, headers: dict, body: bytes) -> None:
        answer = await self._handle(self, method, target, headers, body)
        self._task = None
        if self.transport.is_closing():
            return
        if answer is None:
            self.transport.abort()
            return
        status, fields, content = answer
        head = [f"HTTP/1.1 {status} {STATUS_TEXTS.get(status, 'Status')}"]
        head += [f"{name}: {value}" for name, value in fields]
        head.append(f"Content-Length: {len(content)}")
        self.transport.write(("\r\n".join(head) + "\r\n\r\n").encode() + content)
        self._next()


class Store:
    """The platform's store: objects by kind and name, one revision counter, lists and watches."""

    def __init__(self) -> None:
        self.address = ""
        self.is_away = False
        """Whether it is down: connections are refused or reset."""
        self._revision = 10
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._peers: set[HttpPeer] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        self.address = address
        host, port = address.split(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: HttpPeer(self._handle, self._peers), host, int(port)
        )

    async def go_away(self) -> None:
        """The store is down; what it acknowledged stays."""
        self.is_away = True
        self._server.close()
        for peer in list(self._peers):
            peer.transport.abort()

    async def come_back(self) -> None:
        self.is_away = False
        await self.start(self.address)

    def put(self, kind: str, name: str, spec) -> dict:
        old = self._objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        self._revision += 1
        item = {"metadata": {"name": name, "revision": self._revision}, "spec": spec}
        self._objects[kind, name] = item
        self._note(kind, item, False)
        return item

    def drop(self, kind: str, name: str) -> bool:
        item = self._objects.pop((kind, name), None)
        if item:
            self._revision += 1
            self._note(kind, item, True)
        return item is not None

    def names(self, kind: str) -> list[str]:
        return sorted(name for other, name in self._objects if other == kind)

    def _note(self, kind: str, item: dict, is_deleted: bool) -> None:
        self._history.append((self._revision, kind, item, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, peer, method: str, target: str, headers: dict, body: bytes):
        await asyncio.sleep(0.004)
        status, document = await self._call(method, target, body)
        content = json.dumps(document).encode()
        return status, [("Content-Type", "application/json")], content

    async def _call(self, method: str, target: str, body: bytes):
        path, _, query_text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        _, _, kind, *rest = [unquote(part) for part in path.split("/")]
        if method == "GET" and rest:
            item = self._objects.get((kind, rest[0]))
            return (200, item) if item else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        if method == "GET":
            names = [name for name in self.names(kind) if name > query.get("after", "")]
            items = [self._objects[kind, name] for name in names[:500]]
            more = len(names) > 500
            return 200, {"items": items, "has_more": more, "as_of": self._revision}
        if method == "POST":
            document = json.loads(body)
            name = document["metadata"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 201, self.put(kind, name, document["spec"])
        if method == "PUT":
            if (kind, rest[0]) not in self._objects:
                return 404, {}
            return 200, self.put(kind, rest[0], json.loads(body)["spec"])
        return (200, {}) if self.drop(kind, rest[0]) else (404, {})

    async def _watch(self, kind: str, since: int, wait_s: float):
        end = now() + wait_s
        while True:
            events = [
                {"object": item, "deleted": is_deleted}
                for revision, other, item, is_deleted in self._history
                if other == kind and revision > since
            ]
            left_s = end - now()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass


class Upstream:
    """An upstream that registers itself, runs a few requests at a time and may end and restart."""

    def __init__(self, stage: "Stage", name: str, service: str, zone: str, run_s: float) -> None:
        self.stage, self.id, self.service, self.zone, self.run_s = stage, name, service, zone, run_s
        self.address = stage.new_address()
        self.slots, self.queue = 4, 12
        self.phase = "ready"
        self.answer_bytes = 600
        self.behave = None
        """Coroutine function of (upstream, target, headers) that returns an answer, or None for the
        usual one."""
        self.is_up = False
        self.cold_until = 0.0
        self.cold_s = 0.0
        self.running = self.waiting = 0
        self.starts = 0
        self._slots_free: asyncio.Semaphore | None = None
        self._sequence = 0
        self._born = 0
        self._peers: set[HttpPeer] = set()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self.silent_since = 0.0

    async def start(self, is_cold: bool = False) -> None:
        host, port = self.address.split(":")
        self._born, self._sequence = int(time.time() * 1000), 0
        self.starts += 1
        self._slots_free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        self.cold_until = now() + self.cold_s if is_cold else 0.0
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpPeer(self._handle, self._peers), host, int(port), backlog=512
        )
        self.is_up = True
        self._tasks = [loop.create_task(self._beat())]
        self.stage.record.note("upstream started", upstream=self.id, cold_s=self.cold_s * is_cold)

    def end(self) -> None:
        """End at once, as a crashed process does: connections are reset, the port is closed."""
        self.is_up = False
        self._server.close()
        for peer in list(self._peers):
            peer.transport.abort()
        for task in self._tasks:
            task.cancel()
        self.silent_since = now()
        self.stage.record.note("upstream ended", upstream=self.id)

    async def crash(self, down_s: float) -> None:
        """End, and be back after some seconds."""
        if not self.is_up:
            return
        self.end()
        self.stage.spawn(self._return(down_s))

    async def _return(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.start(is_cold=self.cold_s > 0)

    def write_entry(self) -> None:
        self._sequence += 1
        if self.stage.store.is_away:
            return
        left_ms = max(0, int((self.cold_until - now()) * 1000))
        spec = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "max_concurrency": self.slots, "phase": self.phase, "warmup_left_ms": left_ms,
            "sequence": self._sequence, "born": self._born,
        }
        self.stage.store.put("servers", self.id, spec)

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, peer, method: str, target: str, headers: dict, body: bytes):
        if target == "/healthz":
            left_ms = max(0, int((self.cold_until - now()) * 1000))
            load = f"{self.running},{self.waiting},{self.slots}"
            fields = [("Instance-Id", self.id), ("Server-Load", load)]
            return 200, fields + ([("Warmup-Ms", left_ms)] if left_ms else []), b""
        attempt = headers.get("attempt-id", "")
        if headers.get("target-instance", self.id) != self.id:
            return 421, [("Instance-Id", self.id), ("Attempt-Id", attempt)], b""
        self.stage.note_arrival(self, attempt, method, target, headers, body)
        if self.behave:
            answer = await self.behave(self, target, headers)
            if answer == "crash":
                return None
            if answer:
                return answer
        if self.waiting >= self.queue:
            return 503, [("Attempt-Id", attempt), ("Not-Executed", "1")], b""
        self.waiting += 1
        try:
            await self._slots_free.acquire()
        finally:
            self.waiting -= 1
        slots = self._slots_free
        self.running += 1
        try:
            self.stage.record.note("run", upstream=self.id, attempt=attempt, target=target)
            await asyncio.sleep(self.run_s)
        finally:
            self.running -= 1
            slots.release()
        load = f"{self.running},{self.waiting},{self.slots}"
        content = self.content(attempt)
        seal = f"{attempt}.{len(content)}.{self.id}"
        fields = [("Attempt-Id", attempt), ("Response-Seal", seal), ("Server-Load", load)]
        return 200, fields, content

    def content(self, attempt: str) -> bytes:
        """The body of an answer, which names the request."""
        text = f"answer to {attempt}\n".encode()
        return (text * (self.answer_bytes // len(text) + 1))[: self.answer_bytes]


class Machine:
    """A machine of the system: its settings file and its process."""

    def __init__(self, stage: "Stage", name: str, zone: str, ip: str) -> None:
        self.stage, self.name, self.zone, self.ip = stage, name, zone, ip
        self.front, self.control = f"{ip}:8144", f"{ip}:8146"
        self.settings = stage.folder / f"{name}.conf"
        self.log = stage.folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file as a whole, by a rename."""
        bounds = ",".join(f"{name}={value}" for name, value in self.stage.bounds.items())
        lines = {
            "node_name": self.name, "role": "entry", "machine_class": "edge",
            "serves": "edge,directory,control_plane", "ip": self.ip, "zone": self.zone,
            "region": ZONES[self.zone], **{f"zones.{z}": r for z, r in ZONES.items()},
            "listen.front": self.front, "listen.ready": f"{self.ip}:8140",
            "listen.control": self.control, "listen.directory": f"{self.ip}:8143",
            "internal_ports": "7660,7675", "seeds": ",".join(seeds), "bootstrap": "true",
            "in_failure_budget": "false", "limits.cpu_share": "0.602", "limits.cores": "1",
            "limits.memory_mb": str(self.stage.memory_mb), "limits.max_fds": "2870",
            "limits.link_mbps": "700.0", "limits.disk_mb": "0", "discovery": "platform",
            "entry": "directory", "heartbeat_ms": str(int(HEARTBEAT_S * 1000)),
            "contracts": "base,drain,config,cost,retry,recover,places,platform",
            "fault_tolerance.machines": "1", "fault_tolerance.zones": "1",
            "fault_tolerance.regions": "1", "bounds": bounds,
            "provider.address": self.stage.store.address, "provider.form": "objects",
            "provider.writes_per_s": "400", "provider.reads_per_s": "2000",
            "provider.history_s": "20", "provider.value_bytes": "1048576",
            "provider.ttl_min_ms": "1000",
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        new = self.settings.with_suffix(".new")
        new.write_text(text)
        new.rename(self.settings)

    def start(self) -> None:
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables |= {"PAPAYALEVER_BOOT": str(self.settings), "PYTHONPATH": str(ROOT / "target/deps")}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=variables, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.stage.record.note("machine started", machine=self.name)

    def send(self, number: signal.Signals) -> None:
        self.stage.record.note("signal", machine=self.name, signal=number.name)
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        end = now() + timeout_s
        while now() < end:
            try:
                async with asyncio.timeout(1.0):
                    client = await Client.connect(f"{self.ip}:8140")
                    client.send("GET", "/readyz", new_id())
                    reply = await client.read()
                    client.close()
                if reply.status == 200:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")

    def memory_kb(self) -> int:
        """Memory of the process itself, without pages of files."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(next(line for line in text.splitlines() if line.startswith("RssAnon")).split()[1])


class Reply:
    """What a client got; status 0 means that the connection ended without a whole answer."""

    def __init__(self, status: int = 0, headers: dict | None = None, body: bytes = b"") -> None:
        self.status, self.headers, self.body = status, headers or {}, body
        self.is_cut = False
        """Whether the answer began and did not end."""
        self.attempt = ""


class Client:
    """One connection of a client."""

    opened: weakref.WeakSet = weakref.WeakSet()

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.opened.add(self)

    @classmethod
    async def connect(cls, address: str, limit: int = 1 << 16) -> "Client":
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=limit))

    def send(
        self, method: str, target: str, attempt: str, deadline_ms: int = 3000, body: bytes = b"",
        key: str = "",
    ) -> None:
        lines = [
            f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}",
            f"Deadline-Ms: {deadline_ms}",
        ]
        if key:
            lines.append(f"Cookie: Affinity-Key={key}")
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def read(self) -> Reply:
        reply = Reply()
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.rstrip().split("\r\n")
            for line in lines:
                name, _, value = line.partition(":")
                reply.headers[name.strip().lower()] = value.strip()
            reply.is_cut = True
            reply.body = await self.reader.readexactly(int(reply.headers["content-length"]))
        except (asyncio.IncompleteReadError, OSError):
            return reply
        reply.is_cut = False
        reply.status = int(first.split(" ")[1])
        return reply

    @property
    def has_bytes(self) -> bool:
        """Whether anything has arrived that was not read."""
        return bool(self.reader._buffer)

    @property
    def is_open(self) -> bool:
        return not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        self.writer.close()


class Stage:
    """A small deployment."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="papayalever-case-"))
        self.store = Store()
        self.machines: list[Machine] = []
        self.upstreams: list[Upstream] = []
        self.memory_mb = 222
        self.bounds = {
            "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
            "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
            "config_ms": 2000, "regression_slack_ms": 250, "outer_ms": 5000,
            "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 116,
            "cold_over": 1.5, "cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 15,
            "ttl_max_s": 5, "shift_most": 0.15,
        }
        self.arrivals: list[tuple[float, str, str, str, dict, int]] = []
        """Time, upstream, attempt, target, headers and size of the body of each request."""
        self._tasks: set[asyncio.Task] = set()
        self._subnet = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self._hosts = itertools.count(1)
        self._ports = itertools.count(8200)

    def new_ip(self) -> str:
        return f"{self._subnet}.{next(self._hosts)}"

    def new_address(self) -> str:
        """A free loopback address."""
        while True:
            address = (f"{self._subnet}.250", next(self._ports))
            with socket.socket() as probe:
                try:
                    probe.bind(address)
                except OSError:
                    continue
            return f"{address[0]}:{address[1]}"

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def note_arrival(self, upstream, attempt, method, target, headers, body) -> None:
        self.arrivals.append((now(), upstream.id, attempt, target, headers, len(body)))
        self.record.note(
            "arrived", upstream=upstream.id, attempt=attempt, method=method, target=target,
            deadline_ms=headers.get("deadline-ms"), body_bytes=len(body),
        )

    async def add_upstreams(self, service: str, count: int, run_s: float) -> list[Upstream]:
        zones = itertools.cycle(ZONES)
        added = [
            Upstream(self, f"i-{service}{number}", service, next(zones), run_s)
            for number in range(count)
        ]
        for upstream in added:
            await upstream.start()
        self.upstreams += added
        return added

    def put_config(self, version: int, routes: list[dict], services: list[str], **service) -> None:
        spec = {"health_path": "/healthz", "max_connections": 660, "protocol": "h1", "tls": False,
                "warmup_s": 3.0, "warmup_per_s": 6.9} | service
        resources = [
            {"entry_kind": "routes", "metadata": {"name": f"r-{number}"},
             "spec": {"host": HOST, "timeout_ms": 3000, "target_latency_ms": 300, "priority": 0,
                      "attempts": 3, "session_affinity": False, "allowed_regions": []} | route}
            for number, route in enumerate(routes)
        ]
        resources += [
            {"entry_kind": "services", "metadata": {"name": name}, "spec": spec}
            for name in services
        ]
        resources.append({
            "entry_kind": "limits", "metadata": {},
            "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                     "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        })
        self.store.put("config", "main", {"version": f"r{version}", "resources": resources})

    async def start_machines(self, count: int) -> None:
        zones = itertools.cycle(ZONES)
        self.machines = [
            Machine(self, f"edge-{number}", next(zones), self.new_ip()) for number in range(count)
        ]
        started = now()
        seeds = [machine.control for machine in self.machines[:3]]
        for machine in self.machines:
            machine.write_settings(seeds)
            machine.start()
        for machine in self.machines:
            await machine.wait_ready()
        end = now() + 10
        while len(self.store.names("papayalever-instances")) < count:
            if now() > end:
                raise CannotRunError("the machines have not registered")
            await asyncio.sleep(0.1)
        # As on the sites: the start of a machine is over for longer than contact_ms by then.
        await asyncio.sleep(max(0.0, started + TRAFFIC_AFTER_S - now()))
        self.record.note("all machines ready")

    async def expire_entries(self) -> None:
        """Remove the entries of upstreams that were silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            for upstream in self.upstreams:
                if not upstream.is_up and now() - upstream.silent_since > 3 * HEARTBEAT_S:
                    self.store.drop("servers", upstream.id)

    async def ask(
        self, machine: Machine, method: str, target: str, client: Client | None = None,
        timeout_s: float = 6.0, **options,
    ) -> Reply:
        """Send one request, over a new connection unless one is given, and read its answer."""
        attempt = new_id()
        self.record.note("sent", machine=machine.name, attempt=attempt, method=method, target=target)
        started, reply = now(), Reply()
        is_own = client is None
        try:
            async with asyncio.timeout(timeout_s):
                client = client or await Client.connect(machine.front)
                client.send(method, target, attempt, **options)
                reply = await client.read()
        except (OSError, TimeoutError):
            pass
        reply.attempt = attempt
        if is_own and client:
            client.close()
        self.record.note(
            "answered", attempt=attempt, status=reply.status, cut=reply.is_cut,
            bytes=len(reply.body), ms=round((now() - started) * 1000),
        )
        return reply

    async def close(self) -> None:
        for machine in self.machines:
            if machine.is_running:
                machine.process.kill()
        for machine in self.machines:
            if machine.process:
                machine.process.wait()
        for task in list(self._tasks):
            task.cancel()
        for client in list(Client.opened):
            client.close()
        await asyncio.sleep(0.1)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(folder: str, work) -> None:
    """Run a case: ``work`` is a coroutine function of (stage, trouble) that returns findings."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        # A script that is stopped ends its processes, too.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        stage = Stage(Path(folder))
        try:
            address = stage.new_address()
            await stage.store.start(address)
            stage.spawn(stage.expire_entries())
            async with asyncio.timeout(110):
                findings = await work(stage, trouble)
        except Exception as error:
            # Also a fault of the case itself: it shows nothing about the system.
            stage.record.note("not run", error=repr(error))
            print(f"not run: {error!r}")
            return NOT_RUN
        finally:
            await stage.close()
        for finding in findings:
            stage.record.note("broken", finding=finding)
            print(finding)
        stage.record.note("end", result="broken" if findings else "held")
        print("broken" if findings else "held")
        return BROKEN if findings else HELD

    try:
        code = asyncio.run(run())
    except (KeyboardInterrupt, asyncio.CancelledError):
        code = NOT_RUN
    sys.exit(code)
