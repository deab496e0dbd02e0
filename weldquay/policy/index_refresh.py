"""Updates the inputs of the candidate index in each step, before requests are placed."""

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
    """Copies what the candidate index reads from the other components.

    Attributes:
        context: the state of the current step.
        table: provides the ready workers and the preferred subset.
        inputs: the inputs of the index.
        index: the candidate index.
        load_estimates: provides the mean capacity.
        slow_start: gets the number of workers that are warming up, which the index counts.
    """

    context: StepContext
    table: WorkerTable
    inputs: CandidateInputs
    index: CandidateIndex
    load_estimates: LoadEstimates
    slow_start: SlowStart

    def begin_placement(self) -> None:
        """Prepare the index for the placements of this step."""
        inputs, context, table = self.inputs, self.context, self.table
        inputs.now_ns = context.now_ns
        inputs.settings = context.settings
        inputs.ready_workers = table.ready_workers
        inputs.subset = table.subset
        inputs.mean_slots = self.load_estimates.mean_slots
        self.index.begin_step()
        # A start time of 0 means long ago. While the clock reads less than the slow start duration, a recent
        # start cannot be told from that, so all workers count as warming up.
        is_clock_young = context.now_ns < context.settings.slow_start_ns
        self.slow_start.warming_count = len(table.ready_workers if is_clock_young else self.index.warming)
