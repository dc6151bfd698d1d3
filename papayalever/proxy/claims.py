"""Turns the ledger's verdicts into permission, a stored answer or a refusal."""

import asyncio
from dataclasses import dataclass, replace

from aiohttp import web

from ..cluster.messages import Claim, ClaimReply, ClaimVerdict, Settle, StoredResponse
from ..ledger.exceptions import LedgerUnavailableError
from ..ledger.keys import IdempotencyKey, InvalidKeyError, locate_key, parse_key
from ..ledger.service import Ledger
from ..ledger.slots import RecordState
from .headers import IDEMPOTENCY_ATTEMPT, IDEMPOTENCY_KEY
from .problems import ProblemError, Reason, RequestOutcome, refuse_not_run, refuse_unknown

CLAIM_BUDGET_S = 3.0
FIRST_ATTEMPT = "1"
CONSULTED = web.RequestKey("ledger_consulted", bool)
CERTAIN_REASONS = frozenset({Reason.BAD_KEY})
"""Refusals of keys that can not have run under any earlier attempt."""

REFUSAL_BY_VERDICT = {
    ClaimVerdict.ALREADY_RUN: ProblemError(
        Reason.ALREADY_RUN,
        409,
        RequestOutcome.UNKNOWN,
        "A request with this key has run and was answered; its answer was too long to keep.",
    ),
    ClaimVerdict.IN_PROGRESS: refuse_unknown(
        Reason.IN_PROGRESS, 409, "A request with this key is running; ask again with it.", 1
    ),
    ClaimVerdict.UNKNOWN: refuse_unknown(
        Reason.OUTCOME_UNKNOWN,
        409,
        "A request with this key was sent to a backend server and its answer was lost.",
    ),
    ClaimVerdict.BODY_MISMATCH: refuse_unknown(
        Reason.KEY_REUSED,
        422,
        "The key was used with another request; this one was not run. Use a new key.",
    ),
    ClaimVerdict.EXPIRED: refuse_unknown(
        Reason.KEY_EXPIRED, 409, "The key is older than the ledger's window; use a new one."
    ),
    ClaimVerdict.FROM_FUTURE: refuse_not_run(
        Reason.KEY_FROM_FUTURE, 400, "The key's time is in the future; set the caller's clock."
    ),
    ClaimVerdict.HISTORY_LOST: refuse_unknown(
        Reason.HISTORY_LOST,
        409,
        "The key is older than what the ledger remembers after a failure.",
    ),
}


@dataclass(frozen=True, slots=True)
class Permit:
    """The only right to run a key."""

    claim: Claim

    def settle(self, state: RecordState, answer: StoredResponse | None = None) -> Settle:
        """The message that ends this attempt."""
        claim = self.claim
        return Settle(claim.region, claim.slot, claim.key, claim.attempt, state, answer)


@dataclass(frozen=True, slots=True)
class Replay:
    """The stored answer of the attempt that ran."""

    answer: StoredResponse


def read_key(request: web.Request, regions: list[str]) -> IdempotencyKey | None:
    """The request's key; raises `ProblemError` for a malformed one."""
    text = request.headers.get(IDEMPOTENCY_KEY)
    if text is None:
        return None
    try:
        return parse_key(text, regions)
    except InvalidKeyError as error:
        raise refuse_not_run(Reason.BAD_KEY, 400, str(error)) from error


class Claims:
    """Claims keys for requests on one instance."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    async def claim(
        self,
        request: web.Request,
        key: IdempotencyKey,
        service: str,
        regions: list[str],
        digest: str,
        attempt: str,
        deadline: float,
    ) -> Permit | Replay:
        """Get the right to run a request; raises `ProblemError`. ``deadline`` is loop time."""
        first = locate_key(key, service, regions, 1)
        slots = self._ledger.state.slot_count(first.region)
        place = locate_key(key, service, regions, slots)
        claim = Claim(place.region, place.slot, 0, place.record_key, attempt, digest, key.minted_ms)
        give_up_at = min(deadline, asyncio.get_running_loop().time() + CLAIM_BUDGET_S)
        try:
            reply = await self._ledger.client.claim(claim, give_up_at)
        except LedgerUnavailableError as error:
            raise refuse_not_run(
                Reason.LEDGER_UNAVAILABLE,
                503,
                "No replica of the ledger can answer for this key at the moment.",
                2,
            ) from error
        request[CONSULTED] = True
        return self._judge(reply, claim)

    def settle(self, permit: Permit, state: RecordState, answer: StoredResponse | None) -> None:
        """Report the end of the attempt."""
        self._ledger.client.settle_in_background(permit.settle(state, answer))

    def _judge(self, reply: ClaimReply, claim: Claim) -> Permit | Replay:
        if reply.verdict == ClaimVerdict.GRANTED:
            return Permit(claim)
        if reply.verdict == ClaimVerdict.REPLAY and reply.answer:
            return Replay(reply.answer)
        if reply.verdict == ClaimVerdict.FULL:
            raise refuse_not_run(
                Reason.LEDGER_FULL, 503, "The ledger holds as many keys as it may.", 5
            )
        raise replace(REFUSAL_BY_VERDICT[ClaimVerdict(reply.verdict)])


def qualify(problem: ProblemError, request: web.Request) -> ProblemError:
    """Say ``unknown`` where an earlier attempt with the key may have run.

    Before the ledger was asked, only the caller knows whether this is the first attempt.
    """
    is_keyed = IDEMPOTENCY_KEY in request.headers
    is_first = request.headers.get(IDEMPOTENCY_ATTEMPT) == FIRST_ATTEMPT
    is_certain = problem.reason in CERTAIN_REASONS or request.get(CONSULTED, False)
    if not is_keyed or is_first or is_certain:
        return problem
    return replace(problem, outcome=RequestOutcome.UNKNOWN)
