"""Jobs from their coming to their final answer: the table of outcomes, deadlines, what may run again."""

from __future__ import annotations

import heapq

from weldquay.discovery.backoff import jittered_delay_ns
from weldquay.interface import (
    RequestMigrated,
    AttemptEnded,
    AttemptProgress,
    Idempotency,
    ShutdownStarted,
    Fail,
    Outcome,
    Reject,
    RequestReceived,
    SetTimer,
    ResponseStarted,
    WorkerEntry,
    WorkerState,
)
from weldquay.state.records import INITIAL_TRIAL_BACKOFF_NS, Attempt, Job, Worker
from weldquay.policy.draw import LOOK_MOST, Draw
from weldquay.policy.health import FORGIVE, FRESH_NS, TRIAL_MAX_NS

MAX_TURNED_AWAY = 4096  # refused jobs known at their retries: 1,300 a second over a deadline of 3 s
PROBE_SPEND = 0.02  # share of the result that probes may cost; their price and the traffic give the pace


def _likeness(request: RequestReceived) -> tuple[object, ...] | None:
    """What a client's retry has in common with its first try; None where no key or hint singles it out."""
    return (
        (request.job_class, request.key, request.runtime_hint_ns, request.slots, request.memory)
        if (request.key or request.runtime_hint_ns)
        else None
    )


