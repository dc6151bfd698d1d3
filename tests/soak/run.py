"""Runs the soak: ``python -m tests.soak.run --seed 7 --minutes 1``."""

import argparse
import asyncio
import itertools
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

from papayalever.entry.instance import METRICS_PATH, METRICS_PORT

from ..support.limits import LimitCheck
from ..support.notices import NoticeCheck
from ..support.platform import (
    ENTRY_HEADER,
    SERVER_HEADER,
    Behave,
    Caller,
    FakeServer,
    PlatformStore,
    Seen,
    boot_text,
    configuration,
    refusal,
    sealed,
)
from ..support.program import Program
from .checks import SLACK_S, Ledger, Sent, body_of
from .proxy import Fault, FaultProxy

DOMAINS = ("noord-a", "noord-b", "midden-a")
INSTANCES_PER_DOMAIN = 2
"""Unless ``--instances`` names another number."""
SERVERS_PER_DOMAIN = 3
CALLERS = 12
DRAIN_S = 2.5
EVACUATION_S = 5.0
CONFIG_S = 2.5
VERSION_METRIC = "papayalever_config_version"
CONTACT_S = 4.0
"""Bounds hold for instances that nothing happened to for so long."""
WRITTEN_KINDS = frozenset(("servers", "config", "evacuations"))
"""Kinds that operators and servers write again after the store restored a copy."""
REWRITE_S = 1.5
VERSION_CHECK_S = 0.1
LEAST_SERVED = 0.9
"""Share of the requests that are served once all faults are over."""


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, directory: Path, instances: int) -> None:
        self.rng = Random(seed)
        self.net = f"127.{100 + seed % 100}.{os.getpid() % 250}"
        self.ledger = Ledger()
        self.limits = LimitCheck()
        self.notices = NoticeCheck(DRAIN_S)
        self.store = PlatformStore(f"{self.net}.1:8142")
        self.store_proxy = FaultProxy(f"{self.net}.2:8142", self.store.address)
        self.server_by_id: dict[str, FakeServer] = {}
        self.proxy_by_id: dict[str, FaultProxy] = {}
        self.programs: list[Program] = []
        self.directory = directory
        self.instances = instances
        self.store.era = "1"
        self.store_disturbed_at = -100.0
        self.is_restoring = False
        self.left_at: dict[str, float] = {}
        self.emptied_at: dict[str, float] = {}
        self.is_over = False
        self.version = 3
        self._ids = itertools.count(1)
        self._hosts = itertools.count(10)
        self._tasks: set[asyncio.Task] = set()

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def say(self, text: str) -> None:
        print(f"{self.now():8.2f} {text}", flush=True)

    # The deployment.

    async def start(self) -> None:
        await self.store.start()
        await self.store_proxy.start()
        self.store.put("config", "main", configuration(self.version))
        for domain in DOMAINS:
            for _ in range(SERVERS_PER_DOMAIN):
                await self.add_server(domain)
        for domain in DOMAINS:
            for _ in range(self.instances):
                self.add_program(domain)
        for program in self.programs:
            program.start()
        await asyncio.sleep(3.0 * max(1.0, self.instances / INSTANCES_PER_DOMAIN / 2))

    def add_program(self, domain: str) -> None:
        number = next(self._hosts)
        name, ip = f"edge-{domain}-{number}", f"{self.net}.{number}"
        path = self.directory / f"{name}.conf"
        path.write_text(boot_text(name, ip, domain, self.store_proxy.address))
        self.programs.append(Program(name, ip, path, self.directory / f"{name}.log"))

    async def add_server(self, domain: str, cold_ms: int = 0) -> FakeServer:
        number = next(self._hosts)
        proxy_address = f"{self.net}.{number}:8080"
        server = FakeServer(f"i-{number}", f"{self.net}.{number}:8081", domain)
        server.behave = self.run_at(server)
        proxy = FaultProxy(proxy_address, server.address)
        await server.start()
        await proxy.start()
        self.server_by_id[server.id], self.proxy_by_id[server.id] = server, proxy
        entry = server.entry(address=proxy_address, warmup_left_ms=cold_ms)
        self.store.put("servers", server.id, entry)
        return server

    def run_at(self, server: FakeServer) -> Behave:
        async def run_request(seen: Seen, writer: asyncio.StreamWriter) -> None:
            at, sender = self.now(), seen.headers.get(ENTRY_HEADER.lower(), "")
            if not self.is_disturbed(sender):
                self.notices.note_arrival(server.id, sender, at)
            if server.rest:
                self.notices.note_refusal(server.id, sender, float(server.rest), at)
                writer.write(refusal(seen, load="1,0,3", extra=server.name_notices()))
                return
            self.ledger.note_run(seen.id, at)
            self.check_allowed(seen, at)
            await asyncio.sleep(self.rng.uniform(0.005, 0.08))
            extra = server.name_limit() + server.name_notices()
            writer.write(sealed(seen, body_of(seen.id), extra=extra))

        return run_request

    def is_disturbed(self, name: str) -> bool:
        """Whether a program was killed, paused or stopped lately."""
        program = next((item for item in self.programs if item.name == name), None)
        return program is None or self.now() - program.disturbed_at < CONTACT_S

    def check_allowed(self, seen: Seen, at: float) -> None:
        """A leaving server and an emptied domain get nothing from undisturbed instances."""
        server = self.server_by_id[seen.headers["target-instance"]]
        calm_from = max(
            [self.store_disturbed_at, *(program.disturbed_at for program in self.programs)]
        )
        if at - calm_from < CONTACT_S:
            return
        left = self.left_at.get(server.id, at)
        if at - max(left, calm_from) > DRAIN_S + SLACK_S and left < at:
            self.ledger.find(at, f"{seen.id} reaches {server.id} {at - left:.1f} s after it left")
        emptied = self.emptied_at.get(server.failure_domain, at)
        if emptied < at and at - max(emptied, calm_from) > EVACUATION_S + SLACK_S:
            self.ledger.find(at, f"{seen.id} reaches emptied {server.failure_domain}")

    # Callers.

    async def call_on(self, rng: Random) -> None:
        while not self.is_over:
            program = rng.choice(self.programs)
            try:
                async with asyncio.timeout(1.0):
                    caller = await Caller.connect(f"{program.ip}:8144")
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            for _ in range(rng.randint(1, 12)):
                sent = self.send(caller, rng, program)
                status = await self.take(caller, sent, program)
                if status == 0 or self.is_over:
                    break
                await asyncio.sleep(rng.uniform(0.0, 0.1))
            caller.close()

    def send(self, caller: Caller, rng: Random, program: Program) -> Sent:
        kind = rng.choice(["lookup", "lookup", "signoff", "scan"])
        sent = Sent(f"r{next(self._ids)}", kind == "lookup", self.now(), rng.choice([1.0, 3.0]))
        self.ledger.sent_by_id[sent.id] = sent
        caller.send(
            f"/{kind}/{rng.randint(0, 20)}",
            sent.id,
            method="GET" if sent.is_idempotent else "POST",
            key=str(rng.randint(0, 20)),
            body=bytes(rng.randint(1, 60_000)) if kind == "scan" else b"",
            deadline_ms=int(sent.deadline_s * 1000),
            entry_name=program.name,
        )
        return sent

    async def take(self, caller: Caller, sent: Sent, program: Program) -> int:
        try:
            async with asyncio.timeout(sent.deadline_s):
                reply = await caller.read()
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            sent.status = 0
            self.ledger.statuses[0] += 1
            return 0
        if reply.status == 0 and program.must_answer and self.ledger.runs[sent.id]:
            self.ledger.find(self.now(), f"{program.name} ends {sent.id}, which runs, unanswered")
        self.limits.note_reply(program.name, reply.headers, self.now())
        server_id = reply.headers.get(SERVER_HEADER.lower(), "")
        self.notices.note_reply(server_id, program.name, reply.headers, self.now())
        sent.status, sent.body = reply.status, reply.body
        sent.seal = reply.headers.get("response-seal", "")
        self.ledger.note_answer(sent, self.now())
        return reply.status if reply.headers.get("connection") != "close" else 0

    # Faults.

    async def disturb(self) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_program,
            self.kill_all,
            self.pause_program,
            self.stop_program,
            self.lose_server,
            self.replace_server,
            self.fault_server,
            self.corrupt_server,
            self.limit_server,
            self.limit_server,
            self.withdraw_server,
            self.rest_server,
            self.fault_store,
            self.restore_store,
            self.change_configuration,
            self.empty_domain,
        ]
        while not self.is_over:
            for _ in range(self.rng.choice([1, 1, 2, 3])):
                task = asyncio.create_task(self.rng.choice(faults)())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))

    def pick_program(self) -> Program | None:
        running = [program for program in self.programs if program.is_running]
        return self.rng.choice(running) if len(running) > 2 else None

    async def kill_program(self) -> None:
        if program := self.pick_program():
            self.say(f"kill {program.name}")
            self.note_disturbed(program, 2.0)
            program.process.kill()
            await self.restart(program)

    async def kill_all(self) -> None:
        running = [program for program in self.programs if program.is_running]
        self.say(f"kill all {len(running)}")
        for program in running:
            self.note_disturbed(program, 2.0)
            program.process.kill()
        await asyncio.gather(*(self.restart(program) for program in running))

    async def stop_program(self) -> None:
        if program := self.pick_program():
            self.say(f"stop {program.name}")
            program.disturbed_at = self.now() + 8.0
            self.limits.excuse(program.name, self.now(), self.now() + 8.0)
            program.process.send_signal(signal.SIGTERM)
            await self.restart(program, 7.0)

    async def pause_program(self) -> None:
        if program := self.pick_program():
            pause_s = self.rng.uniform(0.3, 3.0)
            self.say(f"pause {program.name} for {pause_s:.1f} s")
            self.note_disturbed(program, pause_s)
            program.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            program.process.send_signal(signal.SIGCONT)

    def note_disturbed(self, program: Program, for_s: float) -> None:
        """A program is killed or paused: it owes nothing until some time after."""
        program.disturbed_at = self.now() + for_s
        program.must_answer = False
        self.limits.excuse(program.name, self.now(), self.now() + for_s + CONTACT_S)

    async def restart(self, program: Program, most_s: float = 2.0) -> None:
        end, process = self.now() + most_s, program.process
        while process.poll() is None and self.now() < end:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.ledger.find(self.now(), f"{program.name} still runs {most_s} s after its signal")
            program.must_answer = False
            process.kill()
            process.wait()
        self.limits.forget(program.name)
        self.notices.forget([program.name])
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        # Signals overlap: another one may have started it again.
        if program.process is process and not self.is_over:
            program.start()
            program.must_answer = True
            program.disturbed_at = max(program.disturbed_at, self.now())

    def pick_server(self) -> FakeServer | None:
        present = [item for key, item in self.server_by_id.items() if key not in self.left_at]
        return self.rng.choice(present) if len(present) > 4 else None

    async def lose_server(self) -> None:
        if server := self.pick_server():
            self.say(f"crash {server.id}")
            proxy = self.proxy_by_id[server.id]
            server.limit = server.leaving = server.rest = ""
            await server.stop()
            proxy.reset()
            self.notices.forget([server.id])
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            await server.start()
            born = 1_700_000_000_000 + next(self._ids)
            entry = server.entry(address=proxy.address, warmup_left_ms=1000, born=born)
            if server.id not in self.left_at:
                self.store.put("servers", server.id, entry)

    async def replace_server(self) -> None:
        if server := self.pick_server():
            self.say(f"replace {server.id}")
            await self.add_server(server.failure_domain, cold_ms=1500)
            if server.id in self.left_at:
                return
            address = self.proxy_by_id[server.id].address
            self.left_at[server.id] = self.now()
            self.store.put("servers", server.id, server.entry(address=address, phase="draining"))
            await asyncio.sleep(2.0)
            self.store.drop("servers", server.id)

    async def fault_server(self) -> None:
        if server := self.pick_server():
            proxy = self.proxy_by_id[server.id]
            started = self.now()
            await self.fault_proxy(proxy, f"server {server.id}")
            # What the proxy held back arrives at once.
            self.limits.excuse(server.id, started, self.now() + 1.0)

    async def corrupt_server(self) -> None:
        """The server accepts requests and fails or never answers them."""
        if server := self.pick_server():
            behave = self.rng.choice([fail_at(server), hang])
            self.say(f"{server.id} will {behave.__name__}")
            server.behave = behave
            await asyncio.sleep(self.rng.uniform(1.0, 5.0))
            server.behave = self.run_at(server)

    async def limit_server(self) -> None:
        """The server names limits that change, one of them no number, and then none."""
        if server := self.pick_server():
            for _ in range(self.rng.randint(1, 3)):
                server.limit = self.rng.choice(["0.3", "0.8", "1.6", "2.5", "6", "12", "many"])
                self.say(f"{server.id} names a limit of {server.limit}")
                await asyncio.sleep(self.rng.uniform(3.0, 9.0))
            server.limit = ""

    async def withdraw_server(self) -> None:
        """The server says that it leaves, only in its answers, and starts again later."""
        if server := self.pick_server():
            self.say(f"{server.id} says that it leaves")
            server.leaving = "1"
            await asyncio.sleep(self.rng.uniform(3.0, 8.0))
            server.leaving = ""
            # The same address, but what it said before is over.
            self.notices.forget([server.id])
            if server.id not in self.left_at:
                address = self.proxy_by_id[server.id].address
                born = 1_700_000_000_000 + next(self._ids)
                self.store.put("servers", server.id, server.entry(address=address, born=born))

    async def rest_server(self) -> None:
        """The server turns requests away and wants nothing for a while."""
        if server := self.pick_server():
            server.rest = self.rng.choice(["0", "0.4", "1", "2.5"])
            self.say(f"{server.id} rests for {server.rest} s at a time")
            await asyncio.sleep(self.rng.uniform(1.0, 5.0))
            server.rest = ""

    async def fault_store(self) -> None:
        self.store_disturbed_at = self.now() + 6.0
        if self.rng.random() < 0.3:
            self.say("the store forgets its history")
            self.store.forgets = True
            await asyncio.sleep(1.0)
            self.store.forgets = False
        else:
            await self.fault_proxy(self.store_proxy, "the store")
        self.store_disturbed_at = self.now()

    async def restore_store(self) -> None:
        """The store loses its latest changes, and operators and servers write theirs again."""
        if self.is_restoring:
            return
        self.is_restoring = True
        copy = self.store.copy()
        await asyncio.sleep(self.rng.uniform(0.5, 8.0))
        self.store_disturbed_at = self.now() + 6.0
        self.store.down_for = lambda host: True
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        written = dict(self.store.objects)
        self.store.restore(copy)
        self.store.down_for = lambda host: False
        self.say(f"the store restores a copy, era {self.store.era}")
        await self.write_again(written)
        self.store_disturbed_at = self.now()
        self.is_restoring = False

    async def write_again(self, written: dict[tuple[str, str], dict]) -> None:
        restored = dict(self.store.objects)
        keys = [key for key in sorted(written.keys() | restored) if key[0] in WRITTEN_KINDS]
        self.rng.shuffle(keys)
        for key in keys:
            await asyncio.sleep(self.rng.uniform(0.0, REWRITE_S / len(keys)))
            if self.store.objects.get(key) is not restored.get(key):
                # Something newer was written meanwhile.
                continue
            if key not in written:
                self.store.drop(*key)
            elif written[key] is not restored.get(key):
                self.store.put(*key, written[key]["spec"])

    async def fault_proxy(self, proxy: FaultProxy, name: str) -> None:
        proxy.fault = self.rng.choice([item for item in Fault if item != Fault.NONE])
        self.say(f"{proxy.fault} at {name}")
        if self.rng.random() < 0.3:
            proxy.reset()
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        proxy.fault = Fault.NONE

    async def change_configuration(self) -> None:
        self.version += self.rng.randint(1, 4)
        self.say(f"configuration {self.version}")
        idle = {"idle_timeout_ms": self.rng.choice([1500, 3000])}
        self.store.put("config", "main", configuration(self.version, limits=idle))

    async def empty_domain(self) -> None:
        domain = self.rng.choice(DOMAINS)
        if self.emptied_at:
            return
        self.say(f"empty {domain}")
        self.emptied_at[domain] = self.now()
        self.store.put("evacuations", domain, {})
        await asyncio.sleep(self.rng.uniform(1.0, 9.0))
        del self.emptied_at[domain]
        self.store.drop("evacuations", domain)

    # The run.

    async def run(self, seconds: float) -> list[str]:
        await self.start()
        callers = [
            asyncio.create_task(self.call_on(Random(self.rng.random()))) for _ in range(CALLERS)
        ]
        faults = asyncio.create_task(self.disturb())
        versions = asyncio.create_task(self.check_versions())
        await asyncio.sleep(seconds)
        faults.cancel()
        self.say("faults are over")
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.sleep(CONTACT_S + 3.0)
        before = self.ledger.statuses.copy()
        await asyncio.sleep(3.0)
        calm = self.ledger.statuses - before
        served = calm[200] / max(1, sum(calm.values()))
        if served < LEAST_SERVED:
            self.ledger.find(self.now(), f"{served:.2f} of the requests are served after all")
        await self.check_configuration()
        self.is_over = True
        await asyncio.gather(*callers, versions)
        for program in self.programs:
            if any(process.poll() is None for process in program.processes[:-1]):
                self.ledger.find(self.now(), f"{program.name} runs twice")
        findings = self.ledger.findings + self.notices.findings
        return findings + self.limits.find(self.server_by_id.values())

    async def check_versions(self) -> None:
        """No process ever goes back to an older configuration."""
        rng, version_by_process = Random(0), {}
        while not self.is_over:
            program = rng.choice(self.programs)
            process, version = program.process, await read_version(program)
            if version and process is program.process:
                known = version_by_process.get(process, 0)
                if version < known:
                    self.ledger.find(
                        self.now(), f"{program.name} goes back from {known} to {version}"
                    )
                version_by_process[process] = version
            await asyncio.sleep(VERSION_CHECK_S)

    async def check_configuration(self) -> None:
        """With nothing disturbed, a change is in force everywhere within its bound."""
        await self.change_configuration()
        changed_at = self.now()
        late = list(self.programs)
        while late and self.now() < changed_at + CONFIG_S + SLACK_S:
            await asyncio.sleep(0.1)
            late = [item for item in late if await read_version(item) != self.version]
        for program in late:
            self.ledger.find(self.now(), f"{program.name} lacks configuration {self.version}")

    async def stop(self) -> None:
        for process in itertools.chain.from_iterable(item.processes for item in self.programs):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for proxy in [self.store_proxy, *self.proxy_by_id.values()]:
            await proxy.stop()
        for server in self.server_by_id.values():
            await server.stop()
        await self.store.stop()


