"""Versions of the configuration: which one is in force on this instance."""

from collections import OrderedDict
from dataclasses import dataclass, replace

from pydantic import TypeAdapter
from reactivex.subject import BehaviorSubject

from .bodies import InForce, MissingBaseError, apply_delta, unpack

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
    """Store keys of the parts of the body, in order."""
    history: tuple[Applied, ...]
    """The latest applies, newest first; the first one is this version's."""

    def find_apply(self, apply_id: str) -> Applied | None:
        """The accepted apply with this id."""
        return next((item for item in self.history if item.apply_id == apply_id), None)


HEAD = TypeAdapter(Head)


def next_head(head: Head | None, digest: str, chunks: tuple[str, ...], applied: Applied) -> Head:
    """The head that follows ``head``."""
    history = (applied, *(head.history if head else ()))
    return Head(applied.version, digest, chunks, history[:REMEMBERED_APPLIES])


class ConfigState:
    """Held bodies and the version in force, which only grows."""

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
        """Digest of the body that the newest head needs and this instance does not hold."""
        if self.head is None or self.version >= self.head.version:
            return None
        return self.head.digest

    def get_data(self, digest: str) -> bytes:
        """Body by digest, empty if it is not held."""
        return self._data_by_digest.get(digest, b"")

    def prepare(self, digest: str, base_digest: str, data: bytes) -> None:
        """Keep a body that is about to be applied, whole or as a delta.

        Raises `InvalidConfigError` or `MissingBaseError`.
        """
        if base_digest:
            base = self.get_data(base_digest)
            if not base:
                raise MissingBaseError("the configuration before this one is not held")
            data = self.get_data(digest) or apply_delta(base, data)
        if self._prepared is None or self._prepared.digest != digest:
            self._prepared = unpack(digest, data, self.current)
        self.hold(digest, data)

    def hold(self, digest: str, data: bytes) -> None:
        """Keep a body, and put it in force if the newest head names it."""
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
            parsed = unpack(head.digest, data, self.current)
        self.in_force.on_next(replace(parsed, version=head.version))
