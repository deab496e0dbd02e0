"""Dispatchers' decisions against model workers in virtual time: no sockets, no clock, equal for equal seeds.

It shows the effect of a change of the decisions at a scale and speed that sockets do not allow.  It leaves
out what sockets add: reading and writing, lost connections, an event loop that is late.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

import numpy as np

from weldquay import interface as api
from weldquay.lab import load as loads
from weldquay.lab import model
from weldquay.net.counter_names import ATTEMPT_COUNTERS, RESERVATION_COUNTERS
from weldquay.policy.dispatcher import Dispatcher

NETWORK_DELAY_NS = 250_000  # one way between any two parties
BEGIN_NS = 1000 * model.SECOND
MIN_RETRY_PAUSE_NS = 50 * model.MS  # of a client; the maximum is twice as long
RUNTIME_NOISE = 0.1  # standard deviation of the logarithm of a running time over its expected one
KIND_NUMBERS = {"fast": 0, "standard": 1, "old": 2}


@dataclass(slots=True)
class Fault:
    """A fault that is applied to a running simulation at a time after its begin."""

    at_ns: int
    apply: Callable[[Simulation], None]


@dataclass(frozen=True, slots=True)
class Scenario:
    """The input of a simulation; retries: how often a client sends a rejected request again."""

    arrivals: Sequence[loads.Arrival]
    specs: Sequence[model.WorkerSpec]
    settings: Sequence[api.Settings]  # by dispatcher
    seed: int = 1
    job_classes: Sequence[loads.JobClass] = loads.JOB_CLASSES
    retries: int = 0
    faults: Sequence[Fault] = ()


@dataclass(slots=True)
class SimulationResult:
    """The output of a simulation."""

    records: list[loads.RequestRecord]
    counts: Counter[str]
    busy: float  # fraction of all slot time that was used
    starts_by_job: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request at a dispatcher, until it is answered."""

    record: loads.RequestRecord
    arrival: loads.Arrival
    deadline_ns: int
    sends: int = 0
    is_open: bool = True


@dataclass(slots=True, eq=False)
class _Attempt:
    """One send of a request to a worker."""

    client: _PendingRequest
    dispatcher: int
    request_id: int
    number: int
    worker: int
    sent_ns: int
    has_ended: bool = False

    @property
    def key(self) -> tuple[int, int, int]:
        """Dispatcher, request and number."""
        return self.dispatcher, self.request_id, self.number

    @property
    def job_id(self) -> str:
        """Its job at the worker: the numbers of the arrival, of the client's retry and of the send."""
        arrival = self.client.arrival
        return f"{arrival.number}-{arrival.retry}-{self.number}"


