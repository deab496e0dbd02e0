"""Selects a worker for a request: collects candidates and draws one by the water-fill."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from operator import mul

from weldquay.candidates.candidate_group import CandidateGroup, split_small_groups, worker_count
from weldquay.candidates.index import CandidateIndex
from weldquay.estimators.report_interval import ReportIntervalEstimator
from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.policy.eligibility import Eligibility
from weldquay.policy.limits import DEFAULT_SLOTS
from weldquay.policy.load import LoadEstimates
from weldquay.policy.probing import Probing
from weldquay.policy.send_rate import SendRate
from weldquay.policy.step_context import StepContext
from weldquay.policy.water_fill import water_fill
from weldquay.policy.worker_table import WorkerTable
from weldquay.state.records import Job, Worker

MIN_FRESH_CANDIDATES = 4  # with at least this many fresh candidates, no worker is probed first
# Load in slots, for each expected request, that is added to workers in another zone if crossing zones has a
# cost.
CROSS_ZONE_LOAD = 2.0
MAX_UNREPORTED_LOAD = 0.5  # maximum load in slots of a worker without a report, including the request
MAX_UNPROBED_LOAD = -0.5  # maximum load in slots of a worker without a report that can be probed for one


@dataclass(slots=True, eq=False)
class Placement:
    """Selects a worker for a request.

    Attributes:
        context: the state of the current step.
        table: provides the ready and the reinstated workers.
        index: the candidate index.
        eligibility: decides which workers may take a request.
        probing: sends probe rounds.
        load_estimates: loads of workers and zones.
        estimator: provides machine speeds.
        send_rate: the rate of sends.
        report_interval: how often workers refresh their load reports.
    """

    context: StepContext
    table: WorkerTable
    index: CandidateIndex
    eligibility: Eligibility
    probing: Probing
    load_estimates: LoadEstimates
    estimator: RuntimeEstimator
    send_rate: SendRate
    report_interval: ReportIntervalEstimator

    def select_worker(self, job: Job) -> Worker | None:
        """Return a worker for the request; None if none may take it or it waits for probe results."""
        settings = self.context.settings
        groups = self.index.reported_candidates(job, partial(self.eligibility.is_eligible, job))
        arrivals = settings.dispatcher_count * self.send_rate.per_ns() * self.report_interval.interval_ns
        individuals = [group for group in groups if group.is_individual]
        reinstated = self.table.reinstated
        # Reinstated workers come first: otherwise nearer or faster ones could keep them unused.
        if preferred := [group for group in individuals if group.first.entry.worker in reinstated]:
            groups = preferred
        elif settings.may_probe and settings.reports_in_probes:
            fresh = [group for group in groups if group.is_fresh]
            warming = [group for group in individuals if group.first.entry.worker in self.index.warming]
            min_fresh = 1 if job.probe_rounds else MIN_FRESH_CANDIDATES
            if not warming and worker_count(fresh) < min_fresh and self.probing.probe_candidates(job):
                return None
            fresh = warming or [group for group in fresh if group.in_subset] or fresh
            if groups:
                arrivals *= self._arrival_fraction(fresh or groups, groups)
            groups = fresh or groups or self.unreported_candidates(job)
        else:
            groups += self.unreported_candidates(job)
        return self.draw_worker(split_small_groups(groups), arrivals) if groups else None

    def _arrival_fraction(self, used: list[CandidateGroup], groups: list[CandidateGroup]) -> float:
        """Return the fraction of all dispatchers' requests that the used candidates are expected to get.

        Other dispatchers select among other workers, as each has load reports of only some of them.
        """
        return min(
            1.0,
            self.index.usable_count
            * worker_count(used)
            / (worker_count(groups) * len(self.table.ready_workers)),
        )

    def unreported_candidates(self, job: Job) -> list[CandidateGroup]:
        """Return the workers without a report that may have free slots, judged by their zone's mean load."""
        max_load = MAX_UNPROBED_LOAD if self.context.settings.may_probe else MAX_UNREPORTED_LOAD
        min_zone_load = min(self.load_estimates.mean_zone_load.values(), default=-DEFAULT_SLOTS)
        if min_zone_load + job.request.slots > max_load:
            return []
        return self.index.unreported_candidates(
            job.request, partial(self.eligibility.is_eligible, job), max_load
        )

    def draw_worker(self, groups: list[CandidateGroup], arrivals: float) -> Worker:
        """Draw a worker at random by the shares of the water-fill.

        Args:
            groups: the candidates, at least one.
            arrivals: requests that the candidates are expected to get within a report interval.
        """
        settings = self.context.settings
        counts = [len(group.members) for group in groups]
        rates = [1 / self.estimator.relative_runtime(group.first.entry.kind) for group in groups]
        total_rate, worker_total = sum(map(mul, rates, counts)), sum(counts)
        rates = [rate * worker_total / total_rate for rate in rates]
        loads = list[float]()
        for group, rate in zip(groups, rates, strict=True):
            first = group.first
            slots = round(first.estimated_slots or self.load_estimates.mean_slots)
            load = group.load + slots
            if settings.cross_zone_cost > 0 and first.entry.zone != settings.zone:
                load += CROSS_ZONE_LOAD * max(1.0, arrivals * rate)
            loads.append(load)
        weights = list(map(mul, water_fill(loads, arrivals, rates, counts), counts))
        if not any(weights):  # the loads are so large that the arrivals are lost in rounding
            weights = list(map(float, counts))
        members = self.context.random.choices(groups, weights)[0].members
        return members[0] if len(members) == 1 else self.context.random.choice(members)
