"""Probe rounds: request fresh load reports from a few workers before a request is placed."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from itertools import chain, islice

from weldquay.candidates.index import CandidateIndex
from weldquay.interface import Probe, SetTimer
from weldquay.policy.eligibility import Eligibility
from weldquay.policy.limits import FRESH_REPORT_NS, PROBE_BACKOFF_NS, PROBE_WAIT_NS
from weldquay.policy.step_context import StepContext
from weldquay.policy.timers import TimerToken
from weldquay.policy.worker_table import WorkerTable
from weldquay.state.records import Job, Worker

# Maximum number of probes in a round; the best of a few random workers is nearly as good as the best of all.
MAX_PROBES = 4
SAMPLES_PER_PROBE = 3  # workers drawn for each probe, as some of them need no probe
PROBE_COST_FRACTION = 0.02  # fraction of a request's weight that its probes may cost
MAX_PROBE_BUDGET = 8.0 * MAX_PROBES


@dataclass(slots=True, eq=False)
class Probing:
    """Sends probes within a budget, to which each request adds.

    Attributes:
        context: the state of the current step.
        table: provides the ready workers and the preferred subset.
        index: the candidate index.
        eligibility: decides which workers may take a request.
        budget: number of probes that may be sent.
    """

    context: StepContext
    table: WorkerTable
    index: CandidateIndex
    eligibility: Eligibility
    budget: float = 0.0

    def add_budget(self) -> None:
        """Add the number of probes that one request may cause."""
        probes = min(MAX_PROBES, PROBE_COST_FRACTION / max(1e-9, self.context.settings.probe_cost))
        self.budget = min(self.budget + probes, MAX_PROBE_BUDGET)

    def probe_candidates(self, job: Job) -> bool:
        """Probe a few workers without fresh reports; return whether the request waits for probe results.

        The first round probes workers of the preferred subset, later rounds any ready workers. If no worker
        can be probed in the first round, the request waits for probes sent for other requests.
        """
        now_ns = self.context.now_ns
        if job.probe_rounds:
            since_ns = now_ns - job.last_probed_ns
            if since_ns < PROBE_WAIT_NS and any(worker.probe_pending for worker in job.probed_workers):
                return True
            if job.probe_rounds > 1 and since_ns < FRESH_REPORT_NS:
                return False
        workers = self._select_workers(job)
        for worker in workers:
            worker.probe_pending = True
            worker.next_probe_ns = now_ns + PROBE_BACKOFF_NS
            self.index.record_probe(worker)
            self.context.actions.append(Probe(worker.entry.worker))
        self.budget -= len(workers)
        if not workers and not job.probe_rounds:
            workers = self.index.probed_workers()
        if workers:
            job.last_probed_ns = now_ns
            job.probe_rounds += 1
            job.probed_workers = workers
            self.context.actions.append(SetTimer(PROBE_WAIT_NS, TimerToken.PROBE_WAIT))
        return bool(workers)

    def _select_workers(self, job: Job) -> list[Worker]:
        """Return the workers to probe: first those that are warming up, then a random sample."""
        now_ns, is_eligible = self.context.now_ns, self.eligibility.is_eligible
        probe_count = int(min(MAX_PROBES, self.budget))
        pool = self.table.ready_workers if job.probe_rounds else self.table.subset
        if job.class_settings.machine_kind != -1 or job.possibly_executed is not None:
            pool = self.index.eligible(job, partial(is_eligible, job))
        sample = self.context.random.sample(pool, min(len(pool), SAMPLES_PER_PROBE * probe_count))
        warming = (worker for worker in self.index.warming_workers() if worker not in sample)
        suitable = (
            worker
            for worker in chain(warming, sample)
            if worker.may_be_probed(now_ns, FRESH_REPORT_NS) and is_eligible(job, worker)
        )
        return list(islice(suitable, probe_count))
