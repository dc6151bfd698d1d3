"""A small cluster of real processes on loopback: store, backend servers and instances."""

import asyncio
import itertools
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import yaml

from papayalever.ledger.keys import KeyLocation, locate_key, parse_key
from papayalever.ledger.views import REGION_VIEWS, View, object_name

READY_S = 30.0
FIRST_PORT = 23_000
PORT_COUNT = 9_000
_CANDIDATES = (FIRST_PORT + (os.getpid() * 97 + step) % PORT_COUNT for step in itertools.count())
POLL_S = 0.05

RANKS = {
    "urgent": {"order": 0, "deadline_s": 3},
    "normal": {"order": 1, "deadline_s": 6, "floor": 0.1},
    "bulk": {"order": 2, "deadline_s": 15, "floor": 0.1},
}
ROUTES = [
    {"methods": ["GET"], "path": "/urgent", "rank": "urgent", "idempotent": True},
    {"methods": ["GET"], "path": "/bulk", "rank": "bulk", "idempotent": True},
    {"methods": ["PUT"], "rank": "bulk", "idempotent": True},
    {"methods": ["GET"], "rank": "normal", "idempotent": True},
    {"methods": ["POST"], "rank": "urgent"},
]


def free_ports(count: int) -> list[int]:
    """Ports below the range that the system gives to outgoing connections."""
    found: list[int] = []
    while len(found) < count:
        port = next(_CANDIDATES)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                found.append(port)
    return found


@dataclass
class Instance:
    id: str
    region: str
    domain: str
    ports: list[int]
    process: subprocess.Popen | None = None

    @property
    def caller(self) -> str:
        return f"127.0.0.1:{self.ports[0]}"

    @property
    def operator(self) -> str:
        return f"127.0.0.1:{self.ports[1]}"

    @property
    def peer(self) -> str:
        return f"127.0.0.1:{self.ports[2]}"


@dataclass
class Shape:
    """Regions with failure domains, instances per domain and backend servers per domain."""

    regions: dict[str, list[str]]
    instances_per_domain: int = 1
    backends_per_domain: int = 1
    slots: int = 3
    service_s: float = 0.01
    service: str = "logboek"
    overrides: dict = field(default_factory=dict)


