"""Stand-in for callers: cache look-ups, send, resend, and check every answer."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import uuid6
import xxhash

MAX_SENDS = 12
RESEND_S = 0.5


@dataclass
class Tally:
    """What the callers of one rank got."""

    sent: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    crossed: int = 0
    short: int = 0
    latency_s: list[float] = field(default_factory=list)
    reasons: Counter = field(default_factory=Counter)
    outcome_by_work: dict[str, str] = field(default_factory=dict)

    def quantile_ms(self, share: float) -> float:
        ordered = sorted(self.latency_s)
        if not ordered:
            return 0.0
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


@dataclass(frozen=True)
class Work:
    """One kind of request that a caller sends."""

    method: str
    path: str
    host: str
    rank: str
    service: str
    body_bytes: int = 0
    is_keyed: bool = False


class Caller:
    """One caller at one address."""

    def __init__(self, address: str, instances: list[str], session, tally: dict[str, Tally]):
        self.address = address
        self.instances = instances
        self.session = session
        self.tally = tally
        self.random = random.Random(address)
        self.cached: dict[str, tuple[float, dict]] = {}

    async def run(self, works: list[Work], until: float, pause_s: float) -> None:
        while time.monotonic() < until:
            await self.do(self.random.choice(works))
            await asyncio.sleep(self.random.expovariate(1 / pause_s) if pause_s else 0)

    async def do(self, work: Work) -> None:
        tally = self.tally[work.rank]
        tally.sent += 1
        work_id = str(uuid6.uuid7())
        body = self.random.randbytes(work.body_bytes)
        began = time.monotonic()
        outcome = "unknown"
        failed: set[str] = set()
        for attempt in range(MAX_SENDS):
            found = await self.look_up(work.service)
            address = self._pick(found, failed)
            outcome = await self._send(work, work_id, body, found, address, attempt, tally)
            if outcome != "again":
                break
            failed.add(address)
            await asyncio.sleep(RESEND_S if attempt else 0)
        outcome = "unknown" if outcome == "again" else outcome
        if outcome == "answered":
            tally.answered += 1
            tally.latency_s.append(time.monotonic() - began)
        elif outcome == "not-run":
            tally.not_run += 1
        else:
            tally.unknown += 1
        if work.is_keyed:
            tally.outcome_by_work[work_id] = outcome

    async def look_up(self, service: str) -> dict:
        expires_at, found = self.cached.get(service, (0.0, None))
        if time.monotonic() < expires_at:
            return found
        for address in self.random.sample(self.instances, len(self.instances)):
            url = f"http://{address}/-/lookup?service={service}&caller={self.address}"
            try:
                async with self.session.get(url) as response:
                    if response.status == 200:
                        fresh = await response.json()
                        expires_at = time.monotonic() + fresh["ttl_s"]
                        self.cached[service] = (expires_at, fresh)
                        return fresh
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        return found or {"key_prefix": "", "instances": []}

    def _pick(self, found: dict, failed: set[str]) -> str:
        choices = [item for item in found["instances"] if item["address"] not in failed]
        if not choices:
            failed.clear()
            return self.random.choice(self.instances)
        weights = [item["weight"] for item in choices]
        return self.random.choices(choices, weights)[0]["address"]

    async def _send(
        self, work: Work, work_id: str, body: bytes, found: dict, address: str, attempt: int, tally
    ) -> str:
        headers = {"Host": work.host, "X-Work-Id": work_id}
        if work.is_keyed:
            headers["Idempotency-Key"] = f"{found['key_prefix']}{work_id}"
            if attempt == 0:
                headers["Idempotency-Attempt"] = "1"
        try:
            async with self.session.request(
                work.method, f"http://{address}{work.path}", data=body or None, headers=headers
            ) as response:
                document = await response.json(content_type=None)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            tally.reasons["connection"] += 1
            return "again"
        if status == 200:
            return self._check(work, work_id, body, document, tally)
        tally.reasons[document.get("reason", str(status))] += 1
        if document.get("reason") in ("in-progress", "ledger-unavailable"):
            return "again"
        is_safe = not work.is_keyed and work.method in ("GET", "PUT")
        if is_safe and document.get("outcome") == "unknown":
            return "again"
        return document.get("outcome", "unknown")

    def _check(self, work: Work, work_id: str, body: bytes, document: dict, tally: Tally) -> str:
        if document["work"] != work_id or document["path"] != work.path.split("?")[0]:
            tally.crossed += 1
            return "crossed"
        if document["body"] != xxhash.xxh3_128_hexdigest(body):
            tally.short += 1
            return "short"
        return "answered"
