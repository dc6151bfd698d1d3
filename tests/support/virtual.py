"""A fleet of entry instances in virtual time: real decisions, no sockets.

The event loop's clock jumps to the next timer, so that a minute of 22 instances takes seconds and
repeats. Links between instances and to servers are delays; servers keep recently used objects.
"""

import asyncio
import itertools
import selectors
from collections import Counter, OrderedDict, deque
from collections.abc import Awaitable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any
from unittest.mock import patch

import msgspec

from papayalever.cluster.exceptions import PeerTimeoutError, PeerUnreachableError
from papayalever.cluster.messages import KindUpdate
from papayalever.entry.bodies import Body
from papayalever.entry.connection import OnHead
from papayalever.entry.header_block import pack_headers
from papayalever.entry.instance import EntryInstance
from papayalever.entry.messages import CallerRequest, Response, ServerResponse
from papayalever.entry.state_updates import INSTANCE_KIND
from papayalever.platform.program import build_instance
from papayalever.platform.settings_file import parse_settings

from .limits import LimitCheck
from .platform import ENTRY_HEADER, REGIONS, SERVER_HEADER, Seen, boot_text, configuration, dump

WITHIN_REGION_S = 0.0014
BETWEEN_REGIONS_S = 0.035
WARM_SHARE = 0.3
"""Run time with a cached object, as a share of the run time without it."""
CACHED_OBJECTS = 24


