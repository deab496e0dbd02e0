"""Worker health: failing, slow, unresponsive, overloaded and banned workers get no requests."""

from __future__ import annotations

import math
from typing import Any

import pytest

from tests.helpers import MS, SECOND, DispatcherDriver, job_class, sends, settings, start_attempt
from weldquay import interface as api
from weldquay.estimators.runtime import RuntimeEstimator
from weldquay.interface import Idempotency, Outcome


def test_worker_that_fails_repeatedly_backs_off() -> None:
    """It reports free slots throughout; after the backoff, idempotent requests are sent to it first."""
    classes = (job_class(), job_class(idempotency=Idempotency.NON_IDEMPOTENT))
    driver = DispatcherDriver(settings(classes=classes, max_attempts=2), workers=1)
    for number in range(2):
        driver.report(1, 4.0)
        (send,) = sends(driver.step(api.RequestReceived(number, 0, 10 * SECOND)))
        driver.end(send, Outcome.ERROR, request_finished=True)
        assert not sends(driver.step(api.RequestReceived(10 + number, 1, SECOND)) + driver.run(300 * MS))
    driver.report(1, 4.0)
    assert not sends(driver.step(api.RequestReceived(3, 0, 5 * SECOND)))
    driver.run(700 * MS)
    (send,) = sends(driver.report(1, 4.1) + driver.run(200 * MS))
    assert send.request_id == 3
    driver.end(send, Outcome.OK, request_finished=True)


def test_one_success_does_not_clear_the_failure_score() -> None:
    """A worker that fails half of its requests gets non-idempotent ones only after two successes."""
    classes = (job_class(), job_class(idempotency=Idempotency.NON_IDEMPOTENT))
    driver = DispatcherDriver(settings(classes=classes, may_probe=False), workers=1)
    driver.report(1, 4.0)
    (send,) = sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))
    driver.end(send, Outcome.ERROR, request_finished=True)
    for number in (2, 3):
        assert not sends(
            driver.report(1, 4.0 + number) + driver.step(api.RequestReceived(10 + number, 1, SECOND))
        )
        driver.step(api.ClientDisconnected(10 + number))
        (send,) = sends(driver.step(api.RequestReceived(number, 0, 10 * SECOND)))
        driver.end(send, Outcome.OK, request_finished=True)
    assert sends(driver.report(1, 4.0) + driver.step(api.RequestReceived(20, 1, SECOND)))


def test_silent_worker_is_ejected_and_its_idempotent_request_is_retried() -> None:
    """A worker that does not respond gets no requests, and its retryable attempts are cancelled."""
    driver, send = start_attempt(Idempotency.IDEMPOTENT, latency_objective_ns=6 * SECOND)
    actions = driver.run(3 * SECOND)
    assert api.Cancel(7, 0) in actions
    retry, *_ = sends(driver.end(send, Outcome.CANCELLED) + driver.run(2 * SECOND))
    assert retry.worker != send.worker


def test_non_idempotent_attempt_at_a_silent_worker_is_not_cancelled() -> None:
    """The worker may still answer it."""
    driver, _ = start_attempt(Idempotency.NON_IDEMPOTENT)
    assert not any(isinstance(action, api.Cancel) for action in driver.run(5 * SECOND))


def test_backoff_grows_with_rejections_in_a_row() -> None:
    """Incident i35f28b: workers reported free slots but rejected requests."""
    driver = DispatcherDriver(workers=1)
    backoffs = []
    driver.report(1, 3.0)
    (send,) = sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))
    for number in range(2):
        since = driver.now_ns
        driver.end(send, Outcome.OVERLOADED, attempt=number)
        while not (retry := sends(driver.step(api.TimerDue(1), after=20 * MS))):
            continue
        backoffs.append(driver.now_ns - since)
        send = retry[0]
    assert backoffs[0] >= 200 * MS and backoffs[1] >= 1.5 * backoffs[0]


