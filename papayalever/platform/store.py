"""Client of the platform's object store: kinds, eras, revisions, pages and watches."""

import asyncio
import re
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import quote

import logbook
import msgspec

from ..entry.connection import ClientConnection, SendError, connect
from ..entry.messages import ServerResponse
from ..entry.store_position import era_of, make_position, revision_of
from ..entry.watcher import HistoryExpiredError, ReadResult, StoreAccessError
from .documents import Change, DocumentError, Unreadable, read_events, read_page, read_revision

CONNECT_TIMEOUT_S = 0.4
"""Five round trips between regions; short, so that a retry soon notices a healed partition."""
CALL_TIMEOUT_S = 1.0
"""The store responds in 4 ms; even when 60 times slower, it responds in time."""
NOT_FOUND = 404
ERA_HEADER = b"store-era"
"""Rises by one each time the store restores a copy; stores that never do so may omit it."""
ERA = re.compile(rb"\d{1,18}")
MAX_LOGGED_VALUE_BYTES = 60
WATCH_TIMEOUT_MARGIN_S = 0.6
"""Added to the requested wait, for a slow store; after it the connection counts as dead."""

log = logbook.Logger("store")


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
    on_unreadable: Callable[[str, int], None] = lambda kind, count: None
    """Called with the number of objects of a kind in a response that cannot be decoded."""
    _has_logged_era: bool = False

    async def list_all(self, kind: str) -> ReadResult:
        """List all objects of a kind and the position they were read at."""
        changes: list[Change] = []
        query, first_position = "", None
        used_cursors: set[str] = set()
        while True:
            answer = await self._call("GET", f"/objects/{kind}{query}", None, CALL_TIMEOUT_S)
            page = _read(read_page, answer.body)
            self._note_unreadable(kind, page.unreadable)
            changes += page.changes
            position = make_position(answer.era, page.as_of)
            first_position = position if first_position is None else first_position
            if era_of(first_position) != answer.era:
                raise StoreError(f"GET {kind}: the store restored a copy between two pages")
            if not page.cursors:
                return ReadResult(changes, first_position)
            unused = [cursor for cursor in page.cursors if cursor not in used_cursors]
            if not unused and len(page.cursors) == 1:
                raise StoreError(f"GET {kind}: the store sends the page after {query} again")
            if not unused:
                # What was read still holds; the rest cannot be reached.
                log.error("list ends at an unreadable name", kind=kind, cursors=page.cursors)
                return ReadResult(changes, first_position)
            used_cursors.add(unused[0])
            query = f"?after={unused[0]}"

    async def watch(self, kind: str, position: int, wait_s: float) -> ReadResult:
        """Wait for changes after a position.

        Raises `HistoryExpiredError` if the store forgot it or counts a later era: the changes that
        it returns then follow another state than that of the position.
        """
        path = f"/objects/{kind}?watch={revision_of(position)}&wait_ms={int(wait_s * 1000)}"
        answer = await self._call("GET", path, None, wait_s + WATCH_TIMEOUT_MARGIN_S)
        if answer.era > era_of(position):
            raise HistoryExpiredError(f"watch {kind}: the store restored a copy")
        events = _read(read_events, answer.body)
        self._note_unreadable(kind, events.unreadable)
        return ReadResult(events.changes, make_position(answer.era, events.as_of))

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
        return make_position(answer.era, _read(read_revision, answer.body))

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, which may be gone already."""
        try:
            await self._call("DELETE", f"/objects/{kind}/{quote(name)}", None, CALL_TIMEOUT_S)
        except StoreError as error:
            if error.status != NOT_FOUND:
                raise

    def _note_unreadable(self, kind: str, unreadable: Unreadable) -> None:
        if not unreadable.count:
            return
        self.on_unreadable(kind, unreadable.count)
        log.warning("stored objects unreadable", kind=kind, **asdict(unreadable))

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


def _read(read: Callable[[bytes], Any], body: bytes) -> Any:
    try:
        return read(body)
    except DocumentError as error:
        raise StoreError(str(error)) from error
