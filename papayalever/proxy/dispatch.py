"""Tries of one admitted request at backend servers."""

import asyncio
import time

from aiohttp import web

from ..cluster.messages import BackendDrainNotice, CrashNotice
from ..config.models import Backend
from ..routing.backends import BackendState
from ..routing.matching import RequestPolicy
from ..routing.retries import AttemptFailure, FailedAttempt, is_budgeted, may_retry
from .answers import AnswerRecorder, IncompleteAnswerError, pass_on
from .bodies import RequestBody
from .gate import Gate
from .headers import (
    DRAINING,
    FORWARDED_FOR,
    LOAD,
    REQUEST_ID,
    REQUEST_RANK,
    REQUEST_TIMEOUT,
    forwarded_headers,
    parse_load,
)
from .problems import Reason
from .refusals import REASON_BY_FAILURE, refuse_tries
from .shared import Shared
from .upstream import ShedError, TryFailedError, TryRequest, is_listening

LEAVING_S = 60.0
CRASH_SPREAD_S = 0.3
"""How long to wait for other instances' crash notices before a crashed request is retried."""
FIRST_PAUSE_S = 0.002
PAUSES_PER_ORDER = 4
"""A less urgent rank asks full servers less often."""
PAUSE_GROWTH = 1.5
MAX_PAUSE_S = 0.05
MIN_TRY_S = 0.001


