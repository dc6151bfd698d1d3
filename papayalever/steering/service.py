"""Background task that plans steering from the relays' demand reports."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable
from contextlib import suppress

import logbook

from ..cluster.gossip import SHARED_PREFIX, Gossip
from ..cluster.messages import DomainDemand, ObjectUpdate
from ..config.models import Configuration, StopKind
from ..config.rules import planned_stops
from ..store import StoreClient, StoreError, put_confirmed
from .plan import PLAN_ADAPTER, PLAN_NAME, Plan
from .planner import PlannerInput, ServiceDemand, next_plan

PLAN_INTERVAL_S = 1.0
PLAN_WRITE_TIMEOUT_S = 3.0

log = logbook.Logger("steering")


class Steering:
    """Holds the current plan and writes new ones while this instance is the planner."""

    def __init__(
        self,
        gossip: Gossip,
        store: StoreClient,
        read_configuration: Callable[[], Configuration | None],
    ) -> None:
        self.plan = Plan()
        self._gossip = gossip
        self._store = store
        self._read_configuration = read_configuration
        gossip.objects.changes.subscribe(self._apply_update)

    @property
    def is_planner(self) -> bool:
        """Whether this instance is the planner.

        Two instances may both take that role for a while. Conditional writes to the store put
        their plans in sequence, and each instance enforces the shift cap by its own clock.
        """
        return self._gossip.planner_id == self._gossip.table.own_id

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            configuration = self._read_configuration()
            if configuration and self.is_planner and self._gossip.holds_lease():
                with suppress(StoreError):
                    await self._make_plan(configuration)

    async def _make_plan(self, configuration: Configuration) -> None:
        version = self._gossip.objects.version(PLAN_NAME)
        planner_input = self._collect_input(configuration)
        plan = next_plan(self.plan, configuration, planner_input, int(time.time() * 1000))
        if plan is None:
            return
        value = PLAN_ADAPTER.dump_json(plan)
        key = SHARED_PREFIX + PLAN_NAME
        try:
            version = await put_confirmed(self._store, key, value, version, PLAN_WRITE_TIMEOUT_S)
        except StoreError:
            stored = await self._store.get(key)
            if stored:
                self._gossip.publish(ObjectUpdate(PLAN_NAME, stored.version, stored.value.decode()))
            raise
        self._gossip.publish(ObjectUpdate(PLAN_NAME, version, value.decode()))
        log.info("plan {} stored", version)

    def _collect_input(self, configuration: Configuration) -> PlannerInput:
        now = time.time()
        reports = self._gossip.demands()
        region_by_domain = {
            domain: name
            for name, region in configuration.regions.items()
            for domain in region.failure_domains
        }
        live_regions = {member.region for member in self._gossip.table.live()}
        age_by_region: dict[str, float] = dict.fromkeys(live_regions, 0.0)
        for domain in self._gossip.table.domains() - self._gossip.table.unreachable_domains:
            region = region_by_domain.get(domain)
            report = reports.get(domain)
            age = now - report.at_ms / 1000 if report else float("inf")
            if region in age_by_region:
                age_by_region[region] = max(age_by_region[region], age)
        draining = {
            region
            for region, at in planned_stops(configuration, StopKind.REGION).items()
            if at <= now
        }
        return PlannerInput(
            _sum_demand(list(reports.values())), age_by_region, {}, draining, live_regions
        )

    def _apply_update(self, update: ObjectUpdate) -> None:
        if update.name == PLAN_NAME:
            self.plan = PLAN_ADAPTER.validate_json(update.value)


def _sum_demand(reports: list[DomainDemand]) -> dict[str, ServiceDemand]:
    slots: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    transferred: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for report in reports:
        for service, home, slot_count, bytes_s in report.rows:
            slots[service][home] += slot_count
            transferred[service][home] += bytes_s
    return {
        service: ServiceDemand(dict(slots[service]), dict(transferred[service]))
        for service in slots
    }
