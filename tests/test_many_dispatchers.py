"""Many dispatchers at once: their polls of discovery and their subsets of workers."""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import MS, SECOND, WORKERS, DiscoveryModel, settings
from weldquay import interface as api
from weldquay.discovery.backoff import Backoff
from weldquay.fleet.subset import MIN_DISPATCHERS_PER_WORKER, MIN_SUBSET_SIZE, subset
from weldquay.policy.dispatcher import Dispatcher

DISPATCHERS = 40


def restart_all(discovery: DiscoveryModel, until_ns: int) -> dict[int, int]:
    """Start all dispatchers at once with a cached list; return the time (ns) until each got an update."""
    updated_after_ns: dict[int, int] = {}
    queue: list[tuple[int, int, int, api.Event]] = []
    dispatchers = [
        Dispatcher(
            settings(
                dispatcher_count=DISPATCHERS, dispatcher_index=dispatcher_index, polls_endpoint_list=True
            ),
            dispatcher_index,
        )
        for dispatcher_index in range(DISPATCHERS)
    ]
    for dispatcher_index in range(DISPATCHERS):
        heapq.heappush(
            queue,
            (
                SECOND,
                len(queue),
                dispatcher_index,
                api.EndpointListUpdate(api.EndpointListKind.CACHED, WORKERS),
            ),
        )
    number = len(queue)
    while queue and queue[0][0] <= until_ns and len(updated_after_ns) < DISPATCHERS:
        now_ns, _, dispatcher_index, event = heapq.heappop(queue)
        if isinstance(event, api.EndpointListUpdate) and event.kind is api.EndpointListKind.DELTA:
            updated_after_ns[dispatcher_index] = now_ns - SECOND
        for action in dispatchers[dispatcher_index].step(now_ns, [event]):
            number += 1
            if isinstance(action, api.SetTimer):
                heapq.heappush(
                    queue, (now_ns + action.delay_ns, number, dispatcher_index, api.TimerDue(action.token))
                )
            elif isinstance(action, api.WatchEndpoints):
                end_ns, is_answered = discovery.poll(now_ns)
                kind = api.EndpointListKind.DELTA if is_answered else api.EndpointListKind.FAILED
                heapq.heappush(queue, (end_ns, number, dispatcher_index, api.EndpointListUpdate(kind)))
    return updated_after_ns


def test_restarted_fleet_gets_updates_from_an_overloaded_discovery() -> None:
    """Discovery is busy for the first 3 s; forty dispatchers retrying together would keep it overloaded."""
    updated_after_ns = restart_all(DiscoveryModel(120 * MS, 4 * SECOND), 60 * SECOND)
    assert len(updated_after_ns) == DISPATCHERS and max(updated_after_ns.values()) < 25 * SECOND


def test_first_polls_are_spread_over_less_than_two_seconds() -> None:
    """All dispatchers start at once while discovery is not overloaded."""
    updated_after_ns = restart_all(DiscoveryModel(10 * MS, 0), 60 * SECOND)
    assert len(updated_after_ns) == DISPATCHERS and max(updated_after_ns.values()) < 2 * SECOND


def test_single_dispatcher_polls_at_once_and_retries_within_a_second() -> None:
    """A single dispatcher cannot overload discovery, so its delays are short."""
    backoff = Backoff(random.Random(1), 1)
    assert backoff.initial_delay_ns(0) == 0
    assert 0 <= backoff.retry_delay_ns(0, 10 * SECOND) <= SECOND


@given(st.integers(1, 64), st.integers(0, 2**32))
def test_poll_delay_stays_within_its_maximum(dispatchers: int, seed: int) -> None:
    """The delay is at most 10 s, however many polls have failed before."""
    backoff = Backoff(random.Random(seed), dispatchers)
    assert all(0 <= backoff.retry_delay_ns(0, 10 * SECOND) <= 10 * SECOND for _ in range(40))


@pytest.mark.parametrize(("dispatchers", "workers"), [(1, 5), (3, 12), (5, 17), (40, 60), (40, 24), (64, 7)])
def test_each_worker_is_in_a_bounded_number_of_subsets(dispatchers: int, workers: int) -> None:
    """A few dispatchers prefer all workers; many prefer about five each, and no worker is left out."""
    worker_numbers = [1000 + 7 * n for n in range(workers)]
    subsets_by_worker = Counter(
        position
        for dispatcher_index in range(dispatchers)
        for position in subset(worker_numbers, dispatcher_index, dispatchers)
    )
    assert len(subsets_by_worker) == workers
    if workers >= 2 * max(MIN_SUBSET_SIZE, MIN_DISPATCHERS_PER_WORKER * workers / dispatchers):
        assert max(subsets_by_worker.values()) <= 2 * MIN_SUBSET_SIZE * dispatchers / workers + 1


