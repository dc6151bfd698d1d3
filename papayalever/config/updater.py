"""Task that keeps an instance's configuration up to date."""

import asyncio

import logbook

from ..cluster.exceptions import PeerUnreachableError
from ..cluster.gossip import SHARED_PREFIX, Gossip
from ..cluster.links import LinkPool
from ..cluster.messages import Bundle, FetchBundle, ObjectUpdate, Prepare, Prepared
from ..store import StoreClient, StoreError
from .bundles import MissingBaseError, digest_bundle
from .exceptions import InvalidConfigError
from .versions import HEAD, HEAD_NAME, ConfigState

FETCH_TIMEOUT_S = 3.0
RETRY_S = 0.5

log = logbook.Logger("config")


class ConfigUpdater:
    """Follows the head, fetches missing bundles and handles the messages about bundles."""

    def __init__(self, gossip: Gossip, pool: LinkPool, store: StoreClient) -> None:
        self.state = ConfigState()
        self.has_read_store = False
        self._gossip = gossip
        self._pool = pool
        self._store = store
        self._wake = asyncio.Event()
        gossip.objects.changes.subscribe(self._take_update)

    @property
    def is_current(self) -> bool:
        """Whether the version in force is as new as the store's or a peer's."""
        is_informed = self.has_read_store or self._gossip.has_heard_peer
        return is_informed and self.state.version > 0 and self.state.missing_digest is None

    async def run(self) -> None:
        """Read the head once and fetch missing bundles until cancelled."""
        while True:
            if not self.has_read_store:
                await self._read_head()
            if self.state.missing_digest:
                await self._fetch(self.state.missing_digest)
            if self.state.missing_digest or not self.has_read_store:
                await asyncio.sleep(RETRY_S)
                continue
            await self._wake.wait()
            self._wake.clear()

    def handle_fetch(self, message: FetchBundle) -> Bundle:
        """Return a bundle that a peer lacks."""
        return Bundle(message.digest, self.state.get_bundle(message.digest))

    def handle_prepare(self, message: Prepare) -> Prepared:
        """Store a configuration that is about to be applied."""
        replica = self._gossip.table.own.replica
        if message.base_version < self.state.version:
            return Prepared(replica, f"version {self.state.version} is already in force")
        try:
            self.state.prepare(message.digest, message.base_digest, message.data)
        except MissingBaseError as error:
            return Prepared(replica, str(error), needs_full_bundle=True)
        except InvalidConfigError as error:
            return Prepared(replica, f"the file is not valid here: {error}")
        return Prepared(replica)

    def _take_update(self, update: ObjectUpdate) -> None:
        if update.name != HEAD_NAME:
            return
        before = self.state.version
        self.state.update_head(HEAD.validate_json(update.value))
        if self.state.version != before:
            log.info("configuration {} is in force", self.state.version)
        self._wake.set()

    async def _read_head(self) -> None:
        try:
            found = await self._store.get(SHARED_PREFIX + HEAD_NAME)
        except StoreError:
            return
        self.has_read_store = True
        if found:
            self._gossip.objects.merge(ObjectUpdate(HEAD_NAME, found.version, found.value.decode()))

    async def _fetch(self, digest: str) -> None:
        data = await self._fetch_from_peers(digest) or await self._fetch_from_store(digest)
        if data and digest_bundle(data) == digest:
            self.state.add_bundle(digest, data)
            log.info("configuration {} is in force", self.state.version)

    async def _fetch_from_peers(self, digest: str) -> bytes:
        table = self._gossip.table
        for member in table.live()[:3]:
            if member.id == table.own_id:
                continue
            try:
                bundle = await self._pool.request(
                    member.peer_address, FetchBundle(digest), FETCH_TIMEOUT_S
                )
            except PeerUnreachableError:
                continue
            if bundle.data:
                return bundle.data
        return b""

    async def _fetch_from_store(self, digest: str) -> bytes:
        head = self.state.head
        if head is None or head.digest != digest:
            return b""
        parts = []
        try:
            for key in head.chunks:
                found = await self._store.get(key)
                if found is None:
                    return b""
                parts.append(found.value)
        except StoreError:
            return b""
        return b"".join(parts)
