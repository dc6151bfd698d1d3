"""Sending of one admitted request to backend servers, with retries."""

import asyncio
import time

from aiohttp import web

from ..cluster.messages import BackendDrainNotice, CrashNotice
from ..config.models import Backend
from ..routing.backends import BackendState
from ..routing.matching import RequestPolicy
from ..routing.retries import AttemptFailure, FailedAttempt, is_budgeted, may_retry
from .admission import AdmissionController
from .backend_client import Attempt, AttemptFailedError, ShedError, is_listening
from .bodies import RequestBody
from .headers import (
    DRAINING,
    FORWARDED_FOR,
    LOAD,
    REQUEST_ID,
    REQUEST_RANK,
    REQUEST_TIMEOUT,
    filter_request_headers,
    parse_load,
)
from .problems import Reason
from .refusals import REASON_BY_FAILURE, refuse_failed_attempts
from .responses import IncompleteResponseError, ResponseRecorder, forward_response
from .shared import SharedState

DRAINING_S = 60.0
"""Time for which a server that announced its draining gets no new requests."""
CRASH_NOTICE_WAIT_S = 0.3
"""Wait for crash notices of other instances before a request that may have crashed a server is
retried."""
FIRST_PAUSE_S = 0.002
PAUSES_PER_ORDER = 4
"""Extra first pauses per order of a rank, so that less urgent ranks retry less often."""
PAUSE_FACTOR = 1.5
MAX_PAUSE_S = 0.05
MIN_ATTEMPT_TIMEOUT_S = 0.001


