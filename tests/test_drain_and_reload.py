"""Graceful shutdown, configuration reload and signals of a dispatcher on real sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from contextlib import suppress
from typing import Any

import pytest

from example.toy import Discovery, Message, Server, encode_message, read_message, request
from tests.site import document, job, run_scenario, site, until
from weldquay.net import dispatcher_process
from weldquay.net.lifecycle import Phase


async def wait_for_connection(server: Server) -> None:
    """Wait until a client is connected."""
    await until(lambda: server.writers)


def test_a_shutdown_serves_new_requests_until_it_closes_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Health checks fail at once, responses close their connections, and callbacks are still handled."""

    async def scenario() -> None:
        async with site() as test_site:
            worker = test_site.workers[0]
            worker.script = worker.accept
            open_request = asyncio.create_task(test_site.post("c1"))
            await worker.until("POST")
            assert (await request(test_site.address, encode_message("GET /_health HTTP/1.1"))).body == b"ok"
            shutdown = asyncio.create_task(test_site.process.shut_down())
            await asyncio.sleep(0)
            health = await request(test_site.address, encode_message("GET /_health HTTP/1.1"))
            assert health.start_line.split()[1] == "503"
            late_request = asyncio.create_task(test_site.post("c2"))
            await worker.until("POST", "POST")
            await until(lambda: test_site.process.phase is Phase.CLOSING)
            for request_id in ("c1", "c2"):
                await worker.send_callback(request_id, state="done", result=request_id)
            for request_id, response in (("c1", await open_request), ("c2", await late_request)):
                assert (response.body.decode(), response.headers["connection"]) == (request_id, "close")
            await shutdown
            assert test_site.process.phase is Phase.STOPPED

    monkeypatch.setattr(dispatcher_process, "DRAIN_KEEP_CONNECTIONS_S", 0.1)
    run_scenario(scenario())


def test_a_shutdown_keeps_client_connections_for_a_while() -> None:
    """Another dispatcher may be restarting too, leaving the clients no other one to use."""

    async def scenario() -> None:
        async with site() as test_site:
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            shutdown = asyncio.create_task(test_site.process.shut_down())
            await until(lambda: test_site.process.phase is Phase.DRAINING)
            for number in range(2):
                writer.write(job(f"c{number}"))
                response = await read_message(reader)
                assert (response.body, response.headers.get("connection")) == (b"TEXT", None)
            assert await reader.read() == b"" and test_site.process.phase is not Phase.DRAINING
            writer.close()
            await shutdown

    run_scenario(scenario())


