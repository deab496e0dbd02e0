"""Priorities of queued requests, from their latest useful start and their weight."""

from __future__ import annotations

import math
from dataclasses import dataclass

from weldquay.policy.runtime_model import RuntimeModel
from weldquay.policy.step_context import StepContext
from weldquay.state.records import Job

PRIORITY_GRACE_FRACTION = 0.5  # fraction of the latency objective before the priority starts to decay


@dataclass(slots=True, eq=False)
class RequestPriorities:
    """Computes latest starts, weights and priorities of queued requests.

    Attributes:
        context: the state of the current step.
        runtime_model: expected running times.
    """

    context: StepContext
    runtime_model: RuntimeModel

    def latest_start_ns(self, job: Job) -> float:
        """Return the latest start that is likely to meet the latency objective.

        Half of the mean running time is used as an estimate of its median. The request must also end before
        the dispatcher shuts down.
        """
        rules = job.class_settings
        expected_ns = self.runtime_model.expected_ns(job)
        spare_ns = rules.latency_objective_ns + max(0.0, rules.runtime_allowance - 1) * expected_ns / 2
        return min(job.first_received_ns + spare_ns, self.context.shutdown_ns - expected_ns)

    def weight_per_work(self, job: Job) -> float:
        """Return the request's priority weight per nanosecond of work.

        If the settings already give weights per work, it is the weight itself.
        """
        work_ns = 1.0
        if not self.context.settings.weights_per_work:
            work_ns = max(1.0, self.runtime_model.expected_ns(job))
        return job.class_settings.priority_weight / work_ns

    def queue_priority(self, job: Job) -> float:
        """Return the request's priority in the queue, and record on it how long the value is valid.

        Without a runtime hint, the chance of meeting the objective falls while the request waits, as it can
        only be met if the running time is at least as long as the excess wait. So the priority decays with
        the wait. Otherwise, under overload, the queue would degrade to first in, first out, with every
        request late.
        """
        weight, latest_start_ns = self.weight_per_work(job), self.latest_start_ns(job)
        has_hint = job.request.runtime_hint_ns
        now_ns, objective_ns = self.context.now_ns, job.class_settings.latency_objective_ns
        excess_wait_ns = now_ns - job.first_received_ns - PRIORITY_GRACE_FRACTION * objective_ns
        job.latest_start_ns = latest_start_ns
        job.priority_valid_until_ns = math.inf
        if now_ns > latest_start_ns:
            return weight * job.class_settings.late_weight
        job.priority_valid_until_ns = (
            latest_start_ns if has_hint else min(latest_start_ns, now_ns - excess_wait_ns)
        )
        if has_hint or excess_wait_ns <= 0:
            return weight
        return weight * math.exp(-excess_wait_ns / self.runtime_model.expected_ns(job))
