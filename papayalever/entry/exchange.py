"""One request of a caller, from its head to its answer."""

import asyncio
import itertools
from dataclasses import dataclass, field

import logbook

from ..routing.health import SendOutcome, classify_unanswered
from ..routing.permits import PermitDecision
from ..routing.placement import Placement, PlacementKey
from ..routing.routes import RouteRule
from ..routing.servers import Server
from .clock import now
from .connection import SendError, SendFailure, connect
from .forwarding import encode_request, end_to_end
from .messages import Answer, AnswerKind, CallerRequest, RequestMeta, ServerAnswer
from .permit_broker import Permit, PermitBroker, PermitSpec
from .pool import CONNECT_S
from .shared import Shared, digest_request

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that tell a caller that its request has not run."""
DEFAULT_DEADLINE_S = 10.0
"""For callers that state none."""
MAX_CONNECTS = 4
"""Servers that one request tries to reach; nothing was sent to those that can not be reached."""
REPEAT_SHARE = 0.5
"""Part of the aim that must be left for another server to run an idempotent request again."""
SUBSTITUTES = 2
"""Servers beside an object's own that are asked for spare room; more would push out objects that
they know."""
MAX_CHOICES = 3
"""How often a request chooses anew because its server left while it waited."""
RETURN_S = 0.15
"""When a caller that was turned away may come back: a warm run frees a slot by then."""
MIN_LEFT_S = 0.02
"""Less time than this is not worth a send."""

log = logbook.Logger("request")


@dataclass(slots=True)
class Story:
    """What happened to a request, for its log line."""

    servers: list[str] = field(default_factory=list)
    loads: list[int] = field(default_factory=list)
    """Requests at each server when it was chosen, as far as this instance knew."""
    failures: list[str] = field(default_factory=list)
    refused_ms: dict[str, float] = field(default_factory=dict)
    """Servers whose owners gave no place, and the wait in milliseconds that they expected."""
    may_have_run: bool = False
    waited_s: float = 0.0


class Exchange:
    """Carries one request; created for each."""

    def __init__(
        self,
        shared: Shared,
        permit_broker: PermitBroker,
        placement: Placement,
        request: CallerRequest,
        meta: RequestMeta,
        route: RouteRule,
    ) -> None:
        self._shared = shared
        self._permit_broker = permit_broker
        self._placement = placement
        self._return_s = RETURN_S
        self._request = request
        self._meta = meta
        self._route = route
        self.service = shared.splitter.choose(route)
        self.object_key = self._find_key()
        self._digest: str | None = None
        deadline_s = meta.deadline_s or DEFAULT_DEADLINE_S
        self._give_up_at = request.arrived_at + min(deadline_s, route.timeout_s)
        self._avoid: set[str] = set()
        self._connects = 0
        self._sends = 0
        self._failure: Answer | None = None
        """A server's own failure, for the caller if no repeat brings anything better."""
        self.story = Story()

    def describe(self) -> dict:
        """What decided the request's fate, for its log line."""
        story = self.story
        return {
            "route": self._route.name,
            "rank": self._route.rank,
            "service": self.service,
            "object": self.object_key,
            "waited_ms": round(story.waited_s * 1000, 1),
            "servers": story.servers,
            "loads": story.loads,
            "failures": story.failures,
            "refused_ms": story.refused_ms,
            "may_have_run": story.may_have_run,
        }

    async def run(self) -> Answer:
        """The answer for the caller; never raises but for cancellation."""
        self._shared.budget(self.service).note_request(now())
        try:
            async with asyncio.timeout_at(self._give_up_at):
                return await self._try_servers()
        except TimeoutError:
            return self._give_up("out of time")

    async def _try_servers(self) -> Answer:
        while True:
            if self._is_quarantined():
                return self._give_up("the request crashed servers")
            place = await self._find_place()
            if place is None:
                return self._give_up("no server has room")
            outcome = await self._try(place)
            if isinstance(outcome, Answer):
                return outcome
            self.story.failures.append(outcome)
            if outcome != SendFailure.STALE:
                self._avoid.add(place.server.id)
            self._shared.metrics.count("failed_sends", outcome)
            if not self._may_try_again():
                return self._give_up(outcome)

    async def _find_place(self) -> Permit | None:
        """A place; another server is looked for when the chosen one leaves meanwhile."""
        started = now()
        try:
            for _ in range(MAX_CHOICES):
                candidates = self._candidates()
                if not candidates:
                    return None
                place = await self._ask_candidates(candidates)
                if place or self._shared.servers.may_send(candidates[0]):
                    return place
            return None
        finally:
            self.story.waited_s += now() - started

    async def _ask_candidates(self, candidates: list[Server]) -> Permit | None:
        """A place at the object's own server, else at a substitute with spare room."""

        async def find_other() -> Permit | None:
            for server in candidates[1:]:
                place = await self._permit_broker.acquire(server, self._want(is_substitute=True))
                if isinstance(place, Permit):
                    return place
                self._note_refusal(server, place)
            return None

        place = await self._permit_broker.acquire(candidates[0], self._want(), find_other)
        if isinstance(place, Permit):
            return place
        self._note_refusal(candidates[0], place)
        self._return_s = max(RETURN_S, place.wait_s)
        return await find_other()

    def _note_refusal(self, server: Server, verdict: PermitDecision) -> None:
        self.story.refused_ms[server.id] = round(verdict.wait_s * 1000, 1)

    def _want(self, is_substitute: bool = False) -> PermitSpec:
        return PermitSpec(
            rank=self._route.rank,
            due_at=self._request.arrived_at + self._route.target_latency_s,
            deadline_at=self._give_up_at,
            object_key=f"{self._route.name}/{self.object_key}",
            is_fallback=is_substitute,
        )

    def _candidates(self) -> list[Server]:
        """The first servers in the object's order that may get work."""
        claim = PlacementKey(self.service, self.object_key, self._route.regions)
        at = now()
        usable = (
            server
            for server in self._placement.order(claim)
            if server.id not in self._avoid and server.is_available(at)
        )
        return list(itertools.islice(usable, 1 + SUBSTITUTES))

    def _find_key(self) -> str:
        if self._route.has_affinity and self._meta.object_key:
            return self._meta.object_key.decode("latin-1")
        # Without an object any server is as good: spread by the request itself.
        return (self._meta.request_id or b"").decode("latin-1")

    async def _try(self, place: Permit) -> Answer | str:
        """One send: the answer for the caller, or why there is none."""
        shared, server = self._shared, place.server
        started, ran_s, running, end = now(), 0.0, -1, SendOutcome.UNKNOWN
        self.story.servers.append(server.id)
        self.story.loads.append(server.load(started))
        try:
            answer = await self._send(server)
            kind = shared.dialect.read_answer(answer)
            if answer.load:
                running = answer.load.running + answer.load.waiting
                shared.servers.note_load(server, answer.load.running, answer.load.waiting, now())
            if kind not in (AnswerKind.NOT_RUN, AnswerKind.OTHER_SERVER):
                ran_s = now() - started
            end = judge_answer(answer.status, kind)
            return self._judge(server, answer, kind)
        except SendError as error:
            if error.failure == SendFailure.STALE:
                return str(error.failure)
            end = SendOutcome.FAILED
            if error.failure == SendFailure.LOST:
                await self._note_crash(server)
            return self._note_failed(server, error)
        except asyncio.CancelledError:
            end = classify_unanswered(now() - started, self._route.target_latency_s)
            raise
        finally:
            self._permit_broker.note_end(place, ran_s, running, end)

    async def _send(self, server: Server) -> ServerAnswer:
        shared = self._shared
        entry = server.entry
        connection = await shared.pool.acquire(entry, not self._route.is_idempotent)
        had_run = self.story.may_have_run
        self.story.may_have_run = True
        self._sends += 1
        started = now()
        try:
            answer = await connection.send(
                self._encode(entry.id), self._belongs, self._request.method == b"HEAD"
            )
        except SendError as error:
            if error.failure == SendFailure.NOT_CONNECTED:
                self.story.may_have_run = had_run
                self._sends -= 1
            is_lost = error.failure == SendFailure.LOST
            if is_lost and shared.pool.note_lost(entry, connection, now() - started):
                log.info("rested connection lost", server=entry.id, rested_s=connection.rested_s)
                raise SendError(SendFailure.STALE, error.detail) from error
            raise
        kind = shared.dialect.read_answer(answer)
        if kind in (AnswerKind.NOT_RUN, AnswerKind.OTHER_SERVER):
            self.story.may_have_run = had_run
        shared.pool.release(entry, connection, shared.most_idle(entry.service))
        return answer

    def _encode(self, server_id: str) -> bytes:
        dialect = self._shared.dialect
        own = dialect.forward_headers(server_id, self._give_up_at - now())
        return encode_request(self._request, dialect.own_headers, own)

    def _belongs(self, answer: ServerAnswer) -> bool:
        self._shared.dialect.read_answer(answer)
        return answer.request_id is None or answer.request_id == self._meta.request_id

    def _judge(self, server: Server, answer: ServerAnswer, kind: AnswerKind) -> Answer | str:
        servers = self._shared.servers
        if kind == AnswerKind.OTHER_SERVER:
            servers.note_failure(server, now())
            return "another server has the address"
        if kind == AnswerKind.NOT_RUN and answer.status in PROMISES:
            servers.note_full(server, now())
            return "server refused"
        if kind == AnswerKind.UNSEALED and (answer.status < 400 or answer.status in PROMISES):
            return "answer without signature"
        if answer.status in PROMISES and kind == AnswerKind.SEALED:
            return "refusal that does not say that nothing ran"
        servers.note_success(server)
        returned = Answer(answer.status, end_to_end(answer.headers), answer.body)
        if answer.status >= 500 and self._can_repeat():
            self._failure = returned
            return "server error"
        return returned

    def _is_quarantined(self) -> bool:
        crashes = self._shared.crashes
        return crashes.crash_log.has_any and crashes.is_quarantined(self._read_digest(), now())

    def _read_digest(self) -> str:
        if self._digest is None:
            request = self._request
            self._digest = digest_request(
                request.host, request.method, request.target, request.body
            )
        return self._digest

    async def _note_crash(self, server: Server) -> None:
        """A server that accepts no connection right after it broke off has crashed."""
        try:
            connection = await connect(server.entry.address, CONNECT_S)
        except SendError as error:
            if error.is_refused:
                self._shared.crashes.note(self._read_digest(), server.id, now())
            return
        connection.close()

    def _can_repeat(self) -> bool:
        """Whether another server may run the request too, with time for it left."""
        has_time = self._give_up_at - now() > self._route.target_latency_s * REPEAT_SHARE
        is_allowed = self._route.is_idempotent and self._sends < self._route.max_servers
        return is_allowed and has_time and self._shared.budget(self.service).left(now()) >= 1

    def _note_failed(self, server: Server, error: SendError) -> str:
        servers = self._shared.servers
        if error.failure == SendFailure.NOT_CONNECTED:
            self._connects += 1
            servers.note_failure(server, now())
        elif server.failures:
            servers.note_failure(server, now())
        else:
            # One lost answer is no evidence against a server; a crash shows at the next connect.
            server.failures = 1
        return str(error.failure)

    def _may_try_again(self) -> bool:
        if self._give_up_at - now() < MIN_LEFT_S or self._connects >= MAX_CONNECTS:
            return False
        if self.story.may_have_run and not self._route.is_idempotent:
            return False
        if self._sends >= self._route.max_servers:
            return False
        return not self._sends or self._shared.budget(self.service).take(now())

    def _give_up(self, reason: str) -> Answer:
        """The final answer of a request that no server answered well."""
        if self._failure:
            return self._failure
        if not self.story.may_have_run:
            return refuse(self._shared, reason, self._return_s)
        status = 504 if reason == "out of time" else 502
        return Answer(status, [(b"Content-Type", b"text/plain")], b"no answer\n", reason)


def judge_answer(status: int, kind: AnswerKind) -> SendOutcome:
    """What a whole answer tells of its server's health."""
    if kind in (AnswerKind.NOT_RUN, AnswerKind.OTHER_SERVER):
        return SendOutcome.UNKNOWN
    is_good = status < 500 and (kind == AnswerKind.SEALED or status >= 400)
    return SendOutcome.GOOD if is_good else SendOutcome.FAILED


def refuse(shared: Shared, reason: str, return_s: float) -> Answer:
    """A refusal of a request that has not run, and when to come back."""
    headers = [(b"Content-Type", b"text/plain"), shared.dialect.retry_after(return_s)]
    return Answer(503, headers, f"not run: {reason}\n".encode(), reason)
