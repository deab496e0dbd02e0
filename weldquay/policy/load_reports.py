"""Load reports of workers: their effect on worker state and on estimates."""

from __future__ import annotations

import math
from dataclasses import dataclass

from weldquay.candidates.index import CandidateIndex
from weldquay.estimators.report_interval import ReportIntervalEstimator
from weldquay.interface import LoadReport
from weldquay.policy.limits import MAX_REPORT_LAG_NS
from weldquay.policy.load import LoadEstimates
from weldquay.policy.runtime_model import RuntimeModel
from weldquay.policy.slow_start import SlowStart
from weldquay.policy.step_context import StepContext
from weldquay.policy.worker_table import WorkerTable
from weldquay.state.records import Worker


@dataclass(slots=True, eq=False)
class LoadReports:
    """Applies load reports, from probe results and from answers, to workers and estimates.

    Attributes:
        context: the state of the current step.
        table: keeps the workers that reported recently.
        index: the candidate index.
        report_interval: estimates how often workers refresh their reports.
        load_estimates: mean loads and capacities.
        runtime_model: slowness of workers, and the mean service time by machine kind.
        slow_start: tells which workers are warming up.
    """

    context: StepContext
    table: WorkerTable
    index: CandidateIndex
    report_interval: ReportIntervalEstimator
    load_estimates: LoadEstimates
    runtime_model: RuntimeModel
    slow_start: SlowStart

    def apply(self, worker: Worker, report: LoadReport) -> None:
        """Apply a report that has just arrived.

        A report with the same figures as the last one only updates the report time. Attempts sent since the
        last new figures still count as unreported.
        """
        now_ns = self.context.now_ns
        since_last_report_ns, is_new = now_ns - worker.reported_ns, report != worker.report
        if worker.report is not None:
            self.report_interval.record_report(since_last_report_ns, is_new)
        worker.reported_ns = now_ns
        if is_new:
            self._apply_new(worker, report, since_last_report_ns)
        worker_number = worker.entry.worker
        self.table.recently_reported.pop(worker_number, None)
        self.table.recently_reported[worker_number] = worker
        self.index.record_load_report(worker)
        if worker.free_slots is not None:
            self.load_estimates.record_zone_load(worker.entry.zone, -worker.free_slots)
            self.load_estimates.record_capacity(worker.estimated_slots)

    def _apply_new(self, worker: Worker, report: LoadReport, since_last_report_ns: int) -> None:
        now_ns, settings = self.context.now_ns, self.context.settings
        worker.report = report
        report_lag_ns = (
            MAX_REPORT_LAG_NS + min(since_last_report_ns, int(self.report_interval.interval_ns)) // 2
        )
        worker.apply_load_report(now_ns, report, report_lag_ns, settings.workers_queue_in_order)
        if report.service_ms is None or self.slow_start.remaining_ns(worker) < math.inf:
            return  # a worker that is warming up is slower than it will be
        slowness = self.runtime_model.worker_slowness(worker)
        slowness = self.runtime_model.estimator.apply_service_time(
            worker.entry.kind, report.service_ms, slowness
        )
        worker.slowness = (slowness, now_ns)
