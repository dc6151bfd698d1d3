"""Load patterns at one server's line, replayed in virtual time through the decisions."""

import heapq
import itertools
import unittest
from collections import Counter
from dataclasses import dataclass
from random import Random

from papayalever.cluster.messages import PermitState
from papayalever.routing.health import SendOutcome
from papayalever.routing.permits import PermitScheduler
from papayalever.routing.server_queue import PermitRequest, group_ranks
from papayalever.routing.servers import Server

from .test_decisions import server_entry

SEED = 23
SECONDS = 30.0
LEASE_S = 12.0


@dataclass(frozen=True)
class Kind:
    """One kind of request: rates a second, seconds of work and of its aim."""

    name: str
    rank: int
    per_s: float
    run_s: float
    aim_s: float


class LineReplay:
    """One server of three slots and its line; counts how the requests of each kind ended."""

    def __init__(self, kinds: list[Kind]) -> None:
        self.places = PermitScheduler(lambda _: 2.6, lambda _: True)
        self.server = Server(server_entry(1))
        self.ends: Counter[tuple[str, str]] = Counter()
        self._kind_by_id: dict[tuple[str, int], tuple[Kind, float]] = {}
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        chance = Random(SEED)
        for kind in kinds:
            for _ in range(int(kind.per_s * SECONDS)):
                self._push(chance.uniform(0, SECONDS), "ask", kind)
        for step in range(int((SECONDS + LEASE_S) / 0.02)):
            self._push(step * 0.02, "tick", None)

    def play(self) -> "LineReplay":
        while self._events:
            now, _, event, value = heapq.heappop(self._events)
            if event == "ask":
                self._ask(value, now)
            elif event == "end":
                kind, _ = self._kind_by_id[value]
                self.places.release(value, kind.run_s, -1, now, SendOutcome.GOOD)
            for place, verdict in self.places.decide_queued(now):
                self._decide(place, verdict.state, now)
        return self

    def share(self, name: str, *ends: str) -> float:
        asked = sum(count for (kind, _), count in self.ends.items() if kind == name)
        return sum(self.ends[name, end] for end in ends) / asked

    def _push(self, at: float, event: str, value) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event, value))

    def _ask(self, kind: Kind, now: float) -> None:
        number = next(self._numbers)
        # No object twice: every run is a cold one.
        ask = PermitRequest(
            ("e", number), kind.rank, now, now + kind.aim_s, now + LEASE_S, str(number)
        )
        self._kind_by_id[ask.id] = (kind, now)
        self._decide(ask.id, self.places.request(self.server, ask, now).state, now)

    def _decide(self, place: tuple[str, int], state: PermitState, now: float) -> None:
        kind, asked_at = self._kind_by_id[place]
        if state == PermitState.GRANTED:
            is_in_aim = now + kind.run_s <= asked_at + kind.aim_s
            self.ends[kind.name, "in aim" if is_in_aim else "late"] += 1
            self._push(now + kind.run_s, "end", place)
        elif state == PermitState.REFUSED:
            self.ends[kind.name, "refused"] += 1


class TestPatientFlood(unittest.TestCase):
    """Long patient work floods the servers that also take urgent work which is late when cold."""

    def setUp(self) -> None:
        uploads = Kind("upload", 1, 0.6, 0.76, 0.6)
        browsing = Kind("browse", 2, 3.0, 2.56, 3.0)
        self.replay = LineReplay([uploads, browsing]).play()

    def test_late_urgent_work_is_served_before_patient_work(self):
        self.assertGreater(self.replay.share("upload", "in aim", "late"), 0.8)

    def test_patient_work_keeps_most_of_the_slots(self):
        served = self.replay.share("browse", "in aim", "late") * 3.0 * SECONDS
        # 3 slots less what the uploads take run 1 request a second.
        self.assertGreater(served, 0.8 * SECONDS)


class TestUrgentFlood(unittest.TestCase):
    """Ranks with aims alike flood the servers."""

    def test_in_time_goes_before_late_whatever_the_rank(self):
        lookups = Kind("lookup", 0, 14.0, 0.19, 0.5)
        signoffs = Kind("signoff", 1, 4.0, 0.25, 0.6)
        replay = LineReplay([lookups, signoffs]).play()
        self.assertGreater(replay.share("lookup", "in aim"), 0.75)
        self.assertLess(replay.share("lookup", "late"), 0.1)
        self.assertLess(replay.share("signoff", "late"), 0.1)


class TestGroups(unittest.TestCase):
    def test_ranks_with_aims_alike_share_a_group(self):
        self.assertEqual({0: 0, 1: 0, 2: 1}, group_ranks({0: 0.5, 1: 0.6, 2: 3.0}))
        self.assertEqual({0: 0, 1: 0, 2: 0}, group_ranks({0: 0.25, 1: 0.5, 2: 0.7}))

    def test_urgent_rank_is_never_behind_a_less_urgent_one(self):
        self.assertEqual({0: 0, 1: 0}, group_ranks({0: 3.0, 1: 0.3}))
        self.assertEqual({0: 0, 5: 1, 9: 2}, group_ranks({0: 0.1, 5: 0.4, 9: 2.0}))
