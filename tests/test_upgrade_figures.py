"""The arithmetic of benchmarks/upgrade_figures.py; the upgrade itself is run by its command."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.upgrade_figures import (
    Figures,
    ReceivedJob,
    RequestResult,
    classify,
    count_between,
    count_repeated,
)


def passed() -> Figures:
    """Figures of a direction that passed all checks."""
    return Figures(
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
def test_a_result_needs_the_status_and_the_own_body(status: int, body: bytes, result: RequestResult) -> None:
    """An answer to another request is wrong, though its status is 200."""
    assert classify(status, body, b"A") is result


def test_rejected_requests_pass_and_are_counted_as_sent() -> None:
    """503 is an answer."""
    assert (
        passed().failures() == [] and "requests sent 9, answered (200) 7, rejected (503) 2" in passed().line()
    )


@pytest.mark.parametrize(
    ("name", "value", "failure"),
    [
        (
            "results",
            Counter({RequestResult.ANSWERED: 7, RequestResult.LOST: 1}),
            "requests without an answer",
        ),
        ("results", Counter({RequestResult.ANSWERED: 7, RequestResult.WRONG: 1}), "wrong answers"),
        ("results", Counter({RequestResult.REJECTED: 9}), "no request was answered"),
        ("surplus_answers", 1, "surplus answers"),
        ("jobs_while_banned", 1, "jobs to the banned worker"),
        ("jobs_after_ban", 0, "no job after the ban was lifted"),
        ("repeated_jobs", 1, "non-idempotent jobs run twice"),
        ("failed_callbacks", 1, "call-backs without an answer"),
        ("exit_statuses", [0, 1], "exit statuses"),
        ("exit_statuses", [0], "exit statuses"),
        ("tracebacks", 1, "tracebacks"),
    ],
)
def test_each_check_fails_by_itself(name: str, value: object, failure: str) -> None:
    """One bad figure is enough, and is named."""
    figures = passed()
    setattr(figures, name, value)
    assert figures.failures() == [failure]


def test_jobs_are_counted_by_time_and_by_request() -> None:
    """The begin of an interval belongs to it, its end does not."""
    jobs = [ReceivedJob("a", 1.0), ReceivedJob("b", 2.0), ReceivedJob("a", 3.0), ReceivedJob("c", 3.0)]
    assert count_between(jobs, 1.0, 3.0) == 2 and count_between(jobs, 3.0, float("inf")) == 2
    assert count_repeated(jobs, {"a", "b"}) == 1 and count_repeated(jobs, {"c"}) == 0
