"""The rules that each round is checked against; a check returns one line per violation."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from weldquay.lab.soak.clients import RequestOutcome, SentRequest
from weldquay.lab.soak.processes import ProcessLog, SoakDispatcher
from weldquay.lab.soak.stand_ins import JobLog, SoakDiscovery

MAX_ANSWER_LATENESS_S = 0.5  # a response may come this long after the client's timeout
# A worker may get jobs for this long after discovery could report its drain: 6 s, and 0.2 s for delays of
# this process.
MAX_STALENESS_S = 6.2


@dataclass
class Records:
    """The recorded data of a round."""

    requests: list[SentRequest]
    jobs: JobLog
    discovery: SoakDiscovery
    processes: ProcessLog
    dispatchers: list[SoakDispatcher]
    client_timeout_s: float
    has_connection_flood: bool
    memory_mb: float | None = None  # the memory limit of the dispatchers; None: not checked

    def was_killed(self, request: SentRequest) -> bool:
        """Return whether the request's dispatcher was killed while it was open."""
        kills = [each.kills for each in self.dispatchers if each.address == request.dispatcher]
        return any(
            started_at <= request.ended_at and request.sent_at <= ended_at
            for started_at, ended_at in (kills[0] if kills else [])
        )


def check_answers(records: Records) -> list[str]:
    """Check that each request gets one response in time, and that a 200 has the result of its own job."""
    violations = []
    for request in records.requests:
        if records.was_killed(request):
            continue
        took_s = request.ended_at - request.sent_at
        if request.outcome in (RequestOutcome.UNANSWERED, RequestOutcome.TRUNCATED):
            violations.append(f"{request.request_id}: {request.outcome.value} after {took_s:.2f} s")
        elif (
            request.outcome is RequestOutcome.ANSWERED
            and took_s > records.client_timeout_s + MAX_ANSWER_LATENESS_S
        ):
            violations.append(f"{request.request_id}: answered {request.status} after {took_s:.2f} s")
        elif request.outcome is RequestOutcome.ANSWERED and request.status not in (200, 429, 502, 503):
            violations.append(f"{request.request_id}: answered {request.status}")
        if not request.is_result_correct:
            violations.append(f"{request.request_id}: the response has a wrong result")
    return violations


def check_closed_connections(records: Records) -> list[str]:
    """Check that connections are closed without a response only where that is allowed.

    The request must not have reached a worker, and its dispatcher must be terminating or its connections
    must be over the limit.
    """
    received = {job.request_id for job in records.jobs.received}
    terminations = {dispatcher.address: dispatcher.terminations for dispatcher in records.dispatchers}
    violations = []
    for request in records.requests:
        if request.outcome is not RequestOutcome.CLOSED_UNANSWERED or records.was_killed(request):
            continue
        was_terminating = any(
            started_at <= request.ended_at and request.sent_at <= ended_at + 0.1
            for started_at, ended_at in terminations[request.dispatcher]
        )
        signals_at = [started_at for started_at, _ in terminations[request.dispatcher]]
        if request.request_id in received:
            violations.append(describe_loss(request, signals_at))
        elif not was_terminating and not records.has_connection_flood:
            violations.append(
                f"{request.request_id}: closed without a response while its dispatcher was serving"
            )
    return violations


def describe_loss(request: SentRequest, signals_at: list[float]) -> str:
    """Return a description of a lost request; signals_at: monotonic times (s) of SIGTERM."""
    connection = "new" if request.is_new_connection else "reused"
    took_s = request.ended_at - request.sent_at
    seconds_after_signals = ", ".join(f"{request.sent_at - at:.2f}" for at in signals_at)
    return (
        f"{request.request_id}: sent to a worker, and its {connection} connection was closed without a "
        f"response after {took_s:.2f} s; seconds from SIGTERM to the request: {seconds_after_signals}"
    )


def check_attempts(records: Records) -> list[str]:
    """Check that attempts of a request never overlap, and that non-idempotent jobs get only one."""
    violations = [
        f"{job.request_id}: an attempt at {job.worker_id} while another one was open"
        for job in records.jobs.received
        if job.had_open_attempt
    ]
    counts = Counter(job.request_id for job in records.jobs.received)
    violations += [
        f"{request.request_id}: {counts[request.request_id]} attempts of a non-idempotent job"
        for request in records.requests
        if not request.is_idempotent and counts[request.request_id] > 1
    ]
    return violations


def check_drains(records: Records) -> list[str]:
    """Check that no job is sent to a draining worker after the maximum staleness of the endpoint list."""
    drain_visible_at = records.discovery.drain_visible_at
    return [
        f"{job.request_id}: sent to {job.worker_id}, "
        f"{job.received_at - drain_visible_at[job.worker_id]:.2f} s after discovery could report its drain"
        for job in records.jobs.received
        if job.worker_id in drain_visible_at
        and job.received_at > drain_visible_at[job.worker_id] + MAX_STALENESS_S
    ]


def check_processes(records: Records) -> list[str]:
    """Check that all processes start, recover and exit cleanly in time and log no exception."""
    log = records.processes
    violations = [
        f"{end.name}: exited with {'SIGKILL' if end.status is None else end.status} "
        f"after {end.elapsed_s:.2f} s"
        for end in log.ends
        if end.status != 0
    ]
    violations += log.not_ready + log.failed_starts + log.not_recovered
    violations += [
        f"{dispatcher.name}: {count} tracebacks in its logs: {dispatcher.last_lines_of_tracebacks()}"
        for dispatcher in records.dispatchers
        if (count := dispatcher.count_tracebacks())
    ]
    violations += [
        f"{dispatcher.name}: peak memory {dispatcher.peak_mb:.0f} MB of {records.memory_mb:.0f} MB"
        for dispatcher in records.dispatchers
        if records.memory_mb is not None and dispatcher.peak_mb > records.memory_mb
    ]
    return violations


def check(records: Records) -> list[str]:
    """Return all violations of a round."""
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
