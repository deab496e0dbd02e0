"""The table of client requests that are open or have attempts in flight, and their results."""

from __future__ import annotations

import asyncio
import logging
import time

from weldquay import interface as api
from weldquay.net.counters import Counters
from weldquay.net.event_queue import EventQueue
from weldquay.net.request_log import RequestEvent
from weldquay.net.requests import ClientRequest, Completed, Failed, Rejected, RequestResult

log = logging.getLogger(__name__)

RESULT_GRACE_NS = 10_000_000  # how long after its deadline a request waits for the decision module's result
MAX_REQUEST_NUMBERS = 2**32

RESULT_COUNTERS: dict[type[RequestResult], str] = {
    Completed: "requests_completed",
    Rejected: "requests_rejected",
    Failed: "requests_failed",
}


class RequestTable:
    """The requests by number.  Each has a timer that finishes it if it has no result after its deadline."""

    def __init__(self, counters: Counters, events: EventQueue) -> None:
        self._loop = asyncio.get_running_loop()
        self._counters = counters
        self._events = events
        self._last_number = 0
        self.by_number: dict[int, ClientRequest] = {}

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self.by_number)

    def add(self, request: ClientRequest) -> None:
        """Assign a number to a request and start its deadline timer."""
        self._last_number = (self._last_number + 1) % MAX_REQUEST_NUMBERS
        request.number = self._last_number
        # The timer uses call_soon so that, after a stall of the event loop, a decision step that is already
        # scheduled can finish the request first.
        request.deadline_timer = self._loop.call_later(
            max(0, request.deadline_ns + RESULT_GRACE_NS - time.monotonic_ns()) / 1e9,
            self._loop.call_soon,
            self._on_deadline_passed,
            request,
        )
        self.by_number[request.number] = request

    def finish(self, request: ClientRequest | None, result: RequestResult) -> None:
        """Report the result of a request to its client; ignored if the request has already ended."""
        if request is not None and request.is_open:
            self.close(request)
            self._counters.add(RESULT_COUNTERS[type(result)])
            self._log_result(request, result)
            try:
                request.on_result(result)
            except Exception:  # the tables and the decision module still have to record the end
                log.exception("the result of request %s was not delivered", request.id)
                self._counters.add("results_undelivered")

    def _log_result(self, request: ClientRequest, result: RequestResult) -> None:
        """Log a result other than the job's own."""
        if isinstance(result, Completed):
            return
        event = RequestEvent.REJECTED if isinstance(result, Rejected) else RequestEvent.FAILED
        remaining_ms = (request.deadline_ns - time.monotonic_ns()) / 1e6
        self._counters.request_log.write(
            event,
            request.id,
            f"{remaining_ms:.0f} ms before its deadline, after {request.attempts_started} attempts, "
            f"{'possibly' if request.may_have_been_executed else 'never'} executed",
        )

    def disconnect(self, request: ClientRequest) -> None:
        """End a request whose client disconnected before the result."""
        if request.is_open:
            self._counters.add("clients_disconnected")
            remaining_ms = (request.deadline_ns - time.monotonic_ns()) / 1e6
            self._counters.request_log.write(
                RequestEvent.CLIENT_LEFT,
                request.id,
                f"{remaining_ms:.0f} ms before its deadline, after {request.attempts_started} attempts",
            )
            self.close(request)
            self._events.enqueue(api.ClientDisconnected(request.number))

    def close(self, request: ClientRequest) -> None:
        """Mark a request as ended; it remains in the table until its last attempt has ended."""
        request.is_open = False
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if not request.in_flight:
            del self.by_number[request.number]

    def _on_deadline_passed(self, request: ClientRequest) -> None:
        """Finish a request that the decision module has not finished by its deadline.

        A request that no worker can have executed is rejected, which tells the client that a retry is safe.
        """
        if request.is_open:
            result: RequestResult = Failed() if request.may_have_been_executed else Rejected()
            kind = type(result).__name__.lower()
            log.error("request %s had no result by its deadline: %s", request.id, kind)
            self._counters.add("requests_past_deadline")
            self.finish(request, result)
            self._events.enqueue(api.ClientDisconnected(request.number))
