"""Slow start: limits the work that is sent to a worker that is warming up."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.fleet.slow_start import SlowStartPolicy, WarmingWorker, remaining_budget_ns
from weldquay.interface import Settings
from weldquay.policy.load import LoadEstimates
from weldquay.policy.request_table import RequestTable
from weldquay.policy.send_rate import SendRate
from weldquay.policy.step_context import StepContext
from weldquay.state.records import Worker


def slow_start_policy(settings: Settings) -> SlowStartPolicy:
    """Return the slow start policy that the settings define."""
    return SlowStartPolicy(
        settings.initial_capacity_fraction,
        settings.slow_start_ns,
        settings.overload_multiple,
        settings.overload_window_ns,
    )


@dataclass(eq=False)
class SlowStart:
    """Applies the budgets of `weldquay/fleet/slow_start.py` to the workers of this dispatcher.

    Attributes:
        context: the state of the current step.
        requests: provides the queue, whose requests count as expected traffic.
        estimator: provides machine speeds and the mean work of a request.
        load_estimates: provides the mean capacity.
        send_rate: provides the rate of sends.
        policy: the policy that the current settings define.
        warming_count: number of workers that are warming up in this step.
    """

    context: StepContext
    requests: RequestTable
    estimator: RuntimeEstimator
    load_estimates: LoadEstimates
    send_rate: SendRate
    policy: SlowStartPolicy = field(init=False)
    warming_count: int = 0

    def __post_init__(self) -> None:
        """Set the policy from the settings."""
        self.reconfigure()

    def reconfigure(self) -> None:
        """Apply the current settings."""
        self.policy = slow_start_policy(self.context.settings)

    def remaining_ns(self, worker: Worker) -> float:
        """Return the work that may still be sent to the worker, in ns; infinite once it has warmed up."""
        now_ns = self.context.now_ns
        age_ns = now_ns - worker.started_ns
        if worker.started_ns == 0 or age_ns >= self.context.settings.slow_start_ns:
            return math.inf
        if now_ns != worker.slow_start_budget_at_ns:
            worker.slow_start_budget_at_ns = now_ns
            worker.slow_start_budget_ns = remaining_budget_ns(
                self.policy, self._warming_worker(worker, age_ns), worker.slow_start_sends
            )
        return worker.slow_start_budget_ns

    def _warming_worker(self, worker: Worker, age_ns: int) -> WarmingWorker:
        """Return the inputs of the budget; the start id is omitted unless all dispatchers know the start."""
        settings, kind = self.context.settings, worker.entry.kind
        slots = worker.estimated_slots if worker.estimated_slots >= 0.5 else self.load_estimates.mean_slots
        is_listed_start = worker.reinstated_ns <= worker.entry.started_ns
        return WarmingWorker(
            worker.entry.start_id if is_listed_start else None,
            age_ns,
            slots / self.estimator.relative_runtime(kind),
            settings.dispatcher_index,
            settings.dispatcher_count,
            self.context.started_ns - worker.started_ns,
            self.estimator.uncertainty(kind),
            self.estimator.mean_work_ns(),
            self.send_rate.per_ns() * self.policy.slice_ns + len(self.requests.queued),
            self.warming_count,
        )

    def record_send(self, worker: Worker, work_ns: float) -> None:
        """Charge work that is sent in this step to the worker's budget, unless it has warmed up."""
        if self.remaining_ns(worker) < math.inf:
            worker.slow_start_sends.append((self.context.now_ns - worker.started_ns, work_ns))
            worker.slow_start_budget_at_ns = -1
