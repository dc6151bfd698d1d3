"""Objects of the platform's store, validated and turned into our own types.

Entries may come from other writers: what can not be read names nothing.
"""

import re
from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec

from ..routing.routes import CallerLimits, RouteRule, RoutingConfig, ServiceRule, WeightedService
from ..routing.servers import Phase, ServerEntry

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVER_KIND = "servers"
EVACUATION_KIND = "evacuations"

Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Positive = Annotated[int, msgspec.Meta(gt=0)]
VERSION = re.compile(r"^r(\d+)$")


class UnreadableError(Exception):
    """An object that does not say what its kind needs."""


class ServerSpec(msgspec.Struct):
    """Entry that a backend server writes of itself."""

    service: Text
    address: Address
    zone: Text
    max_concurrency: Annotated[int, msgspec.Meta(gt=0, le=100_000)]
    phase: Literal["ready", "draining"]
    sequence: int
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    born: int | None = None
    """Unix milliseconds of the server's start: tells a restart under the same id."""


class BackendSpec(msgspec.Struct):
    """Part of a route."""

    service: Text
    weight: Annotated[float, msgspec.Meta(ge=0)]


class RouteSpec(msgspec.Struct):
    """A route."""

    host: Text
    path_prefix: Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?$")]
    type: str
    timeout_ms: Annotated[float, msgspec.Meta(gt=0)]
    attempts: Positive
    target_latency_ms: Annotated[float, msgspec.Meta(gt=0)] = 1000
    priority: int = 0
    service: str | None = None
    backends: list[BackendSpec] = []
    session_affinity: bool = False
    allowed_regions: list[str] = []


class ServiceSpec(msgspec.Struct):
    """A service."""

    health_path: str = "/"
    max_connections: Positive = 100
    warmup_s: float = 0
    warmup_per_s: float = 1e9


class LimitsSpec(msgspec.Struct):
    """What a caller may send."""

    max_header_bytes: Positive = 16_384
    max_body_bytes: Positive = 64 * 1024 * 1024
    header_timeout_ms: Positive = 3_000
    idle_timeout_ms: Positive = 15_000


class EntryMetadata(msgspec.Struct):
    """Name of an entry; the limits have none."""

    name: str = ""


class ResourceSpec(msgspec.Struct):
    """One entry of the configuration; ``spec`` by its kind."""

    entry_kind: str
    metadata: EntryMetadata
    spec: msgspec.Raw


class ConfigSpec(msgspec.Struct):
    """The configuration as the operator wrote it."""

    version: str
    resources: list[ResourceSpec]


def read_server(server_id: str, value: bytes, region_by_domain: Mapping[str, str]) -> ServerEntry:
    """A backend server's entry; raises `UnreadableError`."""
    spec = _decode(value, ServerSpec, f"server {server_id!r}")
    region = region_by_domain.get(spec.zone)
    if region is None:
        raise UnreadableError(f"server {server_id!r} names the unknown domain {spec.zone!r}")
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
    )


def read_config(value: bytes) -> RoutingConfig:
    """The configuration; raises `UnreadableError`."""
    spec = _decode(value, ConfigSpec, "the configuration")
    found = VERSION.match(spec.version)
    if not found:
        raise UnreadableError(f"the configuration has the version {spec.version!r}")
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
    return RoutingConfig(int(found.group(1)), tuple(routes), services, limits)


def _read_route(item: ResourceSpec) -> RouteRule:
    name = item.metadata.name
    spec = _decode(bytes(item.spec), RouteSpec, f"route {name!r}")
    if spec.backends:
        parts = tuple(
            WeightedService(part.service, part.weight) for part in spec.backends if part.weight > 0
        )
    else:
        parts = (WeightedService(spec.service, 1.0),) if spec.service else ()
    if not parts:
        raise UnreadableError(f"route {name!r} names no service")
    return RouteRule(
        name=name,
        host=spec.host,
        prefix=spec.path_prefix,
        is_idempotent=spec.type == "safe",
        timeout_s=spec.timeout_ms / 1000,
        target_latency_s=spec.target_latency_ms / 1000,
        rank=spec.priority,
        max_servers=spec.attempts,
        weighted_services=parts,
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


def _decode(value: bytes, kind: type, what: str):
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableError(f"{what} can not be read: {error}") from error