@pytest.mark.parametrize(("path", "status"), [("/lookup", "503"), ("/import", "502")])
def test_the_end_of_a_shutdown_answers_the_open_requests(
    path: str, status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Open requests get a response before SIGKILL, and the attempt is cancelled at its worker."""

    async def scenario() -> None:
        async with site() as test_site:
            test_site.workers[0].script = test_site.workers[0].accept
            open_request = asyncio.create_task(test_site.post(path=path))
            await test_site.workers[0].until("POST")
            await test_site.process.shut_down()
            assert (await open_request).start_line.split()[1] == status
            await test_site.workers[0].until("POST", "DELETE")

    monkeypatch.setattr(dispatcher_process, "DRAIN_KEEP_CONNECTIONS_S", 0.1)
    monkeypatch.setattr(dispatcher_process, "MAX_CLIENT_TIMEOUT_S", 0.0)
    run_scenario(scenario())


@pytest.mark.parametrize("is_draining", [False, True])
def test_a_reload_changes_the_discovery_address_and_keeps_open_requests(
    tmp_path: Any, monkeypatch: pytest.MonkeyPatch, is_draining: bool
) -> None:
    """It works while serving or draining, repeatedly, and while the new address does not respond."""

    class UnresponsiveServer(Server):
        async def answer(self, _message: Message, _writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(3600)

    async def scenario() -> None:
        unresponsive = UnresponsiveServer()
        new_discovery = Discovery()
        async with site(workers=2) as test_site:
            for worker in test_site.workers:
                worker.script = worker.accept
                new_discovery.add(worker)
            new_discovery.revision = 7
            open_request = asyncio.create_task(test_site.post())
            busy_worker = await until(
                lambda: next((worker for worker in test_site.workers if worker.methods()), None)
            )
            shutdown = asyncio.create_task(test_site.process.shut_down()) if is_draining else None
            for server in (unresponsive, new_discovery):
                await server.start()
                path.write_text(json.dumps({**document(), "listen": "h:1", "discovery": server.address}))
                test_site.process.reloader.requested.set()
                await wait_for_connection(server)
            await until(lambda: test_site.process.discovery.revision == 7)
            await new_discovery.change(
                next(worker for worker in test_site.workers if worker is not busy_worker), "DRAINING"
            )
            await until(lambda: test_site.process.discovery.revision == 8)
            assert test_site.process.phase is (Phase.DRAINING if is_draining else Phase.SERVING)
            await busy_worker.send_callback("c1", state="done", result="kept")
            assert (await open_request).body == b"kept"
            if shutdown is not None:
                await shutdown
        unresponsive.stop()
        new_discovery.stop()

    path = tmp_path / "config.json"
    monkeypatch.setenv("GW_CONFIG", str(path))
    monkeypatch.setenv("GW_DISCOVERY", "127.0.0.1:1")  # a reload ignores this variable
    run_scenario(scenario())


def test_settings_change_while_requests_are_open(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """Classes are added, removed and changed; an open request keeps the class that it arrived with."""

    async def scenario() -> None:
        async with site(workers=2) as test_site:

            async def abort_once(_message: Message, writer: asyncio.StreamWriter) -> None:
                for worker in test_site.workers:
                    worker.script = None
                writer.transport.abort()

            for worker in test_site.workers:
                worker.script = worker.accept
            response_tasks = [
                asyncio.create_task(test_site.post(f"c{number}", path))
                for number, path in enumerate(("/lookup", "/import"))
            ]
            await until(lambda: len(test_site.process.coordinator.attempts.by_worker) == 2)
            config = {**document(), "discovery": test_site.discovery.address}
            services = config["settings"]["services"]
            services[0].update(effect="fragile")
            services[1] = {**services[1], "name": "newer", "effect": "retryable"}
            path.write_text(json.dumps(config))
            test_site.process.reloader.requested.set()
            await until(lambda: test_site.process.counters.counts["reloads"])
            assert (await test_site.post("c9", "/import")).start_line.split()[1] == "404"
            for (request_id, _), attempt in list(test_site.process.coordinator.attempts.by_worker.items()):
                worker = next(worker for worker in test_site.workers if worker.name == attempt.worker_id)
                worker.script = None
                await worker.send_callback(request_id, state="lost")
            assert [(await task).start_line.split()[1] for task in response_tasks] == ["200", "502"]
            for job_path, status in (("/lookup", "502"), ("/newer", "200")):
                for worker in test_site.workers:
                    worker.script = abort_once
                assert (await test_site.post(f"d{job_path[1:]}", job_path)).start_line.split()[1] == status

    path = tmp_path / "config.json"
    monkeypatch.setenv("GW_CONFIG", str(path))
    run_scenario(scenario())


def test_signals_of_a_child_process(tmp_path: Any) -> None:
    """SIGUSR1 logs the counters, and SIGTERM ends the process with status 0.

    SIGHUP never ends it: neither with an invalid file, which is logged in one line, nor during the shutdown.
    """

    async def scenario() -> None:
        path = tmp_path / "config.json"
        any_port = "127.0.0.1:0"
        path.write_text(
            json.dumps({**document(), "listen": any_port, "mgmt": any_port, "discovery": "127.0.0.1:1"})
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "weldquay",
            env={**os.environ, "GW_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stderr is not None
        async with asyncio.timeout(20):
            while b"is serving" not in (line := await process.stderr.readline()):
                assert line
            process.send_signal(signal.SIGUSR1)
            while b"counters {" not in (line := await process.stderr.readline()):
                assert line
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            while b"ERROR" not in (line := await process.stderr.readline()):
                assert line
            assert b"stays as it is" in line and b"is serving" in await process.stderr.readline()
            process.send_signal(signal.SIGTERM)
            shutdown_log = b""
            while line := await process.stderr.readline():
                shutdown_log += line
                if b"draining" in line or b"closing" in line or b"sto" in line or b"counters" in line:
                    with suppress(ProcessLookupError):
                        # `send_signal` could reap the process before asyncio does.
                        os.kill(process.pid, signal.SIGHUP)
            assert b"counters {" in shutdown_log and await process.wait() == 0

    run_scenario(scenario())
