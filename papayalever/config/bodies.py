"""Bodies of configurations: what instances hold, fetch and send each other.

A body has three parts: the operators' text, the checked settings and the checked caller blocks. It
travels whole or as a delta against a body that the receiver holds.
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
"""Average; a chunk ends after a record by the record's hash, so that it keeps its ends when
others change."""


class MissingBaseError(ConfigError):
    """The body that a delta builds on is not held."""


@dataclass(frozen=True, slots=True)
class InForce:
    """A configuration that an instance obeys."""

    version: int
    digest: str
    packed_text: bytes
    blocks_digest: str
    configuration: Configuration

    @property
    def text(self) -> str:
        """The operators' file as it was applied."""
        return zlib.decompress(self.packed_text).decode()


def pack(text: str, configuration: Configuration) -> bytes:
    """Body of a checked configuration."""
    settings = CONFIGURATION.dump_python(replace(configuration, caller_blocks=()), mode="json")
    blocks = BLOCKS.dump_json(configuration.caller_blocks)
    return _join([text.encode(), json.dumps(settings, sort_keys=True).encode(), blocks])


def digest_body(data: bytes) -> str:
    """Digest that names a body, whatever way it was compressed."""
    digest = hashlib.sha256()
    for part in _split(data):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def unpack(digest: str, data: bytes, known: InForce | None) -> InForce:
    """The configuration in a body, without a version; raises `InvalidConfigError`.

    Caller blocks that ``known`` has too are taken over from it, since they are most of the work.
    """
    try:
        text, settings, blocks = _split(data)
        if digest_body(data) != digest:
            raise ValueError("the body does not match its digest")
        blocks_digest = hashlib.sha256(blocks).hexdigest()
        if known and known.blocks_digest == blocks_digest:
            caller_blocks = known.configuration.caller_blocks
        else:
            caller_blocks = BLOCKS.validate_json(blocks)
        configuration = replace(CONFIGURATION.validate_json(settings), caller_blocks=caller_blocks)
    except (cbor2.CBORDecodeError, ValueError, TypeError, zlib.error) as error:
        raise InvalidConfigError([Fault(1, "file", str(error))]) from error
    return InForce(0, digest, zlib.compress(text), blocks_digest, configuration)


def make_delta(base: bytes, data: bytes) -> bytes:
    """What turns the body ``base`` into ``data``."""
    deltas = []
    for old, new in zip(_split(base), _split(data), strict=True):
        index_by_chunk = {chunk: index for index, chunk in enumerate(_chunks(old))}
        deltas.append([index_by_chunk.get(chunk, chunk) for chunk in _chunks(new)])
    return zlib.compress(cbor2.dumps(deltas))


def apply_delta(base: bytes, delta: bytes) -> bytes:
    """Undo `make_delta`; raises `InvalidConfigError` if ``base`` is another body."""
    try:
        parts = []
        for old, steps in zip(_split(base), cbor2.loads(zlib.decompress(delta)), strict=True):
            chunks = _chunks(old)
            parts.append(b"".join(chunks[s] if isinstance(s, int) else s for s in steps))
        return _join(parts)
    except (cbor2.CBORDecodeError, ValueError, IndexError, TypeError, zlib.error) as error:
        raise InvalidConfigError([Fault(1, "file", "the delta does not fit")]) from error


def _join(parts: list[bytes]) -> bytes:
    return cbor2.dumps([zlib.compress(part) for part in parts])


def _split(data: bytes) -> list[bytes]:
    return [zlib.decompress(part) for part in cbor2.loads(data)]


def _chunks(part: bytes) -> list[bytes]:
    """Cut a part after records whose hash says so."""
    chunks, start = [], 0
    for match in RECORD.finditer(part):
        if xxhash.xxh3_64_intdigest(match.group()) % RECORDS_PER_CHUNK == 0:
            chunks.append(part[start : match.end()])
            start = match.end()
    if start < len(part):
        chunks.append(part[start:])
    return chunks
