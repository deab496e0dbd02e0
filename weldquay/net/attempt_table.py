"""The table of attempts in flight, which also enforces their deadlines."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from weldquay import interface as api
from weldquay.net.counter_names import ATTEMPT_COUNTERS
from weldquay.net.counters import Counters
from weldquay.net.event_queue import EventQueue
from weldquay.net.late_outcomes import ANY_OUTCOME
from weldquay.net.request_log import RequestEvent
from weldquay.net.request_table import RequestTable
from weldquay.net.requests import Attempt, Completed


class AttemptTable:
    """The attempts that have not ended, indexed by number and by worker."""

    def __init__(
        self,
        counters: Counters,
        events: EventQueue,
        requests: RequestTable,
        cancel_at_worker: Callable[[Attempt], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._counters = counters
        self._events = events
        self._requests = requests
        self.cancel_at_worker = cancel_at_worker
        self.by_number: dict[tuple[int, int], Attempt] = {}  # keys: request number, attempt number
        self.by_worker: dict[tuple[str, str], Attempt] = {}  # keys: request id, worker id

    def __len__(self) -> int:
        """Return the number of attempts in flight."""
        return len(self.by_number)

    def add(self, attempt: Attempt) -> None:
        """Add an attempt and start its deadline timer."""
        request = attempt.request
        attempt.deadline_timer = self._loop.call_later(
            max(0, attempt.deadline_ns - time.monotonic_ns()) / 1e9,
            self.cancel,
            attempt,
            api.Outcome.TIMEOUT,
        )
        request.in_flight[attempt.number] = attempt
        self.by_number[request.number, attempt.number] = attempt
        self.by_worker[request.id, attempt.worker_id] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Mark an attempt as ended and remove it, without an event for the decision module."""
        attempt.has_ended = True
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
        request = attempt.request
        del self.by_number[request.number, attempt.number]
        del self.by_worker[request.id, attempt.worker_id]
        del request.in_flight[attempt.number]

    def end(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        load_report: api.LoadReport | None = None,
        result: str = "",
    ) -> None:
        """End an attempt with an outcome; if that is OK, answer the request.

        Calls for an attempt that has already ended have no effect.
        """
        if attempt.has_ended:
            return
        self.remove(attempt)
        request = attempt.request
        self._counters.add(ATTEMPT_COUNTERS[outcome])
        if outcome is not api.Outcome.OK:
            self._counters.request_log.write(
                RequestEvent.ATTEMPT_ENDED,
                request.id,
                f"attempt {attempt.number} at worker {attempt.worker_id}, outcome {outcome.value}",
            )
        if not outcome.never_executed:
            request.possibly_executed = True
            if attempt.possibly_sent:
                request.late_outcomes.add(attempt.worker_id, ANY_OUTCOME)
        if outcome is api.Outcome.OK:
            self._requests.finish(request, Completed(result))
        is_finished = not request.is_open
        if is_finished and not request.in_flight:
            self._requests.by_number.pop(request.number, None)
        self._events.enqueue(
            api.AttemptEnded(
                request.number,
                attempt.number,
                attempt.worker_number,
                outcome,
                time.monotonic_ns() - attempt.sent_ns,
                is_finished,
                load_report,
            )
        )

    def cancel(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """End an attempt as CANCELLED or TIMEOUT, and cancel its job at the worker."""
        if not attempt.has_ended:
            self.end(attempt, outcome)
            self.cancel_at_worker(attempt)
