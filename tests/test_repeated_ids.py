"""Request ids that come again: a job that a worker may have runs once."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from tests.newer_process import newer_process
from tests.site import Site, job, run_scenario, site, until
from weldquay.net.recent_ids import RecentIds

PATHS = ["/lookup/a", "/import"]  # idempotent and non-idempotent


def send_and_leave(port: int, request_id: str, path: str) -> socket.socket:
    """Send a request on a new connection; closing the returned socket is leaving."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(job(request_id, path))
    return sock


async def leave_while_running(test_site: Site, request_id: str, path: str) -> None:
    """Let a client leave once the worker has accepted its job."""
    worker, process = test_site.workers[0], test_site.process
    worker.script = worker.accept
    client = send_and_leave(process.server.port, request_id, path)
    await until(lambda: worker.methods() == ["POST"])
    client.close()
    await until(lambda: process.counters.counts["clients_disconnected"] == 1)


@pytest.mark.parametrize("path", PATHS)
def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(path: str) -> None:
    """It is refused with 409; another id is served, and so is the id of a request that was never sent."""

    async def scenario() -> None:
        async with site() as test_site:
            await leave_while_running(test_site, "c1", path)
            test_site.workers[0].script = None
            assert (await test_site.post("c1", path)).status == 409
            assert (await test_site.post("c2", path)).body == b"TEXT"
            jobs = [m for m in test_site.workers[0].received if m.headers.get("x-correlation-id") == "c1"]
            assert len(jobs) == 1

    run_scenario(scenario())


def test_an_id_that_was_never_sent_may_come_again() -> None:
    """Its client left while the request waited for a worker."""

    async def scenario() -> None:
        async with site() as test_site:
            await test_site.discovery.change(test_site.workers[0], "DRAINING")
            dispatcher = test_site.process.coordinator.dispatcher
            await until(lambda: not dispatcher.ready_workers)
            client = send_and_leave(test_site.process.server.port, "c1", "/import")
            await until(lambda: len(test_site.process.coordinator.requests) == 1)
            client.close()
            await until(lambda: test_site.process.counters.counts["clients_disconnected"] == 1)
            await test_site.discovery.change(test_site.workers[0], "SERVING")
            assert (await test_site.post("c1", "/import")).body == b"TEXT"

    run_scenario(scenario())


def test_the_id_of_a_finished_job_that_must_not_run_twice_is_refused() -> None:
    """An idempotent job may run again."""

    async def scenario() -> None:
        async with site() as test_site:
            for path, status in (("/import", 409), ("/lookup/a", 200)):
                assert (await test_site.post(f"c{status}", path)).status == 200
                assert (await test_site.post(f"c{status}", path)).status == status

    run_scenario(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_an_id_does_not_run_at_the_other_process_of_an_upgrade_too(path: str) -> None:
    """Ids whose clients left before and during the upgrade are refused, at either process, and after it."""

    async def scenario() -> None:
        async with site() as test_site:
            older, worker = test_site.process, test_site.workers[0]
            half_written = socket.create_connection(("127.0.0.1", older.server.port))
            half_written.sendall(job("during", path)[:-2])
            await until(lambda: any(each.has_received_data for each in older.server.connections))
            await leave_while_running(test_site, "before", path)
            async with newer_process(test_site) as newer:
                await until(lambda: newer.counters.counts["hot_restart_open_requests"])
                assert (await test_site.post("before", path)).status == 409
                half_written.sendall(job("during", path)[-2:])  # its connection stayed at the older process
                await until(lambda: worker.methods().count("POST") == 2)
                await until(lambda: "during" in newer.server.context.peer_request_ids)
                half_written.close()
                await until(lambda: older.counters.counts["clients_disconnected"] == 2)
                assert (await test_site.post("during", path)).status == 409
                await asyncio.create_task(older.shut_down())
                await until(lambda: newer.hot_restart.link is None)
                for request_id in ("before", "during"):
                    assert (await test_site.post(request_id, path)).status == 409
                assert worker.methods().count("POST") == 2

    run_scenario(scenario())


def test_the_older_process_refuses_the_ids_of_the_newer_one() -> None:
    """A partial request stays at the older process, and is whole after the newer one has sent its id."""

    async def scenario() -> None:
        async with site() as test_site:
            older, worker = test_site.process, test_site.workers[0]
            reader, writer = await asyncio.open_connection("127.0.0.1", older.server.port)
            writer.write(job("c1", "/import")[:-2])
            await until(lambda: any(each.has_received_data for each in older.server.connections))
            worker.script = worker.accept
            async with newer_process(test_site) as newer:
                client = send_and_leave(newer.server.port, "c1", "/import")
                await until(lambda: worker.methods() == ["POST"])
                await until(lambda: "c1" in older.server.context.peer_request_ids)
                client.close()
                await until(lambda: newer.counters.counts["clients_disconnected"] == 1)
                writer.write(job("c1", "/import")[-2:])
                assert b"409" in await reader.readline()
                writer.close()

    run_scenario(scenario())


def test_recent_ids_are_bounded_in_number_and_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The oldest id is dropped first; adding an id again renews it."""
    now = 100.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    ids = RecentIds(lifetime_s=10.0, max_ids=3)
    ids.update(["a", "b", "c", "a", "d"])
    assert set(ids) == {"a", "c", "d"} and "b" not in ids
    now = 109.0
    ids.add("e")
    assert set(ids) == {"a", "d", "e"}
    now = 111.0
    assert "a" not in ids and "e" in ids
    ids.add("f")
    assert set(ids) == {"e", "f"}
