"""Cache of the shared objects, which keeps only the newest version of each."""

from reactivex.subject import Subject

from .messages import ObjectUpdate


class ObjectCache:
    """Newest known version of each shared object, and an observable of their changes."""

    def __init__(self) -> None:
        self._update_by_name: dict[str, ObjectUpdate] = {}
        self.changes: Subject[ObjectUpdate] = Subject()

    def get(self, name: str) -> ObjectUpdate | None:
        """Return the newest known version of an object."""
        return self._update_by_name.get(name)

    def version(self, name: str) -> int:
        """Return the version of an object, or 0 if it is unknown."""
        update = self._update_by_name.get(name)
        return update.version if update else 0

    def versions(self) -> dict[str, int]:
        """Return the version of each object by name."""
        return {name: update.version for name, update in self._update_by_name.items()}

    def merge(self, update: ObjectUpdate) -> bool:
        """Store an update if it is newer than the known version; return whether it is."""
        if update.version <= self.version(update.name):
            return False
        self._update_by_name[update.name] = update
        self.changes.on_next(update)
        return True

    def newer_than(self, versions: dict[str, int]) -> list[ObjectUpdate]:
        """Return the objects that are newer here than in ``versions``."""
        return [
            update
            for name, update in self._update_by_name.items()
            if update.version > versions.get(name, 0)
        ]
