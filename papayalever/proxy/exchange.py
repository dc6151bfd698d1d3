"""One request from its head to the end of its answer."""

import asyncio
import itertools

from aiohttp import web

from ..config.models import Configuration
from ..ledger.slots import RecordState
from ..routing.matching import RequestPolicy
from .answers import AnswerRecorder, replay
from .bodies import RequestBody, read_body
from .claims import Permit, Replay, read_key
from .dispatch import Dispatch
from .gate import NotAdmittedError
from .refusals import refuse_admission
from .shared import Shared


class Exchange:
    """Carries out one request; `run` returns or raises `ProblemError`."""

    _serial = itertools.count(1)

    def __init__(
        self,
        shared: Shared,
        request: web.Request,
        policy: RequestPolicy,
        configuration: Configuration,
        deadline: float,
        idle_s: float,
    ) -> None:
        self._shared = shared
        self._request = request
        self._policy = policy
        self._configuration = configuration
        self._deadline = deadline
        self._idle_s = idle_s
        self._id = f"{shared.gossip.table.own.replica}/{next(self._serial)}"

    async def run(self) -> web.StreamResponse:
        """Answer the request."""
        request, policy = self._request, self._policy
        regions = list(self._configuration.regions)
        key = read_key(request, regions)
        body = await read_body(request, policy.service.max_body_bytes, self._idle_s)
        digest = body.digest(request.method, f"{policy.service_name}{request.raw_path}")
        dispatch = self._plan_dispatch(body, digest)
        if policy.is_idempotent or key is None:
            return await self._run_admitted(dispatch, None)
        result = await self._shared.claims.claim(
            request, key, policy.service_name, regions, digest, self._id, self._deadline
        )
        if isinstance(result, Replay):
            return replay(result.answer)
        # A caller that goes away must not leave a keyed request half done.
        running = asyncio.ensure_future(self._run_claimed(dispatch, result))
        return await asyncio.shield(running)

    async def _run_claimed(self, dispatch: Dispatch, permit: Permit) -> web.StreamResponse:
        """Run a request that holds its key and settle the key in every case."""
        recorder = AnswerRecorder()
        try:
            return await self._run_admitted(dispatch, recorder)
        finally:
            state = recorder.state if dispatch.may_have_run else RecordState.NOT_RUN
            self._shared.claims.settle(permit, state, recorder.answer)

    async def _run_admitted(
        self, dispatch: Dispatch, recorder: AnswerRecorder | None
    ) -> web.StreamResponse:
        """Wait for a place by rank, then try backend servers."""
        shared, service = self._shared, self._policy.service_name
        gate = shared.gate_by_service[service]
        with shared.demand.count(service, self._request):
            try:
                ticket = await gate.enter(self._policy.rank_name, self._deadline)
            except NotAdmittedError as error:
                raise refuse_admission(error.refusal) from error
            try:
                return await dispatch.run(recorder, gate)
            finally:
                gate.leave(ticket)

    def _plan_dispatch(self, body: RequestBody, digest: str) -> Dispatch:
        return Dispatch(
            self._shared,
            self._request,
            self._policy,
            body,
            digest,
            self._id,
            self._deadline,
            self._deadline + self._idle_s,
        )
