"""Interrupted outages of discovery: no attempt is sent while the list may lack a change."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from example.toy import Message, Server
from tests.helpers import MS, SECOND
from tests.newer_process import newer_process
from tests.site import Site, site, until
from tests.test_list_lease import DISPATCHER_COUNTS, DiscoverySimulation, schedule_faults
from weldquay.discovery.backoff import Backoff
from weldquay.discovery.list_lease import MAX_STALENESS_NS, MAX_UNOBSERVED_NS
from weldquay.interface import DiscoveryFailure
from weldquay.lab.site import reserve_address
from weldquay.net.config import Address
from weldquay.net.discovery_client import CONNECT_TIMEOUT_S, SAMPLED_FAILURES
from weldquay.net.reachability_sampler import SAMPLE_INTERVAL_S, SAMPLE_TIMEOUT_S

UNREACHABLE = ("down", "partition")
STALENESS_S = MAX_STALENESS_NS / 1e9


@dataclass
class SampledSimulation(DiscoverySimulation):
    """The simulation of `test_list_lease`, with connection attempts between the polls."""

    sample_interval_ns: int = int(SAMPLE_INTERVAL_S * SECOND)
    was_reachable: bool = False  # whether discovery was reachable since its last update
    is_sampling: bool = False
    observed_from_ns: int = 0  # end of the last reported interval; 0: no report since the last update
    without_lease_ns: int = 0  # total time in which no attempt could be sent

    def advance(self, until_ns: int) -> None:
        """Advance the time, and sum up the time without a lease."""
        self.without_lease_ns += max(0, until_ns - max(self.now_ns, self.lease.send_deadline_ns))
        super().advance(until_ns)

    def sample_until(self, until_ns: int) -> None:
        """Attempt connections until a time, and report them as `ReachabilitySampler` does."""
        if not self.is_sampling:
            self.advance(until_ns)
            return
        last_ns = 0
        sample_ns = self.now_ns + self.sample_interval_ns
        while not self.was_reachable and sample_ns < until_ns:
            if self.fault_at(sample_ns) in UNREACHABLE:
                self.observed_from_ns = self.observed_from_ns or sample_ns
                last_ns = sample_ns
                sample_ns += self.sample_interval_ns
                continue
            self.was_reachable = True
            self.advance(sample_ns)
            self.report(last_ns)
            self.lease.record_observation(sample_ns, sample_ns, is_reachable=True)
            last_ns = 0
        self.advance(until_ns)
        self.report(last_ns)

    def report(self, last_ns: int) -> None:
        """Report failed attempts up to the last one that is decided; a timeout takes SAMPLE_TIMEOUT_S."""
        if last_ns:
            timeout_ns = int(SAMPLE_TIMEOUT_S * SECOND) if self.fault_at(last_ns) == "partition" else 0
            until_ns = max(self.observed_from_ns, last_ns - timeout_ns)
            self.lease.record_observation(self.observed_from_ns, until_ns, is_reachable=False)
            self.observed_from_ns = until_ns

    def poll(self) -> tuple[DiscoveryFailure | None, int]:
        """Poll discovery; during a connection timeout the sampling goes on."""
        if self.fault_at(self.now_ns) != "partition":
            return super().poll()
        duration_ns = int(CONNECT_TIMEOUT_S * SECOND)
        self.sample_until(self.now_ns + duration_ns)
        return DiscoveryFailure.CONNECT_TIMEOUT, duration_ns

    def simulate(self, dispatcher_count: int, seed: int, until_ns: int) -> int:
        """Follow the list until a time; return the maximum lateness of an attempt."""
        backoff = Backoff(random.Random(seed), dispatcher_count)
        self.lease.confirm(self.now_ns)
        while self.now_ns < until_ns:
            failure: DiscoveryFailure | None
            failure, since_update_ns = self.watch(until_ns)
            self.was_reachable = self.is_sampling = False
            self.observed_from_ns = 0
            while failure is not None:
                self.lease.record_failure(self.now_ns, since_update_ns, failure)
                delay_ns = backoff.retry_delay_ns(self.now_ns, 10 * SECOND, since_update_ns, failure)
                self.is_sampling = self.is_sampling or failure in SAMPLED_FAILURES
                self.sample_until(self.now_ns + max(MS, delay_ns))
                failure, since_update_ns = self.poll()
            self.lease.confirm(self.now_ns)
            backoff.reset()
        return self.max_lateness_ns


@dataclass
class ProxiedSimulation(SampledSimulation):
    """Discovery behind a proxy that accepts connections and responds with 503 while discovery is down."""

    error: DiscoveryFailure = DiscoveryFailure.UNAVAILABLE
    error_after_s: float = 0.001

    def poll(self) -> tuple[DiscoveryFailure | None, int]:
        """Poll the proxy."""
        if self.fault_at(self.now_ns) != "down":
            return super().poll()
        duration_ns = int(self.error_after_s * SECOND)
        self.advance(self.now_ns + duration_ns)
        return self.error, duration_ns

    def sample_until(self, until_ns: int) -> None:
        """Attempt one connection, which the proxy accepts, so that sampling stops."""
        if not self.was_reachable:
            self.was_reachable = True
            self.lease.record_observation(self.now_ns, self.now_ns, is_reachable=True)
        self.advance(until_ns)


def max_lateness_ns(faults: list[tuple[str, int, int]], dispatcher_count: int, seed: int) -> int:
    """Return the maximum lateness of an attempt based on a stale list; negative: no attempt is late."""
    return SampledSimulation(faults).simulate(dispatcher_count, seed, faults[-1][2] + 10 * SECOND)


@pytest.mark.parametrize("dispatcher_count", [1, 230])
@pytest.mark.parametrize("down_s", [2.0, 7.4, 15.0, 30.0, 60.0, 120.0])
def test_no_attempt_is_sent_late_however_long_an_interrupted_outage_lasts(
    down_s: float, dispatcher_count: int
) -> None:
    """Down for 3 s, up for 0.1 s, down again: a change in the gap was applied late by the second outage."""
    faults = schedule_faults([("down", 40, 30), ("down", 1, int(down_s * 10))], 0)
    assert max(max_lateness_ns(faults, dispatcher_count, seed) for seed in range(20)) <= 0


OUTAGES = st.lists(
    st.tuples(
        st.sampled_from(["down", "partition", "unresponsive", "busy"]),
        st.integers(0, 120),
        st.integers(1, 900),
    ),
    min_size=1,
    max_size=6,
)


@settings(deadline=None, max_examples=100, derandomize=True)
@given(OUTAGES, DISPATCHER_COUNTS, st.integers(0, 2**32))
def test_no_attempt_is_sent_late_after_consecutive_faults(
    drawn_faults: list[tuple[str, int, int]], dispatcher_count: int, seed: int
) -> None:
    """A gap between faults may be too short for a poll: a change in it was applied late by the next fault."""
    assert max_lateness_ns(schedule_faults(drawn_faults, 0), dispatcher_count, seed) <= 0


@pytest.mark.parametrize("dispatcher_count", [1, 3, 30, 230, 410])
@pytest.mark.parametrize("kind", UNREACHABLE)
def test_requests_are_served_throughout_an_uninterrupted_outage(kind: str, dispatcher_count: int) -> None:
    """Down for 60 s: the lease never expires before discovery is back."""
    faults = schedule_faults([(kind, 40, 600)], 0)
    for seed in range(20):
        simulation = SampledSimulation(faults)
        simulation.simulate(dispatcher_count, seed, faults[0][2] + 10 * SECOND)
        assert simulation.without_lease_ns == 0


@pytest.mark.parametrize("dispatcher_count", [3, 30, 230, 410])
def test_no_attempt_is_sent_late_after_an_outage_with_a_busy_recovery(dispatcher_count: int) -> None:
    """Down for 8 s, then up but busy for 4 s: a drain was applied up to 7.8 s late."""
    faults = schedule_faults([("down", 40, 80), ("busy", 0, 40)], 0)
    assert max(max_lateness_ns(faults, dispatcher_count, seed) for seed in range(40)) <= 0


@pytest.mark.parametrize("error", [DiscoveryFailure.UNAVAILABLE, DiscoveryFailure.BUSY])
def test_no_attempt_is_sent_late_after_an_outage_that_accepts_connections(error: DiscoveryFailure) -> None:
    """A proxy accepts connections and sends 503 at once or after 2 s: connecting shows no outage."""
    faults = schedule_faults([("down", 40, 30), ("down", 1, 300)], 0)
    error_after_s = 2.0 if error is DiscoveryFailure.BUSY else 0.001
    simulations = [ProxiedSimulation(faults, error=error, error_after_s=error_after_s) for _ in range(20)]
    end_ns = faults[-1][2] + 10 * SECOND
    assert max(simulation.simulate(3, seed, end_ns) for seed, simulation in enumerate(simulations)) <= 0


def test_no_attempt_is_sent_late_after_a_partition_that_follows_a_silent_watch() -> None:
    """The watch sends nothing for 1 s before the partition, and a change in that second is missed."""
    faults = schedule_faults([("silent_watches", 40, 10), ("partition", 0, 300)], 0)
    assert max(max_lateness_ns(faults, 3, seed) for seed in range(20)) <= 0


# --- on real sockets ---


class UnresponsiveDiscovery(Server):
    """A discovery that accepts polls and does not respond."""

    async def answer(self, _message: Message, _writer: asyncio.StreamWriter) -> None:
        """Send nothing."""


@asynccontextmanager
async def site_during_outage() -> AsyncIterator[tuple[Site, str]]:
    """Yield a site whose discovery refuses connections, and the address of discovery."""
    async with site() as test_site:
        await until(lambda: test_site.process.coordinator.is_endpoint_list_confirmed)
        address = test_site.discovery.address
        test_site.discovery.stop()
        reserved_socket, _ = reserve_address(address)
        with reserved_socket:
            await until(lambda: test_site.process.counters.counts["discovery_polls_refused"])
            yield test_site, address


async def accept_briefly(address: str, seconds: float) -> None:
    """Accept connections at discovery's address for some seconds, without a response."""
    server = UnresponsiveDiscovery()
    sock, _ = reserve_address(address)
    await server.start_on(sock)
    await asyncio.sleep(seconds)
    server.stop()


