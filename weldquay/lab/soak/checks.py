"""The rules that a round is checked against; each check returns one line for each violation."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from weldquay.lab.soak.clients import RequestOutcome, SentRequest
from weldquay.lab.soak.processes import ProcessLog, SoakDispatcher
from weldquay.lab.soak.stand_ins import JobLog, SoakDiscovery

LATE_ANSWER_S = 0.5  # after the client's time; a later answer is as none
STALENESS_S = 6.2  # from when a drain could be had from discovery; 0.2 s for this process's own delays


@dataclass
class Records:
    """What a round recorded."""

    requests: list[SentRequest]
    jobs: JobLog
    discovery: SoakDiscovery
    processes: ProcessLog
    dispatchers: list[SoakDispatcher]
    client_timeout_s: float
    has_crowd: bool


def check_answers(records: Records) -> list[str]:
    """Each request gets one answer in time, and a 200 has its own result."""
    violations = []
    for request in records.requests:
        took_s = request.ended_at - request.sent_at
        if request.outcome in (RequestOutcome.UNANSWERED, RequestOutcome.CUT_OFF):
            violations.append(f"{request.request_id}: {request.outcome.value} after {took_s:.2f} s")
        elif request.outcome is RequestOutcome.ANSWERED and took_s > records.client_timeout_s + LATE_ANSWER_S:
            violations.append(f"{request.request_id}: answered {request.status} after {took_s:.2f} s")
        elif request.outcome is RequestOutcome.ANSWERED and request.status not in (200, 429, 502, 503):
            violations.append(f"{request.request_id}: answered {request.status}")
        if not request.is_right:
            violations.append(f"{request.request_id}: a wrong result")
    return violations


def check_closed_connections(records: Records) -> list[str]:
    """A connection closes under a request only unread, and only at the end of a process or in a crowd."""
    received = {job.request_id for job in records.jobs.received}
    ending = {dispatcher.address: dispatcher.ending for dispatcher in records.dispatchers}
    violations = []
    for request in records.requests:
        if request.outcome is not RequestOutcome.CLOSED:
            continue
        is_ending = any(
            begun_at <= request.ended_at and request.sent_at <= ended_at + 0.1
            for begun_at, ended_at in ending[request.dispatcher]
        )
        signals_at = [begun_at for begun_at, _ in ending[request.dispatcher]]
        if request.request_id in received:
            violations.append(describe_loss(request, signals_at))
        elif not is_ending and not records.has_crowd:
            violations.append(f"{request.request_id}: closed without an answer while its dispatcher served")
    return violations


def describe_loss(request: SentRequest, signals_at: list[float]) -> str:
    """A request that was lost; signals_at: the times of SIGTERM to its dispatcher (s)."""
    connection = "new" if request.is_new_connection else "kept"
    took_s = request.ended_at - request.sent_at
    after_s = ", ".join(f"{request.sent_at - at:.2f}" for at in signals_at)
    return (
        f"{request.request_id}: sent to a worker, and its {connection} connection was closed without an "
        f"answer after {took_s:.2f} s; seconds from SIGTERM to the request: {after_s}"
    )


def check_attempts(records: Records) -> list[str]:
    """Never two attempts at once, and never a second one of a job that must not run twice."""
    violations = [
        f"{job.request_id}: an attempt at {job.worker_id} beside another one"
        for job in records.jobs.received
        if job.had_open
    ]
    counts = Counter(job.request_id for job in records.jobs.received)
    violations += [
        f"{request.request_id}: {counts[request.request_id]} attempts of a job that must not run twice"
        for request in records.requests
        if not request.is_idempotent and counts[request.request_id] > 1
    ]
    return violations


def check_drains(records: Records) -> list[str]:
    """Nothing is sent to a worker once its drain counts as reported."""
    reachable_after = records.discovery.reachable_after
    return [
        f"{job.request_id}: sent to {job.worker_id}, {job.at - reachable_after[job.worker_id]:.2f} s after "
        "its drain"
        for job in records.jobs.received
        if job.worker_id in reachable_after and job.at > reachable_after[job.worker_id] + STALENESS_S
    ]


def check_processes(records: Records) -> list[str]:
    """Each process ends by itself before SIGKILL, each start is ready in time, and none logs an exception."""
    log = records.processes
    violations = [
        f"{end.name}: ended with {'SIGKILL' if end.status is None else end.status} after {end.after_s:.2f} s"
        for end in log.ends
        if end.status != 0
    ]
    violations += log.not_ready + log.refused_starts
    violations += [
        f"{dispatcher.name}: {count} exceptions in its logs"
        for dispatcher in records.dispatchers
        if (count := dispatcher.tracebacks())
    ]
    return violations


def check(records: Records) -> list[str]:
    """All violations of a round."""
    return [
        violation
        for check_rule in (
            check_answers,
            check_closed_connections,
            check_attempts,
            check_drains,
            check_processes,
        )
        for violation in check_rule(records)
    ]
