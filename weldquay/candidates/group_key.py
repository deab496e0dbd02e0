"""The key of a worker's group: all that a decision reads of the worker."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from weldquay.candidates.inputs import CandidateInputs, CandidateLimits
from weldquay.candidates.runtime_bounds import RuntimeLowerBounds
from weldquay.state.records import LOAD_REPORT_MAX_AGE_NS, Worker

MAX_DISTINCT_MEMORY = 16  # units of free memory, from which on workers are not distinguished
UNKNOWN_SLOTS = -1
ROUNDING_NS = 2  # subtracted from a computed moment, so that it does not come late


class WorkerGroupKey(NamedTuple):
    """What the members of a group have in common.

    is_reported: there is a recent load report; load: by that report, 0.0 without one; slots: UNKNOWN_SLOTS
    where no report has ever come; in_flight_slots: used by own attempts, 0.0 with a report; memory: whole
    units of free memory, None where unknown.  is_fresh, in_subset: False where health checks return no load
    report.
    """

    is_reported: bool
    is_fresh: bool
    in_subset: bool
    kind: int
    zone: int
    load: float
    slots: int
    in_flight_slots: float
    memory: int | None


class GroupKeys:
    """Compute the key of a worker's group, and how long it is valid."""

    def __init__(
        self,
        tables: CandidateInputs,
        limits: CandidateLimits,
        load: Callable[[Worker], float],
        slowness: Callable[[Worker], float],
    ) -> None:
        """load, slowness: of a worker as of now, by the decision module."""
        self.tables = tables
        self.limits = limits
        self.load = load
        self.slowness = slowness
        self.max_slowness_ratio = math.exp(limits.slow)
        self.bounds = RuntimeLowerBounds(tables.runtimes)

    def key(self, worker: Worker, is_warming: bool, in_subset: bool) -> tuple[WorkerGroupKey | None, float]:
        """Return the key of a healthy worker, and until when it is valid if no event comes.

        The key is None where the worker is individual.
        """
        tables = self.tables
        now_ns = tables.now_ns
        number = worker.entry.worker
        is_reported = number in tables.recently_reported
        if (
            is_warming
            or worker.failure_score > self.limits.doubt
            or number in tables.reinstated
            or number in tables.scheduler.by_worker
            or (worker.estimated_slots < 0.5 and (is_reported or worker.estimated_slots > 0))
        ):
            return None, math.inf
        expires_ns = worker.reported_ns + LOAD_REPORT_MAX_AGE_NS + 1
        if is_reported:
            if now_ns >= expires_ns:
                return None, math.inf
        elif worker.free_slots is not None and now_ns < expires_ns:
            return None, expires_ns
        elif worker.probe_pending and now_ns < worker.next_probe_ns:
            return None, worker.next_probe_ns
        valid_until_ns = self._not_slow_until_ns(worker)
        if valid_until_ns <= now_ns:
            return None, math.inf
        if not is_reported:
            return _unreported_key(worker), valid_until_ns
        return self._reported_key(worker, in_subset, min(valid_until_ns, expires_ns))

    def _reported_key(
        self, worker: Worker, in_subset: bool, valid_until_ns: float
    ) -> tuple[WorkerGroupKey, float]:
        """Return the key of a worker with a recent load report; it changes once the report is not fresh."""
        settings = self.tables.settings
        probes_report = settings.may_probe and settings.reports_in_probes
        stale_ns = worker.reported_ns + self.limits.fresh_ns + 1
        is_fresh = probes_report and self.tables.now_ns < stale_ns
        if is_fresh:
            valid_until_ns = min(valid_until_ns, stale_ns)
        key = WorkerGroupKey(
            is_reported=True,
            is_fresh=is_fresh,
            in_subset=probes_report and in_subset,
            kind=worker.entry.kind,
            zone=worker.entry.zone,
            load=self.load(worker),
            slots=round(worker.estimated_slots),
            in_flight_slots=0.0,
            memory=_free_memory(worker),
        )
        return key, valid_until_ns

    def _not_slow_until_ns(self, worker: Worker) -> float:
        """Return until when the worker is not slow and no attempt there is late to start; 0: it is slow."""
        limits = self.limits
        if worker.slowness[0] >= limits.slow and self.slowness(worker) >= limits.slow:
            return 0
        until_ns = math.inf
        for attempt in worker.in_flight.values():
            if attempt.started_ns:
                slow_after_ns = self.max_slowness_ratio * (self.bounds.min_run_ns(attempt) + limits.cover_ns)
                due_ns = attempt.started_ns + slow_after_ns - limits.cover_ns - ROUNDING_NS
                until_ns = min(until_ns, due_ns)
            elif self.tables.settings.reports_start:
                until_ns = min(until_ns, attempt.sent_ns + limits.start_ns + 1)
        return until_ns


def _unreported_key(worker: Worker) -> WorkerGroupKey:
    """Return the key of a worker without a recent load report."""
    return WorkerGroupKey(
        is_reported=False,
        is_fresh=False,
        in_subset=False,
        kind=worker.entry.kind,
        zone=worker.entry.zone,
        load=0.0,
        slots=round(worker.estimated_slots) if worker.estimated_slots else UNKNOWN_SLOTS,
        in_flight_slots=worker.in_flight_slots,
        memory=None,
    )


def _free_memory(worker: Worker) -> int | None:
    """Return whole units of free memory, None where unknown."""
    if worker.free_memory is None:
        return None
    return min(MAX_DISTINCT_MEMORY, math.floor(worker.free_memory - worker.unreported_memory))
