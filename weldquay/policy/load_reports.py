"""Load reports of workers: what they change and what is learned from them."""

from __future__ import annotations

import math
from dataclasses import dataclass

from weldquay.candidates.index import CandidateIndex
from weldquay.estimators.report_interval import ReportIntervalEstimator
from weldquay.interface import LoadReport
from weldquay.policy.limits import REPORT_COVER_NS
from weldquay.policy.load import LoadEstimates
from weldquay.policy.runtime_model import RuntimeModel
from weldquay.policy.slow_start import SlowStart
from weldquay.policy.step_context import StepContext
from weldquay.policy.worker_table import WorkerTable
from weldquay.state.records import Worker


@dataclass(slots=True, eq=False)
class LoadReports:
    """Applies load reports, from probes and from answers, to workers and estimates.

    Attributes:
        context: the step.
        table: workers that reported recently are noted here.
        index: the candidates.
        interval: learns how often workers refresh their reports.
        load_estimates: means of loads and capacities.
        runtime_model: slowness of workers, and the usual service time by machine kind.
        slow_start: which workers are warming up.
    """

    context: StepContext
    table: WorkerTable
    index: CandidateIndex
    interval: ReportIntervalEstimator
    load_estimates: LoadEstimates
    runtime_model: RuntimeModel
    slow_start: SlowStart

    def apply(self, worker: Worker, report: LoadReport) -> None:
        """Apply a report that has just arrived.

        One with the same figures as the last only renews its time: attempts sent since stay counted.
        """
        now_ns = self.context.now_ns
        gap_ns, is_new = now_ns - worker.reported_ns, report != worker.report
        if worker.report is not None:
            self.interval.record_report(gap_ns, is_new)
        worker.reported_ns = now_ns
        if is_new:
            self._apply_new(worker, report, gap_ns)
        number = worker.entry.worker
        self.table.recently_reported.pop(number, None)
        self.table.recently_reported[number] = worker
        self.index.load_reported(worker)
        if worker.free_slots is not None:
            self.load_estimates.record_zone_load(worker.entry.zone, -worker.free_slots)
            self.load_estimates.record_capacity(worker.estimated_slots)

    def _apply_new(self, worker: Worker, report: LoadReport, gap_ns: int) -> None:
        now_ns, settings = self.context.now_ns, self.context.settings
        worker.report = report
        cover_ns = REPORT_COVER_NS + min(gap_ns, int(self.interval.ns)) // 2
        worker.apply_load_report(now_ns, report, cover_ns, settings.workers_queue_in_order)
        if report.service_ms is None or self.slow_start.remaining_ns(worker) < math.inf:
            return  # the service time of a warming worker does not show how fast it is
        slowness = self.runtime_model.worker_slowness(worker)
        slowness = self.runtime_model.estimator.apply_service_time(
            worker.entry.kind, report.service_ms, slowness
        )
        worker.slowness = (slowness, now_ns)
