"""The exchange: where the clients' side, the workers' side and the decisions meet.

It owns the Dispatcher, the tables of calls and attempts, the timers, and the mapping between names on the
sockets and the numbers of the decision module.  Both sides report what happened; the exchange batches that
into `step` and carries out every action.  It knows no HTTP: a call's payload passes through it unopened.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from weldquay import interface as api
from weldquay.policy.dispatcher import Dispatcher
from weldquay.net.request_migration import RequestMigration
from weldquay.net.requests import (
    Answer,
    Attempt,
    ClientRequest,
    Failed,
    Rejected,
    DiscoveryWatcher,
    Completed,
    WorkerClient,
)
from weldquay.net.config import Config, numbered
from weldquay.net.counter_names import (
    ATTEMPT_COUNTERS,
    PROBE_COUNTERS,
    RESERVATION_COUNTERS,
)
from weldquay.net.counters import Counters
from weldquay.net.endpoint_list_adapter import EndpointListAdapter
from weldquay.net.messages import Callback, RequestMetadata

log = logging.getLogger(__name__)

OVERDUE_NS = 10_000_000  # past its deadline by this much a call without an answer is failed here
MS = 1_000_000

ANSWER_COUNTERS: dict[type[Answer], str] = {
    Completed: "answers_served",
    Rejected: "answers_overload",
    Failed: "answers_failed",
}


class RequestCoordinator(EndpointListAdapter, RequestMigration):
    """One dispatcher at work: events in, decisions, actions out."""

    def __init__(self, config: Config, counters: Counters) -> None:
        self.config, self.counters = config, counters
        self.workers: WorkerClient
        self.discovery: DiscoveryWatcher
        self.dispatcher = Dispatcher(config.settings, config.seed)
        self.loop = asyncio.get_running_loop()
        # Fixed for the program's life, so that one start is always the same moment to the module.
        self.epoch_ns = time.time_ns() - time.monotonic_ns()
        self.events: list[api.Event] = []
        self.scheduled = False
        self.calls: dict[int, ClientRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.at_worker: dict[tuple[str, str], Attempt] = {}  # by the call's id and the worker's
        self.last_call = self.last_worker = 0
        self.worker_numbers: dict[str, int] = {}
        self.worker_names: dict[int, str] = {}
        self.bans: set[str] = set()  # workers that operators took out
        self.waits_for_list = False  # requests are held, since the list may be out of date
        self.zones, self.kinds = numbered(config.zones), numbered(config.kinds)

    def start(self, workers: WorkerClient, discovery: DiscoveryWatcher) -> None:
        """Begin with the list that the configuration holds."""
        self.workers, self.discovery = workers, discovery
        self.apply_endpoint_list(self.config.known, api.EndpointListKind.CACHED, self.config.lease)

    @property
    def has_pending_work(self) -> bool:
        """True while a call is in hand or an attempt is out."""
        return bool(self.calls or self.attempts)

    # --- the clients' side ---

    def submit(
        self, job_class: int, figures: RequestMetadata, payload: object, on_answer: Callable[[Answer], None]
    ) -> ClientRequest | None:
        """Take a call in; None where too many are in hand."""
        if len(self.calls) >= self.config.max_open:
            self.counters.add("calls_over_limit")
            return None
        self.counters.add("calls")
        left_ns = figures.time_left_ns
        if left_ns is None:
            left_ns = self.config.settings.classes[job_class].client_timeout_ns
        now_ns = time.monotonic_ns()
        call = self._enter(figures, job_class, payload, now_ns, now_ns + left_ns, on_answer)
        self._tell(self._request(call, left_ns))
        return call

    def _enter(
        self,
        figures: RequestMetadata,
        job_class: int,
        payload: object,
        opened_ns: int,
        deadline_ns: int,
        on_answer: Callable[[Answer], None],
    ) -> ClientRequest:
        self.last_call = (self.last_call + 1) % 2**32
        settings = self.config.settings
        call = ClientRequest(
            figures.id,
            self.last_call,
            payload,
            deadline_ns,
            on_answer,
            figures,
            job_class,
            settings.classes[job_class],
            opened_ns,
            settings.max_attempts,
        )
        # By way of call_soon: after a stall of the loop the step that answers in time comes first.
        call.deadline_timer = self.loop.call_later(
            max(0, deadline_ns + OVERDUE_NS - time.monotonic_ns()) / 1e9,
            self.loop.call_soon,
            self._overdue,
            call,
        )
        self.calls[call.number] = call
        return call

    def _request(self, call: ClientRequest, left_ns: int) -> api.RequestReceived:
        told = call.metadata
        return api.RequestReceived(
            call.number,
            call.job_class,
            left_ns,
            told.slots,
            told.memory,
            told.runtime_hint_ns,
            told.key,
            told.is_retry,
        )

    def reconfigure(self, config: Config) -> None:
        """Take in other settings; calls in hand keep those that they came with."""
        self.config = config
        for names, numbers in ((config.zones, self.zones), (config.kinds, self.kinds)):
            for name in names:
                numbers[name]  # a new one gets the next number
        self._tell(api.SettingsChanged(config.settings))

    def begin_shutdown(self, left_s: float) -> None:
        """Have all that is owed answered within left_s: the program is about to end."""
        self._tell(api.ShutdownStarted(int(left_s * 1e9)))

    def client_disconnected(self, call: ClientRequest) -> None:
        """The client left before its answer."""
        if call.is_open:
            self.counters.add("clients_gone")
            self._close(call)
            self._tell(api.ClientDisconnected(call.number))

    def _overdue(self, call: ClientRequest) -> None:
        """The last resort for a call that the decisions left without its answer."""
        if call.is_open:
            log.error("call %s had no answer by its deadline", call.id)
            self.counters.add("calls_overdue")
            self._answer(call, Failed())
            self._tell(api.ClientDisconnected(call.number))

    def _answer(self, call: ClientRequest | None, answer: Answer) -> None:
        """Give the final answer, unless the call has ended already."""
        if call is not None and call.is_open:
            self._close(call)
            self.counters.add(ANSWER_COUNTERS[type(answer)])
            call.on_answer(answer)

    def _close(self, call: ClientRequest) -> None:
        call.is_open = False
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
        if not call.in_flight:
            del self.calls[call.number]

    # --- the workers' side ---

    def handle_callback(self, told: Callback) -> bool:
        """A worker tells of a job; what comes again or for an ended attempt changes nothing, and is False."""
        attempt = self.at_worker.get((told.id, told.worker_id))
        if attempt is None:
            self.counters.add("callbacks_unmatched")
            return False
        self.counters.add("callbacks")
        if told.outcome is None:
            attempt.started_ns = attempt.started_ns or time.monotonic_ns()
            self._tell(
                api.AttemptProgress(attempt.request.number, attempt.number, attempt.worker, told.progress)
            )
        else:
            self.attempt_ended(attempt, told.outcome, told.load_report, told.result)
        return True

    def attempt_ended(
        self, attempt: Attempt, outcome: api.Outcome, load: api.LoadReport | None = None, result: str = ""
    ) -> None:
        """Tell the one end of an attempt; a second one changes nothing."""
        if attempt.ended:
            return
        self._remove(attempt)
        call = attempt.request
        self.counters.add(ATTEMPT_COUNTERS[outcome])
        call.possibly_executed = call.possibly_executed or not outcome.never_executed
        if outcome is api.Outcome.OK:
            self._answer(call, Completed(result))
        if (over := not call.is_open) and not call.in_flight:
            self.calls.pop(call.number, None)
        self._tell(
            api.AttemptEnded(
                call.number,
                attempt.number,
                attempt.worker,
                outcome,
                time.monotonic_ns() - attempt.sent_ns,
                over,
                load,
            )
        )

    def _register(self, attempt: Attempt) -> None:
        """Count an attempt as out, until its end or its deadline."""
        call = attempt.request
        attempt.deadline_timer = self.loop.call_later(
            max(0, attempt.deadline_ns - time.monotonic_ns()) / 1e9,
            self._give_up,
            attempt,
            api.Outcome.TIMEOUT,
        )
        call.in_flight[attempt.number] = self.attempts[call.number, attempt.number] = attempt
        self.at_worker[call.id, attempt.worker_id] = attempt

    def _remove(self, attempt: Attempt) -> None:
        attempt.ended = True
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
        call = attempt.request
        del self.attempts[call.number, attempt.number]
        del self.at_worker[call.id, attempt.worker_id]
        del call.in_flight[attempt.number]

    def probe_ended(
        self, worker_id: str, outcome: api.Outcome, latency_ns: int, load: api.LoadReport | None = None
    ) -> None:
        """Tell a probe's result."""
        self.counters.add(PROBE_COUNTERS[outcome])
        if (number := self.worker_numbers.get(worker_id)) is not None:
            self._tell(api.ProbeEnded(number, outcome, latency_ns, load))

    # --- operators ---

    def is_known_worker(self, worker_id: str) -> bool:
        """True where the list has ever named the worker, or a ban does."""
        return worker_id in self.worker_numbers or worker_id in self.bans

    def ban(self, worker_id: str, on: bool) -> None:
        """Take a worker out, whatever the list says, or (on False) put it back."""
        if on != (worker_id in self.bans):
            (self.bans.add if on else self.bans.discard)(worker_id)
            self.workers.set_banned(worker_id, on)
            self._tell(api.WorkerBanChanged(self._number(worker_id), on))

    # --- decisions ---

    def _tell(self, event: api.Event) -> None:
        """Book an event for the next step, which takes in all that this turn of the loop brings."""
        self.events.append(event)
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._step)

    def _step(self) -> None:
        self.scheduled = False
        events, self.events = self.events, []
        started_ns = time.monotonic_ns()
        try:
            actions = self.dispatcher.step(started_ns, events)
        except Exception:  # the calls of this batch are failed at their deadlines, the others go on
            log.exception("a step of the decisions failed on %r", events)
            self.counters.add("steps_failed")
            return
        for action in actions:
            self._do(action)
        self._log_lease_changes(started_ns)
        self.counters.add("steps")
        self.counters.peak("longest_step_ms", (time.monotonic_ns() - started_ns) / 1e6)

    def _do(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Reject():
                self._answer(self.calls.get(action.request_id), Rejected(action.retry_after_ns))
            case api.Fail():
                self._answer(self.calls.get(action.request_id), Failed())
            case api.Cancel():
                attempt = self.attempts.get((action.request_id, action.attempt))
                if attempt is not None:
                    self._give_up(attempt, api.Outcome.CANCELLED)
            case api.SetTimer():
                self.loop.call_later(action.delay_ns / 1e9, self._tell, api.TimerDue(action.token))
            case api.Probe():
                self.counters.add("probes")
                self.workers.probe(self.worker_names[action.worker])
            case api.CloseIdleConnections():
                self.workers.close_idle(self.worker_names[action.worker])
            case api.WatchEndpoints():
                self.discovery.watch()
            case api.Log():
                log.info("%s", action.text)
            case api.ReservationEnded():
                self._hold_ended(action)
            case api.SendToPeer():
                log.warning("there is no way to other dispatchers here: a message is dropped")

    def _hold_ended(self, ended: api.ReservationEnded) -> None:
        """Tell operators what became of room that was held."""
        self.counters.add(RESERVATION_COUNTERS[ended.reason])
        call = self.calls.get(ended.request_id)
        log.info(
            "room for call %s at %s: %s after %.0f ms, %.0f ms from the start expected at first",
            call.id if call is not None else ended.request_id,
            self.worker_names[ended.worker],
            ended.reason,
            ended.reserved_ns / MS,
            ended.delay_ns / MS,
        )

    def _send(self, action: api.Send) -> None:
        now_ns = time.monotonic_ns()
        call = self.calls.get(action.request_id)
        number = call.attempts_started if call is not None else 0
        name = self.worker_names[action.worker]
        if (
            call is None
            or not call.is_open
            or now_ns >= call.deadline_ns
            or number >= call.max_attempts
            or (call.id, name) in self.at_worker
        ):
            if call is not None:
                call.attempts_started += 1
            self.counters.add(ATTEMPT_COUNTERS[api.Outcome.ABORTED_BEFORE_SEND])
            over = call is None or not call.is_open
            self._tell(
                api.AttemptEnded(
                    action.request_id, number, action.worker, api.Outcome.ABORTED_BEFORE_SEND, 0, over
                )
            )
            return
        self.counters.add("attempts")
        call.attempts_started += 1
        deadline_ns = call.deadline_ns
        if action.timeout_ns:
            deadline_ns = min(deadline_ns, now_ns + action.timeout_ns)
        attempt = Attempt(call, number, action.worker, name, now_ns, deadline_ns, action.send_before_ns)
        self._register(attempt)
        self.workers.send(attempt)

    def _give_up(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if not attempt.ended:
            self.attempt_ended(attempt, outcome)
            self.workers.cancel_attempt(attempt)
