"""Lookup responses, built once for each group of callers and cached as bytes."""

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
from .blocks import BlockMap, parse_address
from .responses import MIN_TTL_S, LookupResponse, choose_instances, limit_ttl

BUCKET_COUNT = 256
"""Groups of callers for each service and home region."""
MAX_CACHE_AGE_S = 1.0


class UnknownServiceError(Exception):
    """The configuration does not contain the service."""


class NoInstanceError(Exception):
    """There is no live instance that a caller could use."""


@dataclass(frozen=True, slots=True)
class CachedResponse:
    """Encoded response, valid until ``expires_at`` (seconds since the Unix epoch)."""

    body: bytes
    max_age_s: int
    expires_at: float


class Directory:
    """Answers lookups from the configuration in force, the steering plan and the membership."""

    def __init__(self, table: MembershipTable) -> None:
        self._table = table
        self._in_force: LoadedConfiguration | None = None
        self.plan = Plan()
        self._limiter = ShiftLimiter()
        self._blocks = BlockMap((), ())
        self._cache: dict[tuple[str, str, int], CachedResponse] = {}

    def set_configuration(self, in_force: LoadedConfiguration) -> None:
        """Replace the configuration."""
        configuration = in_force.configuration
        previous = self._in_force
        self._in_force = in_force
        blocks = configuration.caller_blocks
        if previous is None or previous.configuration.caller_blocks != blocks:
            pairs = ((block.cidr, block.home) for block in blocks)
            self._blocks = BlockMap(pairs, tuple(configuration.regions))
        self.clear_cache()

    def set_plan(self, plan: Plan) -> None:
        """Replace the steering plan."""
        self.plan = plan
        self.clear_cache()

    def clear_cache(self) -> None:
        """Drop all cached responses after a change of the configuration, plan or membership."""
        self._cache.clear()

    def find_home(self, caller: str) -> str:
        """Return the home region of a caller's address, or the own region if it is unknown."""
        address = parse_address(caller)
        home = self._blocks.find(address) if address is not None else None
        return home or self._table.own.region

    def find(self, service: str, address: int, now: float) -> CachedResponse:
        """Answer a lookup; raises `UnknownServiceError` or `NoInstanceError`."""
        block = self._blocks.find_block(address)
        home = self._blocks.find(address) or self._table.own.region
        key = (service, home, (block if block >= 0 else address) % BUCKET_COUNT)
        response = self._cache.get(key)
        if response is None or response.expires_at <= now:
            response = self._build(key, now)
            self._cache[key] = response
        return response

    def _build(self, key: tuple[str, str, int], now: float) -> CachedResponse:
        service, home, bucket = key
        if self._in_force is None or service not in self._in_force.configuration.services:
            raise UnknownServiceError(service)
        configuration = self._in_force.configuration
        stop_by_instance = planned_stops(configuration, StopKind.INSTANCE)
        members = self._find_members(configuration, stop_by_instance, now)
        shares = self._compute_shares(configuration, service, home, members, now)
        chosen = choose_instances(members, shares, bucket, configuration.lookup.answers)
        if not chosen:
            raise NoInstanceError(service)
        stops_at = [
            stop_by_instance[item.instance] for item in chosen if item.instance in stop_by_instance
        ]
        ttl_s = limit_ttl(configuration.lookup.ttl_s, stops_at, now)
        version = self._in_force.version
        response = LookupResponse(service, home, f"{home}.", ttl_s, version, chosen)
        body = json.dumps(response.to_document()).encode()
        return CachedResponse(body, max(1, int(ttl_s)), now + min(MAX_CACHE_AGE_S, ttl_s))

    def _compute_shares(
        self,
        configuration: Configuration,
        service: str,
        home: str,
        members: list[Member],
        now: float,
    ) -> Shares:
        """Return the current share of each region, the nearest region first."""
        target = planned_shares(self.plan, configuration, service, home)
        cap = configuration.shift_cap
        shares = self._limiter.advance(service, home, target, cap.share_per_step, cap.step_s, now)
        available = {member.region for member in members}
        latency = latency_by_region(configuration, home)
        available_shares = redistribute_shares(shares, available, self.plan, configuration, service)
        return {
            region: available_shares[region]
            for region in sorted(available_shares, key=lambda item: latency[item])
        }

    def _find_members(
        self, configuration: Configuration, stop_by_instance: dict[str, float], now: float
    ) -> list[Member]:
        """Return the live instances whose planned stop is further away than the minimum TTL."""
        return [
            member
            for member in self._table.live()
            if stop_by_instance.get(member.id, now + MIN_TTL_S * 2) > now + MIN_TTL_S
        ]
