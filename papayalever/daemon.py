"""The daemon of one instance: starts its tasks, connects them and stops them gracefully."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import logbook

from .cluster.gossip import Gossip
from .cluster.links import LinkPool, LinkServer
from .cluster.messages import (
    BackendDrainNotice,
    Broadcast,
    Claim,
    CrashNotice,
    FetchBundle,
    Member,
    MemberState,
    ObjectUpdate,
    Prepare,
    PrepareDomain,
    Replicate,
    Settle,
    Sync,
)
from .config.bundles import LoadedConfiguration
from .config.commit import Committer
from .config.models import Configuration, StopKind
from .config.rules import planned_stops
from .config.updater import ConfigUpdater
from .ledger.service import Ledger
from .lookup.directory import Directory
from .metrics import Metrics
from .proxy.callers import CallerListener
from .proxy.claims import Claims
from .proxy.operators import OperatorListener
from .proxy.shared import Shared
from .proxy.sharing import share_capacity, use_configuration
from .proxy.upstream import Upstream
from .routing.backends import BackendTable
from .routing.quarantine import CrashLog
from .settings import Settings
from .steering.demand import DemandMeter
from .steering.plan import PLAN_NAME
from .steering.service import Steering
from .store import StoreClient, StoreError

LIST_INTERVAL_S = 2.0
STOP_CHECK_S = 0.5
HANDOVER_TIMEOUT_S = 15.0
SPREAD_S = 2.0
"""How long news of a leaving instance takes at most to reach every other."""
DRAIN_TIMEOUT_S = 60.0

log = logbook.Logger("daemon")


class Daemon:
    """One instance of the system."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.drain_s: float | None = None
        self._leaving_since = float("inf")
        self._is_serving = False
        self._stop = asyncio.Event()
        self._pool = LinkPool()
        self._store = StoreClient(settings.store_url)
        own = _own_member(settings, int(time.time() * 1000))
        self.gossip = Gossip(own, settings.seeds, self._pool, self._store, time.monotonic)
        self.keeper = ConfigUpdater(self.gossip, self._pool, self._store)
        self.committer = Committer(self.gossip, self.keeper, self._pool, self._store)
        self.ledger = Ledger(self.gossip, self._pool, self._store, _wall_ms)
        self.directory = Directory(self.gossip.table)
        self.steering = Steering(self.gossip, self._store, self._read_configuration)
        self.metrics = Metrics(self._read_gauges)
        self.shared = Shared(
            self.gossip,
            BackendTable(),
            CrashLog(),
            Claims(self.ledger),
            Upstream(),
            self.metrics,
            DemandMeter(self.directory.home_of),
        )
        self.gossip.read_demand = lambda: self.shared.demand.rows(time.monotonic())
        self._peers = LinkServer(settings.peer_listener, self._handle_message)
        self._callers = CallerListener(
            settings.caller_listener, settings.limits, self.directory, self.shared
        )
        self._operators = OperatorListener(
            settings.operator_listener,
            self.keeper,
            self.committer,
            self.metrics,
            lambda: self.is_ready,
            self.read_status,
        )
        self._handlers: dict[type, Callable[[Any], Any]] = {
            Sync: self.gossip.handle_sync,
            Broadcast: self.gossip.broadcaster.handle,
            FetchBundle: self.keeper.handle_fetch,
            Prepare: self.keeper.handle_prepare,
            PrepareDomain: self.committer.handle_prepare_domain,
            Claim: self.ledger.replica.handle_claim,
            Settle: self.ledger.replica.handle_settle,
            Replicate: self.ledger.replica.handle_replicate,
        }

    @property
    def is_ready(self) -> bool:
        """Whether callers may use this instance."""
        own = self.gossip.table.own
        return self._is_serving and self.keeper.is_current and own.state == MemberState.LIVE

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a stop is requested, then shut down gracefully."""
        self._subscribe()
        await self.shared.upstream.start()
        await self._peers.start()
        await self._operators.start()
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(work) for work in self._background()]
                await self._wait_ready()
                await self._callers.start()
                self._is_serving = True
                log.info("instance {} serves callers", self.settings.id)
                await self._stop.wait()
                await self._drain()
                for task in tasks:
                    task.cancel()
        finally:
            await self._close()

    def read_status(self) -> dict:
        """What operators see of this instance."""
        table = self.gossip.table
        current = self.keeper.state.current
        return {
            "id": self.settings.id,
            "replica": table.own.replica,
            "region": self.settings.region,
            "failure_domain": self.settings.failure_domain,
            "state": str(table.own.state),
            "ready": self.is_ready,
            "roles": self._read_roles(),
            "config_version": current.version if current else 0,
            "config_digest": current.digest if current else "",
            "plan_version": self.gossip.objects.version(PLAN_NAME),
            "instances": [
                {
                    "id": member.id,
                    "region": member.region,
                    "failure_domain": member.failure_domain,
                    "state": str(member.state),
                    "reachable": table.is_reachable(member),
                    "operator_address": member.operator_address,
                }
                for member in sorted(table.members, key=lambda item: item.id)
            ],
            "counters": self.metrics.counts(),
            "ledger_verdicts": dict(self.ledger.client.verdicts),
            "latency_ms": self.metrics.latency_ms(),
            "gauges": self._read_gauges(),
        }

    # Wiring.

    def _subscribe(self) -> None:
        self.keeper.state.in_force.subscribe(self._take_configuration)
        self.gossip.member_changes.subscribe(lambda _: self._take_members())
        self.gossip.objects.changes.subscribe(self._take_object)
        self.gossip.broadcasts.subscribe(self._take_notice)

    def _background(self) -> list[Coroutine]:
        return [
            self.gossip.run(),
            self.gossip.run_watch(),
            self.keeper.run(),
            self.ledger.coordinator.run(),
            self.ledger.replica.run(),
            self.steering.run(),
            self._run_platform_list(),
            self._run_planned_stop(),
        ]

    async def _wait_ready(self) -> None:
        """Wait for a configuration that is current, or for the stop."""
        while not self.keeper.is_current and not self._stop.is_set():
            await asyncio.sleep(0.05)

    def _handle_message(self, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            log.warn("a message of type {} has no handler", type(message).__name__)
            return None
        return handler(message)

    def _take_configuration(self, in_force: LoadedConfiguration | None) -> None:
        if in_force is None:
            return
        configuration = in_force.configuration
        self.ledger.state.set_options(configuration.ledger)
        use_configuration(self.shared, configuration)
        self._share_capacity(configuration)
        self.directory.set_configuration(in_force)
        self._callers.set_configuration(in_force)

    def _take_members(self) -> None:
        self.directory.forget_answers()
        current = self.keeper.state.current
        if current:
            self._share_capacity(current.configuration)

    def _share_capacity(self, configuration: Configuration) -> None:
        table = self.gossip.table
        share_capacity(self.shared, configuration, table.own, table.live())

    def _take_object(self, update: ObjectUpdate) -> None:
        if update.name == PLAN_NAME:
            self.directory.set_plan(self.steering.plan)

    def _take_notice(self, message: Any) -> None:
        now = time.monotonic()
        if isinstance(message, BackendDrainNotice):
            left_s = (message.until_ms - _wall_ms()) / 1000
            self.shared.backends.note_leaving(message.backend, now + left_s)
        elif isinstance(message, CrashNotice):
            self.shared.crashes.note(message.digest, message.backend, now)

    # Evidence about instances and backend servers.

    async def _run_platform_list(self) -> None:
        """As a relay, pass on which backend servers the platform lists as leaving."""
        while True:
            await asyncio.sleep(LIST_INTERVAL_S)
            self._note_planned_backends()
            if not self.gossip.is_relay:
                continue
            try:
                listed = await self._store.list_instances()
            except StoreError:
                continue
            await self.gossip.note_listed(listed)
            until = time.monotonic() + 5 * LIST_INTERVAL_S
            until_ms = _wall_ms() + int(5 * LIST_INTERVAL_S * 1000)
            for item in listed:
                if item.state != MemberState.LEAVING:
                    continue
                if self.shared.backends.note_leaving(item.id, until):
                    self.gossip.broadcast(BackendDrainNotice(item.id, until_ms))

    def _note_planned_backends(self) -> None:
        current = self.keeper.state.current
        if current is None:
            return
        now = time.time()
        for backend, at in planned_stops(current.configuration, StopKind.BACKEND).items():
            if at <= now:
                self.shared.backends.note_leaving(backend, time.monotonic() + 2 * LIST_INTERVAL_S)

    async def _run_planned_stop(self) -> None:
        """Stop when a planned stop of this instance that lies ahead is due."""
        while True:
            await asyncio.sleep(STOP_CHECK_S)
            current = self.keeper.state.current
            if current is None:
                continue
            at = planned_stops(current.configuration, StopKind.INSTANCE).get(self.settings.id)
            started = self.gossip.table.own.incarnation / 1000
            if at is not None and started < at <= time.time():
                self.request_stop()
                return

    # Shutdown.

    async def _drain(self) -> None:
        """Leave look-ups, hand the ledger over, wait out answers handed out and finish."""
        began = time.monotonic()
        log.info("instance {} is leaving", self.settings.id)
        self._leaving_since = began
        self.gossip.announce(MemberState.LEAVING)
        await self._wait_handover()
        await self._callers.wait_idle(DRAIN_TIMEOUT_S)
        self.drain_s = time.monotonic() - began
        log.info("instance {} drained in {:.1f} s", self.settings.id, self.drain_s)

    async def _wait_handover(self) -> None:
        give_up_at = time.monotonic() + HANDOVER_TIMEOUT_S
        while time.monotonic() < give_up_at:
            is_handed_over = not self.ledger.state.is_replica
            # Another instance may hand out this one until it hears of the stop.
            left_s = time.monotonic() - self._leaving_since
            if is_handed_over and left_s > self._ttl_s() + SPREAD_S:
                return
            await asyncio.sleep(0.1)

    def _ttl_s(self) -> float:
        current = self.keeper.state.current
        return current.configuration.lookup.ttl_s if current else 0.0

    async def _close(self) -> None:
        await self._callers.close()
        self.gossip.announce(MemberState.DEAD)
        await asyncio.sleep(0.1)
        await self._operators.close()
        await self._peers.close()
        await self._pool.close()
        await self.shared.upstream.close()
        await self._store.close()

    def _read_configuration(self) -> Configuration | None:
        current = self.keeper.state.current
        return current.configuration if current else None

    # Figures.

    def _read_roles(self) -> list[str]:
        roles = ["entry", "lookup"]
        if self.gossip.is_relay:
            roles.append("relay")
        if self.ledger.state.is_replica:
            roles.append("ledger")
        if self.steering.is_planner:
            roles.append("planner")
        return roles

    def _read_gauges(self) -> dict[str, float]:
        gates = self.shared.gate_by_service.values()
        return {
            "config_version": float(self.keeper.state.version),
            "instances_live": float(len(self.gossip.table.live())),
            "ledger_records": float(self.ledger.state.record_count),
            "requests_running": float(sum(gate.running for gate in gates)),
            "requests_waiting": float(sum(gate.waiting for gate in gates)),
            "peer_messages_sent": float(self._pool.sent_messages),
            "peer_messages_received": float(self._peers.received_messages),
            "peer_bytes": float(self._pool.bytes + self._peers.bytes),
            "renewed_pools": float(self.shared.upstream.renewed_pools),
            "store_calls": float(sum(self._store.calls_by_kind.values())),
            "drain_seconds": self.drain_s or 0.0,
        }


def _own_member(settings: Settings, now_ms: int) -> Member:
    return Member(
        id=settings.id,
        incarnation=now_ms,
        revision=0,
        region=settings.region,
        failure_domain=settings.failure_domain,
        caller_address=settings.caller_listener,
        peer_address=settings.peer_listener,
        operator_address=settings.operator_listener,
    )


def _wall_ms() -> int:
    return int(time.time() * 1000)
