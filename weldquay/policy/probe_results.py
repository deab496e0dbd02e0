"""Handling of probe outcomes."""

from __future__ import annotations

from dataclasses import dataclass

from weldquay.interface import Outcome, ProbeEnded
from weldquay.policy.limits import PROBE_BACKOFF_NS, PROBE_WAIT_NS
from weldquay.policy.load import LoadEstimates
from weldquay.policy.load_reports import LoadReports
from weldquay.policy.outlier_ejection import OutlierEjection
from weldquay.policy.step_context import StepContext
from weldquay.policy.worker_table import WorkerTable
from weldquay.state.records import INITIAL_TRIAL_BACKOFF_NS, Worker

MAX_PROBE_FAILURES = 2  # consecutive failures that eject; a single probe may be lost or wait for a request


@dataclass(slots=True, eq=False)
class ProbeResults:
    """Applies probe outcomes to workers and load estimates.

    Attributes:
        context: the state of the current step.
        table: the workers.
        load_estimates: mean loads of zones, and the load of a worker whose probe failed.
        load_reports: applies the load reports that probes return.
        ejection: ejects workers.
    """

    context: StepContext
    table: WorkerTable
    load_estimates: LoadEstimates
    load_reports: LoadReports
    ejection: OutlierEjection

    def apply(self, event: ProbeEnded) -> None:
        """Apply the outcome of a probe; probes of unknown workers are ignored."""
        if (worker := self.table.workers.get(event.worker)) is None:
            return
        worker.probe_pending = False
        worker.next_probe_ns = 0
        is_overloaded = event.outcome is Outcome.OVERLOADED
        if event.latency_ns > PROBE_WAIT_NS or is_overloaded:
            self.load_estimates.record_overload(worker.entry.zone)
        if is_overloaded:  # the worker is alive, but all dispatchers together probe it too often
            worker.next_probe_ns = self.context.now_ns + PROBE_BACKOFF_NS
        elif event.outcome is Outcome.OK:
            self._apply_success(worker, event)
        else:
            self._apply_failure(worker, event.outcome)

    def _apply_success(self, worker: Worker, event: ProbeEnded) -> None:
        worker.consecutive_probe_failures = 0
        if worker.is_ejected and not self.ejection.is_unresponsive(worker):
            worker.is_ejected = False
            worker.trial_backoff_ns = INITIAL_TRIAL_BACKOFF_NS
        if event.report is not None:
            self.load_reports.apply(worker, event.report)

    def _apply_failure(self, worker: Worker, outcome: Outcome) -> None:
        """Eject the worker, unless its load suggests that the probe only waited behind requests."""
        worker.consecutive_probe_failures += 1
        if (
            outcome is Outcome.CONNECT_FAILED
            or worker.is_ejected
            or (
                worker.consecutive_probe_failures >= MAX_PROBE_FAILURES
                and self.load_estimates.load(worker) < 0
            )
        ):
            self.ejection.eject(worker)