class Cluster:
    """Starts the processes, speaks to them and ends them all."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.directory = tempfile.TemporaryDirectory()
        self.store_port, self.fleet_port = free_ports(2)
        self.by_id = self._place_instances()
        self.backends = self._place_backends()
        self.processes: list[subprocess.Popen] = []
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Cluster":
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=30), connector=aiohttp.TCPConnector(limit=0)
        )
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start_all(self) -> None:
        self.start_store()
        self._spawn("tests.support.backend", str(self.fleet_port), *self._backend_specs())
        await self.wait_for(self.has_stand_ins)
        for instance in self.by_id.values():
            self.start(instance.id)
        await self.list_running()
        await self.wait_members(len(self.by_id))

    async def has_stand_ins(self) -> bool:
        calls = await self.get(f"127.0.0.1:{self.store_port}", "/calls")
        return calls is not None and await self.report() is not None

    async def __aexit__(self, *_) -> None:
        await self.session.close()
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes:
            process.wait()
        self.directory.cleanup()

    # Processes.

    def start_store(self) -> subprocess.Popen:
        self.store = self._spawn("tests.support.store", str(self.store_port))
        return self.store

    def start(self, instance_id: str) -> None:
        instance = self.by_id[instance_id]
        path = Path(self.directory.name) / f"{instance_id}.yaml"
        path.write_text(yaml.safe_dump(self.settings(instance)))
        log = open(Path(self.directory.name) / f"{instance_id}.log", "ab")
        with log:
            instance.process = self._spawn(
                "papayalever", "serve", "--settings", str(path), stderr=log
            )

    def signal(self, instance_id: str, number: signal.Signals) -> None:
        self.by_id[instance_id].process.send_signal(number)

    def kill(self, instance_id: str) -> None:
        process = self.by_id[instance_id].process
        process.kill()
        process.wait()

    async def list_running(self) -> None:
        """Bring the platform's list of instances up to date."""
        listed = [
            {"id": item.id, "state": "live", "peer_address": item.peer} for item in self.running()
        ]
        await self.set_faults(instances=listed)

    async def wait_exit(self, instance_id: str) -> int:
        process = self.by_id[instance_id].process
        await self.wait_for(lambda: _value(process.poll() is not None))
        return process.returncode

    def log(self, instance_id: str) -> str:
        return (Path(self.directory.name) / f"{instance_id}.log").read_text()

    def settings(self, instance: Instance) -> dict:
        return {
            "id": instance.id,
            "region": instance.region,
            "failure_domain": instance.domain,
            "caller_listener": instance.caller,
            "operator_listener": instance.operator,
            "peer_listener": instance.peer,
            "store_url": f"http://127.0.0.1:{self.store_port}",
            "seeds": [item.peer for item in list(self.by_id.values())[:3]],
        }

    def configuration(self, **changes) -> dict:
        document = {
            "regions": {
                name: {"failure_domains": domains} for name, domains in self.shape.regions.items()
            },
            "ranks": RANKS,
            "services": {
                self.shape.service: {
                    "hosts": [f"{self.shape.service}.example"],
                    "routes": ROUTES,
                    "backends": self.backends,
                }
            },
            "caller_blocks": [
                {"cidr": f"127.{index + 1}.0.0/16", "home": region}
                for index, region in enumerate(self.shape.regions)
            ],
            "ledger": {"ranges_per_region": 4},
            "lookup": {"ttl_s": 1},
        }
        return {**document, **self.shape.overrides, **changes}

    # Conversations.

    async def apply(self, instance_id: str | None = None, query="", **changes) -> tuple[int, dict]:
        instance = self.by_id[instance_id] if instance_id else next(iter(self.by_id.values()))
        text = yaml.safe_dump(self.configuration(**changes))
        url = f"http://{instance.operator}/-/config?operator=test{query}"
        async with self.session.post(url, data=text) as response:
            return response.status, await response.json()

    async def put_in_force(self, **changes) -> int:
        """Apply, and wait until every instance that runs is ready with it."""
        status, applied = await self.apply(**changes)
        if status != 200:
            raise AssertionError(f"apply answered {status}: {applied}")
        await self.wait_for(lambda: self.all_at(applied["version"]))
        await self.wait_for(self.has_ledger)
        return applied["version"]

    async def all_at(self, version: int) -> bool:
        statuses = [await self.status(item.id) for item in self.running()]
        return all(
            item and item["ready"] and item["config_version"] == version for item in statuses
        )

    async def has_ledger(self) -> bool:
        """Whether every region's ledger can grant claims."""
        for region in self.shape.regions:
            path = f"/objects/shared/ledger/{region}"
            if await self.get_text(f"127.0.0.1:{self.store_port}", path) is None:
                return False
        for region in self.shape.regions:
            answer = await self.send("POST", "/probe", key=f"{region}.probe-{time.time_ns()}")
            if answer.status != 200:
                return False
        return True

    def running(self) -> list[Instance]:
        return [item for item in self.by_id.values() if item.process.poll() is None]

    async def status(self, instance_id: str) -> dict | None:
        return await self.get(self.by_id[instance_id].operator, "/-/status")

    def place(self, key: str) -> KeyLocation:
        """Where the ledger keeps a key."""
        regions = list(self.shape.regions)
        slots = self.configuration()["ledger"]["ranges_per_region"]
        return locate_key(parse_key(key, regions), self.shape.service, regions, slots)

    async def view(self, key: str) -> View:
        """Newest view of the slot that keeps a key, read from the store."""
        place = self.place(key)
        path = f"/objects/shared/{object_name(place.region)}"
        text = await self.get_text(f"127.0.0.1:{self.store_port}", path)
        views = REGION_VIEWS.validate_json(text).views
        if len(views) != self.configuration()["ledger"]["ranges_per_region"]:
            raise AssertionError(f"the ledger has {len(views)} slots, not the configured ones")
        return views[place.slot]

    async def wait_new_view(self, key: str, old: View) -> View:
        """Wait until a key's slot has another primary than ``old`` and can grant claims."""

        async def is_new() -> bool:
            return (await self.view(key)).primary != old.primary

        await self.wait_for(is_new)
        return await self.view(key)

    async def set_faults(self, **faults) -> None:
        url = f"http://127.0.0.1:{self.store_port}/faults"
        async with self.session.post(url, json=faults):
            pass

    async def control(self, backend: str, **values) -> None:
        url = f"http://127.0.0.1:{self.fleet_port}/control"
        async with self.session.post(url, json={backend: values}):
            pass

    async def report(self) -> dict:
        return await self.get(f"127.0.0.1:{self.fleet_port}", "/report")

    async def runs(self, work: str) -> int:
        report = await self.report()
        return sum(server["runs"].get(work, 0) for server in report.values())

    async def lookup(self, instance_id: str, caller: str = "127.1.0.1") -> dict | None:
        path = f"/-/lookup?service={self.shape.service}&caller={caller}"
        return await self.get(self.by_id[instance_id].caller, path)

    async def send(
        self,
        method: str,
        path: str,
        instance_id: str | None = None,
        key: str | None = None,
        work: str = "",
        body: bytes | None = None,
        headers: dict | None = None,
    ) -> "Answer":
        instance = self.by_id[instance_id] if instance_id else self.running()[0]
        sent = {"Host": f"{self.shape.service}.example", "X-Work-Id": work, **(headers or {})}
        if key:
            sent["Idempotency-Key"] = key
        try:
            async with self.session.request(
                method, f"http://{instance.caller}{path}", data=body, headers=sent
            ) as response:
                document = await response.json(content_type=None)
                return Answer(response.status, document, dict(response.headers))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Answer(0, {"error": repr(error)}, {})

    async def get(self, address: str, path: str) -> dict | None:
        try:
            async with self.session.get(f"http://{address}{path}") as response:
                if response.status != 200:
                    return None
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def get_text(self, address: str, path: str) -> str | None:
        async with self.session.get(f"http://{address}{path}") as response:
            return await response.text() if response.status == 200 else None

    async def wait_members(self, count: int) -> None:
        """Wait until each running instance sees ``count`` live and reachable ones."""

        async def all_see() -> bool:
            for instance in self.running():
                status = await self.status(instance.id)
                if status is None or status["gauges"]["instances_live"] != count:
                    return False
            return True

        await self.wait_for(all_see)

    async def wait_for(self, condition, timeout_s: float = READY_S):
        """Wait until an asynchronous condition holds and return its value."""
        deadline = time.monotonic() + timeout_s
        while True:
            value = await condition()
            if value:
                return value
            if time.monotonic() > deadline:
                raise AssertionError(f"{condition} did not come true in {timeout_s:g} s")
            await asyncio.sleep(POLL_S)

    # Placement.

    def _place_instances(self) -> dict[str, Instance]:
        placed = {}
        for region, domains in self.shape.regions.items():
            for domain in domains:
                for number in range(self.shape.instances_per_domain):
                    name = f"{domain}-{number + 1}"
                    placed[name] = Instance(name, region, domain, free_ports(3))
        return placed

    def _place_backends(self) -> list[dict]:
        domains = [domain for domains in self.shape.regions.values() for domain in domains]
        names = [
            (f"{self.shape.service}-{domain}-{number + 1}", domain)
            for domain in domains
            for number in range(self.shape.backends_per_domain)
        ]
        ports = free_ports(len(names))
        return [
            {
                "id": name,
                "address": f"127.0.0.1:{port}",
                "failure_domain": domain,
                "slots": self.shape.slots,
                "connections": 800,
            }
            for (name, domain), port in zip(names, ports, strict=True)
        ]

    def _backend_specs(self) -> list[str]:
        return [
            f"{item['id']}:{item['address'].split(':')[1]}:{item['slots']}:{self.shape.service_s}"
            for item in self.backends
        ]

    def _spawn(self, module: str, *arguments: str, stderr=None) -> subprocess.Popen:
        environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parents[2])}
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], env=environment, stderr=stderr
        )
        self.processes.append(process)
        return process


@dataclass
class Answer:
    status: int
    document: dict
    headers: dict

    @property
    def outcome(self) -> str:
        """What the caller may conclude: answered, not-run or unknown."""
        if self.status == 200:
            return "answered"
        return self.document.get("outcome", "unknown")


async def _value(value: bool) -> bool:
    return value
