"""A client's retry is as old as its first attempt, where its fingerprint shows which that was."""

from __future__ import annotations

from weldquay import interface as api
from tests.helpers import MS, SECOND, Drive, finals, sends


def turned_away(drive: Drive, request: api.RequestReceived) -> None:
    """A request that finds the only worker full, waits past its aim and is refused."""
    drive.report(1, 0.0)
    drive.step(request)
    assert finals(drive.run(4 * SECOND)) == [api.Reject(request.request_id)]


def test_jobs_that_share_all_figures_are_each_as_old_as_their_own_arrival() -> None:
    """No key, no hint: a new job is no retry of an old refused one, and goes where there is room."""
    drive = Drive(workers=1)
    turned_away(drive, api.RequestReceived(1, 0, 10 * SECOND))
    drive.report(1, 1.0)
    assert [send.request_id for send in sends(drive.step(api.RequestReceived(2, 0, 10 * SECOND)))] == [2]


def test_a_retry_singled_out_by_its_hint_keeps_the_age_of_its_first_try() -> None:
    """The same hint: the retry is as late as its first try and is refused; another hint is a new job."""
    drive = Drive(workers=1)
    turned_away(drive, api.RequestReceived(1, 0, 10 * SECOND, runtime_hint_ns=200 * MS))
    drive.report(1, 1.0)
    assert finals(drive.step(api.RequestReceived(2, 0, 10 * SECOND, runtime_hint_ns=200 * MS))) == [
        api.Reject(2)
    ]
    other = api.RequestReceived(3, 0, 10 * SECOND, runtime_hint_ns=300 * MS)
    assert [send.request_id for send in sends(drive.step(other))] == [3]
