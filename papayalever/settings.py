"""Settings of one instance, read from YAML and validated before anything starts."""

from dataclasses import dataclass, field
from typing import Annotated

from pydantic import Field, TypeAdapter

from .config.loader import load_yaml
from .config.models import STRICT, Address, Name, PositiveInt, Seconds


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the resources that callers can occupy in an instance."""

    __pydantic_config__ = STRICT
    max_header_bytes: PositiveInt = 16 * 1024
    max_requests: PositiveInt = 2_000
    """Caller requests in progress at the same time."""
    idle_body_s: Seconds = 30.0
    """Longest time for which reading or writing a body may make no progress."""


@dataclass(frozen=True, slots=True)
class Settings:
    """Identity, location and addresses (IPv4 address and port) of one instance."""

    __pydantic_config__ = STRICT
    id: Name
    region: Name
    failure_domain: Name
    caller_listener: Address
    operator_listener: Address
    peer_listener: Address
    store_url: Annotated[str, Field(pattern=r"^http://(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
    seeds: tuple[Address, ...] = ()
    """Peer listeners of the instances to contact first."""
    limits: Limits = field(default_factory=Limits)


SETTINGS_ADAPTER = TypeAdapter(Settings)


def load_settings(text: str) -> Settings:
    """Parse the settings of an instance; raises `InvalidConfigError` with every fault."""
    return load_yaml(text, SETTINGS_ADAPTER)
