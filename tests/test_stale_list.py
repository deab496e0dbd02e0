"""The lease on the endpoint list: requests wait while the list may be out of date."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from example.toy import Message, Server
from tests.failing_discovery import (
    FailingDiscovery,
    FailureMode,
    busy,
    chunk,
    no_response,
    reduce_timeouts,
    reset,
    revision_then_reset,
)
from tests.newer_process import newer_process
from tests.site import WATCH_HEAD, Site, list_of_one_worker, site, until
from weldquay.lab.site import reserve_address
from weldquay.net import readiness


class DelayedDiscovery(Server):
    """A discovery that responds once it is allowed to, with a list of one worker."""

    def __init__(self, phase: str) -> None:
        super().__init__()
        self.phase, self.worker_address, self.asked = phase, "127.0.0.1:1", 0
        self.may_answer = asyncio.Event()

    async def answer(self, _message: Message, writer: asyncio.StreamWriter) -> None:
        """Send the list, once it is allowed."""
        self.asked += 1
        await self.may_answer.wait()
        writer.write(WATCH_HEAD + chunk(list_of_one_worker(9, self.phase, self.worker_address) + b"\n"))


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize(("phase", "status"), [("DRAINING", 503), ("SERVING", 200)])
def test_new_process_sends_nothing_by_its_cached_list(
    mode: str, phase: str, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cached list may be of any age.  The first request triggers a poll of discovery, and waits for it."""
    monkeypatch.setattr("weldquay.net.readiness.ENDPOINT_LIST_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        discovery = DelayedDiscovery(phase)
        async with site(discovery=discovery, discovery_mode=mode, group_size=410, me=7) as here:
            discovery.worker_address = here.workers[0].address
            waiting = asyncio.create_task(here.post(left_ms=3000))
            await until(lambda: discovery.asked)
            await asyncio.sleep(0.2)
            assert not waiting.done() and here.workers[0].methods() == []
            discovery.may_answer.set()
            assert (await waiting).status == status
            assert here.workers[0].methods() == (["POST"] if status == 200 else [])

    asyncio.run(scenario())


def test_health_is_ready_once_list_is_confirmed() -> None:
    """The health endpoint returns 503 until the list is confirmed."""

    async def scenario() -> None:
        discovery = DelayedDiscovery("SERVING")
        async with site(discovery=discovery) as here:
            assert await here.health() == 503
            discovery.may_answer.set()
            await until(lambda: here.program.coordinator.is_endpoint_list_confirmed)
            assert await here.health() == 200

    asyncio.run(scenario())


async def wait_for_lease_and_its_end(here: Site, _failing: FailingDiscovery) -> None:
    """Wait until the list is confirmed, then until its lease has ended."""
    endpoint_list = here.program.coordinator.endpoint_list
    await until(lambda: endpoint_list.expires_ns > time.monotonic_ns())
    assert (await here.post("before")).body == b"TEXT"
    await until(lambda: endpoint_list.expires_ns <= time.monotonic_ns())


class ListThenFailures(FailingDiscovery):
    """A discovery that first sends a serving worker, then fails, and at last sends its drain."""

    def __init__(self, failure_mode: FailureMode, closes: bool) -> None:
        super().__init__(failure_mode, 10**6)
        self.first, self.closes = True, closes

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Send the list, with a reset if the watch is to close; later polls follow the script."""
        await until(lambda: not self.worker_address.endswith(":1"))  # known a moment later
        if not self.first:
            await super().answer(message, writer)
        elif self.closes:
            await revision_then_reset(writer, self.worker_address)
        else:
            writer.write(WATCH_HEAD + chunk(list_of_one_worker(7, "SERVING", self.worker_address) + b"\n"))
        self.first = False


def test_requests_wait_once_lease_has_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a silent watch and polls without response, no attempt starts once the lease has ended."""
    reduce_timeouts(monkeypatch)

    async def scenario() -> None:
        failing = ListThenFailures(no_response, closes=False)
        async with site(discovery=failing, group_size=3) as here:
            failing.worker_address = here.workers[0].address
            await wait_for_lease_and_its_end(here, failing)
            assert (await here.post("after", left_ms=200)).status == 503
            assert here.workers[0].methods() == ["POST"]
            assert here.program.counters.counts["endpoint_list_leases_expired"] == 1
            failing.failures_left = 0
            await until(lambda: here.program.discovery.revision == 9)
            assert (await here.post("drained", left_ms=200)).status == 503
            assert here.workers[0].methods() == ["POST"]

    asyncio.run(scenario())


def test_no_attempt_starts_on_connection_established_after_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The lease is checked right before the first byte."""

    async def scenario() -> None:
        async with site() as here:
            await until(lambda: here.program.coordinator.is_endpoint_list_confirmed)
            connections = here.program.workers.connections
            lease, connect = here.program.coordinator.dispatcher.lease, connections.connect

            async def slow(worker: object) -> object:
                connection = await connect(worker)  # type: ignore[arg-type]
                if here.program.coordinator.attempts:
                    lease.expiry_ns = 1  # it has run out meanwhile
                return connection

            monkeypatch.setattr(connections, "take_idle", lambda _worker: None)
            monkeypatch.setattr(connections, "connect", slow)
            assert (await here.post(left_ms=300)).status == 503
            assert here.workers[0].methods() == []
            assert here.program.counters.counts["attempts_not_started"] == 1

    asyncio.run(scenario())


def test_reload_with_new_discovery_address_limits_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """If the new address accepts polls without responding, the old list is valid for the lease's time."""
    reduce_timeouts(monkeypatch)

    async def scenario() -> None:
        silent = FailingDiscovery(no_response, 10**6)
        await silent.start()
        async with site(group_size=3) as here:
            await until(lambda: here.program.coordinator.is_endpoint_list_confirmed)
            config = here.program.config
            host, port = silent.address.split(":")
            here.program.discovery.reconfigure(
                replace(config, discovery=type(config.discovery)(host, int(port)))
            )
            endpoint_list = here.program.coordinator.endpoint_list
            await until(lambda: endpoint_list.expires_ns <= time.monotonic_ns())
            assert (await here.post(left_ms=200)).status == 503 and here.workers[0].methods() == []
            silent.worker_address = here.workers[0].address
            silent.failures_left = 0
            await until(lambda: here.program.discovery.revision == 9)
        silent.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("failure_mode", [reset, busy])
def test_list_stays_valid_while_discovery_is_down(
    failure_mode: FailureMode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Polls that are reset or get 503 after a closed watch mean that no change can have been missed."""
    reduce_timeouts(monkeypatch)

    async def scenario() -> None:
        down = ListThenFailures(failure_mode, closes=True)
        async with site(discovery=down, group_size=3) as here:
            down.worker_address = here.workers[0].address
            await until(lambda: here.program.coordinator.is_endpoint_list_confirmed)
            begun = time.monotonic()
            await until(
                lambda: len(down.poll_times) > 8 and time.monotonic() - begun > 1.5
            )  # more than two clocks
            assert (await here.post()).body == b"TEXT"
            assert here.program.counters.counts["endpoint_list_leases_expired"] == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("has_expired", [False, True])
def test_newer_process_inherits_lease(has_expired: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """If discovery is down at a hot restart, the list is valid for as long as in the older process."""
    monkeypatch.setattr(readiness, "ENDPOINT_LIST_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with site() as here:
            await until(lambda: here.program.coordinator.is_endpoint_list_confirmed)
            lease = here.program.coordinator.dispatcher.lease
            address = here.discovery.address
            here.discovery.stop()
            down, _ = reserve_address(address)
            await until(lambda: here.program.counters.counts["discovery_failures"])
            if has_expired:  # it was reached meanwhile, and brought no news
                lease.poll_missed, lease.expiry_ns = True, time.monotonic_ns()
            else:
                lease.expiry_ns += 10**10  # for the test's time, whatever the machine does
            until_ns = lease.until_ns
            async with newer_process(here) as second:
                lease = second.coordinator.dispatcher.lease
                assert lease.until_ns >= until_ns and lease.poll_missed == has_expired
                assert (await here.post(left_ms=300)).status == (503 if has_expired else 200)
                assert here.workers[0].methods() == ([] if has_expired else ["POST"])
                assert second.counters.counts["requests"] == 1
        down.close()

    asyncio.run(scenario())
