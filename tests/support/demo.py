"""Run both deployments of the examples, small, on loopback, with a kill and a planned stop."""

import asyncio
import sys
import time
from collections import Counter, defaultdict
from datetime import UTC, datetime, timedelta
from io import StringIO
from pathlib import Path

import aiohttp
import yaml

from papayalever.context import Environment
from papayalever.core import main as papayalever

from .caller import Caller, Tally, Work
from .cluster import Cluster, Shape

EXAMPLES = Path(__file__).parents[2] / "examples"
CALLERS_PER_REGION = 6
RUN_S = 17.0
KILL_AFTER_S = 3.0
STOP_AFTER_S = 8.0
PAUSE_S = 0.15
UPLOAD_BYTES = 400_000

WORKS = {
    "schakelboek": [
        Work("GET", "/lookup/bay-7", "logboek.example", "urgent", "logboek"),
        Work("POST", "/signoff", "logboek.example", "urgent", "logboek", 200, is_keyed=True),
        Work("GET", "/records?bytes=20000", "logboek.example", "normal", "logboek"),
        Work("PUT", "/scan", "beeldarchief.example", "bulk", "beeldarchief", UPLOAD_BYTES),
    ],
    "tlaloc": [
        Work("GET", "/stock/laptop", "tienda.example", "urgent", "tienda"),
        Work("POST", "/order", "tienda.example", "urgent", "tienda", 200, is_keyed=True),
        Work("GET", "/list?bytes=20000", "tienda.example", "normal", "tienda"),
        Work("PUT", "/photo", "bodega.example", "bulk", "bodega", UPLOAD_BYTES),
    ],
}


class ExampleCluster(Cluster):
    """A cluster whose configuration is an example file."""

    def __init__(self, name: str) -> None:
        self.path = EXAMPLES / f"{name}.yaml"
        self.document = yaml.safe_load(self.path.read_text())
        regions = {
            region: item["failure_domains"] for region, item in self.document["regions"].items()
        }
        super().__init__(Shape(regions, 2, service=next(iter(self.document["services"]))))

    def configuration(self, **changes) -> dict:
        return {**self.document, **changes}

    def _place_backends(self) -> list[dict]:
        services = self.document["services"].values()
        return [backend for service in services for backend in service["backends"]]


async def run_example(name: str) -> bool:
    async with ExampleCluster(name) as cluster:
        first = next(iter(cluster.by_id.values()))
        await run_command("apply", str(cluster.path), "--instance", first.operator)
        await cluster.wait_for(lambda: cluster.all_at(1))
        tally: dict[str, Tally] = defaultdict(Tally)
        callers = asyncio.create_task(run_callers(cluster, name, tally))
        await asyncio.sleep(KILL_AFTER_S)
        killed, stopped = list(cluster.by_id)[1], list(cluster.by_id)[2]
        cluster.kill(killed)
        await cluster.list_running()
        print(f"{name}: killed {killed}")
        await asyncio.sleep(STOP_AFTER_S - KILL_AFTER_S)
        await plan_stop(cluster, first.operator, stopped)
        await callers
        drained = await wait_drained(cluster, stopped)
        await run_command("status", "--instance", first.operator)
        report = await cluster.report()
        return print_result(name, tally, report, drained)


async def run_callers(cluster: Cluster, name: str, tally: dict[str, Tally]) -> None:
    until = time.monotonic() + RUN_S
    instances = [item.caller for item in cluster.by_id.values()]
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=40)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        callers = [
            Caller(f"127.{region + 1}.0.{number + 1}", instances, session, tally)
            for region in range(len(cluster.shape.regions))
            for number in range(CALLERS_PER_REGION)
        ]
        await asyncio.gather(*(item.run(WORKS[name], until, PAUSE_S) for item in callers))


async def plan_stop(cluster: Cluster, operator: str, instance_id: str) -> None:
    at = (datetime.now(UTC) + timedelta(seconds=2)).isoformat()
    stop = {"kind": "instance", "id": instance_id, "at": at}
    path = Path(cluster.directory.name) / "planned-stop.yaml"
    path.write_text(yaml.safe_dump(cluster.configuration(planned_stops=[stop])))
    await run_command("apply", str(path), "--instance", operator)


async def wait_drained(cluster: Cluster, instance_id: str) -> str:
    code = await cluster.wait_exit(instance_id)
    lines = [line for line in cluster.log(instance_id).splitlines() if "drained" in line]
    drained = lines[-1].split("daemon: ")[1] if lines else "without a drain"
    return f"{drained}, exit status {code}"


async def run_command(*arguments: str) -> None:
    """Run the real command line in a thread and show its output."""
    env = Environment(stdout=StringIO(), stderr=StringIO())
    print("$ papayalever", *arguments)
    status = await asyncio.to_thread(papayalever, arguments, env)
    print(env.stdout.getvalue() + env.stderr.getvalue(), end="")
    if status != 0:
        raise SystemExit(f"papayalever {arguments[0]} ended with {status!r}")


def print_result(name: str, tally: dict[str, Tally], report: dict, drained: str) -> bool:
    print(f"\n{name}: {drained}")
    print(f"{'rank':8}{'sent':>7}{'answered':>10}{'not-run':>9}{'unknown':>9}", end="")
    print(f"{'p50 ms':>9}{'p99 ms':>9}")
    for rank in ("urgent", "normal", "bulk"):
        item = tally[rank]
        print(
            f"{rank:8}{item.sent:7}{item.answered:10}{item.not_run:9}{item.unknown:9}"
            f"{item.quantile_ms(0.5):9.1f}{item.quantile_ms(0.99):9.1f}"
        )
    runs = {
        work: sum(server["runs"].get(work, 0) for server in report.values())
        for item in tally.values()
        for work in item.outcome_by_work
    }
    outcomes = {k: v for item in tally.values() for k, v in item.outcome_by_work.items()}
    doubled = sum(count > 1 for count in runs.values())
    lost = sum(outcomes[work] == "answered" and not count for work, count in runs.items())
    untrue = sum(outcomes[work] == "not-run" and count > 0 for work, count in runs.items())
    crossed = sum(item.crossed + item.short for item in tally.values())
    print(f"{'reasons':8}", dict(sum((item.reasons for item in tally.values()), start=Counter())))
    print(
        f"keyed requests {len(runs)}: doubled {doubled}, lost {lost}, untrue refusals {untrue}; "
        f"crossed or short answers {crossed}\n"
    )
    return not (doubled or lost or untrue or crossed)


async def main() -> int:
    kept = [await run_example(name) for name in WORKS]
    print("every promise was kept" if all(kept) else "a promise was broken")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