class Jobs(Draw):
    """What is owed, and how each of it ends."""

    def _take(self, request: RequestReceived) -> None:
        # A retry, known by the figures of a job turned away here, is as old as it; shared figures tell none.
        born_ns = self.rejected_since.pop(like, self.now_ns) if (like := _likeness(request)) else self.now_ns
        job = Job(request, self.settings.classes[request.job_class], born_ns, self.settings.max_attempts)
        self.jobs[request.request_id] = self.queued[request.request_id] = job
        self.runtimes.record_request(request.slots * self._expected_ns(job))
        # The answer is due a tick before the client's time runs out, whatever else happens.
        left_ns = int(
            max(
                0,
                min(request.time_left_ns - self.settings.clock_resolution_ns, self.shutdown_ns - self.now_ns),
            )
        )
        job.answer_due_ns = self.now_ns + left_ns
        heapq.heappush(self.deadlines, (job.answer_due_ns, request.request_id))
        self.actions.append(SetTimer(left_ns, 2))
        each = min(LOOK_MOST, PROBE_SPEND / max(1e-9, self.settings.probe_cost))
        self.probe_budget = min(self.probe_budget + each, 8.0 * LOOK_MOST)

    def _adopt(self, event: RequestMigrated) -> None:
        """Go on with a job of an earlier process, and the attempt that may be out; its load is recalled."""
        self._take(event.request)
        job = self.jobs[event.request.request_id]
        job.first_received_ns, job.attempts = event.first_received_ns, event.attempts
        if event.worker:
            del self.queued[event.request.request_id]
            gone = Worker(WorkerEntry(event.worker, WorkerState.GONE))
            worker = self.workers.setdefault(event.worker, gone)
            self._book(Attempt(job, job.attempts - 1, worker, event.sent_ns, started_ns=event.started_ns))
            worker.own_slots += event.request.slots

    def _begin_stream(self, event: ResponseStarted) -> None:
        if event.request_id in self.jobs:
            self.jobs[event.request_id].streaming = True

    def _close(self, request: int) -> Job | None:
        """The job is over: forget it and call off what is still out."""
        job = self.jobs.pop(request, None)
        self.queued.pop(request, None)
        self.scheduler.cancel(self.now_ns, request, "job_over")
        if job is not None:
            for attempt in job.in_flight.values():
                self._call_off(attempt)
        return job

    def _answer(self, job: Job) -> None:
        """Give the final answer: a refusal, till workers tell anew of their room, where that is harmless."""
        harmless = not job.unprocessable and (
            job.class_settings.idempotency is Idempotency.IDEMPOTENT
            or not (job.possibly_executed or job.in_flight)
        )
        self._close(job.request.request_id)
        if (like := _likeness(job.request)) is not None:
            self.rejected_since[like] = job.first_received_ns
        if len(self.rejected_since) > MAX_TURNED_AWAY:
            del self.rejected_since[next(iter(self.rejected_since))]
        wait_ns = min(
            jittered_delay_ns(self.random, self.report_interval.ns), self.settings.max_retry_after_ns
        )
        self.actions.append(
            Reject(job.request.request_id, wait_ns) if harmless else Fail(job.request.request_id)
        )

    def _end_attempt(self, event: AttemptEnded) -> None:
        """An outcome: free what the attempt held, then redraw, wait, or give the final answer."""
        if (attempt := self.attempts.pop((event.request_id, event.attempt), None)) is None:
            return
        job, worker, need = attempt.job, attempt.worker, attempt.job.request
        del worker.in_flight[(event.request_id, event.attempt)]
        job.in_flight.pop(event.attempt, None)
        worker.record_change(self.now_ns, -need.slots, -need.memory)
        if event.report is not None:
            self._hear(worker, event.report)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.UNPROCESSABLE):
            worker.last_response_ns = self.now_ns
            worker.mark_alive()
        lasting = event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.OVERLOADED, Outcome.UNPROCESSABLE)
        worker.connection_idle_since_ns = self.now_ns if lasting else 0
        if event.outcome is Outcome.RESET:
            self.idle_timeout.broke(
                self.now_ns,
                self.settings.connection_idle_timeout_ns,
                attempt.connection_idle_ns,
                event.latency_ns,
            )
        if event.outcome is Outcome.OVERLOADED:
            # Guards against reports that promise room a worker does not give: refused again, it rests longer.
            self._feel(worker)
            worker.consecutive_rejections += 1
            job.overload_count += 1
            job.retry_not_before_ns = self.now_ns + FRESH_NS * ((1 << min(job.overload_count - 1, 8)) - 1)
            rest_ns = min(TRIAL_MAX_NS, FRESH_NS << min(worker.consecutive_rejections - 1, 8))
            worker.backoff_until_ns = self.now_ns + rest_ns
        if event.outcome is Outcome.CONNECT_FAILED:
            self._suspect(worker)
        if event.outcome is Outcome.ERROR:
            # Guards against workers that fail each job at once: with all slots free they draw ever more.
            worker.failure_score += 1
            if worker.failure_score > 1:  # one may be chance
                rest_ns = INITIAL_TRIAL_BACKOFF_NS << min(max(0, int(worker.failure_score) - 2), 8)
                worker.backoff_until_ns = self.now_ns + min(TRIAL_MAX_NS, rest_ns)
        if event.outcome is Outcome.OK:
            worker.failure_score *= FORGIVE
            self._learn(attempt, event.latency_ns)
        if event.request_finished or event.outcome is Outcome.OK:
            self._close(event.request_id)
        elif event.request_id in self.jobs:
            if not event.outcome.never_executed and job.possibly_executed is None:
                job.possibly_executed = attempt
            job.unprocessable = event.outcome is Outcome.UNPROCESSABLE
            if job.in_flight:
                return
            clean = event.outcome.never_executed and job.possibly_executed is None
            if (clean and job.attempts < job.max_attempts) or self._may_repeat(job, attempt):
                self.queued[event.request_id] = job
            else:
                self._answer(job)

    def _note(self, event: AttemptProgress) -> None:
        if (attempt := self.attempts.get((event.request_id, event.attempt))) is not None:
            if event.progress is None:
                attempt.started_ns = self.now_ns
            attempt.worker.last_response_ns = self.now_ns
            attempt.worker.mark_alive()

    def _end(self, event: ShutdownStarted) -> None:
        self.shutdown_ns = self.now_ns + event.time_left_ns
        self.deadlines += [(self.shutdown_ns, request) for request in self.jobs]
        heapq.heapify(self.deadlines)
        self.actions.append(SetTimer(event.time_left_ns, 2))
