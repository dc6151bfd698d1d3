"""Reconstructs what happened to one request from the logs of several instances."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

TOPIC_BY_EVENT = {
    "configuration in force": "configuration",
    "configuration rejected": "configuration",
    "configuration refused": "configuration",
    "evacuations updated": "evacuations",
    "evacuations": "evacuations",
    "server list replaced": "servers",
    "server list": "servers",
    "store unreachable": "store",
    "store lost": "store",
    "store reachable again": "store",
    "store regained": "store",
    "store restored a copy": "restored copy",
    "following relay": "relay",
    "relay followed": "relay",
    "relay unreachable": "relay",
    "relay lost": "relay",
    "reading the store": "relay",
    "store read": "relay",
    "owner unreachable": "owners",
    "owner lost": "owners",
    "leaving": "own state",
    "no server reached": "own links to servers",
    "servers reached again": "own links to servers",
}
"""Topic of each event that changes the state known to an instance. Some events have two texts: logs
of earlier versions have the older one."""
SERVER_EVENTS = frozenset(
    (
        "server updated",
        "server",
        "server removed",
        "server gone",
        "server crashed",
        "server entry rejected",
        "server entry refused",
        "server failing",
        "server recovered",
        "server limit changed",
        "server says that it leaves",
        "server wants nothing for a while",
        "idle connection lost",
        "rested connection lost",
    )
)
SHOWN_SERVER_EVENTS = 5


@dataclass
class InstanceState:
    """State of one instance according to its log: the latest record of each topic."""

    line_by_topic: dict[str, dict] = field(default_factory=dict)
    server_events: dict[str, list[dict]] = field(default_factory=dict)


def explain(request_id: str, sources: Iterable[tuple[str, Iterable[str]]]) -> Iterator[str]:
    """Describe what happened to a request, line by line; ``sources`` are (instance, log lines)."""
    found: list[tuple[float, str, dict, InstanceState]] = []
    for instance, lines in sources:
        state = InstanceState()
        for record in map(read_line, lines):
            if record is None:
                continue
            if record.get("id") == request_id and record["event"] == "request":
                found.append((record["at"], instance, record, snapshot(state, record)))
            track(state, record)
    for at, instance, record, state in sorted(found, key=lambda item: item[0]):
        yield from format_request(at, instance, record, state)


def read_line(line: str) -> dict | None:
    """Parse a log line, ignoring text before the JSON object; None if the line is no record."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except json.JSONDecodeError:
        return None
    is_record = isinstance(record, dict) and "event" in record and "at" in record
    return record if is_record else None


def track(state: InstanceState, record: dict) -> None:
    """Update the state of an instance with one of its log records."""
    topic = TOPIC_BY_EVENT.get(record["event"])
    if topic:
        state.line_by_topic[topic] = record
    if record["event"] in SERVER_EVENTS:
        server = str(record.get("id") or record.get("server") or "")
        state.server_events.setdefault(server, []).append(record)


def snapshot(state: InstanceState, record: dict) -> InstanceState:
    """Copy the state at the time of a request, limited to the servers that it was sent to."""
    servers = {
        name: list(state.server_events.get(name, [])[-SHOWN_SERVER_EVENTS:])
        for name in record.get("servers", [])
    }
    return InstanceState(dict(state.line_by_topic), servers)


def format_request(at: float, instance: str, record: dict, state: InstanceState) -> Iterator[str]:
    """Describe how one instance handled a request."""
    outcome = record["reason"] or "answered by the server"
    yield f"{at:.3f} {instance}: status {record['status']} after {record['ms']} ms: {outcome}"
    yield (
        f"  route {record.get('route', 'none')}, rank {record.get('rank')}, service "
        f"{record.get('service', '-')}, object {record.get('object') or '-'}, "
        f"configuration {record['config']}, waited {record.get('waited_ms', 0)} ms"
    )
    for server, wait_ms in record.get("refused_ms", {}).items():
        yield f"  no permit at {server}: its owner expected a wait of {wait_ms:g} ms"
    failures = record.get("failures", [])
    for number, server in enumerate(record.get("servers", [])):
        load = (record.get("loads") or [])[number : number + 1]
        permit = (record.get("permits") or [])[number : number + 1]
        limit_per_s = record.get("limits", {}).get(server)
        known = f"load known {load[0] if load else '?'}"
        if permit:
            known += f", permitted by {permit[0]}"
        if limit_per_s is not None:
            known += f", limit known {limit_per_s:g} a second"
        ending = "no answer" if record["reason"] else "answered"
        result = failures[number] if number < len(failures) else ending
        yield f"  sent to {server} ({known}): {result}"
        for line in state.server_events.get(server, []):
            yield f"    {line['at'] - at:+.3f} s {format_record(line)}"
    if carriers := record.get("carriers"):
        yield f"  this instance reached no server; sent by way of {', '.join(carriers)}"
    if not record.get("view_is_current", True):
        yield "  the instance had no contact with the store or a relay at that time"
    for _, line in sorted(state.line_by_topic.items()):
        yield f"  known since {line['at'] - at:+.3f} s: {format_record(line)}"


def format_record(record: dict) -> str:
    """Format the event and the fields of a record."""
    fields = {
        name: value
        for name, value in record.items()
        if name not in ("at", "level", "part", "event")
    }
    text = ", ".join(f"{name} {value}" for name, value in fields.items())
    return f"{record['event']}: {text}" if text else record["event"]
