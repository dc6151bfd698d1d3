"""Tasks of steering: demand reports between relays and the plan of the one planner."""

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
from ..store import StoreClient, StoreError, put_surely
from .plan import PLAN, PLAN_NAME, Plan
from .planner import Evidence, ServiceDemand, next_plan

PLAN_INTERVAL_S = 1.0
PLAN_SETTLE_S = 3.0

log = logbook.Logger("steering")


class Steering:
    """Makes plans while this instance is the most senior relay."""

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
        gossip.objects.changes.subscribe(self._take_update)

    @property
    def is_planner(self) -> bool:
        """Whether this instance makes the plans.

        Two may believe so at once: the conditional update lets one plan follow another, and the
        instances that obey hold the cap by their own clocks.
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
        evidence = self._gather(configuration)
        plan = next_plan(self.plan, configuration, evidence, int(time.time() * 1000))
        if plan is None:
            return
        value = PLAN.dump_json(plan)
        key = SHARED_PREFIX + PLAN_NAME
        try:
            version = await put_surely(self._store, key, value, version, PLAN_SETTLE_S)
        except StoreError:
            found = await self._store.get(key)
            if found:
                self._gossip.publish(ObjectUpdate(PLAN_NAME, found.version, found.value.decode()))
            raise
        self._gossip.publish(ObjectUpdate(PLAN_NAME, version, value.decode()))
        log.info("plan {} is made", version)

    def _gather(self, configuration: Configuration) -> Evidence:
        now = time.time()
        reports = self._gossip.demands()
        region_by_domain = {
            domain: name
            for name, region in configuration.regions.items()
            for domain in region.failure_domains
        }
        present = {member.region for member in self._gossip.table.live()}
        age_by_region: dict[str, float] = dict.fromkeys(present, 0.0)
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
        return Evidence(_sum_demand(list(reports.values())), age_by_region, {}, draining, present)

    def _take_update(self, update: ObjectUpdate) -> None:
        if update.name == PLAN_NAME:
            self.plan = PLAN.validate_json(update.value)


def _sum_demand(reports: list[DomainDemand]) -> dict[str, ServiceDemand]:
    slots: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    sent: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for report in reports:
        for service, home, used, bytes_s in report.rows:
            slots[service][home] += used
            sent[service][home] += bytes_s
    return {service: ServiceDemand(dict(slots[service]), dict(sent[service])) for service in slots}
