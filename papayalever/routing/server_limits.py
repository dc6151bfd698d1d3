"""Limits on the request rate that backend servers name in their responses.

Pure state: ``now`` is in seconds of the instance's monotonic clock.
"""

from collections.abc import Container
from dataclasses import dataclass, field

from .servers import RunKey, ServerEntry, run_key

REORDER_S = 1.0
"""How long a response may be on its way: for this long after a limit was named, only lower limits
replace it, since a response without it may be an older one."""
MAX_TRANSIT_S = 0.35
"""Longest time of a message between instances; requests for permits wait as long for a reply."""
FORGET_S = 60.0
"""How long the limit of a server that is no longer listed is kept, for when its entry returns."""


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a server's response said about its limit."""

    per_s: float | None
    """Requests per second that it takes from all instances together; None if it named no limit."""
    seen_at: float
    """When the head of the response arrived."""


@dataclass(slots=True)
class ServerLimits:
    """The limits in force, by what this and other instances have seen."""

    _report_by_run: dict[RunKey, LimitReport] = field(default_factory=dict)
    _unreadable_runs: set[RunKey] = field(default_factory=set)

    def note(self, server: ServerEntry, report: LimitReport) -> bool:
        """Record a report, in any order; returns whether the limit changed."""
        key = run_key(server)
        known = self._report_by_run.get(key)
        if known is None:
            if report.per_s is not None:
                self._report_by_run[key] = report
            return report.per_s is not None
        is_same = report.per_s == known.per_s
        is_lower = report.per_s is not None and (known.per_s is None or report.per_s < known.per_s)
        if is_same or is_lower:
            is_newer = report.seen_at > known.seen_at - (REORDER_S if is_lower else 0.0)
        else:
            is_newer = report.seen_at >= known.seen_at + REORDER_S
        if is_newer:
            self._report_by_run[key] = report
        return is_newer and not is_same

    def note_from_peer(
        self, server: ServerEntry, per_s: float | None, age_s: float, now: float
    ) -> bool:
        """Record the report of another instance, from a message that arrived now.

        It is dated as early as it may be: if each message moved a report forward by its own time
        on the way, instances that exchange it would renew a limit that has ended.
        """
        return self.note(server, LimitReport(per_s, now - age_s - MAX_TRANSIT_S))

    def find(self, server: ServerEntry) -> float | None:
        """Requests per second that a server takes, None if it has no limit."""
        report = self._report_by_run.get(run_key(server))
        return report.per_s if report else None

    def find_report(self, server: ServerEntry) -> LimitReport | None:
        """The report in force, None if the server has never named a limit."""
        return self._report_by_run.get(run_key(server))

    def note_unreadable(self, server: ServerEntry) -> bool:
        """Record a limit that is not a number; returns whether it is the server's first."""
        key = run_key(server)
        is_first = key not in self._unreadable_runs
        self._unreadable_runs.add(key)
        return is_first

    def forget_unlisted(self, listed_ids: Container[str], now: float) -> None:
        """Forget the limits of servers that left a while ago."""
        for key, report in list(self._report_by_run.items()):
            if key[0] not in listed_ids and now > report.seen_at + FORGET_S:
                del self._report_by_run[key]
        self._unreadable_runs = {key for key in self._unreadable_runs if key[0] in listed_ids}
