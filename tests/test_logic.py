"""What the dispatcher owes a job: its attempts, its wait, its one answer, event by event."""

from __future__ import annotations

import json

import pytest

from weldquay import interface as api
from weldquay.interface import Idempotency, DeduplicationScope, Outcome
from weldquay.net.worker_state_codec import decode_worker_state, encode_worker_state
from tests.helpers import MS, SECOND, Drive, finals, job_class, sends, settings, started

RISKY = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN]
NEVER_RAN = [Outcome.OVERLOADED, Outcome.CONNECT_FAILED]


@pytest.mark.parametrize(
    ("effect", "outcome"),
    [
        *((effect, outcome) for outcome in NEVER_RAN for effect in Idempotency),
        *((Idempotency.IDEMPOTENT, outcome) for outcome in RISKY),
    ],
)
def test_what_never_ran_or_is_safe_is_drawn_again(effect: Idempotency, outcome: Outcome) -> None:
    """Any class may go elsewhere after an attempt that never ran; a safe job may run twice."""
    drive, send = started(effect)
    (again,) = sends(drive.end(send, outcome))
    assert again.request_id == 7 and again.worker != send.worker


@pytest.mark.parametrize(
    ("effect", "outcome"),
    [
        *((Idempotency.NON_IDEMPOTENT, outcome) for outcome in RISKY),
        (Idempotency.IDEMPOTENT, Outcome.UNPROCESSABLE),
    ],
)
def test_what_must_not_be_sent_again_fails_at_once(effect: Idempotency, outcome: Outcome) -> None:
    """No second attempt and no refusal of an unsafe job that may have run, nor of one that nobody can use.

    A client told to repeat a job that its worker rejected would do so for ever.
    """
    drive, send = started(effect)
    actions = drive.end(send, outcome)
    assert finals(actions) == [api.Fail(7)] and not sends(actions)
    assert not finals(drive.run(12 * SECOND))


def test_a_dispatcher_that_ends_takes_only_what_can_end_with_it() -> None:
    """A long job is refused at once, for another dispatcher; what is out is answered by the end."""
    drive, send = started(Idempotency.IDEMPOTENT)
    drive.step(api.ShutdownStarted(3 * SECOND))
    drive.report(2, 4.0)
    long = drive.step(api.RequestReceived(8, 0, 10 * SECOND, runtime_hint_ns=5 * SECOND))
    assert [type(action) for action in finals(long)] == [api.Reject] and not sends(long)
    assert sends(drive.step(api.RequestReceived(9, 0, 10 * SECOND, runtime_hint_ns=SECOND)))
    answered = [
        action.request_id for action in finals(drive.run(3 * SECOND)) if isinstance(action, api.Reject)
    ]
    assert sorted(answered) == [send.request_id, 9]


@pytest.mark.parametrize("outcome", RISKY)
def test_keyed_stays_in_its_cell_and_window(outcome: Outcome) -> None:
    """Repeats of a keyed job go to the workers that drop them, while they remember."""
    drive, send = started(Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.CELL)
    (again,) = sends(drive.end(send, outcome))
    assert again.worker // 2 == send.worker // 2
    drive.run(4 * SECOND)
    assert finals(drive.end(again, outcome, attempt=1)) == [api.Fail(7)]


def test_ok_ends_and_nothing_follows() -> None:
    """One answer, then silence, whatever still comes for the id."""
    drive, send = started(Idempotency.IDEMPOTENT)
    drive.end(send, Outcome.OK, over=True)
    later = drive.end(send, Outcome.ERROR) + drive.step(api.ClientDisconnected(7)) + drive.run(11 * SECOND)
    assert not sends(later) and not finals(later)


def test_unknown_ids_are_ignored() -> None:
    """Late, repeated and unknown events change nothing and raise nothing."""
    drive = Drive()
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


