"""Which worker the dispatcher draws for a job, from reports, probes and its own sends, event by event."""

from __future__ import annotations

from collections import Counter

import pytest

from weldquay import interface as api
from weldquay.interface import Outcome
from weldquay.policy.dispatcher import Dispatcher
from tests.helpers import MS, SECOND, Drive, sends, settings


@pytest.mark.parametrize(
    ("kind", "entry"),
    [
        (api.EndpointListKind.DELTA, api.WorkerEntry(1, api.WorkerState.DRAINING)),
        (api.EndpointListKind.DELTA, api.WorkerEntry(1, api.WorkerState.GONE)),
        (api.EndpointListKind.FULL, api.WorkerEntry(2, api.WorkerState.READY, cell=1)),
    ],
)
def test_draining_gone_and_absent_get_nothing(kind: api.EndpointListKind, entry: api.WorkerEntry) -> None:
    """Nothing new goes to a worker from the step on that tells of its drain, or whose list is without it."""
    drive = Drive(settings(may_probe=False), workers=2)
    drive.step(api.EndpointListUpdate(kind, (entry,)))
    actions = drive.step(*[api.RequestReceived(n, 0, 10 * SECOND) for n in range(4)])
    assert {send.worker for send in sends(actions)} == {2}


def test_cold_worker_gets_its_budget_only() -> None:
    """A worker that just started gets no burst, and more as it warms."""
    drive = Drive(workers=1)
    fresh = api.WorkerEntry(1, api.WorkerState.READY, started_ns=drive.now)
    drive.step(api.EndpointListUpdate(api.EndpointListKind.DELTA, (fresh,)))
    drive.report(1, 4.0)
    jobs = [api.RequestReceived(n, 0, 10 * SECOND) for n in range(4)]
    assert len(sends(drive.step(*jobs))) == 2  # 0.6 x 3 x 0.2 x 4 slots x 2 s = 2.9 s of work
    drive = Drive(workers=1)
    drive.step(api.EndpointListUpdate(api.EndpointListKind.DELTA, (fresh,)), after=21 * SECOND)
    drive.report(1, 4.0)
    assert len(sends(drive.step(*jobs))) == 4


def test_a_worker_without_reports_counts_as_the_mean() -> None:
    """Incident i35f28b: some workers answer but never report; they must not look like the emptiest ones."""
    drive = Drive(settings(may_probe=False), workers=3)
    for worker in (1, 2):
        drive.report(worker, 0.0)
    assert not sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    for worker in (1, 2):
        drive.report(worker, 3.0)
    jobs = [api.RequestReceived(n, 0, 10 * SECOND) for n in range(2, 8)]
    assert 3 in {send.worker for send in sends(drive.all + drive.step(*jobs))}


def test_an_idle_dispatcher_asks_nothing_and_sets_no_timer() -> None:
    """With many dispatchers and workers, looks in turn cost most of the result and of the CPU."""
    drive = Drive(settings(dispatcher_count=150), workers=80)
    drive.step(*[api.TimerDue(1)] * 3, after=SECOND)
    assert not drive.all


def test_a_job_is_drawn_among_the_few_workers_probed_for_it() -> None:
    """The job waits for what a few random workers tell and goes to one that has room."""
    drive = Drive(settings(dispatcher_count=150), workers=80)
    actions = drive.step(api.RequestReceived(1, 0, 10 * SECOND))
    asked = [action.worker for action in actions if isinstance(action, api.Probe)]
    assert 2 <= len(asked) <= 5 and not sends(actions)
    for worker in asked[1:]:
        drive.report(worker, 0.0)
    assert not sends(drive.all)
    (send,) = sends(drive.report(asked[0], 2.0))
    assert send.worker == asked[0]


def test_a_look_without_answer_does_not_hold_the_job() -> None:
    """Probes that hang or are lost: the job goes by what is known, and soon."""
    drive = Drive(settings(dispatcher_count=150), workers=80)
    drive.step(api.RequestReceived(1, 0, 10 * SECOND))
    assert len(sends(drive.run(100 * MS))) == 1


def test_only_overflow_crosses_zones_where_that_has_a_price() -> None:
    """Near workers take the jobs while one has room; then far ones do."""
    for seed in range(20):
        drive = Drive(settings(cross_zone_cost=0.03), workers=1, seed=seed)
        far = api.WorkerEntry(9, api.WorkerState.READY, zone=1)
        drive.step(api.EndpointListUpdate(api.EndpointListKind.DELTA, (far,)))
        drive.report(1, 3.0)
        drive.report(9, 3.0)
        assert [send.worker for send in sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))] == [1]
        drive.report(1, 0.0, busy_requests=3.0)
        drive.report(9, 3.0)
        assert [send.worker for send in sends(drive.step(api.RequestReceived(2, 0, 10 * SECOND)))] == [9]


def test_a_first_look_goes_to_the_own_subset_a_second_one_to_all() -> None:
    """Forty dispatchers that look everywhere meet a worker seldom, and act on the same news at once."""
    workers = tuple(api.WorkerEntry(w, api.WorkerState.READY, zone=w % 2, start_id=w) for w in range(1, 61))
    first: set[int] = set()
    for me in range(12):
        drive = Drive(
            settings(cross_zone_cost=0.03, dispatcher_count=40, dispatcher_index=me, max_attempts=1),
            workers=0,
        )
        drive.step(api.EndpointListUpdate(api.EndpointListKind.CACHED, workers))
        for number in range(4):
            drive.step(api.RequestReceived(number, 0, SECOND))
        own = {action.worker for action in drive.all if isinstance(action, api.Probe)}
        assert len(own) <= 5 and own.isdisjoint(first)
        first |= own
        for worker in own:
            drive.report(worker, 0.0)
        drive.run(100 * MS)
        assert {action.worker for action in drive.all if isinstance(action, api.Probe)} - own


