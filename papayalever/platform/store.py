"""Client of the platform's object store: kinds, revisions, pages and watches."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec

from ..entry.connection import ClientConnection, SendError, connect
from ..entry.messages import ServerResponse
from ..entry.watcher import HistoryExpiredError, ReadResult, StoreAccessError

CONNECT_TIMEOUT_S = 0.4
"""Five round trips between regions; short, so that a retry soon notices a healed partition."""
CALL_TIMEOUT_S = 1.0
"""The store responds in 4 ms; even when 60 times slower, it responds in time."""
WATCH_TIMEOUT_MARGIN_S = 0.6
"""Added to the requested wait, for a slow store; after it the connection counts as dead."""


class Metadata(msgspec.Struct):
    """What the store itself records about an object."""

    name: str
    revision: int = 0
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """One object; ``spec`` stays encoded for the code that knows its kind."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ListResponse(msgspec.Struct):
    """A page of objects."""

    items: list[StoredObject]
    as_of: int
    has_more: bool = False


class WatchEvent(msgspec.Struct):
    """A changed or deleted object."""

    object: StoredObject
    deleted: bool = False


class WatchResponse(msgspec.Struct):
    """Changes after a revision."""

    events: list[WatchEvent]
    as_of: int


class StoreError(StoreAccessError):
    """A failed call; ``status`` is 0 if there was no response."""

    def __init__(self, text: str, status: int = 0) -> None:
        super().__init__(text)
        self.status = status


class ConflictError(StoreError):
    """The object already exists or has changed."""


@dataclass(eq=False, slots=True)
class StoreClient:
    """Client of the store; each call opens its own connection."""

    address: str
    calls_by_kind: Counter

    async def list_all(self, kind: str) -> ReadResult:
        """List all objects of a kind and the revision they were read at."""
        changes: list[tuple[str, bytes | None]] = []
        after, as_of = "", 0
        while True:
            query = f"?after={quote(after)}" if after else ""
            body = await self._call("GET", f"/objects/{kind}{query}", None, CALL_TIMEOUT_S)
            page = _decode(body, ListResponse)
            changes += [_to_change(item, False) for item in page.items]
            as_of = as_of or page.as_of
            if not page.has_more or not page.items:
                return ReadResult(changes, as_of)
            after = page.items[-1].metadata.name

    async def watch(self, kind: str, revision: int, wait_s: float) -> ReadResult:
        """Wait for changes after a revision; `HistoryExpiredError` if the store forgot it."""
        path = f"/objects/{kind}?watch={revision}&wait_ms={int(wait_s * 1000)}"
        body = await self._call("GET", path, None, wait_s + WATCH_TIMEOUT_MARGIN_S)
        response = _decode(body, WatchResponse)
        return ReadResult(
            [_to_change(item.object, item.deleted) for item in response.events], response.as_of
        )

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Create an object or replace it whatever its revision; safe to repeat."""
        document = {"metadata": {"name": name}, "spec": value}
        try:
            await self._call("POST", f"/objects/{kind}", document, CALL_TIMEOUT_S)
        except ConflictError:
            await self._call("PUT", f"/objects/{kind}/{quote(name)}", document, CALL_TIMEOUT_S)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        await self._call("DELETE", f"/objects/{kind}/{quote(name)}", None, CALL_TIMEOUT_S)

    async def _call(self, method: str, path: str, document: Any, timeout_s: float) -> bytes:
        self.calls_by_kind[f"{method} {path.split('/')[2].split('?')[0]}"] += 1
        body = msgspec.json.encode(document) if document is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        connection: ClientConnection | None = None
        try:
            connection = await connect(self.address, CONNECT_TIMEOUT_S)
            async with asyncio.timeout(timeout_s):
                response = await connection.send(f"{head}\r\n".encode() + body)
        except SendError as error:
            raise StoreError(f"store {self.address}: {method} {path}: {error}") from error
        except TimeoutError as error:
            raise StoreError(f"store {self.address}: {method} {path}: no response") from error
        finally:
            if connection:
                connection.close()
        return _check_status(response, f"{method} {path}")


def _check_status(response: ServerResponse, call: str) -> bytes:
    if response.status == 410:
        raise HistoryExpiredError(call)
    if response.status == 409:
        raise ConflictError(f"{call}: the object exists or changed", response.status)
    if response.status >= 300:
        raise StoreError(f"{call}: status {response.status}", response.status)
    return response.body


def _decode(body: bytes, response_type: type) -> Any:
    try:
        return msgspec.json.decode(body, type=response_type)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise StoreError(f"the store's response cannot be decoded: {error}") from error


def _to_change(item: StoredObject, is_deleted: bool) -> tuple[str, bytes | None]:
    is_deleted = is_deleted or item.metadata.deleting
    return (item.metadata.name, None if is_deleted else bytes(item.spec))
