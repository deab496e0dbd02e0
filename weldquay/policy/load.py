"""Load estimates of workers, from their load reports and the sends of this dispatcher since."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.policy.limits import DEFAULT_SLOTS
from weldquay.policy.step_context import StepContext
from weldquay.state.records import LOAD_REPORT_MAX_AGE_NS, Worker

LEARNING_RATE = 0.1  # smoothing factor of the means: the weight of a new report


@dataclass(slots=True, eq=False)
class LoadEstimates:
    """Estimates the load of workers: slots in use or waited for, minus the capacity.

    Free slots are a negative load.

    Attributes:
        context: the state of the current step.
        mean_slots: moving average of the capacity of workers that reported, in slots.
        mean_zone_load: moving average of the reported loads, by zone.
    """

    context: StepContext
    mean_slots: float = DEFAULT_SLOTS
    mean_zone_load: dict[int, float] = field(default_factory=dict)

    def load(self, worker: Worker) -> float:
        """Return the worker's load: slots of own sends since its report, minus its free slots.

        It is at least the slots of own attempts in flight minus the capacity. A worker without a current
        report is assumed to have the mean load of its zone: assumed idle, it would attract every request.
        """
        slots = worker.estimated_slots if worker.estimated_slots >= 0.5 else self.mean_slots
        own_load = worker.in_flight_slots - round(slots)
        if worker.free_slots is None or self.context.now_ns - worker.reported_ns > LOAD_REPORT_MAX_AGE_NS:
            zone_load = self.mean_zone_load.get(worker.entry.zone, -DEFAULT_SLOTS)
            return max(own_load, worker.in_flight_slots + zone_load)
        return max(own_load, worker.unreported_slots - worker.free_slots)

    def record_zone_load(self, zone: int, load: float) -> None:
        """Update the mean load of a zone with a reported load."""
        mean = self.mean_zone_load.get(zone, load)
        self.mean_zone_load[zone] = mean + LEARNING_RATE * (load - mean)

    def record_overload(self, zone: int) -> None:
        """Update the mean load of a zone with an overload, which counts as a load of 1.

        Ignored unless probes return load reports.
        """
        settings = self.context.settings
        if settings.may_probe and settings.reports_in_probes:
            mean = self.mean_zone_load.get(zone, -DEFAULT_SLOTS)
            self.mean_zone_load[zone] = mean + LEARNING_RATE * (1.0 - mean)

    def record_capacity(self, slots: float) -> None:
        """Update the mean capacity with that of a worker that reported, in slots."""
        self.mean_slots = max(1.0, self.mean_slots + LEARNING_RATE * (slots - self.mean_slots))