def test_speed_is_learnt_by_machine_kind() -> None:
    """Workers of one kind run jobs in half the time: once that is seen they get about twice the jobs."""
    drive = Drive(settings(may_probe=False, reports_start=True), workers=0)
    entries = tuple(api.WorkerEntry(w, api.WorkerState.READY, kind=w % 2) for w in range(1, 9))
    drive.step(api.EndpointListUpdate(api.EndpointListKind.CACHED, entries))
    counts = [0, 0]
    for number in range(1200):
        (send,) = sends(drive.step(api.RequestReceived(number, 0, 10 * SECOND), after=MS))
        drive.step(api.AttemptProgress(number, 0, send.worker), after=300 * MS)
        drive.now += 500 * MS if send.worker % 2 else 1000 * MS
        drive.end(send, Outcome.OK, over=True)
        counts[send.worker % 2] += number >= 200
    assert 1.6 < counts[1] / counts[0] < 2.5


def test_the_report_interval_is_learnt_from_repeats() -> None:
    """Reports refreshed each 0.9 s were taken for fresh ones: room that was long gone drew herds."""
    drive = Drive(workers=1)
    for number in range(1, 400):
        drive.now += 100 * MS
        drive.report(1, 3.0 + number // 9 / 100)
    assert 700 * MS < drive.dispatcher.parts.report_interval.ns < 1100 * MS


def test_the_same_report_again_does_not_hide_own_pushes() -> None:
    """A job pushed since the report was made is not in it, however often it is told again."""
    drive = Drive(workers=1)
    drive.report(1, 1.0)
    (first,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    for _ in range(20):
        drive.now += 50 * MS
        assert not sends(drive.report(1, 1.0))
    assert not sends(drive.step(api.RequestReceived(2, 0, 10 * SECOND)))
    assert sends(drive.end(first, Outcome.OK, over=True))


def test_probes_turned_away_stop_blind_pushes() -> None:
    """Late or refused probes stand for full workers: without them silence would look like the old mean."""
    drive = Drive(settings(dispatcher_count=150), workers=40)
    for worker in drive.worker_ids:
        drive.step(api.ProbeEnded(worker, Outcome.OVERLOADED, MS))
    drive.all.clear()
    drive.step(api.RequestReceived(1, 0, 10 * SECOND))
    assert not sends(drive.run(500 * MS))


def test_a_clock_that_starts_near_zero_makes_no_news_fresh() -> None:
    """The clock has no special start: a worker that never told anything is not fresh in its first moments."""
    drive = Drive(workers=0)
    drive.dispatcher = Dispatcher(settings(), 1)
    drive.worker_ids = [1, 2, 3]
    drive.dispatcher.step(0, [drive.list_of()])
    actions = drive.dispatcher.step(1000, [api.RequestReceived(1, 0, 10 * SECOND)])
    assert any(isinstance(action, api.Probe) for action in actions) and not sends(actions)


def test_a_cold_fleet_of_many_dispatchers_is_not_pushed_over() -> None:
    """After a mass crash 150 dispatchers with more calls than there is room take turns at the cold ones."""
    sent: Counter[int] = Counter()
    for me in range(150):
        drive = Drive(settings(dispatcher_count=150, dispatcher_index=me, may_probe=False), workers=0)
        cold = tuple(
            api.WorkerEntry(w, api.WorkerState.READY, started_ns=drive.now, start_id=7 * w)
            for w in range(1, 21)
        )
        warm = tuple(api.WorkerEntry(w, api.WorkerState.READY) for w in range(21, 31))
        drive.step(api.EndpointListUpdate(api.EndpointListKind.CACHED, cold + warm))
        sent.update(
            send.worker
            for send in sends(drive.step(*[api.RequestReceived(n, 0, 10 * SECOND) for n in range(20)]))
        )
    # N is 2.4: 2 slots at a fifth, three times that for 2 s, of jobs of 1 s.
    assert max(sent[worker] for worker in range(1, 21)) <= 2.4 + 2 * 2.4**0.5 + 2
    assert sum(sent[worker] for worker in range(1, 21)) > 10


def test_no_job_goes_behind_an_own_one_that_waits() -> None:
    """Its report still says that all slots are free; a job that has not begun there says that none is."""
    drive = Drive(settings(reports_start=True, may_probe=False, workers_queue_in_order=True), workers=2)
    drive.report(2, 0.0)
    drive.report(1, 4.0)
    (send,) = sends(drive.step(api.RequestReceived(1, 0, 10 * SECOND)))
    drive.run(100 * MS)
    drive.report(1, 4.1)
    drive.report(2, 0.0)
    assert send.worker == 1 and not sends(drive.step(api.RequestReceived(2, 0, 10 * SECOND)))
    again = drive.step(api.AttemptProgress(1, 0, 1)) + drive.run(200 * MS)
    assert [each.worker for each in sends(again)] == [1]


def test_the_report_interval_is_learnt_from_few_meetings() -> None:
    """A worker met every 0.8 s that refreshes each second: gaps within a first guess of 0.3 s never come."""
    drive = Drive(settings(may_probe=False), workers=1)
    for number in range(40):
        drive.report(1, 3.0 + int(number * 0.8) * 0.001)
        drive.run(800 * MS)
    assert 800 * MS < drive.dispatcher.parts.report_interval.ns < 1200 * MS
