"""Match a request to its service and route."""

from dataclasses import dataclass

from ..config.models import Configuration, Rank, Route, Service


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """How a request is treated."""

    service_name: str
    service: Service
    rank_name: str
    rank: Rank
    is_idempotent: bool
    deadline_s: float


class HostTable:
    """Services of a configuration by host name."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._service_by_host = {
            host: name for name, service in configuration.services.items() for host in service.hosts
        }

    def find(self, host: str, method: str, path: str) -> RequestPolicy | None:
        """Return the policy of a request, or None if no service or route matches."""
        name = self._service_by_host.get(host.rsplit(":", 1)[0].lower())
        if name is None:
            return None
        service = self._configuration.services[name]
        route = find_route(service, method, path)
        if route is None:
            return None
        rank = self._configuration.ranks[route.rank]
        deadline_s = route.deadline_s or rank.deadline_s
        return RequestPolicy(name, service, route.rank, rank, route.idempotent, deadline_s)


def find_route(service: Service, method: str, path: str) -> Route | None:
    """Return the first route whose methods and path prefix match."""
    for route in service.routes:
        is_method_allowed = not route.methods or method in route.methods
        if is_method_allowed and path.startswith(route.path):
            return route
    return None
