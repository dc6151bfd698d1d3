"""Data classes of the configuration file, validated by pydantic."""

from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum
from typing import Annotated

from pydantic import ConfigDict, Field, TypeAdapter

from .networks import Cidr

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Address = Annotated[str, Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
PositiveInt = Annotated[int, Field(gt=0)]
Seconds = Annotated[float, Field(gt=0, le=86_400)]
Share = Annotated[float, Field(ge=0, le=1)]

STRICT = ConfigDict(extra="forbid")


class StopKind(StrEnum):
    """Kind of object that a planned stop takes out of service."""

    INSTANCE = "instance"
    BACKEND = "backend"
    REGION = "region"


@dataclass(frozen=True, slots=True)
class Region:
    """A region and its failure domains."""

    __pydantic_config__ = STRICT
    failure_domains: Annotated[tuple[Name, ...], Field(min_length=1)]


@dataclass(frozen=True, slots=True)
class Link:
    """Network link between two regions; the capacity applies to each direction."""

    __pydantic_config__ = STRICT
    between: Annotated[tuple[Name, ...], Field(min_length=2, max_length=2)]
    latency_ms: Annotated[float, Field(ge=0)]
    capacity_mbit_s: PositiveInt


@dataclass(frozen=True, slots=True)
class Rank:
    """Priority class of requests; ``order`` 0 is the most urgent."""

    __pydantic_config__ = STRICT
    order: Annotated[int, Field(ge=0, le=9)]
    deadline_s: Seconds
    floor: Share = 0.0
    """Share of the capacity that is reserved against more urgent requests."""


@dataclass(frozen=True, slots=True)
class Route:
    """Class of requests by path and method; the first matching route of a service applies."""

    __pydantic_config__ = STRICT
    rank: Name
    path: Annotated[str, Field(pattern=r"^/")] = "/"
    methods: tuple[str, ...] = ()
    idempotent: bool = False
    deadline_s: Seconds | None = None


@dataclass(frozen=True, slots=True)
class Backend:
    """A backend server that handles ``slots`` concurrent requests over up to ``connections``."""

    __pydantic_config__ = STRICT
    id: Name
    address: Address
    failure_domain: Name
    slots: PositiveInt
    connections: PositiveInt


@dataclass(frozen=True, slots=True)
class Service:
    """A service: host names, routes and backend servers."""

    __pydantic_config__ = STRICT
    hosts: Annotated[tuple[str, ...], Field(min_length=1)]
    routes: Annotated[tuple[Route, ...], Field(min_length=1)]
    backends: Annotated[tuple[Backend, ...], Field(min_length=1)]
    max_body_bytes: PositiveInt = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ShiftCap:
    """Largest share of a service's traffic that a plan may move within ``step_s``."""

    __pydantic_config__ = STRICT
    share_per_step: Annotated[float, Field(gt=0, le=1)] = 0.1
    step_s: Seconds = 10.0


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A graceful shutdown at a scheduled time."""

    __pydantic_config__ = STRICT
    kind: StopKind
    id: Name
    at: datetime


@dataclass(frozen=True, slots=True)
class CallerBlock:
    """A network of callers and the region that is preferred for them."""

    __pydantic_config__ = STRICT
    cidr: Cidr
    home: Name


@dataclass(frozen=True, slots=True)
class Lookup:
    """Lifetime of lookup responses, and number of instances in each."""

    __pydantic_config__ = STRICT
    ttl_s: Seconds = 5.0
    answers: PositiveInt = 4


@dataclass(frozen=True, slots=True)
class LedgerOptions:
    """At-most-once ledger: how long it remembers keys, and its ranges and limits."""

    __pydantic_config__ = STRICT
    window_s: Annotated[float, Field(gt=0)] = 86_400.0
    clock_skew_s: Annotated[float, Field(ge=0, le=600)] = 10.0
    ranges_per_region: Annotated[int, Field(ge=1, le=1024)] = 16
    max_records: PositiveInt = 100_000
    """Maximum number of records on one instance, as primary and backup together."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """Contents of a configuration file, which is applied as a whole."""

    __pydantic_config__ = STRICT
    regions: Annotated[dict[Name, Region], Field(min_length=1)]
    ranks: Annotated[dict[Name, Rank], Field(min_length=1)]
    services: Annotated[dict[Name, Service], Field(min_length=1)]
    links: tuple[Link, ...] = ()
    shift_cap: ShiftCap = field(default_factory=ShiftCap)
    planned_stops: tuple[PlannedStop, ...] = ()
    caller_blocks: tuple[CallerBlock, ...] = ()
    lookup: Lookup = field(default_factory=Lookup)
    ledger: LedgerOptions = field(default_factory=LedgerOptions)


CONFIGURATION = TypeAdapter(Configuration)
