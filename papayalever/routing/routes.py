"""The configuration in force in the form that an instance uses: routes, services and limits."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests."""

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
    target_latency_s: float
    """Latency within which a response has its full value for the caller."""
    rank: int
    """Priority; 0 is the most urgent."""
    max_servers: int
    """Maximum number of backend servers that one request is sent to."""
    weighted_services: tuple[WeightedService, ...]
    has_affinity: bool
    """Whether servers that handled the same object lately respond faster."""
    regions: frozenset[str] = frozenset()
    """Regions that may run the requests; all if empty."""


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """Settings of all backend servers of a service."""

    name: str
    health_path: str
    connections: int
    """Connections that one server accepts from all instances together."""
    cold_s: float
    """How long a server is cold after its start."""
    cold_per_s: float
    """Requests per second that a cold server withstands."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of what a caller sends."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """An accepted configuration; ``version`` only increases."""

    version: int
    routes: tuple[RouteRule, ...]
    service_by_name: Mapping[str, ServiceRule]
    limits: CallerLimits


@dataclass(slots=True)
class RouteTable:
    """Routes of the configuration in force by host, longest path prefix first."""

    config: RoutingConfig | None = None
    shortest_target_s: float = float("inf")
    """Shortest latency target of the routes."""
    _routes_by_host: dict[str, list[RouteRule]] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version in force, 0 before the first configuration."""
        return self.config.version if self.config else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits in force, the defaults before the first configuration."""
        return self.config.limits if self.config else CallerLimits()

    def apply(self, config: RoutingConfig) -> bool:
        """Put a configuration in force unless it is not newer; returns whether it was applied."""
        if config.version <= self.version:
            return False
        self.config = config
        self._routes_by_host = _group_by_host(config.routes)
        self.shortest_target_s = min(
            (route.target_latency_s for route in config.routes), default=float("inf")
        )
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


class WeightedRoundRobin:
    """Smooth weighted round robin: services get their shares even over short runs of requests."""

    def __init__(self) -> None:
        self._credit_by_route: dict[str, dict[str, float]] = {}

    def choose(self, route: RouteRule) -> str:
        """Return the service that runs the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        known = self._credit_by_route.get(route.name, {})
        credit = {
            item.service: known.get(item.service, 0.0) + item.weight
            for item in route.weighted_services
        }
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= sum(item.weight for item in route.weighted_services)
        self._credit_by_route[route.name] = credit
        return chosen
