"""Differential test of the ledger's rules: any order of failures against a count of grants."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from papayalever.cluster.messages import Claim, ClaimVerdict, Member, Replicate, Settle
from papayalever.ledger.slots import RecordState, Role, Slot, TimeLimits
from papayalever.ledger.views import RegionViews, View, next_views

RULES = TimeLimits(window_ms=1_000_000, skew_ms=0)
KEYS = [f"key-{number}" for number in range(3)]
NODES = [0, 1, 2, 3]


class Node:
    """One run of an instance: its slot and whether its lease is fresh."""

    def __init__(self, index: int, run: int) -> None:
        self.member = Member(f"n{index}", run, 0, "r", f"d{index % 2}", "", "", "")
        self.slot = Slot()
        self.is_frozen = False
        self.has_lease = False


class LedgerMachine(RuleBasedStateMachine):
    """Claims against replicas that die, freeze and miss views; one slot."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 1_000
        self.serial = 0
        self.nodes = [Node(index, index + 1) for index in NODES]
        self.views: RegionViews | None = None
        self.minted = {key: self.now_ms for key in KEYS}
        self.granted: dict[str, set[str]] = {key: set() for key in KEYS}
        self.update_views()
        for index in NODES:
            self.heartbeat(index)

    @rule(index=st.sampled_from(NODES), key=st.sampled_from(KEYS), is_resend=st.booleans())
    def claim(self, index, key, is_resend):
        self.now_ms += 1
        node = self.nodes[index]
        if node.is_frozen or node.slot.role != Role.PRIMARY or not node.has_lease:
            return
        held = node.slot.records_by_key.get(key)
        attempt = held.attempt if held and is_resend else self.next_attempt()
        if not node.slot.is_synced and not self.copy(node):
            return
        claim = Claim("r", 0, node.slot.epoch, key, attempt, "d", self.minted[key])
        decision = node.slot.decide_claim(claim, self.now_ms, RULES)
        if decision.verdict != ClaimVerdict.GRANTED:
            return
        node.slot.put(decision.record)
        if self.replicate(node, [decision.record]):
            self.granted[key].add(attempt)
        else:
            node.slot.settle(Settle("r", 0, key, attempt, RecordState.NOT_RUN))

    @rule(key=st.sampled_from(KEYS), index=st.sampled_from(NODES))
    def release(self, key, index):
        """The entry that holds the only grant was refused by every backend server."""
        node = self.nodes[index]
        if node.is_frozen or node.slot.role != Role.PRIMARY or len(self.granted[key]) != 1:
            return
        (attempt,) = self.granted[key]
        record = node.slot.settle(Settle("r", 0, key, attempt, RecordState.NOT_RUN))
        if record and record.state == RecordState.NOT_RUN:
            self.granted[key].clear()
            self.replicate(node, [record])

    @rule(index=st.sampled_from(NODES))
    def freeze(self, index):
        self.nodes[index].is_frozen = True

    @rule(index=st.sampled_from(NODES))
    def thaw(self, index):
        """A thawed node has lost its lease until its next heartbeat."""
        if self.nodes[index].is_frozen:
            self.nodes[index].is_frozen = False
            self.nodes[index].has_lease = False

    @rule(index=st.sampled_from(NODES))
    def kill(self, index):
        self.serial += 1
        self.nodes[index] = Node(index, 100 + self.serial)

    @rule(index=st.sampled_from(NODES))
    def heartbeat(self, index):
        node = self.nodes[index]
        if not node.is_frozen:
            self.now_ms += 1
            node.has_lease = True
            self.adopt(node)

    @rule(delay=st.sampled_from([1, 5_000]))
    def update_views(self, delay=1):
        """The coordinator sees frozen and ended runs as dead."""
        self.now_ms += delay
        by_replica = {node.member.replica: node for node in self.nodes}

        def find(replica):
            node = by_replica.get(replica)
            return node.member if node and not node.is_frozen else None

        live = [node.member for node in self.nodes if not node.is_frozen]
        views = next_views(self.views, 1, live, find, lambda item: find(item) is None, self.now_ms)
        if views:
            self.views = RegionViews("r", "w", views)

    def adopt(self, node) -> None:
        node.slot.apply_view(self.views.views[0], node.member.replica, self.now_ms, RULES)

    def copy(self, node) -> bool:
        records = list(node.slot.records_by_key.values())
        node.slot.is_synced = self.replicate(node, records, resync=True, complete=True)
        return node.slot.is_synced

    def replicate(self, node, records, resync=False, complete=False) -> bool:
        """Send to the backup that this node knows of: the one of its own epoch."""
        view = self.view_by_epoch[node.slot.epoch]
        for backup in self.nodes:
            if backup.member.replica == view.backup and not backup.is_frozen and backup.has_lease:
                history = node.slot.history_since_ms
                return backup.slot.accept(
                    Replicate("r", 0, view.epoch, history, records, resync, complete)
                )
        return False

    def next_attempt(self) -> str:
        self.serial += 1
        return f"attempt-{self.serial}"

    @property
    def views(self):
        return self._views

    @views.setter
    def views(self, value):
        self._views = value
        self.view_by_epoch = getattr(self, "view_by_epoch", {})
        if value:
            self.view_by_epoch[value.views[0].epoch] = value.views[0]

    @invariant()
    def each_key_is_granted_to_one_attempt(self):
        for key, attempts in self.granted.items():
            assert len(attempts) <= 1, f"{key} was granted to {sorted(attempts)}"


