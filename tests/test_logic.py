"""Requests from arrival to response: attempts, retries, queue order and the final response."""

from __future__ import annotations

import json

import pytest

from tests.helpers import (
    MS,
    SECOND,
    DispatcherDriver,
    error_responses,
    job_class,
    sends,
    settings,
    start_attempt,
)
from weldquay import interface as api
from weldquay.interface import DeduplicationScope, Idempotency, Outcome
from weldquay.net.worker_state_codec import decode_worker_state, encode_worker_state

POSSIBLY_EXECUTED = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN]
NOT_EXECUTED = [Outcome.OVERLOADED, Outcome.CONNECT_FAILED]


@pytest.mark.parametrize(
    ("idempotency", "outcome"),
    [
        *((idempotency, outcome) for outcome in NOT_EXECUTED for idempotency in Idempotency),
        *((Idempotency.IDEMPOTENT, outcome) for outcome in POSSIBLY_EXECUTED),
    ],
)
def test_request_not_executed_or_idempotent_is_retried_elsewhere(
    idempotency: Idempotency, outcome: Outcome
) -> None:
    """Any request is retried after an attempt that was not executed, an idempotent one after any failure."""
    driver, send = start_attempt(idempotency)
    (retry,) = sends(driver.end(send, outcome))
    assert retry.request_id == 7 and retry.worker != send.worker


@pytest.mark.parametrize(
    ("idempotency", "outcome"),
    [
        *((Idempotency.NON_IDEMPOTENT, outcome) for outcome in POSSIBLY_EXECUTED),
        (Idempotency.IDEMPOTENT, Outcome.UNPROCESSABLE),
    ],
)
def test_request_that_must_not_be_retried_fails_at_once(idempotency: Idempotency, outcome: Outcome) -> None:
    """It is neither retried nor rejected, as a client may retry a rejected request.

    This holds for a non-idempotent request that may have been executed, and for one that no worker can
    process.
    """
    driver, send = start_attempt(idempotency)
    actions = driver.end(send, outcome)
    assert error_responses(actions) == [api.Fail(7)] and not sends(actions)
    assert not error_responses(driver.run(12 * SECOND))


def test_shutdown_accepts_only_requests_that_can_finish() -> None:
    """A request that would end too late is rejected at once, for another dispatcher; others are answered."""
    driver, send = start_attempt(Idempotency.IDEMPOTENT)
    driver.step(api.ShutdownStarted(3 * SECOND))
    driver.report(2, 4.0)
    long_request = driver.step(api.RequestReceived(8, 0, 10 * SECOND, runtime_hint_ns=5 * SECOND))
    assert [type(action) for action in error_responses(long_request)] == [api.Reject] and not sends(
        long_request
    )
    assert sends(driver.step(api.RequestReceived(9, 0, 10 * SECOND, runtime_hint_ns=SECOND)))
    answered = [
        action.request_id
        for action in error_responses(driver.run(3 * SECOND))
        if isinstance(action, api.Reject)
    ]
    assert sorted(answered) == [send.request_id, 9]


@pytest.mark.parametrize("outcome", POSSIBLY_EXECUTED)
def test_idempotency_key_limits_retries_to_scope_and_window(outcome: Outcome) -> None:
    """Retries with a key go only to workers that recognise the key, and only while they do."""
    driver, send = start_attempt(Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.CELL)
    (retry,) = sends(driver.end(send, outcome))
    assert retry.worker // 2 == send.worker // 2
    driver.run(4 * SECOND)
    assert error_responses(driver.end(retry, outcome, attempt=1)) == [api.Fail(7)]


def test_success_is_final() -> None:
    """Later events of an answered request cause neither a send nor another response."""
    driver, send = start_attempt(Idempotency.IDEMPOTENT)
    driver.end(send, Outcome.OK, request_finished=True)
    later = driver.end(send, Outcome.ERROR) + driver.step(api.ClientDisconnected(7)) + driver.run(11 * SECOND)
    assert not sends(later) and not error_responses(later)


