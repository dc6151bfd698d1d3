"""Client of the platform's object store: kinds, eras, revisions, pages and watches."""

import asyncio
import re
from collections import Counter
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import quote

import logbook
import msgspec

from ..entry.connection import ClientConnection, SendError, connect
from ..entry.messages import ServerResponse
from ..entry.store_position import MAX_REVISION, era_of, make_position, revision_of
from ..entry.watcher import HistoryExpiredError, ReadResult, StoreAccessError
from .nesting import REMOVED, remove_nested

CONNECT_TIMEOUT_S = 0.4
"""Five round trips between regions; short, so that a retry soon notices a healed partition."""
CALL_TIMEOUT_S = 1.0
"""The store responds in 4 ms; even when 60 times slower, it responds in time."""
NOT_FOUND = 404
MAX_DEPTH = 100
"""Deepest nesting of a response. Those of the platform's own objects are nested less than ten
deep."""
UNREADABLE = b"null"
"""Value of an object that was nested deeper; the readers of all kinds reject it."""
ERA_HEADER = b"store-era"
"""Rises by one each time the store restores a copy; stores that never do so may omit it."""
ERA = re.compile(rb"\d{1,18}")
MAX_LOGGED_VALUE_BYTES = 60
WATCH_TIMEOUT_MARGIN_S = 0.6
"""Added to the requested wait, for a slow store; after it the connection counts as dead."""

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]

log = logbook.Logger("store")


class Metadata(msgspec.Struct):
    """What the store itself records about an object."""

    name: str
    revision: Revision = 0
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """One object; ``spec`` stays encoded for the code that knows its kind."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ListResponse(msgspec.Struct):
    """A page of objects, each decoded for itself."""

    items: list[msgspec.Raw]
    as_of: Revision
    has_more: bool = False


class WatchEvent(msgspec.Struct):
    """A changed or deleted object."""

    object: StoredObject
    deleted: bool = False


class WatchResponse(msgspec.Struct):
    """Changes after the watched revision, each decoded for itself."""

    events: list[msgspec.Raw]
    as_of: Revision


class StoreError(StoreAccessError):
    """A failed call; ``status`` is 0 if there was no response."""

    def __init__(self, text: str, status: int = 0) -> None:
        super().__init__(text)
        self.status = status


class ConflictError(StoreError):
    """The object already exists or has changed."""


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Body of a successful response, and the era of the store that sent it."""

    body: bytes
    era: int


@dataclass(eq=False, slots=True)
class StoreClient:
    """Client of the store; each call opens its own connection."""

    address: str
    calls_by_kind: Counter
    _has_logged_era: bool = False

    async def list_all(self, kind: str) -> ReadResult:
        """List all objects of a kind and the position they were read at."""
        changes: list[tuple[str, bytes | None]] = []
        after, first_position = "", None
        while True:
            query = f"?after={quote(after)}" if after else ""
            answer = await self._call("GET", f"/objects/{kind}{query}", None, CALL_TIMEOUT_S)
            page = _decode(answer.body, ListResponse)
            items = _decode_each(page.items, StoredObject, kind)
            changes += [_to_change(item, False) for item in items]
            position = make_position(answer.era, page.as_of)
            first_position = position if first_position is None else first_position
            if era_of(first_position) != answer.era:
                raise StoreError(f"GET {kind}: the store restored a copy between two pages")
            if not page.has_more or not items:
                return ReadResult(changes, first_position)
            after = items[-1].metadata.name

    async def watch(self, kind: str, position: int, wait_s: float) -> ReadResult:
        """Wait for changes after a position.

        Raises `HistoryExpiredError` if the store forgot it or counts a later era: the changes that
        it returns then follow another state than that of the position.
        """
        path = f"/objects/{kind}?watch={revision_of(position)}&wait_ms={int(wait_s * 1000)}"
        answer = await self._call("GET", path, None, wait_s + WATCH_TIMEOUT_MARGIN_S)
        if answer.era > era_of(position):
            raise HistoryExpiredError(f"watch {kind}: the store restored a copy")
        response = _decode(answer.body, WatchResponse)
        events = _decode_each(response.events, WatchEvent, kind)
        return ReadResult(
            [_to_change(item.object, item.deleted) for item in events],
            make_position(answer.era, response.as_of),
        )

    async def put(self, kind: str, name: str, value: Any) -> int:
        """Create an object or replace it whatever its revision; safe to repeat.

        Returns the position of the write.
        """
        document = {"metadata": {"name": name}, "spec": value}
        try:
            answer = await self._call("POST", f"/objects/{kind}", document, CALL_TIMEOUT_S)
        except ConflictError:
            path = f"/objects/{kind}/{quote(name)}"
            answer = await self._call("PUT", path, document, CALL_TIMEOUT_S)
        stored = _decode(answer.body, StoredObject)
        return make_position(answer.era, stored.metadata.revision)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, which may be gone already."""
        try:
            await self._call("DELETE", f"/objects/{kind}/{quote(name)}", None, CALL_TIMEOUT_S)
        except StoreError as error:
            if error.status != NOT_FOUND:
                raise

    async def _call(self, method: str, path: str, document: Any, timeout_s: float) -> StoreAnswer:
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
        return StoreAnswer(
            _check_status(response, f"{method} {path}"), self._read_era(response.headers)
        )

    def _read_era(self, headers: list[tuple[bytes, bytes]]) -> int:
        """Era of a response, 0 if it names none."""
        values = {value.strip() for name, value in headers if name == ERA_HEADER}
        if not values:
            return 0
        value, *others = values
        if not others and ERA.fullmatch(value):
            return int(value)
        if not self._has_logged_era:
            self._has_logged_era = True
            shown = b", ".join(values)[:MAX_LOGGED_VALUE_BYTES]
            log.warning("era of the store is not a number", value=repr(shown))
        return 0


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
        try:
            return msgspec.json.decode(body, type=response_type)
        except RecursionError:
            return msgspec.json.decode(remove_nested(body, MAX_DEPTH), type=response_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise StoreError(f"the store's response cannot be decoded: {error}") from error


def _decode_each(items: list[msgspec.Raw], item_type: type, kind: str) -> list[Any]:
    """Decode objects or events; one that is malformed is left out."""
    decoded = []
    for item in items:
        try:
            decoded.append(msgspec.json.decode(item, type=item_type))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            log.warning("stored object not decoded", kind=kind, error=str(error))
    return decoded


def _to_change(item: StoredObject, is_deleted: bool) -> tuple[str, bytes | None]:
    if is_deleted or item.metadata.deleting:
        return (item.metadata.name, None)
    value = bytes(item.spec)
    return (item.metadata.name, UNREADABLE if REMOVED in value else value)
