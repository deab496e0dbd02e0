"""The periodic timer that ensures regular steps while requests are queued or in flight."""

from __future__ import annotations

from dataclasses import dataclass

from weldquay.interface import SetTimer
from weldquay.policy.outlier_ejection import OutlierEjection
from weldquay.policy.request_table import RequestTable
from weldquay.policy.step_context import StepContext
from weldquay.policy.timers import NOT_SCHEDULED, TimerToken

PLACEMENT_INTERVAL_NS = 100_000_000  # interval of placing queued requests; below a report interval
HEALTH_CHECK_INTERVAL_NS = 250_000_000  # well below the time after which a worker is unresponsive


@dataclass(slots=True, eq=False)
class PeriodicCheck:
    """Ejects unresponsive workers, and keeps a timer set while requests are queued or in flight.

    Attributes:
        context: the state of the current step.
        requests: the queue and the attempts in flight.
        ejection: ejects workers.
        last_checked_ns: when workers were last checked.
        next_check_ns: when the timer is due; `NOT_SCHEDULED` if none is set.
    """

    context: StepContext
    requests: RequestTable
    ejection: OutlierEjection
    last_checked_ns: int = 0
    next_check_ns: int = NOT_SCHEDULED

    def run(self) -> None:
        """Handle the due timer: eject the unresponsive workers of attempts in flight."""
        now_ns = self.context.now_ns
        self.next_check_ns = NOT_SCHEDULED
        if now_ns - self.last_checked_ns >= HEALTH_CHECK_INTERVAL_NS:
            self.last_checked_ns = now_ns
            self.ejection.eject_unresponsive(list(self.requests.attempts.values()))

    def schedule(self) -> None:
        """Set the timer of the next check if one is needed and none is set that is due early enough."""
        now_ns, requests = self.context.now_ns, self.requests
        interval_ns = PLACEMENT_INTERVAL_NS if requests.queued else HEALTH_CHECK_INTERVAL_NS
        is_set = now_ns < self.next_check_ns <= now_ns + interval_ns
        if (requests.queued or requests.attempts) and not is_set:
            self.next_check_ns = now_ns + interval_ns
            self.context.actions.append(SetTimer(interval_ns, TimerToken.PERIODIC_CHECK))
