"""Instances that depend on others whose way to the store, or to them, fails silently."""

import asyncio
import time

from papayalever.cluster.messages import Follow
from papayalever.entry.instance import EntryInstance

from .soak.proxy import Fault, FaultProxy
from .support.platform import LoopLag, configuration
from .test_entry import PlatformCase

CONFIG_S = 2.0
"""The shortest bound of the deployments within which a configuration is in force everywhere."""


class SilentUpstreamCase(PlatformCase):
    async def start_region(self, store: str = "") -> tuple[EntryInstance, list[EntryInstance]]:
        """The reader of one region, its followers and, last, the reader of another region."""
        reader = await self.platform.add_instance("noord-a", store=store)
        await self.platform.wait(lambda: reader.is_ready, "the reader is ready")
        others = [
            await self.platform.ready_instance(domain)
            for domain in ("noord-a", "noord-b", "noord-b", "midden-a")
        ]
        await self.platform.wait(
            lambda: not any(item.follower.is_reading for item in others[:-1])
            and all(item.shared.instances == len(others) + 1 for item in others),
            "the others of the region follow",
        )
        return reader, others

    async def time_configuration(self, version: int, instances: list[EntryInstance]) -> float:
        """Seconds until a configuration is in force, without those the loop had no processor."""
        self.platform.store.put("config", "main", configuration(version))
        began = time.monotonic()
        async with LoopLag() as lag:
            await self.platform.wait(
                lambda: all(item.shared.routes.version == version for item in instances), "in force"
            )
        return time.monotonic() - began - lag.seconds


class TestSilentReader(SilentUpstreamCase):
    async def test_followers_of_a_silently_cut_reader_get_a_configuration_within_its_bound(self):
        proxy = FaultProxy(f"{self.platform.net}.9:8142", self.platform.store.address)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        reader, others = await self.start_region(proxy.address)
        proxy.fault = Fault.SILENCE
        for version in (8, 9):
            self.assertLess(await self.time_configuration(version, others), CONFIG_S)
        proxy.fault = Fault.NONE
        await self.platform.wait(lambda: reader.shared.routes.version == 9, "the reader is back")


class TestSilentUpstreams(SilentUpstreamCase):
    async def test_follower_of_three_silent_instances_gets_a_configuration_within_its_bound(self):
        reader, (_, head, follower, other_reader) = await self.start_region()
        polled = asyncio.Event()
        for instance in (reader, head, other_reader):
            instance._peers._handle = self.never_reply(follower, polled)
        await polled.wait()
        self.assertLess(await self.time_configuration(8, [follower]), CONFIG_S)

    def never_reply(self, follower: EntryInstance, polled: asyncio.Event):
        async def handle(message: object) -> None:
            if isinstance(message, Follow) and message.instance == follower.settings.instance:
                polled.set()
            await asyncio.sleep(30)

        return handle
