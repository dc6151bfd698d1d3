"""Claims of idempotency keys: the ledger grants a claim, replays a response or refuses it."""

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

CLAIM_TIMEOUT_S = 3.0
FIRST_ATTEMPT = "1"
LEDGER_CONSULTED = web.RequestKey("ledger_consulted", bool)
"""Set on a request when the ledger has replied to its claim."""
NEVER_RUN_REASONS = frozenset({Reason.BAD_KEY})
"""Refusals of keys with which no earlier attempt can have run."""

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
class GrantedClaim:
    """A claim that was granted: the exclusive right to run the request of a key."""

    claim: Claim

    def settle(self, state: RecordState, answer: StoredResponse | None = None) -> Settle:
        """Build the message that reports the result to the ledger."""
        claim = self.claim
        return Settle(claim.region, claim.slot, claim.key, claim.attempt, state, answer)


@dataclass(frozen=True, slots=True)
class Replay:
    """The stored response of an earlier request with the same key."""

    answer: StoredResponse


def read_key(request: web.Request, regions: list[str]) -> IdempotencyKey | None:
    """Return the idempotency key of a request; raises `ProblemError` if it is malformed."""
    text = request.headers.get(IDEMPOTENCY_KEY)
    if text is None:
        return None
    try:
        return parse_key(text, regions)
    except InvalidKeyError as error:
        raise refuse_not_run(Reason.BAD_KEY, 400, str(error)) from error


class Claims:
    """Claims idempotency keys for the requests of one instance."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    async def claim(
        self,
        request: web.Request,
        key: IdempotencyKey,
        service: str,
        regions: list[str],
        digest: str,
        exchange_id: str,
        deadline: float,
    ) -> GrantedClaim | Replay:
        """Claim the key of a request; raises `ProblemError` if the claim is refused.

        ``deadline`` is event loop time.
        """
        # The region of a key does not depend on the number of slots, which differs by region.
        preliminary = locate_key(key, service, regions, 1)
        slots = self._ledger.state.slot_count(preliminary.region)
        placement = locate_key(key, service, regions, slots)
        claim = Claim(
            placement.region,
            placement.slot,
            0,
            placement.record_key,
            exchange_id,
            digest,
            key.minted_ms,
        )
        give_up_at = min(deadline, asyncio.get_running_loop().time() + CLAIM_TIMEOUT_S)
        try:
            reply = await self._ledger.client.claim(claim, give_up_at)
        except LedgerUnavailableError as error:
            raise refuse_not_run(
                Reason.LEDGER_UNAVAILABLE,
                503,
                "No replica of the ledger can answer for this key at the moment.",
                2,
            ) from error
        request[LEDGER_CONSULTED] = True
        return self._handle_reply(reply, claim)

    def settle(
        self, granted: GrantedClaim, state: RecordState, answer: StoredResponse | None
    ) -> None:
        """Report the result of a request to the ledger in the background."""
        self._ledger.client.settle_in_background(granted.settle(state, answer))

    def _handle_reply(self, reply: ClaimReply, claim: Claim) -> GrantedClaim | Replay:
        if reply.verdict == ClaimVerdict.GRANTED:
            return GrantedClaim(claim)
        if reply.verdict == ClaimVerdict.REPLAY and reply.answer:
            return Replay(reply.answer)
        if reply.verdict == ClaimVerdict.FULL:
            raise refuse_not_run(
                Reason.LEDGER_FULL, 503, "The ledger holds as many keys as it may.", 5
            )
        raise replace(REFUSAL_BY_VERDICT[ClaimVerdict(reply.verdict)])


def adjust_outcome(problem: ProblemError, request: web.Request) -> ProblemError:
    """Replace the outcome by ``unknown`` if an earlier attempt with the same key may have run.

    Until the ledger has replied, only the caller knows whether this is its first attempt.
    """
    is_keyed = IDEMPOTENCY_KEY in request.headers
    is_first = request.headers.get(IDEMPOTENCY_ATTEMPT) == FIRST_ATTEMPT
    is_outcome_certain = problem.reason in NEVER_RUN_REASONS or request.get(LEDGER_CONSULTED, False)
    if not is_keyed or is_first or is_outcome_certain:
        return problem
    return replace(problem, outcome=RequestOutcome.UNKNOWN)
