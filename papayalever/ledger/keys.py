"""Idempotency keys: an optional home region, then an identifier (RFC 9562 for UUIDv7)."""

import re
import uuid
from collections.abc import Sequence
from dataclasses import dataclass

from ..hashing import hash_text

KEY_PATTERN = re.compile(r"^(?:([a-z0-9][a-z0-9-]{0,62})\.)?([A-Za-z0-9_:-]{8,128})$")
UUID_PATTERN = re.compile(r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$")
NO_TIME = -1
"""Value of ``minted_ms`` for an identifier without a time."""


class BadKeyError(ValueError):
    """The text is not an idempotency key."""


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A parsed key: ``minted_ms`` is its UUIDv7 time or `NO_TIME`."""

    text: str
    home: str | None
    minted_ms: int


@dataclass(frozen=True, slots=True)
class Placement:
    """Which part of the ledger keeps a key."""

    region: str
    slot: int
    record_key: str


def parse_key(text: str, regions: Sequence[str]) -> IdempotencyKey:
    """Parse a header value; raises `BadKeyError` with the remedy."""
    match = KEY_PATTERN.match(text)
    if match is None:
        raise BadKeyError(
            "Idempotency-Key must be 8 to 128 letters, digits, '-', '_' or ':', "
            "optionally after a region and a dot; a UUIDv7 is recommended."
        )
    home, identifier = match.groups()
    if home is not None and home not in regions:
        raise BadKeyError(f"Idempotency-Key names the region {home!r}, which does not exist.")
    return IdempotencyKey(text, home, _minted_ms(identifier))


def place_key(key: IdempotencyKey, service: str, regions: Sequence[str], slots: int) -> Placement:
    """Where a key of a service is kept; the same for every instance and every resend."""
    record_key = f"{service}/{key.text}"
    hashed = hash_text(record_key)
    region = key.home or sorted(regions)[hashed % len(regions)]
    return Placement(region, (hashed >> 16) % slots, record_key)


def _minted_ms(identifier: str) -> int:
    lowered = identifier.lower()
    if not UUID_PATTERN.match(lowered):
        return NO_TIME
    return uuid.UUID(lowered).int >> 80
