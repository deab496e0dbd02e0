"""Draining workers and late retries: the rules are checked when an attempt is sent, not only when decided."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from example.toy import Message
from tests.helpers import MS, SECOND, DispatcherDriver, error_responses, job_class, sends, settings
from tests.site import ScriptedWorker, Site, site, until
from weldquay import interface as api

IDEMPOTENT_BY_KEY_SERVICES: list[dict[str, Any]] = [
    {
        "name": "lookup",
        "aim_ns": 1_000_000_000,
        "give_up_ns": 5_000_000_000,
        "effect": "dedup",
        "group": "all",
        "window_ns": 400_000_000,
    }
]


class DelayedDelete:
    """A worker's script: reset the first attempt, and delay responses to DELETE until the gate is set."""

    def __init__(self, worker: Any) -> None:
        self.gate, self.posts, self.deletes, self.answer = asyncio.Event(), 0, 0, worker.answer
        self.request: asyncio.Task[Message]
        worker.answer = self.handle

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Count the message, then reset the connection, delay the response or pass the message on."""
        if message.method == "POST":
            self.posts += 1
            if self.posts == 1:
                writer.transport.abort()
                return
        if message.method == "DELETE":
            self.deletes += 1
            await self.gate.wait()
        await self.answer(message, writer)


async def start_retry_that_waits_for_delete(test_site: Any) -> DelayedDelete:
    """Start a request, and wait until its retry waits for the DELETE of its first attempt."""
    script = DelayedDelete(test_site.workers[0])
    script.request = asyncio.create_task(test_site.post(timeout_ms=3000))
    requests = test_site.process.coordinator.requests.by_number
    await until(
        lambda: script.deletes and any(request.attempts_started == 2 for request in requests.values())
    )
    return script


@pytest.mark.parametrize("phase", ["DRAINING", "DELETED"])
def test_retry_waiting_for_delete_is_not_sent_to_worker_that_departs(phase: str) -> None:
    """The worker's new state arrives while the retry waits for the DELETE."""

    async def scenario() -> None:
        async with site(caps={"probes": False}) as test_site:
            script = await start_retry_that_waits_for_delete(test_site)
            await test_site.discovery.change(test_site.workers[0], phase)
            await until(lambda: test_site.process.discovery.revision == test_site.discovery.revision)
            script.gate.set()
            assert (await script.request).status == 503
            assert script.posts == 1

    asyncio.run(scenario())


def test_retry_waiting_for_delete_is_not_sent_after_its_window() -> None:
    """The worker deduplicates requests for 0.4 s, but the DELETE takes longer."""

    async def scenario() -> None:
        async with site(
            caps={"probes": False}, services=IDEMPOTENT_BY_KEY_SERVICES, family_info={"class_stretch": [2.0]}
        ) as test_site:
            script = await start_retry_that_waits_for_delete(test_site)
            started_at = time.monotonic()
            await until(lambda: time.monotonic() - started_at > 0.5)
            script.gate.set()
            assert (await script.request).status == 502
            assert script.posts == 1

    asyncio.run(scenario())


OnDelete = Callable[[ScriptedWorker, asyncio.StreamWriter], Awaitable[bool]]


def reset_first_attempt(test_site: Site, on_delete: OnDelete) -> list[ScriptedWorker]:
    """Reset the first POST, direct the retry to another worker, and return the list of POST receivers.

    on_delete: handles a DELETE, and returns whether the worker responds to it.
    """
    posts = list[ScriptedWorker]()

    def intercept(worker: ScriptedWorker) -> None:
        answer = worker.answer

        async def handle(message: Message, writer: asyncio.StreamWriter) -> None:
            if message.method == "POST":
                posts.append(worker)
                if len(posts) == 1:
                    # The ban directs the retry to the other worker.
                    test_site.process.coordinator.set_worker_ban(worker.name, True)
                    writer.transport.abort()
                    return
            if message.method != "DELETE" or await on_delete(worker, writer):
                await answer(message, writer)

        worker.answer = handle  # type: ignore[method-assign]

    for worker in test_site.workers:
        intercept(worker)
    return posts


