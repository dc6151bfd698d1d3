"""Versions of the configuration: which one is in force on this instance."""

import hashlib
import zlib
from collections import OrderedDict
from dataclasses import dataclass, replace

from pydantic import TypeAdapter
from reactivex.subject import BehaviorSubject

from .loader import load_configuration
from .models import Configuration

HEAD_NAME = "config"
HELD_BODIES = 8
REMEMBERED_APPLIES = 32


@dataclass(frozen=True, slots=True)
class Applied:
    """One accepted apply."""

    version: int
    apply_id: str
    applied_by: str
    applied_ms: int


@dataclass(frozen=True, slots=True)
class Head:
    """The small object whose conditional update puts a configuration in force."""

    version: int
    digest: str
    chunks: tuple[str, ...]
    """Store keys of the parts of the compressed text, in order."""
    history: tuple[Applied, ...]
    """The latest applies, newest first; the first one is this version's."""

    def find_apply(self, apply_id: str) -> Applied | None:
        """The accepted apply with this id."""
        return next((item for item in self.history if item.apply_id == apply_id), None)


HEAD = TypeAdapter(Head)


@dataclass(frozen=True, slots=True)
class InForce:
    """A configuration that an instance obeys."""

    version: int
    digest: str
    text: str
    configuration: Configuration


def digest_text(text: str) -> str:
    """Digest that names a configuration's text."""
    return hashlib.sha256(text.encode()).hexdigest()


def pack_text(text: str) -> bytes:
    """Compress a text for messages and the store."""
    return zlib.compress(text.encode(), level=6)


def unpack_text(data: bytes) -> str:
    """Undo `pack_text`."""
    return zlib.decompress(data).decode()


def next_head(head: Head | None, digest: str, chunks: tuple[str, ...], applied: Applied) -> Head:
    """The head that follows ``head``."""
    history = (applied, *(head.history if head else ()))
    return Head(applied.version, digest, chunks, history[:REMEMBERED_APPLIES])


class ConfigState:
    """Held texts and the version in force, which only grows."""

    def __init__(self) -> None:
        self.head: Head | None = None
        self.in_force: BehaviorSubject[InForce | None] = BehaviorSubject(None)
        self._data_by_digest: OrderedDict[str, bytes] = OrderedDict()
        self._prepared: InForce | None = None

    @property
    def current(self) -> InForce | None:
        """What is in force now."""
        return self.in_force.value

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.current.version if self.current else 0

    @property
    def missing_digest(self) -> str | None:
        """Digest of the text that the newest head needs and this instance does not hold."""
        if self.head is None or self.version >= self.head.version:
            return None
        return self.head.digest

    def get_data(self, digest: str) -> bytes:
        """Compressed text by digest, empty if it is not held."""
        return self._data_by_digest.get(digest, b"")

    def prepare(self, digest: str, data: bytes) -> None:
        """Keep a text that is about to be applied; raises `InvalidConfigError`."""
        if self._prepared is None or self._prepared.digest != digest:
            text = unpack_text(data)
            self._prepared = InForce(0, digest, text, load_configuration(text))
        self.hold(digest, data)

    def hold(self, digest: str, data: bytes) -> None:
        """Keep a text, and put it in force if the newest head names it."""
        self._data_by_digest[digest] = data
        self._data_by_digest.move_to_end(digest)
        while len(self._data_by_digest) > HELD_BODIES:
            self._data_by_digest.popitem(last=False)
        self._advance()

    def offer_head(self, head: Head) -> None:
        """Take over a newer head; an older one is ignored."""
        if self.head is not None and head.version <= self.head.version:
            return
        self.head = head
        self._advance()

    def _advance(self) -> None:
        head = self.head
        if head is None or head.version <= self.version:
            return
        data = self.get_data(head.digest)
        if not data:
            return
        parsed = next(
            (
                item
                for item in (self._prepared, self.current)
                if item and item.digest == head.digest
            ),
            None,
        )
        if parsed is None:
            text = unpack_text(data)
            parsed = InForce(0, head.digest, text, load_configuration(text))
        self.in_force.on_next(replace(parsed, version=head.version))
