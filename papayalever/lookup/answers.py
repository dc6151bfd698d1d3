"""Which instances a caller should use, in order, with weights and a lifetime."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from math import log

from ..cluster.messages import Member
from ..hashing import HASH_RANGE, hash_text

MIN_TTL_S = 1.0


@dataclass(frozen=True, slots=True)
class Choice:
    """One instance of an answer; the weights of an answer add up to 1."""

    instance: str
    address: str
    region: str
    failure_domain: str
    weight: float


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Answer to a look-up."""

    service: str
    home: str
    key_prefix: str
    """Put before an idempotency key, so that resends anywhere meet the same ledger."""
    ttl_s: float
    config_version: int
    instances: tuple[Choice, ...]

    def to_document(self) -> dict:
        """The answer as JSON values."""
        return asdict(self)


def choose_instances(
    members: Sequence[Member],
    share_by_region: Mapping[str, float],
    bucket: int,
    count: int,
) -> tuple[Choice, ...]:
    """Spread callers over regions by share and inside a region by rendezvous hashing.

    ``bucket`` identifies a group of callers; when an instance leaves, only the groups that
    used it move.
    """
    members_by_region: dict[str, list[Member]] = {}
    for member in members:
        members_by_region.setdefault(member.region, []).append(member)
    present = {
        region: share for region, share in share_by_region.items() if region in members_by_region
    }
    order = _order_regions(present, bucket)
    chosen: list[Member] = []
    for position, region in enumerate(order):
        ranked = sorted(members_by_region[region], key=lambda item: _score(item, bucket))
        # The last place is for another region, in case the first one is lost.
        is_last = position == len(order) - 1
        room = count - len(chosen) - (0 if is_last or count < 2 else 1)
        chosen.extend(_spread_domains(ranked)[:room])
    return _weigh(chosen[:count])


def limit_ttl(ttl_s: float, stops_at: Iterable[float], now: float) -> float:
    """Lifetime of an answer: the planned stay of the instances named bounds it."""
    return max(MIN_TTL_S, min([ttl_s, *(at - now for at in stops_at)]))


def _order_regions(share_by_region: Mapping[str, float], bucket: int) -> list[str]:
    """Regions by weighted rendezvous: each is first for its share of the buckets."""
    positive = [region for region, share in share_by_region.items() if share > 0]
    spare = [region for region, share in share_by_region.items() if share <= 0]
    keyed = sorted(
        positive,
        key=lambda region: _exponential(region, bucket) / share_by_region[region],
    )
    return keyed + spare


def _exponential(region: str, bucket: int) -> float:
    unit = (hash_text(f"{region}/{bucket}") + 1) / HASH_RANGE
    return -log(unit)


def _score(member: Member, bucket: int) -> int:
    return hash_text(f"{member.id}/{bucket}")


def _spread_domains(ranked: Sequence[Member]) -> list[Member]:
    """Keep the first member and put one of another failure domain second."""
    if not ranked:
        return []
    first = ranked[0]
    others = [item for item in ranked[1:] if item.failure_domain != first.failure_domain]
    second = others[:1]
    rest = [item for item in ranked[1:] if item not in second]
    return [first, *second, *rest]


def _weigh(members: Sequence[Member]) -> tuple[Choice, ...]:
    """The first instance takes most of the traffic, the rest stand by."""
    if not members:
        return ()
    weights = (
        [1.0] if len(members) == 1 else [0.7] + [0.3 / (len(members) - 1)] * (len(members) - 1)
    )
    return tuple(
        Choice(item.id, item.caller_address, item.region, item.failure_domain, round(weight, 4))
        for item, weight in zip(members, weights, strict=True)
    )
