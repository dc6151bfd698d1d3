"""Idempotency keys: an optional home region and an identifier, best a UUIDv7 (RFC 9562)."""

import re
import uuid
from collections.abc import Sequence
from dataclasses import dataclass

from ..hashing import hash_text

KEY_PATTERN = re.compile(r"^(?:([a-z0-9][a-z0-9-]{0,62})\.)?([A-Za-z0-9_:-]{8,128})$")
UUID_PATTERN = re.compile(r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$")
NO_TIMESTAMP = -1
"""Value of ``minted_ms`` for an identifier that contains no creation time."""


class InvalidKeyError(ValueError):
    """The text is not an idempotency key."""


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A parsed key: ``minted_ms`` is the creation time in its UUIDv7 or `NO_TIMESTAMP`."""

    text: str
    home: str | None
    minted_ms: int


@dataclass(frozen=True, slots=True)
class KeyLocation:
    """Region, slot and name of the record of a key."""

    region: str
    slot: int
    record_key: str


def parse_key(text: str, regions: Sequence[str]) -> IdempotencyKey:
    """Parse a header value; raises `InvalidKeyError` with a text on how to correct it."""
    match = KEY_PATTERN.match(text)
    if match is None:
        raise InvalidKeyError(
            "Idempotency-Key must be 8 to 128 letters, digits, '-', '_' or ':', "
            "optionally after a region and a dot; a UUIDv7 is recommended."
        )
    home, identifier = match.groups()
    if home is not None and home not in regions:
        raise InvalidKeyError(f"Idempotency-Key names the region {home!r}, which does not exist.")
    return IdempotencyKey(text, home, _read_minted_ms(identifier))


def locate_key(
    key: IdempotencyKey, service: str, regions: Sequence[str], slots: int
) -> KeyLocation:
    """Find the record of a service's key; all instances and retries get the same location."""
    record_key = f"{service}/{key.text}"
    key_hash = hash_text(record_key)
    region = key.home or sorted(regions)[key_hash % len(regions)]
    return KeyLocation(region, (key_hash >> 16) % slots, record_key)


def _read_minted_ms(identifier: str) -> int:
    lowered = identifier.lower()
    if not UUID_PATTERN.match(lowered):
        return NO_TIMESTAMP
    return uuid.UUID(lowered).int >> 80
