"""The daemon of one instance: connects its components, runs their tasks and stops gracefully."""

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
from .proxy.backend_client import BackendClient
from .proxy.callers import CallerListener
from .proxy.claims import Claims
from .proxy.operators import OperatorListener
from .proxy.shared import SharedState
from .proxy.state_updates import apply_configuration, divide_capacity
from .routing.backends import BackendTable
from .routing.quarantine import CrashLog
from .settings import Settings
from .steering.demand import DemandMeter
from .steering.plan import PLAN_NAME
from .steering.service import Steering
from .store import StoreClient, StoreError

PLATFORM_LIST_INTERVAL_S = 2.0
PLANNED_STOP_CHECK_INTERVAL_S = 0.5
HANDOVER_TIMEOUT_S = 15.0
LEAVE_PROPAGATION_S = 2.0
"""Longest time until every other instance knows that this one is leaving."""
DRAIN_TIMEOUT_S = 60.0

log = logbook.Logger("daemon")


class Daemon:
    """The components of one instance and their background tasks."""

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
        self.updater = ConfigUpdater(self.gossip, self._pool, self._store)
        self.committer = Committer(self.gossip, self.updater, self._pool, self._store)
        self.ledger = Ledger(self.gossip, self._pool, self._store, _unix_ms)
        self.directory = Directory(self.gossip.table)
        self.steering = Steering(self.gossip, self._store, self._read_configuration)
        self.metrics = Metrics(self._read_gauges)
        self.shared = SharedState(
            self.gossip,
            BackendTable(),
            CrashLog(),
            Claims(self.ledger),
            BackendClient(),
            self.metrics,
            DemandMeter(self.directory.find_home),
        )
        self.gossip.read_demand = lambda: self.shared.demand.rows(time.monotonic())
        self._peers = LinkServer(settings.peer_listener, self._handle_message)
        self._callers = CallerListener(
            settings.caller_listener, settings.limits, self.directory, self.shared
        )
        self._operators = OperatorListener(
            settings.operator_listener,
            self.updater,
            self.committer,
            self.metrics,
            lambda: self.is_ready,
            self.read_status,
        )
        self._handlers: dict[type, Callable[[Any], Any]] = {
            Sync: self.gossip.handle_sync,
            Broadcast: self.gossip.broadcaster.handle,
            FetchBundle: self.updater.handle_fetch,
            Prepare: self.updater.handle_prepare,
            PrepareDomain: self.committer.handle_prepare_domain,
            Claim: self.ledger.replica.handle_claim,
            Settle: self.ledger.replica.handle_settle,
            Replicate: self.ledger.replica.handle_replicate,
        }

    @property
    def is_ready(self) -> bool:
        """Whether callers may use this instance."""
        own = self.gossip.table.own
        return self._is_serving and self.updater.is_current and own.state == MemberState.LIVE

    def request_stop(self) -> None:
        """Request a graceful shutdown."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a stop is requested, then shut down gracefully."""
        self._subscribe()
        await self.shared.backend_client.start()
        await self._peers.start()
        await self._operators.start()
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(coroutine) for coroutine in self._background_tasks()]
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
        """Build the status document for operators."""
        table = self.gossip.table
        current = self.updater.state.current
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

    # Event handling.

    def _subscribe(self) -> None:
        self.updater.state.in_force.subscribe(self._apply_configuration)
        self.gossip.member_changes.subscribe(lambda _: self._on_membership_change())
        self.gossip.objects.changes.subscribe(self._on_object_update)
        self.gossip.broadcasts.subscribe(self._on_notice)

    def _background_tasks(self) -> list[Coroutine]:
        return [
            self.gossip.run(),
            self.gossip.run_watch(),
            self.updater.run(),
            self.ledger.coordinator.run(),
            self.ledger.replica.run(),
            self.steering.run(),
            self._poll_platform_list(),
            self._run_planned_stop(),
        ]

    async def _wait_ready(self) -> None:
        """Wait until the configuration is current or a stop is requested."""
        while not self.updater.is_current and not self._stop.is_set():
            await asyncio.sleep(0.05)

    def _handle_message(self, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            log.warn("no handler for messages of type {}", type(message).__name__)
            return None
        return handler(message)

    def _apply_configuration(self, in_force: LoadedConfiguration | None) -> None:
        if in_force is None:
            return
        configuration = in_force.configuration
        self.ledger.state.set_options(configuration.ledger)
        apply_configuration(self.shared, configuration)
        self._divide_capacity(configuration)
        self.directory.set_configuration(in_force)
        self._callers.set_configuration(in_force)

    def _on_membership_change(self) -> None:
        self.directory.clear_cache()
        current = self.updater.state.current
        if current:
            self._divide_capacity(current.configuration)

    def _divide_capacity(self, configuration: Configuration) -> None:
        table = self.gossip.table
        divide_capacity(self.shared, configuration, table.own, table.live())

    def _on_object_update(self, update: ObjectUpdate) -> None:
        if update.name == PLAN_NAME:
            self.directory.set_plan(self.steering.plan)

    def _on_notice(self, message: Any) -> None:
        now = time.monotonic()
        if isinstance(message, BackendDrainNotice):
            remaining_s = (message.until_ms - _unix_ms()) / 1000
            self.shared.backends.note_leaving(message.backend, now + remaining_s)
        elif isinstance(message, CrashNotice):
            self.shared.crashes.note(message.digest, message.backend, now)

    # Planned stops and the platform's list of instances.

    async def _poll_platform_list(self) -> None:
        """Mark planned stops; as a relay, also broadcast the backend servers listed as leaving."""
        while True:
            await asyncio.sleep(PLATFORM_LIST_INTERVAL_S)
            self._mark_planned_backend_stops()
            if not self.gossip.is_relay:
                continue
            try:
                listed = await self._store.list_instances()
            except StoreError:
                continue
            await self.gossip.note_listed(listed)
            leaving_until = time.monotonic() + 5 * PLATFORM_LIST_INTERVAL_S
            leaving_until_ms = _unix_ms() + int(5 * PLATFORM_LIST_INTERVAL_S * 1000)
            for item in listed:
                if item.state != MemberState.LEAVING:
                    continue
                if self.shared.backends.note_leaving(item.id, leaving_until):
                    self.gossip.broadcast(BackendDrainNotice(item.id, leaving_until_ms))

    def _mark_planned_backend_stops(self) -> None:
        current = self.updater.state.current
        if current is None:
            return
        now = time.time()
        for backend, stop_at in planned_stops(current.configuration, StopKind.BACKEND).items():
            if stop_at <= now:
                self.shared.backends.note_leaving(
                    backend, time.monotonic() + 2 * PLATFORM_LIST_INTERVAL_S
                )

    async def _run_planned_stop(self) -> None:
        """Request a stop at this instance's planned stop unless that lies before its start."""
        while True:
            await asyncio.sleep(PLANNED_STOP_CHECK_INTERVAL_S)
            current = self.updater.state.current
            if current is None:
                continue
            stop_at = planned_stops(current.configuration, StopKind.INSTANCE).get(self.settings.id)
            started_at = self.gossip.table.own.incarnation / 1000
            if stop_at is not None and started_at < stop_at <= time.time():
                self.request_stop()
                return

    # Shutdown.

    async def _drain(self) -> None:
        """Leave lookups, hand the ledger over, wait for lookup TTLs and finish running requests."""
        started_at = time.monotonic()
        log.info("instance {} is leaving", self.settings.id)
        self._leaving_since = started_at
        self.gossip.announce(MemberState.LEAVING)
        await self._wait_handover()
        await self._callers.wait_idle(DRAIN_TIMEOUT_S)
        self.drain_s = time.monotonic() - started_at
        log.info("instance {} drained in {:.1f} s", self.settings.id, self.drain_s)

    async def _wait_handover(self) -> None:
        deadline = time.monotonic() + HANDOVER_TIMEOUT_S
        while time.monotonic() < deadline:
            is_handed_over = not self.ledger.state.is_replica
            # Lookups on other instances may return this one until they learn that it is leaving.
            leaving_for_s = time.monotonic() - self._leaving_since
            if is_handed_over and leaving_for_s > self._lookup_ttl_s() + LEAVE_PROPAGATION_S:
                return
            await asyncio.sleep(0.1)

    def _lookup_ttl_s(self) -> float:
        current = self.updater.state.current
        return current.configuration.lookup.ttl_s if current else 0.0

    async def _close(self) -> None:
        await self._callers.close()
        self.gossip.announce(MemberState.DEAD)
        await asyncio.sleep(0.1)
        await self._operators.close()
        await self._peers.close()
        await self._pool.close()
        await self.shared.backend_client.close()
        await self._store.close()

    def _read_configuration(self) -> Configuration | None:
        current = self.updater.state.current
        return current.configuration if current else None

    # Status and metrics.

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
        admissions = self.shared.admission_by_service.values()
        return {
            "config_version": float(self.updater.state.version),
            "instances_live": float(len(self.gossip.table.live())),
            "ledger_records": float(self.ledger.state.record_count),
            "requests_running": float(sum(admission.running for admission in admissions)),
            "requests_waiting": float(sum(admission.waiting for admission in admissions)),
            "peer_messages_sent": float(self._pool.sent_messages),
            "peer_messages_received": float(self._peers.received_messages),
            "peer_bytes": float(self._pool.bytes + self._peers.bytes),
            "renewed_pools": float(self.shared.backend_client.renewed_pools),
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


def _unix_ms() -> int:
    return int(time.time() * 1000)