class Timeline:
    """The virtual clock and the actions that are due later."""

    def __init__(self) -> None:
        self.now_ns = BEGIN_NS
        self._actions: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def schedule_at(self, due_ns: int, action: Callable[[], None]) -> None:
        """Schedule an action at a time, or now if that is past."""
        heapq.heappush(self._actions, (max(due_ns, self.now_ns), next(self._order), action))

    def schedule(self, delay_ns: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.schedule_at(self.now_ns + delay_ns, action)

    def has_action_until(self, end_ns: int | None) -> bool:
        """Return whether an action is due up to a time, or at any time."""
        return bool(self._actions) and (end_ns is None or self._actions[0][0] <= end_ns)

    def run_next(self) -> None:
        """Move the clock to the next action and run it."""
        self.now_ns, _, action = heapq.heappop(self._actions)
        action()


class Fleet:
    """The model workers and their endpoint list; worker numbers start at 1."""

    def __init__(
        self,
        specs: Sequence[model.WorkerSpec],
        timeline: Timeline,
        on_event: Callable[[model.WorkerEvent], None],
    ) -> None:
        self.specs = list(specs)
        self.workers = [model.Worker(spec, timeline.now_ns) for spec in specs]
        self._timeline = timeline
        self._on_event = on_event
        self._next_checks_ns = [-1] * len(specs)
        self._states = [api.WorkerState.READY] * len(specs)
        self._started_ns = [0] * len(specs)

    def entries(self) -> tuple[api.WorkerEntry, ...]:
        """Return the endpoint list."""
        return tuple(
            api.WorkerEntry(
                index + 1,
                self._states[index],
                kind=KIND_NUMBERS.get(spec.kind, 1),
                started_ns=self._started_ns[index],
                start_id=index + 1,
            )
            for index, spec in enumerate(self.specs)
        )

    def offer(self, worker: int, job: model.Job) -> bool:
        """Send a job to a worker; return False where it is rejected."""
        is_accepted = self.workers[worker - 1].offer(self._timeline.now_ns, job)
        if is_accepted:
            self.process_events(worker)
        return is_accepted

    def cancel(self, worker: int, job_id: str) -> None:
        """Cancel a job at a worker."""
        self.workers[worker - 1].cancel(self._timeline.now_ns, job_id)
        self.process_events(worker)

    def report(self, worker: int) -> api.LoadReport:
        """Return a worker's load report."""
        report = self.workers[worker - 1].report(self._timeline.now_ns)
        return api.LoadReport(
            float(report.free_slots), report.free_memory, queued_requests=float(report.queued)
        )

    def probe(self, worker: int) -> tuple[api.Outcome, api.LoadReport | None]:
        """Return the outcome of a probe and the load report that it brought."""
        if self._states[worker - 1] is api.WorkerState.GONE:
            return api.Outcome.CONNECT_FAILED, None
        return api.Outcome.OK, self.report(worker)

    def process_events(self, worker: int) -> None:
        """Pass on a worker's events up to now, and schedule the next check."""
        index = worker - 1
        now_ns = self._timeline.now_ns
        for event in self.workers[index].advance(now_ns):
            self._on_event(event)
        next_ns = self.workers[index].next_event_ns()
        planned_ns = self._next_checks_ns[index]
        if next_ns >= 0 and (planned_ns <= now_ns or next_ns < planned_ns):
            self._next_checks_ns[index] = next_ns
            self._timeline.schedule_at(next_ns, partial(self._check, worker, next_ns))

    def _check(self, worker: int, due_ns: int) -> None:
        if self._next_checks_ns[worker - 1] == due_ns:  # else an earlier check has replaced it
            self._next_checks_ns[worker - 1] = -1
            self.process_events(worker)

    def drain(self, worker: int) -> None:
        """Have a worker drain."""
        self.workers[worker - 1].drain(self._timeline.now_ns)
        self._states[worker - 1] = api.WorkerState.DRAINING

    def restart(self, worker: int) -> list[model.Job]:
        """Restart a worker and return its lost jobs."""
        self._states[worker - 1] = api.WorkerState.READY
        self._started_ns[worker - 1] = self._timeline.now_ns
        return self.workers[worker - 1].restart(self._timeline.now_ns)

    def mark_gone(self, worker: int) -> None:
        """List a worker as gone."""
        self._states[worker - 1] = api.WorkerState.GONE

    def busy_fraction(self, begun_ns: int) -> float:
        """Return the fraction of all slot time since a time that was used."""
        now_ns = self._timeline.now_ns
        for worker in self.workers:
            worker.advance(now_ns)
        slots = sum(spec.slots for spec in self.specs)
        return sum(worker.busy_ns for worker in self.workers) / (slots * max(1, now_ns - begun_ns))

    def starts_by_job(self) -> dict[int, int]:
        """Return how often each arrival's job was started, retries included."""
        starts: Counter[int] = Counter()
        for worker in self.workers:
            for job_id, times in worker.starts_by_job.items():
                starts[int(job_id.split("-")[0])] += times
        return dict(starts)


class Simulation:
    """One simulation; `run` runs it to its end."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = np.random.Generator(np.random.PCG64(scenario.seed))
        self.timeline = Timeline()
        self.begun_ns = self.timeline.now_ns
        self.fleet = Fleet(scenario.specs, self.timeline, self._handle_worker_event)
        self.dispatchers = [
            Dispatcher(settings, scenario.seed * 1000 + index)
            for index, settings in enumerate(scenario.settings)
        ]
        self.pending_events: list[list[api.Event]] = [[] for _ in self.dispatchers]
        self.clients: list[dict[int, _PendingRequest]] = [{} for _ in self.dispatchers]
        self.attempts: dict[tuple[int, int, int], _Attempt] = {}
        self.attempts_by_job: dict[str, _Attempt] = {}
        self.request_ids = itertools.count(1)
        self.counts: Counter[str] = Counter()
        self.records: list[loads.RequestRecord] = []
        self.sends: list[tuple[int, int]] = []  # time and worker of each
        self._send_list(api.EndpointListKind.CACHED)
        for arrival in scenario.arrivals:
            record = loads.RequestRecord(arrival)
            self.records.append(record)
            self.timeline.schedule_at(
                self.begun_ns + arrival.at_ns, partial(self._send_request, arrival, record)
            )
        for fault in scenario.faults:
            self.timeline.schedule_at(self.begun_ns + fault.at_ns, partial(fault.apply, self))

    @property
    def now_ns(self) -> int:
        """The virtual time."""
        return self.timeline.now_ns

    def run(self, until_ns: int | None = None) -> SimulationResult:
        """Run until all requests are answered, or until a time after the begin."""
        end_ns = None if until_ns is None else self.begun_ns + until_ns
        while self.timeline.has_action_until(end_ns):
            self.timeline.run_next()
            if end_ns is None and self._is_finished():
                break
        busy = self.fleet.busy_fraction(self.begun_ns)
        return SimulationResult(self.records, self.counts, busy, self.fleet.starts_by_job())

    def _is_finished(self) -> bool:
        is_lost = loads.RequestResult.LOST
        return (
            not any(self.clients)
            and not self.attempts
            and all(record.result is not is_lost for record in self.records)
        )

    # --- clients ---

    def _send_request(self, arrival: loads.Arrival, record: loads.RequestRecord) -> None:
        timeout_ns = self.scenario.job_classes[arrival.job_class].client_timeout_ns
        request_id = next(self.request_ids)
        client = _PendingRequest(record, arrival, self.now_ns + timeout_ns)
        self.clients[arrival.dispatcher][request_id] = client
        self._enqueue_event(
            arrival.dispatcher,
            api.RequestReceived(
                request_id,
                arrival.job_class,
                timeout_ns,
                float(arrival.slots),
                arrival.memory,
                arrival.hint_ns,
            ),
        )

    def _answer(
        self, dispatcher: int, request_id: int, result: loads.RequestResult, wait_ns: int = 0
    ) -> None:
        client = self.clients[dispatcher].pop(request_id, None)
        if client is None:
            return
        record = client.record
        client.is_open = False
        record.answered_ns = self.now_ns
        record.wait_ns = wait_ns
        is_rejected = result is loads.RequestResult.REJECTED
        record.rejections += is_rejected
        if is_rejected and client.arrival.retry < self.scenario.retries:
            pause_ns = int(MIN_RETRY_PAUSE_NS * (1 + self.random.random()))
            retry = loads.retry_of(client.arrival, self.now_ns + pause_ns - self.begun_ns)
            self.timeline.schedule(pause_ns, partial(self._send_request, retry, record))
            return
        record.result = result
        record.answers += 1

    # --- dispatchers ---

    def _enqueue_event(self, dispatcher: int, event: api.Event) -> None:
        if not self.pending_events[dispatcher]:
            self.timeline.schedule(0, partial(self._step, dispatcher))
        self.pending_events[dispatcher].append(event)

    def _step(self, dispatcher: int) -> None:
        events, self.pending_events[dispatcher] = self.pending_events[dispatcher], []
        for action in self.dispatchers[dispatcher].step(self.now_ns, events):
            self._handle_action(dispatcher, action)
        self.counts["steps"] += 1

    def _handle_action(self, dispatcher: int, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(dispatcher, action)
            case api.Reject():
                self._answer(dispatcher, action.request_id, loads.RequestResult.REJECTED)
            case api.Fail():
                self._answer(dispatcher, action.request_id, loads.RequestResult.FAILED)
            case api.Cancel():
                self._cancel(dispatcher, action)
            case api.SetTimer():
                due = api.TimerDue(action.token)
                self.timeline.schedule(action.delay_ns, partial(self._enqueue_event, dispatcher, due))
            case api.Probe():
                self.counts["probes"] += 1
                probe = partial(self._probe, dispatcher, action.worker, self.now_ns)
                self.timeline.schedule(NETWORK_DELAY_NS, probe)
            case api.WatchEndpoints():
                self._enqueue_event(dispatcher, api.EndpointListUpdate(api.EndpointListKind.DELTA))
            case api.ReservationEnded():
                self.counts[RESERVATION_COUNTERS[action.reason]] += 1

    def _send(self, dispatcher: int, action: api.Send) -> None:
        client = self.clients[dispatcher].get(action.request_id)
        if client is None or self.now_ns >= client.deadline_ns:
            number = 0 if client is None else client.sends
            aborted = api.AttemptEnded(
                action.request_id,
                number,
                action.worker,
                api.Outcome.ABORTED_BEFORE_SEND,
                0,
                client is None,
            )
            self._enqueue_event(dispatcher, aborted)
            return
        self.counts["sends"] += 1
        self.sends.append((self.now_ns, action.worker))
        attempt = _Attempt(client, dispatcher, action.request_id, client.sends, action.worker, self.now_ns)
        client.sends += 1
        self.attempts[attempt.key] = attempt
        self.timeline.schedule(NETWORK_DELAY_NS, partial(self._receive_job, attempt))
        self.timeline.schedule_at(
            client.deadline_ns, partial(self._end_attempt, attempt, api.Outcome.TIMEOUT)
        )

    def _cancel(self, dispatcher: int, action: api.Cancel) -> None:
        attempt = self.attempts.get((dispatcher, action.request_id, action.attempt))
        if attempt is not None:
            self._end_attempt(attempt, api.Outcome.CANCELLED)
            cancel = partial(self.fleet.cancel, attempt.worker, attempt.job_id)
            self.timeline.schedule(NETWORK_DELAY_NS, cancel)

    def _probe(self, dispatcher: int, worker: int, sent_ns: int) -> None:
        outcome, report = self.fleet.probe(worker)
        elapsed_ns = self.now_ns + NETWORK_DELAY_NS - sent_ns
        ended = api.ProbeEnded(worker, outcome, elapsed_ns, report)
        self.timeline.schedule(NETWORK_DELAY_NS, partial(self._enqueue_event, dispatcher, ended))

    def _end_attempt(
        self, attempt: _Attempt, outcome: api.Outcome, report: api.LoadReport | None = None
    ) -> None:
        if attempt.has_ended:
            return
        attempt.has_ended = True
        del self.attempts[attempt.key]
        client = attempt.client
        if outcome is api.Outcome.OK and client.is_open:
            self._answer_served(attempt)
        self.counts[ATTEMPT_COUNTERS[outcome]] += 1
        self._enqueue_event(
            attempt.dispatcher,
            api.AttemptEnded(
                attempt.request_id,
                attempt.number,
                attempt.worker,
                outcome,
                self.now_ns - attempt.sent_ns,
                not client.is_open,
                report,
            ),
        )

    def _answer_served(self, attempt: _Attempt) -> None:
        arrival = attempt.client.arrival
        job_class = self.scenario.job_classes[arrival.job_class]
        elapsed_ns = self.now_ns - self.begun_ns - attempt.client.record.arrival.at_ns
        result = loads.classify_served(job_class, arrival.work_ns, elapsed_ns)
        self._answer(attempt.dispatcher, attempt.request_id, result, elapsed_ns - int(arrival.work_ns))

    # --- workers ---

    def _receive_job(self, attempt: _Attempt) -> None:
        if attempt.has_ended:
            return
        arrival = attempt.client.arrival
        noise = float(self.random.lognormal(0.0, RUNTIME_NOISE))
        job = model.Job(attempt.job_id, arrival.work_ns * noise, arrival.slots, arrival.memory)
        self.attempts_by_job[attempt.job_id] = attempt
        if not self.fleet.offer(attempt.worker, job):
            self._report_end(attempt, api.Outcome.OVERLOADED)

    def _report_end(self, attempt: _Attempt, outcome: api.Outcome) -> None:
        report = self.fleet.report(attempt.worker)
        self.timeline.schedule(NETWORK_DELAY_NS, partial(self._end_attempt, attempt, outcome, report))

    def _handle_worker_event(self, event: model.WorkerEvent) -> None:
        attempt = self.attempts_by_job[event.job.id]
        if isinstance(event, model.JobStarted):
            if not attempt.has_ended:
                progress = api.AttemptProgress(attempt.request_id, attempt.number, attempt.worker)
                enqueue = partial(self._enqueue_event, attempt.dispatcher, progress)
                self.timeline.schedule(NETWORK_DELAY_NS, enqueue)
            return
        is_completed = isinstance(event, model.JobCompleted)
        self.counts["wasted"] += attempt.has_ended and is_completed
        self._report_end(attempt, api.Outcome.OK if is_completed else api.Outcome.OVERLOADED)

    # --- faults ---

    def _send_list(self, kind: api.EndpointListKind = api.EndpointListKind.FULL) -> None:
        """Send all dispatchers the endpoint list as it is now."""
        for dispatcher in range(len(self.dispatchers)):
            self._enqueue_event(dispatcher, api.EndpointListUpdate(kind, self.fleet.entries()))

    def drain(self, worker: int) -> None:
        """Have a worker drain; the list changes at once."""
        self.fleet.drain(worker)
        self._send_list()
        self.fleet.process_events(worker)

    def restart(self, worker: int) -> None:
        """Restart a worker with a slow start; its jobs are lost, and the list changes at once."""
        for job in self.fleet.restart(worker):
            self._end_attempt(self.attempts_by_job[job.id], api.Outcome.RESET)
        self._send_list()

    def vanish(self, worker: int) -> None:
        """Have a worker die; its connections are reset, and the list changes at once."""
        self.restart(worker)
        self.fleet.mark_gone(worker)
        self._send_list()
