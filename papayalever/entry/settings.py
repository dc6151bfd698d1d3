"""Settings of an entry instance and the guarantees that operators give to callers."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on timing, retries and traffic shifts, set by the operators for the deployment."""

    contact_s: float = 4.0
    """Without contact with the store or a relay for this long, an instance's view is stale."""
    drain_s: float = 2.5
    """Time after a backend server announces its shutdown in which requests to it must cease."""
    config_s: float = 2.5
    """Time within which an accepted configuration is in force on all instances."""
    evacuation_s: float = 2.5
    """Time within which requests to an evacuated failure domain must cease."""
    stop_s: float = 6.0
    """Time from SIGTERM to SIGKILL."""
    reuse_after_s: float = 2.0
    repeat_share: float = 0.2
    """Retries of all instances together, as a share of the requests in a window."""
    repeat_window_s: float = 10.0
    """Length of the sliding window in which retries are limited."""
    repeat_extra: float = 100.0
    """Retries of all instances together in a window, in addition to the share."""
    cold_factor: float = 1.5
    cold_extra: float = 5.0
    max_answer_life_s: float = 5.0
    max_shift: float = 0.15


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Identity, location, resources and addresses (IPv4 address and port) of one instance."""

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
    """Peer addresses of other instances to bootstrap from; some may no longer exist."""
    history_s: float = 20.0
    """How long the store keeps its change history."""
    heartbeat_s: float = 1.5
    """Interval at which backend servers renew their entries in the store."""
    store_writes_per_s: float = 400.0
    """Writes that the store takes from all instances together."""
    memory_mb: float = 222.0
    max_fds: int = 2870
    """Descriptors of the process, some of which are kept for files."""
    link_mbit_s: float = 100.0
    cpu_share: float = 1.0
    bounds: Bounds = field(default_factory=Bounds)
