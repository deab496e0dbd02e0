"""Which workers the dispatcher leaves out: failing, slow, silent and banned ones, event by event."""

from __future__ import annotations

import math
from typing import Any

import pytest

from weldquay import interface as api
from weldquay.interface import Idempotency, Outcome
from weldquay.estimators.runtime import RuntimeEstimator
from tests.helpers import MS, SECOND, Drive, job_class, sends, settings, started


def test_a_worker_that_fails_job_after_job_rests() -> None:
    """It reports free slots all the while, so it would draw ever more; it is tried with safe jobs first."""
    classes = (job_class(), job_class(idempotency=Idempotency.NON_IDEMPOTENT))
    drive = Drive(settings(classes=classes, max_attempts=2), workers=1)
    for number in range(2):
        drive.report(1, 4.0)
        (send,) = sends(drive.step(api.RequestReceived(number, 0, 10 * SECOND)))
        drive.end(send, Outcome.ERROR, over=True)
        assert not sends(drive.step(api.RequestReceived(10 + number, 1, SECOND)) + drive.run(300 * MS))
    drive.report(1, 4.0)
    assert not sends(drive.step(api.RequestReceived(3, 0, 5 * SECOND)))
    drive.run(700 * MS)
    (send,) = sends(drive.report(1, 4.1) + drive.run(200 * MS))
    assert send.request_id == 3
    drive.end(send, Outcome.OK, over=True)


