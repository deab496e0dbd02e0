"""Requests that have ended leave no timer and no deadline behind, however long their clients would wait."""

from __future__ import annotations

import asyncio
import socket

from tests.helpers import MS, SECOND, DispatcherDriver, sends
from tests.site import job, run_scenario, site, until
from weldquay import interface as api
from weldquay.policy.open_requests import MIN_COMPACTED_DEADLINES

DAY_MS = 24 * 3600 * 1000
REQUESTS = 300
MAX_SCHEDULED = 150  # timers of the process itself, and cancelled ones that asyncio has not removed yet


def test_deadlines_of_finished_requests_are_dropped() -> None:
    """Those of open requests stay."""
    driver = DispatcherDriver()
    last = 5 * MIN_COMPACTED_DEADLINES
    for request_id in range(last):
        actions = driver.step(api.RequestReceived(request_id, 0, DAY_MS * MS))
        for send in sends(actions):
            driver.end(send, api.Outcome.OK, request_finished=True)
        driver.step(api.ClientDisconnected(request_id), after=MS)
    driver.step(api.RequestReceived(last, 0, DAY_MS * MS // 2))
    deadlines = driver.dispatcher.components.open_requests.deadlines
    assert len(deadlines) <= MIN_COMPACTED_DEADLINES + 3
    assert min(deadlines) == (driver.dispatcher.next_deadline_ns(), last)


def test_finished_requests_leave_no_timers() -> None:
    """One client could fill the memory with requests that have a day left, one after the other."""

    async def scenario() -> None:
        async with site(workers=0) as test_site:
            counts = test_site.process.counters.counts
            for first in range(0, REQUESTS, 30):
                clients = []
                for number in range(first, first + 30):
                    clients.append(socket.create_connection(("127.0.0.1", test_site.process.server.port)))
                    clients[-1].sendall(job(f"c{number}", timeout_ms=DAY_MS))
                await until(lambda: counts["requests"] == first + 30)  # noqa: B023
                for client in clients:
                    client.close()
                await until(lambda: counts["clients_disconnected"] == first + 30)  # noqa: B023
            loop = asyncio.get_running_loop()
            assert len(loop._scheduled) < MAX_SCHEDULED  # type: ignore[attr-defined]

    run_scenario(scenario())


def test_each_deadline_is_met_with_one_timer() -> None:
    """Requests that no worker takes are answered by their deadlines, in any order of these."""

    async def scenario() -> None:
        async with site(workers=0) as test_site:
            times_ms = [400, 100, 250, 1000, 700]

            async def post(number: int, time_ms: int) -> float:
                started_at = asyncio.get_running_loop().time()
                response = await test_site.post(f"c{number}", timeout_ms=time_ms)
                assert response.status == 503
                return asyncio.get_running_loop().time() - started_at

            took_s = await asyncio.gather(*(post(number, ms) for number, ms in enumerate(times_ms)))
            for ms, seconds in zip(times_ms, took_s, strict=True):
                assert seconds * SECOND < (ms + 500) * MS

    run_scenario(scenario())
