"""The configuration in force as an entry instance uses it: routes, services and limits."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Part:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """How the requests of one route are treated."""

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float
    aim_s: float
    """Latency within which an answer is worth its full value to the caller."""
    rank: int
    """Urgency, 0 is the most urgent."""
    max_servers: int
    """Backend servers that one request may be sent to."""
    parts: tuple[Part, ...]
    has_affinity: bool
    """Servers that handled the same object lately answer faster."""
    regions: frozenset[str] = frozenset()
    """Regions that may run the requests; empty: all."""


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """What holds for all backend servers of a service."""

    name: str
    health_path: str
    connections: int
    """Connections that one server accepts from all instances together."""
    cold_s: float
    cold_per_s: float
    """Requests a second that a cold server withstands."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One accepted configuration; ``version`` only grows."""

    version: int
    routes: tuple[RouteRule, ...]
    service_by_name: Mapping[str, ServiceRule]
    limits: CallerLimits


@dataclass(slots=True)
class RouteTable:
    """Routes of the configuration in force by host, longest prefix first."""

    config: RoutingConfig | None = None
    _routes_by_host: dict[str, list[RouteRule]] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version in force, 0 while none is known."""
        return self.config.version if self.config else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits in force."""
        return self.config.limits if self.config else CallerLimits()

    def take(self, config: RoutingConfig) -> bool:
        """Put a configuration in force unless it is older; returns whether it is now."""
        if config.version <= self.version:
            return False
        self.config = config
        self._routes_by_host = _group_by_host(config.routes)
        return True

    def match(self, host: str, path: str) -> RouteRule | None:
        """The route with the longest prefix of ``path`` among those of the host."""
        name = host.rsplit(":", 1)[0].lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _group_by_host(routes: Sequence[RouteRule]) -> dict[str, list[RouteRule]]:
    grouped: dict[str, list[RouteRule]] = {}
    for route in sorted(routes, key=lambda item: -len(item.prefix)):
        grouped.setdefault(route.host.lower(), []).append(route)
    return grouped


class PartSplitter:
    """Smooth weighted round robin: each part of a route gets its share of any run of requests."""

    def __init__(self) -> None:
        self._credit_by_route: dict[str, dict[str, float]] = {}

    def choose(self, route: RouteRule) -> str:
        """Service that runs the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        known = self._credit_by_route.get(route.name, {})
        credit = {part.service: known.get(part.service, 0.0) + part.weight for part in route.parts}
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= sum(part.weight for part in route.parts)
        self._credit_by_route[route.name] = credit
        return chosen
