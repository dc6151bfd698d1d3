"""Client of the ledger, on every instance: claims keys and reports the results."""

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import replace

from ..cluster.exceptions import PeerUnreachableError
from ..cluster.links import LinkPool
from ..cluster.messages import Claim, ClaimReply, ClaimVerdict, Settle
from .exceptions import LedgerUnavailableError
from .replica import Replica
from .slots import RecordState
from .state import LedgerState

CLAIM_TIMEOUT_S = 1.3
CLAIM_RETRY_PAUSE_S = 0.1
SETTLE_TIMEOUT_S = 2.5
SETTLE_RETRY_PAUSE_S = 1.0
MAX_SETTLE_ATTEMPTS = 60
"""Outlasts a failover, so that a known response is never reported as unknown."""
RETRIED_VERDICTS = frozenset({ClaimVerdict.STALE_VIEW, ClaimVerdict.NO_BACKUP})
UNAVAILABLE = "unavailable"


class LedgerClient:
    """Sends messages to the primaries of the slots; calls the own replica directly."""

    def __init__(self, state: LedgerState, replica: Replica, pool: LinkPool) -> None:
        self.verdicts: Counter[str] = Counter()
        self._state = state
        self._replica = replica
        self._pool = pool
        self._tasks: set[asyncio.Task] = set()

    async def claim(self, claim: Claim, give_up_at: float) -> ClaimReply:
        """Request the exclusive right to run the request of a key.

        Raises `LedgerUnavailableError` if no primary decides before ``give_up_at`` (event loop
        time). The attempt is then not granted, and any later grant must be ignored.
        """
        loop = asyncio.get_running_loop()
        while True:
            reply = await self._try_claim(claim, min(CLAIM_TIMEOUT_S, give_up_at - loop.time()))
            if reply is not None and reply.verdict not in RETRIED_VERDICTS:
                self.verdicts[reply.verdict] += 1
                return reply
            if loop.time() + CLAIM_RETRY_PAUSE_S >= give_up_at:
                break
            await asyncio.sleep(CLAIM_RETRY_PAUSE_S)
        self.verdicts[UNAVAILABLE] += 1
        self.settle_in_background(
            Settle(claim.region, claim.slot, claim.key, claim.attempt, RecordState.NOT_RUN)
        )
        raise LedgerUnavailableError(f"No primary for slot {claim.slot} of {claim.region}.")

    def settle_in_background(self, message: Settle) -> None:
        """Report the result of an attempt in the background, with retries."""
        task = asyncio.create_task(self._settle(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _try_claim(self, claim: Claim, timeout_s: float) -> ClaimReply | None:
        view = self._state.view(claim.region, claim.slot)
        member = self._state.find_member(view.primary) if view else None
        if member is None or timeout_s <= 0:
            return None
        claim = replace(claim, epoch=view.epoch)
        try:
            if self._state.is_own(member):
                reply = await asyncio.wait_for(self._replica.handle_claim(claim), timeout_s)
            else:
                reply = await self._pool.request(member.peer_address, claim, timeout_s)
        except (PeerUnreachableError, TimeoutError):
            return None
        return reply if reply.attempt == claim.attempt else None

    async def _settle(self, message: Settle) -> None:
        for _ in range(MAX_SETTLE_ATTEMPTS):
            with suppress(PeerUnreachableError):
                if await self._try_settle(message):
                    return
            await asyncio.sleep(SETTLE_RETRY_PAUSE_S)

    async def _try_settle(self, message: Settle) -> bool:
        view = self._state.view(message.region, message.slot)
        member = self._state.find_member(view.primary) if view else None
        if member is None:
            return False
        if self._state.is_own(member):
            reply = await self._replica.handle_settle(message)
        else:
            reply = await self._pool.request(member.peer_address, message, SETTLE_TIMEOUT_S)
        return reply.accepted
