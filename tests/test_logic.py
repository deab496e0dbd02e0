"""Requests from arrival to answer: attempts, retries, queue order and the final answer."""

from __future__ import annotations

import json

import pytest

from tests.helpers import (
    MS,
    SECOND,
    DispatcherDriver,
    final_answers,
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
    drive, send = start_attempt(idempotency)
    (retry,) = sends(drive.end(send, outcome))
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
    drive, send = start_attempt(idempotency)
    actions = drive.end(send, outcome)
    assert final_answers(actions) == [api.Fail(7)] and not sends(actions)
    assert not final_answers(drive.run(12 * SECOND))


def test_shutdown_accepts_only_requests_that_can_finish() -> None:
    """A request that would end too late is rejected at once, for another dispatcher; others are answered."""
    drive, send = start_attempt(Idempotency.IDEMPOTENT)
    drive.step(api.ShutdownStarted(3 * SECOND))
    drive.report(2, 4.0)
    long_request = drive.step(api.RequestReceived(8, 0, 10 * SECOND, runtime_hint_ns=5 * SECOND))
    assert [type(action) for action in final_answers(long_request)] == [api.Reject] and not sends(
        long_request
    )
    assert sends(drive.step(api.RequestReceived(9, 0, 10 * SECOND, runtime_hint_ns=SECOND)))
    answered = [
        action.request_id for action in final_answers(drive.run(3 * SECOND)) if isinstance(action, api.Reject)
    ]
    assert sorted(answered) == [send.request_id, 9]


@pytest.mark.parametrize("outcome", POSSIBLY_EXECUTED)
def test_idempotency_key_limits_retries_to_scope_and_window(outcome: Outcome) -> None:
    """Retries with a key go only to workers that recognise the key, and only while they do."""
    drive, send = start_attempt(Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.CELL)
    (retry,) = sends(drive.end(send, outcome))
    assert retry.worker // 2 == send.worker // 2
    drive.run(4 * SECOND)
    assert final_answers(drive.end(retry, outcome, attempt=1)) == [api.Fail(7)]


def test_success_is_final() -> None:
    """Later events of an answered request cause neither a send nor another answer."""
    drive, send = start_attempt(Idempotency.IDEMPOTENT)
    drive.end(send, Outcome.OK, request_finished=True)
    later = drive.end(send, Outcome.ERROR) + drive.step(api.ClientDisconnected(7)) + drive.run(11 * SECOND)
    assert not sends(later) and not final_answers(later)


def test_unknown_ids_are_ignored() -> None:
    """Events with unknown ids change nothing and raise nothing, except for a request of an unknown class."""
    drive = DispatcherDriver()
    drive.step(
        api.AttemptEnded(5, 0, 99, Outcome.OK, 1, True),
        api.ClientDisconnected(5),
        api.AttemptProgress(5, 0, 1, 0.5),
        api.ProbeEnded(99, Outcome.OK, 1),
        api.ResponseStarted(5, 0, 1),
        api.PeerMessage(3, b"?"),
        api.TimerDue(9),
    )
    with pytest.raises(IndexError):
        drive.step(api.RequestReceived(1, 4, SECOND))


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_request_is_answered_by_its_deadline(idempotency: Idempotency) -> None:
    """A request whose attempt hangs is answered in time; a non-idempotent one in flight is never rejected."""
    drive, _ = start_attempt(idempotency)
    answers = final_answers(drive.run(10 * SECOND, interval_ns=5 * MS))
    assert len(answers) == 1
    assert idempotency is Idempotency.IDEMPOTENT or answers == [api.Fail(7)]


def test_attempts_are_limited() -> None:
    """After the maximum number of attempts, the request gets one final answer."""
    drive, send = start_attempt(Idempotency.IDEMPOTENT)
    count = 1
    for number in range(6):
        retry = sends(drive.end(send, Outcome.ERROR, attempt=number))
        if not retry:
            break
        send, count = retry[0], count + 1
    assert count == 4 and len(final_answers(drive.actions)) == 1


def test_queued_request_with_the_highest_weight_is_placed_first() -> None:
    """Workers serve their queues first in, first out; the dispatcher orders its own queue by priority."""
    classes = (
        job_class(priority_weight=1.0, latency_objective_ns=5 * SECOND),
        job_class(priority_weight=9.0, latency_objective_ns=5 * SECOND),
    )
    drive = DispatcherDriver(settings(classes=classes), workers=1)
    drive.report(1, 1.0)
    (first,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    assert not sends(
        drive.step(api.RequestReceived(2, 0, 10 * SECOND), api.RequestReceived(3, 1, 10 * SECOND))
    )
    drive.end(first, Outcome.OK, request_finished=True)
    assert [send.request_id for send in sends(drive.actions)][:2] == [1, 3]


def test_queued_request_that_can_only_be_late_is_rejected() -> None:
    """A late result has no value, and the client can safely retry the request."""
    drive = DispatcherDriver(workers=1)
    drive.report(1, 0.0)
    drive.step(api.RequestReceived(1, 0, 10 * SECOND))
    assert final_answers(drive.run(4 * SECOND)) == [api.Reject(1)]


def test_failed_poll_is_repeated() -> None:
    """Discovery is polled again within 2 s of a failed poll."""
    drive = DispatcherDriver(settings(polls_endpoint_list=True))
    assert api.WatchEndpoints() in drive.actions
    drive.actions.clear()
    drive.step(api.EndpointListUpdate(api.EndpointListKind.FAILED))
    assert drive.run(2 * SECOND).count(api.WatchEndpoints()) == 1


def test_same_seed_and_events_give_same_actions() -> None:
    """All random choices depend only on the seed and the events."""
    one, two = start_attempt(Idempotency.IDEMPOTENT)[0], start_attempt(Idempotency.IDEMPOTENT)[0]
    assert one.actions == two.actions


def test_second_overload_delays_the_next_attempt() -> None:
    """Incident i7b06d9: with all workers full, a request used up its 4 to 10 attempts within moments."""
    drive = DispatcherDriver(settings(may_probe=False), workers=8)
    (send,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    (retry,) = sends(drive.end(send, Outcome.OVERLOADED))
    assert not sends(drive.end(retry, Outcome.OVERLOADED, attempt=1))
    assert len(sends(drive.run(SECOND))) == 1


def test_repeat_of_a_rejected_request_keeps_its_age() -> None:
    """A client's retry that can only be late must not take capacity from a request that is on time.

    A shorter timeout alone does not make a request a retry.
    """
    drive = DispatcherDriver(settings(may_probe=False, max_retry_after_ns=2 * SECOND), workers=1)
    drive.report(1, 1.0)
    (first,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    drive.step(api.RequestReceived(2, 0, 10 * SECOND, key=7))
    (rejection,) = final_answers(drive.run(2 * SECOND))
    assert isinstance(rejection, api.Reject) and 0 < rejection.retry_after_ns <= 2 * SECOND
    drive.end(first, Outcome.OK, request_finished=True)
    actions = drive.step(
        api.RequestReceived(3, 0, 7 * SECOND, key=7), api.RequestReceived(4, 0, 7 * SECOND, key=8)
    )
    assert [final.request_id for final in final_answers(actions) if isinstance(final, api.Reject)] == [3]
    assert [send.request_id for send in sends(actions)] == [4]


def test_late_request_that_may_have_run_is_not_queued_again() -> None:
    """A request that can only be late is answered at once, not at its deadline."""
    drive, send = start_attempt(Idempotency.IDEMPOTENT)
    drive.now += 3 * SECOND
    assert final_answers(drive.end(send, Outcome.ERROR)) == [api.Reject(7)]


def test_snapshots_restore_load_and_slow_start() -> None:
    """After a hot restart, the newer process has the loads and slow start budgets of the older one."""
    drive = DispatcherDriver(workers=2)
    for worker in drive.worker_ids:
        drive.report(worker, 4.0)
    drive.step(api.WorkerBanChanged(2), api.WorkerBanChanged(2, False))
    for number in range(3):
        drive.step(api.RequestReceived(number, 0, 5 * SECOND, runtime_hint_ns=100 * MS))
    later = DispatcherDriver(workers=2)
    later.now = drive.now
    snapshots = {
        worker: decode_worker_state(json.loads(json.dumps(encode_worker_state(snapshot))))
        for worker, snapshot in drive.dispatcher.snapshots().items()
    }
    later.step(
        *(api.WorkerStateRestored(worker, state) for worker, state in snapshots.items()),
        api.WorkerStateRestored(9, snapshots[1]),
    )
    assert later.dispatcher.snapshots() == drive.dispatcher.snapshots()
    before, after = (
        driver.dispatcher.components.load_estimates.load(driver.dispatcher.workers[1])
        for driver in (drive, later)
    )
    assert before == after


def test_requests_keep_the_settings_they_were_accepted_with() -> None:
    """Changed settings apply only to requests that arrive later."""
    drive = DispatcherDriver(settings(max_attempts=2), workers=2)
    for worker in drive.worker_ids:
        drive.report(worker, 4.0)
    (old,) = sends(drive.step(api.RequestReceived(1, 0, 5 * SECOND)))
    non_idempotent = job_class(idempotency=Idempotency.NON_IDEMPOTENT)
    drive.step(api.SettingsChanged(settings(classes=(non_idempotent, job_class()), max_attempts=1)))
    (new,) = sends(drive.step(api.RequestReceived(2, 1, 5 * SECOND)))
    assert final_answers(drive.end(new, Outcome.RESET))
    assert [send.request_id for send in sends(drive.end(old, Outcome.RESET))] == [1]


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
    drive = DispatcherDriver(settings(classes=(job_class(),), may_probe=False), workers=1)
    drive.step(*[api.RequestReceived(n, 0, 10 * SECOND) for n in (90, 91)])  # they fill the worker
    begun_ns = drive.now
    for number, wait_ms in enumerate(waits_ms, start=1):
        drive.now = begun_ns + (waits_ms[0] - wait_ms) * MS
        drive.step(api.RequestReceived(number, 0, 10 * SECOND, runtime_hint_ns=hint_ns))
    drive.now = begun_ns + waits_ms[0] * MS
    dispatcher = drive.dispatcher
    dispatcher.context.now_ns = drive.now
    ranked = sorted(
        dispatcher.components.requests.queued.values(),
        key=dispatcher.components.priorities.queue_priority,
        reverse=True,
    )
    assert [job.request.request_id for job in ranked] == order
