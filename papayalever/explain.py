"""The story of one request, from the log lines of several instances."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

BELIEFS = {
    "configuration in force": "configuration",
    "configuration refused": "configuration",
    "evacuations": "evacuations",
    "server list": "servers",
    "store lost": "store",
    "store regained": "store",
    "relay followed": "relay",
    "relay lost": "relay",
    "store read": "relay",
    "owner lost": "owners",
    "leaving": "own state",
}
"""Events that change what an instance believes, by the belief."""
SERVER_EVENTS = frozenset(
    (
        "server",
        "server gone",
        "server crashed",
        "server entry refused",
        "server failing",
        "server recovered",
        "rested connection lost",
    )
)
SHOWN_SERVER_EVENTS = 5


@dataclass
class InstanceView:
    """What one instance last said of its beliefs."""

    line_by_belief: dict[str, dict] = field(default_factory=dict)
    lines_by_server: dict[str, list[dict]] = field(default_factory=dict)


def explain(request_id: str, sources: Iterable[tuple[str, Iterable[str]]]) -> Iterator[str]:
    """Lines that tell what happened to a request; ``sources`` are (instance, log lines)."""
    found: list[tuple[float, str, dict, InstanceView]] = []
    for instance, lines in sources:
        view = InstanceView()
        for record in map(read_line, lines):
            if record is None:
                continue
            if record.get("id") == request_id and record["event"] == "request":
                found.append((record["at"], instance, record, copy_view(view, record)))
            note_belief(view, record)
    for at, instance, record, view in sorted(found, key=lambda item: item[0]):
        yield from tell(at, instance, record, view)


def read_line(line: str) -> dict | None:
    """A log line as a record, None if it is none; what stands before the JSON is passed over."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except json.JSONDecodeError:
        return None
    is_record = isinstance(record, dict) and "event" in record and "at" in record
    return record if is_record else None


def note_belief(view: InstanceView, record: dict) -> None:
    """Remember what an instance believes from here on."""
    belief = BELIEFS.get(record["event"])
    if belief:
        view.line_by_belief[belief] = record
    if record["event"] in SERVER_EVENTS:
        server = str(record.get("id") or record.get("server") or "")
        view.lines_by_server.setdefault(server, []).append(record)


def copy_view(view: InstanceView, record: dict) -> InstanceView:
    """The view at the time of a request, with the servers that it was sent to."""
    servers = {
        name: list(view.lines_by_server.get(name, [])[-SHOWN_SERVER_EVENTS:])
        for name in record.get("servers", [])
    }
    return InstanceView(dict(view.line_by_belief), servers)


def tell(at: float, instance: str, record: dict, view: InstanceView) -> Iterator[str]:
    """One attempt in plain lines."""
    outcome = record["reason"] or "answered by the server"
    yield f"{at:.3f} {instance}: status {record['status']} after {record['ms']} ms: {outcome}"
    yield (
        f"  route {record.get('route', 'none')}, rank {record.get('rank')}, service "
        f"{record.get('service', '-')}, object {record.get('object') or '-'}, "
        f"configuration {record['config']}, waited {record.get('waited_ms', 0)} ms"
    )
    for server, wait_ms in record.get("refused_ms", {}).items():
        yield f"  no place at {server}: its owner expected a wait of {wait_ms:g} ms"
    failures = record.get("failures", [])
    for number, server in enumerate(record.get("servers", [])):
        load = (record.get("loads") or [])[number : number + 1]
        ending = "no answer" if record["reason"] else "answered"
        result = failures[number] if number < len(failures) else ending
        yield f"  sent to {server} (load known {load[0] if load else '?'}): {result}"
        for line in view.lines_by_server.get(server, []):
            yield f"    {line['at'] - at:+.3f} s {describe(line)}"
    if not record.get("view_is_current", True):
        yield "  the instance heard neither the store nor a relay at that time"
    for _, line in sorted(view.line_by_belief.items()):
        yield f"  believed since {line['at'] - at:+.3f} s: {describe(line)}"


def describe(record: dict) -> str:
    """A record without its frame."""
    fields = {
        name: value
        for name, value in record.items()
        if name not in ("at", "level", "part", "event")
    }
    listed = ", ".join(f"{name} {value}" for name, value in fields.items())
    return f"{record['event']}: {listed}" if listed else record["event"]
