"""Tests of reservations by EASY backfill: timetables, the scheduler, and the operators' settings."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import MS, SECOND
from weldquay.reservations import settings as reservation_settings
from weldquay.reservations.records import CapacityRequest, WorkerOffer
from weldquay.reservations.scheduler import BackfillJob, BackfillScheduler, FleetLoad
from weldquay.reservations.timetable import (
    NEVER,
    OwnAttempt,
    QueuedJob,
    RunningJob,
    Timetable,
    estimate_timetable,
    remaining_ns,
)

TIMES = st.integers(1, 5000).map(lambda ms: float(ms * MS))
JOBS = st.tuples(TIMES, st.sampled_from([1.0, 2.0, 4.0]), st.floats(0.05, 4.0))


def four_slot_timetable(
    running: list[tuple[float, float, float]], queued: list[tuple[float, float, float]]
) -> Timetable:
    """Return the timetable of a worker of four slots; running jobs that do not fit are left out."""
    fitting = []
    free_slots = 4.0
    free_memory = 4.0
    for job_remaining_ns, job_slots, job_memory in running:
        if job_slots <= free_slots and job_memory <= free_memory:
            fitting.append(RunningJob(job_remaining_ns, job_slots, job_memory))
            free_slots -= job_slots
            free_memory -= job_memory
    return Timetable(4.0, 4.0, fitting, [QueuedJob(*job) for job in queued])


def expected_schedule(
    timetable: Timetable, extra: list[QueuedJob]
) -> list[tuple[float, float, float, float]]:
    """Return (start, end, slots, memory) of all jobs of a worker that serves its queue in order."""
    jobs = [(0.0, running.remaining_ns, running.slots, running.memory) for running in timetable.running]
    queue = [*timetable.queued, *extra]
    for number, job in enumerate(queue):
        ahead = Timetable(4.0, 4.0, timetable.running, queue[:number])
        start_ns = ahead.earliest_start(job.slots, job.memory).wait_ns
        jobs.append((start_ns, start_ns + job.run_ns, job.slots, job.memory))
    return jobs


@given(st.lists(JOBS, max_size=4), st.lists(JOBS, max_size=6), JOBS)
def test_planned_jobs_never_exceed_the_workers_capacity(
    running: list[Any],
    queued: list[Any],
    job: tuple[float, float, float],
) -> None:
    """At each planned start the running jobs fit into the worker, and jobs start in queue order."""
    timetable = four_slot_timetable(running, queued)
    jobs = expected_schedule(timetable, [QueuedJob(*job)])
    queued_starts = [start for start, *_ in jobs[len(timetable.running) :]]
    assert queued_starts == sorted(queued_starts)
    for start_ns, *_ in jobs:
        running_then = [(slots, memory) for start, end, slots, memory in jobs if start <= start_ns < end]
        assert sum(slots for slots, _ in running_then) <= 4.0 + 1e-3
        assert sum(memory for _, memory in running_then) <= 4.0 + 1e-3


def test_a_worker_that_is_too_small_never_starts_a_job() -> None:
    """The start is `NEVER` if slots or memory are insufficient."""
    assert four_slot_timetable([], []).earliest_start(8.0).wait_ns == NEVER
    assert four_slot_timetable([], []).earliest_start(1.0, 4.5).wait_ns == NEVER


def test_slots_of_other_dispatchers_are_released_one_by_one() -> None:
    """Of four jobs with a mean of 1 s the last is expected to end after 1/4 + 1/3 + 1/2 + 1 s."""
    timetable = estimate_timetable(4.0, [], 4.0, 0.0, float(SECOND))
    assert timetable.earliest_start(4.0).wait_ns == pytest.approx(SECOND * 25 / 12)
    assert timetable.earliest_start(1.0).wait_ns == pytest.approx(SECOND / 4)


def test_queued_jobs_of_other_dispatchers_start_first() -> None:
    """Six slots are used at a worker of four, so two jobs are queued ahead of a new one."""
    timetable = estimate_timetable(4.0, [OwnAttempt(SECOND, 0.0, 4.0)], 6.0, 0.0, float(SECOND))
    assert [job.slots for job in timetable.queued] == [1.0, 1.0]
    assert timetable.earliest_start(4.0).wait_ns == pytest.approx(2 * SECOND)


@pytest.mark.parametrize(
    ("run_ns", "age_ns", "expected_ns"),
    [(1000.0, 0.0, 1000.0), (1000.0, 400.0, 600.0), (1000.0, 990.0, 50.0), (1000.0, 4000.0, 2000.0)],
)
def test_remaining_time_of_an_overdue_job_grows_with_its_age(
    run_ns: float, age_ns: float, expected_ns: float
) -> None:
    """The remaining time of a job is never zero, even if it has run for longer than expected."""
    assert remaining_ns(run_ns, age_ns) == expected_ns


# --- reservations ---


def capacity_request(request: int = 1, weight: float = 8.0, **changes: Any) -> CapacityRequest:
    """Return the request of a four-slot job of 1 s with a deadline in 4 s."""
    values = {"slots": 4.0, "memory": 1.0, "run_ns": float(SECOND), "max_end_ns": 4.0 * SECOND}
    return CapacityRequest(request, priority_weight=weight, **{**values, **changes})


def worker_offer(worker: int, *remaining_ms: float, run_ns: float = SECOND) -> WorkerOffer:
    """Return a worker of four slots that runs one-slot jobs with these remaining times."""
    timetable = Timetable(4.0, 4.0, [RunningJob(ms * MS, 1.0, 0.5) for ms in remaining_ms])
    return WorkerOffer(worker, run_ns, lambda: timetable)


def scheduler_with(dispatcher_count: int = 1, **changes: Any) -> BackfillScheduler:
    """Return a scheduler with a mean slot value of 1."""
    scheduler = BackfillScheduler(reservation_settings.ReservationSettings(**changes), dispatcher_count)
    scheduler.record_send(1.0, 1e9)
    return scheduler


def request_capacity(
    scheduler: BackfillScheduler, job: CapacityRequest, *offers: WorkerOffer, now: int = 0, queued: int = 1
) -> int | None:
    """Request capacity in a fleet of ten workers with a utilization of one half."""
    return scheduler.request_capacity(now, job, offers, FleetLoad(10, 0.5, queued))


def end_reasons(scheduler: BackfillScheduler) -> list[str]:
    """Return the reasons for which reservations ended since the last call."""
    return [result.reason for result in scheduler.take_results()]


def test_the_worker_with_the_earliest_end_is_reserved() -> None:
    """An earlier start at a slower worker is not preferred."""
    scheduler = scheduler_with()
    assert (
        request_capacity(
            scheduler,
            capacity_request(),
            worker_offer(1, 500.0, run_ns=2.5 * SECOND),
            worker_offer(2, 1200.0),
        )
        is None
    )
    assert scheduler.by_request[1].worker == 2


def test_a_job_joins_the_workers_queue_shortly_before_its_start() -> None:
    """With other dispatchers the job is sent early; without, only when it can start."""
    assert request_capacity(scheduler_with(3), capacity_request(), worker_offer(2, 600.0)) == 2
    alone = scheduler_with(1)
    assert request_capacity(alone, capacity_request(), worker_offer(2, 600.0)) is None
    assert request_capacity(
        alone, capacity_request(), worker_offer(2, 1.0), now=600 * MS
    ) == 2 and end_reasons(alone) == ["queued"]


def test_a_job_does_not_join_a_queue_that_is_served_out_of_order() -> None:
    """Smaller jobs would overtake it in that queue, so it is sent only once its slots are free."""
    scheduler = BackfillScheduler(reservation_settings.ReservationSettings(), 3, serves_in_order=False)
    scheduler.record_send(1.0, 1e9)
    assert (
        request_capacity(scheduler, capacity_request(), worker_offer(2, 600.0)) is None
        and scheduler.by_request[1].worker == 2
    )


@pytest.mark.parametrize(
    ("job", "queued", "reason"),
    [
        (capacity_request(has_hint=False), 1, "no_hint"),
        (capacity_request(), 1000, "overload"),
        (capacity_request(max_end_ns=0.5 * SECOND), 1, "too_late"),
    ],
)
def test_a_reservation_ends_if_it_is_useless(job: CapacityRequest, queued: int, reason: str) -> None:
    """Without a hint, in overload or past the deadline it ends, and no new one is created."""
    scheduler = scheduler_with()
    request_capacity(scheduler, capacity_request(), worker_offer(1, 900.0))
    assert scheduler.by_request
    assert request_capacity(scheduler, job, worker_offer(1, 900.0), queued=queued) is None
    assert end_reasons(scheduler) == [reason] and not scheduler.by_worker


def test_nothing_is_reserved_while_hints_are_inaccurate() -> None:
    """Hints are alternately four times too long and too short."""
    scheduler = scheduler_with()
    for number in range(100):
        scheduler.record_runtime(1.4 if number % 2 else -1.4)
    request_capacity(scheduler, capacity_request(), worker_offer(1, 900.0))
    assert not scheduler.by_request


def test_a_reservation_ends_once_its_start_is_delayed_too_long() -> None:
    """The limit is `max_delay` running times of the job."""
    scheduler = scheduler_with(max_delay=1.0)
    for now in range(0, 1500, 100):
        request_capacity(
            scheduler, capacity_request(max_end_ns=20.0 * SECOND), worker_offer(1, 900.0), now=now * MS
        )
    assert end_reasons(scheduler)[0] == "slipped"


def test_nothing_is_reserved_for_a_job_of_low_value() -> None:
    """Three slots that would be idle for 0.9 s could run work of eight times the weight."""
    scheduler = scheduler_with()
    for _ in range(200):
        scheduler.record_send(8.0, 1e9)
    request_capacity(scheduler, capacity_request(weight=1.0, run_ns=0.2 * SECOND), worker_offer(1, 900.0))
    assert not scheduler.by_request and scheduler.counts["not_worth_it"]


def test_a_reservation_that_was_taken_over_is_not_returned() -> None:
    """The request of lower priority cannot take it back, so that requests never wait in a cycle."""
    scheduler = scheduler_with()
    request_capacity(scheduler, capacity_request(1, weight=2.0), worker_offer(1, 900.0))
    request_capacity(scheduler, capacity_request(2, weight=8.0), worker_offer(1, 900.0))
    assert scheduler.by_worker[1].request == 2 and end_reasons(scheduler) == ["outbid"]
    request_capacity(scheduler, capacity_request(1, weight=2.0), worker_offer(1, 900.0))
    assert list(scheduler.by_request) == [2]


def test_the_number_of_reservations_is_limited() -> None:
    """With twenty requests and ten workers, at most a third of the workers are reserved."""
    scheduler = scheduler_with(max_reserved_fraction=0.34)
    for request in range(20):
        request_capacity(
            scheduler,
            capacity_request(request),
            *(worker_offer(worker, 900.0) for worker in range(10)),
            queued=20,
        )
    assert len(scheduler.by_worker) == 3 and scheduler.counts["over_cap"]


def test_a_reservation_ends_with_its_worker() -> None:
    """The caller decides which workers are usable: not draining, banned, warming up or gone."""
    scheduler = scheduler_with()
    request_capacity(scheduler, capacity_request(), worker_offer(1, 900.0))
    scheduler.expire(100 * MS, lambda _: False)
    assert end_reasons(scheduler) == ["worker_out"] and not scheduler.by_request


def test_reconfiguration_ends_all_reservations() -> None:
    """The new settings may not allow the reservations."""
    scheduler = scheduler_with()
    request_capacity(scheduler, capacity_request(), worker_offer(1, 900.0))
    scheduler.reconfigure(MS, None, 1)
    assert end_reasons(scheduler) == ["reload"] and not scheduler.handles(4.0)


@given(
    st.lists(JOBS, max_size=4),
    st.lists(JOBS, max_size=3),
    st.sampled_from([2.0, 4.0]),
    TIMES,
    st.sampled_from([1.0, 2.0]),
)
def test_a_backfilled_job_does_not_delay_a_reservation(
    running: list[Any],
    queued: list[Any],
    slots: float,
    run_ns: float,
    small_slots: float,
) -> None:
    """A backfilled job that runs no longer than expected does not delay the reserved start."""
    timetable = four_slot_timetable(running, queued)
    scheduler = scheduler_with(hint_margin=1.0, value_margin=0.0)
    before = timetable.earliest_start(slots, 1.0).wait_ns
    job = capacity_request(slots=slots, max_end_ns=1e15)
    request_capacity(scheduler, job, WorkerOffer(1, SECOND, lambda: timetable))
    if 1 not in scheduler.by_request:
        return
    if scheduler.admits(0, BackfillJob(2, small_slots, 0.1, run_ns), 1, lambda: timetable):
        assert (
            timetable.earliest_start(slots, 1.0, [QueuedJob(run_ns, small_slots, 0.1)]).wait_ns
            <= before + 1e-3
        )


@given(
    st.lists(
        st.tuples(
            st.integers(1, 5),
            st.sampled_from([1.0, 2.0, 8.0]),
            st.integers(1, 4),
            st.lists(TIMES, max_size=4),
        ),
        max_size=40,
    )
)
def test_every_reservation_ends_and_decisions_are_reproducible(capacity_requests: list[Any]) -> None:
    """Requests and workers have at most one reservation, none outlives its expiry, and two runs are equal."""
    runs = []
    for _ in range(2):
        scheduler = scheduler_with(2)
        chosen = []
        for step, (request, weight, worker, remaining) in enumerate(capacity_requests):
            now = step * 200 * MS
            scheduler.expire(now, lambda _: True)
            chosen.append(
                request_capacity(
                    scheduler,
                    capacity_request(request, weight),
                    worker_offer(worker, *(ns / MS for ns in remaining)),
                    now=now,
                )
            )
            assert {reservation.request for reservation in scheduler.by_worker.values()} == set(
                scheduler.by_request
            )
            assert all(reservation.expires_ns > now for reservation in scheduler.by_request.values())
        scheduler.expire(len(capacity_requests) * 200 * MS + 10 * SECOND, lambda _: True)
        assert not scheduler.by_request and not scheduler.by_worker
        runs.append((chosen, scheduler.take_results()))
    assert runs[0] == runs[1]


# --- the operators' settings ---


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (b"{", "not valid JSON"),
        (b"[]", "not a JSON object"),
        (b"\xff\xfe", "not valid JSON"),
        (b'{"slipp": 1}', "unknown key slipp; the keys are on, least_slots, "),
        (b'{"on": 1}', "on is 1: write true or false"),
        (b'{"least_slots": 1}', "least_slots is 1: write a number of slots from 2"),
        (b'{"most_held": 0.9}', "most_held is 0.9: write a fraction of the workers above 0, at most 0.5"),
        (b'{"most_holds": 2.5}', "most_holds is 2.5: write a whole number"),
        (b'{"hint_margin": "2"}', 'hint_margin is "2": write a factor'),
        (b'{"slip": NaN}', "not valid JSON"),
        (b'{"queue_part": null}', "queue_part is null: write a multiple of the job's running time"),
        (b" " * 70000, "larger than 65536 bytes"),
        (b"[" * 5000, "not valid JSON"),
    ],
)
def test_an_invalid_file_is_reported_in_one_line(tmp_path: Path, text: bytes, message: str) -> None:
    """The line names the file, the key, its value and the valid range."""
    path = tmp_path / "room.json"
    path.write_bytes(text)
    with pytest.raises(reservation_settings.ReservationSettingsError) as caught:
        reservation_settings.read_settings(path)
    assert message in str(caught.value) and "\n" not in str(caught.value) and str(path) in str(caught.value)


def test_an_unreadable_file_is_reported(tmp_path: Path) -> None:
    """The file does not exist, or is a directory."""
    for path in (tmp_path / "absent", tmp_path):
        with pytest.raises(reservation_settings.ReservationSettingsError, match="cannot be read"):
            reservation_settings.read_settings(path)


def test_the_deployed_file_has_every_key_with_its_default() -> None:
    """Operators can look up all keys in deploy/room.json."""
    path = Path(__file__).parents[1] / "deploy" / "room.json"
    assert reservation_settings.read_settings(path) == reservation_settings.ReservationSettings()
    assert set(json.loads(path.read_text())) == set(reservation_settings.EXTERNAL_KEYS.values())


def test_the_external_keys_are_mapped_explicitly() -> None:
    """Each field has a key with the spelling of release 725bba5, and is read from it."""
    keys = [
        "on",
        "least_slots",
        "most_held",
        "most_holds",
        "hint_margin",
        "slip",
        "queue_part",
        "worth_margin",
        "most_hint_error",
        "most_waiting",
    ]
    assert list(reservation_settings.EXTERNAL_KEYS.values()) == keys
    assert list(reservation_settings.EXTERNAL_KEYS) == list(
        reservation_settings.ReservationSettings.__struct_fields__
    )
    values = [False, 3, 0.25, 7, 1.5, 2.5, 0.5, 3.5, 0.75, 5.5]
    read = reservation_settings.parse_settings(dict(zip(keys, values, strict=True)), "room")
    assert [getattr(read, field) for field in reservation_settings.EXTERNAL_KEYS] == values