class Dispatch:
    """Sends one request, with retries until it has a response, is refused or times out."""

    def __init__(
        self,
        shared: SharedState,
        request: web.Request,
        policy: RequestPolicy,
        body: RequestBody,
        digest: str,
        exchange_id: str,
        deadline: float,
        response_deadline: float,
    ) -> None:
        self.may_have_run = False
        """Whether an attempt may have reached a server that did not report it as not run."""
        self._shared = shared
        self._request = request
        self._policy = policy
        self._body = body
        self._digest = digest
        self._exchange_id = exchange_id
        self._deadline = deadline
        self._response_deadline = response_deadline
        self._attempts = 0
        self._had_silent_connection = False

    async def run(
        self, recorder: ResponseRecorder | None, admission: AdmissionController
    ) -> web.StreamResponse:
        """Return the response; raises `ProblemError` if no attempt succeeded."""
        shared, service = self._shared, self._policy.service_name
        budget = shared.retry_budget_by_service[service]
        budget.note_first_attempt()
        failed: set[str] = set()
        while True:
            if shared.crashes.is_quarantined(self._digest, shared.clock()):
                raise refuse_failed_attempts(Reason.QUARANTINED, self.may_have_run)
            state = await self._choose_server(failed)
            if state is None:
                raise refuse_failed_attempts(Reason.NO_BACKEND, self.may_have_run)
            self._attempts += 1
            try:
                return await self._send(state, recorder, admission)
            except AttemptFailedError as error:
                failure = await self._classify(state, error.failure)
            shared.metrics.failures.labels(failure).inc()
            if failure == AttemptFailure.SHED:
                admission.limit.note_shed(shared.clock())
            failed.add(state.backend.id)
            if not self._may_retry(failure) or (is_budgeted(failure) and not budget.take()):
                raise refuse_failed_attempts(REASON_BY_FAILURE[failure], self.may_have_run)
            shared.metrics.retries.labels(failure).inc()

    async def _send(
        self, state: BackendState, recorder: ResponseRecorder | None, admission: AdmissionController
    ) -> web.StreamResponse:
        shared = self._shared
        attempt = self._build_attempt(state.backend)
        may_have_run_before = self.may_have_run
        shared.backends.note_start(state)
        try:
            self.may_have_run = True
            response = await shared.backend_client.send(attempt)
        except AttemptFailedError as error:
            if error.failure in (AttemptFailure.SHED, AttemptFailure.NOT_CONNECTED):
                self.may_have_run = may_have_run_before
            self._note_failed(state, error)
            raise
        except BaseException:
            shared.backends.note_withdrawn(state)
            raise
        if DRAINING in response.headers:
            self._announce_draining(state)
        try:
            forwarded = await forward_response(
                self._request, response, recorder, self._response_deadline
            )
        except IncompleteResponseError as error:
            raise AttemptFailedError(AttemptFailure.LOST) from error
        finally:
            load = parse_load(response.headers.get(LOAD))
            shared.backends.note_response(state, load, shared.clock())
            admission.limit.note_success(admission.waiting > 0)
        length = response.content_length
        length = forwarded.body_length if length is None else length
        shared.demand.note_response(self._policy.service_name, self._request, length)
        return forwarded

    def _build_attempt(self, backend: Backend) -> Attempt:
        request, body = self._request, self._body
        request_id = f"{self._exchange_id}.{self._attempts}"
        time_left_s = max(MIN_ATTEMPT_TIMEOUT_S, self._deadline - self._shared.clock())
        headers = filter_request_headers(request.headers)
        headers["Host"] = request.headers.get("Host", "")
        headers[REQUEST_ID] = request_id
        headers[REQUEST_RANK] = self._policy.rank_name
        headers[REQUEST_TIMEOUT] = f"{time_left_s:.3f}"
        headers[FORWARDED_FOR] = request.remote or ""
        if not body.is_empty and request.content_length is not None:
            headers["Content-Length"] = str(request.content_length)
        # After a silent connection, the next attempt opens a new one.
        may_reuse = self._policy.is_idempotent and not self._had_silent_connection
        return Attempt(
            backend,
            request_id,
            request.method,
            request.raw_path,
            headers,
            body,
            may_reuse,
            time_left_s,
        )

    async def _choose_server(self, failed: set[str]) -> BackendState | None:
        """Choose a server of the nearest region that has one; waits while its servers shed.

        Returns None if no region has a usable server or the deadline is too close for a pause.
        """
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
                    # Requests that a region sheds must not spill over into the next region.
                    break
            else:
                return None
            if now + pause_s > self._deadline:
                return None
            failed.clear()
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * PAUSE_FACTOR) if order else pause_s

    def _note_failed(self, state: BackendState, error: AttemptFailedError) -> None:
        shared = self._shared
        if isinstance(error, ShedError):
            shared.backends.note_shed(state, shared.clock())
            if DRAINING in error.response.headers:
                self._announce_draining(state)
            error.response.release()
        elif error.failure == AttemptFailure.SILENT:
            self._had_silent_connection = True
            shared.backends.note_withdrawn(state)
        else:
            shared.backends.note_failure(state, shared.clock())

    async def _classify(self, state: BackendState, failure: AttemptFailure) -> AttemptFailure:
        """Distinguish a crash from a lost connection, and report a crash to the other instances."""
        shared = self._shared
        if failure != AttemptFailure.LOST or await is_listening(state.backend.address):
            return failure
        shared.crashes.note(self._digest, state.backend.id, shared.clock())
        notice = CrashNotice(self._digest, state.backend.id, int(time.time() * 1000))
        shared.gossip.broadcast(notice)
        if self._policy.is_idempotent:
            await asyncio.sleep(CRASH_NOTICE_WAIT_S)
        return AttemptFailure.CRASHED

    def _announce_draining(self, state: BackendState) -> None:
        shared = self._shared
        now = shared.clock()
        if state.leaving_until > now + DRAINING_S / 2:
            return
        shared.backends.note_leaving(state.backend.id, now + DRAINING_S)
        until_ms = int((time.time() + DRAINING_S) * 1000)
        shared.gossip.broadcast(BackendDrainNotice(state.backend.id, until_ms))

    def _may_retry(self, failure: AttemptFailure) -> bool:
        failed = FailedAttempt(
            failure,
            self._attempts,
            self._policy.is_idempotent,
            self._body.is_replayable,
            self._deadline - self._shared.clock(),
        )
        return may_retry(failed)