def test_unknown_ids_are_ignored() -> None:
    """Events with unknown ids change nothing and raise nothing, except for a request of an unknown class."""
    driver = DispatcherDriver()
    driver.step(
        api.AttemptEnded(5, 0, 99, Outcome.OK, 1, True),
        api.ClientDisconnected(5),
        api.AttemptProgress(5, 0, 1, 0.5),
        api.ProbeEnded(99, Outcome.OK, 1),
        api.ResponseStarted(5, 0, 1),
        api.PeerMessage(3, b"?"),
        api.TimerDue(9),
    )
    with pytest.raises(IndexError):
        driver.step(api.RequestReceived(1, 4, SECOND))


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_request_is_answered_by_its_deadline(idempotency: Idempotency) -> None:
    """A request whose attempt hangs is answered in time; a non-idempotent one in flight is never rejected."""
    driver, _ = start_attempt(idempotency)
    responses = error_responses(driver.run(10 * SECOND, interval_ns=5 * MS))
    assert len(responses) == 1
    assert idempotency is Idempotency.IDEMPOTENT or responses == [api.Fail(7)]


def test_attempts_are_limited() -> None:
    """After the maximum number of attempts, the request gets one final response."""
    driver, send = start_attempt(Idempotency.IDEMPOTENT)
    count = 1
    for number in range(6):
        retry = sends(driver.end(send, Outcome.ERROR, attempt=number))
        if not retry:
            break
        send, count = retry[0], count + 1
    assert count == 4 and len(error_responses(driver.actions)) == 1


def test_queued_request_with_the_highest_weight_is_placed_first() -> None:
    """Workers serve their queues first in, first out; the dispatcher orders its own queue by priority."""
    classes = (
        job_class(priority_weight=1.0, latency_objective_ns=5 * SECOND),
        job_class(priority_weight=9.0, latency_objective_ns=5 * SECOND),
    )
    driver = DispatcherDriver(settings(classes=classes), workers=1)
    driver.report(1, 1.0)
    (first,) = sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))
    assert not sends(
        driver.step(api.RequestReceived(2, 0, 10 * SECOND), api.RequestReceived(3, 1, 10 * SECOND))
    )
    driver.end(first, Outcome.OK, request_finished=True)
    assert [send.request_id for send in sends(driver.actions)][:2] == [1, 3]


def test_queued_request_that_can_only_be_late_is_rejected() -> None:
    """A late result has no value, and the client can safely retry the request."""
    driver = DispatcherDriver(workers=1)
    driver.report(1, 0.0)
    driver.step(api.RequestReceived(1, 0, 10 * SECOND))
    assert error_responses(driver.run(4 * SECOND)) == [api.Reject(1)]


def test_failed_poll_is_repeated() -> None:
    """Discovery is polled again within 2 s of a failed poll."""
    driver = DispatcherDriver(settings(polls_endpoint_list=True))
    assert api.WatchEndpoints() in driver.actions
    driver.actions.clear()
    driver.step(api.EndpointListUpdate(api.EndpointListKind.FAILED))
    assert driver.run(2 * SECOND).count(api.WatchEndpoints()) == 1


def test_same_seed_and_events_give_same_actions() -> None:
    """All random choices depend only on the seed and the events."""
    one, two = start_attempt(Idempotency.IDEMPOTENT)[0], start_attempt(Idempotency.IDEMPOTENT)[0]
    assert one.actions == two.actions


def test_second_overload_delays_the_next_attempt() -> None:
    """Incident i7b06d9: with all workers full, a request used up its 4 to 10 attempts within moments."""
    driver = DispatcherDriver(settings(may_probe=False), workers=8)
    (send,) = sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))
    (retry,) = sends(driver.end(send, Outcome.OVERLOADED))
    assert not sends(driver.end(retry, Outcome.OVERLOADED, attempt=1))
    assert len(sends(driver.run(SECOND))) == 1


def test_repeat_of_a_rejected_request_keeps_its_age() -> None:
    """A client's retry that can only be late must not take capacity from a request that is on time.

    A shorter timeout alone does not make a request a retry.
    """
    driver = DispatcherDriver(settings(may_probe=False, max_retry_after_ns=2 * SECOND), workers=1)
    driver.report(1, 1.0)
    (first,) = sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))
    driver.step(api.RequestReceived(2, 0, 10 * SECOND, key=7))
    (rejection,) = error_responses(driver.run(2 * SECOND))
    assert isinstance(rejection, api.Reject) and 0 < rejection.retry_after_ns <= 2 * SECOND
    driver.end(first, Outcome.OK, request_finished=True)
    actions = driver.step(
        api.RequestReceived(3, 0, 7 * SECOND, key=7), api.RequestReceived(4, 0, 7 * SECOND, key=8)
    )
    assert [final.request_id for final in error_responses(actions) if isinstance(final, api.Reject)] == [3]
    assert [send.request_id for send in sends(actions)] == [4]