def test_rejected_probe_is_not_a_failure() -> None:
    """Workers limit the rate of probes, so a rejected probe shows that the worker is alive."""
    driver = DispatcherDriver(workers=2)
    driver.report(2, 1.0)
    for _ in range(5):
        driver.step(api.ProbeEnded(1, Outcome.OVERLOADED, MS), after=10 * MS)
    assert not driver.dispatcher.workers[1].is_ejected


def test_slow_worker_gets_no_requests() -> None:
    """It still reports free slots. A running request shows the slowness, also for a while after its end."""
    driver = DispatcherDriver(settings(reports_start=True), workers=3)
    slow: api.Send | None = None
    for number in range(60):
        for worker in driver.worker_numbers:
            driver.report(worker, 4.0)
        (send,) = sends(driver.step(api.RequestReceived(number, 0, 10 * SECOND, runtime_hint_ns=100 * MS)))
        assert slow is None or number < 10 or send.worker != slow.worker
        driver.step(api.AttemptProgress(number, 0, send.worker), after=MS)
        if slow is None:
            slow = send  # this attempt does not end
        elif send.worker != slow.worker:
            driver.step(after=100 * MS)
            driver.end(send, Outcome.OK, request_finished=True)
    assert slow is not None
    driver.end(slow, Outcome.OK, request_finished=True)
    for number in range(60, 70):
        driver.report(slow.worker, 4.0)
        assert all(
            send.worker != slow.worker
            for send in sends(
                driver.step(api.RequestReceived(number, 0, 10 * SECOND, runtime_hint_ns=100 * MS))
            )
        )


def attempt_on_idle_connection(**changes: Any) -> tuple[DispatcherDriver, api.Send]:
    """Return a dispatcher whose worker served a request, and the send of another after 2 s of idle time."""
    driver = DispatcherDriver(settings(may_probe=False, **changes), workers=1)
    (send,) = sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))
    driver.end(send, Outcome.OK, request_finished=True)
    return driver, sends(driver.step(api.RequestReceived(2, 0, 10 * SECOND), after=2 * SECOND))[0]


def test_reset_of_an_idle_connection_closes_idle_connections_before_the_next_send() -> None:
    """Workers may drop idle connections without notice; after some time they are reused again."""
    driver, send = attempt_on_idle_connection()
    (retry,) = sends(driver.end(send, Outcome.RESET)) or sends(driver.run(100 * MS))
    driver.end(retry, Outcome.OK, attempt=1, request_finished=True)
    actions = driver.step(api.RequestReceived(3, 0, 10 * SECOND), after=2 * SECOND)
    assert actions.index(api.CloseIdleConnections(1)) < actions.index(api.Send(3, 1))
    driver.step(api.AttemptEnded(3, 0, 1, Outcome.OK, MS, True), after=60 * SECOND)
    actions = driver.step(api.RequestReceived(4, 0, 10 * SECOND), after=2 * SECOND)  # reused again by now
    assert api.CloseIdleConnections(1) not in actions and sends(actions)


def test_banned_worker_gets_nothing_until_its_ban_is_lifted() -> None:
    """Whatever the list says, it gets neither requests nor probes; then it is probed at once and warms up."""
    driver = DispatcherDriver(
        settings(initial_capacity_fraction=0.2, overload_window_ns=2 * SECOND), workers=1
    )
    driver.report(1, 4.0)
    driver.step(api.WorkerBanChanged(1))
    driver.step(
        driver.complete_list(api.EndpointListKind.FULL),
        api.RequestReceived(1, 0, 5 * SECOND, runtime_hint_ns=100 * MS),
    )
    assert not sends(driver.run(SECOND)) and not any(
        isinstance(action, api.Probe) for action in driver.actions
    )
    assert api.Probe(1) in driver.step(api.WorkerBanChanged(1, False))
    (send,) = sends(driver.report(1, 4.0))
    assert send.worker == 1
    driver.step(api.RequestReceived(2, 0, 5 * SECOND, runtime_hint_ns=60 * SECOND))
    driver.report(1, 4.0)
    assert not sends(driver.run(SECOND))  # more work than its slow start budget
    assert sends(
        driver.step(api.RequestReceived(3, 0, 5 * SECOND, runtime_hint_ns=100 * MS)) + driver.report(1, 4.0)
    )


