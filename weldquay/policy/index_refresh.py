"""Giving the index of candidates the state of a step before requests are placed."""

from __future__ import annotations

from dataclasses import dataclass

from weldquay.candidates.index import CandidateIndex
from weldquay.candidates.inputs import CandidateInputs
from weldquay.policy.load import LoadEstimates
from weldquay.policy.slow_start import SlowStart
from weldquay.policy.step_context import StepContext
from weldquay.policy.worker_table import WorkerTable


@dataclass(slots=True, eq=False)
class IndexRefresh:
    """Renews what the index reads of the other parts.

    Attributes:
        context: the step.
        table: the ready workers and the preferred subset.
        inputs: what the index reads.
        index: the candidates.
        load_estimates: the mean capacity.
        slow_start: uses the number of warming workers, which the index counts.
    """

    context: StepContext
    table: WorkerTable
    inputs: CandidateInputs
    index: CandidateIndex
    load_estimates: LoadEstimates
    slow_start: SlowStart

    def begin_placement(self) -> None:
        """Start the placements of this step."""
        inputs, context, table = self.inputs, self.context, self.table
        inputs.now_ns = context.now_ns
        inputs.settings = context.settings
        inputs.ready_workers = table.ready_workers
        inputs.subset = table.subset
        inputs.mean_slots = self.load_estimates.mean_slots
        self.index.begin_step()
        # A start time of 0 means long ago. So while the clock is younger than a slow start, a recent start
        # may look like an old one, and all workers count as warming up.
        is_clock_young = context.now_ns < context.settings.slow_start_ns
        self.slow_start.warming_count = len(table.ready_workers if is_clock_young else self.index.warming)
