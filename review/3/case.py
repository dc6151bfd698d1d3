"""Clients offer another protocol with the first request of a connection, and keep the connection."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import TROUBLE, read_answer, request_bytes, run_case, seal  # noqa: E402

OFFER = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"
)
CLIENTS, END_S = 6, 30.0


class Case:
    def __init__(self, deployment) -> None:
        self.d = deployment
        self.results = Counter()
        self.foreign = 0

    async def ask(self, reader, writer, method, target, body, is_first: bool):
        attempt = self.d.attempt_id()
        head, body = request_bytes(method, target, self.d.HOST, attempt, 2500, "", body)
        if is_first and TROUBLE:
            head = head[:-2] + OFFER + b"\r\n"
        self.d.record.write("client: sends", attempt, method, target, "first" if is_first else "")
        writer.write(head + body)
        answer = await asyncio.wait_for(read_answer(reader), 3)
        self.d.record.write("client: gets", attempt, answer)
        if answer.status == 200:
            is_own = answer.headers.get("response-seal") == seal(attempt, answer.body)
            self.results["own answer" if is_own else "FOREIGN 200"] += 1
            self.foreign += not is_own
        elif answer.status in (502, 503, 504):
            self.results[f"{answer.status}"] += 1
        else:
            # Nothing that this request says is a reason for it; see whether it was processed.
            ran = any(run[1] == attempt for item in self.d.upstreams for run in item.runs)
            self.results[f"{answer.status}, run={ran}"] += 1
            self.foreign += 1
            self.d.record.write("an answer to another request:", attempt, answer, f"run={ran}")
        return answer

    async def client(self, machine, number: int) -> None:
        """One lookup and one order on each connection, one after the other."""
        while True:
            reader, writer = await asyncio.open_connection(machine.ip, 8144)
            try:
                await self.ask(reader, writer, "GET", f"/look/{number}", b"", True)
                await self.ask(reader, writer, "POST", f"/order/{number}", b"two laptops", False)
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                self.results[type(error).__name__] += 1
            finally:
                writer.close()
            await asyncio.sleep(random.uniform(0.3, 0.6))


async def case(deployment) -> int:
    d, test = deployment, Case(deployment)
    d.add_machines(["cdmx-a", "gdl-a"])
    d.add_upstreams("tienda", ["cdmx-a", "gdl-a"] * 3, work_s=0.1)
    routes = {
        "catalog-browse": {"path_prefix": "/look/", "service": "tienda"},
        "order-charge": {
            "path_prefix": "/order/",
            "service": "tienda",
            "type": "unsafe",
            "priority": 1,
            "timeout_ms": 2500,
            "target_latency_ms": 300,
        },
    }
    d.write_config(7, routes, ["tienda"])
    await d.start()
    for number in range(CLIENTS):
        d.spawn(test.client(d.machines[number % 2], number))
    await asyncio.sleep(END_S)
    d.record.write("results", dict(test.results), "answers to another request:", test.foreign)
    print(dict(test.results), "answers to another request:", test.foreign)
    return 1 if test.foreign else 0


run_case(Path(__file__).resolve().parent, case)
