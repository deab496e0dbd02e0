"""The rules for a request's attempts and its answer, each on real sockets."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from example.toy import Message, encode_message
from tests.site import ACCEPTED, Script, ScriptedWorker, job, run_scenario, site, until
from weldquay.net import attempt_runner, endpoint_list_adapter
from weldquay.net.connection_pool import MAX_IDLE_PER_WORKER
from weldquay.net.worker_connection import WorkerConnection
from weldquay.net.worker_endpoint import WorkerEndpoint
from weldquay.policy import worker_table


async def reset_connection(_message: Message, writer: asyncio.StreamWriter) -> None:
    """A script: reset the connection before the 202."""
    writer.transport.abort()


async def reject_as_overloaded(_message: Message, writer: asyncio.StreamWriter) -> None:
    """A script: reject the job as overloaded, without starting it."""
    writer.write(encode_message("HTTP/1.1 503 Busy", b"", "X-Unprocessed: 1"))


async def reject(_message: Message, writer: asyncio.StreamWriter) -> None:
    """A script: reject the job as invalid for any worker."""
    writer.write(encode_message("HTTP/1.1 400 Bad Request"))


async def accept(_message: Message, writer: asyncio.StreamWriter) -> None:
    """A script: accept the job and send no callback."""
    writer.write(ACCEPTED)


async def send_no_response(_message: Message, _writer: asyncio.StreamWriter) -> None:
    """A script: send no response."""
    await asyncio.sleep(3600)


def test_request_reaches_worker_unchanged_and_returns_its_result() -> None:
    """Method, path, query, body and id reach the worker; its result is the response's body."""

    async def scenario() -> None:
        async with site() as here:
            answer = await here.post("id-7")
            assert (answer.start_line.split()[1], answer.body) == ("200", b"TEXT")
            (seen,) = [message for message in here.workers[0].received if message.method == "POST"]
            assert (seen.target, seen.body, seen.headers["x-correlation-id"]) == (
                "/lookup/a?b=1",
                b"text",
                "id-7",
            )
            assert 4000 < int(seen.headers["x-time-left-ms"]) <= 5000

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("path", "script", "left_ms", "status"),
    [
        ("/lookup", accept, 400, "503"),
        ("/import", accept, 400, "502"),
        ("/lookup", send_no_response, 200, "503"),
    ],
)
def test_silent_worker_does_not_delay_answer_past_deadline(
    path: str, script: Script, left_ms: int, status: str
) -> None:
    """There is one answer by the deadline; a non-idempotent job that may have run fails, others are rejected.

    The worker gets a DELETE, even before its 202: that may be under way, and closing the connection alone
    would leave the job running.
    """

    async def scenario() -> None:
        async with site() as here:
            here.workers[0].script = script
            answer = await here.post(path=path, left_ms=left_ms)  # site() checks that it was not overdue
            assert answer.start_line.split()[1] == status
            await here.workers[0].until("POST", "DELETE")

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("path", "script", "posts"),
    [
        ("/lookup", reset_connection, 2),
        ("/import", reset_connection, 1),
        ("/lookup", reject_as_overloaded, 2),
        ("/import", reject_as_overloaded, 2),
        ("/lookup", reject, 1),
    ],
)
def test_only_safe_retries_are_sent(path: str, script: Script, posts: int) -> None:
    """After a reset the job may have run; after an overload it has not; an invalid job is not retried."""

    async def scenario() -> None:
        async with site(workers=2) as here:

            async def once(message: Message, writer: asyncio.StreamWriter) -> None:
                for worker in here.workers:
                    worker.script = None
                await script(message, writer)

            for worker in here.workers:
                worker.script = once
            answer = await here.post(path=path)
            assert answer.start_line.split()[1] == ("200" if posts == 2 else "502")
            assert sum(worker.methods().count("POST") for worker in here.workers) == posts

    run_scenario(scenario())


def stall(duration_s: float) -> None:
    """Block the event loop."""
    time.sleep(duration_s)


