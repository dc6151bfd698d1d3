"""Limit of the concurrent requests of one instance at a service's backend servers.

Each instance always has its share of the region's slots and borrows idle ones: additive increase
while nothing is shed, multiplicative decrease when a backend server sheds (Chiu and Jain 1989).
"""

INCREASE_STEP = 0.25
DECREASE_FACTOR = 0.8
DECREASE_PAUSE_S = 0.1


class ConcurrencyLimit:
    """Adaptive limit between the fair share and the region's slots."""

    def __init__(self) -> None:
        self.limit = 1.0
        self._fair_share = 1.0
        self._total_slots = 1.0
        self._decreased_at = float("-inf")

    def set_share(self, total_slots: float, instances: int) -> None:
        """Set the number of slots and of the instances that share them."""
        self._total_slots = max(1.0, float(total_slots))
        self._fair_share = max(1.0, total_slots / max(1, instances))
        self.limit = min(max(self.limit, self._fair_share), self._total_slots)

    def note_success(self, is_limited: bool) -> None:
        """Count a response; ``is_limited`` tells whether requests are waiting for the limit."""
        if is_limited:
            self.limit = min(self._total_slots, self.limit + INCREASE_STEP / self.limit)

    def note_shed(self, now: float) -> None:
        """Count a refusal by a backend server, at most one per `DECREASE_PAUSE_S`."""
        if now - self._decreased_at < DECREASE_PAUSE_S:
            return
        self._decreased_at = now
        self.limit = max(self._fair_share, self.limit * DECREASE_FACTOR)
