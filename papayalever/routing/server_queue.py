"""State that the owner of a backend server keeps for it: permits, queue, run times, cached objects.

During a flood of delay-tolerant requests (latency targets of seconds) all queued requests are still
in time. More urgent requests are therefore served before them even when they are late themselves.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .health import ServerHealth
from .object_cache import ObjectCache, ObjectUse
from .rate_limiter import RateLimiter
from .servers import Server

INITIAL_RUN_S = 0.3
"""Run time assumed before the first response: between a warm and a cold run of urgent requests."""
RUN_TIME_WEIGHT = 0.15
"""Weight of the newest run time in the moving average, which spans about seven runs."""
TOLERANT_TARGET_RATIO = 3.0
"""A rank is delay-tolerant if its latency target is this many times that of more urgent ranks; it
then waits behind them even when they are late. The targets of today's urgent ranks differ by a
factor of at most 1.5, those of delay-tolerant ranks by a factor of 5."""
REPORT_TTL_S = 0.4
"""How long a load reported by the server is used."""

PermitId = tuple[str, int]
"""Instance that requested the permit and its number there."""
RunTimeKey = tuple[int, bool]
"""Rank of a request and whether the server has its object cached."""


@dataclass(eq=False, slots=True)
class PermitRequest:
    """A request for a permit to send one caller request to a server."""

    id: PermitId
    rank: int
    requested_at: float
    due_at: float
    """Time until which a response meets the latency target."""
    lease_ends_at: float
    """Time at which the caller request is over in any case."""
    object_key: str = ""
    is_fallback: bool = False
    """Whether the server is not the first choice for the object."""
    is_already_sent: bool = False
    """Whether the caller request was sent without waiting for the decision."""

    @property
    def target_s(self) -> float:
        """Time left to meet the latency target when the permit was requested."""
        return self.due_at - self.requested_at


@dataclass(eq=False, slots=True)
class ServerQueue:
    """Permits of one server and the queue for them."""

    server: Server
    lease_end_by_id: dict[PermitId, float] = field(default_factory=dict)
    run_time_key_by_id: dict[PermitId, RunTimeKey] = field(default_factory=dict)
    object_use_by_id: dict[PermitId, ObjectUse] = field(default_factory=dict)
    waiting_by_id: dict[PermitId, tuple[int, PermitRequest]] = field(default_factory=dict)
    """Queued requests with their sequence numbers."""
    mean_run_s_by_key: dict[RunTimeKey, float] = field(default_factory=dict)
    untracked_requests: int = 0
    """Requests at the server that hold no permit."""
    untracked_requests_at: float = float("-inf")
    cold_granted_at: list[float] = field(default_factory=list)
    """Times of the permits granted while the server was cold."""
    objects: ObjectCache = field(default_factory=ObjectCache)
    """Routes and objects that the server handled lately."""
    health: ServerHealth = field(default_factory=ServerHealth)
    limiter: RateLimiter | None = None
    """Set while the server names a limit."""
    target_s_by_rank: dict[int, float] = field(default_factory=dict)
    """Longest latency target seen for each rank."""
    _group_by_rank: dict[int, int] = field(default_factory=dict)

    def note_target(self, request: PermitRequest) -> None:
        """Update the longest latency target of the request's rank."""
        if request.target_s > self.target_s_by_rank.get(request.rank, 0.0):
            self.target_s_by_rank[request.rank] = request.target_s
            self._group_by_rank = group_ranks(self.target_s_by_rank)

    def sort_key(
        self, request: PermitRequest, start_at: float, number: int
    ) -> tuple[int, bool, int, int]:
        """Order by rank group, then in time before late, then by rank, then by arrival."""
        is_late = start_at + self.expected_run_s(request) > request.due_at
        return (self._group_by_rank.get(request.rank, 0), is_late, request.rank, number)

    def is_delay_tolerant(self, request: PermitRequest) -> bool:
        """Whether the server also gets more urgent requests with much shorter targets."""
        return self._group_by_rank.get(request.rank, 0) > 0

    def note_grant(self, request: PermitRequest) -> None:
        """Record what is expected of a granted request."""
        self.run_time_key_by_id[request.id] = self.run_time_key(request)
        self.object_use_by_id[request.id] = self.objects.note_use(request.object_key)

    def forget_permit(self, permit: PermitId) -> tuple[RunTimeKey | None, ObjectUse | None]:
        """Return and drop what was recorded at the grant of a permit."""
        return self.run_time_key_by_id.pop(permit, None), self.object_use_by_id.pop(permit, None)

    def run_time_key(self, request: PermitRequest) -> RunTimeKey:
        """Key under which the run times of similar requests are averaged."""
        return (request.rank, self.objects.has(request.object_key))

    def expected_run_s(self, request: PermitRequest) -> float:
        """Expected run time of a request."""
        rank, is_cached = self.run_time_key(request)
        mean_run_s = self.mean_run_s_by_key.get((rank, is_cached))
        return mean_run_s or self.mean_run_s_by_key.get((rank, not is_cached)) or INITIAL_RUN_S

    def note_run(self, key: RunTimeKey, use: ObjectUse | None, ran_s: float) -> None:
        """Add a run time to the moving average and to the estimate of the cached objects."""
        if use:
            self.objects.note_run(use, key[0], ran_s)
        mean_s = self.mean_run_s_by_key.get(key, ran_s)
        self.mean_run_s_by_key[key] = mean_s + RUN_TIME_WEIGHT * (ran_s - mean_s)

    def in_use(self, now: float) -> int:
        """Permits in use, plus requests without one while their count is recent."""
        return len(self.lease_end_by_id) + (
            self.untracked_requests if now - self.untracked_requests_at < REPORT_TTL_S else 0
        )


def group_ranks(target_s_by_rank: Mapping[int, float]) -> dict[int, int]:
    """Group ranks with similar latency targets; group 0 holds the most urgent rank.

    A rank starts a new group if its target is at least `TOLERANT_TARGET_RATIO` times the longest
    target of the group before it.
    """
    group_by_rank: dict[int, int] = {}
    group, longest_s = 0, 0.0
    for rank in sorted(target_s_by_rank):
        target_s = target_s_by_rank[rank]
        if longest_s and target_s >= TOLERANT_TARGET_RATIO * longest_s:
            group, longest_s = group + 1, 0.0
        longest_s = max(longest_s, target_s)
        group_by_rank[rank] = group
    return group_by_rank
