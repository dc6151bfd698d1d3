"""Apply a configuration in two phases.

First every live instance stores the configuration, then a conditional update in the store accepts
it.
"""

import asyncio
import uuid
from dataclasses import dataclass

from ..cluster.exceptions import PeerUnreachableError
from ..cluster.gossip import SHARED_PREFIX, Gossip
from ..cluster.links import LinkPool
from ..cluster.messages import (
    Member,
    MemberState,
    ObjectUpdate,
    Prepare,
    Prepared,
    PreparedDomain,
    PrepareDomain,
)
from ..store import (
    StoreClient,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    put_surely,
)
from .bundles import digest_bundle, make_delta, pack
from .exceptions import ConfigError
from .loader import load_configuration
from .updater import ConfigUpdater
from .versions import HEAD, HEAD_NAME, Applied, Head, next_head

CHUNK_BYTES = 900_000
PREPARE_TIMEOUT_S = 3.0
RELAY_TIMEOUT_S = 4.0
STORE_WRITE_TIMEOUT_S = 10.0
UNREACHABLE = "it can not be reached"


class NotAcceptedError(ConfigError):
    """The configuration was not accepted and nothing changed."""


class LostRaceError(ConfigError):
    """Another configuration was accepted first; this one had no effect."""


class OutcomeUnknownError(ConfigError):
    """It is unknown whether the store accepted the configuration."""


@dataclass(frozen=True, slots=True)
class ApplyRequest:
    """An operator's request to apply a configuration file."""

    text: str
    operator: str
    override_unreachable: bool = False
    """Whether to proceed although some instances are unreachable; they fetch it later."""
    expected_version: int | None = None


