"""Execution of the decision module's actions on the network."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from weldquay import interface as api
from weldquay.net.attempt_table import AttemptTable
from weldquay.net.counter_names import ATTEMPT_COUNTERS, RESERVATION_COUNTERS
from weldquay.net.counters import Counters
from weldquay.net.endpoint_list_adapter import EndpointListAdapter
from weldquay.net.event_queue import EventQueue
from weldquay.net.request_log import RequestEvent
from weldquay.net.request_table import RequestTable
from weldquay.net.requests import Attempt, ClientRequest, DiscoveryWatcher, Failed, Rejected, WorkerClient
from weldquay.policy.timers import TimerToken

log = logging.getLogger(__name__)

NS_PER_MS = 1_000_000


class ActionExecutor:
    """Executes the actions of a decision step; `handlers` maps each action type to its handler.

    `workers` and `discovery` must be set before the first action is executed.
    """

    workers: WorkerClient
    discovery: DiscoveryWatcher

    def __init__(
        self,
        counters: Counters,
        events: EventQueue,
        requests: RequestTable,
        attempts: AttemptTable,
        endpoint_list: EndpointListAdapter,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._counters = counters
        self._events = events
        self._requests = requests
        self._attempts = attempts
        self._worker_ids = endpoint_list.worker_ids
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._deadline_ns = 0  # when that timer is due, on the monotonic clock
        self.handlers: dict[type[api.Action], Callable[[Any], None]] = {
            api.Send: self._send,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.CloseIdleConnections: self._close_idle_connections,
            api.WatchEndpoints: self._watch_endpoints,
            api.Log: self._log,
            api.ReservationEnded: self._reservation_ended,
            api.SendToPeer: self._send_to_peer,
        }

    def _send(self, action: api.Send) -> None:
        now_ns = time.monotonic_ns()
        request = self._requests.by_number.get(action.request_id)
        worker_id = self._worker_ids[action.worker]
        if (
            request is None
            or not request.is_open
            or now_ns >= request.deadline_ns
            or request.attempts_started >= request.max_attempts
            or (request.id, worker_id) in self._attempts.by_worker
        ):
            self._abort_before_send(action, request)
            return
        self._counters.add("attempts")
        number = request.attempts_started
        if number:
            self._counters.request_log.write(
                RequestEvent.RETRIED, request.id, f"attempt {number} at worker {worker_id}"
            )
        request.attempts_started += 1
        deadline_ns = request.deadline_ns
        if action.timeout_ns:
            deadline_ns = min(deadline_ns, now_ns + action.timeout_ns)
        attempt = Attempt(
            request, number, action.worker, worker_id, now_ns, deadline_ns, action.send_before_ns
        )
        self._attempts.add(attempt)
        self.workers.send(attempt)

    def _abort_before_send(self, action: api.Send, request: ClientRequest | None) -> None:
        """Report an attempt that may no longer be started."""
        number = 0
        if request is not None:
            number = request.attempts_started
            request.attempts_started += 1
        outcome = api.Outcome.ABORTED_BEFORE_SEND
        self._counters.add(ATTEMPT_COUNTERS[outcome])
        is_finished = request is None or not request.is_open
        self._events.enqueue(
            api.AttemptEnded(action.request_id, number, action.worker, outcome, 0, is_finished)
        )

    def _reject(self, action: api.Reject) -> None:
        self._requests.finish(
            self._requests.by_number.get(action.request_id), Rejected(action.retry_after_ns)
        )

    def _fail(self, action: api.Fail) -> None:
        self._requests.finish(self._requests.by_number.get(action.request_id), Failed())

    def _cancel(self, action: api.Cancel) -> None:
        attempt = self._attempts.by_number.get((action.request_id, action.attempt))
        if attempt is not None:
            self._attempts.cancel(attempt, api.Outcome.CANCELLED)

    def schedule_deadline(self, deadline_ns: int | None) -> None:
        """Schedule a step at the earliest deadline of all requests; None: there is none."""
        if self._deadline_timer is not None:
            if deadline_ns is not None and deadline_ns >= self._deadline_ns:
                return  # the timer is early, and then scheduled again
            self._deadline_timer.cancel()
            self._deadline_timer = None
        if deadline_ns is not None:
            self._deadline_ns = deadline_ns
            delay_s = max(0, deadline_ns - time.monotonic_ns()) / 1e9
            self._deadline_timer = self._loop.call_later(delay_s, self._on_deadline)

    def _on_deadline(self) -> None:
        self._deadline_timer = None
        self._events.enqueue(api.TimerDue(TimerToken.REQUEST_DEADLINE))

    def _set_timer(self, action: api.SetTimer) -> None:
        """Start a timer, but none for a deadline: one timer serves all deadlines.

        A timer for each would outlive its request, by a day if the client says so.
        """
        if action.token == TimerToken.REQUEST_DEADLINE:
            return
        self._loop.call_later(action.delay_ns / 1e9, self._events.enqueue, api.TimerDue(action.token))

    def _probe(self, action: api.Probe) -> None:
        self._counters.add("probes")
        self.workers.probe(self._worker_ids[action.worker])

    def _close_idle_connections(self, action: api.CloseIdleConnections) -> None:
        self.workers.close_idle(self._worker_ids[action.worker])

    def _watch_endpoints(self, _action: api.WatchEndpoints) -> None:
        self.discovery.watch()

    def _log(self, action: api.Log) -> None:
        log.info("%s", action.text)

    def _reservation_ended(self, action: api.ReservationEnded) -> None:
        self._counters.add(RESERVATION_COUNTERS[action.reason])
        request = self._requests.by_number.get(action.request_id)
        log.info(
            "reservation ended: request %s, worker %s, reason %s, held %.0f ms, %.0f ms later than planned",
            request.id if request is not None else action.request_id,
            self._worker_ids[action.worker],
            action.reason,
            action.reserved_ns / NS_PER_MS,
            action.delay_ns / NS_PER_MS,
        )

    def _send_to_peer(self, _action: api.SendToPeer) -> None:
        log.warning("message to a peer dropped: peers are connected only in the simulator")
