"""Handling of workers' callbacks: each reports the progress or the end of an attempt in flight."""

from __future__ import annotations

import logging
import time

from weldquay import interface as api
from weldquay.net.attempt_table import AttemptTable
from weldquay.net.counters import Counters
from weldquay.net.event_queue import EventQueue
from weldquay.net.late_outcomes import ANY_OUTCOME, RETURNED, CallbackSubject, callback_subject
from weldquay.net.messages import Callback
from weldquay.net.requests import Attempt

log = logging.getLogger(__name__)


class CallbackHandler:
    """Applies callbacks to the attempts in flight.

    A callback that may be about an earlier attempt of the request at the same worker proves nothing about the
    attempt in flight.  See `late_outcomes`.
    """

    def __init__(self, counters: Counters, events: EventQueue, attempts: AttemptTable) -> None:
        self._counters = counters
        self._events = events
        self._attempts = attempts

    def handle(self, callback: Callback) -> bool:
        """Apply a callback; return False if it matches no attempt in flight and is ignored."""
        attempt = self._attempts.by_worker.get((callback.id, callback.worker_id))
        if attempt is None:
            self._counters.add("callbacks_unmatched")
            return False
        self._counters.add("callbacks")
        if callback.outcome is None:
            self._record_progress(attempt, callback.progress)
        else:
            self._end_attempt(attempt, callback, callback.outcome)
        return True

    def _record_progress(self, attempt: Attempt, progress: float | None) -> None:
        attempt.started_ns = attempt.started_ns or time.monotonic_ns()
        request = attempt.request
        self._events.enqueue(
            api.AttemptProgress(request.number, attempt.number, attempt.worker_number, progress)
        )

    def _end_attempt(self, attempt: Attempt, callback: Callback, outcome: api.Outcome) -> None:
        late_outcomes = attempt.request.late_outcomes.at_worker(attempt.worker_id)
        subject = callback_subject(outcome, late_outcomes, attempt.started_ns > 0)
        if subject is CallbackSubject.IN_FLIGHT:
            self._end_by_worker(attempt, callback, outcome)
            return
        log.info(
            "callback of worker %s with outcome %s for request %s, attempt %d, is about %s",
            attempt.worker_id,
            outcome.value,
            attempt.request.id,
            attempt.number,
            subject.value,
        )
        if subject is CallbackSubject.EARLIER:
            self._counters.add("callbacks_of_earlier_attempts")
        else:
            self._end_uncertain(attempt, callback, outcome)

    def _end_by_worker(self, attempt: Attempt, callback: Callback, outcome: api.Outcome) -> None:
        """End an attempt that its worker has ended."""
        if outcome.never_executed:
            attempt.request.late_outcomes.add(attempt.worker_id, RETURNED)
            if attempt.started_ns:
                outcome = _without_proof(attempt, outcome)
        self._attempts.end(attempt, outcome, callback.load_report, callback.result)

    def _end_uncertain(self, attempt: Attempt, callback: Callback, outcome: api.Outcome) -> None:
        """Apply a callback that may be about an earlier attempt.

        The attempt in flight may be running, so it is cancelled at the worker before another one is sent.  A
        job that must not run twice is not sent again in any case: its attempt remains in flight until another
        callback or its deadline ends it.
        """
        self._counters.add("callbacks_uncertain")
        if outcome.never_executed and attempt.request.is_non_idempotent:
            return
        attempt.request.late_outcomes.add(attempt.worker_id, ANY_OUTCOME)
        outcome = _without_proof(attempt, outcome)
        self._attempts.end(attempt, outcome, callback.load_report, callback.result)
        self._attempts.cancel_at_worker(attempt)


def _without_proof(attempt: Attempt, outcome: api.Outcome) -> api.Outcome:
    """Return the outcome of an attempt that may have been executed although the callback denies it."""
    if outcome.never_executed and not attempt.request.is_idempotent:
        return api.Outcome.UNKNOWN
    return outcome
