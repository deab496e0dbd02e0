"""Expected running times, and the slowness of workers compared with their machine kind."""

from __future__ import annotations

import math
from dataclasses import dataclass

from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.policy.limits import RUNTIME_TOLERANCE_NS
from weldquay.policy.step_context import StepContext
from weldquay.reservations.scheduler import BackfillScheduler
from weldquay.state.records import Attempt, Job, Worker

SLOWNESS_DECAY_NS = 5_000_000_000  # time constant of the decay of a worker's measured slowness


@dataclass(slots=True, eq=False)
class RuntimeModel:
    """Predicts running times by request, class and machine kind, and learns from successful attempts.

    Attributes:
        context: the state of the current step.
        estimator: mean running times by class and machine kind.
        scheduler: estimates the bias of runtime hints.
    """

    context: StepContext
    estimator: RuntimeEstimator
    scheduler: BackfillScheduler

    def expected_ns(self, job: Job) -> float:
        """Return the expected running time on a mean machine: the runtime hint, else the class mean."""
        return float(job.request.runtime_hint_ns or self.estimator.mean_ns[job.request.job_class])

    def expected_at_worker_ns(self, job: Job, worker: Worker) -> float:
        """Return the expected running time at a worker, by its machine kind and the bias of hints."""
        return (
            self.expected_ns(job)
            * self.estimator.relative_runtime(worker.entry.kind)
            * math.exp(self.scheduler.hint_bias)
        )

    def attempt_slowness(self, attempt: Attempt) -> float:
        """Return the logarithm of the ratio of the attempt's running time so far to the expected one."""
        reference_ns = self.expected_ns(attempt.job) * self.estimator.relative_runtime(
            attempt.worker.entry.kind
        )
        age_ns = self.context.now_ns - attempt.started_ns
        return math.log((age_ns + RUNTIME_TOLERANCE_NS) / (reference_ns + RUNTIME_TOLERANCE_NS))

    def worker_slowness(self, worker: Worker) -> float:
        """Return the logarithm of how many times slower than its machine kind the worker is.

        It is the maximum of the last measured value, which decays over time, and of those of the running
        attempts.
        """
        value, measured_ns = worker.slowness
        decayed_slowness = value * math.exp((measured_ns - self.context.now_ns) / SLOWNESS_DECAY_NS)
        return max(
            [
                decayed_slowness,
                *(
                    self.attempt_slowness(attempt)
                    for attempt in worker.in_flight.values()
                    if attempt.started_ns
                ),
            ]
        )

    def record_success(self, attempt: Attempt, latency_ns: int) -> None:
        """Learn from an attempt that succeeded; without a reported start, its latency is its running time."""
        request, worker = attempt.job.request, attempt.worker
        kind = worker.entry.kind
        now_ns, started_ns = self.context.now_ns, attempt.started_ns
        run_ns = max(1, now_ns - started_ns if started_ns else latency_ns)
        if started_ns and (hint_ns := request.runtime_hint_ns):
            expected_ns = hint_ns * self.estimator.relative_runtime(kind)
            self.scheduler.record_runtime(math.log(run_ns / expected_ns))
        self.estimator.record_runtime(request.job_class, kind, run_ns)
        if started_ns:
            slowness = (self.worker_slowness(worker) + self.attempt_slowness(attempt)) / 2
            worker.slowness = (slowness, now_ns)
