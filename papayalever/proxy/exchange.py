"""Handling of one request, from reading its body to its response."""

import asyncio
import itertools

from aiohttp import web

from ..config.models import Configuration
from ..ledger.slots import RecordState
from ..routing.matching import RequestPolicy
from .admission import NotAdmittedError
from .bodies import RequestBody, read_body
from .claims import GrantedClaim, Replay, read_key
from .dispatch import Dispatch
from .refusals import refuse_admission
from .responses import ResponseRecorder, replay
from .shared import SharedState


class Exchange:
    """Handles one request; `run` returns the response or raises `ProblemError`."""

    _serial = itertools.count(1)

    def __init__(
        self,
        shared: SharedState,
        request: web.Request,
        policy: RequestPolicy,
        configuration: Configuration,
        deadline: float,
        idle_timeout_s: float,
    ) -> None:
        self._shared = shared
        self._request = request
        self._policy = policy
        self._configuration = configuration
        self._deadline = deadline
        self._idle_timeout_s = idle_timeout_s
        self._id = f"{shared.gossip.table.own.replica}/{next(self._serial)}"

    async def run(self) -> web.StreamResponse:
        """Handle the request."""
        request, policy = self._request, self._policy
        regions = list(self._configuration.regions)
        key = read_key(request, regions)
        body = await read_body(request, policy.service.max_body_bytes, self._idle_timeout_s)
        digest = body.digest(request.method, f"{policy.service_name}{request.raw_path}")
        dispatch = self._build_dispatch(body, digest)
        if policy.is_idempotent or key is None:
            return await self._run_admitted(dispatch, None)
        result = await self._shared.claims.claim(
            request, key, policy.service_name, regions, digest, self._id, self._deadline
        )
        if isinstance(result, Replay):
            return replay(result.answer)
        # A keyed request runs to its end even if its caller disconnects.
        running = asyncio.ensure_future(self._run_claimed(dispatch, result))
        return await asyncio.shield(running)

    async def _run_claimed(self, dispatch: Dispatch, granted: GrantedClaim) -> web.StreamResponse:
        """Run a request whose key is claimed, and report the result to the ledger in any case."""
        recorder = ResponseRecorder()
        try:
            return await self._run_admitted(dispatch, recorder)
        finally:
            state = recorder.state if dispatch.may_have_run else RecordState.NOT_RUN
            self._shared.claims.settle(granted, state, recorder.stored_response)

    async def _run_admitted(
        self, dispatch: Dispatch, recorder: ResponseRecorder | None
    ) -> web.StreamResponse:
        """Wait for admission, then send the request to a backend server."""
        shared, service = self._shared, self._policy.service_name
        admission = shared.admission_by_service[service]
        with shared.demand.count(service, self._request):
            try:
                ticket = await admission.admit(self._policy.rank_name, self._deadline)
            except NotAdmittedError as error:
                raise refuse_admission(error.refusal) from error
            try:
                return await dispatch.run(recorder, admission)
            finally:
                admission.release(ticket)

    def _build_dispatch(self, body: RequestBody, digest: str) -> Dispatch:
        return Dispatch(
            self._shared,
            self._request,
            self._policy,
            body,
            digest,
            self._id,
            self._deadline,
            self._deadline + self._idle_timeout_s,
        )
