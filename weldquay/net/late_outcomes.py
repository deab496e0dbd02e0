"""The outcomes that callbacks of ended attempts may still report.

A callback names the request and the worker, but not the attempt.  A worker repeats a callback until it gets a
response, and it may report on an attempt that this dispatcher has given up.  So a callback for an attempt in
flight may be about an earlier attempt of the same request at the same worker.

Source: the page PROTOCOL, dispatchers to match workers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from weldquay.interface import Outcome

Outcomes = frozenset[Outcome]

NO_OUTCOME: Outcomes = frozenset()
RETURNED: Outcomes = frozenset({Outcome.OVERLOADED})
ANY_OUTCOME: Outcomes = frozenset({Outcome.OK, Outcome.ERROR, Outcome.OVERLOADED, Outcome.RESET})


@dataclass(slots=True)
class LateOutcomes:
    """The outcomes that late callbacks of one request may report.

    Attributes:
        by_worker: the outcomes by the id of the worker.
        elsewhere: the outcomes at any worker; not empty if the earlier attempts of the request are unknown.
    """

    by_worker: dict[str, Outcomes] = field(default_factory=dict)
    elsewhere: Outcomes = NO_OUTCOME

    def add(self, worker_id: str, outcomes: Outcomes) -> None:
        """Add outcomes that callbacks of an attempt may report after its end."""
        self.by_worker[worker_id] = self.by_worker.get(worker_id, NO_OUTCOME) | outcomes

    def at_worker(self, worker_id: str) -> Outcomes:
        """Return the outcomes that late callbacks of a worker may report."""
        return self.by_worker.get(worker_id, NO_OUTCOME) | self.elsewhere

    def reported(self) -> dict[str, Outcomes] | None:
        """Return the outcomes by worker for another process; None if the earlier attempts are unknown."""
        return None if self.elsewhere else dict(self.by_worker)


class CallbackSubject(Enum):
    """The attempt that a callback is about."""

    IN_FLIGHT = "the attempt in flight"
    EARLIER = "an earlier attempt"
    UNCERTAIN = "one of them"


def callback_subject(outcome: Outcome, late_outcomes: Outcomes, has_started: bool) -> CallbackSubject:
    """Return which attempt a callback that ends an attempt is about.

    Args:
        outcome: the outcome that the callback reports.
        late_outcomes: the outcomes that callbacks of earlier attempts at the same worker may report.
        has_started: whether the worker has reported the start of an attempt since the last one was sent.
    """
    if outcome is Outcome.OK or outcome not in late_outcomes:
        # A result answers the request, whichever attempt it is from.
        return CallbackSubject.IN_FLIGHT
    if has_started and late_outcomes == RETURNED:
        # The earlier attempts were handed back unstarted, so it is the one in flight that has started.
        return CallbackSubject.EARLIER
    return CallbackSubject.UNCERTAIN


def migrated_late_outcomes(
    reported: Mapping[str, Outcomes] | None, has_ended_attempts: bool, is_idempotent: bool
) -> LateOutcomes:
    """Return the late outcomes of a request that an older process has migrated.

    Args:
        reported: the outcomes by worker; None: the older process runs a release that does not report them.
        has_ended_attempts: whether attempts of the request have ended in the older process.
        is_idempotent: whether the job may be executed more than once.  Other jobs migrate only if each ended
            attempt was not executed.
    """
    if reported is not None:
        return LateOutcomes(dict(reported))
    if not has_ended_attempts:
        return LateOutcomes()
    return LateOutcomes(elsewhere=ANY_OUTCOME if is_idempotent else RETURNED)
