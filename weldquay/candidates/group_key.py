"""The key of a worker's group.

A key holds everything that a decision reads of a worker, so workers with equal keys are interchangeable.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from weldquay.candidates.inputs import CandidateInputs, CandidateLimits
from weldquay.candidates.runtime_bounds import RuntimeLowerBounds
from weldquay.state.records import LOAD_REPORT_MAX_AGE_NS, Worker

MAX_DISTINCT_FREE_MEMORY = 16  # units; workers with this much free memory or more have equal keys
UNKNOWN_SLOTS = -1
ROUNDING_MARGIN_NS = 2  # a computed time is brought forward by this, so that rounding does not make it late


class WorkerGroupKey(NamedTuple):
    """The properties that the members of a group share.

    Attributes:
        is_reported: there is a recent load report.
        is_fresh: the report is recent enough to be used without a health check; always False if health checks
            return no load report.
        in_subset: the worker belongs to the preferred subset; always False if health checks return no load
            report.
        kind: the machine kind.
        zone: the zone.
        load: load in slots by the report; 0.0 without one.
        slots: estimated capacity; `UNKNOWN_SLOTS` before the first report.
        in_flight_slots: slots used by this dispatcher's attempts; 0.0 with a report.
        memory: free memory in whole units; None if unknown.
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


class GroupKeyBuilder:
    """Computes the key of a worker's group and the time until which it is valid."""

    def __init__(
        self,
        inputs: CandidateInputs,
        limits: CandidateLimits,
        load: Callable[[Worker], float],
        slowness: Callable[[Worker], float],
    ) -> None:
        """Compute keys from the given state.

        Args:
            inputs: the state that the index reads.
            limits: limits of the decision module.
            load: returns the current load of a worker, in slots.
            slowness: returns the current slowness of a worker: the logarithm of its relative running time.
        """
        self.inputs = inputs
        self.limits = limits
        self.load = load
        self.slowness = slowness
        self.max_slowness_ratio = math.exp(limits.slow_log_ratio)
        self.bounds = RuntimeLowerBounds(inputs.runtimes)

    def build(self, worker: Worker, is_warming: bool, in_subset: bool) -> tuple[WorkerGroupKey | None, float]:
        """Return the key of a healthy worker, and the time until which it is valid without an event.

        The key is None if the worker belongs to no group.
        """
        inputs = self.inputs
        now_ns = inputs.now_ns
        worker_number = worker.entry.worker
        is_reported = worker_number in inputs.recently_reported
        if (
            is_warming
            or worker.failure_score > self.limits.max_failure_score
            or worker_number in inputs.reinstated
            or worker_number in inputs.scheduler.by_worker
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
        """Return the key of a worker with a recent load report, valid at most until the report is stale."""
        settings = self.inputs.settings
        probes_report = settings.may_probe and settings.reports_in_probes
        stale_ns = worker.reported_ns + self.limits.fresh_max_age_ns + 1
        is_fresh = probes_report and self.inputs.now_ns < stale_ns
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
        """Return when the worker may become slow, or an attempt there counts as queued; 0: it is slow now."""
        limits = self.limits
        if worker.slowness[0] >= limits.slow_log_ratio and self.slowness(worker) >= limits.slow_log_ratio:
            return 0
        until_ns = math.inf
        for attempt in worker.in_flight.values():
            if attempt.started_ns:
                slow_after_ns = self.max_slowness_ratio * (
                    self.bounds.min_run_ns(attempt) + limits.runtime_tolerance_ns
                )
                due_ns = attempt.started_ns + slow_after_ns - limits.runtime_tolerance_ns - ROUNDING_MARGIN_NS
                until_ns = min(until_ns, due_ns)
            elif self.inputs.settings.reports_start:
                until_ns = min(until_ns, attempt.sent_ns + limits.queued_after_ns + 1)
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
    """Return the free memory in whole units, capped; None if unknown."""
    if worker.free_memory is None:
        return None
    return min(MAX_DISTINCT_FREE_MEMORY, math.floor(worker.free_memory - worker.unreported_memory))
