"""Validation rules across several fields of a configuration, and data derived from it."""

from collections import Counter
from collections.abc import Iterator

from .models import Configuration, StopKind

Path = tuple[int | str, ...]


def find_inconsistencies(configuration: Configuration) -> list[tuple[Path, str]]:
    """Return (path, problem) for each broken rule, such as unknown references and duplicates."""
    return [
        *_check_regions(configuration),
        *_check_links(configuration),
        *_check_services(configuration),
        *_check_blocks(configuration),
        *_check_stops(configuration),
        *_check_shift_cap(configuration),
    ]


def domains_by_region(configuration: Configuration) -> dict[str, tuple[str, ...]]:
    """Return the failure domains by region."""
    return {name: region.failure_domains for name, region in configuration.regions.items()}


def region_by_domain(configuration: Configuration) -> dict[str, str]:
    """Return the region by failure domain."""
    return {
        domain: name
        for name, region in configuration.regions.items()
        for domain in region.failure_domains
    }


def slots_by_region(configuration: Configuration, service: str) -> dict[str, float]:
    """Return the total slots of a service's backend servers by region."""
    regions = region_by_domain(configuration)
    slots = dict.fromkeys(configuration.regions, 0.0)
    for backend in configuration.services[service].backends:
        slots[regions[backend.failure_domain]] += backend.slots
    return slots


def planned_stops(configuration: Configuration, kind: StopKind) -> dict[str, float]:
    """Return the time of each planned stop of one kind, in seconds since the Unix epoch, by id."""
    return {
        stop.id: stop.at.timestamp() for stop in configuration.planned_stops if stop.kind == kind
    }


def _check_regions(configuration: Configuration) -> Iterator[tuple[Path, str]]:
    counts = Counter(
        domain for region in configuration.regions.values() for domain in region.failure_domains
    )
    for domain, count in counts.items():
        if count > 1:
            yield ("regions",), f"failure domain {domain!r} is listed {count} times"
    orders = Counter(rank.order for rank in configuration.ranks.values())
    for order, count in orders.items():
        if count > 1:
            yield ("ranks",), f"order {order} is given to {count} ranks"
    if sum(rank.floor for rank in configuration.ranks.values()) > 1:
        yield ("ranks",), "the floors add up to more than 1"


def _check_links(configuration: Configuration) -> Iterator[tuple[Path, str]]:
    for index, link in enumerate(configuration.links):
        for region in link.between:
            if region not in configuration.regions:
                yield ("links", index, "between"), f"there is no region {region!r}"


def _check_services(configuration: Configuration) -> Iterator[tuple[Path, str]]:
    domains = region_by_domain(configuration)
    hosts: set[str] = set()
    backends: set[str] = set()
    for name, service in configuration.services.items():
        for host in service.hosts:
            if host in hosts:
                yield ("services", name, "hosts"), f"host {host!r} is taken by another service"
            hosts.add(host)
        for index, route in enumerate(service.routes):
            if route.rank not in configuration.ranks:
                yield ("services", name, "routes", index, "rank"), f"no rank {route.rank!r}"
        for index, backend in enumerate(service.backends):
            path = ("services", name, "backends", index)
            if backend.id in backends:
                yield (*path, "id"), f"backend server {backend.id!r} is listed twice"
            backends.add(backend.id)
            if backend.failure_domain not in domains:
                yield (*path, "failure_domain"), f"no failure domain {backend.failure_domain!r}"


def _check_blocks(configuration: Configuration) -> Iterator[tuple[Path, str]]:
    homes = set(configuration.regions)
    seen = set()
    for index, block in enumerate(configuration.caller_blocks):
        if block.home not in homes:
            yield ("caller_blocks", index, "home"), f"there is no region {block.home!r}"
        if block.cidr in seen:
            yield ("caller_blocks", index, "cidr"), f"{block.cidr} is listed twice"
        seen.add(block.cidr)


def _check_stops(configuration: Configuration) -> Iterator[tuple[Path, str]]:
    backends = {
        backend.id for service in configuration.services.values() for backend in service.backends
    }
    for index, stop in enumerate(configuration.planned_stops):
        path = ("planned_stops", index)
        if stop.at.tzinfo is None:
            yield (*path, "at"), "the time needs a zone, for example a final Z"
        if stop.kind == StopKind.REGION and stop.id not in configuration.regions:
            yield (*path, "id"), f"there is no region {stop.id!r}"
        if stop.kind == StopKind.BACKEND and stop.id not in backends:
            yield (*path, "id"), f"there is no backend server {stop.id!r}"


def _check_shift_cap(configuration: Configuration) -> Iterator[tuple[Path, str]]:
    if configuration.shift_cap.step_s < configuration.lookup.ttl_s:
        yield (
            ("shift_cap", "step_s"),
            "a step is shorter than lookup.ttl_s: callers' cached answers would add up steps",
        )
