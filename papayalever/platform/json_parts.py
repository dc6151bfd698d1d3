"""Splits JSON documents into their parts without decoding them.

Only quotes, brackets and commas count, so that a malformed value costs the part it is in and no
other one.
"""

import re
from collections.abc import Iterator

import msgspec

_STRING = rb'"(?:[^"\\]+|\\.)*+"'
_KEY = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)
_SEPARATOR = re.compile(rb'(?:[^"\[\]{},]+|' + _STRING + rb")*+([\[\]{},])", re.DOTALL)
_BRACKETS = re.compile(rb'(?:[^"\[\]{}]+|' + _STRING + rb")*+([\[{]+|[\]}]+)", re.DOTALL)
"""Consecutive brackets match at once: deep nesting then costs little time."""
_OPENING = b"[{"


class SplitError(ValueError):
    """A document is no array or object, or its brackets or quotes do not match."""


def split_array(document: bytes) -> list[bytes]:
    """Split an array into its encoded items; raises `SplitError`."""
    return list(_split(document, b"["))


def split_object(document: bytes) -> dict[str, bytes]:
    """Split an object into its encoded values by key; raises `SplitError`.

    Members whose key cannot be decoded are left out; the last of several with one key counts.
    """
    value_by_key: dict[str, bytes] = {}
    for member in _split(document, b"{"):
        match = _KEY.match(member)
        if match is None:
            continue
        try:
            key = msgspec.json.decode(match[1], type=str)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        value_by_key[key] = member[match.end() :]
    return value_by_key


def is_nested_deeper(document: bytes, max_depth: int) -> bool:
    """Whether arrays and objects are nested in more than ``max_depth`` levels."""
    if document.count(b"[") + document.count(b"{") <= max_depth:
        return False
    return any(depth > max_depth for depth, _ in _walk_brackets(document, 0))


def _split(document: bytes, opening: bytes) -> Iterator[bytes]:
    """Parts of the outermost array or object, between its commas."""
    match = _SEPARATOR.match(document)
    if match is None or match[1] != opening or document[: match.start(1)].strip():
        raise SplitError("expected an array or object")
    start = position = match.end()
    while match := _SEPARATOR.match(document, position):
        position, separator = match.end(), match[1]
        if separator in (b"[", b"{"):
            position = _find_end(document, match.start(1))
        elif separator == b",":
            yield document[start : position - 1]
            start = position
        else:
            last = document[start : position - 1]
            if last.strip():
                yield last
            return
    raise SplitError("brackets or quotes do not match")


def _find_end(document: bytes, start: int) -> int:
    """Position behind the bracket that closes the one at ``start``."""
    for depth, end in _walk_brackets(document, start):
        if depth <= 0:
            # Further brackets of the run close the values around this one.
            return end + depth
    raise SplitError("brackets or quotes do not match")


def _walk_brackets(document: bytes, start: int) -> Iterator[tuple[int, int]]:
    """Depth and position after each run of opening or of closing brackets."""
    depth = 0
    while match := _BRACKETS.match(document, start):
        run, start = match[1], match.end()
        depth += len(run) if run[0] in _OPENING else -len(run)
        yield depth, start