class JumpingSelector(selectors.DefaultSelector):
    """Moves the loop's clock forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        self.now += timeout or 0.0
        return super().select(0)


class JumpingLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_virtually(work: Coroutine) -> Any:
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        return runner.run(work)


@dataclass(eq=False)
class VirtualServer:
    """A backend server with slots, a queue and a cache of objects."""

    id: str
    domain: str
    slots: int = 3
    limit: str = ""
    seen: list[Seen] = field(default_factory=list)
    limit_changes: list[tuple[float, float | None]] = field(default_factory=list)
    _running: int = 0
    _waiting: deque[asyncio.Future[None]] = field(default_factory=deque)
    _cached: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def entry(self) -> dict:
        return {
            "service": "logboek",
            "address": f"10.0.0.{self.id.removeprefix('i-')}:80",
            "zone": self.domain,
            "version": "v1",
            "max_concurrency": self.slots,
            "phase": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def run(self, key: str, cold_s: float) -> list[tuple[bytes, bytes]]:
        """Run a request; returns the headers that describe the server."""
        if self._running >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        else:
            self._running += 1
        try:
            await asyncio.sleep(cold_s * (WARM_SHARE if key in self._cached else 1.0))
            self._cached[key] = None
            self._cached.move_to_end(key)
            if len(self._cached) > CACHED_OBJECTS:
                self._cached.popitem(last=False)
        finally:
            self._hand_over()
        load = f"{self._running},{len(self._waiting)},{self.slots}".encode()
        headers = [(b"server-load", load), (SERVER_HEADER.lower().encode(), self.id.encode())]
        self._note_limit()
        return headers + ([(b"server-limit", self.limit.encode())] if self.limit else [])

    def _hand_over(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1

    def _note_limit(self) -> None:
        limit = float(self.limit) if self.limit else None
        known = self.limit_changes[-1][1] if self.limit_changes else None
        if limit != known:
            self.limit_changes.append((asyncio.get_running_loop().time(), limit))


@dataclass(eq=False)
class VirtualConnection:
    """Connection of one instance to one server."""

    instance: EntryInstance
    server: VirtualServer
    used: int = 0
    idle_s: float = 0.0

    async def send(
        self, data: bytes, matches: object, is_head: bool, on_head: OnHead, body: Body
    ) -> ServerResponse:
        loop = asyncio.get_running_loop()
        lines = data.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        header_by_name = {
            name.lower(): value for name, value in (line.split(b": ", 1) for line in lines)
        }
        delay_s = find_delay(self.instance.settings.failure_domain, self.server.domain)
        await asyncio.sleep(delay_s)
        id_, key = header_by_name[b"attempt-id"], header_by_name[b"cookie"].decode()
        entry = {ENTRY_HEADER.lower(): self.instance.settings.instance}
        self.server.seen.append(Seen(id_.decode(), "", "", entry, b"", loop.time()))
        described = await self.server.run(key, float(header_by_name[b"work-s"]))
        await asyncio.sleep(delay_s)
        seal = [(b"attempt-id", id_), (b"response-seal", b"s." + id_)]
        response = ServerResponse(200, b"OK", seal + described, b"done", head_at=loop.time())
        on_head(response.status, response.headers)
        self.used += 1
        return response


@dataclass(eq=False)
class VirtualPool:
    """Connections of one instance, which never break."""

    instance: EntryInstance
    server_by_id: dict[str, VirtualServer]

    async def acquire(self, entry, must_not_retry, excluded=()) -> VirtualConnection:
        return VirtualConnection(self.instance, self.server_by_id[entry.id])

    def release(self, entry, connection, max_idle) -> None:
        """Nothing is kept."""


@dataclass(eq=False)
class VirtualLinks:
    """Links from one instance to the others."""

    fleet: "VirtualFleet"
    own: EntryInstance

    async def request(self, address: str, message: Any, timeout_s: float) -> Any:
        other = self._find(address)
        delay_s = self._delay_s(other)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(delay_s)
                reply = other._handle_peer(message)
                if isinstance(reply, Awaitable):
                    reply = await reply
                await asyncio.sleep(delay_s)
        except TimeoutError as error:
            raise PeerTimeoutError(address) from error
        return reply

    async def notify(self, address: str, message: Any, timeout_s: float) -> None:
        other = self._find(address)
        await asyncio.sleep(self._delay_s(other))
        other._handle_peer(message)

    def _find(self, address: str) -> EntryInstance:
        other = self.fleet.instance_by_address[address]
        group_by_name = self.fleet.group_by_name
        own_name, name = self.own.settings.instance, other.settings.instance
        if group_by_name.get(own_name) != group_by_name.get(name):
            raise PeerUnreachableError("cut")
        return other

    def _delay_s(self, other: EntryInstance) -> float:
        return find_delay(self.own.settings.failure_domain, other.settings.failure_domain)


@dataclass(frozen=True)
class VirtualReply:
    """What a caller got in the end."""

    sent_at: float
    status: int
    took_s: float


class VirtualFleet:
    """Instances and servers in the failure domains of `REGIONS`."""

    def __init__(self, instances: int, servers: int, seed: int) -> None:
        """Needs a running loop."""
        self.rng = Random(seed)
        domains = itertools.cycle(REGIONS)
        self.servers = [VirtualServer(f"i-{n}", next(domains)) for n in range(servers)]
        self.server_by_id = {server.id: server for server in self.servers}
        domains = itertools.cycle(REGIONS)
        self.instances = [self._build(f"edge-{n}", next(domains)) for n in range(instances)]
        self.instance_by_address = {
            item.permit_broker._own.peer_address: item for item in self.instances
        }
        self.group_by_name: dict[str, int] = {}
        """Instances of different groups do not reach each other."""
        self.replies: list[VirtualReply] = []
        self.refusals: Counter[str] = Counter()
        self.check = LimitCheck()
        self._ids = itertools.count(1)
        self._load_state()

    def _build(self, name: str, domain: str) -> EntryInstance:
        number = int(name.removeprefix("edge-")) + 1
        instance = build_instance(
            parse_settings(boot_text(name, f"10.1.0.{number}", domain, "10.2.0.1:80"))
        )
        instance.shared.pool = VirtualPool(instance, self.server_by_id)
        instance.permit_broker._pool = VirtualLinks(self, instance)
        return instance

    def _load_state(self) -> None:
        """Give every instance the stored objects."""
        own = [item.permit_broker._own for item in self.instances]
        listed = [(entry.name, msgspec.json.encode(entry)) for entry in own]
        servers = [(server.id, dump(server.entry())) for server in self.servers]
        config = [("main", dump(configuration(3)))]
        for instance in self.instances:
            values_by_kind = {"config": config, "servers": servers, INSTANCE_KIND: listed}
            for kind, values in values_by_kind.items():
                instance.cache.apply(KindUpdate(kind, 1, True, values), 0.0)

    def separate(self, groups: int) -> None:
        """Divide the instances into groups by chance."""
        numbers = [number % groups for number in range(len(self.instances))]
        self.rng.shuffle(numbers)
        names = (instance.settings.instance for instance in self.instances)
        self.group_by_name = dict(zip(names, numbers, strict=True))

    async def call(self, per_s: float, seconds: float, objects: int) -> None:
        """Callers send requests; each comes back once after a refusal."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        weights = [1.0 / (rank + 3) for rank in range(objects)]
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                (key,) = self.rng.choices(range(objects), weights)
                is_lookup = self.rng.random() < 0.74
                group.create_task(self._call_once(str(key), is_lookup))
                await asyncio.sleep(self.rng.expovariate(per_s))

    async def _call_once(self, key: str, is_lookup: bool) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        for _ in range(2):
            response = await self._ask(self.rng.choice(self.instances), key, is_lookup)
            if response.status != 503:
                break
            self.refusals[response.reason] += 1
            retry_after = next(value for name, value in response.headers if name == b"Retry-After")
            await asyncio.sleep(float(retry_after))
        self.replies.append(VirtualReply(sent_at, response.status, loop.time() - sent_at))

    async def _ask(self, instance: EntryInstance, key: str, is_lookup: bool) -> Response:
        headers = [
            (b"attempt-id", b"a%d" % next(self._ids)),
            (b"deadline-ms", b"3000"),
            (b"cookie", b"Affinity-Key=" + key.encode()),
            (b"host", b"papaya.example"),
            (b"work-s", b"0.64" if is_lookup else b"0.84"),
        ]
        kind, method = (b"lookup", b"GET") if is_lookup else (b"signoff", b"POST")
        at = asyncio.get_running_loop().time()
        target, host = b"/" + kind + b"/1", "papaya.example"
        request = CallerRequest(method, target, pack_headers(headers), host, Body(), at)
        response = await instance._handle_request(request)
        described = {name.decode(): value.decode() for name, value in response.headers}
        name = instance.settings.instance
        self.check.note_reply(name, described, asyncio.get_running_loop().time())
        return response


def find_delay(domain: str, other: str) -> float:
    """Time one way between two failure domains in seconds."""
    return WITHIN_REGION_S if REGIONS[domain] == REGIONS[other] else BETWEEN_REGIONS_S


def regions_of_schakelboek() -> Any:
    """Replace the failure domains of the stand-ins by those of the users' first site."""
    names = ("noord-a", "midden-a", "zuid-a", "noord-b", "midden-b", "zuid-b")
    return patch.dict(REGIONS, {name: name.partition("-")[0] for name in names})
