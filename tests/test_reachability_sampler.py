"""Connection attempts to discovery between two polls: what each result shows."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections.abc import Callable

import pytest

from tests.site import until
from weldquay import interface as api
from weldquay.discovery.list_lease import MAX_UNOBSERVED_NS
from weldquay.lab.site import reserve_address
from weldquay.net.config import Address
from weldquay.net.counters import Counters
from weldquay.net.reachability_sampler import SAMPLE_TIMEOUT_S, ReachabilitySampler
from weldquay.net.tasks import Tasks


def sample(bound: socket.socket, scenario: Callable[[ReachabilitySampler], object]) -> list[api.Event]:
    """Sample the address of a socket while a scenario runs; return the observations."""
    observations: list[api.Event] = []

    async def run() -> None:
        tasks = Tasks()
        sampler = ReachabilitySampler(tasks, Counters(), observations.append)
        sampler.start(Address(*bound.getsockname()))
        await scenario(sampler)  # type: ignore[misc]
        sampler.report()
        await tasks.stop()

    with bound:
        asyncio.run(run())
    return observations


def test_refused_attempts_are_one_observation() -> None:
    """It spans the first to the last attempt; the next report starts where it ends."""
    bound, _ = reserve_address()

    async def scenario(sampler: ReachabilitySampler) -> None:
        await asyncio.sleep(0.4)
        sampler.report()
        await asyncio.sleep(0.4)

    started_ns = time.monotonic_ns()
    first, second = sample(bound, scenario)
    assert isinstance(first, api.DiscoveryObservation) and isinstance(second, api.DiscoveryObservation)
    assert not first.is_reachable and started_ns < first.from_ns < first.until_ns == second.from_ns
    assert second.until_ns > second.from_ns


def test_established_connection_ends_the_sampling() -> None:
    """Discovery was reachable, so no more attempts are made until the next update."""
    bound, _ = reserve_address()
    bound.listen(5)

    async def scenario(sampler: ReachabilitySampler) -> None:
        await asyncio.sleep(0.3)
        sampler.start(Address(*bound.getsockname()))
        await asyncio.sleep(0.3)

    (observation,) = sample(bound, scenario)
    assert isinstance(observation, api.DiscoveryObservation) and observation.is_reachable


def test_attempts_that_time_out_show_that_discovery_is_unreachable() -> None:
    """A listener with a full accept queue does not answer SYNs."""
    bound, _ = reserve_address()
    bound.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(bound.getsockname())

    async def scenario(_sampler: ReachabilitySampler) -> None:
        await asyncio.sleep(SAMPLE_TIMEOUT_S + 0.5)

    (observation,) = sample(bound, scenario)
    assert isinstance(observation, api.DiscoveryObservation) and not observation.is_reachable
    for filler in fillers:
        filler.close()


def test_unobserved_time_counts_as_reachable(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process has no descriptors for longer than MAX_UNOBSERVED_NS, and can sample again later."""
    bound, _ = reserve_address()
    real_socket = socket.socket
    is_exhausted = False

    def open_socket() -> socket.socket:
        if is_exhausted:
            raise OSError(errno.EMFILE, "no descriptors")
        return real_socket()

    async def scenario(_sampler: ReachabilitySampler) -> None:
        nonlocal is_exhausted
        monkeypatch.setattr(socket, "socket", open_socket)
        await asyncio.sleep(0.2)
        is_exhausted = True
        await asyncio.sleep(MAX_UNOBSERVED_NS / 1e9 + 0.2)
        is_exhausted = False
        await asyncio.sleep(0.2)
        monkeypatch.setattr(socket, "socket", real_socket)

    observations = sample(bound, scenario)
    assert [getattr(each, "is_reachable", None) for each in observations] == [False, True]


def test_reset_allows_sampling_again() -> None:
    """After a reset the next failure starts sampling again, even if discovery was reachable before."""
    bound, _ = reserve_address()
    bound.listen(5)
    seen: list[int] = []

    async def scenario(sampler: ReachabilitySampler) -> None:
        await asyncio.sleep(0.3)
        sampler.reset()
        sampler.start(Address(*bound.getsockname()))
        await asyncio.sleep(0.3)
        seen.append(1)
        await until(lambda: seen)

    assert len(sample(bound, scenario)) == 2