@contextmanager
def unreachable_address() -> Iterator[str]:
    """The address of an unreachable machine: connections to it neither succeed nor fail."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen(0)  # one connection fills its queue; the system leaves further ones unanswered
        with socket.create_connection(sock.getsockname()):
            yield "{}:{}".format(*sock.getsockname())


@pytest.mark.parametrize("caps", [{}, {"connect_timeout_ns": 50_000_000}], ids=["refused", "cut off"])
def test_failed_connection_counts_as_not_executed(caps: dict[str, int]) -> None:
    """A non-idempotent job is retried at another worker after a refused connection and a connect timeout."""

    async def scenario() -> None:
        async with site(workers=2, caps={"probes": False, **caps}) as here:
            with unreachable_address() as address:
                if caps:
                    here.discovery.members["w0"]["host_port"] = address
                    await here.discovery.change(here.workers[1], "SERVING")
                    await until(lambda: here.program.discovery.revision == here.discovery.revision)
                else:
                    here.workers[0].stop()
                answers = [await here.post(f"c{number}", "/import") for number in range(4)]
            assert {answer.start_line.split()[1] for answer in answers} == {"200"}
            assert here.workers[1].methods() == ["POST"] * 4
            assert here.program.counters.counts["worker_connections_failed"] >= 1

    run_scenario(scenario())


def test_rejection_has_retry_after() -> None:
    """If all workers are full, the 503 has a Retry-After within the limit that clients honour."""

    async def scenario() -> None:
        async with site() as here:
            here.workers[0].script = reject_as_overloaded
            answer = await here.post(left_ms=300)
            assert answer.start_line.split()[1] == "503"
            assert 0 < float(answer.headers["retry-after"]) <= 2

    run_scenario(scenario())


def test_callback_counts_once_and_only_from_worker_of_attempt() -> None:
    """They may precede the 202, repeat, and come from anyone: each has a response, one ends the attempt."""

    async def scenario() -> None:
        async with site() as here:
            worker, reported = here.workers[0], asyncio.Event()

            async def early(message: Message, writer: asyncio.StreamWriter) -> None:
                stranger = ScriptedWorker("stranger", here.address)
                for sender, result in ((stranger, "forged"), (worker, "mine"), (worker, "mine")):
                    call = message.headers["x-correlation-id"]
                    answer = await sender.send_callback(call, state="done", result=result)
                    assert answer.start_line.split()[1] == "204"
                writer.write(ACCEPTED)
                reported.set()

            worker.script = early
            assert (await here.post()).body == b"mine"
            await reported.wait()
            assert here.program.counters.counts["attempts_ok"] == 1
            assert here.program.counters.counts["callbacks_unmatched"] == 2

    run_scenario(scenario())


def test_client_disconnection_cancels_attempts() -> None:
    """The worker gets a DELETE."""

    async def scenario() -> None:
        async with site() as here:
            here.workers[0].script = here.workers[0].accept
            _, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            writer.write(job())
            await here.workers[0].until("POST")
            writer.close()
            await here.workers[0].until("POST", "DELETE")
            assert here.workers[0].received[-1].target == "/jobs/c1"
            assert here.program.counters.counts["clients_disconnected"] == 1

    run_scenario(scenario())


@pytest.mark.parametrize("begun", [False, True])
def test_silent_connection_does_not_block_idempotent_job(
    begun: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An idempotent job is retried before its deadline, unless the worker has reported its start."""

    async def scenario() -> None:
        async with site(workers=2) as here:
            first: list[ScriptedWorker] = []

            async def silent(message: Message, _writer: asyncio.StreamWriter) -> None:
                worker = next(candidate for candidate in here.workers if message in candidate.received)
                first.append(worker)
                for other in here.workers:
                    other.script = None
                call = message.headers["x-correlation-id"]
                if begun:
                    await worker.send_callback(call, state="started")
                    await until(lambda: here.program.counters.counts["worker_responses_missing"])
                    await worker.send_callback(call, state="done", result="late")
                await asyncio.sleep(3600)

            for worker in here.workers:
                worker.script = silent
            assert (await here.post()).body == (b"late" if begun else b"TEXT")
            reported = ["POST"] if begun else ["POST", "DELETE"]
            await until(lambda: first[0].methods()[:2] == reported)  # it may be drawn again

    monkeypatch.setattr(attempt_runner, "ACCEPT_TIMEOUT_S", 0.2)
    run_scenario(scenario())


def test_after_stall_decision_step_answers_before_overdue_timer() -> None:
    """Both timers are due in one turn of the event loop: the decision step must run first."""

    async def scenario() -> None:
        async with site() as here:
            here.workers[0].script = here.workers[0].accept
            answer = asyncio.create_task(here.post(left_ms=300))
            await here.workers[0].until("POST")
            stall(0.5)
            assert (await answer).start_line.split()[1] == "503"
            assert not here.program.counters.counts["requests_past_deadline"]

    run_scenario(scenario())


def test_draining_worker_gets_no_new_attempts() -> None:
    """From the watch event of its drain on."""

    async def scenario() -> None:
        async with site(workers=2) as here:
            await here.discovery.change(here.workers[0], "DRAINING")
            await until(lambda: here.program.discovery.revision >= here.discovery.revision)
            for number in range(6):
                await here.post(f"c{number}")
            assert here.workers[0].methods() == []

    run_scenario(scenario())


