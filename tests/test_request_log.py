"""Logs and metrics that say why a process ended, what holds its memory, and what became of a request."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
from pathlib import Path

import pytest

from example.toy import request
from tests.processes import free_port, wait_until_serving
from tests.site import document, job, run_scenario, site
from weldquay.net import memory_monitor, request_log
from weldquay.net.counters import Counters
from weldquay.net.memory_monitor import MemoryMonitor, peak_memory_mb
from weldquay.net.request_log import MAX_LINES_PER_INTERVAL, RequestEvent, RequestLog


def test_lines_of_a_kind_are_limited_and_counted(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A line of the next interval says how many were left out; other kinds are not affected."""
    caplog.set_level(logging.INFO)
    lines = RequestLog()
    for number in range(MAX_LINES_PER_INTERVAL + 7):
        lines.write(RequestEvent.REFUSED, f"c{number}", "409")
    lines.write(RequestEvent.RETRIED, "", "attempt 1")
    assert len(caplog.messages) == MAX_LINES_PER_INTERVAL + 1
    monkeypatch.setattr(request_log, "INTERVAL_S", 0.0)
    lines.write(RequestEvent.REFUSED, "c99", "409")
    assert caplog.messages[-2:] == [
        "request - retried: attempt 1",
        "request c99 refused: 409 (7 more before, not logged)",
    ]


def test_refused_and_rejected_requests_and_ended_attempts_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """With their ids, and why."""
    caplog.set_level(logging.INFO)

    async def scenario() -> None:
        async with site() as test_site:
            worker = test_site.workers[0]

            async def reset(_message: object, writer: asyncio.StreamWriter) -> None:
                writer.transport.abort()

            worker.script = reset
            assert (await test_site.post("c1", timeout_ms=500)).status in (502, 503)
            worker.script = None
            await request(test_site.address, job("c2", "/nothing"))

    run_scenario(scenario())
    text = "\n".join(caplog.messages)
    assert "request c1 attempt ended: attempt 0 at worker w0, outcome reset" in text
    assert "request c1 rejected: " in text or "request c1 failed: " in text
    assert "request c2 refused: 404, no such class or path" in text


def test_each_step_towards_the_memory_limit_is_logged_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With what holds the memory; the peak is a metric."""
    counters = Counters()
    monitor = MemoryMonitor(counters, 100, lambda: "7 client connections")
    for peak_mb in (49.0, 55.0, 58.0, 85.0, 120.0):
        monkeypatch.setattr(memory_monitor, "peak_memory_mb", lambda: peak_mb)  # noqa: B023
        monitor.check()
    assert caplog.messages == [
        "peak memory 55 MB of 100 MB, held by: 7 client connections",
        "peak memory 85 MB of 100 MB, held by: 7 client connections",
        "peak memory 120 MB of 100 MB, held by: 7 client connections",
    ]
    assert counters.peaks["peak_memory_mb"] == 120.0


def test_a_process_logs_why_it_ends_and_its_peak_memory(tmp_path: Path) -> None:
    """And, on SIGUSR1, what holds memory; a limit that cannot be kept is named at the start."""

    async def scenario() -> str:
        path = tmp_path / "config.json"
        config = document()
        config |= {
            "listen": f"127.0.0.1:{free_port()}",
            "mgmt": None,
            "discovery": f"127.0.0.1:{free_port()}",
        }
        config["limits"]["memory_mb"] = 24
        path.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "weldquay"),
            env={**os.environ, "GW_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        await wait_until_serving(process)
        assert process.stderr is not None
        warning = await process.stderr.readline()
        assert b"memory limit of 24 MB is too low" in warning
        process.send_signal(signal.SIGUSR1)
        while b"memory is held by: 0 client connections" not in (line := await process.stderr.readline()):
            assert line
        process.terminate()
        log = (await process.stderr.read()).decode()
        assert await process.wait() == 0
        return log

    log = asyncio.run(scenario())
    assert "got SIGTERM while serving" in log and "ended by itself after SIGTERM" in log
    counters = json.loads(log.rpartition("counters ")[2].splitlines()[0])
    assert 10 < counters["peak_memory_mb"] < 200
    assert peak_memory_mb() > 10