class Committer:
    """Applies configurations on the instance that receives an operator's request."""

    def __init__(
        self, gossip: Gossip, updater: ConfigUpdater, pool: LinkPool, store: StoreClient
    ) -> None:
        self._gossip = gossip
        self._updater = updater
        self._pool = pool
        self._store = store

    async def apply(self, request: ApplyRequest, now_ms: int) -> Applied:
        """Put a configuration file in force on all instances.

        Raises `InvalidConfigError`, `NotAcceptedError`, `LostRaceError` or `OutcomeUnknownError`.
        """
        # Parsing a large file takes seconds and would delay the heartbeats.
        configuration = await asyncio.to_thread(load_configuration, request.text)
        head, store_version = await self._read_head()
        base = head.version if head else 0
        if base < self._updater.state.version:
            raise NotAcceptedError(
                f"The store answers with version {base}, older than version "
                f"{self._updater.state.version} in force here. Nothing changed; "
                "apply again when the store has caught up."
            )
        if request.expected_version is not None and request.expected_version != base:
            raise LostRaceError(_describe_winner(head))
        data = pack(request.text, configuration)
        digest = digest_bundle(data)
        applied = Applied(base + 1, uuid.uuid4().hex, request.operator, now_ms)
        chunks = await self._write_chunks(digest, data)
        await self._prepare(self._build_prepare(base, digest, data), request.override_unreachable)
        await self._commit(next_head(head, digest, chunks, applied), store_version)
        return applied

    async def handle_prepare_domain(self, message: PrepareDomain) -> PreparedDomain:
        """On a relay, prepare every live instance of the own failure domain."""
        table = self._gossip.table
        own = self._updater.handle_prepare(message.prepare)
        if own.needs_full_bundle:
            return PreparedDomain([], {}, needs_full_bundle=True)
        members = [
            member
            for member in table.members
            if member.failure_domain == table.own.failure_domain
            and member.state != MemberState.DEAD
        ]
        replies = await asyncio.gather(
            *(self._prepare_member(member, message.prepare) for member in members)
        )
        return PreparedDomain(
            prepared=[reply.replica for reply in replies if not reply.problem],
            problems={reply.replica: reply.problem for reply in replies if reply.problem},
        )

    def _build_prepare(self, base: int, digest: str, data: bytes) -> Prepare:
        """Store the bundle here and build the message with a delta against the one in force."""
        state = self._updater.state
        state.add_bundle(digest, data)
        base_data = state.get_bundle(state.current.digest) if state.current else b""
        if not base_data:
            return Prepare(base, digest, "", data)
        return Prepare(base, digest, state.current.digest, make_delta(base_data, data))

    async def _read_head(self) -> tuple[Head | None, int]:
        try:
            found = await self._store.get(SHARED_PREFIX + HEAD_NAME)
        except StoreUnavailableError as error:
            raise _not_accepted(error) from error
        if found is None:
            return None, 0
        return HEAD.validate_json(found.value), found.version

    async def _write_chunks(self, digest: str, data: bytes) -> tuple[str, ...]:
        parts = [data[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)]
        keys = tuple(f"chunks/{digest}-{index}" for index in range(len(parts)))
        try:
            for key, part in zip(keys, parts, strict=True):
                if await self._store.get(key) is None:
                    await self._write_chunk(key, part)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            raise _not_accepted(error) from error
        return keys

    async def _write_chunk(self, key: str, part: bytes) -> None:
        try:
            await put_surely(self._store, key, part, 0, STORE_WRITE_TIMEOUT_S)
        except StoreConflictError:
            # The key contains the digest, so another writer stored the same content.
            return

    async def _prepare(self, prepare: Prepare, override_unreachable: bool) -> None:
        table = self._gossip.table
        domains = sorted(table.domains())
        results = await asyncio.gather(*(self._prepare_domain(name, prepare) for name in domains))
        prepared = {replica for result in results for replica in result.prepared}
        problems = {
            replica: problem for result in results for replica, problem in result.problems.items()
        }
        for member in table.members:
            if member.state != MemberState.DEAD and member.replica not in prepared:
                problems.setdefault(member.replica, UNREACHABLE)
        refused = {name: text for name, text in problems.items() if not _is_unreachable(text)}
        if refused or (problems and not override_unreachable):
            listed = "; ".join(f"{name}: {text}" for name, text in sorted(problems.items()))
            raise NotAcceptedError(
                f"Not every live instance has the configuration ({listed}). Nothing changed; "
                "apply again, or add --override-unreachable to skip unreachable instances for now."
            )

    async def _prepare_domain(self, domain: str, prepare: Prepare) -> PreparedDomain:
        table = self._gossip.table
        now = asyncio.get_running_loop().time()
        for relay in table.relays(domain, now):
            try:
                reply = await self._ask_relay(relay, prepare)
                if reply.needs_full_bundle:
                    reply = await self._ask_relay(relay, self._without_delta(prepare))
                return reply
            except PeerUnreachableError:
                continue
        return PreparedDomain([], {})

    async def _ask_relay(self, relay: Member, prepare: Prepare) -> PreparedDomain:
        if relay.id == self._gossip.table.own_id:
            return await self.handle_prepare_domain(PrepareDomain(prepare))
        message = PrepareDomain(prepare)
        return await self._pool.request(relay.peer_address, message, RELAY_TIMEOUT_S)

    def _without_delta(self, prepare: Prepare) -> Prepare:
        """Return the message with the full bundle, which is stored here by now."""
        data = self._updater.state.get_bundle(prepare.digest)
        return Prepare(prepare.base_version, prepare.digest, "", data)

    async def _prepare_member(self, member: Member, prepare: Prepare) -> Prepared:
        if member.id == self._gossip.table.own_id:
            return self._updater.handle_prepare(prepare)
        try:
            reply = await self._pool.request(member.peer_address, prepare, PREPARE_TIMEOUT_S)
            if reply.needs_full_bundle:
                full = self._without_delta(prepare)
                reply = await self._pool.request(member.peer_address, full, PREPARE_TIMEOUT_S)
            return reply
        except PeerUnreachableError:
            return Prepared(member.replica, UNREACHABLE)

    async def _commit(self, head: Head, store_version: int) -> None:
        key = SHARED_PREFIX + HEAD_NAME
        value = HEAD.dump_json(head)
        try:
            version = await put_surely(
                self._store, key, value, store_version, STORE_WRITE_TIMEOUT_S
            )
        except StoreConflictError as error:
            await self._check_lost_race(head, error)
            return
        except StoreUnavailableError as error:
            raise _not_accepted(error) from error
        except StoreOutcomeUnknownError as error:
            raise OutcomeUnknownError(
                f"It is unknown whether the store accepted version {head.version}. "
                "Run papayalever show before you apply again."
            ) from error
        self._gossip.publish(ObjectUpdate(HEAD_NAME, version, value.decode()))

    async def _check_lost_race(self, head: Head, cause: StoreConflictError) -> None:
        """Raise unless the write took effect and was followed by another apply."""
        try:
            current, _ = await self._read_head()
        except NotAcceptedError as error:
            raise OutcomeUnknownError(str(error)) from cause
        if current is None or current.find_apply(head.history[0].apply_id) is None:
            raise LostRaceError(_describe_winner(current)) from cause


def _not_accepted(error: StoreError) -> NotAcceptedError:
    return NotAcceptedError(f"{error} Nothing changed; apply again when it is back.")


def _is_unreachable(problem: str) -> bool:
    return problem == UNREACHABLE


def _describe_winner(head: Head | None) -> str:
    if head is None:
        return "There is no configuration yet. Nothing changed."
    winner = head.history[0]
    return (
        f"Version {winner.version} by {winner.applied_by} was accepted first. Nothing of this "
        "file took effect; read it with papayalever show and apply again."
    )