@pytest.mark.parametrize("effect", list(Idempotency))
def test_answer_by_the_deadline(effect: Idempotency) -> None:
    """A job that hangs is answered before its client leaves; unsafe work in flight is never refused."""
    drive, _ = started(effect)
    answers = finals(drive.run(10 * SECOND, every=5 * MS))
    assert len(answers) == 1
    assert effect is Idempotency.IDEMPOTENT or answers == [api.Fail(7)]


def test_attempts_are_capped() -> None:
    """No more attempts than allowed; then one answer."""
    drive, send = started(Idempotency.IDEMPOTENT)
    count = 1
    for number in range(6):
        again = sends(drive.end(send, Outcome.ERROR, attempt=number))
        if not again:
            break
        send, count = again[0], count + 1
    assert count == 4 and len(finals(drive.all)) == 1


def test_jobs_without_room_are_held_and_the_dearest_goes_first() -> None:
    """Worker queues are first in, first out: a job waits here and a dearer one passes it."""
    classes = (
        job_class(priority_weight=1.0, latency_objective_ns=5 * SECOND),
        job_class(priority_weight=9.0, latency_objective_ns=5 * SECOND),
    )
    drive = Drive(settings(classes=classes), workers=1)
    drive.report(1, 1.0)
    (first,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    assert not sends(
        drive.step(api.RequestReceived(2, 0, 10 * SECOND), api.RequestReceived(3, 1, 10 * SECOND))
    )
    drive.end(first, Outcome.OK, over=True)
    assert [send.request_id for send in sends(drive.all)][:2] == [1, 3]


def test_late_held_job_is_refused_before_it_costs_more() -> None:
    """A job that cannot be in time and is worth nothing late is refused while that is harmless."""
    drive = Drive(workers=1)
    drive.report(1, 0.0)
    drive.step(api.RequestReceived(1, 0, 10 * SECOND))
    assert finals(drive.run(4 * SECOND)) == [api.Reject(1)]


def test_a_failed_list_call_is_made_again() -> None:
    """Asking goes on after failures, so that the told-after rule is never run into."""
    drive = Drive(settings(polls_endpoint_list=True))
    assert api.WatchEndpoints() in drive.all
    drive.all.clear()
    drive.step(api.EndpointListUpdate(api.EndpointListKind.FAILED))
    assert drive.run(2 * SECOND).count(api.WatchEndpoints()) == 1


def test_same_events_same_actions() -> None:
    """The seed decides the draws."""
    one, two = started(Idempotency.IDEMPOTENT)[0], started(Idempotency.IDEMPOTENT)[0]
    assert one.all == two.all


def test_a_job_refused_again_waits_before_it_is_drawn_again() -> None:
    """Incident i7b06d9: every queue full, 4 to 10 attempts a request went round the fleet within moments."""
    drive = Drive(settings(may_probe=False), workers=8)
    (send,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    (again,) = sends(drive.end(send, Outcome.OVERLOADED))
    assert not sends(drive.end(again, Outcome.OVERLOADED, attempt=1))
    assert len(sends(drive.run(SECOND))) == 1


def test_a_retry_is_known_and_as_old_as_its_first_try() -> None:
    """Refused clients come back; a retry that can only be late must not take room from a job in time.

    Less time left alone shows no retry: clients of little patience are served like others.
    """
    drive = Drive(settings(may_probe=False, max_retry_after_ns=2 * SECOND), workers=1)
    drive.report(1, 1.0)
    (first,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    drive.step(api.RequestReceived(2, 0, 10 * SECOND, key=7))
    (refusal,) = finals(drive.run(2 * SECOND))
    assert isinstance(refusal, api.Reject) and 0 < refusal.retry_after_ns <= 2 * SECOND
    drive.end(first, Outcome.OK, over=True)
    actions = drive.step(
        api.RequestReceived(3, 0, 7 * SECOND, key=7), api.RequestReceived(4, 0, 7 * SECOND, key=8)
    )
    assert [final.request_id for final in finals(actions) if isinstance(final, api.Reject)] == [3]
    assert [send.request_id for send in sends(actions)] == [4]


def test_a_held_job_that_may_have_run_is_given_up_when_late() -> None:
    """It was held until its deadline, and its client with it, though nobody gained from its run."""
    drive, send = started(Idempotency.IDEMPOTENT)
    drive.now += 3 * SECOND
    assert finals(drive.end(send, Outcome.ERROR)) == [api.Reject(7)]


def test_a_later_process_recalls_load_and_cold_starts() -> None:
    """What was remembered holds as if its own: free slots taken since, work sent to a cold worker."""
    drive = Drive(workers=2)
    for worker in drive.worker_ids:
        drive.report(worker, 4.0)
    drive.step(api.WorkerBanChanged(2), api.WorkerBanChanged(2, False))
    for number in range(3):
        drive.step(api.RequestReceived(number, 0, 5 * SECOND, runtime_hint_ns=100 * MS))
    later = Drive(workers=2)
    later.now = drive.now
    told = {
        worker: decode_worker_state(json.loads(json.dumps(encode_worker_state(snapshot))))
        for worker, snapshot in drive.dispatcher.snapshots().items()
    }
    later.step(
        *(api.WorkerStateRestored(worker, state) for worker, state in told.items()),
        api.WorkerStateRestored(9, told[1]),
    )
    assert later.dispatcher.snapshots() == drive.dispatcher.snapshots()
    mine, theirs = (each.dispatcher.workers[1] for each in (later, drive))
    assert later.dispatcher.parts.load_estimates.load(mine) == drive.dispatcher.parts.load_estimates.load(
        theirs
    )


def test_jobs_keep_the_rules_they_came_with() -> None:
    """Other settings bind the jobs that come after them."""
    drive = Drive(settings(max_attempts=2), workers=2)
    for worker in drive.worker_ids:
        drive.report(worker, 4.0)
    (old,) = sends(drive.step(api.RequestReceived(1, 0, 5 * SECOND)))
    unsafe = job_class(idempotency=Idempotency.NON_IDEMPOTENT)
    drive.step(api.SettingsChanged(settings(classes=(unsafe, job_class()), max_attempts=1)))
    (new,) = sends(drive.step(api.RequestReceived(2, 1, 5 * SECOND)))
    assert finals(drive.end(new, Outcome.RESET))
    assert [send.request_id for send in sends(drive.end(old, Outcome.RESET))] == [1]


@pytest.mark.parametrize(
    ("waits_ms", "hint_ns", "order"),
    [
        ((1400, 900, 100), 0, [3, 2, 1]),
        ((400, 300, 100), 0, [1, 2, 3]),
        ((1400, 900, 100), 800 * MS, [1, 2, 3]),
    ],
)
def test_held_jobs_that_can_hardly_be_in_time_come_last(
    waits_ms: tuple[int, ...], hint_ns: int, order: list[int]
) -> None:
    """In an overload all would wait their turn and be late; within half of the aim, or with a hint, so."""
    drive = Drive(settings(classes=(job_class(),), may_probe=False), workers=1)
    drive.step(*[api.RequestReceived(n, 0, 10 * SECOND) for n in (90, 91)])  # they fill the worker
    begun_ns = drive.now
    for number, wait_ms in enumerate(waits_ms, start=1):
        drive.now = begun_ns + (waits_ms[0] - wait_ms) * MS
        drive.step(api.RequestReceived(number, 0, 10 * SECOND, runtime_hint_ns=hint_ns))
    drive.now = begun_ns + waits_ms[0] * MS
    dispatcher = drive.dispatcher
    dispatcher.context.now_ns = drive.now
    held = sorted(
        dispatcher.parts.requests.queued.values(),
        key=dispatcher.parts.priorities.queue_priority,
        reverse=True,
    )
    assert [job.request.request_id for job in held] == order
