"""Hash function with the same result on every instance."""

import xxhash

HASH_RANGE = 1 << 64


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a text, in ``range(HASH_RANGE)``."""
    return xxhash.xxh3_64_intdigest(text.encode())
