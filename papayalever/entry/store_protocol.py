"""Interface of the object store that an instance requires."""

from collections.abc import Callable
from typing import Any, Protocol

from .watcher import StoreReader


class InstanceStore(StoreReader, Protocol):
    """Reads of the store and the few writes that an instance makes."""

    address: str
    on_unreadable: Callable[[str, int], None]
    """Called with a kind and the number of its objects that could not be decoded."""

    async def put(self, kind: str, name: str, value: Any) -> int:
        """Create or replace an object; returns the position of the write."""

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, which may be gone already."""