@pytest.mark.parametrize("phase", ["DRAINING", None])
def test_no_attempt_starts_on_connection_established_after_drain(phase: str | None) -> None:
    """The worker's state counts at the first byte, not at the decision.

    phase None: a complete list that does not contain the worker.
    """

    async def scenario() -> None:
        async with site(workers=2, caps={"probes": False}) as here:
            connections, gate = here.program.workers.connections, asyncio.Event()
            connect, first = connections.connect, here.workers[0]

            async def slow(worker: WorkerEndpoint) -> WorkerConnection:
                if worker.endpoint.id == first.name:
                    await gate.wait()
                return await connect(worker)

            connections.connect = slow  # type: ignore[method-assign]
            answers = [asyncio.create_task(here.post(f"c{number}", "/import")) for number in range(8)]
            attempts = here.program.coordinator.attempts
            await until(lambda: any(worker_id == first.name for _, worker_id in attempts.by_worker))
            if phase is None:
                del here.discovery.members[first.name]
                await here.discovery.notify_watches()
            else:
                await here.discovery.change(first, phase)
            await until(lambda: here.program.discovery.revision == here.discovery.revision)
            gate.set()
            assert {(await answer).start_line.split()[1] for answer in answers} == {"200"}
            assert first.methods() == []

    run_scenario(scenario())


def test_departed_workers_are_discarded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Beyond a limit, departed workers without jobs are discarded everywhere; bans stay."""

    async def scenario() -> None:
        async with site() as here:
            coordinator, first = here.program.coordinator, here.workers[0]
            await until(lambda: coordinator.is_endpoint_list_confirmed)
            for number in range(30):
                here.discovery.members[f"old{number}"] = {
                    **here.discovery.members["w0"],
                    "id": f"old{number}",
                    "phase": "SERVING",
                }
                await here.discovery.change(first, "SERVING")
                await until(lambda: here.program.discovery.revision == here.discovery.revision)
                if number == 0:
                    assert await here.operate("match-workers/old0/offline") == 200
                del here.discovery.members[f"old{number}"]
            await here.discovery.change(first, "SERVING")
            await until(lambda: here.program.discovery.revision == here.discovery.revision)
            numbers = coordinator.endpoint_list.worker_numbers
            known = here.program.workers.workers, numbers, coordinator.dispatcher.workers
            assert all(len(table) <= 8 for table in known) and coordinator.is_known_worker("old0")
            assert (await here.post()).body == b"TEXT"

    monkeypatch.setattr(worker_table, "MAX_DEPARTED", 2)
    monkeypatch.setattr(endpoint_list_adapter, "MAX_DEPARTED", 2)
    run_scenario(scenario())


def test_connection_closed_by_worker_is_not_reused() -> None:
    """A job written to it would count as possibly executed."""

    async def scenario() -> None:
        async with site() as here:
            for number in range(3):
                assert (await here.post(f"c{number}", "/import")).start_line.split()[1] == "200"
                for writer in list(here.workers[0].writers):
                    writer.close()
                    await writer.wait_closed()
            assert here.program.counters.counts["attempts_reset"] == 0

    run_scenario(scenario())


def test_non_idempotent_job_uses_new_connection() -> None:
    """An idle connection may be reset by the next request, and whether that ran is unknown."""

    async def scenario() -> None:
        async with site() as here:
            worker = here.workers[0]
            used = set[asyncio.StreamWriter]()

            async def once(message: Message, writer: asyncio.StreamWriter) -> None:
                if writer in used:
                    writer.transport.abort()
                    return
                used.add(writer)
                writer.write(ACCEPTED)
                await worker.send_callback(message.headers["x-correlation-id"], state="done", result="ok")

            worker.script = once
            for number in range(6):
                assert (await here.post(f"c{number}", "/import")).body == b"ok"
            assert (
                len(next(iter(here.program.workers.workers.values())).idle_connections) <= MAX_IDLE_PER_WORKER
            )

    run_scenario(scenario())


def test_worker_has_one_attempt_of_request_at_a_time() -> None:
    """After a reset the first attempt is cancelled before the second is sent to the same worker."""

    async def scenario() -> None:
        async with site() as here:
            worker = here.workers[0]

            async def broken(_message: Message, writer: asyncio.StreamWriter) -> None:
                worker.script = None
                writer.transport.abort()

            worker.script = broken
            assert (await here.post()).body == b"TEXT"
            assert worker.methods() == ["POST", "DELETE", "POST"]

    run_scenario(scenario())
