"""How long a job takes, how late it may start, and what it is worth."""

from __future__ import annotations

import math

from weldquay.state.records import Attempt, Job, Worker
from weldquay.policy.state import RATE_TIME_NS, State

SURE = 0.5  # part of the aim that a job may wait with nothing lost: its worker may start it late
COVER_NS = 250_000_000  # a report may be this old when it comes: own pushes of that time count beside it


class Times(State):
    """Judgements of time and worth; nothing is changed but what is learnt."""

    def _expected_ns(self, job: Job) -> float:
        """Expected running time: the hint, else the mean of the class."""
        return float(job.request.runtime_hint_ns or self.runtimes.mean_ns[job.request.job_class])

    def _last_start_ns(self, job: Job) -> float:
        """Started later, the job will hardly end in time (half the mean is about its median), or here."""
        expected_ns = self._expected_ns(job)
        spare_ns = (
            job.class_settings.latency_objective_ns
            + max(0.0, job.class_settings.runtime_allowance - 1) * expected_ns / 2
        )
        return min(job.first_received_ns + spare_ns, self.shutdown_ns - expected_ns)

    def _worth(self, job: Job) -> float:
        """Worth per work."""
        return job.class_settings.priority_weight / (
            1.0 if self.settings.weights_per_work else max(1.0, self._expected_ns(job))
        )

    def _dearness(self, job: Job) -> float:
        """The order of held jobs.

        Where no hint tells how long a job runs, the chance that it can still end in time fades as it waits:
        it has to run for as long as it waited past its aim.  Guards against calls that all wait their turn,
        and are all late.
        """
        worth, late_ns, hinted = self._worth(job), self._last_start_ns(job), job.request.runtime_hint_ns
        past_ns = self.now_ns - job.first_received_ns - SURE * job.class_settings.latency_objective_ns
        job.latest_start_ns, job.priority_valid_until_ns = late_ns, math.inf
        if self.now_ns > late_ns:
            return worth * job.class_settings.late_weight
        job.priority_valid_until_ns = late_ns if hinted else min(late_ns, self.now_ns - past_ns)
        if hinted or past_ns <= 0:
            return worth
        return worth * math.exp(-past_ns / self._expected_ns(job))

    def _learn(self, attempt: Attempt, latency_ns: int) -> None:
        """Learn running times of the class and speeds of the kind."""
        number, kind = attempt.job.request.job_class, attempt.worker.entry.kind
        run_ns = max(1, self.now_ns - attempt.started_ns if attempt.started_ns else latency_ns)
        if attempt.started_ns and (hint_ns := attempt.job.request.runtime_hint_ns):
            self.scheduler.record_runtime(math.log(run_ns / (hint_ns * self.runtimes.relative_runtime(kind))))
        self.runtimes.record_runtime(number, kind, run_ns)
        if attempt.started_ns:
            attempt.worker.slowness = (self._drag(attempt.worker) + self._over(attempt)) / 2, self.now_ns

    def _takes_ns(self, job: Job, worker: Worker) -> float:
        """Expected running time at a worker."""
        return (
            self._expected_ns(job)
            * self.runtimes.relative_runtime(worker.entry.kind)
            * math.exp(self.scheduler.hint_bias)
        )

    def _over(self, attempt: Attempt) -> float:
        """Logarithm of how many times longer than usual on its kind of machine the attempt has run."""
        usual_ns = self._expected_ns(attempt.job) * self.runtimes.relative_runtime(attempt.worker.entry.kind)
        return math.log((self.now_ns - attempt.started_ns + COVER_NS) / (usual_ns + COVER_NS))

    def _drag(self, worker: Worker) -> float:
        """The worker's slowness as its last jobs showed it, and those that run show it already."""
        last = worker.slowness[0] * math.exp((worker.slowness[1] - self.now_ns) / RATE_TIME_NS)
        return max(
            [last, *(self._over(attempt) for attempt in worker.in_flight.values() if attempt.started_ns)]
        )