def fail_at(server: FakeServer) -> Behave:
    async def fail(seen: Seen, writer: asyncio.StreamWriter) -> None:
        limit = server.name_limit()
        writer.write(sealed(seen, b"failed", "500 Internal Server Error", limit))

    return fail


async def hang(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(10)


async def read_version(program: Program) -> int:
    """The configuration that a program says to have in force, 0 if it does not answer."""
    try:
        async with asyncio.timeout(1.0):
            caller = await Caller.connect(f"{program.ip}:{METRICS_PORT}")
            caller.send(METRICS_PATH, "metrics")
            text = (await caller.read()).body.decode()
        caller.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    values = [line.split()[1] for line in text.splitlines() if line.startswith(VERSION_METRIC)]
    return int(float(values[0])) if values else 0


async def soak(seed: int, seconds: float, instances: int = INSTANCES_PER_DOMAIN) -> list[str]:
    """Run one seed and return what was found."""
    with tempfile.TemporaryDirectory() as directory:
        run = Soak(seed, Path(directory), instances)
        try:
            findings = await run.run(seconds)
        finally:
            await run.stop()
        print(
            f"seed {seed}: {sum(run.ledger.statuses.values())} attempts, "
            f"by status {dict(sorted(run.ledger.statuses.items()))}"
        )
        for finding in findings:
            print(f"finding: seed {seed}: {finding}")
        print(f"seed {seed}: {len(findings)} findings", flush=True)
        if findings and os.environ.get("PAPAYALEVER_SOAK_LOGS"):
            kept = Path(os.environ["PAPAYALEVER_SOAK_LOGS"]) / f"seed-{seed}"
            kept.mkdir(parents=True, exist_ok=True)
            for program in run.programs:
                (kept / program.log.name).write_bytes(program.log.read_bytes())
    return findings


def main() -> int:
    parser = argparse.ArgumentParser(description="Seeded faults against real processes.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds from there on")
    parser.add_argument("--minutes", type=float, default=0.5, help="of faults, for each seed")
    parser.add_argument("--instances", type=int, default=INSTANCES_PER_DOMAIN, help="by domain")
    options = parser.parse_args()
    found = 0
    for seed in range(options.seed, options.seed + options.seeds):
        found += len(asyncio.run(soak(seed, options.minutes * 60, options.instances)))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
