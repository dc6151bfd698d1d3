"""Client of the platform's object store: kinds, revisions, pages and watches."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec

from ..entry.connection import PeerConnection, SendError, connect
from ..entry.messages import ServerAnswer
from ..entry.watcher import HistoryExpiredError, ReadResult, StoreAccessError

CONNECT_S = 0.4
"""A cut that heals is noticed with the next try; five round trips between regions."""
CALL_S = 1.0
"""An answer takes 4 ms; a store that is slow by 60 times that still answers in time."""
WATCH_MARGIN_S = 0.6
"""Over the wait that was asked for, for a slow store; a connection is taken for silent after it."""


class Metadata(msgspec.Struct):
    """What the store itself says of an object."""

    name: str
    revision: int = 0
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """One object; ``spec`` is decoded by who knows its kind."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ListAnswer(msgspec.Struct):
    """A page of objects."""

    items: list[StoredObject]
    as_of: int
    has_more: bool = False


class WatchEvent(msgspec.Struct):
    """One change."""

    object: StoredObject
    deleted: bool = False


class WatchAnswer(msgspec.Struct):
    """Changes since a revision."""

    events: list[WatchEvent]
    as_of: int


class StoreError(StoreAccessError):
    """A call that brought nothing; ``status`` is 0 if no answer came."""

    def __init__(self, text: str, status: int = 0) -> None:
        super().__init__(text)
        self.status = status


class ConflictError(StoreError):
    """The object is not as the call expected."""


@dataclass(eq=False, slots=True)
class StoreClient:
    """Calls to the store; a connection each for watches and for other calls."""

    address: str
    calls_by_kind: Counter

    async def list_all(self, kind: str) -> ReadResult:
        """Every object of a kind with the revision that it is from."""
        changes: list[tuple[str, bytes | None]] = []
        after, as_of = "", 0
        while True:
            query = f"?after={quote(after)}" if after else ""
            body = await self._call("GET", f"/objects/{kind}{query}", None, CALL_S)
            page = _decode(body, ListAnswer)
            changes += [_change(item, False) for item in page.items]
            as_of = as_of or page.as_of
            if not page.has_more or not page.items:
                return ReadResult(changes, as_of)
            after = page.items[-1].metadata.name

    async def watch(self, kind: str, revision: int, wait_s: float) -> ReadResult:
        """Changes after a revision, as soon as there are some; raises `HistoryGoneError`."""
        path = f"/objects/{kind}?watch={revision}&wait_ms={int(wait_s * 1000)}"
        body = await self._call("GET", path, None, wait_s + WATCH_MARGIN_S)
        answer = _decode(body, WatchAnswer)
        return ReadResult(
            [_change(item.object, item.deleted) for item in answer.events], answer.as_of
        )

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Create an object or replace it whatever its revision; a repeat does no harm."""
        document = {"metadata": {"name": name}, "spec": value}
        try:
            await self._call("POST", f"/objects/{kind}", document, CALL_S)
        except ConflictError:
            await self._call("PUT", f"/objects/{kind}/{quote(name)}", document, CALL_S)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        await self._call("DELETE", f"/objects/{kind}/{quote(name)}", None, CALL_S)

    async def _call(self, method: str, path: str, document: Any, timeout_s: float) -> bytes:
        self.calls_by_kind[f"{method} {path.split('/')[2].split('?')[0]}"] += 1
        body = msgspec.json.encode(document) if document is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        connection: PeerConnection | None = None
        try:
            connection = await connect(self.address, CONNECT_S)
            async with asyncio.timeout(timeout_s):
                answer = await connection.send(f"{head}\r\n".encode() + body)
        except SendError as error:
            raise StoreError(f"store {self.address}: {method} {path}: {error}") from error
        except TimeoutError as error:
            raise StoreError(f"store {self.address}: {method} {path}: no answer") from error
        finally:
            if connection:
                connection.close()
        return _check(answer, f"{method} {path}")


def _check(answer: ServerAnswer, call: str) -> bytes:
    if answer.status == 410:
        raise HistoryExpiredError(call)
    if answer.status == 409:
        raise ConflictError(f"{call}: the object exists or changed", answer.status)
    if answer.status >= 300:
        raise StoreError(f"{call}: status {answer.status}", answer.status)
    return answer.body


def _decode(body: bytes, kind: type) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise StoreError(f"the store's answer can not be read: {error}") from error


def _change(item: StoredObject, is_deleted: bool) -> tuple[str, bytes | None]:
    is_deleted = is_deleted or item.metadata.deleting
    return (item.metadata.name, None if is_deleted else bytes(item.spec))