@pytest.mark.parametrize("may_hedge", [False, True])
def test_retry_at_another_worker_waits_for_delete_without_hedging(may_hedge: bool) -> None:
    """A reset may have discarded the first worker's 202, so its job may run until the DELETE arrives."""

    async def scenario() -> None:
        async with site(workers=2, caps={"probes": False, "may_duplicate": may_hedge}) as test_site:
            gate = asyncio.Event()

            async def wait_for_gate(_worker: ScriptedWorker, _writer: asyncio.StreamWriter) -> bool:
                return await gate.wait()

            posts = reset_first_attempt(test_site, wait_for_gate)
            response_task = asyncio.create_task(test_site.post())
            await until(
                lambda: (
                    response_task.done()
                    or any(
                        request.attempts_started == 2
                        for request in test_site.process.coordinator.requests.by_number.values()
                    )
                )
            )
            if may_hedge:
                assert (await response_task).body == b"TEXT"  # the retry is sent while the DELETE is pending
            else:
                await asyncio.sleep(0.2)
                assert len(posts) == 1
            gate.set()
            assert (await response_task).body == b"TEXT" and len(posts) == 2

    asyncio.run(scenario())


def test_retry_without_capacity_in_its_window_is_not_sent_later() -> None:
    """A retry by key fails if it gets no capacity before the end of its deduplication window."""
    job_settings = job_class(
        idempotency=api.Idempotency.IDEMPOTENT_BY_KEY,
        idempotency_window_ns=SECOND,
        latency_objective_ns=8 * SECOND,
    )
    driver = DispatcherDriver(settings(classes=(job_settings,), may_probe=False), workers=2)
    (first,) = sends(driver.step(api.RequestReceived(1, 0, 9 * SECOND)))
    for worker in driver.worker_numbers:  # no worker has capacity when the attempt is reset
        driver.step(api.WorkerBanChanged(worker))
    assert not sends(driver.end(first, api.Outcome.RESET))
    actions = driver.run(2 * SECOND)
    assert not sends(actions) and error_responses(actions) == [api.Fail(1)]
    assert not sends(driver.step(api.WorkerBanChanged(first.worker, False), after=SECOND))


def test_retry_has_latest_send_time() -> None:
    """The limit is 9/10 of the window after the first possible execution; a first attempt has none."""
    job_settings = job_class(idempotency=api.Idempotency.IDEMPOTENT_BY_KEY, idempotency_window_ns=SECOND)
    driver = DispatcherDriver(settings(classes=(job_settings,), may_probe=False), workers=2)
    (first,) = sends(driver.step(api.RequestReceived(1, 0, 9 * SECOND)))
    first_sent_ns = driver.now_ns
    (retry,) = sends(
        driver.step(api.AttemptEnded(1, 0, first.worker, api.Outcome.RESET, MS, False), after=300 * MS)
    )
    assert first.send_before_ns == 0 and retry.send_before_ns == first_sent_ns + 900 * MS


@pytest.mark.parametrize("refuses", [False, True])
def test_retry_waits_until_delete_succeeds(refuses: bool) -> None:
    """There is no retry until a DELETE succeeds or the worker refuses connections."""

    async def scenario() -> None:
        async with site(workers=2, caps={"probes": False, "may_duplicate": False}) as test_site:
            deletes = list[ScriptedWorker]()

            async def fail_first_deletes(worker: ScriptedWorker, writer: asyncio.StreamWriter) -> bool:
                deletes.append(worker)
                if len(deletes) > 3:
                    return True
                writer.transport.abort()
                if refuses and len(deletes) == 3:
                    worker.stop()
                return False

            posts = reset_first_attempt(test_site, fail_first_deletes)
            response_task = asyncio.create_task(test_site.post())
            await until(lambda: len(deletes) == 3)
            assert len(posts) == 1 and not response_task.done()
            assert (await response_task).body == b"TEXT" and len(posts) == 2
            assert len(deletes) == (3 if refuses else 4)

    asyncio.run(scenario())
