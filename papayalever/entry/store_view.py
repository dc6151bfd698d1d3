"""What an entry instance needs of the store."""

from typing import Any, Protocol

from .feed import Source


class InstanceStore(Source, Protocol):
    """Reading and the few writes of an instance."""

    address: str

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Create or replace an object."""

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
