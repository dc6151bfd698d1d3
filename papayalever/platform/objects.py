"""Objects of the platform's store, validated and converted to the project's own types.

Other writers may store entries too: an entry that cannot be decoded raises `InvalidObjectError`,
and its receiver ignores it.
"""

import re
from collections.abc import Mapping
from typing import Annotated, Literal

import logbook
import msgspec

from ..addresses import is_address
from ..routing.routes import CallerLimits, RouteRule, RoutingConfig, ServiceRule, WeightedService
from ..routing.servers import Phase, ServerEntry

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVER_KIND = "servers"
EVACUATION_KIND = "evacuations"

MAX_COUNT = 2**53
"""Largest whole number of entries: JSON numbers are exact up to it."""
MAX_MS = 1e12
"""Longest duration in milliseconds, 31 years."""
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0, le=MAX_COUNT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
PositiveMilliseconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_MS)]
VERSION_PATTERN = re.compile(r"r([0-9]{1,15})")
IDEMPOTENT_TYPES = frozenset(("safe", "download"))
"""Types of routes whose requests may run more than once; downloads have large responses."""
UNSAFE_TYPES = frozenset(("unsafe", "upload"))
"""Types of routes whose requests may run once at most; uploads have large bodies."""

log = logbook.Logger("config")


class InvalidObjectError(Exception):
    """A stored object does not have the form that its kind requires."""


class ServerSpec(msgspec.Struct):
    """Entry with which a backend server registers itself."""

    service: Text
    address: Text
    zone: Text
    max_concurrency: Annotated[int, msgspec.Meta(gt=0, le=100_000)]
    phase: Literal["ready", "draining"]
    sequence: Count
    warmup_left_ms: Milliseconds = 0
    born: Count | None = None
    """Start time in Unix milliseconds; another value under the same id means a restart."""


class BackendSpec(msgspec.Struct):
    """A service and its weight in a route."""

    service: Text
    weight: Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]


class RouteSpec(msgspec.Struct):
    """Which requests a route matches and how they are sent."""

    host: Text
    path_prefix: Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?$")]
    type: str
    timeout_ms: PositiveMilliseconds
    attempts: PositiveInt
    target_latency_ms: PositiveMilliseconds = 1000
    priority: Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)] = 0
    service: str | None = None
    backends: list[BackendSpec] = []
    session_affinity: bool = False
    allowed_regions: list[str] = []


class ServiceSpec(msgspec.Struct):
    """Settings that all backend servers of a service share."""

    health_path: str = "/"
    max_connections: PositiveInt = 100
    warmup_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_MS / 1000)] = 0
    warmup_per_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)] = 1e9


class LimitsSpec(msgspec.Struct):
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: PositiveInt = 16_384
    max_body_bytes: PositiveInt = 64 * 1024 * 1024
    header_timeout_ms: PositiveMilliseconds = 3_000
    idle_timeout_ms: PositiveMilliseconds = 15_000


class EntryMetadata(msgspec.Struct):
    """Name of an entry; empty for the limits."""

    name: str = ""


class ResourceSpec(msgspec.Struct):
    """One entry of the configuration; ``entry_kind`` determines the type of ``spec``."""

    entry_kind: str
    metadata: EntryMetadata
    spec: msgspec.Raw


class ConfigSpec(msgspec.Struct):
    """The configuration as the operator wrote it."""

    version: str
    resources: list[ResourceSpec]


def read_server(server_id: str, value: bytes, region_by_domain: Mapping[str, str]) -> ServerEntry:
    """Decode a backend server's entry; raises `InvalidObjectError`."""
    spec = _decode(value, ServerSpec, f"server {server_id!r}")
    if not is_address(spec.address):
        raise InvalidObjectError(
            f"server {server_id!r} has the address {spec.address!r}, expected IPv4 address:port"
        )
    region = region_by_domain.get(spec.zone)
    if region is None:
        raise InvalidObjectError(
            f"server {server_id!r} is in the unknown failure domain {spec.zone!r}"
        )
    return ServerEntry(
        id=server_id,
        service=spec.service,
        address=spec.address,
        failure_domain=spec.zone,
        region=region,
        slots=spec.max_concurrency,
        phase=Phase.READY if spec.phase == "ready" else Phase.LEAVING,
        cold_left_s=spec.warmup_left_ms / 1000,
        started_ms=spec.born,
        sequence=spec.sequence,
    )


def read_config(value: bytes) -> RoutingConfig:
    """Decode the configuration; raises `InvalidObjectError`."""
    spec = _decode(value, ConfigSpec, "the configuration")
    match = VERSION_PATTERN.fullmatch(spec.version)
    if not match:
        raise InvalidObjectError(
            f"configuration version {spec.version!r} is not of the form r<number>"
        )
    routes: list[RouteRule] = []
    services: dict[str, ServiceRule] = {}
    limits = CallerLimits()
    for item in spec.resources:
        if item.entry_kind == "routes":
            routes.append(_read_route(item))
        elif item.entry_kind == "services":
            services[item.metadata.name] = _read_service(item)
        elif item.entry_kind == "limits":
            limits = _read_limits(item)
    return RoutingConfig(int(match.group(1)), tuple(routes), services, limits)


def _read_route(item: ResourceSpec) -> RouteRule:
    name = item.metadata.name
    spec = _decode(bytes(item.spec), RouteSpec, f"route {name!r}")
    if spec.backends:
        weighted_services = tuple(
            WeightedService(backend.service, backend.weight)
            for backend in spec.backends
            if backend.weight > 0
        )
    else:
        weighted_services = (WeightedService(spec.service, 1.0),) if spec.service else ()
    if not weighted_services:
        raise InvalidObjectError(f"route {name!r} names no service")
    if spec.type not in IDEMPOTENT_TYPES | UNSAFE_TYPES:
        log.warning("route type unknown, requests run once at most", route=name, type=spec.type)
    return RouteRule(
        name=name,
        host=spec.host,
        prefix=spec.path_prefix,
        is_idempotent=spec.type in IDEMPOTENT_TYPES,
        timeout_s=spec.timeout_ms / 1000,
        target_latency_s=spec.target_latency_ms / 1000,
        rank=spec.priority,
        max_servers=spec.attempts,
        weighted_services=weighted_services,
        has_affinity=spec.session_affinity,
        regions=frozenset(spec.allowed_regions),
    )


def _read_service(item: ResourceSpec) -> ServiceRule:
    spec = _decode(bytes(item.spec), ServiceSpec, f"service {item.metadata.name!r}")
    return ServiceRule(
        item.metadata.name,
        spec.health_path,
        spec.max_connections,
        spec.warmup_s,
        spec.warmup_per_s,
    )


def _read_limits(item: ResourceSpec) -> CallerLimits:
    spec = _decode(bytes(item.spec), LimitsSpec, "the limits")
    return CallerLimits(
        spec.max_header_bytes,
        spec.max_body_bytes,
        spec.header_timeout_ms / 1000,
        spec.idle_timeout_ms / 1000,
    )


def _decode(value: bytes, spec_type: type, description: str):
    try:
        return msgspec.json.decode(value, type=spec_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidObjectError(f"{description} cannot be decoded: {error}") from error
