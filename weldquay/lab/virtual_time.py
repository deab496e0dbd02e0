"""A simulation of dispatchers' decisions with model workers in virtual time; equal seeds give equal results.

Without sockets it can evaluate a change to the decisions with more dispatchers, workers and requests than
real processes allow, and faster.  It does not model reads and writes, lost connections or event loop delays.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

import numpy as np

from weldquay import interface as api
from weldquay.lab import load as loads
from weldquay.lab import model
from weldquay.lab.simulated_fleet import Fleet, Timeline
from weldquay.net.counter_names import ATTEMPT_COUNTERS, RESERVATION_COUNTERS
from weldquay.policy.dispatcher import Dispatcher

NETWORK_DELAY_NS = 250_000  # one-way network latency
MIN_RETRY_PAUSE_NS = 50 * model.MS  # minimum pause before a client's retry; the maximum is twice as long
RUNTIME_NOISE = 0.1  # standard deviation of the logarithm of actual over expected running time


@dataclass(slots=True)
class Fault:
    """A fault that is applied to a running simulation; at_ns counts from its start."""

    at_ns: int
    apply: Callable[[Simulation], None]


@dataclass(frozen=True, slots=True)
class Scenario:
    """The input of a simulation; retries: how often a client retries a rejected request."""

    arrivals: Sequence[loads.Arrival]
    specs: Sequence[model.WorkerSpec]
    settings: Sequence[api.Settings]  # one for each dispatcher
    seed: int = 1
    job_classes: Sequence[loads.JobClass] = loads.JOB_CLASSES
    retries: int = 0
    faults: Sequence[Fault] = ()


@dataclass(slots=True)
class SimulationResult:
    """The output of a simulation."""

    records: list[loads.RequestRecord]
    counts: Counter[str]
    busy_fraction: float  # used fraction of all slot time
    starts_by_job: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class _Attempt:
    """An attempt of a request at a worker."""

    request: PendingRequest
    dispatcher: int
    request_id: int
    number: int
    worker: int
    sent_ns: int
    has_ended: bool = False

    @property
    def key(self) -> tuple[int, int, int]:
        """Dispatcher, request and attempt number."""
        return self.dispatcher, self.request_id, self.number

    @property
    def job_id(self) -> str:
        """The id of its job: the numbers of the arrival, the client's retry and the attempt."""
        arrival = self.request.arrival
        return f"{arrival.number}-{arrival.retry}-{self.number}"


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that its dispatcher has not answered."""

    record: loads.RequestRecord
    arrival: loads.Arrival
    deadline_ns: int
    sends: int = 0  # number of its attempts so far
    is_open: bool = True


class Clients:
    """The clients of all dispatchers, which send requests on schedule and retry rejected ones."""

    def __init__(
        self,
        scenario: Scenario,
        timeline: Timeline,
        random: np.random.Generator,
        send: Callable[[int, api.Event], None],
    ) -> None:
        self.records: list[loads.RequestRecord] = []
        self.pending: list[dict[int, PendingRequest]] = [{} for _ in scenario.settings]
        self._job_classes = scenario.job_classes
        self._retries = scenario.retries
        self._timeline = timeline
        self._start_ns = timeline.now_ns
        self._random = random
        self._send = send
        self._request_ids = itertools.count(1)
        for arrival in scenario.arrivals:
            record = loads.RequestRecord(arrival)
            self.records.append(record)
            timeline.schedule_at(self._start_ns + arrival.at_ns, partial(self._send_request, arrival, record))

    def are_all_answered(self) -> bool:
        """Return whether every client has the final response to its request."""
        return not any(self.pending) and all(
            record.result is not loads.RequestResult.LOST for record in self.records
        )

    def _send_request(self, arrival: loads.Arrival, record: loads.RequestRecord) -> None:
        timeout_ns = self._job_classes[arrival.job_class].client_timeout_ns
        request_id = next(self._request_ids)
        request = PendingRequest(record, arrival, self._timeline.now_ns + timeout_ns)
        self.pending[arrival.dispatcher][request_id] = request
        event = api.RequestReceived(
            request_id,
            arrival.job_class,
            timeout_ns,
            float(arrival.slots),
            arrival.memory,
            arrival.hint_ns,
        )
        self._send(arrival.dispatcher, event)

    def answer(self, dispatcher: int, request_id: int, result: loads.RequestResult, wait_ns: int = 0) -> None:
        """Answer a request unless it was answered; the client may retry a rejected one."""
        request = self.pending[dispatcher].pop(request_id, None)
        if request is None:
            return
        now_ns = self._timeline.now_ns
        record = request.record
        request.is_open = False
        record.answered_ns = now_ns
        record.wait_ns = wait_ns
        is_rejected = result is loads.RequestResult.REJECTED
        record.rejections += is_rejected
        if is_rejected and request.arrival.retry < self._retries:
            pause_ns = int(MIN_RETRY_PAUSE_NS * (1 + self._random.random()))
            retry = loads.retry_of(request.arrival, now_ns + pause_ns - self._start_ns)
            self._timeline.schedule(pause_ns, partial(self._send_request, retry, record))
            return
        record.result = result
        record.answers += 1

    def answer_served(self, dispatcher: int, request_id: int) -> None:
        """Answer a request whose job completed; its response time counts from the client's first send."""
        request = self.pending[dispatcher][request_id]
        work_ns = request.arrival.work_ns
        elapsed_ns = self._timeline.now_ns - self._start_ns - request.record.arrival.at_ns
        job_class = self._job_classes[request.arrival.job_class]
        result = loads.classify_served(job_class, work_ns, elapsed_ns)
        self.answer(dispatcher, request_id, result, elapsed_ns - int(work_ns))


