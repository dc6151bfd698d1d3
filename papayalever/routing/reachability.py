"""Whether failed connections are the fault of servers or of this instance's own path to them.

Load pattern: some instances, or all of a failure domain, lose every backend server while everybody
else reaches them. If their failures counted against the servers, the servers would be ejected for
all instances. A failure is decided by attempts at other servers, those first that answered last:
after the loss of many servers, these are the ones that live.

Pure state: ``now`` is in seconds of the instance's monotonic clock.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from random import Random

from .servers import Server

CHECKED_SERVERS = 4
"""Other servers that are tried before a path counts as lost."""
MIN_FAILING_SERVERS = 2
"""Distinct servers that must be out of reach for a lost path; a single one is just dead."""
FAILURE_TTL_S = 1.5
"""How long a failure counts: attempts that hang, one after the other, and those at others."""
MIN_PROBE_PAUSE_S = 0.25
MAX_PROBE_PAUSE_S = 0.5
"""Pause between attempts to reach a server while cut off; callers are served by way of other
instances meanwhile, and all instances of a cut try again at different times."""


@dataclass(slots=True)
class Reachability:
    """Failures to connect to servers since the last connection was made."""

    cut_since: float | None = None
    """When the first failure of the present cut was seen; None while servers are reached."""
    reached_at: float = float("-inf")
    """When the last cut ended."""
    _failed_at_by_id: dict[str, float] = field(default_factory=dict)

    @property
    def is_cut(self) -> bool:
        """Whether this instance reaches no server over new connections."""
        return self.cut_since is not None

    @property
    def failing_ids(self) -> frozenset[str]:
        """Servers that were out of reach lately."""
        return frozenset(self._failed_at_by_id)

    def was_cut_since(self, at: float) -> bool:
        """Whether this instance was cut off at any moment since a time."""
        return self.is_cut or self.reached_at >= at

    def note_unreached(self, server_id: str, now: float) -> None:
        """Record a failed connection."""
        if not self.is_cut:
            self._failed_at_by_id[server_id] = now

    def conclude(self, now: float) -> bool:
        """Decide after attempts at other servers failed, too; returns whether a cut begins."""
        if self.is_cut:
            return False
        self._failed_at_by_id = {
            key: at for key, at in self._failed_at_by_id.items() if now - at < FAILURE_TTL_S
        }
        if len(self._failed_at_by_id) < MIN_FAILING_SERVERS:
            return False
        self.cut_since = min(self._failed_at_by_id.values())
        return True

    def note_connected(self, now: float) -> bool:
        """Record that a connection was made; returns whether it ends a cut."""
        self._failed_at_by_id.clear()
        if not self.is_cut:
            return False
        self.cut_since, self.reached_at = None, now
        return True


def order_probes(
    servers: Iterable[Server], avoided_ids: Container[str], rng: Random
) -> list[Server]:
    """Servers to try a connection to: the last ones that answered first, ``avoided_ids`` last."""
    shuffled = list(servers)
    rng.shuffle(shuffled)
    return sorted(shuffled, key=lambda item: (item.id in avoided_ids, -item.answered_at))
