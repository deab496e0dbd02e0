"""Cold workers: how much work may still go there from this dispatcher."""

from __future__ import annotations

import math

from weldquay.fleet.slow_start import Cold, room
from weldquay.ledger.records import Worker
from weldquay.policy.times import Times


class ColdStarts(Times):
    """The turns of `weldquay/fleet/slow_start.py`, for the workers as this dispatcher knows them."""

    def _cold_room(self, worker: Worker) -> float:
        """Work that may still go to a worker: without limit once warm, else this dispatcher's part."""
        rules, age_ns = self.settings, self.now_ns - worker.started_ns
        if worker.started_ns == 0 or age_ns >= rules.warm_after_ns:
            return math.inf
        if self.now_ns != worker.cold_ns:
            slots = worker.size if worker.size >= 0.5 else self.usual_size
            common = worker.entry.common if worker.back_ns <= worker.entry.started_ns else None
            worker.cold_ns, worker.cold_room = (
                self.now_ns,
                room(
                    self.rule,
                    Cold(
                        common,
                        age_ns,
                        slots / self.running.pace(worker.entry.kind),
                        rules.me,
                        rules.dispatchers,
                        self.begun_ns - worker.started_ns,
                        self.running.doubt(worker.entry.kind),
                        self.running.work(),
                        self._rate() * self.rule.slice_ns + len(self.held),
                        self.cold,
                    ),
                    worker.pushed,
                ),
            )
        return worker.cold_room
