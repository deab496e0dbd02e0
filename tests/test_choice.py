"""Placement: which worker gets a request, based on load reports, probes and own sends."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.helpers import MS, SECOND, DispatcherDriver, sends, settings
from weldquay import interface as api
from weldquay.interface import Outcome
from weldquay.policy.dispatcher import Dispatcher


@pytest.mark.parametrize(
    ("kind", "entry"),
    [
        (api.EndpointListKind.DELTA, api.WorkerEntry(1, api.WorkerState.DRAINING)),
        (api.EndpointListKind.DELTA, api.WorkerEntry(1, api.WorkerState.GONE)),
        (api.EndpointListKind.FULL, api.WorkerEntry(2, api.WorkerState.READY, cell=1)),
    ],
)
def test_draining_removed_and_unlisted_workers_get_no_requests(
    kind: api.EndpointListKind, entry: api.WorkerEntry
) -> None:
    """An update takes effect in the step that receives it."""
    driver = DispatcherDriver(settings(may_probe=False), workers=2)
    driver.step(api.EndpointListUpdate(kind, (entry,)))
    actions = driver.step(*[api.RequestReceived(n, 0, 10 * SECOND) for n in range(4)])
    assert {send.worker for send in sends(actions)} == {2}


def test_warming_worker_gets_its_budget_only() -> None:
    """A worker that has just started gets only the work of its slow start budget, later as much as others."""
    driver = DispatcherDriver(workers=1)
    fresh = api.WorkerEntry(1, api.WorkerState.READY, started_ns=driver.now_ns)
    driver.step(api.EndpointListUpdate(api.EndpointListKind.DELTA, (fresh,)))
    driver.report(1, 4.0)
    jobs = [api.RequestReceived(n, 0, 10 * SECOND) for n in range(4)]
    # The budget is 0.6 x overload multiple 3 x initial fraction 0.2 x 4 slots x 2 s = 2.9 s of work.
    assert len(sends(driver.step(*jobs))) == 2
    driver = DispatcherDriver(workers=1)
    driver.step(api.EndpointListUpdate(api.EndpointListKind.DELTA, (fresh,)), after=21 * SECOND)
    driver.report(1, 4.0)
    assert len(sends(driver.step(*jobs))) == 4


def test_worker_without_report_has_the_mean_load_of_its_zone() -> None:
    """Incident i35f28b: workers that answer but never report must not count as the least loaded ones."""
    driver = DispatcherDriver(settings(may_probe=False), workers=3)
    for worker in (1, 2):
        driver.report(worker, 0.0)
    assert not sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))
    for worker in (1, 2):
        driver.report(worker, 3.0)
    jobs = [api.RequestReceived(n, 0, 10 * SECOND) for n in range(2, 8)]
    assert 3 in {send.worker for send in sends(driver.actions + driver.step(*jobs))}


def test_idle_dispatcher_sends_no_probes_and_sets_no_timers() -> None:
    """With many dispatchers and workers, periodic probes would be most of the cost."""
    driver = DispatcherDriver(settings(dispatcher_count=150), workers=80)
    driver.step(*[api.TimerDue(1)] * 3, after=SECOND)
    assert not driver.actions


def test_request_waits_for_probes_and_goes_to_a_worker_with_free_slots() -> None:
    """Two to five random workers are probed before the request is placed."""
    driver = DispatcherDriver(settings(dispatcher_count=150), workers=80)
    actions = driver.step(api.RequestReceived(1, 0, 10 * SECOND))
    probed = [action.worker for action in actions if isinstance(action, api.Probe)]
    assert 2 <= len(probed) <= 5 and not sends(actions)
    for worker in probed[1:]:
        driver.report(worker, 0.0)
    assert not sends(driver.actions)
    (send,) = sends(driver.report(probed[0], 2.0))
    assert send.worker == probed[0]


def test_lost_probes_delay_a_request_only_briefly() -> None:
    """Without probe results, it is placed by the existing load estimates."""
    driver = DispatcherDriver(settings(dispatcher_count=150), workers=80)
    driver.step(api.RequestReceived(1, 0, 10 * SECOND))
    assert len(sends(driver.run(100 * MS))) == 1


def test_requests_cross_zones_only_when_the_own_zone_is_full() -> None:
    """This holds if crossing zones has a cost."""
    for seed in range(20):
        driver = DispatcherDriver(settings(cross_zone_cost=0.03), workers=1, seed=seed)
        far = api.WorkerEntry(9, api.WorkerState.READY, zone=1)
        driver.step(api.EndpointListUpdate(api.EndpointListKind.DELTA, (far,)))
        driver.report(1, 3.0)
        driver.report(9, 3.0)
        assert [send.worker for send in sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))] == [1]
        driver.report(1, 0.0, busy_requests=3.0)
        driver.report(9, 3.0)
        assert [send.worker for send in sends(driver.step(api.RequestReceived(2, 0, 10 * SECOND)))] == [9]


def test_first_probes_go_to_the_preferred_subset_later_ones_to_all() -> None:
    """Subsets of few dispatchers are disjoint, so that dispatchers do not act on the same reports at once."""
    workers = tuple(api.WorkerEntry(w, api.WorkerState.READY, zone=w % 2, start_id=w) for w in range(1, 61))
    probed_before: set[int] = set()
    for dispatcher_index in range(12):
        driver = DispatcherDriver(
            settings(
                cross_zone_cost=0.03, dispatcher_count=40, dispatcher_index=dispatcher_index, max_attempts=1
            ),
            workers=0,
        )
        driver.step(api.EndpointListUpdate(api.EndpointListKind.CACHED, workers))
        for number in range(4):
            driver.step(api.RequestReceived(number, 0, SECOND))
        probed_first = {action.worker for action in driver.actions if isinstance(action, api.Probe)}
        assert len(probed_first) <= 5 and probed_first.isdisjoint(probed_before)
        probed_before |= probed_first
        for worker in probed_first:
            driver.report(worker, 0.0)
        driver.run(100 * MS)
        assert {action.worker for action in driver.actions if isinstance(action, api.Probe)} - probed_first


def test_faster_machine_kind_gets_more_requests() -> None:
    """Once it is learned that one kind takes half the time, its workers get about twice the requests."""
    driver = DispatcherDriver(settings(may_probe=False, reports_start=True), workers=0)
    entries = tuple(api.WorkerEntry(w, api.WorkerState.READY, kind=w % 2) for w in range(1, 9))
    driver.step(api.EndpointListUpdate(api.EndpointListKind.CACHED, entries))
    counts = [0, 0]
    for number in range(1200):
        (send,) = sends(driver.step(api.RequestReceived(number, 0, 10 * SECOND), after=MS))
        driver.step(api.AttemptProgress(number, 0, send.worker), after=300 * MS)
        driver.now_ns += 500 * MS if send.worker % 2 else 1000 * MS
        driver.end(send, Outcome.OK, request_finished=True)
        counts[send.worker % 2] += number >= 200
    assert 1.6 < counts[1] / counts[0] < 2.5


def test_report_interval_is_learnt_from_repeated_reports() -> None:
    """The reported values change every 0.9 s, and a report arrives every 0.1 s."""
    driver = DispatcherDriver(workers=1)
    for number in range(1, 400):
        driver.now_ns += 100 * MS
        driver.report(1, 3.0 + number // 9 / 100)
    assert 700 * MS < driver.dispatcher.components.report_interval.interval_ns < 1100 * MS


def test_repeated_report_does_not_hide_own_sends() -> None:
    """A report does not contain requests sent after it was made, however often it is received again."""
    driver = DispatcherDriver(workers=1)
    driver.report(1, 1.0)
    (first,) = sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))
    for _ in range(20):
        driver.now_ns += 50 * MS
        assert not sends(driver.report(1, 1.0))
    assert not sends(driver.step(api.RequestReceived(2, 0, 10 * SECOND)))
    assert sends(driver.end(first, Outcome.OK, request_finished=True))


def test_overloaded_probes_stop_sends_to_workers_without_reports() -> None:
    """Rejected probes show that workers are full; without that, the old mean load would be used."""
    driver = DispatcherDriver(settings(dispatcher_count=150), workers=40)
    for worker in driver.worker_numbers:
        driver.step(api.ProbeEnded(worker, Outcome.OVERLOADED, MS))
    driver.actions.clear()
    driver.step(api.RequestReceived(1, 0, 10 * SECOND))
    assert not sends(driver.run(500 * MS))


def test_worker_without_report_has_no_fresh_report_near_clock_zero() -> None:
    """The clock may start at any value, so a worker without a report has to be probed near zero too."""
    driver = DispatcherDriver(workers=0)
    driver.dispatcher = Dispatcher(settings(), 1)
    driver.worker_numbers = [1, 2, 3]
    driver.dispatcher.step(0, [driver.complete_list()])
    actions = driver.dispatcher.step(1000, [api.RequestReceived(1, 0, 10 * SECOND)])
    assert any(isinstance(action, api.Probe) for action in actions) and not sends(actions)


def test_many_dispatchers_share_the_budget_of_warming_workers() -> None:
    """After a mass crash, 150 dispatchers with more requests than capacity share the slow start budgets."""
    sent: Counter[int] = Counter()
    for dispatcher_index in range(150):
        driver = DispatcherDriver(
            settings(dispatcher_count=150, dispatcher_index=dispatcher_index, may_probe=False), workers=0
        )
        warming = tuple(
            api.WorkerEntry(w, api.WorkerState.READY, started_ns=driver.now_ns, start_id=7 * w)
            for w in range(1, 21)
        )
        warm = tuple(api.WorkerEntry(w, api.WorkerState.READY) for w in range(21, 31))
        driver.step(api.EndpointListUpdate(api.EndpointListKind.CACHED, warming + warm))
        sent.update(
            send.worker
            for send in sends(driver.step(*[api.RequestReceived(n, 0, 10 * SECOND) for n in range(20)]))
        )
    # The budget is 2.4 jobs of 1 s: 0.2 x 2 slots x overload multiple 3 x 2 s.
    assert max(sent[worker] for worker in range(1, 21)) <= 2.4 + 2 * 2.4**0.5 + 2
    assert sum(sent[worker] for worker in range(1, 21)) > 10


def test_worker_with_an_unstarted_attempt_gets_no_further_request() -> None:
    """Its report still shows free slots, but an unstarted attempt shows that requests are queued."""
    driver = DispatcherDriver(
        settings(reports_start=True, may_probe=False, workers_queue_in_order=True), workers=2
    )
    driver.report(2, 0.0)
    driver.report(1, 4.0)
    (send,) = sends(driver.step(api.RequestReceived(1, 0, 10 * SECOND)))
    driver.run(100 * MS)
    driver.report(1, 4.1)
    driver.report(2, 0.0)
    assert send.worker == 1 and not sends(driver.step(api.RequestReceived(2, 0, 10 * SECOND)))
    later_actions = driver.step(api.AttemptProgress(1, 0, 1)) + driver.run(200 * MS)
    assert [send.worker for send in sends(later_actions)] == [1]


def test_report_interval_is_learnt_from_rare_reports() -> None:
    """The reported values change every 1 s, and a report arrives every 0.8 s."""
    driver = DispatcherDriver(settings(may_probe=False), workers=1)
    for number in range(40):
        driver.report(1, 3.0 + int(number * 0.8) * 0.001)
        driver.run(800 * MS)
    assert 800 * MS < driver.dispatcher.components.report_interval.interval_ns < 1200 * MS
