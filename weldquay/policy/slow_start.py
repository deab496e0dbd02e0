"""The work that may still be sent to a worker that is warming up."""

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
    """Return the slow start policy of the settings."""
    return SlowStartPolicy(
        settings.initial_capacity_fraction,
        settings.slow_start_ns,
        settings.overload_multiple,
        settings.overload_window_ns,
    )


@dataclass(eq=False)
class SlowStart:
    """The budgets of `weldquay/fleet/slow_start.py`, for the workers of this dispatcher.

    Attributes:
        context: the step.
        requests: requests in the queue count as traffic to come.
        estimator: machine speeds and mean work.
        load_estimates: the mean capacity.
        send_rate: the rate of sends.
        policy: the policy of the settings in force.
        warming_count: workers that are warming up in this step.
    """

    context: StepContext
    requests: RequestTable
    estimator: RuntimeEstimator
    load_estimates: LoadEstimates
    send_rate: SendRate
    policy: SlowStartPolicy = field(init=False)
    warming_count: int = 0

    def __post_init__(self) -> None:
        """Take the policy of the settings."""
        self.reconfigure()

    def reconfigure(self) -> None:
        """Follow the settings in force."""
        self.policy = slow_start_policy(self.context.settings)

    def remaining_ns(self, worker: Worker) -> float:
        """Return the work that may still be sent to the worker, in ns: infinite once it is warm."""
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
        """Return what the budget depends on; dispatchers share a start id only where all saw that start."""
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
        """Charge work that is sent now to the worker's budget, unless the worker is warm."""
        if self.remaining_ns(worker) < math.inf:
            worker.slow_start_sends.append((self.context.now_ns - worker.started_ns, work_ns))
            worker.slow_start_budget_at_ns = -1
