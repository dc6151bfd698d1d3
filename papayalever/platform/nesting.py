"""Removes deeply nested values from JSON documents, which no decoder reads without a deep stack."""

import re

TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
"""Strings, so that brackets inside them do not count, and brackets."""
OPENING = (b"[", b"{")
REMOVED = b'"\\u0000nested too deeply"'
"""Stands for a removed value; a writer's own text has no reason to equal it."""


def remove_nested(document: bytes, max_depth: int) -> bytes:
    """Replace each value nested deeper than ``max_depth`` by `REMOVED`."""
    kept: list[bytes] = []
    depth = copied_to = 0
    for match in TOKEN.finditer(document):
        token = match[0]
        if token in OPENING:
            depth += 1
            if depth == max_depth + 1:
                kept.append(document[copied_to : match.start()] + REMOVED)
        elif not token.startswith(b'"'):
            if depth == max_depth + 1:
                copied_to = match.end()
            depth -= 1
    if depth <= max_depth:
        kept.append(document[copied_to:])
    return b"".join(kept)
