"""Jobs from their coming to their final answer: the table of outcomes, deadlines, what may run again."""

from __future__ import annotations

import heapq

from weldquay.discovery.backoff import jittered_delay_ns
from weldquay.interface import (
    Adopted,
    AttemptEnded,
    AttemptNote,
    Effect,
    Ending,
    Fail,
    Outcome,
    Refuse,
    Request,
    SetTimer,
    StreamBegun,
    WorkerEntry,
    WorkerState,
)
from weldquay.ledger.records import TRIAL_NS, Attempt, Job, Worker
from weldquay.policy.draw import LOOK_MOST, Draw
from weldquay.policy.health import FORGIVE, FRESH_NS, TRIAL_MAX_NS

MAX_TURNED_AWAY = 4096  # refused jobs known at their retries: 1,300 a second over a deadline of 3 s
PROBE_SPEND = 0.02  # share of the result that probes may cost; their price and the traffic give the pace


def _likeness(request: Request) -> tuple[object, ...] | None:
    """What a client's retry has in common with its first try; None where no key or hint singles it out."""
    return (
        (request.job_class, request.key, request.hint_ns, request.slots, request.memory)
        if (request.key or request.hint_ns)
        else None
    )


class Jobs(Draw):
    """What is owed, and how each of it ends."""

    def _take(self, request: Request) -> None:
        # A retry, known by the figures of a job turned away here, is as old as it; shared figures tell none.
        born_ns = self.turned_away.pop(like, self.now_ns) if (like := _likeness(request)) else self.now_ns
        job = Job(request, self.settings.classes[request.job_class], born_ns, self.settings.max_attempts)
        self.jobs[request.request] = self.held[request.request] = job
        self.running.offer(request.slots * self._expected_ns(job))
        # The answer is due a tick before the client's time runs out, whatever else happens.
        left_ns = int(max(0, min(request.time_left_ns - self.settings.tick_ns, self.end_ns - self.now_ns)))
        job.due_ns = self.now_ns + left_ns
        heapq.heappush(self.due, (job.due_ns, request.request))
        self.out.append(SetTimer(left_ns, 2))
        each = min(LOOK_MOST, PROBE_SPEND / max(1e-9, self.settings.probe_price))
        self.probes_left = min(self.probes_left + each, 8.0 * LOOK_MOST)

    def _adopt(self, event: Adopted) -> None:
        """Go on with a job of an earlier process, and the attempt that may be out; its load is recalled."""
        self._take(event.request)
        job = self.jobs[event.request.request]
        job.born_ns, job.attempts = event.born_ns, event.attempts
        if event.worker:
            del self.held[event.request.request]
            gone = Worker(WorkerEntry(event.worker, WorkerState.GONE))
            worker = self.workers.setdefault(event.worker, gone)
            self._book(Attempt(job, job.attempts - 1, worker, event.sent_ns, started_ns=event.started_ns))
            worker.own += event.request.slots

    def _begin_stream(self, event: StreamBegun) -> None:
        if event.request in self.jobs:
            self.jobs[event.request].stream = True

    def _close(self, request: int) -> Job | None:
        """The job is over: forget it and call off what is still out."""
        job = self.jobs.pop(request, None)
        self.held.pop(request, None)
        self.planner.drop(self.now_ns, request, "job_over")
        if job is not None:
            for attempt in job.live.values():
                self._call_off(attempt)
        return job

    def _answer(self, job: Job) -> None:
        """Give the final answer: a refusal, till workers tell anew of their room, where that is harmless."""
        harmless = not job.rejected and (job.rules.effect is Effect.SAFE or not (job.risky or job.live))
        self._close(job.request.request)
        if (like := _likeness(job.request)) is not None:
            self.turned_away[like] = job.born_ns
        if len(self.turned_away) > MAX_TURNED_AWAY:
            del self.turned_away[next(iter(self.turned_away))]
        wait_ns = min(jittered_delay_ns(self.random, self.interval.ns), self.settings.max_retry_after_ns)
        self.out.append(Refuse(job.request.request, wait_ns) if harmless else Fail(job.request.request))

    def _end_attempt(self, event: AttemptEnded) -> None:
        """An outcome: free what the attempt held, then redraw, wait, or give the final answer."""
        if (attempt := self.attempts.pop((event.request, event.attempt), None)) is None:
            return
        job, worker, need = attempt.job, attempt.worker, attempt.job.request
        del worker.live[(event.request, event.attempt)]
        job.live.pop(event.attempt, None)
        worker.note_change(self.now_ns, -need.slots, -need.memory)
        if event.report is not None:
            self._hear(worker, event.report)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            worker.job_sign_ns = self.now_ns
            worker.clear()
        lasting = event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.REJECTED)
        worker.used_ns = self.now_ns if lasting else 0
        if event.outcome is Outcome.RESET:
            self.idle.broke(self.now_ns, self.settings.conn_idle_ns, attempt.idle_ns, event.latency_ns)
        if event.outcome is Outcome.FULL:
            # Guards against reports that promise room a worker does not give: refused again, it rests longer.
            self._feel(worker)
            worker.refusals += 1
            job.refusals += 1
            job.wait_ns = self.now_ns + FRESH_NS * ((1 << min(job.refusals - 1, 8)) - 1)
            rest_ns = min(TRIAL_MAX_NS, FRESH_NS << min(worker.refusals - 1, 8))
            worker.rest_ns = self.now_ns + rest_ns
        if event.outcome is Outcome.CONNECT_FAILED:
            self._suspect(worker)
        if event.outcome is Outcome.ERROR:
            # Guards against workers that fail each job at once: with all slots free they draw ever more.
            worker.errors += 1
            if worker.errors > 1:  # one may be chance
                rest_ns = TRIAL_NS << min(max(0, int(worker.errors) - 2), 8)
                worker.rest_ns = self.now_ns + min(TRIAL_MAX_NS, rest_ns)
        if event.outcome is Outcome.OK:
            worker.errors *= FORGIVE
            self._learn(attempt, event.latency_ns)
        if event.over or event.outcome is Outcome.OK:
            self._close(event.request)
        elif event.request in self.jobs:
            if not event.outcome.never_ran and job.risky is None:
                job.risky = attempt
            job.rejected = event.outcome is Outcome.REJECTED
            if job.live:
                return
            clean = event.outcome.never_ran and job.risky is None
            if (clean and job.attempts < job.most) or self._may_repeat(job, attempt):
                self.held[event.request] = job
            else:
                self._answer(job)

    def _note(self, event: AttemptNote) -> None:
        if (attempt := self.attempts.get((event.request, event.attempt))) is not None:
            if event.progress is None:
                attempt.started_ns = self.now_ns
            attempt.worker.job_sign_ns = self.now_ns
            attempt.worker.clear()

    def _end(self, event: Ending) -> None:
        self.end_ns = self.now_ns + event.left_ns
        self.due += [(self.end_ns, request) for request in self.jobs]
        heapq.heapify(self.due)
        self.out.append(SetTimer(event.left_ns, 2))
