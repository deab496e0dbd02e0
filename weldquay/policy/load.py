"""The estimated load of workers, by their reports and by what this dispatcher sent since."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldquay.policy.limits import DEFAULT_SLOTS
from weldquay.policy.step_context import StepContext
from weldquay.state.records import LOAD_REPORT_MAX_AGE_NS, Worker

LEARNING_RATE = 0.1  # weight of a new report in the means


@dataclass(slots=True, eq=False)
class LoadEstimates:
    """Loads of workers: slots in use or queued for, minus the capacity. Free slots are a negative load.

    Attributes:
        context: the step.
        mean_slots: mean capacity of the workers that reported, in slots.
        mean_zone_load: mean of the loads that were reported in each zone.
    """

    context: StepContext
    mean_slots: float = DEFAULT_SLOTS
    mean_zone_load: dict[int, float] = field(default_factory=dict)

    def load(self, worker: Worker) -> float:
        """Return the worker's load: own sends since its report minus its free slots.

        It is at least the number of own attempts in flight minus the capacity. A worker without a current
        report counts as the mean of its zone; counted as empty it would attract every request.
        """
        slots = worker.estimated_slots if worker.estimated_slots >= 0.5 else self.mean_slots
        own_load = worker.in_flight_slots - round(slots)
        if worker.free_slots is None or self.context.now_ns - worker.reported_ns > LOAD_REPORT_MAX_AGE_NS:
            zone_load = self.mean_zone_load.get(worker.entry.zone, -DEFAULT_SLOTS)
            return max(own_load, worker.in_flight_slots + zone_load)
        return max(own_load, worker.unreported_slots - worker.free_slots)

    def record_zone_load(self, zone: int, load: float) -> None:
        """Add a reported load to the mean of its zone."""
        mean = self.mean_zone_load.get(zone, load)
        self.mean_zone_load[zone] = mean + LEARNING_RATE * (load - mean)

    def record_overload(self, zone: int) -> None:
        """Add a sign of overload to the mean of its zone, as a load of one.

        It is ignored where probes do not return load reports.
        """
        settings = self.context.settings
        if settings.may_probe and settings.reports_in_probes:
            mean = self.mean_zone_load.get(zone, -DEFAULT_SLOTS)
            self.mean_zone_load[zone] = mean + LEARNING_RATE * (1.0 - mean)

    def record_capacity(self, slots: float) -> None:
        """Add the estimated capacity of a worker that reported, in slots, to the mean."""
        self.mean_slots = max(1.0, self.mean_slots + LEARNING_RATE * (slots - self.mean_slots))
