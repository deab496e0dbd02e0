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
from weldquay.net.call_transfer import CallTransfer
from weldquay.net.calls import Answer, Attempt, Call, Failed, Overload, DiscoverySide, Served, WorkerSide
from weldquay.net.config import Config, numbered
from weldquay.net.counter_names import (
    ATTEMPT_COUNTERS,
    PROBE_COUNTERS,
    RESERVATION_COUNTERS,
)
from weldquay.net.counters import Counters
from weldquay.net.list_intake import ListIntake
from weldquay.net.messages import CallBack, Figures

log = logging.getLogger(__name__)

OVERDUE_NS = 10_000_000  # past its deadline by this much a call without an answer is failed here
MS = 1_000_000

ANSWER_COUNTERS: dict[type[Answer], str] = {
    Served: "answers_served",
    Overload: "answers_overload",
    Failed: "answers_failed",
}


class Exchange(ListIntake, CallTransfer):
    """One dispatcher at work: events in, decisions, actions out."""

    def __init__(self, config: Config, counters: Counters) -> None:
        self.config, self.counters = config, counters
        self.workers: WorkerSide
        self.discovery: DiscoverySide
        self.dispatcher = Dispatcher(config.settings, config.seed)
        self.loop = asyncio.get_running_loop()
        # Fixed for the program's life, so that one start is always the same moment to the module.
        self.epoch_ns = time.time_ns() - time.monotonic_ns()
        self.events: list[api.Event] = []
        self.scheduled = False
        self.calls: dict[int, Call] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.at_worker: dict[tuple[str, str], Attempt] = {}  # by the call's id and the worker's
        self.last_call = self.last_worker = 0
        self.worker_numbers: dict[str, int] = {}
        self.worker_names: dict[int, str] = {}
        self.bans: set[str] = set()  # workers that operators took out
        self.waits_for_list = False  # requests are held, since the list may be out of date
        self.zones, self.kinds = numbered(config.zones), numbered(config.kinds)

    def start(self, workers: WorkerSide, discovery: DiscoverySide) -> None:
        """Begin with the list that the configuration holds."""
        self.workers, self.discovery = workers, discovery
        self.follow(self.config.known, api.ListKind.CACHED, self.config.lease)

    @property
    def owes(self) -> bool:
        """True while a call is in hand or an attempt is out."""
        return bool(self.calls or self.attempts)

    # --- the clients' side ---

    def open(
        self, job_class: int, figures: Figures, payload: object, on_answer: Callable[[Answer], None]
    ) -> Call | None:
        """Take a call in; None where too many are in hand."""
        if len(self.calls) >= self.config.max_open:
            self.counters.add("calls_over_limit")
            return None
        self.counters.add("calls")
        left_ns = figures.time_left_ns
        if left_ns is None:
            left_ns = self.config.settings.classes[job_class].give_up_ns
        now_ns = time.monotonic_ns()
        call = self._enter(figures, job_class, payload, now_ns, now_ns + left_ns, on_answer)
        self._tell(self._request(call, left_ns))
        return call

    def _enter(
        self,
        figures: Figures,
        job_class: int,
        payload: object,
        opened_ns: int,
        deadline_ns: int,
        on_answer: Callable[[Answer], None],
    ) -> Call:
        self.last_call = (self.last_call + 1) % 2**32
        settings = self.config.settings
        call = Call(
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
        call.overdue = self.loop.call_later(
            max(0, deadline_ns + OVERDUE_NS - time.monotonic_ns()) / 1e9,
            self.loop.call_soon,
            self._overdue,
            call,
        )
        self.calls[call.number] = call
        return call

    def _request(self, call: Call, left_ns: int) -> api.Request:
        told = call.figures
        return api.Request(
            call.number, call.job_class, left_ns, told.slots, told.memory, told.hint_ns, told.key, told.repeat
        )

    def retune(self, config: Config) -> None:
        """Take in other settings; calls in hand keep those that they came with."""
        self.config = config
        for names, numbers in ((config.zones, self.zones), (config.kinds, self.kinds)):
            for name in names:
                numbers[name]  # a new one gets the next number
        self._tell(api.Retuned(config.settings))

    def end(self, left_s: float) -> None:
        """Have all that is owed answered within left_s: the program is about to end."""
        self._tell(api.Ending(int(left_s * 1e9)))

    def client_gone(self, call: Call) -> None:
        """The client left before its answer."""
        if call.open:
            self.counters.add("clients_gone")
            self._close(call)
            self._tell(api.ClientGone(call.number))

    def _overdue(self, call: Call) -> None:
        """The last resort for a call that the decisions left without its answer."""
        if call.open:
            log.error("call %s had no answer by its deadline", call.id)
            self.counters.add("calls_overdue")
            self._answer(call, Failed())
            self._tell(api.ClientGone(call.number))

    def _answer(self, call: Call | None, answer: Answer) -> None:
        """Give the final answer, unless the call has ended already."""
        if call is not None and call.open:
            self._close(call)
            self.counters.add(ANSWER_COUNTERS[type(answer)])
            call.on_answer(answer)

    def _close(self, call: Call) -> None:
        call.open = False
        if call.overdue is not None:
            call.overdue.cancel()
        if not call.live:
            del self.calls[call.number]

    # --- the workers' side ---

    def call_back(self, told: CallBack) -> bool:
        """A worker tells of a job; what comes again or for an ended attempt changes nothing, and is False."""
        attempt = self.at_worker.get((told.id, told.worker))
        if attempt is None:
            self.counters.add("callbacks_unmatched")
            return False
        self.counters.add("callbacks")
        if told.outcome is None:
            attempt.begun_ns = attempt.begun_ns or time.monotonic_ns()
            self._tell(api.AttemptNote(attempt.call.number, attempt.number, attempt.worker, told.progress))
        else:
            self.attempt_ended(attempt, told.outcome, told.load, told.result)
        return True

    def attempt_ended(
        self, attempt: Attempt, outcome: api.Outcome, load: api.LoadReport | None = None, result: str = ""
    ) -> None:
        """Tell the one end of an attempt; a second one changes nothing."""
        if attempt.ended:
            return
        self._remove(attempt)
        call = attempt.call
        self.counters.add(ATTEMPT_COUNTERS[outcome])
        call.ran = call.ran or not outcome.never_ran
        if outcome is api.Outcome.OK:
            self._answer(call, Served(result))
        if (over := not call.open) and not call.live:
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
        call = attempt.call
        attempt.timer = self.loop.call_later(
            max(0, attempt.deadline_ns - time.monotonic_ns()) / 1e9,
            self._give_up,
            attempt,
            api.Outcome.TIMEOUT,
        )
        call.live[attempt.number] = self.attempts[call.number, attempt.number] = attempt
        self.at_worker[call.id, attempt.worker_id] = attempt

    def _remove(self, attempt: Attempt) -> None:
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        call = attempt.call
        del self.attempts[call.number, attempt.number]
        del self.at_worker[call.id, attempt.worker_id]
        del call.live[attempt.number]

    def probe_ended(
        self, worker_id: str, outcome: api.Outcome, latency_ns: int, load: api.LoadReport | None = None
    ) -> None:
        """Tell a probe's result."""
        self.counters.add(PROBE_COUNTERS[outcome])
        if (number := self.worker_numbers.get(worker_id)) is not None:
            self._tell(api.ProbeEnded(number, outcome, latency_ns, load))

    # --- operators ---

    def knows(self, worker_id: str) -> bool:
        """True where the list has ever named the worker, or a ban does."""
        return worker_id in self.worker_numbers or worker_id in self.bans

    def ban(self, worker_id: str, on: bool) -> None:
        """Take a worker out, whatever the list says, or (on False) put it back."""
        if on != (worker_id in self.bans):
            (self.bans.add if on else self.bans.discard)(worker_id)
            self.workers.ban(worker_id, on)
            self._tell(api.Banned(self._number(worker_id), on))

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
        self._watch_lease(started_ns)
        self.counters.add("steps")
        self.counters.peak("longest_step_ms", (time.monotonic_ns() - started_ns) / 1e6)

    def _do(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._answer(self.calls.get(action.request), Overload(action.retry_after_ns))
            case api.Fail():
                self._answer(self.calls.get(action.request), Failed())
            case api.Cancel():
                attempt = self.attempts.get((action.request, action.attempt))
                if attempt is not None:
                    self._give_up(attempt, api.Outcome.CANCELLED)
            case api.SetTimer():
                self.loop.call_later(action.delay_ns / 1e9, self._tell, api.TimerDue(action.token))
            case api.Probe():
                self.counters.add("probes")
                self.workers.probe(self.worker_names[action.worker])
            case api.CloseIdle():
                self.workers.close_idle(self.worker_names[action.worker])
            case api.Watch():
                self.discovery.watch()
            case api.Log():
                log.info("%s", action.text)
            case api.HoldEnded():
                self._hold_ended(action)
            case api.Tell():
                log.warning("there is no way to other dispatchers here: a message is dropped")

    def _hold_ended(self, ended: api.HoldEnded) -> None:
        """Tell operators what became of room that was held."""
        self.counters.add(RESERVATION_COUNTERS[ended.why])
        call = self.calls.get(ended.request)
        log.info(
            "room for call %s at %s: %s after %.0f ms, %.0f ms from the start expected at first",
            call.id if call is not None else ended.request,
            self.worker_names[ended.worker],
            ended.why,
            ended.held_ns / MS,
            ended.late_ns / MS,
        )

    def _send(self, action: api.Send) -> None:
        now_ns = time.monotonic_ns()
        call = self.calls.get(action.request)
        number = call.sends if call is not None else 0
        name = self.worker_names[action.worker]
        if (
            call is None
            or not call.open
            or now_ns >= call.deadline_ns
            or number >= call.most
            or (call.id, name) in self.at_worker
        ):
            if call is not None:
                call.sends += 1
            self.counters.add(ATTEMPT_COUNTERS[api.Outcome.MOOT])
            over = call is None or not call.open
            self._tell(api.AttemptEnded(action.request, number, action.worker, api.Outcome.MOOT, 0, over))
            return
        self.counters.add("attempts")
        call.sends += 1
        deadline_ns = call.deadline_ns
        if action.timeout_ns:
            deadline_ns = min(deadline_ns, now_ns + action.timeout_ns)
        attempt = Attempt(call, number, action.worker, name, now_ns, deadline_ns, action.begin_by_ns)
        self._register(attempt)
        self.workers.send(attempt)

    def _give_up(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if not attempt.ended:
            self.attempt_ended(attempt, outcome)
            self.workers.give_up(attempt)
