"""Settings of an entry instance and the bounds that its operators promise to callers."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures that the deployment sets; all come from the operators' settings."""

    contact_s: float = 4.0
    """An instance that heard nothing for so long knows nothing current."""
    drain_s: float = 2.5
    """A server that reported its leaving gets no request later than this."""
    config_s: float = 2.5
    """An accepted configuration is in force everywhere after this time."""
    stop_s: float = 6.0
    """From SIGTERM to SIGKILL."""
    reuse_after_s: float = 2.0
    repeat_share: float = 0.2
    """Repeated sends of all instances together, as a share of the requests of a window."""
    repeat_window_s: float = 10.0
    repeat_extra: float = 100.0
    """Repeated sends of all instances together in a window, beside the share."""
    cold_factor: float = 1.5
    cold_extra: float = 5.0
    max_answer_life_s: float = 5.0
    max_shift: float = 0.15


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Identity, place, addresses (IPv4 address and port) and size of one instance."""

    instance: str
    ip: str
    failure_domain: str
    region: str
    region_by_domain: dict[str, str]
    caller_listener: str
    ready_listener: str
    directory_listener: str | None
    peer_listener: str
    store: str
    seeds: tuple[str, ...] = ()
    """Peer listeners of other instances; some may be gone."""
    history_s: float = 20.0
    """How long the store remembers changes."""
    memory_mb: float = 222.0
    link_mbit_s: float = 100.0
    cpu_share: float = 1.0
    bounds: Bounds = field(default_factory=Bounds)
