"""A client's retry keeps the age of the rejected request that its fingerprint identifies."""

from __future__ import annotations

from tests.helpers import MS, SECOND, DispatcherDriver, error_responses, sends
from weldquay import interface as api


def send_and_reject(driver: DispatcherDriver, request: api.RequestReceived) -> None:
    """Send a request while the only worker is full, and run until it can only be late and is rejected."""
    driver.report(1, 0.0)
    driver.step(request)
    assert error_responses(driver.run(4 * SECOND)) == [api.Reject(request.request_id)]


def test_equal_requests_without_key_and_hint_are_not_repeats() -> None:
    """A new request with the same values as a rejected one is placed if there is capacity."""
    driver = DispatcherDriver(workers=1)
    send_and_reject(driver, api.RequestReceived(1, 0, 10 * SECOND))
    driver.report(1, 1.0)
    assert [send.request_id for send in sends(driver.step(api.RequestReceived(2, 0, 10 * SECOND)))] == [2]


def test_repeat_with_the_same_hint_keeps_its_age() -> None:
    """It is as late as the rejected request, so it is rejected; with another hint it is a new request."""
    driver = DispatcherDriver(workers=1)
    send_and_reject(driver, api.RequestReceived(1, 0, 10 * SECOND, runtime_hint_ns=200 * MS))
    driver.report(1, 1.0)
    assert error_responses(driver.step(api.RequestReceived(2, 0, 10 * SECOND, runtime_hint_ns=200 * MS))) == [
        api.Reject(2)
    ]
    other = api.RequestReceived(3, 0, 10 * SECOND, runtime_hint_ns=300 * MS)
    assert [send.request_id for send in sends(driver.step(other))] == [3]
