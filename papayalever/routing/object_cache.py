"""Which objects a backend server still has cached, learned from its run times.

Load pattern: servers keep between 8 and 50 objects, and a run without the object takes about four
times as long. A server that is taken to keep more than it does gets objects that it must load
again; one that is taken to keep less is passed over although it has the object.

Pure state, kept by the owner of the server.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

FIRST_CAPACITY = 24.0
"""Objects that a server is taken to keep before its run times show it."""
MIN_CAPACITY = 4
MAX_REMEMBERED = 64
"""Objects that are remembered for each server."""
SURE_DEPTH = 4
"""An object with fewer than this many more recent ones is taken to be cached everywhere."""
LEARNING_WEIGHT = 0.1
"""Weight of one run in the capacity."""
BASELINE_WEIGHT = 0.15
"""Weight of the newest run time in the averages, which span about seven runs."""
SEPARATION = 1.5
"""Ratio of uncached to cached run times below which runs do not change the capacity."""


@dataclass(frozen=True, slots=True)
class ObjectUse:
    """What is known of an object at a server when a request for it is granted."""

    key: str
    depth: int | None
    """Number of objects used more recently, None if the object is not remembered."""
    has_run: bool
    """Whether a request for the object has ended there; others may still be loading it."""


@dataclass(slots=True)
class ObjectCache:
    """Objects that a server handled lately, and how many of them it still has."""

    capacity: float = FIRST_CAPACITY
    _has_run_by_key: OrderedDict[str, bool] = field(default_factory=OrderedDict)
    """The most recently used object is the last one."""
    _fast_s_by_rank: dict[int, float] = field(default_factory=dict)
    _slow_s_by_rank: dict[int, float] = field(default_factory=dict)

    def has(self, key: str) -> bool:
        """Whether the server is taken to have an object."""
        depth = self._find_depth(key)
        return depth is not None and depth < self.capacity

    def note_use(self, key: str) -> ObjectUse:
        """Record that a request for an object is granted; returns what was known before."""
        use = ObjectUse(key, self._find_depth(key), self._has_run_by_key.get(key, False))
        self._has_run_by_key[key] = use.has_run
        self._has_run_by_key.move_to_end(key)
        if len(self._has_run_by_key) > MAX_REMEMBERED:
            self._has_run_by_key.popitem(last=False)
        return use

    def note_run(self, use: ObjectUse, rank: int, ran_s: float) -> None:
        """Update run time averages and capacity from a finished request."""
        if use.key in self._has_run_by_key:
            self._has_run_by_key[use.key] = True
        if use.depth is None:
            _update_mean(self._slow_s_by_rank, rank, ran_s)
        elif not use.has_run:
            return
        elif use.depth < SURE_DEPTH:
            _update_mean(self._fast_s_by_rank, rank, ran_s)
        else:
            self._learn_capacity(use.depth, self._is_slow(rank, ran_s))

    def _learn_capacity(self, depth: int, is_slow: bool | None) -> None:
        """Move the capacity towards the depth of an object whose run contradicts it."""
        if is_slow and depth < self.capacity:
            self.capacity += LEARNING_WEIGHT * (max(depth, MIN_CAPACITY) - self.capacity)
        elif is_slow is False and depth >= self.capacity:
            self.capacity += LEARNING_WEIGHT * (depth + 1 - self.capacity)

    def _is_slow(self, rank: int, ran_s: float) -> bool | None:
        """Whether a run took as long as one without the object; None if that cannot be told."""
        fast_s, slow_s = self._fast_s_by_rank.get(rank), self._slow_s_by_rank.get(rank)
        if not fast_s or not slow_s or slow_s < SEPARATION * fast_s:
            return None
        return ran_s > (fast_s * slow_s) ** 0.5

    def _find_depth(self, key: str) -> int | None:
        if key not in self._has_run_by_key:
            return None
        for depth, other in enumerate(reversed(self._has_run_by_key)):
            if other == key:
                return depth
        return None


def _update_mean(mean_by_rank: dict[int, float], rank: int, ran_s: float) -> None:
    mean_s = mean_by_rank.get(rank, ran_s)
    mean_by_rank[rank] = mean_s + BASELINE_WEIGHT * (ran_s - mean_s)
