"""Fakes at the interfaces: a clock, a network between instances and a store without HTTP."""

from dataclasses import dataclass, field

from papayalever.cluster.exceptions import PeerUnreachableError
from papayalever.cluster.gossip import Gossip
from papayalever.cluster.messages import Broadcast, Claim, Member, Replicate, Sync
from papayalever.config.models import LedgerOptions
from papayalever.ledger.service import Ledger
from papayalever.store import (
    ListedInstance,
    StoreConflictError,
    StoredObject,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)


class FakeClock:
    """Seconds that pass when a test says so."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def __call__(self) -> float:
        return self.now


@dataclass
class FakeStore:
    """The store's calls on a dict, with outages and lost answers."""

    objects: dict[str, StoredObject] = field(default_factory=dict)
    instances: list[ListedInstance] = field(default_factory=list)
    is_down: bool = False
    lost_answers: int = 0

    async def get(self, key: str) -> StoredObject | None:
        self._check()
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        self._check()
        version = self.objects[key].version if key in self.objects else 0
        if version != expected_version:
            raise StoreConflictError(key)
        self.objects[key] = StoredObject(key, version + 1, value)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreOutcomeUnknownError(key)
        return version + 1

    async def list_instances(self) -> list[ListedInstance]:
        self._check()
        return self.instances

    def _check(self) -> None:
        if self.is_down:
            raise StoreUnavailableError("down")


class FakeNetwork:
    """Instances by peer address; ``cut`` holds pairs of names that can not reach each other."""

    def __init__(self, clock: FakeClock, store: FakeStore) -> None:
        self.clock = clock
        self.store = store
        self.by_address: dict[str, Gossip] = {}
        self.ledgers: dict[str, Ledger] = {}
        self.cut: set[frozenset[str]] = set()
        self.messages = 0

    def add(self, name: str, region: str, domain: str, seeds: tuple[str, ...] = ()) -> Gossip:
        member = Member(
            name, int(self.clock.now * 1000) + len(self.by_address), 0, region, domain,
            f"{name}:caller", name, f"{name}:operator",
        )  # fmt: skip
        gossip = Gossip(member, seeds, FakePool(self, name), self.store, self.clock)
        self.by_address[name] = gossip
        return gossip

    def add_ledger(self, name: str, options: LedgerOptions) -> Ledger:
        """Run a ledger on an instance that was added."""
        ledger = Ledger(
            self.by_address[name], FakePool(self, name), self.store,
            lambda: int(self.clock.now * 1000),
        )  # fmt: skip
        ledger.state.set_options(options)
        self.ledgers[name] = ledger
        return ledger

    def cut_off(self, left: list[str], right: list[str]) -> None:
        self.cut |= {frozenset((one, other)) for one in left for other in right}

    async def run(self, rounds: int, step_s: float = 1.0) -> None:
        for _ in range(rounds):
            self.clock.now += step_s
            for gossip in list(self.by_address.values()):
                await gossip.sync_round()
            for ledger in list(self.ledgers.values()):
                await ledger.coordinator.update_views()
                await ledger.replica.sync_backups()


class FakePool:
    """Outgoing calls of one instance."""

    def __init__(self, network: FakeNetwork, name: str) -> None:
        self.network = network
        self.name = name

    async def notify(self, address: str, message, timeout_s: float = 1.0) -> None:
        await self.request(address, message, timeout_s)

    async def request(self, address: str, message, timeout_s: float):
        network = self.network
        if address not in network.by_address or frozenset((self.name, address)) in network.cut:
            raise PeerUnreachableError(address)
        network.messages += 1
        receiver = network.by_address[address]
        if isinstance(message, Sync):
            return receiver.handle_sync(message)
        if isinstance(message, Broadcast):
            return receiver.broadcaster.handle(message)
        replica = network.ledgers[address].replica
        if isinstance(message, Replicate):
            return replica.handle_replicate(message)
        if isinstance(message, Claim):
            return await replica.handle_claim(message)
        return await replica.handle_settle(message)
