"""Client of the platform's object service."""

import asyncio
import base64
from dataclasses import dataclass

import aiohttp

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 20.0
RETRY_S = 0.2


class StoreError(Exception):
    """Base of the store's errors."""


class StoreUnavailableError(StoreError):
    """The store did not take the call; nothing was written."""


class StoreThrottledError(StoreUnavailableError):
    """The store refused the call because of its rate limit."""


class StoreConflictError(StoreError):
    """The object's version is not the expected one; nothing was written."""


class StoreOutcomeUnknownError(StoreError):
    """The answer to a write was lost; it may have taken effect."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object: ``version`` grows with each write, 1 is the first."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Objects that changed and the revision to watch from next."""

    revision: int
    objects: list[StoredObject]


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's lagging list."""

    id: str
    state: str
    peer_address: str


class StoreClient:
    """Calls of the object service; each is counted by kind."""

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
                _check(response)
                return StoredObject(key, int(response.headers["ETag"]), await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, KeyError, ValueError) as error:
            raise StoreUnavailableError("The store did not answer as expected.") from error

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write if the version is the expected one (0: absent) and return the new version.

        Raises `StoreConflictError`, `StoreUnavailableError` or `StoreOutcomeUnknownError`.
        """
        self._count("put")
        headers = {"If-Match": str(expected_version)}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._open_session().put(
                f"{self._url}/objects/{key}", data=value, headers=headers, timeout=timeout
            ) as response:
                return _read_written(key, response)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError("The store can not be reached.") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreOutcomeUnknownError(f"The answer to the write of {key} was lost.") from error

    async def watch(self, prefix: str, revision: int) -> WatchResult:
        """Wait for changes after a revision, for at most `WATCH_TIMEOUT_S`."""
        path = f"/watch?prefix={prefix}&after={revision}&timeout={WATCH_TIMEOUT_S:g}"
        session = self._open_session()
        timeout = aiohttp.ClientTimeout(total=WATCH_TIMEOUT_S + CALL_TIMEOUT_S)
        self._count("watch")
        try:
            async with session.get(self._url + path, timeout=timeout) as response:
                _check(response)
                document = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailableError("The watch was lost.") from error
        objects = [
            StoredObject(item["key"], item["version"], base64.b64decode(item["value"]))
            for item in document["objects"]
        ]
        return WatchResult(document["revision"], objects)

    async def list_instances(self) -> list[ListedInstance]:
        """Read the platform's lagging list of instances; raises `StoreUnavailableError`."""
        session = self._open_session()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self._count("list")
        try:
            async with session.get(self._url + "/instances", timeout=timeout) as response:
                _check(response)
                document = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailableError("The list of instances can not be read.") from error
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
            # A write that the library repeats by itself would meet its own first try.
            self._session._retry_connection = False
        return self._session

    def _count(self, kind: str) -> None:
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1


def _check(response: aiohttp.ClientResponse) -> None:
    if response.status == 429:
        raise StoreThrottledError("The store's rate limit is reached.")
    if response.status != 200:
        raise StoreUnavailableError(f"The store answered {response.status}.")


def _read_written(key: str, response: aiohttp.ClientResponse) -> int:
    if response.status == 412:
        raise StoreConflictError(f"{key} was changed by somebody else.")
    if response.status in (429, 503):
        raise StoreUnavailableError(f"The store answered {response.status}.")
    if response.status != 200:
        raise StoreOutcomeUnknownError(f"The store answered {response.status} to a write of {key}.")
    return int(response.headers["ETag"])


async def put_surely(
    store: StoreClient, key: str, value: bytes, expected_version: int, give_up_s: float
) -> int:
    """Write and, if the answer is lost, find out whether the write took effect.

    ``value`` must be unique to this writer. Raises `StoreConflictError`,
    `StoreUnavailableError`, or `StoreOutcomeUnknownError` if the store can not be read within
    ``give_up_s``.
    """
    try:
        return await store.put(key, value, expected_version)
    except StoreOutcomeUnknownError as error:
        cause = error
    try:
        async with asyncio.timeout(give_up_s):
            return await _settle_lost_write(store, key, value, expected_version)
    except TimeoutError:
        raise cause from None


async def _settle_lost_write(
    store: StoreClient, key: str, value: bytes, expected_version: int
) -> int:
    while True:
        try:
            current = await store.get(key)
            if current is not None and current.value == value:
                return current.version
            if current is not None and current.version != expected_version:
                raise StoreConflictError(f"{key} was changed by somebody else.")
            # The lost write may still be under way: only a conditional write settles it.
            return await store.put(key, value, expected_version)
        except StoreConflictError:
            if current is None or current.version == expected_version:
                continue
            raise
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            await asyncio.sleep(RETRY_S)
