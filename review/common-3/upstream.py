"""Stand-in for an upstream server of the platform, as a process of its own.

It registers itself in the store, sends heartbeats, has slots and a queue, tells its load, is cold
after a start during traffic and rejects what another upstream was meant to get. A request for a
path given with --crash ends the process. Each event is one JSON line on standard output, timed by
the monotonic clock, which all processes of the machine share.
"""

import argparse
import asyncio
import json
import os
import random
import time
from contextlib import suppress

HEARTBEAT_S = 1.5
REGISTER_RETRY_S = 0.5
QUEUE = 12


def emit(**event) -> None:
    print(json.dumps({"t": round(time.monotonic(), 4), **event}), flush=True)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """First line, headers with lower-case names, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


class Upstream:
    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self.slots = asyncio.Semaphore(options.slots)
        self.cold_until = time.monotonic() + options.cold_s

    @property
    def cold_left_s(self) -> float:
        return max(0.0, self.cold_until - time.monotonic())

    async def run(self) -> None:
        host, port = self.options.address.split(":")
        await asyncio.start_server(self.serve, host, int(port), reuse_address=True)
        emit(e="start", server=self.options.id, cold_s=self.options.cold_s)
        while True:
            done = await self.register()
            await asyncio.sleep(HEARTBEAT_S if done else REGISTER_RETRY_S)

    async def register(self) -> bool:
        """Write the own entry; returns whether the store accepted it."""
        self.sequence += 1
        spec = {
            "service": self.options.service,
            "address": self.options.address,
            "zone": self.options.zone,
            "version": "v1",
            "max_concurrency": self.options.slots,
            "phase": "ready",
            "warmup_left_ms": int(self.cold_left_s * 1000),
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        document = {"metadata": {"name": self.options.id}, "spec": spec}
        status = await self.call("POST", "/objects/servers", document)
        if status == 409:
            status = await self.call("PUT", f"/objects/servers/{self.options.id}", document)
        return status == 200

    async def call(self, method: str, path: str, document: dict) -> int:
        host, port = self.options.store.split(":")
        body = json.dumps(document).encode()
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = f"{method} {path} HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}"
                writer.write(f"{head}\r\nContent-Type: application/json\r\n\r\n".encode() + body)
                first, _, _ = await read_message(reader)
                writer.close()
                return int(first.split(" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                await self.answer(method, target, headers, body, reader, writer)
                await writer.drain()
        writer.close()

    def is_shedding(self) -> bool:
        """Whether it turns a share of the requests away although it has room."""
        return 0.0 <= time.monotonic() - self.options.shed_from < self.options.shed_s

    def load(self) -> str:
        return f"{self.running},{self.waiting},{self.options.slots}"

    async def answer(self, method, target, headers, body, reader, writer) -> None:
        request_id = headers.get("attempt-id", "")
        if target == "/healthz":
            extra = f"Instance-Id: {self.options.id}\r\n"
            extra += f"Warmup-Ms: {int(self.cold_left_s * 1000)}\r\n"
            self.write(writer, "200 OK", request_id, extra, b"")
            return
        wanted = headers.get("target-instance", self.options.id)
        event = {"id": request_id, "method": method, "target": target, "server": self.options.id}
        if wanted != self.options.id:
            emit(e="misdirected", **event)
            extra = f"Not-Executed: 1\r\nInstance-Id: {self.options.id}\r\n"
            self.write(writer, "421 Misdirected Request", request_id, extra, b"")
            return
        emit(e="arrive", cold=self.cold_left_s > 0, **event)
        if self.running >= self.options.slots and self.waiting >= QUEUE:
            extra = f"Not-Executed: 1\r\nServer-Load: {self.load()}\r\n"
            self.write(writer, "503 Service Unavailable", request_id, extra, b"")
            return
        if self.is_shedding() and random.random() < self.options.shed:
            extra = f"Not-Executed: 1\r\nServer-Load: {self.load()}\r\n"
            self.write(writer, "503 Service Unavailable", request_id, extra, b"")
            return
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            emit(e="begin", **event)
            if target == self.options.crash:
                await asyncio.sleep(self.options.crash_after)
                emit(e="crash", **event)
                os._exit(1)
            run_s = self.options.run_s * (2 if self.cold_left_s > 0 else 1)
            if not await self.work(reader, run_s):
                emit(e="dropped", **event)
                raise ConnectionError("the caller left")
            emit(e="end", **event)
            extra = f"Response-Seal: seal.{request_id}\r\nServer-Load: {self.load()}\r\n"
            extra += "Keep-Alive: timeout=10\r\n"
            self.write(writer, "200 OK", request_id, extra, b"done " + request_id.encode())
        finally:
            self.running -= 1
            self.slots.release()

    async def work(self, reader: asyncio.StreamReader, run_s: float) -> bool:
        """Run; returns whether the connection lived on, as a request is dropped with it."""
        end = time.monotonic() + run_s
        while (left_s := end - time.monotonic()) > 0:
            if reader.at_eof() or reader.exception():
                return False
            await asyncio.sleep(min(0.02, left_s))
        return True

    def write(self, writer, status: str, request_id: str, extra: str, body: bytes) -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}"
        if request_id:
            head += f"Attempt-Id: {request_id}\r\n"
        writer.write(f"{head}\r\n".encode() + body)


def main() -> None:
    parser = argparse.ArgumentParser()
    for name in ("id", "address", "zone", "service", "store"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--run-s", type=float, default=0.08)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--shed", type=float, default=0.0, help="share that it turns away")
    parser.add_argument("--shed-from", type=float, default=0.0, help="by the monotonic clock")
    parser.add_argument("--shed-s", type=float, default=0.0)
    parser.add_argument("--crash", default="", help="target of the request that crashes it")
    parser.add_argument("--crash-after", type=float, default=0.0)
    asyncio.run(Upstream(parser.parse_args()).run())


if __name__ == "__main__":
    main()
