"""The promises that the soak checks, from what callers and backend servers see."""

import hashlib
from collections import Counter
from dataclasses import dataclass, field

PROMISES = frozenset((408, 421, 429, 503))
SLACK_S = 0.5
"""Time of this machine's scheduling that is not held against a bound."""


def body_of(request_id: str) -> bytes:
    """The only right body of an answer."""
    return hashlib.blake2b(request_id.encode(), digest_size=16).hexdigest().encode() * 8


@dataclass
class Sent:
    """One attempt of a caller."""

    id: str
    is_idempotent: bool
    at: float
    deadline_s: float
    status: int | None = None
    body: bytes = b""
    seal: str = ""
    ended_at: float = 0.0


@dataclass
class Ledger:
    """What was sent and what ran, and what is wrong with it."""

    sent_by_id: dict[str, Sent] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    findings: list[str] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)

    def note_run(self, request_id: str, now: float) -> None:
        """A server begins to work on a request."""
        self.runs[request_id] += 1
        sent = self.sent_by_id.get(request_id)
        if sent is None:
            self.find(now, f"a server runs {request_id}, which no caller sent")
        elif not sent.is_idempotent and self.runs[request_id] > 1:
            self.find(now, f"{request_id} must run once and runs again")
        elif not sent.is_idempotent and sent.status in PROMISES:
            self.find(now, f"{request_id} was answered {sent.status} and runs")

    def note_answer(self, sent: Sent, now: float) -> None:
        """A caller got an answer, or status 0 for a closed connection."""
        sent.ended_at = now
        self.statuses[sent.status] += 1
        if sent.status == 200 and (not sent.seal or sent.body != body_of(sent.id)):
            self.find(now, f"{sent.id} got a success that is not its own whole answer")
        if sent.status in PROMISES and not sent.is_idempotent and self.runs[sent.id]:
            self.find(now, f"{sent.id} was answered {sent.status} and has run")
        if now - sent.at > sent.deadline_s + 1.0 + SLACK_S:
            self.find(now, f"{sent.id} was answered {now - sent.at:.1f} s after it was sent")

    def find(self, now: float, text: str) -> None:
        """Record a broken promise."""
        self.findings.append(f"{now:8.2f} {text}")