def test_added_worker_changes_few_subset_members() -> None:
    """Most workers stay preferred when the list changes, so the state of each remains useful."""
    worker_numbers = list(range(100, 160))
    unchanged = 0
    for dispatcher_index in range(DISPATCHERS):
        before = {
            worker_numbers[position] for position in subset(worker_numbers, dispatcher_index, DISPATCHERS)
        }
        extended = [*worker_numbers, 777]
        unchanged += len(
            before & {extended[position] for position in subset(extended, dispatcher_index, DISPATCHERS)}
        )
    assert unchanged > 0.7 * DISPATCHERS * MIN_SUBSET_SIZE


def test_list_change_recomputes_the_subset() -> None:
    """A removed worker is no longer preferred."""
    dispatcher = Dispatcher(settings(dispatcher_count=DISPATCHERS, dispatcher_index=3), 1)
    dispatcher.step(SECOND, [api.EndpointListUpdate(api.EndpointListKind.CACHED, WORKERS)])
    removed = dispatcher.table.subset[0].entry
    dispatcher.step(
        2 * SECOND,
        [
            api.EndpointListUpdate(
                api.EndpointListKind.DELTA,
                (api.WorkerEntry(removed.worker, api.WorkerState.GONE, start_id=removed.start_id),),
            )
        ],
    )
    assert removed.worker not in {worker.entry.worker for worker in dispatcher.table.subset}
    assert len(dispatcher.table.subset) >= MIN_SUBSET_SIZE and isinstance(
        dispatcher.table.subset[0].slow_start_sends, deque
    )


def test_retry_delays_of_rejected_clients_are_spread() -> None:
    """Forty dispatchers reject requests at once; the mean delay is about one report interval."""
    delays_ns = []
    for dispatcher_index in range(DISPATCHERS):
        dispatcher_settings = settings(
            dispatcher_count=DISPATCHERS,
            dispatcher_index=dispatcher_index,
            may_probe=False,
            max_retry_after_ns=2 * SECOND,
        )
        dispatcher = Dispatcher(dispatcher_settings, dispatcher_index)
        requests: list[api.Event] = [api.RequestReceived(number, 0, 100 * MS) for number in range(10)]
        dispatcher.step(SECOND, [api.EndpointListUpdate(api.EndpointListKind.CACHED, ()), *requests])
        delays_ns += [
            action.retry_after_ns
            for action in dispatcher.step(2 * SECOND, [api.TimerDue(1)])
            if isinstance(action, api.Reject)
        ]
    assert len(delays_ns) == 10 * DISPATCHERS
    delay_histogram = Counter(delay_ns // (100 * MS) for delay_ns in delays_ns)
    assert max(delay_histogram.values()) < 0.2 * len(delays_ns)
    assert 0.9 * SECOND < sum(delays_ns) / len(delays_ns) < 1.1 * SECOND


def test_update_that_changes_most_workers() -> None:
    """One update removes, drains and adds workers; only READY ones get requests."""
    dispatchers = [
        Dispatcher(
            settings(dispatcher_count=DISPATCHERS, dispatcher_index=dispatcher_index, may_probe=False),
            dispatcher_index,
        )
        for dispatcher_index in range(DISPATCHERS)
    ]
    states = [api.WorkerState.GONE, api.WorkerState.DRAINING, api.WorkerState.READY]
    updated = tuple(api.WorkerEntry(w, states[w % 3], start_id=w) for w in range(1, 52))
    added = tuple(api.WorkerEntry(w, api.WorkerState.READY, start_id=w) for w in range(101, 136))
    ready = {
        entry.worker
        for entry in (*WORKERS, *updated, *added)
        if entry.worker > 51 or entry.state is api.WorkerState.READY
    }
    for dispatcher in dispatchers:
        dispatcher.step(SECOND, [api.EndpointListUpdate(api.EndpointListKind.CACHED, WORKERS)])
        requests: list[api.Event] = [api.RequestReceived(number, 0, SECOND) for number in range(20)]
        actions = dispatcher.step(
            2 * SECOND, [api.EndpointListUpdate(api.EndpointListKind.DELTA, updated + added), *requests]
        )
        used_workers = {action.worker for action in actions if isinstance(action, api.Send)}
        assert used_workers and used_workers <= ready
        preferred = {worker.entry.worker for worker in dispatcher.table.subset}
        assert preferred <= ready and len(preferred) >= MIN_SUBSET_SIZE


def test_full_update_replaces_a_cached_list() -> None:
    """Workers that are only in the cached list are removed, and new ones join the subset."""
    dispatcher = Dispatcher(settings(dispatcher_count=DISPATCHERS, dispatcher_index=5, may_probe=False), 1)
    dispatcher.step(SECOND, [api.EndpointListUpdate(api.EndpointListKind.CACHED, WORKERS[:40])])
    dispatcher.step(2 * SECOND, [api.EndpointListUpdate(api.EndpointListKind.FULL, WORKERS[30:])])
    actions = dispatcher.step(3 * SECOND, [api.RequestReceived(number, 0, SECOND) for number in range(20)])
    assert {action.worker for action in actions if isinstance(action, api.Send)} <= set(range(31, 61))
    assert {worker.entry.worker for worker in dispatcher.table.subset} <= set(range(31, 61))
