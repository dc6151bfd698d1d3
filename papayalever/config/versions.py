"""Versions of the configuration, and the one in force on this instance."""

from collections import OrderedDict
from dataclasses import dataclass, replace

from pydantic import TypeAdapter
from reactivex.subject import BehaviorSubject

from .bundles import LoadedConfiguration, MissingBaseError, apply_delta, unpack

HEAD_NAME = "config"
MAX_BUNDLES = 8
MAX_HISTORY = 32


@dataclass(frozen=True, slots=True)
class Applied:
    """Record of an accepted configuration."""

    version: int
    apply_id: str
    applied_by: str
    applied_ms: int


@dataclass(frozen=True, slots=True)
class Head:
    """Stored object that names the newest configuration; its conditional update accepts one."""

    version: int
    digest: str
    chunks: tuple[str, ...]
    """Store keys of the parts of the bundle, in order."""
    history: tuple[Applied, ...]
    """Latest accepted configurations, newest first, starting with this one."""

    def find_apply(self, apply_id: str) -> Applied | None:
        """Return the accepted configuration with this apply id."""
        return next((item for item in self.history if item.apply_id == apply_id), None)


HEAD = TypeAdapter(Head)


def next_head(head: Head | None, digest: str, chunks: tuple[str, ...], applied: Applied) -> Head:
    """Return the successor of ``head``."""
    history = (applied, *(head.history if head else ()))
    return Head(applied.version, digest, chunks, history[:MAX_HISTORY])


class ConfigState:
    """Recent bundles and the version in force, which only increases."""

    def __init__(self) -> None:
        self.head: Head | None = None
        self.in_force: BehaviorSubject[LoadedConfiguration | None] = BehaviorSubject(None)
        self._bundle_by_digest: OrderedDict[str, bytes] = OrderedDict()
        self._prepared: LoadedConfiguration | None = None

    @property
    def current(self) -> LoadedConfiguration | None:
        """The configuration in force."""
        return self.in_force.value

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return self.current.version if self.current else 0

    @property
    def missing_digest(self) -> str | None:
        """Digest of the newest head's bundle if it is not stored here, otherwise None."""
        if self.head is None or self.version >= self.head.version:
            return None
        return self.head.digest

    def get_bundle(self, digest: str) -> bytes:
        """Return the bundle with a digest, or empty bytes if it is not stored here."""
        return self._bundle_by_digest.get(digest, b"")

    def prepare(self, digest: str, base_digest: str, data: bytes) -> None:
        """Store a bundle that is about to be applied, given in full or as a delta.

        Raises `InvalidConfigError` or `MissingBaseError`.
        """
        if base_digest:
            base = self.get_bundle(base_digest)
            if not base:
                raise MissingBaseError("the base configuration of the delta is not stored here")
            data = self.get_bundle(digest) or apply_delta(base, data)
        if self._prepared is None or self._prepared.digest != digest:
            self._prepared = unpack(digest, data, self.current)
        self.add_bundle(digest, data)

    def add_bundle(self, digest: str, data: bytes) -> None:
        """Store a bundle, and put it in force if the newest head names it."""
        self._bundle_by_digest[digest] = data
        self._bundle_by_digest.move_to_end(digest)
        while len(self._bundle_by_digest) > MAX_BUNDLES:
            self._bundle_by_digest.popitem(last=False)
        self._apply_head()

    def update_head(self, head: Head) -> None:
        """Set the head if it is newer than the known one."""
        if self.head is not None and head.version <= self.head.version:
            return
        self.head = head
        self._apply_head()

    def _apply_head(self) -> None:
        head = self.head
        if head is None or head.version <= self.version:
            return
        data = self.get_bundle(head.digest)
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
