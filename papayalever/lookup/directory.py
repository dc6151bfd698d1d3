"""Answers to look-ups, built once for each group of callers and kept as bytes."""

import json
from dataclasses import dataclass

from ..cluster.membership import MembershipTable
from ..cluster.messages import Member
from ..config.bundles import LoadedConfiguration
from ..config.models import Configuration, StopKind
from ..config.rules import planned_stops
from ..steering.plan import (
    Plan,
    Shares,
    ShiftLimiter,
    latency_by_region,
    planned_shares,
    redistribute_shares,
)
from .answers import MIN_TTL_S, LookupAnswer, choose_instances, limit_ttl
from .blocks import BlockMap, parse_address

BUCKETS = 256
ANSWER_LIFE_S = 1.0


class UnknownServiceError(Exception):
    """No such service in the configuration."""


class NoInstanceError(Exception):
    """No live instance to name."""


@dataclass(frozen=True, slots=True)
class CachedAnswer:
    """Encoded answer, usable until ``expires_at`` (wall clock, seconds)."""

    body: bytes
    max_age_s: int
    expires_at: float


class Directory:
    """Answers look-ups from the configuration in force, the plan and the membership."""

    def __init__(self, table: MembershipTable) -> None:
        self._table = table
        self._in_force: LoadedConfiguration | None = None
        self.plan = Plan()
        self._limiter = ShiftLimiter()
        self._blocks = BlockMap((), ())
        self._cache: dict[tuple[str, str, int], CachedAnswer] = {}

    def set_configuration(self, in_force: LoadedConfiguration) -> None:
        """Use another configuration from now on."""
        configuration = in_force.configuration
        previous = self._in_force
        self._in_force = in_force
        blocks = configuration.caller_blocks
        if previous is None or previous.configuration.caller_blocks != blocks:
            pairs = ((block.cidr, block.home) for block in blocks)
            self._blocks = BlockMap(pairs, tuple(configuration.regions))
        self.forget_answers()

    def set_plan(self, plan: Plan) -> None:
        """Use another steering plan from now on."""
        self.plan = plan
        self.forget_answers()

    def forget_answers(self) -> None:
        """Build every answer anew, after a change of membership."""
        self._cache.clear()

    def home_of(self, caller: str) -> str:
        """Home region of a caller's address; the own region for an unknown one."""
        address = parse_address(caller)
        home = self._blocks.find(address) if address is not None else None
        return home or self._table.own.region

    def find(self, service: str, address: int, now: float) -> CachedAnswer:
        """Answer a look-up; raises `UnknownServiceError` or `NoInstanceError`."""
        position = self._blocks.find_block(address)
        home = self._blocks.find(address) or self._table.own.region
        key = (service, home, (position if position >= 0 else address) % BUCKETS)
        answer = self._cache.get(key)
        if answer is None or answer.expires_at <= now:
            answer = self._build(key, now)
            self._cache[key] = answer
        return answer

    def _build(self, key: tuple[str, str, int], now: float) -> CachedAnswer:
        service, home, bucket = key
        if self._in_force is None or service not in self._in_force.configuration.services:
            raise UnknownServiceError(service)
        configuration = self._in_force.configuration
        stop_by_instance = planned_stops(configuration, StopKind.INSTANCE)
        members = self._usable_members(configuration, stop_by_instance, now)
        shares = self._shares(configuration, service, home, members, now)
        choices = choose_instances(members, shares, bucket, configuration.lookup.answers)
        if not choices:
            raise NoInstanceError(service)
        stops = [
            stop_by_instance[item.instance] for item in choices if item.instance in stop_by_instance
        ]
        ttl_s = limit_ttl(configuration.lookup.ttl_s, stops, now)
        version = self._in_force.version
        answer = LookupAnswer(service, home, f"{home}.", ttl_s, version, choices)
        body = json.dumps(answer.to_document()).encode()
        return CachedAnswer(body, max(1, int(ttl_s)), now + min(ANSWER_LIFE_S, ttl_s))

    def _shares(
        self,
        configuration: Configuration,
        service: str,
        home: str,
        members: list[Member],
        now: float,
    ) -> Shares:
        target = planned_shares(self.plan, configuration, service, home)
        cap = configuration.shift_cap
        shares = self._limiter.advance(service, home, target, cap.share_per_step, cap.step_s, now)
        present = {member.region for member in members}
        latency = latency_by_region(configuration, home)
        kept = redistribute_shares(shares, present, self.plan, configuration, service)
        return {region: kept[region] for region in sorted(kept, key=lambda item: latency[item])}

    def _usable_members(
        self, configuration: Configuration, stop_by_instance: dict[str, float], now: float
    ) -> list[Member]:
        return [
            member
            for member in self._table.live()
            if stop_by_instance.get(member.id, now + MIN_TTL_S * 2) > now + MIN_TTL_S
        ]