class TestLedgerRules(unittest.TestCase):
    def test_any_order_of_failures_grants_a_key_once(self):
        run_state_machine_as_test(
            LedgerMachine,
            settings=settings(
                max_examples=1_500,
                stateful_step_count=40,
                derandomize=True,
                deadline=None,
                database=None,
            ),
        )

    def test_replica_that_missed_a_view_has_no_history(self):
        returned = [self.replay_missed_view(companion) for companion in NODES]
        self.assertIn(True, returned)

    def test_backup_that_knows_a_later_epoch_refuses_the_former_primary(self):
        first = View(1, "p#1", "b#1", 0, 1, 1)
        backup = Slot()
        backup.apply_view(first, "b#1", 0, RULES)
        copy = Replicate("r", 0, 1, 0, [], resync=True, complete=True)
        self.assertTrue(backup.accept(copy))
        backup.apply_view(first.with_replicas("b#1", "c#1", 10), "b#1", 10, RULES)
        self.assertFalse(backup.accept(copy))
        again = View(3, "c#1", "b#1", 20, 2, 1)
        backup.apply_view(again, "b#1", 20, RULES)
        self.assertFalse(backup.accept(copy))

    def replay_missed_view(self, companion: int) -> bool:
        """The first backup misses a view and comes back as primary; False if it does not."""
        machine = LedgerMachine()
        first = machine.views.views[0]
        primary, backup = (self.index_of(machine, name) for name in (first.primary, first.backup))
        machine.claim(primary, "key-0", False)
        machine.freeze(backup)
        machine.update_views()
        second = self.index_of(machine, machine.views.views[0].backup)
        machine.heartbeat(primary)
        machine.heartbeat(second)
        machine.claim(primary, "key-1", False)
        self.assertEqual(1, len(machine.granted["key-1"]))
        machine.kill(primary)
        machine.kill(second)
        for index in NODES:
            if index not in (backup, companion):
                machine.freeze(index)
        machine.thaw(backup)
        machine.update_views()
        if machine.views.views[0].primary != machine.nodes[backup].member.replica:
            return False
        machine.heartbeat(backup)
        machine.heartbeat(companion)
        machine.claim(backup, "key-1", False)
        machine.each_key_is_granted_to_one_attempt()
        return True

    def index_of(self, machine, replica):
        return next(i for i in NODES if machine.nodes[i].member.replica == replica)
