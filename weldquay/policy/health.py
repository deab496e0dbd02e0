"""Workers and their health: loads, reports, probes that ended, silence, suspicion and rescue."""

from __future__ import annotations

import math

from weldquay.candidates.index import CandidateIndex
from weldquay.interface import Cancel, Idempotency, LoadReport, Outcome, ProbeEnded, WorkerState
from weldquay.state.records import (
    LOAD_REPORT_MAX_AGE_NS,
    SECOND_NS,
    INITIAL_TRIAL_BACKOFF_NS,
    Attempt,
    Job,
    Worker,
)
from weldquay.policy.cold import ColdStarts
from weldquay.policy.state import FIRST_SLOTS
from weldquay.policy.times import COVER_NS

FORGIVE, DOUBT = 0.5, 0.3  # after an error two jobs that may run again end well before others go there
FRESH_NS = 300_000_000  # news as old as this needs no look; older, a worker may have got several jobs since
LOOK_WAIT_NS = 30_000_000  # a job waits this long for a look: round trips are ms, a late one is no loss
PROBE_REST_NS = SECOND_NS  # a worker that turns probes away, or does not answer one, has none for so long
SILENT_STEPS = 2.2  # progress notes missed in a row before a worker counts as standing still
SILENT_FLOOR_NS = SECOND_NS  # the same where no notes are promised for shorter spans
PROBE_STRIKES = 2  # probes failed in a row before they count: one may be lost or wait behind a job
TRIAL_MAX_NS = 8 * SECOND_NS
ZONE_LEARN = 0.1  # weight of a new report in the mean load of its zone: some seconds of a quiet dispatcher


