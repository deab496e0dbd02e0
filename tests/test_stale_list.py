"""The lease on the endpoint list: requests are held while the list may be stale."""

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
from tests.helpers import SECOND
from tests.newer_process import newer_process
from tests.site import WATCH_HEAD, Site, list_of_one_worker, site, until
from weldquay.lab.site import reserve_address
from weldquay.net import readiness


class DelayedDiscovery(Server):
    """A discovery that responds with a list of one worker, after `may_respond` is set."""

    def __init__(self, phase: str) -> None:
        super().__init__()
        self.phase, self.worker_address, self.polls = phase, "127.0.0.1:1", 0
        self.may_respond = asyncio.Event()

    async def answer(self, _message: Message, writer: asyncio.StreamWriter) -> None:
        """Send the list after `may_respond` is set."""
        self.polls += 1
        await self.may_respond.wait()
        writer.write(WATCH_HEAD + chunk(list_of_one_worker(9, self.phase, self.worker_address) + b"\n"))


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize(("phase", "status"), [("DRAINING", 503), ("SERVING", 200)])
def test_new_process_sends_nothing_based_on_its_cached_list(
    mode: str, phase: str, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cached list may be of any age.  The first request triggers a poll and is held until its response."""
    monkeypatch.setattr("weldquay.net.readiness.ENDPOINT_LIST_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        discovery = DelayedDiscovery(phase)
        async with site(discovery=discovery, discovery_mode=mode, group_size=410, me=7) as test_site:
            discovery.worker_address = test_site.workers[0].address
            response_task = asyncio.create_task(test_site.post(timeout_ms=3000))
            await until(lambda: discovery.polls)
            await asyncio.sleep(0.2)
            assert not response_task.done() and test_site.workers[0].methods() == []
            discovery.may_respond.set()
            assert (await response_task).status == status
            assert test_site.workers[0].methods() == (["POST"] if status == 200 else [])

    asyncio.run(scenario())


def test_health_is_ready_once_list_is_confirmed() -> None:
    """The health check returns 503 until the list is confirmed."""

    async def scenario() -> None:
        discovery = DelayedDiscovery("SERVING")
        async with site(discovery=discovery) as test_site:
            assert await test_site.health() == 503
            discovery.may_respond.set()
            await until(lambda: test_site.process.coordinator.is_endpoint_list_confirmed)
            assert await test_site.health() == 200

    asyncio.run(scenario())


async def wait_for_lease_to_expire(test_site: Site) -> None:
    """Wait until the list is confirmed, send a request, and wait until the lease has expired."""
    endpoint_list = test_site.process.coordinator.endpoint_list
    await until(lambda: endpoint_list.send_deadline_ns > time.monotonic_ns())
    assert (await test_site.post("before")).body == b"TEXT"
    await until(lambda: endpoint_list.send_deadline_ns <= time.monotonic_ns())


class FailingAfterList(FailingDiscovery):
    """A discovery that first lists a serving worker, then fails, and finally lists it as draining."""

    def __init__(self, failure_mode: FailureMode, closes_watch: bool) -> None:
        super().__init__(failure_mode, 10**6)
        self.is_first_poll, self.closes_watch = True, closes_watch

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Send the list, and reset the watch if `closes_watch` is set; then fail as the base class does."""
        # The test sets the worker's address after the start.
        await until(lambda: not self.worker_address.endswith(":1"))
        if not self.is_first_poll:
            await super().answer(message, writer)
        elif self.closes_watch:
            await revision_then_reset(writer, self.worker_address)
        else:
            writer.write(WATCH_HEAD + chunk(list_of_one_worker(7, "SERVING", self.worker_address) + b"\n"))
        self.is_first_poll = False


def test_requests_are_held_once_the_lease_has_expired(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a heartbeat timeout and polls without response, no attempt starts on an expired lease."""
    reduce_timeouts(monkeypatch)

    async def scenario() -> None:
        failing = FailingAfterList(no_response, closes_watch=False)
        async with site(discovery=failing, group_size=3) as test_site:
            failing.worker_address = test_site.workers[0].address
            await wait_for_lease_to_expire(test_site)
            assert (await test_site.post("after", timeout_ms=200)).status == 503
            assert test_site.workers[0].methods() == ["POST"]
            assert test_site.process.counters.counts["endpoint_list_leases_expired"] == 1
            failing.failures_left = 0
            await until(lambda: test_site.process.discovery.revision == 9)
            assert (await test_site.post("drained", timeout_ms=200)).status == 503
            assert test_site.workers[0].methods() == ["POST"]

    asyncio.run(scenario())


def test_no_attempt_starts_on_a_connection_established_after_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The lease is checked immediately before the first byte."""

    async def scenario() -> None:
        async with site() as test_site:
            await until(lambda: test_site.process.coordinator.is_endpoint_list_confirmed)
            connections = test_site.process.workers.connections
            lease, connect = test_site.process.coordinator.dispatcher.lease, connections.connect

            async def connect_slowly(worker: object) -> object:
                connection = await connect(worker)  # type: ignore[arg-type]
                if test_site.process.coordinator.attempts:
                    lease.expiry_ns = 1  # it expires while the connection is established
                return connection

            monkeypatch.setattr(connections, "take_idle", lambda _worker: None)
            monkeypatch.setattr(connections, "connect", connect_slowly)
            assert (await test_site.post(timeout_ms=300)).status == 503
            assert test_site.workers[0].methods() == []
            assert test_site.process.counters.counts["attempts_not_started"] == 1

    asyncio.run(scenario())


def test_reload_with_new_discovery_address_limits_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """If the new address accepts polls and does not respond, the old list is used until its lease expires."""
    reduce_timeouts(monkeypatch)

    async def scenario() -> None:
        unresponsive = FailingDiscovery(no_response, 10**6)
        await unresponsive.start()
        async with site(group_size=3) as test_site:
            await until(lambda: test_site.process.coordinator.is_endpoint_list_confirmed)
            config = test_site.process.config
            host, port = unresponsive.address.split(":")
            test_site.process.discovery.reconfigure(
                replace(config, discovery=type(config.discovery)(host, int(port)))
            )
            endpoint_list = test_site.process.coordinator.endpoint_list
            await until(lambda: endpoint_list.send_deadline_ns <= time.monotonic_ns())
            assert (await test_site.post(timeout_ms=200)).status == 503
            assert test_site.workers[0].methods() == []
            unresponsive.worker_address = test_site.workers[0].address
            unresponsive.failures_left = 0
            await until(lambda: test_site.process.discovery.revision == 9)
        unresponsive.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("failure_mode", [reset, busy])
def test_list_stays_valid_while_discovery_is_down(
    failure_mode: FailureMode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Polls that are reset or get 503 after a closed watch show that no change can have been missed."""
    reduce_timeouts(monkeypatch)

    async def scenario() -> None:
        down = FailingAfterList(failure_mode, closes_watch=True)
        async with site(discovery=down, group_size=3) as test_site:
            down.worker_address = test_site.workers[0].address
            await until(lambda: test_site.process.coordinator.is_endpoint_list_confirmed)
            started_at = time.monotonic()
            # 1.5 s is more than twice the reduced staleness limit.
            await until(lambda: len(down.poll_times) > 8 and time.monotonic() - started_at > 1.5)
            assert (await test_site.post()).body == b"TEXT"
            assert test_site.process.counters.counts["endpoint_list_leases_expired"] == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("has_expired", [False, True])
def test_newer_process_inherits_lease(has_expired: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """If discovery is down at a hot restart, the lease expires when it does in the older process."""
    monkeypatch.setattr(readiness, "ENDPOINT_LIST_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with site() as test_site:
            await until(lambda: test_site.process.coordinator.is_endpoint_list_confirmed)
            lease = test_site.process.coordinator.dispatcher.lease
            address = test_site.discovery.address
            test_site.discovery.stop()
            reserved_socket, _ = reserve_address(address)
            await until(lambda: test_site.process.counters.counts["discovery_failures"])
            if has_expired:  # as if discovery had been reachable without sending an update
                lease.may_have_missed_change, lease.expiry_ns = True, time.monotonic_ns()
            else:
                lease.expiry_ns += 10 * SECOND  # longer than the test takes on a slow machine
            older_deadline_ns = lease.send_deadline_ns
            async with newer_process(test_site) as newer:
                lease = newer.coordinator.dispatcher.lease
                assert (
                    lease.send_deadline_ns >= older_deadline_ns
                    and lease.may_have_missed_change == has_expired
                )
                assert (await test_site.post(timeout_ms=300)).status == (503 if has_expired else 200)
                assert test_site.workers[0].methods() == ([] if has_expired else ["POST"])
                assert newer.counters.counts["requests"] == 1
        reserved_socket.close()

    asyncio.run(scenario())
