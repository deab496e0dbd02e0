"""Drains, reloads and signals of a dispatcher on real sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from contextlib import suppress
from typing import Any

import pytest

from example.toy import Discovery, Message, Server, read_message, request, write_message
from tests.site import document, job, play, site, until
from weldquay.net import dispatcher_process as program
from weldquay.net.lifecycle import Phase


def test_a_drain_serves_what_still_comes_and_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """SIGTERM: health turns, answers close their connections, call-backs arrive, the status is 0."""

    async def scenario() -> None:
        async with site() as here:
            worker = here.workers[0]
            worker.script = worker.accept
            owed = asyncio.create_task(here.post("c1"))
            await worker.until("POST")
            assert (await request(here.address, write_message("GET /_health HTTP/1.1"))).body == b"ok"
            ending = asyncio.create_task(here.program.shut_down())
            await asyncio.sleep(0)
            health = await request(here.address, write_message("GET /_health HTTP/1.1"))
            assert health.start.split()[1] == "503"
            late = asyncio.create_task(here.post("c2"))
            await worker.until("POST", "POST")
            await until(lambda: here.program.phase is Phase.CLOSING)
            for call in ("c1", "c2"):
                await worker.tell(call, state="done", result=call)
            for call, answer in (("c1", await owed), ("c2", await late)):
                assert (answer.body.decode(), answer.headers["connection"]) == (call, "close")
            await ending
            assert here.program.phase is Phase.STOPPED

    monkeypatch.setattr(program, "DRAIN_KEEP_CONNECTIONS_S", 0.1)
    play(scenario())


def test_a_drain_keeps_its_clients_connections_for_a_while() -> None:
    """Closed at once, its clients had nowhere to go while another dispatcher was away as well."""

    async def scenario() -> None:
        async with site() as here:
            reader, writer = await asyncio.open_connection("127.0.0.1", here.program.server.port)
            ending = asyncio.create_task(here.program.shut_down())
            await until(lambda: here.program.phase is Phase.DRAINING)
            for number in range(2):
                writer.write(job(f"c{number}"))
                answer = await read_message(reader)
                assert (answer.body, answer.headers.get("connection")) == (b"TEXT", None)
            assert await reader.read() == b"" and here.program.phase is not Phase.DRAINING
            writer.close()
            await ending

    play(scenario())


@pytest.mark.parametrize(("path", "status"), [("/lookup", "503"), ("/import", "502")])
def test_the_end_of_a_drain_answers_what_is_still_owed(
    path: str, status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """SIGKILL would leave it without any answer; the worker is told that nobody waits."""

    async def scenario() -> None:
        async with site() as here:
            here.workers[0].script = here.workers[0].accept
            owed = asyncio.create_task(here.post(path=path))
            await here.workers[0].until("POST")
            await here.program.shut_down()
            assert (await owed).start.split()[1] == status
            await here.workers[0].until("POST", "DELETE")

    monkeypatch.setattr(program, "DRAIN_KEEP_CONNECTIONS_S", 0.1)
    monkeypatch.setattr(program, "MAX_CLIENT_TIMEOUT_S", 0.0)
    play(scenario())


@pytest.mark.parametrize("draining", [False, True])
def test_a_reload_moves_the_watch_and_keeps_all_else(
    tmp_path: Any, monkeypatch: pytest.MonkeyPatch, draining: bool
) -> None:
    """Under way or draining, more than once, also while the new address hangs; the last address counts."""

    class Hanging(Server):
        async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(3600)

    async def scenario() -> None:
        hanging, newer = Hanging(), Discovery()
        async with site(workers=2) as here:
            for worker in here.workers:
                worker.script = worker.accept
                newer.add(worker)
            newer.revision = 7
            owed = asyncio.create_task(here.post())
            busy = await until(lambda: next((each for each in here.workers if each.methods()), None))
            ending = asyncio.create_task(here.program.shut_down()) if draining else None
            for server in (hanging, newer):
                await server.start()
                path.write_text(json.dumps({**document(), "listen": "h:1", "discovery": server.address}))
                here.program.reloader.requested.set()
                while not server.writers:
                    await asyncio.sleep(0.01)
            await until(lambda: here.program.discovery.revision == 7)
            await newer.change(next(each for each in here.workers if each is not busy), "DRAINING")
            await until(lambda: here.program.discovery.revision == 8)
            assert here.program.phase is (Phase.DRAINING if draining else Phase.SERVING)
            await busy.tell("c1", state="done", result="kept")
            assert (await owed).body == b"kept"
            if ending is not None:
                await ending
        hanging.stop()
        newer.stop()

    path = tmp_path / "config.json"
    monkeypatch.setenv("GW_CONFIG", str(path))
    monkeypatch.setenv("GW_DISCOVERY", "127.0.0.1:1")  # what was told at the start no longer counts
    play(scenario())


def test_settings_change_while_calls_are_open(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """A class comes, one goes, effects change; a call in hand keeps the class that it came with."""

    async def scenario() -> None:
        async with site(workers=2) as here:

            async def once(message: Message, writer: asyncio.StreamWriter) -> None:
                for worker in here.workers:
                    worker.script = None
                writer.transport.abort()

            for worker in here.workers:
                worker.script = worker.accept
            owed = [
                asyncio.create_task(here.post(f"c{number}", path))
                for number, path in enumerate(("/lookup", "/import"))
            ]
            await until(lambda: len(here.program.coordinator.at_worker) == 2)
            told = {**document(), "discovery": here.discovery.address}
            services = told["settings"]["services"]
            services[0].update(effect="fragile")
            services[1] = {**services[1], "name": "newer", "effect": "retryable"}
            path.write_text(json.dumps(told))
            here.program.reloader.requested.set()
            await until(lambda: here.program.counters.counts["reloads"])
            assert (await here.post("c9", "/import")).start.split()[1] == "404"
            for (call, _), attempt in list(here.program.coordinator.at_worker.items()):
                worker = next(each for each in here.workers if each.name == attempt.worker_id)
                worker.script = None
                await worker.tell(call, state="lost")
            assert [(await answer).start.split()[1] for answer in owed] == ["200", "502"]
            for path_, status in (("/lookup", "502"), ("/newer", "200")):
                for worker in here.workers:
                    worker.script = once
                assert (await here.post(f"d{path_[1:]}", path_)).start.split()[1] == status

    path = tmp_path / "config.json"
    monkeypatch.setenv("GW_CONFIG", str(path))
    play(scenario())


def test_a_signal_ends_the_program(tmp_path: Any) -> None:
    """The whole program as `run` starts it: SIGUSR1 prints the counters, SIGTERM ends it with status 0.

    SIGHUP never ends it: not with a bad file, which is told in one line, nor in the midst of its end.
    """

    async def scenario() -> None:
        path = tmp_path / "config.json"
        free = "127.0.0.1:0"
        path.write_text(json.dumps({**document(), "listen": free, "mgmt": free, "discovery": "127.0.0.1:1"}))
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
            rest = b""
            while line := await process.stderr.readline():
                rest += line
                if b"draining" in line or b"closing" in line or b"sto" in line or b"counters" in line:
                    with suppress(ProcessLookupError):
                        os.kill(process.pid, signal.SIGHUP)  # send_signal would take the status from asyncio
            assert b"counters {" in rest and await process.wait() == 0

    play(scenario())
