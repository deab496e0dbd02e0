"""Tests of the figures of benchmarks/upgrade.py; the upgrade itself is not run by a test."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.upgrade_figures import (
    ReceivedJob,
    RequestResult,
    UpgradeFigures,
    classify_response,
    count_received_between,
    count_repeated,
)


def passing_figures() -> UpgradeFigures:
    """Return the figures of a direction that passes all checks."""
    return UpgradeFigures(
        results=Counter({RequestResult.ANSWERED: 7, RequestResult.REJECTED: 2}),
        jobs_after_ban=1,
        exit_statuses=[0, 0],
    )


@pytest.mark.parametrize(
    ("status", "body", "result"),
    [
        (200, b"A", RequestResult.ANSWERED),
        (200, b"B", RequestResult.WRONG),
        (503, b"overloaded", RequestResult.REJECTED),
        (502, b"A", RequestResult.WRONG),
        (409, b"A", RequestResult.WRONG),
    ],
)
def test_response_is_classified_by_status_and_body(status: int, body: bytes, result: RequestResult) -> None:
    """A response with status 200 and the body of another request is wrong."""
    assert classify_response(status, body, b"A") is result


def test_rejected_requests_pass_and_are_counted_as_sent() -> None:
    """A rejection (503) is a response, and no check fails because of it."""
    assert (
        passing_figures().failures() == []
        and "requests sent 9, answered (200) 7, rejected (503) 2" in passing_figures().summary()
    )


@pytest.mark.parametrize(
    ("name", "value", "failure"),
    [
        (
            "results",
            Counter({RequestResult.ANSWERED: 7, RequestResult.LOST: 1}),
            "requests without a response",
        ),
        ("results", Counter({RequestResult.ANSWERED: 7, RequestResult.WRONG: 1}), "wrong responses"),
        ("results", Counter({RequestResult.REJECTED: 9}), "no successful request"),
        ("surplus_responses", 1, "surplus responses"),
        ("jobs_while_banned", 1, "jobs to the banned worker"),
        ("jobs_after_ban", 0, "no job after the ban was lifted"),
        ("repeated_jobs", 1, "non-idempotent jobs run twice"),
        ("unanswered_callbacks", 1, "callbacks without a response"),
        ("exit_statuses", [0, 1], "exit statuses"),
        ("exit_statuses", [0], "exit statuses"),
        ("tracebacks", 1, "tracebacks"),
    ],
)
def test_each_check_fails_by_itself(name: str, value: object, failure: str) -> None:
    """One bad figure fails exactly the check that is named for it."""
    figures = passing_figures()
    setattr(figures, name, value)
    assert figures.failures() == [failure]


def test_jobs_are_counted_by_time_and_by_request() -> None:
    """An interval includes its start and excludes its end."""
    jobs = [ReceivedJob("a", 1.0), ReceivedJob("b", 2.0), ReceivedJob("a", 3.0), ReceivedJob("c", 3.0)]
    assert (
        count_received_between(jobs, 1.0, 3.0) == 2 and count_received_between(jobs, 3.0, float("inf")) == 2
    )
    assert count_repeated(jobs, {"a", "b"}) == 1 and count_repeated(jobs, {"c"}) == 0