class Dispatch:
    """Tries one request until it is answered, refused or out of time."""

    def __init__(
        self,
        shared: Shared,
        request: web.Request,
        policy: RequestPolicy,
        body: RequestBody,
        digest: str,
        attempt: str,
        deadline: float,
        answer_deadline: float,
    ) -> None:
        self.may_have_run = False
        """Whether any try may have reached a server that has not said that it did not run it."""
        self._shared = shared
        self._request = request
        self._policy = policy
        self._body = body
        self._digest = digest
        self._attempt = attempt
        self._deadline = deadline
        self._answer_deadline = answer_deadline
        self._tries = 0
        self._has_met_silence = False

    async def run(self, recorder: AnswerRecorder | None, gate: Gate) -> web.StreamResponse:
        """Return the answer or raise `ProblemError`."""
        shared, service = self._shared, self._policy.service_name
        budget = shared.budget_by_service[service]
        budget.note_first_attempt()
        failed: set[str] = set()
        while True:
            if shared.crashes.is_quarantined(self._digest, shared.clock()):
                raise refuse_tries(Reason.QUARANTINED, self.may_have_run)
            state = await self._choose(failed)
            if state is None:
                raise refuse_tries(Reason.NO_BACKEND, self.may_have_run)
            self._tries += 1
            try:
                return await self._try(state, recorder, gate)
            except TryFailedError as error:
                failure = await self._classify(state, error.failure)
            shared.metrics.failures.labels(failure).inc()
            if failure == AttemptFailure.SHED:
                gate.limit.note_shed(shared.clock())
            failed.add(state.backend.id)
            if not self._may_try_again(failure) or (is_budgeted(failure) and not budget.take()):
                raise refuse_tries(REASON_BY_FAILURE[failure], self.may_have_run)
            shared.metrics.retries.labels(failure).inc()

    async def _try(
        self, state: BackendState, recorder: AnswerRecorder | None, gate: Gate
    ) -> web.StreamResponse:
        shared = self._shared
        attempt = self._build_try(state.backend)
        had_run = self.may_have_run
        shared.backends.note_start(state)
        try:
            self.may_have_run = True
            response = await shared.upstream.send(attempt)
        except TryFailedError as error:
            if error.failure in (AttemptFailure.SHED, AttemptFailure.NOT_CONNECTED):
                self.may_have_run = had_run
            self._note_failed(state, error)
            raise
        except BaseException:
            shared.backends.note_withdrawn(state)
            raise
        if DRAINING in response.headers:
            self._note_leaving(state)
        try:
            answer = await pass_on(self._request, response, recorder, self._answer_deadline)
        except IncompleteAnswerError as error:
            raise TryFailedError(AttemptFailure.LOST) from error
        finally:
            load = parse_load(response.headers.get(LOAD))
            shared.backends.note_response(state, load, shared.clock())
            gate.limit.note_success(gate.waiting > 0)
        length = response.content_length
        length = answer.body_length if length is None else length
        shared.demand.note_response(self._policy.service_name, self._request, length)
        return answer

    def _build_try(self, backend: Backend) -> TryRequest:
        request, body = self._request, self._body
        request_id = f"{self._attempt}.{self._tries}"
        time_left_s = max(MIN_TRY_S, self._deadline - self._shared.clock())
        headers = forwarded_headers(request.headers)
        headers["Host"] = request.headers.get("Host", "")
        headers[REQUEST_ID] = request_id
        headers[REQUEST_RANK] = self._policy.rank_name
        headers[REQUEST_TIMEOUT] = f"{time_left_s:.3f}"
        headers[FORWARDED_FOR] = request.remote or ""
        if not body.is_empty and request.content_length is not None:
            headers["Content-Length"] = str(request.content_length)
        # After a silent connection the next try gets a new one.
        may_reuse = self._policy.is_idempotent and not self._has_met_silence
        return TryRequest(
            backend,
            request_id,
            request.method,
            request.raw_path,
            headers,
            body,
            may_reuse,
            time_left_s,
        )

    async def _choose(self, failed: set[str]) -> BackendState | None:
        """A server of the nearest region that has one; a server that sheds is waited for."""
        shared = self._shared
        order = self._policy.rank.order
        pause_s = FIRST_PAUSE_S * (1 + PAUSES_PER_ORDER * order)
        while True:
            now = shared.clock()
            for backends in shared.backends_by_service[self._policy.service_name]:
                state = shared.backends.choose(backends, failed, now, shared.random)
                if state:
                    return state
                if shared.backends.has_paused(backends, now):
                    # Work that a region sheds must not spill over into the next one.
                    break
            else:
                return None
            if now + pause_s > self._deadline:
                return None
            failed.clear()
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * PAUSE_GROWTH) if order else pause_s

    def _note_failed(self, state: BackendState, error: TryFailedError) -> None:
        shared = self._shared
        if isinstance(error, ShedError):
            shared.backends.note_shed(state, shared.clock())
            if DRAINING in error.response.headers:
                self._note_leaving(state)
            error.response.release()
        elif error.failure == AttemptFailure.SILENT:
            self._has_met_silence = True
            shared.backends.note_withdrawn(state)
        else:
            shared.backends.note_failure(state, shared.clock())

    async def _classify(self, state: BackendState, failure: AttemptFailure) -> AttemptFailure:
        """Tell a crash from a lost connection, and other instances of a crash."""
        shared = self._shared
        if failure != AttemptFailure.LOST or await is_listening(state.backend.address):
            return failure
        shared.crashes.note(self._digest, state.backend.id, shared.clock())
        notice = CrashNotice(self._digest, state.backend.id, int(time.time() * 1000))
        shared.gossip.broadcast(notice)
        if self._policy.is_idempotent:
            await asyncio.sleep(CRASH_SPREAD_S)
        return AttemptFailure.CRASHED

    def _note_leaving(self, state: BackendState) -> None:
        shared = self._shared
        now = shared.clock()
        if state.leaving_until > now + LEAVING_S / 2:
            return
        shared.backends.note_leaving(state.backend.id, now + LEAVING_S)
        until_ms = int((time.time() + LEAVING_S) * 1000)
        shared.gossip.broadcast(BackendDrainNotice(state.backend.id, until_ms))

    def _may_try_again(self, failure: AttemptFailure) -> bool:
        state = FailedAttempt(
            failure,
            self._tries,
            self._policy.is_idempotent,
            self._body.is_replayable,
            self._deadline - self._shared.clock(),
        )
        return may_retry(state)
