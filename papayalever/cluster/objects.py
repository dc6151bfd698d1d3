"""Shared objects: the newest version of each, never an older one."""

from reactivex.subject import Subject

from .messages import ObjectUpdate


class ObjectCache:
    """Newest known version of each shared object, with a stream of the changes."""

    def __init__(self) -> None:
        self._update_by_name: dict[str, ObjectUpdate] = {}
        self.changes: Subject[ObjectUpdate] = Subject()

    def get(self, name: str) -> ObjectUpdate | None:
        """The newest known version of an object."""
        return self._update_by_name.get(name)

    def version(self, name: str) -> int:
        """Version of an object, 0 when there is none."""
        update = self._update_by_name.get(name)
        return update.version if update else 0

    def versions(self) -> dict[str, int]:
        """Version of each object by name."""
        return {name: update.version for name, update in self._update_by_name.items()}

    def offer(self, update: ObjectUpdate) -> bool:
        """Take over an update if it is newer; returns whether it was."""
        if update.version <= self.version(update.name):
            return False
        self._update_by_name[update.name] = update
        self.changes.on_next(update)
        return True

    def newer_than(self, versions: dict[str, int]) -> list[ObjectUpdate]:
        """Objects of which this cache holds a newer version than ``versions`` names."""
        return [
            update
            for name, update in self._update_by_name.items()
            if update.version > versions.get(name, 0)
        ]
