"""Cold workers: how much work may still go there from this dispatcher."""

from __future__ import annotations

import math

from weldquay.fleet.slow_start import WarmingWorker, remaining_budget_ns
from weldquay.state.records import Worker
from weldquay.policy.times import Times


class ColdStarts(Times):
    """The turns of `weldquay/fleet/slow_start.py`, for the workers as this dispatcher knows them."""

    def _cold_room(self, worker: Worker) -> float:
        """Work that may still go to a worker: without limit once warm, else this dispatcher's part."""
        rules, age_ns = self.settings, self.now_ns - worker.started_ns
        if worker.started_ns == 0 or age_ns >= rules.slow_start_ns:
            return math.inf
        if self.now_ns != worker.slow_start_budget_at_ns:
            slots = worker.estimated_slots if worker.estimated_slots >= 0.5 else self.mean_slots
            common = worker.entry.start_id if worker.reinstated_ns <= worker.entry.started_ns else None
            worker.slow_start_budget_at_ns, worker.slow_start_budget_ns = (
                self.now_ns,
                remaining_budget_ns(
                    self.slow_start_policy,
                    WarmingWorker(
                        common,
                        age_ns,
                        slots / self.runtimes.relative_runtime(worker.entry.kind),
                        rules.dispatcher_index,
                        rules.dispatcher_count,
                        self.started_ns - worker.started_ns,
                        self.runtimes.uncertainty(worker.entry.kind),
                        self.runtimes.mean_work_ns(),
                        self._rate() * self.slow_start_policy.slice_ns + len(self.queued),
                        self.warming_count,
                    ),
                    worker.slow_start_sends,
                ),
            )
        return worker.slow_start_budget_ns