def test_one_job_that_ends_well_does_not_clear_a_worker_that_fails_half_of_them() -> None:
    """Each dispatcher meets it seldom, and its jobs that must not run twice are lost at each failure."""
    classes = (job_class(), job_class(idempotency=Idempotency.NON_IDEMPOTENT))
    drive = Drive(settings(classes=classes, may_probe=False), workers=1)
    drive.report(1, 4.0)
    (send,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    drive.end(send, Outcome.ERROR, over=True)
    for number in (2, 3):
        assert not sends(
            drive.report(1, 4.0 + number) + drive.step(api.RequestReceived(10 + number, 1, SECOND))
        )
        drive.step(api.ClientDisconnected(10 + number))
        (send,) = sends(drive.step(api.RequestReceived(number, 0, 10 * SECOND)))
        drive.end(send, Outcome.OK, over=True)
    assert sends(drive.report(1, 4.0) + drive.step(api.RequestReceived(20, 1, SECOND)))


def test_silent_worker_is_left_and_its_safe_job_moves() -> None:
    """A worker that takes jobs and tells nothing: no new jobs, and what may be repeated goes elsewhere."""
    drive, send = started(Idempotency.IDEMPOTENT, latency_objective_ns=6 * SECOND)
    actions = drive.run(3 * SECOND)
    assert api.Cancel(7, 0) in actions
    again, *_ = sends(drive.end(send, Outcome.CANCELLED) + drive.run(2 * SECOND))
    assert again.worker != send.worker


def test_silence_leaves_unsafe_work_alone() -> None:
    """An unsafe job on a silent worker is not called off: it may yet be answered."""
    drive, _ = started(Idempotency.NON_IDEMPOTENT)
    assert not any(isinstance(action, api.Cancel) for action in drive.run(5 * SECOND))


def test_a_refusing_worker_rests_longer_each_time() -> None:
    """Incident i35f28b: reports promised room that was not there, and refused jobs came back."""
    drive = Drive(workers=1)
    gaps = []
    drive.report(1, 3.0)
    (send,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    for number in range(2):
        since = drive.now
        drive.end(send, Outcome.OVERLOADED, attempt=number)
        while not (again := sends(drive.step(api.TimerDue(1), after=20 * MS))):
            continue
        gaps.append(drive.now - since)
        send = again[0]
    assert gaps[0] >= 200 * MS and gaps[1] >= 1.5 * gaps[0]


def test_a_refused_probe_is_no_strike() -> None:
    """Probes are capped at a worker: being turned away shows that it lives."""
    drive = Drive(workers=2)
    drive.report(2, 1.0)
    for _ in range(5):
        drive.step(api.ProbeEnded(1, Outcome.OVERLOADED, MS), after=10 * MS)
    assert not drive.dispatcher.workers[1].is_ejected


def test_a_worker_whose_jobs_run_far_too_long_is_left_out() -> None:
    """It reports free slots as before; the job that runs shows it before its end, and for a while after."""
    drive = Drive(settings(reports_start=True), workers=3)
    slow: api.Send | None = None
    for number in range(60):
        for worker in drive.worker_ids:
            drive.report(worker, 4.0)
        (send,) = sends(drive.step(api.RequestReceived(number, 0, 10 * SECOND, runtime_hint_ns=100 * MS)))
        assert slow is None or number < 10 or send.worker != slow.worker
        drive.step(api.AttemptProgress(number, 0, send.worker), after=MS)
        if slow is None:
            slow = send  # it goes on and on
        elif send.worker != slow.worker:
            drive.step(after=100 * MS)
            drive.end(send, Outcome.OK, over=True)
    assert slow is not None
    drive.end(slow, Outcome.OK, over=True)
    for number in range(60, 70):
        drive.report(slow.worker, 4.0)
        assert all(
            send.worker != slow.worker
            for send in sends(
                drive.step(api.RequestReceived(number, 0, 10 * SECOND, runtime_hint_ns=100 * MS))
            )
        )


def idle_pair(**changes: Any) -> tuple[Drive, api.Send]:
    """A worker that has served one job, pushed to again after two idle seconds."""
    drive = Drive(settings(may_probe=False, **changes), workers=1)
    (send,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    drive.end(send, Outcome.OK, over=True)
    return drive, sends(drive.step(api.RequestReceived(2, 0, 10 * SECOND), after=2 * SECOND))[0]


def test_a_reset_on_an_idle_connection_closes_such_ones_before_the_next_push() -> None:
    """Idle connections dropped unseen: every job sent on one was lost, though the workers were well."""
    drive, send = idle_pair()
    (again,) = sends(drive.end(send, Outcome.RESET)) or sends(drive.run(100 * MS))
    drive.end(again, Outcome.OK, attempt=1, over=True)
    actions = drive.step(api.RequestReceived(3, 0, 10 * SECOND), after=2 * SECOND)
    assert actions.index(api.CloseIdleConnections(1)) < actions.index(api.Send(3, 1))
    drive.step(api.AttemptEnded(3, 0, 1, Outcome.OK, MS, True), after=60 * SECOND)
    actions = drive.step(api.RequestReceived(4, 0, 10 * SECOND), after=2 * SECOND)  # trusted again by now
    assert api.CloseIdleConnections(1) not in actions and sends(actions)


def test_a_banned_worker_gets_nothing_until_it_is_put_back() -> None:
    """Neither jobs nor probes, whatever the list says; then it is probed at once, and counts as cold."""
    drive = Drive(settings(initial_capacity_fraction=0.2, overload_window_ns=2 * SECOND), workers=1)
    drive.report(1, 4.0)
    drive.step(api.WorkerBanChanged(1))
    drive.step(
        drive.list_of(api.EndpointListKind.FULL),
        api.RequestReceived(1, 0, 5 * SECOND, runtime_hint_ns=100 * MS),
    )
    assert not sends(drive.run(SECOND)) and not any(isinstance(each, api.Probe) for each in drive.all)
    assert api.Probe(1) in drive.step(api.WorkerBanChanged(1, False))
    (send,) = sends(drive.report(1, 4.0))
    assert send.worker == 1
    drive.step(api.RequestReceived(2, 0, 5 * SECOND, runtime_hint_ns=60 * SECOND))
    drive.report(1, 4.0)
    assert not sends(drive.run(SECOND))  # more work than a cold worker may get
    assert sends(
        drive.step(api.RequestReceived(3, 0, 5 * SECOND, runtime_hint_ns=100 * MS)) + drive.report(1, 4.0)
    )


def test_a_ban_may_come_before_the_list_names_its_worker() -> None:
    """As at the start of a process that an upgrade put in another's place."""
    drive = Drive(workers=0)
    drive.step(api.WorkerBanChanged(1))
    drive.worker_ids = [1]
    drive.step(drive.list_of(), api.RequestReceived(1, 0, 5 * SECOND))
    drive.report(1, 4.0)
    assert not sends(drive.all)


def test_a_worker_that_was_put_back_has_the_next_job_that_suits() -> None:
    """It stayed unused for 5 s, since a water-fill over many workers need not draw it."""
    for seed in range(8):
        drive = Drive(workers=6, seed=seed)
        drive.step(api.WorkerBanChanged(6))
        for worker in range(1, 6):
            drive.report(worker, 9.0)
        drive.step(api.WorkerBanChanged(6, False))
        drive.report(6, 2.0)
        (send,) = sends(drive.step(api.RequestReceived(1, 0, 5 * SECOND, runtime_hint_ns=50 * MS)))
        assert send.worker == 6 and not drive.dispatcher.table.reinstated


def test_a_worker_that_reports_slow_service_is_left_out_before_any_own_job() -> None:
    """At 200 dispatchers each paid for its own slow jobs at a sick worker: its report tells all at once."""
    drive = Drive(workers=4)
    for number in range(6):  # a report that says the same again is no news
        for worker in drive.worker_ids:
            drive.report(worker, 3.0, service_ms=(4000.0 if worker == 1 else 500.0) + number)
    jobs = [api.RequestReceived(n, 0, 10 * SECOND) for n in range(1, 9)]
    chosen = [send.worker for send in sends(drive.step(*jobs))]
    assert len(chosen) == 8 and 1 not in chosen
    for worker in drive.worker_ids:  # once it is as quick as the others it is drawn again
        for number in range(6):
            drive.report(worker, 3.0, service_ms=500.0 + number)
    later = [api.RequestReceived(n, 0, 10 * SECOND) for n in range(9, 40)]
    assert 1 in {send.worker for send in sends(drive.step(*later))}


def test_a_kinds_usual_service_time_is_learnt_before_it_counts() -> None:
    """A worker's told time counts against the mean of its kind, once that rests on ten reports."""
    running = RuntimeEstimator([SECOND])
    assert running.apply_service_time(0, 4000.0, 0.1) == 0.1
    for _ in range(10):
        running.apply_service_time(0, 500.0, 0.0)
    assert running.apply_service_time(0, 4000.0, 0.0) == pytest.approx(
        math.log(8) * 10 / 11 / 2
    )  # the first counts
    assert running.apply_service_time(0, 0.0, 0.0) < 0 and running.apply_service_time(1, 4000.0, 0.0) == 0.0


def test_a_cold_workers_slow_service_is_not_held_against_it() -> None:
    """A worker that has just started is slow by the platform's rules: its told times count for nothing."""
    drive = Drive(workers=4)
    entries = [
        api.WorkerEntry(w, api.WorkerState.READY, cell=w // 2, started_ns=drive.now if w == 1 else 0)
        for w in drive.worker_ids
    ]
    drive.step(api.EndpointListUpdate(api.EndpointListKind.CACHED, tuple(entries)))
    for number in range(6):
        for worker in drive.worker_ids:
            drive.report(worker, 3.0, service_ms=(4000.0 if worker == 1 else 500.0) + number)
    assert drive.dispatcher.workers[1].slowness[0] == 0.0
    assert drive.dispatcher.parts.runtimes.service[0][1] == 18  # the three warm ones, six times
