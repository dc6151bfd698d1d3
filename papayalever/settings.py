"""Settings of one daemon, read from YAML and checked before anything starts."""

from dataclasses import dataclass, field
from typing import Annotated

from pydantic import Field, TypeAdapter

from .config.loader import load_yaml
from .config.models import STRICT, Address, Name, PositiveInt, Seconds


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what callers can make an instance hold."""

    __pydantic_config__ = STRICT
    max_header_bytes: PositiveInt = 16 * 1024
    max_requests: PositiveInt = 2_000
    """Requests of callers in progress at once."""
    idle_body_s: Seconds = 30.0
    """How long a sender or reader may make no progress."""


@dataclass(frozen=True, slots=True)
class Settings:
    """One instance: identity, place and addresses (IPv4 address and port)."""

    __pydantic_config__ = STRICT
    id: Name
    region: Name
    failure_domain: Name
    caller_listener: Address
    operator_listener: Address
    peer_listener: Address
    store_url: Annotated[str, Field(pattern=r"^http://(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
    seeds: tuple[Address, ...] = ()
    """Peer listeners of other instances to ask first."""
    limits: Limits = field(default_factory=Limits)


SETTINGS = TypeAdapter(Settings)


def load_settings(text: str) -> Settings:
    """Parse the settings of a daemon; raises `InvalidConfigError` with every fault."""
    return load_yaml(text, SETTINGS)
