"""Assembles the parts of one instance's ledger."""

from collections.abc import Callable

from ..cluster.gossip import Gossip
from ..cluster.links import LinkPool
from ..store import StoreClient
from .client import LedgerClient
from .coordinator import Coordinator
from .replica import Replica
from .state import LedgerState


class Ledger:
    """Client, replica and coordinator of one instance, which share one state."""

    def __init__(
        self,
        gossip: Gossip,
        pool: LinkPool,
        store: StoreClient,
        now_ms: Callable[[], int],
    ) -> None:
        self.state = LedgerState(gossip, now_ms)
        self.replica = Replica(self.state, gossip, pool)
        self.client = LedgerClient(self.state, self.replica, pool)
        self.coordinator = Coordinator(self.state, gossip, store)