class Health(ColdStarts):
    """What is known of each worker, and whether it is to be trusted with jobs."""

    index: CandidateIndex

    def _load(self, worker: Worker) -> float:
        """Own pushes since the report minus its free slots; never fewer than the own attempts still out.

        One without current news counts as the mean of its zone: as empty ones such would draw all jobs.
        """
        known = worker.own_slots - round(
            worker.estimated_slots if worker.estimated_slots >= 0.5 else self.mean_slots
        )
        if worker.free_slots is None or self.now_ns - worker.reported_ns > LOAD_REPORT_MAX_AGE_NS:
            return max(known, worker.own_slots + self.mean_zone_load.get(worker.entry.zone, -FIRST_SLOTS))
        return max(known, worker.unreported_slots - worker.free_slots)

    def _feel(self, worker: Worker, load: float | None = None) -> None:
        """A worker's load counts for its zone; so does (None) a sign of no room where looks tell more."""
        if load is None and not (self.settings.may_probe and self.settings.reports_in_probes):
            return
        usual = self.mean_zone_load.get(worker.entry.zone, -FIRST_SLOTS if load is None else load)
        self.mean_zone_load[worker.entry.zone] = usual + ZONE_LEARN * (
            (1.0 if load is None else load) - usual
        )

    def _healthy(self, worker: Worker) -> bool:
        """True where nothing tells against the worker; a suspect is tried by a probe, else by a job."""
        return (
            worker.entry.state is WorkerState.READY
            and worker.entry.worker not in self.banned_workers
            and (
                self.now_ns >= worker.backoff_until_ns
                and (
                    not worker.is_ejected
                    or (not self.settings.may_probe and self.now_ns >= worker.next_trial_ns)
                )
            )
        )

    def _silent(self, worker: Worker) -> bool:
        """True where own attempts are out and neither note nor answer has come for too long."""
        patience = max(SILENT_FLOOR_NS, SILENT_STEPS * self.settings.progress_interval_ns)
        return self.settings.progress_interval_ns > 0 and worker.silence_ns(self.now_ns) > patience

    def _hear(self, worker: Worker, report: LoadReport) -> None:
        """Take in a report, and learn how often they are new: pushes since the last new one are not in it."""
        gap_ns, new = self.now_ns - worker.reported_ns, report != worker.report
        if worker.report is not None:
            self.report_interval.learn(gap_ns, new)
        worker.reported_ns = self.now_ns
        if new:
            worker.report = report
            cover_ns = COVER_NS + min(gap_ns, int(self.report_interval.ns)) // 2
            worker.apply_load_report(self.now_ns, report, cover_ns, self.settings.workers_queue_in_order)
            if report.service_ms is not None and self._cold_room(worker) == math.inf:  # cold ones are slow
                drag = self.runtimes.apply_service_time(
                    worker.entry.kind, report.service_ms, self._drag(worker)
                )
                worker.slowness = drag, self.now_ns
        self.recently_reported.pop(worker.entry.worker, None)
        self.recently_reported[worker.entry.worker] = worker
        self.index.load_reported(worker)
        if worker.free_slots is not None:
            self._feel(worker, -worker.free_slots)
            self.mean_slots = max(
                1.0, self.mean_slots + ZONE_LEARN * (worker.estimated_slots - self.mean_slots)
            )

    def _end_probe(self, event: ProbeEnded) -> None:
        if (worker := self.workers.get(event.worker)) is None:
            return
        worker.probe_pending, worker.next_probe_ns = False, 0
        if event.latency_ns > LOOK_WAIT_NS or event.outcome is Outcome.OVERLOADED:
            self._feel(worker)
        if (
            event.outcome is Outcome.OVERLOADED
        ):  # too many probes there, by all dispatchers: it lives, so ask less
            worker.next_probe_ns = self.now_ns + PROBE_REST_NS
        elif event.outcome is Outcome.OK:
            worker.consecutive_probe_failures = 0
            if worker.is_ejected and not self._silent(worker):
                worker.is_ejected, worker.trial_backoff_ns = False, INITIAL_TRIAL_BACKOFF_NS
            if event.report is not None:
                self._hear(worker, event.report)
        else:
            worker.consecutive_probe_failures += 1
            # A probe may wait behind jobs like a job: its loss counts only where there was room.
            if (
                event.outcome is Outcome.CONNECT_FAILED
                or worker.is_ejected
                or (worker.consecutive_probe_failures >= PROBE_STRIKES and self._load(worker) < 0)
            ):
                self._suspect(worker)

    def _call_off(self, attempt: Attempt) -> None:
        if self.settings.may_cancel and not attempt.cancelled and not attempt.job.streaming:
            attempt.cancelled = True
            self.actions.append(Cancel(attempt.job.request.request_id, attempt.number))

    def _may_repeat(self, job: Job, attempt: Attempt) -> bool:
        """True where the job may be sent again though the attempt may have run."""
        if job.attempts >= job.max_attempts or job.streaming or job.unprocessable:
            return False
        return self.now_ns < self._repeat_by_ns(job, attempt)

    def _repeat_by_ns(self, job: Job, attempt: Attempt) -> float:
        """Until when the job may be sent again though the attempt may have run."""
        if job.class_settings.idempotency is Idempotency.IDEMPOTENT_BY_KEY:
            # The margin is one for the worker's clock.
            return (
                job.possibly_executed or attempt
            ).sent_ns + job.class_settings.idempotency_window_ns * 9 // 10
        return math.inf if job.class_settings.idempotency is Idempotency.IDEMPOTENT else 0

    def _rescue(self, worker: Worker) -> None:
        """Take back what may be repeated from a worker that stands still; the outcome then redraws it."""
        for attempt in worker.in_flight.values():
            if attempt.job.request.request_id in self.jobs and self._may_repeat(attempt.job, attempt):
                self._call_off(attempt)

    def _suspect(self, worker: Worker) -> None:
        """The one judgement of health: no new jobs until a sign of life or a trial; rescue what may be."""
        if not worker.is_ejected or self.now_ns >= worker.next_trial_ns:
            self.index.mark_changed(worker.entry.worker)
            worker.is_ejected, worker.next_trial_ns = True, self.now_ns + worker.trial_backoff_ns
            worker.trial_backoff_ns = min(TRIAL_MAX_NS, worker.trial_backoff_ns * 2)
            self._rescue(worker)
