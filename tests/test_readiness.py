"""The time until a started process is ready, while discovery fails in different ways."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import pytest

from example.toy import Message, Server
from tests.failing_discovery import FailingDiscovery, FailureMode, busy, chunk, no_response, reset
from tests.site import WATCH_HEAD, list_of_one_worker, site, until
from weldquay.discovery.backoff import Backoff
from weldquay.net import readiness

MAX_READY_S = 10.0  # nine in ten restarted processes must be ready within this time


class SlowDiscovery(Server):
    """A discovery that responds after a second."""

    async def answer(self, _message: Message, writer: asyncio.StreamWriter) -> None:
        """Send a complete list after a second."""
        await asyncio.sleep(1.0)
        writer.write(WATCH_HEAD + chunk(list_of_one_worker(9, "SERVING", "127.0.0.1:1") + b"\n"))


async def wait_for_ok(check: Callable[[], Awaitable[int]]) -> None:
    """Repeat a check until it returns status 200."""
    while True:
        if await check() == 200:
            return
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("failure_mode", [no_response, busy, reset, None])
def test_a_process_is_ready_soon(mode: str, failure_mode: FailureMode | None) -> None:
    """/_health and `ready` succeed in time while discovery is unresponsive, busy, resetting or slow."""

    async def scenario() -> None:
        started_at = time.monotonic()
        discovery = SlowDiscovery() if failure_mode is None else FailingDiscovery(failure_mode, 99)
        async with site(discovery=discovery, discovery_mode=mode, group_size=200, me=7) as test_site:
            await wait_for_ok(test_site.health)
            assert time.monotonic() - started_at < MAX_READY_S - 2  # more than ENDPOINT_LIST_TIMEOUT_S
            await wait_for_ok(lambda: test_site.operate("ready", "GET"))
            assert time.monotonic() - started_at < MAX_READY_S

    asyncio.run(scenario())


def test_the_endpoint_list_timeout_is_well_below_the_readiness_limit() -> None:
    """The first poll in a large fleet is delayed by at most 3.6 s, which is also below the limit."""
    assert readiness.ENDPOINT_LIST_TIMEOUT_S < MAX_READY_S / 2
    for seed in range(200):
        assert Backoff(random.Random(seed), 200).initial_delay_ns(0) <= 3.6e9


def test_a_restarted_process_soon_replaces_its_cached_list() -> None:
    """In a small fleet a dispatcher polls discovery at once."""

    async def scenario() -> None:
        failing = FailingDiscovery(no_response, 0)
        async with site(discovery=failing, group_size=3) as test_site:
            failing.worker_address = test_site.workers[0].address
            started_at = time.monotonic()
            await until(lambda: test_site.process.discovery.revision == 9)
            assert time.monotonic() - started_at < 2 and (await test_site.post(timeout_ms=300)).status == 503

    asyncio.run(scenario())
