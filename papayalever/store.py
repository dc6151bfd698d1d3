"""Client of the platform's object store."""

import asyncio
import base64
from dataclasses import dataclass

import aiohttp

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.2


class StoreError(Exception):
    """Base class of the store's errors."""


class StoreUnavailableError(StoreError):
    """The store did not accept the call; nothing was written."""


class StoreThrottledError(StoreUnavailableError):
    """The store refused the call because of its rate limit."""


class StoreConflictError(StoreError):
    """The object's version is not the expected one; nothing was written."""


class StoreOutcomeUnknownError(StoreError):
    """The response to a write was lost; the write may have taken effect."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; ``version`` starts at 1 and grows with each write."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Changed objects and the revision to watch from next."""

    revision: int
    objects: list[StoredObject]


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list of instances, which lags behind their real state."""

    id: str
    state: str
    peer_address: str


class StoreClient:
    """Client of the object store; counts its calls by kind."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None
        self.calls_by_kind: dict[str, int] = {}

    async def get(self, key: str) -> StoredObject | None:
        """Read an object; raises `StoreUnavailableError`."""
        self._count("get")
        session = self._open_session()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with session.get(f"{self._url}/objects/{key}", timeout=timeout) as response:
                if response.status == 404:
                    return None
                _check_status(response)
                return StoredObject(key, int(response.headers["ETag"]), await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, KeyError, ValueError) as error:
            raise StoreUnavailableError("The store returned no valid response.") from error

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write if the object has the expected version (0: absent) and return the new version.

        Raises `StoreConflictError`, `StoreUnavailableError` or `StoreOutcomeUnknownError`.
        """
        self._count("put")
        headers = {"If-Match": str(expected_version)}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._open_session().put(
                f"{self._url}/objects/{key}", data=value, headers=headers, timeout=timeout
            ) as response:
                return _parse_put_response(key, response)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError("The store cannot be reached.") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreOutcomeUnknownError(
                f"The response to the write of {key} was lost."
            ) from error

    async def watch(self, prefix: str, revision: int) -> WatchResult:
        """Wait for changes after a revision, for at most `WATCH_TIMEOUT_S`."""
        path = f"/watch?prefix={prefix}&after={revision}&timeout={WATCH_TIMEOUT_S:g}"
        session = self._open_session()
        timeout = aiohttp.ClientTimeout(total=WATCH_TIMEOUT_S + CALL_TIMEOUT_S)
        self._count("watch")
        try:
            async with session.get(self._url + path, timeout=timeout) as response:
                _check_status(response)
                document = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailableError(
                "The store returned no valid response to a watch."
            ) from error
        objects = [
            StoredObject(item["key"], item["version"], base64.b64decode(item["value"]))
            for item in document["objects"]
        ]
        return WatchResult(document["revision"], objects)

    async def list_instances(self) -> list[ListedInstance]:
        """Read the platform's list of instances, which lags; raises `StoreUnavailableError`."""
        session = self._open_session()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self._count("list")
        try:
            async with session.get(self._url + "/instances", timeout=timeout) as response:
                _check_status(response)
                document = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailableError("The list of instances cannot be read.") from error
        return [
            ListedInstance(item["id"], item["state"], item.get("peer_address", ""))
            for item in document
        ]

    async def close(self) -> None:
        """Close the connections."""
        if self._session:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
            # A write that the library retries by itself could conflict with its own first attempt.
            self._session._retry_connection = False
        return self._session

    def _count(self, kind: str) -> None:
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1


def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status == 429:
        raise StoreThrottledError("The store's rate limit is reached.")
    if response.status != 200:
        raise StoreUnavailableError(f"The store responded with status {response.status}.")


def _parse_put_response(key: str, response: aiohttp.ClientResponse) -> int:
    if response.status == 412:
        raise StoreConflictError(f"{key} was changed by another writer.")
    if response.status in (429, 503):
        raise StoreUnavailableError(f"The store responded with status {response.status}.")
    if response.status != 200:
        raise StoreOutcomeUnknownError(
            f"The store responded with status {response.status} to a write of {key}."
        )
    return int(response.headers["ETag"])


async def put_confirmed(
    store: StoreClient, key: str, value: bytes, expected_version: int, timeout_s: float
) -> int:
    """Write and, if the response is lost, find out whether the write took effect.

    ``value`` must be unique to this writer. Raises `StoreConflictError`,
    `StoreUnavailableError`, or `StoreOutcomeUnknownError` if the outcome cannot be determined
    within ``timeout_s`` after the lost response.
    """
    try:
        return await store.put(key, value, expected_version)
    except StoreOutcomeUnknownError as error:
        cause = error
    try:
        async with asyncio.timeout(timeout_s):
            return await _resolve_lost_write(store, key, value, expected_version)
    except TimeoutError:
        raise cause from None


async def _resolve_lost_write(
    store: StoreClient, key: str, value: bytes, expected_version: int
) -> int:
    while True:
        try:
            current = await store.get(key)
            if current is not None and current.value == value:
                return current.version
            if current is not None and current.version != expected_version:
                raise StoreConflictError(f"{key} was changed by another writer.")
            # The lost write may still arrive: only another conditional write decides the outcome.
            return await store.put(key, value, expected_version)
        except StoreConflictError:
            if current is None or current.version == expected_version:
                continue
            raise
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            await asyncio.sleep(RETRY_DELAY_S)