def test_ban_of_an_unlisted_worker_applies_once_it_is_listed() -> None:
    """This is the order of events when a newer process starts."""
    driver = DispatcherDriver(workers=0)
    driver.step(api.WorkerBanChanged(1))
    driver.worker_numbers = [1]
    driver.step(driver.complete_list(), api.RequestReceived(1, 0, 5 * SECOND))
    driver.report(1, 4.0)
    assert not sends(driver.actions)


def test_reinstated_worker_gets_the_next_eligible_request() -> None:
    """Otherwise a water-fill over many workers could leave it unused for a long time."""
    for seed in range(8):
        driver = DispatcherDriver(workers=6, seed=seed)
        driver.step(api.WorkerBanChanged(6))
        for worker in range(1, 6):
            driver.report(worker, 9.0)
        driver.step(api.WorkerBanChanged(6, False))
        driver.report(6, 2.0)
        (send,) = sends(driver.step(api.RequestReceived(1, 0, 5 * SECOND, runtime_hint_ns=50 * MS)))
        assert send.worker == 6 and not driver.dispatcher.table.reinstated


def test_reported_service_time_excludes_a_slow_worker_before_own_attempts() -> None:
    """All dispatchers detect it from its load reports, without attempts of their own."""
    driver = DispatcherDriver(workers=4)
    for number in range(6):  # a report with unchanged figures would not count
        for worker in driver.worker_numbers:
            driver.report(worker, 3.0, service_ms=(4000.0 if worker == 1 else 500.0) + number)
    jobs = [api.RequestReceived(n, 0, 10 * SECOND) for n in range(1, 9)]
    chosen = [send.worker for send in sends(driver.step(*jobs))]
    assert len(chosen) == 8 and 1 not in chosen
    for worker in driver.worker_numbers:  # it gets requests again once it is as fast as the others
        for number in range(6):
            driver.report(worker, 3.0, service_ms=500.0 + number)
    later = [api.RequestReceived(n, 0, 10 * SECOND) for n in range(9, 40)]
    assert 1 in {send.worker for send in sends(driver.step(*later))}


def test_service_time_counts_once_its_kind_has_ten_samples() -> None:
    """A worker's service time is compared with the mean of its machine kind, once that is known."""
    estimator = RuntimeEstimator([SECOND])
    assert estimator.apply_service_time(0, 4000.0, 0.1) == 0.1
    for _ in range(10):
        estimator.apply_service_time(0, 500.0, 0.0)
    assert estimator.apply_service_time(0, 4000.0, 0.0) == pytest.approx(
        math.log(8) * 10 / 11 / 2
    )  # the first report counts too
    assert (
        estimator.apply_service_time(0, 0.0, 0.0) < 0 and estimator.apply_service_time(1, 4000.0, 0.0) == 0.0
    )


def test_service_time_of_a_warming_worker_is_ignored() -> None:
    """A worker that has just started is expected to be slow."""
    driver = DispatcherDriver(workers=4)
    entries = [
        api.WorkerEntry(w, api.WorkerState.READY, cell=w // 2, started_ns=driver.now_ns if w == 1 else 0)
        for w in driver.worker_numbers
    ]
    driver.step(api.EndpointListUpdate(api.EndpointListKind.CACHED, tuple(entries)))
    for number in range(6):
        for worker in driver.worker_numbers:
            driver.report(worker, 3.0, service_ms=(4000.0 if worker == 1 else 500.0) + number)
    assert driver.dispatcher.workers[1].slowness[0] == 0.0
    assert driver.dispatcher.components.runtimes.service_time_logs[0][1] == 18  # 3 workers, 6 reports each
