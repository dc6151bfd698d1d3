"""State of the backend servers as one instance sees it, and the selection among them."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from ..config.models import Backend
from ..hashing import HASH_RANGE, hash_text

FIRST_EJECT_S = 2.0
MAX_EJECT_S = 30.0
SHED_PAUSE_S = 0.002
LOAD_TTL_S = 0.5
COLD_S = 5.0
COLD_PENALTY = 0.5
CONNECTION_SHARE = 0.8


@dataclass(slots=True)
class BackendState:
    """State that an instance keeps for one backend server; times are monotonic seconds."""

    backend: Backend
    in_flight: int = 0
    reported_load: float = 0.0
    """Share of the slots in use according to the server's last report."""
    reported_at: float = float("-inf")
    failures: int = 0
    ejected_until: float = float("-inf")
    paused_until: float = float("-inf")
    leaving_until: float = float("-inf")
    first_response_at: float | None = None


class BackendTable:
    """Backend servers of all services by id."""

    def __init__(self) -> None:
        self._state_by_id: dict[str, BackendState] = {}
        self._own_slots_by_id: dict[str, int] = {}

    def set_own_slots(self, own_slots_by_id: dict[str, int]) -> None:
        """Replace the slots that belong to this instance, see `divide_slots`."""
        self._own_slots_by_id = own_slots_by_id

    def set_backends(self, backends: Iterable[Backend]) -> None:
        """Replace the backend servers; those that stay keep their state."""
        previous = self._state_by_id
        self._state_by_id = {}
        for backend in backends:
            state = previous.get(backend.id)
            if state is None or state.backend.address != backend.address:
                state = BackendState(backend)
            state.backend = backend
            self._state_by_id[backend.id] = state

    def get(self, backend_id: str) -> BackendState | None:
        """Return the state of one backend server."""
        return self._state_by_id.get(backend_id)

    @property
    def states(self) -> list[BackendState]:
        """States of all backend servers."""
        return list(self._state_by_id.values())

    def choose(
        self, candidates: Sequence[Backend], avoid: Collection[str], now: float, rng: Random
    ) -> BackendState | None:
        """Return the less loaded of two random available servers (Mitzenmacher 2001).

        Servers with a free slot of this instance are preferred, since no other instance uses it.
        """
        states = [
            state
            for state in map(self._find, candidates)
            if state and state.backend.id not in avoid
        ]
        usable = [state for state in states if is_usable(state, now)]
        if not usable:
            return None
        preferred = [state for state in usable if self._has_own_slot(state)]
        usable = preferred or usable
        pair = rng.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda state: estimate_load(state, now))

    def has_paused(self, candidates: Sequence[Backend], now: float) -> bool:
        """Whether one of the candidates is unavailable only because it shed a request."""
        states = (state for state in map(self._find, candidates) if state)
        return any(
            state.paused_until > now >= max(state.ejected_until, state.leaving_until)
            for state in states
        )

    def note_start(self, state: BackendState) -> None:
        """Count the start of a send."""
        state.in_flight += 1

    def note_response(self, state: BackendState, load: float | None, now: float) -> None:
        """Count a response and record the load that it reported."""
        state.in_flight -= 1
        state.failures = 0
        if state.first_response_at is None:
            state.first_response_at = now
        if load is not None:
            state.reported_load = load
            state.reported_at = now

    def note_shed(self, state: BackendState, now: float) -> None:
        """Count a refusal: send no requests for `SHED_PAUSE_S`."""
        state.in_flight -= 1
        state.paused_until = now + SHED_PAUSE_S

    def note_failure(self, state: BackendState, now: float) -> None:
        """Count a lost connection or a timeout: eject the server, longer each time."""
        state.in_flight -= 1
        state.failures += 1
        eject_s = min(MAX_EJECT_S, FIRST_EJECT_S * 2 ** (state.failures - 1))
        state.ejected_until = now + eject_s
        state.first_response_at = None

    def note_withdrawn(self, state: BackendState) -> None:
        """Count the end of an attempt that tells nothing about the server."""
        state.in_flight -= 1

    def note_leaving(self, backend_id: str, until: float) -> bool:
        """Stop new requests to a server that is leaving; returns whether this was unknown."""
        state = self._state_by_id.get(backend_id)
        if state is None or state.leaving_until >= until:
            return False
        state.leaving_until = until
        return True

    def _has_own_slot(self, state: BackendState) -> bool:
        return state.in_flight < self._own_slots_by_id.get(state.backend.id, 0)

    def _find(self, backend: Backend) -> BackendState | None:
        return self._state_by_id.get(backend.id)


def is_usable(state: BackendState, now: float) -> bool:
    """Whether a server may get new requests."""
    return now >= max(state.ejected_until, state.paused_until, state.leaving_until)


def estimate_load(state: BackendState, now: float) -> float:
    """Share of the slots in use, from own requests and, while recent, the reported load.

    A cold server gets a penalty.
    """
    slots = state.backend.slots
    own = state.in_flight / slots
    is_fresh = now - state.reported_at < LOAD_TTL_S
    load = max(own, state.reported_load) if is_fresh else own
    is_cold = state.first_response_at is None or now - state.first_response_at < COLD_S
    return load + (COLD_PENALTY if is_cold else 0.0)


def divide_slots(backends: Sequence[Backend], own: str, instances: Sequence[str]) -> dict[str, int]:
    """Number of slots of each server that belong to the instance ``own``.

    Every instance computes the same division. While their views differ for a moment, servers shed
    some requests.
    """
    order = sorted(instances)
    if own not in order:
        return {}
    position = order.index(own)
    slots = [
        backend.id
        for backend in sorted(backends, key=lambda item: item.id)
        for _ in range(backend.slots)
    ]
    owned: dict[str, int] = {}
    for backend_id in slots[position :: len(order)]:
        owned[backend_id] = owned.get(backend_id, 0) + 1
    return owned


def choose_subset(
    backends: Sequence[Backend], instance: str, instances: int
) -> tuple[Backend, ...]:
    """Backend servers that one instance connects to, so that no server runs out of connections.

    A server is used by all ``instances`` as long as its connections suffice for them, and beyond
    that by a subset chosen by rendezvous hashing.
    """

    def may_connect(backend: Backend) -> bool:
        allowed = backend.connections * CONNECTION_SHARE
        if instances <= allowed:
            return True
        score = hash_text(f"{instance}/{backend.id}") / HASH_RANGE
        return score < allowed / instances

    return tuple(backend for backend in backends if may_connect(backend))


def connection_limit(backend: Backend, instances: int) -> int:
    """Maximum number of connections of one instance to a server."""
    return max(
        1, min(backend.slots * 2, int(backend.connections * CONNECTION_SHARE / max(1, instances)))
    )
