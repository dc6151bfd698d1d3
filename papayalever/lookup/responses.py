"""Ordered and weighted instances for a group of callers, and the TTL of a lookup response."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from math import log

from ..cluster.messages import Member
from ..hashing import HASH_RANGE, hash_text

MIN_TTL_S = 1.0


@dataclass(frozen=True, slots=True)
class WeightedInstance:
    """An instance in a lookup response; the weights in a response add up to 1."""

    instance: str
    address: str
    region: str
    failure_domain: str
    weight: float


@dataclass(frozen=True, slots=True)
class LookupResponse:
    """Response to a lookup."""

    service: str
    home: str
    """Home region of the caller."""
    key_prefix: str
    """Prefix for the caller's idempotency keys, so that every retry uses the same ledger."""
    ttl_s: float
    config_version: int
    instances: tuple[WeightedInstance, ...]

    def to_document(self) -> dict:
        """Return the response as JSON values."""
        return asdict(self)


def choose_instances(
    members: Sequence[Member],
    share_by_region: Mapping[str, float],
    bucket: int,
    count: int,
) -> tuple[WeightedInstance, ...]:
    """Distribute callers over regions by share and within a region by rendezvous hashing.

    ``bucket`` identifies a group of callers. When an instance leaves, only the groups that used it
    move.
    """
    members_by_region: dict[str, list[Member]] = {}
    for member in members:
        members_by_region.setdefault(member.region, []).append(member)
    available_shares = {
        region: share for region, share in share_by_region.items() if region in members_by_region
    }
    order = _order_regions(available_shares, bucket)
    chosen: list[Member] = []
    for position, region in enumerate(order):
        ranked = sorted(members_by_region[region], key=lambda item: _score(item, bucket))
        # Reserve the last entry for another region, in case the first region fails.
        is_last = position == len(order) - 1
        limit = count - len(chosen) - (0 if is_last or count < 2 else 1)
        chosen.extend(_diversify_domains(ranked)[:limit])
    return _assign_weights(chosen[:count])


def limit_ttl(ttl_s: float, stops_at: Iterable[float], now: float) -> float:
    """Limit a TTL to the planned stops of the listed instances, but not below `MIN_TTL_S`."""
    return max(MIN_TTL_S, min([ttl_s, *(at - now for at in stops_at)]))


def _order_regions(share_by_region: Mapping[str, float], bucket: int) -> list[str]:
    """Order regions by weighted rendezvous hashing: each is first for its share of the buckets.

    Regions without a share come last.
    """
    weighted = [region for region, share in share_by_region.items() if share > 0]
    unweighted = [region for region, share in share_by_region.items() if share <= 0]
    ordered = sorted(
        weighted,
        key=lambda region: _exponential_variate(region, bucket) / share_by_region[region],
    )
    return ordered + unweighted


def _exponential_variate(region: str, bucket: int) -> float:
    unit = (hash_text(f"{region}/{bucket}") + 1) / HASH_RANGE
    return -log(unit)


def _score(member: Member, bucket: int) -> int:
    return hash_text(f"{member.id}/{bucket}")


def _diversify_domains(ranked: Sequence[Member]) -> list[Member]:
    """Keep the first member and move one of another failure domain to the second position."""
    if not ranked:
        return []
    first = ranked[0]
    others = [item for item in ranked[1:] if item.failure_domain != first.failure_domain]
    second = others[:1]
    rest = [item for item in ranked[1:] if item not in second]
    return [first, *second, *rest]


def _assign_weights(members: Sequence[Member]) -> tuple[WeightedInstance, ...]:
    """Give the first instance most of the traffic and the rest equal parts of the remainder."""
    if not members:
        return ()
    weights = (
        [1.0] if len(members) == 1 else [0.7] + [0.3 / (len(members) - 1)] * (len(members) - 1)
    )
    return tuple(
        WeightedInstance(
            item.id, item.caller_address, item.region, item.failure_domain, round(weight, 4)
        )
        for item, weight in zip(members, weights, strict=True)
    )