async def statuses_of_requests(test_site: Site, duration_s: float) -> set[int]:
    """Send requests in sequence for some seconds; return the statuses of their responses."""
    statuses = set()
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        statuses.add((await test_site.post(timeout_ms=1000)).status)
    return statuses


@pytest.mark.parametrize(("accepting_s", "is_served"), [(0.0, True), (MAX_UNOBSERVED_NS / 1e9 + 0.1, False)])
def test_requests_are_served_only_while_an_outage_is_uninterrupted(
    accepting_s: float, is_served: bool
) -> None:
    """Discovery refuses connections for 8 s; it may accept them briefly before that."""

    async def scenario() -> None:
        async with site_during_outage() as (test_site, address):
            await until(lambda: test_site.process.counters.counts["discovery_polls_refused"] >= 2)
            if accepting_s:
                await accept_briefly(address, accepting_s)
            await asyncio.sleep(STALENESS_S + 0.2)
            assert await statuses_of_requests(test_site, 2.0) == ({200} if is_served else {503})
            assert all(not worker.methods() for worker in test_site.workers) != is_served

    asyncio.run(scenario())


@pytest.mark.parametrize("accepting_s", [0.0, MAX_UNOBSERVED_NS / 1e9 + 0.1])
def test_newer_process_inherits_the_observations_of_the_older_one(accepting_s: float) -> None:
    """A hot restart during an outage, with and without a brief recovery of discovery before it."""

    async def scenario() -> None:
        async with site_during_outage() as (test_site, address):
            if accepting_s:
                await accept_briefly(address, accepting_s)
                await until(lambda: test_site.process.counters.counts["discovery_reachable_between_polls"])
            async with newer_process(test_site) as newer:
                await asyncio.sleep(STALENESS_S + 0.2)
                assert await statuses_of_requests(test_site, 0.5) == ({503} if accepting_s else {200})
                assert newer.counters.counts["requests"]

    asyncio.run(scenario())


def test_reload_to_an_address_that_refuses_connections_does_not_end_the_service() -> None:
    """A reload during an outage changes discovery's address; the new one refuses connections too."""

    async def scenario() -> None:
        async with site_during_outage() as (test_site, _):
            reserved_socket, new_address = reserve_address()
            host, port = new_address.split(":")
            test_site.process.discovery.reconfigure(
                replace(test_site.process.config, discovery=Address(host, int(port)))
            )
            await asyncio.sleep(STALENESS_S + 0.2)
            assert await statuses_of_requests(test_site, 0.5) == {200}
        reserved_socket.close()

    asyncio.run(scenario())