def test_late_request_that_may_have_run_is_not_queued_again() -> None:
    """A request that can only be late is answered at once, not at its deadline."""
    driver, send = start_attempt(Idempotency.IDEMPOTENT)
    driver.now_ns += 3 * SECOND
    assert error_responses(driver.end(send, Outcome.ERROR)) == [api.Reject(7)]


def test_snapshots_restore_load_and_slow_start() -> None:
    """After a hot restart, the newer process has the loads and slow start budgets of the older one."""
    driver = DispatcherDriver(workers=2)
    for worker in driver.worker_numbers:
        driver.report(worker, 4.0)
    driver.step(api.WorkerBanChanged(2), api.WorkerBanChanged(2, False))
    for number in range(3):
        driver.step(api.RequestReceived(number, 0, 5 * SECOND, runtime_hint_ns=100 * MS))
    later = DispatcherDriver(workers=2)
    later.now_ns = driver.now_ns
    snapshots = {
        worker: decode_worker_state(json.loads(json.dumps(encode_worker_state(snapshot))))
        for worker, snapshot in driver.dispatcher.snapshots().items()
    }
    later.step(
        *(api.WorkerStateRestored(worker, state) for worker, state in snapshots.items()),
        api.WorkerStateRestored(9, snapshots[1]),
    )
    assert later.dispatcher.snapshots() == driver.dispatcher.snapshots()
    before, after = (
        each.dispatcher.components.load_estimates.load(each.dispatcher.workers[1]) for each in (driver, later)
    )
    assert before == after


def test_requests_keep_the_settings_they_were_accepted_with() -> None:
    """Changed settings apply only to requests that arrive later."""
    driver = DispatcherDriver(settings(max_attempts=2), workers=2)
    for worker in driver.worker_numbers:
        driver.report(worker, 4.0)
    (old,) = sends(driver.step(api.RequestReceived(1, 0, 5 * SECOND)))
    non_idempotent = job_class(idempotency=Idempotency.NON_IDEMPOTENT)
    driver.step(api.SettingsChanged(settings(classes=(non_idempotent, job_class()), max_attempts=1)))
    (new,) = sends(driver.step(api.RequestReceived(2, 1, 5 * SECOND)))
    assert error_responses(driver.end(new, Outcome.RESET))
    assert [send.request_id for send in sends(driver.end(old, Outcome.RESET))] == [1]


@pytest.mark.parametrize(
    ("waits_ms", "hint_ns", "order"),
    [
        ((1400, 900, 100), 0, [3, 2, 1]),
        ((400, 300, 100), 0, [1, 2, 3]),
        ((1400, 900, 100), 800 * MS, [1, 2, 3]),
    ],
)
def test_priority_falls_while_a_request_without_a_hint_waits(
    waits_ms: tuple[int, ...], hint_ns: int, order: list[int]
) -> None:
    """It does not fall within half of the latency objective, nor with a runtime hint."""
    driver = DispatcherDriver(settings(classes=(job_class(),), may_probe=False), workers=1)
    driver.step(*[api.RequestReceived(n, 0, 10 * SECOND) for n in (90, 91)])  # they fill the worker
    begun_ns = driver.now_ns
    for number, wait_ms in enumerate(waits_ms, start=1):
        driver.now_ns = begun_ns + (waits_ms[0] - wait_ms) * MS
        driver.step(api.RequestReceived(number, 0, 10 * SECOND, runtime_hint_ns=hint_ns))
    driver.now_ns = begun_ns + waits_ms[0] * MS
    dispatcher = driver.dispatcher
    dispatcher.context.now_ns = driver.now_ns
    ranked = sorted(
        dispatcher.components.requests.queued.values(),
        key=dispatcher.components.priorities.queue_priority,
        reverse=True,
    )
    assert [job.request.request_id for job in ranked] == order