class Simulation:
    """A simulation of one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = np.random.Generator(np.random.PCG64(scenario.seed))
        self.timeline = Timeline()
        self.start_ns = self.timeline.now_ns
        self.fleet = Fleet(scenario.specs, self.timeline, self._handle_worker_event)
        self.dispatchers = [
            Dispatcher(settings, scenario.seed * 1000 + index)
            for index, settings in enumerate(scenario.settings)
        ]
        self.pending_events: list[list[api.Event]] = [[] for _ in self.dispatchers]
        self.attempts: dict[tuple[int, int, int], _Attempt] = {}
        self.attempts_by_job: dict[str, _Attempt] = {}
        self.counts: Counter[str] = Counter()
        self.sends: list[tuple[int, int]] = []  # virtual time (ns) and worker of each send
        self._send_endpoint_list(api.EndpointListKind.CACHED)
        self.clients = Clients(scenario, self.timeline, self.random, self._enqueue_event)
        for fault in scenario.faults:
            self.timeline.schedule_at(self.start_ns + fault.at_ns, partial(fault.apply, self))

    @property
    def now_ns(self) -> int:
        """The virtual time."""
        return self.timeline.now_ns

    def run(self, until_ns: int | None = None) -> SimulationResult:
        """Run until all requests are answered, or until a time that counts from the start."""
        end_ns = None if until_ns is None else self.start_ns + until_ns
        while self.timeline.has_action_until(end_ns):
            self.timeline.run_next()
            if end_ns is None and not self.attempts and self.clients.are_all_answered():
                break
        busy_fraction = self.fleet.busy_fraction(self.start_ns)
        return SimulationResult(self.clients.records, self.counts, busy_fraction, self.fleet.starts_by_job())

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
                self.clients.answer(dispatcher, action.request_id, loads.RequestResult.REJECTED)
            case api.Fail():
                self.clients.answer(dispatcher, action.request_id, loads.RequestResult.FAILED)
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
        request = self.clients.pending[dispatcher].get(action.request_id)
        if request is None or self.now_ns >= request.deadline_ns:
            number = 0 if request is None else request.sends
            aborted = api.AttemptEnded(
                action.request_id,
                number,
                action.worker,
                api.Outcome.ABORTED_BEFORE_SEND,
                0,
                request is None,
            )
            self._enqueue_event(dispatcher, aborted)
            return
        self.counts["sends"] += 1
        self.sends.append((self.now_ns, action.worker))
        attempt = _Attempt(request, dispatcher, action.request_id, request.sends, action.worker, self.now_ns)
        request.sends += 1
        self.attempts[attempt.key] = attempt
        self.timeline.schedule(NETWORK_DELAY_NS, partial(self._receive_job, attempt))
        self.timeline.schedule_at(
            request.deadline_ns, partial(self._end_attempt, attempt, api.Outcome.TIMEOUT)
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
        request = attempt.request
        if outcome is api.Outcome.OK and request.is_open:
            self.clients.answer_served(attempt.dispatcher, attempt.request_id)
        self.counts[ATTEMPT_COUNTERS[outcome]] += 1
        self._enqueue_event(
            attempt.dispatcher,
            api.AttemptEnded(
                attempt.request_id,
                attempt.number,
                attempt.worker,
                outcome,
                self.now_ns - attempt.sent_ns,
                not request.is_open,
                report,
            ),
        )

    # --- workers ---

    def _receive_job(self, attempt: _Attempt) -> None:
        if attempt.has_ended:
            return
        arrival = attempt.request.arrival
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

    def _send_endpoint_list(self, kind: api.EndpointListKind = api.EndpointListKind.FULL) -> None:
        """Send the current endpoint list to all dispatchers."""
        for dispatcher in range(len(self.dispatchers)):
            self._enqueue_event(dispatcher, api.EndpointListUpdate(kind, self.fleet.entries()))

    def drain(self, worker: int) -> None:
        """Start draining a worker; the list changes immediately."""
        self.fleet.drain(worker)
        self._send_endpoint_list()
        self.fleet.process_events(worker)

    def restart(self, worker: int) -> None:
        """Restart a worker with a slow start; its jobs are lost, and the list changes immediately."""
        for job in self.fleet.restart(worker):
            self._end_attempt(self.attempts_by_job[job.id], api.Outcome.RESET)
        self._send_endpoint_list()

    def remove_worker(self, worker: int) -> None:
        """Stop a worker permanently; its connections are reset, and the list changes immediately."""
        self.restart(worker)
        self.fleet.mark_gone(worker)
        self._send_endpoint_list()
