"""Decisions against model workers in virtual time: no sockets, no clock, the same for the same seed.

It shows what a change of the decisions does at a scale and a speed that sockets do not allow.  What sockets
add (reading and writing, lost connections, an event loop that is late) it leaves out.
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

NET_NS = 250_000  # one way between any two parties
KIND_NUMBERS = {"fast": 0, "standard": 1, "old": 2}


@dataclass(slots=True)
class Trouble:
    """Something that happens to a worker or to all at a moment of the run."""

    at_ns: int
    do: Callable[[Run], None]


@dataclass(slots=True, eq=False)
class _Client:
    """A job at a dispatcher, while it is owed its answer."""

    record: loads.Record
    arrival: loads.Arrival
    deadline_ns: int
    sends: int = 0
    open: bool = True


@dataclass(slots=True, eq=False)
class _Attempt:
    """One send of a job to a worker."""

    client: _Client
    dispatcher: int
    request: int
    number: int
    worker: int
    sent_ns: int
    ended: bool = False

    @property
    def key(self) -> tuple[int, int, int]:
        """Dispatcher, request and number."""
        return self.dispatcher, self.request, self.number

    @property
    def job_id(self) -> str:
        """Its job at the worker: the arrival's number, the client's try and the send."""
        arrival = self.client.arrival
        return f"{arrival.number}-{arrival.attempt}-{self.number}"


@dataclass(slots=True)
class Result:
    """What a run came to."""

    records: list[loads.Record]
    counts: Counter[str]
    busy: float  # part of all slot time that was used
    runs: dict[int, int] = field(default_factory=dict)  # starts by job


class Run:
    """One run; `go` plays it to its end."""

    def __init__(
        self,
        arrivals: Sequence[loads.Arrival],
        specs: Sequence[model.Spec],
        settings: Sequence[api.Settings],
        seed: int = 1,
        kinds: Sequence[loads.Kind] = loads.KINDS,
        retries: int = 0,
        troubles: Sequence[Trouble] = (),
    ) -> None:
        self.kinds, self.retries = kinds, retries
        self.random = np.random.Generator(np.random.PCG64(seed))
        self.now_ns = 1000 * model.SECOND
        self.begun_ns = self.now_ns
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.specs = list(specs)
        self.workers = [model.Worker(spec, self.now_ns) for spec in specs]
        self.checks = [-1] * len(specs)
        self.states = [api.WorkerState.READY] * len(specs)
        self.started_ns = [0] * len(specs)
        self.dispatchers = [Dispatcher(each, seed * 1000 + n) for n, each in enumerate(settings)]
        self.booked: list[list[api.Event]] = [[] for _ in settings]
        self.clients: list[dict[int, _Client]] = [{} for _ in settings]
        self.attempts: dict[tuple[int, int, int], _Attempt] = {}
        self.at_worker: dict[str, _Attempt] = {}
        self.numbers = itertools.count(1)
        self.counts: Counter[str] = Counter()
        self.records: list[loads.Record] = []
        self.sends_after: list[tuple[int, int]] = []  # (time, worker) of each send
        for number in range(len(settings)):
            self._tell(number, api.EndpointListUpdate(api.EndpointListKind.CACHED, self._entries()))
        for arrival in arrivals:
            record = loads.Record(arrival)
            self.records.append(record)
            self._at(self.begun_ns + arrival.at_ns, partial(self._arrive, arrival, record))
        for trouble in troubles:
            self._at(self.begun_ns + trouble.at_ns, partial(trouble.do, self))

    def _entries(self) -> tuple[api.WorkerEntry, ...]:
        return tuple(
            api.WorkerEntry(
                n + 1,
                self.states[n],
                kind=KIND_NUMBERS.get(spec.kind, 1),
                started_ns=self.started_ns[n],
                start_id=n + 1,
            )
            for n, spec in enumerate(self.specs)
        )

    def _at(self, at_ns: int, do: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (max(at_ns, self.now_ns), next(self.order), do))

    def after(self, delay_ns: int, do: Callable[[], None]) -> None:
        """Have something happen after a while."""
        self._at(self.now_ns + delay_ns, do)

    def go(self, until_ns: int | None = None) -> Result:
        """Play until nothing is owed, or until a moment after the begin."""
        end_ns = None if until_ns is None else self.begun_ns + until_ns
        while self.queue and (end_ns is None or self.queue[0][0] <= end_ns):
            self.now_ns, _, do = heapq.heappop(self.queue)
            do()
            if (
                end_ns is None
                and not any(self.clients)
                and not self.attempts
                and all(record.fate is not loads.Fate.LOST for record in self.records)
            ):
                break
        for worker in self.workers:
            worker.advance(self.now_ns)
        slots = sum(spec.slots for spec in self.specs)
        busy = sum(worker.busy_ns for worker in self.workers) / (slots * max(1, self.now_ns - self.begun_ns))
        runs: Counter[int] = Counter()
        for worker in self.workers:
            for job_id, times in worker.runs.items():
                runs[int(job_id.split("-")[0])] += times
        return Result(self.records, self.counts, busy, dict(runs))

    # --- clients ---

    def _arrive(self, arrival: loads.Arrival, record: loads.Record) -> None:
        kind, number = self.kinds[arrival.kind], next(self.numbers)
        client = _Client(record, arrival, self.now_ns + kind.give_up_ns)
        self.clients[arrival.dispatcher][number] = client
        self._tell(
            arrival.dispatcher,
            api.RequestReceived(
                number, arrival.kind, kind.give_up_ns, float(arrival.slots), arrival.memory, arrival.hint_ns
            ),
        )

    def _answer(self, dispatcher: int, number: int, fate: loads.Fate, wait_ns: int = 0) -> None:
        client = self.clients[dispatcher].pop(number, None)
        if client is None:
            return
        client.open, record = False, client.record
        record.answered_ns, record.wait_ns = self.now_ns, wait_ns
        record.refusals += fate is loads.Fate.REFUSED
        if fate is loads.Fate.REFUSED and client.arrival.attempt < self.retries:
            pause_ns = int(50 * model.MS * (1 + self.random.random()))
            retry = loads.again(client.arrival, self.now_ns + pause_ns - self.begun_ns, client.arrival.number)
            self.after(pause_ns, lambda: self._arrive(retry, record))
            return
        record.fate = fate
        record.answers += 1

    # --- dispatchers ---

    def _tell(self, dispatcher: int, event: api.Event) -> None:
        if not self.booked[dispatcher]:
            self._at(self.now_ns, lambda: self._step(dispatcher))
        self.booked[dispatcher].append(event)

    def _step(self, dispatcher: int) -> None:
        events, self.booked[dispatcher] = self.booked[dispatcher], []
        for action in self.dispatchers[dispatcher].step(self.now_ns, events):
            self._do(dispatcher, action)
        self.counts["steps"] += 1

    def _do(self, dispatcher: int, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(dispatcher, action)
            case api.Reject():
                self._answer(dispatcher, action.request_id, loads.Fate.REFUSED)
            case api.Fail():
                self._answer(dispatcher, action.request_id, loads.Fate.FAILED)
            case api.Cancel():
                attempt = self.attempts.get((dispatcher, action.request_id, action.attempt))
                if attempt is not None:
                    self._end(attempt, api.Outcome.CANCELLED)
                    self.after(NET_NS, lambda: self._cancel(attempt))
            case api.SetTimer():
                self.after(action.delay_ns, lambda: self._tell(dispatcher, api.TimerDue(action.token)))
            case api.Probe():
                self.counts["probes"] += 1
                sent_ns = self.now_ns
                self.after(NET_NS, lambda: self._probe(dispatcher, action.worker, sent_ns))
            case api.WatchEndpoints():
                self._tell(dispatcher, api.EndpointListUpdate(api.EndpointListKind.DELTA))
            case api.ReservationEnded():
                self.counts[RESERVATION_COUNTERS[action.reason]] += 1

    def _send(self, dispatcher: int, action: api.Send) -> None:
        client = self.clients[dispatcher].get(action.request_id)
        if client is None or self.now_ns >= client.deadline_ns:
            number = 0 if client is None else client.sends
            self._tell(
                dispatcher,
                api.AttemptEnded(
                    action.request_id,
                    number,
                    action.worker,
                    api.Outcome.ABORTED_BEFORE_SEND,
                    0,
                    client is None,
                ),
            )
            return
        self.counts["sends"] += 1
        self.sends_after.append((self.now_ns, action.worker))
        attempt = _Attempt(client, dispatcher, action.request_id, client.sends, action.worker, self.now_ns)
        client.sends += 1
        self.attempts[attempt.key] = attempt
        self.after(NET_NS, lambda: self._come(attempt))
        self._at(client.deadline_ns, lambda: self._end(attempt, api.Outcome.TIMEOUT))

    def _end(self, attempt: _Attempt, outcome: api.Outcome, report: api.LoadReport | None = None) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        del self.attempts[attempt.key]
        client, dispatcher = attempt.client, attempt.dispatcher
        if outcome is api.Outcome.OK and client.open:
            arrival = client.arrival
            came_ns = self.begun_ns + client.record.arrival.at_ns
            fate = loads.judge(self.kinds[arrival.kind], arrival.work_ns, self.now_ns - came_ns)
            self._answer(dispatcher, attempt.request, fate, self.now_ns - came_ns - int(arrival.work_ns))
        self.counts[ATTEMPT_COUNTERS[outcome]] += 1
        self._tell(
            dispatcher,
            api.AttemptEnded(
                attempt.request,
                attempt.number,
                attempt.worker,
                outcome,
                self.now_ns - attempt.sent_ns,
                not client.open,
                report,
            ),
        )

    # --- workers ---

    def _come(self, attempt: _Attempt) -> None:
        if attempt.ended:
            return  # given up on its way
        worker, arrival = self.workers[attempt.worker - 1], attempt.client.arrival
        noise = float(self.random.lognormal(0.0, 0.1))
        job = model.Job(attempt.job_id, arrival.work_ns * noise, arrival.slots, arrival.memory)
        if worker.offer(self.now_ns, job):
            self.at_worker[attempt.job_id] = attempt
            self._look(attempt.worker)
        else:
            report = self._report(attempt.worker)
            self.after(NET_NS, lambda: self._end(attempt, api.Outcome.OVERLOADED, report))

    def _cancel(self, attempt: _Attempt) -> None:
        self.workers[attempt.worker - 1].cancel(self.now_ns, attempt.job_id)
        self._look(attempt.worker)

    def _report(self, worker: int) -> api.LoadReport:
        figures = self.workers[worker - 1].report(self.now_ns)
        return api.LoadReport(
            float(figures.free_slots), figures.free_memory, queued_requests=float(figures.waiting)
        )

    def _probe(self, dispatcher: int, worker: int, sent_ns: int) -> None:
        if self.states[worker - 1] is api.WorkerState.GONE:
            outcome, report = api.Outcome.CONNECT_FAILED, None
        else:
            outcome, report = api.Outcome.OK, self._report(worker)
        self.after(
            NET_NS,
            lambda: self._tell(dispatcher, api.ProbeEnded(worker, outcome, self.now_ns - sent_ns, report)),
        )

    def _look(self, worker: int) -> None:
        """Take in what has happened at a worker, and look again when more will have."""
        held = self.workers[worker - 1]
        for happening in held.advance(self.now_ns):
            self._happen(self.at_worker[happening.job.id], happening)
        next_ns = held.next_ns()
        if next_ns >= 0 and (self.checks[worker - 1] <= self.now_ns or next_ns < self.checks[worker - 1]):
            self.checks[worker - 1] = next_ns
            self._at(next_ns, lambda: self._check(worker, next_ns))

    def _check(self, worker: int, due_ns: int) -> None:
        if self.checks[worker - 1] == due_ns:
            self.checks[worker - 1] = -1
            self._look(worker)

    def _happen(self, attempt: _Attempt, happening: model.Happening) -> None:
        if isinstance(happening, model.Started):
            if not attempt.ended:
                note = api.AttemptProgress(attempt.request, attempt.number, attempt.worker)
                self.after(NET_NS, lambda: self._tell(attempt.dispatcher, note))
            return
        outcome = api.Outcome.OK if isinstance(happening, model.Done) else api.Outcome.OVERLOADED
        self.counts["wasted"] += attempt.ended and outcome is api.Outcome.OK
        report = self._report(attempt.worker)
        self.after(NET_NS, lambda: self._end(attempt, outcome, report))

    # --- troubles ---

    def tell_list(self) -> None:
        """Tell all dispatchers the list as it is now."""
        for number in range(len(self.dispatchers)):
            self._tell(number, api.EndpointListUpdate(api.EndpointListKind.FULL, self._entries()))

    def drain(self, worker: int) -> None:
        """A worker drains, and all are told at once."""
        self.workers[worker - 1].drain(self.now_ns)
        self.states[worker - 1] = api.WorkerState.DRAINING
        self.tell_list()
        self._look(worker)

    def restart(self, worker: int) -> None:
        """A worker begins anew, cold; all are told at once, and its jobs are lost."""
        lost = self.workers[worker - 1].restart(self.now_ns)
        self.states[worker - 1], self.started_ns[worker - 1] = api.WorkerState.READY, self.now_ns
        for job in lost:
            self._end(self.at_worker[job.id], api.Outcome.RESET)
        self.tell_list()

    def vanish(self, worker: int) -> None:
        """A worker dies without a word but resets; the list tells it at once."""
        self.restart(worker)
        self.states[worker - 1] = api.WorkerState.GONE
        self.tell_list()
