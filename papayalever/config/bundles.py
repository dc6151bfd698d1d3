"""Configuration bundles, which instances store and send to each other.

A bundle consists of three compressed parts: the operators' text, the validated settings and the
validated caller blocks. It is sent in full or as a delta against a bundle that the receiver has.
"""

import hashlib
import json
import re
import zlib
from dataclasses import dataclass, replace

import cbor2
import xxhash
from pydantic import TypeAdapter

from .exceptions import ConfigError, Fault, InvalidConfigError
from .models import CONFIGURATION, CallerBlock, Configuration

BLOCKS = TypeAdapter(tuple[CallerBlock, ...])
BLOCKS_FIELD = "caller_blocks"
RECORD = re.compile(rb"[^\n}]*[\n}]|[^\n}]+\Z")
RECORDS_PER_CHUNK = 128
"""Average. Chunks are content-defined: a record's hash decides whether a chunk ends after it, so a
change does not move the other chunk boundaries."""


class MissingBaseError(ConfigError):
    """The base bundle of a delta is not available."""


@dataclass(frozen=True, slots=True)
class LoadedConfiguration:
    """A decoded configuration, with version 0 until it is put in force."""

    version: int
    digest: str
    packed_text: bytes
    blocks_digest: str
    configuration: Configuration

    @property
    def text(self) -> str:
        """The configuration file as the operator applied it."""
        return zlib.decompress(self.packed_text).decode()


def pack(text: str, configuration: Configuration) -> bytes:
    """Return the bundle of a validated configuration."""
    settings = CONFIGURATION.dump_python(replace(configuration, caller_blocks=()), mode="json")
    blocks = BLOCKS.dump_json(configuration.caller_blocks)
    return _join([text.encode(), json.dumps(settings, sort_keys=True).encode(), blocks])


def digest_bundle(data: bytes) -> str:
    """Return the digest that identifies a bundle, computed from its uncompressed parts."""
    digest = hashlib.sha256()
    for part in _split(data):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def unpack(digest: str, data: bytes, known: LoadedConfiguration | None) -> LoadedConfiguration:
    """Decode the configuration in a bundle, without a version; raises `InvalidConfigError`.

    Unchanged caller blocks are reused from ``known``, because decoding them is most of the work.
    """
    try:
        text, settings, blocks = _split(data)
        if digest_bundle(data) != digest:
            raise ValueError("the bundle does not match its digest")
        blocks_digest = hashlib.sha256(blocks).hexdigest()
        if known and known.blocks_digest == blocks_digest:
            caller_blocks = known.configuration.caller_blocks
        else:
            caller_blocks = BLOCKS.validate_json(blocks)
        configuration = replace(CONFIGURATION.validate_json(settings), caller_blocks=caller_blocks)
    except (cbor2.CBORDecodeError, ValueError, TypeError, zlib.error) as error:
        raise InvalidConfigError([Fault(1, "file", str(error))]) from error
    return LoadedConfiguration(0, digest, zlib.compress(text), blocks_digest, configuration)


def make_delta(base: bytes, data: bytes) -> bytes:
    """Return the delta that turns the bundle ``base`` into ``data``."""
    deltas = []
    for old, new in zip(_split(base), _split(data), strict=True):
        index_by_chunk = {chunk: index for index, chunk in enumerate(_chunks(old))}
        deltas.append([index_by_chunk.get(chunk, chunk) for chunk in _chunks(new)])
    return zlib.compress(cbor2.dumps(deltas))


def apply_delta(base: bytes, delta: bytes) -> bytes:
    """Apply a delta from `make_delta`; raises `InvalidConfigError` if ``base`` is the wrong one."""
    try:
        parts = []
        for old, steps in zip(_split(base), cbor2.loads(zlib.decompress(delta)), strict=True):
            chunks = _chunks(old)
            parts.append(b"".join(chunks[s] if isinstance(s, int) else s for s in steps))
        return _join(parts)
    except (cbor2.CBORDecodeError, ValueError, IndexError, TypeError, zlib.error) as error:
        raise InvalidConfigError([Fault(1, "file", "the delta does not match its base")]) from error


def _join(parts: list[bytes]) -> bytes:
    return cbor2.dumps([zlib.compress(part) for part in parts])


def _split(data: bytes) -> list[bytes]:
    return [zlib.decompress(part) for part in cbor2.loads(data)]


def _chunks(part: bytes) -> list[bytes]:
    """Split a part into content-defined chunks."""
    chunks, start = [], 0
    for match in RECORD.finditer(part):
        if xxhash.xxh3_64_intdigest(match.group()) % RECORDS_PER_CHUNK == 0:
            chunks.append(part[start : match.end()])
            start = match.end()
    if start < len(part):
        chunks.append(part[start:])
    return chunks
