"""Another writer's entry among those of the upstreams can't be read: no machine that starts later
gets the list of the upstreams, and after a final fault nobody is served."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from stage import CannotRunError, Client, Machine, Stage, now, play  # noqa: E402

RUN_S = 0.1
DOWN_S = 1.0
"""How long the machines are away in the final fault; sites say 0.74 to 1.3 s."""
JUDGED_S = 8.0
FOREIGN = {"service": "\ud800", "address": "127.0.0.1:9", "zone": "noord-a", "phase": "ready"}
"""Half of a pair of code units, as JSON libraries write it: `"\\ud800"`. It can't be read as text,
and the JSON around it is well-formed."""


async def work(stage: Stage, trouble: bool) -> list[str]:
    kill_only = os.environ.get("TROUBLE") == "kill"
    await stage.add_upstreams("tienda", 8, RUN_S)
    route = {"path_prefix": "/look/", "type": "safe", "service": "tienda", "attempts": 2}
    stage.put_config(3, [route], ["tienda"])
    await stage.start_machines(2)
    answers: list[tuple[float, int]] = []
    """When each request was sent, and the status of its answer."""

    async def look(machine: Machine, number: int) -> None:
        client = None
        while True:
            sent_at, status = now(), 0
            try:
                if client is None or not client.is_open:
                    client = await Client.connect(machine.front)
                reply = await stage.ask(machine, "GET", f"/look/{number}", client)
                status = reply.status
                if status == 0 or reply.headers.get("connection") == "close":
                    client.close()
                    client = None
            except OSError:
                client = None
            answers.append((sent_at, status))
            await asyncio.sleep(0.2)

    for machine in stage.machines:
        for number in range(4):
            stage.spawn(look(machine, number))
    started = now()
    await asyncio.sleep(4.0)
    if trouble and not kill_only:
        stage.store.put("servers", "i-foreign", FOREIGN)
        stage.record.note("foreign entry", spec=FOREIGN)
    await asyncio.sleep(4.0)
    struck_at = now()
    if trouble:
        for machine in stage.machines:
            machine.send(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for machine in stage.machines:
            machine.process.wait()
            machine.start()
    back_at = now()
    for machine in stage.machines:
        try:
            await machine.wait_ready(timeout_s=10.0)
            stage.record.note("ready", machine=machine.name)
        except CannotRunError:
            stage.record.note("not ready after 10 s", machine=machine.name)
    recovery_s = stage.bounds["recovery_s"]
    await asyncio.sleep(back_at + recovery_s + JUDGED_S - now())
    before = [status for at, status in answers if started <= at < struck_at]
    after = [status for at, status in answers if at > back_at + recovery_s]
    served_before = before.count(200) / max(1, len(before))
    served_after = after.count(200) / max(1, len(after))
    print(
        f"before the final fault {before.count(200)} of {len(before)} requests were served, "
        f"later than {recovery_s} s after it {after.count(200)} of {len(after)}; "
        f"statuses {sorted(set(after))}"
    )
    stage.record.note("served", before=[before.count(200), len(before)],
                      after=[after.count(200), len(after)])
    if served_before < 0.25 or len(after) < 20 or served_after >= 0.25:
        return []
    return [f"{served_after:.0%} of the requests are served after the recovery"]


play(str(HERE), work)
