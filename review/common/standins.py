"""Stand-ins of the platform, its upstreams and its clients, for the scripts of this review.

Only the standard library is used. All addresses are loopback addresses in a network of their own,
127.A.B.0/24, so that each machine has its own address and the ports of the pages can be used.
"""

import asyncio
import hashlib
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
from collections import Counter
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
HISTORY_S = 20.0
REGION_BY_ZONE = {"cdmx-a": "cdmx", "gdl-a": "gdl", "mty-a": "mty"}


class Broken(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, *parts) -> None:
        self._file.write(f"{self.now():8.3f} " + " ".join(str(part) for part in parts) + "\n")
        self._file.flush()


# HTTP, as little as is needed.


class Head:
    """The first line and the headers of a message."""

    def __init__(self, data: bytes) -> None:
        lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()

    @property
    def length(self) -> int:
        return int(self.headers.get("content-length", "0"))

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Head:
    return Head(await reader.readuntil(b"\r\n\r\n"))


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# The platform's object store.


class Store:
    """Objects by kind and name, one revision counter, lists, watches and writes."""

    def __init__(self, address: str, record: Record) -> None:
        self.address = address
        self.record = record
        self.revision = 10
        self.objects: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool, float]] = []
        self.forgotten = 0
        """The last revision whose change is no longer kept."""
        self.writes: Counter[str] = Counter()
        self.changed = asyncio.Event()
        self.expires: dict[str, float] = {}
        self._server = None
        self._tasks: set = set()

    async def start(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=4 << 20)
        self._tasks.add(asyncio.create_task(self._expire()))

    async def _expire(self) -> None:
        """Remove entries of upstreams that are silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            for name, until in list(self.expires.items()):
                if time.monotonic() > until:
                    del self.expires[name]
                    if name in self.objects.get("servers", {}):
                        self.record.write("store: entry expired", name)
                        self.remove("servers", name)

    def write(self, kind: str, name: str, spec) -> dict:
        self.revision += 1
        self.writes[kind] += 1
        known = self.objects.setdefault(kind, {}).get(name)
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = item
        self._note(kind, item, False)
        return item

    def beat(self, name: str, spec: dict) -> None:
        self.write("servers", name, spec)
        self.expires[name] = time.monotonic() + 3 * HEARTBEAT_S

    def remove(self, kind: str, name: str) -> None:
        item = self.objects.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind: str, item: dict, deleted: bool) -> None:
        now = time.monotonic()
        self.history.append((self.revision, kind, item, deleted, now))
        while self.history[0][4] < now - HISTORY_S:
            self.forgotten = self.history.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await read_head(reader)
                body = await reader.readexactly(head.length)
                method, target, _ = head.first.split(" ")
                status, document = await self._answer(method, target, body)
                reason = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}[status]
                data = json.dumps(document).encode()
                writer.write(
                    message(
                        f"HTTP/1.1 {status} {reason}", {"Content-Type": "application/json"}, data
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        kind = parts[1]
        if method == "GET" and len(parts) == 2 and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and len(parts) == 2:
            names = sorted(name for name in objects if name > query.get("after", ""))
            items = [objects[name] for name in names[:500]]
            return 200, {"items": items, "has_more": len(names) > 500, "as_of": self.revision}
        if method == "POST":
            document = json.loads(body)
            name = document["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.write(kind, name, document.get("spec"))
        name = parts[2]
        if name not in objects:
            return 404, {}
        item = objects[name]
        if method == "GET":
            return 200, item
        if method == "DELETE":
            if "revision" in query and int(query["revision"]) != item["metadata"]["revision"]:
                return 409, item
            self.remove(kind, name)
            return 200, item
        document = json.loads(body)
        expected = document.get("metadata", {}).get("revision")
        if expected is not None and expected != item["metadata"]["revision"]:
            return 409, item
        if document.get("spec") == item["spec"]:
            return 200, item
        return 200, self.write(kind, name, document.get("spec"))

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, dict]:
        if since > self.revision or since < self.forgotten:
            return 410, {}
        until = time.monotonic() + min(wait_ms, 30_000) / 1000
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, other, item, deleted, _ in self.history
                if other == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass


# Upstreams.


class Upstream:
    """One upstream: registers itself, runs requests in slots, and can crash and come back."""

    def __init__(self, name, address, zone, service, store, record, work_s, slots=4, queue=12):
        self.name, self.address, self.zone, self.service = name, address, zone, service
        self.store, self.record, self.work_s = store, record, work_s
        self.slots, self.queue = slots, queue
        self.warmup_s = 0.0
        self.read_pause_s = lambda head: 0.0
        """Time for which the body of a request is not read."""
        self.runs: list[tuple[float, str]] = []
        self.note_target = lambda attempt, target: None
        self.running = 0
        self.is_up = False
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats = None
        self._starts = 0

    async def start(self) -> None:
        self._starts += 1
        self.id = self.name if self._starts == 1 else f"{self.name}-{self._starts}"
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.running = 0
        self._free = asyncio.Semaphore(self.slots)
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)
        self.is_up = True
        self._beats = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End at once: connections are reset, and nothing listens at the address."""
        self.is_up = False
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            left_s = max(0.0, self.started_at + self.warmup_s - time.monotonic())
            spec = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "max_concurrency": self.slots,
                "phase": "ready",
                "warmup_left_ms": int(left_s * 1000) if self._starts > 1 else 0,
                "sequence": sequence,
                "born": self.born,
            }
            self.store.beat(self.id, spec)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while self.is_up:
                head = await read_head(reader)
                pause_s = self.read_pause_s(head)
                if pause_s:
                    await asyncio.sleep(pause_s)
                digest, left = hashlib.sha256(), head.length
                while left:
                    data = await reader.read(min(left, 1 << 16))
                    if not data:
                        raise ConnectionError
                    digest.update(data)
                    left -= len(data)
                await self._handle(head, digest.hexdigest(), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _load(self) -> str:
        running = min(self.running, self.slots)
        return f"{running},{max(0, self.running - self.slots)},{self.slots}"

    async def _handle(self, head: Head, digest: str, reader, writer) -> None:
        attempt = head.headers.get("attempt-id", "")
        named = {"Attempt-Id": attempt, "Server-Load": self._load()}
        if head.first.startswith("GET /healthz"):
            headers = {"Instance-Id": self.id, "Server-Load": self._load()}
            writer.write(message("HTTP/1.1 200 OK", headers))
            return
        if head.headers.get("target-instance", self.id) != self.id:
            headers = {"Attempt-Id": attempt, "Instance-Id": self.id}
            writer.write(message("HTTP/1.1 421 Misdirected Request", headers))
            return
        if not attempt:
            writer.write(message("HTTP/1.1 400 Bad Request", {"Not-Executed": "1"}))
            return
        if self.running >= self.slots + self.queue:
            self.record.write("upstream", self.id, "full", attempt)
            headers = named | {"Not-Executed": "1"}
            writer.write(message("HTTP/1.1 503 Service Unavailable", headers))
            return
        deadline = time.monotonic() + int(head.headers.get("deadline-ms", "10000")) / 1000
        self.running += 1
        try:
            async with self._free:
                if time.monotonic() >= deadline:
                    headers = named | {"Not-Executed": "1"}
                    writer.write(message("HTTP/1.1 503 Service Unavailable", headers))
                    return
                target = head.first.split(" ")[1]
                self.runs.append((self.record.now(), attempt))
                self.note_target(attempt, target)
                self.record.write("upstream", self.id, "runs", attempt, target)
                work = asyncio.ensure_future(asyncio.sleep(self.work_s))
                gone = asyncio.ensure_future(self._wait_gone(reader))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                is_done = work.done()
                work.cancel()
                gone.cancel()
                if not is_done:
                    self.record.write("upstream", self.id, "caller left", attempt)
                    raise ConnectionError
        finally:
            self.running -= 1
        body = f"{attempt} {digest}\n".encode()
        headers = {"Attempt-Id": attempt, "Response-Seal": seal(attempt, body)}
        headers["Server-Load"] = self._load()
        writer.write(message("HTTP/1.1 200 OK", headers, body))
        self.record.write("upstream", self.id, "answered", attempt)
        await writer.drain()

    async def _wait_gone(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof() and reader.exception() is None and self.is_up:
            await asyncio.sleep(0.02)


def seal(attempt: str, body: bytes) -> str:
    return hashlib.sha256(attempt.encode() + body).hexdigest()[:16]


# Instances.


class Machine:
    """A machine that runs the program of the deploy file and starts it again when it ends."""

    def __init__(self, name, ip, zone, settings: dict, folder: Path, record: Record) -> None:
        self.name, self.ip, self.zone, self.record = name, ip, zone, record
        self.settings = settings
        self.path = folder / f"{name}.conf"
        self.log = (folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen | None = None
        self.ends: list[tuple[float, int]] = []
        self.is_wanted = False
        self.start_at = 0.0

    @property
    def front(self) -> str:
        return f"{self.ip}:8144"

    def write_settings(self) -> None:
        text = "".join(f"{name}={value}\n" for name, value in self.settings.items())
        temporary = self.path.with_suffix(".new")
        temporary.write_text(text)
        temporary.rename(self.path)

    def start(self) -> None:
        with (ROOT / "deploy/system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        self.write_settings()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PAPAYALEVER_BOOT": str(self.path), "PYTHONPATH": str(ROOT / "target/deps")}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.is_wanted = True
        self.record.write("platform: starts", self.name, "pid", self.process.pid)

    def send_signal(self, number: int) -> None:
        if self.process and self.process.poll() is None:
            self.record.write("platform: sends", signal.Signals(number).name, "to", self.name)
            self.process.send_signal(number)

    def rss_mb(self) -> float:
        """Memory of the process, without pages of files."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        values = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
        return int(values.get("RssAnon", "0 kB").split()[0]) / 1024

    async def watch(self) -> None:
        """Start the process again, a short while after it ended."""
        while True:
            await asyncio.sleep(0.02)
            if not self.is_wanted or self.process is None or self.process.poll() is None:
                continue
            self.ends.append((self.record.now(), self.process.returncode))
            self.record.write("platform:", self.name, "ended with", self.process.returncode)
            self.process = None
            await asyncio.sleep(max(0.5, self.start_at - time.monotonic()))
            if self.is_wanted:
                self.start()

    def end(self) -> None:
        self.is_wanted = False
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """The platform's own check."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, 8140), 1)
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            return head.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Answer:
    """What a client got. Status 0: no complete answer."""

    def __init__(self, status: int, headers=None, body: bytes = b"", detail: str = "") -> None:
        self.status, self.headers, self.body = status, headers or {}, body
        self.detail = detail

    def __str__(self) -> str:
        text = self.detail or self.body[:70].decode("latin-1").strip()
        return f"{self.status} {text}"


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    head = await read_head(reader)
    while head.status < 200:
        head = await read_head(reader)
    body = await reader.readexactly(head.length)
    return Answer(head.status, head.headers, body)


def request_bytes(method, target, host, attempt, deadline_ms, key="", body=b""):
    headers = {"Host": host, "Attempt-Id": attempt}
    if key:
        headers["Cookie"] = f"Affinity-Key={key}"
    headers["Deadline-Ms"] = str(deadline_ms)
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {v}" for name, v in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode(), body


class Deployment:
    """A store, upstreams and machines on loopback addresses of their own."""

    HOST = "ficu95.example"

    def __init__(self, folder: Path, memory_mb: int = 222, rng_seed: int | None = None) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.memory_mb = memory_mb
        self.rng = random.Random(rng_seed)
        self.net = self._find_net()
        self.store = Store(f"{self.net}.1:8142", self.record)
        self.machines: list[Machine] = []
        self.upstreams: list[Upstream] = []
        self.tasks: set[asyncio.Task] = set()
        self._attempts = 0

    def _find_net(self) -> str:
        for _ in range(50):
            net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
            try:
                for port in (8142, 8144, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.1", port))
                return net
            except OSError:
                continue
        raise Broken("no free loopback network")

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        return task

    def add_machines(self, zones: list[str]) -> None:
        count = len(self.machines)
        ips = [f"{self.net}.{10 + count + number}" for number in range(len(zones))]
        for number, (ip, zone) in enumerate(zip(ips, zones, strict=True)):
            name = f"edge-{zone}-{count + number + 1}"
            settings = self.settings(name, ip, zone, ips[:3])
            self.machines.append(Machine(name, ip, zone, settings, self.folder, self.record))

    def settings(self, name: str, ip: str, zone: str, seed_ips: list[str]) -> dict:
        """As in the pages' example, with the bounds of the site tlaloc-gslb."""
        return {
            "node_name": name,
            "role": "entry",
            "machine_class": "edge",
            "serves": "edge,control_plane,directory",
            "ip": ip,
            "zone": zone,
            "region": REGION_BY_ZONE[zone],
            **{f"zones.{key}": value for key, value in REGION_BY_ZONE.items()},
            "listen.front": f"{ip}:8144",
            "listen.ready": f"{ip}:8140",
            "listen.control": f"{ip}:8146",
            "listen.directory": f"{ip}:8143",
            "internal_ports": "7660,7675",
            "seeds": ",".join(f"{item}:8146" for item in seed_ips),
            "bootstrap": "true",
            "in_failure_budget": "false",
            "limits.cpu_share": "0.602",
            "limits.cores": "1",
            "limits.memory_mb": str(self.memory_mb),
            "limits.max_fds": "2870",
            "limits.link_mbps": "700.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": "1500",
            "contracts": "base,drain,config,cost,retry,recover,places,platform",
            "fault_tolerance.machines": "1",
            "fault_tolerance.zones": "1",
            "fault_tolerance.regions": "1",
            "bounds": "seed_lag_s=3,reuse_after_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,"
            "drain_ms=2000,grace_s=6,loss_slack_ms=200,config_ms=2000,regression_slack_ms=250,"
            "outer_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,retry_budget_extra=116,"
            "cold_over=1.5,cold_slack=5,evacuation_ms=5000,recovery_s=15,ttl_max_s=5,"
            "shift_most=0.15",
            "provider.address": self.store.address,
            "provider.form": "objects",
            "provider.writes_per_s": "400",
            "provider.reads_per_s": "2000",
            "provider.history_s": "20",
            "provider.value_bytes": "1048576",
            "provider.ttl_min_ms": "1000",
        }

    def add_upstreams(self, service: str, zones: list[str], **fields) -> None:
        for zone in zones:
            number = len(self.upstreams) + 1
            address = f"{self.net}.{100 + number}:8080"
            self.upstreams.append(
                Upstream(
                    f"i-{number:02}{self.rng.randrange(1 << 24):06x}",
                    address,
                    zone,
                    service,
                    self.store,
                    self.record,
                    **fields,
                )
            )

    def write_config(self, version: int, routes: dict[str, dict], services: list[str]) -> None:
        resources = []
        for name, changes in routes.items():
            spec = {
                "host": self.HOST,
                "type": "safe",
                "timeout_ms": 2000,
                "target_latency_ms": 250,
                "priority": 0,
                "attempts": 2,
                "session_affinity": True,
                "allowed_regions": [],
            } | changes
            resources.append({"entry_kind": "routes", "metadata": {"name": name}, "spec": spec})
        for name in services:
            spec = {
                "health_path": "/healthz",
                "max_connections": 660,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 3.0,
                "warmup_per_s": 6.9,
            }
            resources.append({"entry_kind": "services", "metadata": {"name": name}, "spec": spec})
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        resources.append({"entry_kind": "limits", "metadata": {}, "spec": limits})
        document = {"version": f"r{version}", "base_version": "r0", "resources": resources}
        self.store.write("config", "main", document)
        self.record.write("operator: config", document["version"], "acknowledged")

    async def start(self) -> None:
        await self.store.start()
        for upstream in self.upstreams:
            await upstream.start()
        for machine in self.machines:
            machine.start()
            self.spawn(machine.watch())
        await self.wait_ready(30)

    async def wait_ready(self, most_s: float) -> None:
        until = time.monotonic() + most_s
        while not all([await machine.is_ready() for machine in self.machines]):
            if time.monotonic() > until:
                raise Broken("the machines did not become ready")
            await asyncio.sleep(0.1)
        self.record.write("all machines are ready")

    def attempt_id(self) -> str:
        self._attempts += 1
        return f"{self._attempts:06x}{self.rng.randrange(1 << 40):010x}"

    async def ask(
        self, front, method, target, deadline_ms=2000, key="", body=b"", attempt=""
    ) -> Answer:
        """One client attempt on a new connection, which is closed at the deadline."""
        attempt = attempt or self.attempt_id()
        head, body = request_bytes(method, target, self.HOST, attempt, deadline_ms, key, body)
        self.record.write("client: sends", attempt, method, target, len(body), "to", front)
        answer = await self._ask(front, head, body, deadline_ms)
        self.record.write("client: gets", attempt, answer)
        answer.attempt = attempt
        return answer

    async def _ask(self, front, head, body, deadline_ms) -> Answer:
        host, port = front.split(":")
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head + body)
                return await read_answer(reader)
        except TimeoutError:
            return Answer(0, detail="gave up")
        except (OSError, asyncio.IncompleteReadError) as error:
            return Answer(0, detail=f"connection ended: {error!r}")
        finally:
            if writer:
                writer.transport.abort()

    def end(self) -> None:
        for machine in self.machines:
            machine.end()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def run_case(folder: Path, case, **fields) -> None:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def run() -> int:
        deployment = Deployment(folder, **fields)
        deployment.record.write("disruption:", "on" if TROUBLE else "off")
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(112):
                return await case(deployment)
        except (Exception, asyncio.CancelledError) as error:
            # Also a fault of the script itself: 1 is only for a broken rule.
            deployment.record.write("the case could not run:", repr(error))
            print("the case could not run:", repr(error))
            return 2
        finally:
            for other in deployment.tasks:
                other.cancel()
            deployment.end()

    try:
        status = asyncio.run(run())
    except BaseException as error:
        print("the case could not run:", repr(error))
        status = 2
    sys.stdout.flush()
    os._exit(status)
