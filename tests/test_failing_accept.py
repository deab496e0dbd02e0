"""`accept` fails for a moment, as Linux documents: requests that come meanwhile keep their time."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import time

import pytest

from tests.site import Site, run_scenario, site, until
from weldquay.net.client_server import MAX_ACCEPTS

TIMEOUT_MS = 400
MAX_ANSWER_S = TIMEOUT_MS / 1000 + 0.5  # an answer may come half a second after the client's time
RETRY_S = 1.1  # longer than asyncio waits before it accepts again


def fail_accept(test_site: Site, monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Let all accepts of one iteration of the event loop fail with ENOBUFS; return the list of failures."""
    failures: list[int] = []
    accept = socket.socket.accept
    port = test_site.process.server.port

    def fail(sock: socket.socket) -> tuple[socket.socket, object]:
        if len(failures) < MAX_ACCEPTS and sock.getsockname()[1] == port:
            failures.append(errno.ENOBUFS)
            raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
        return accept(sock)

    monkeypatch.setattr(socket.socket, "accept", fail)
    return failures


def ignore_accept_failures() -> None:
    """Let the event loop report other failures only; it reports each failed accept."""
    loop = asyncio.get_running_loop()
    report = loop.get_exception_handler()
    assert report is not None

    def handle(event_loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        if "socket.accept()" not in str(context.get("message")):
            report(event_loop, context)

    loop.set_exception_handler(handle)


def test_a_request_that_comes_while_accept_fails_is_answered_in_its_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Asyncio accepts nothing for a second after a failure, and callbacks come by the same listener."""

    async def scenario() -> None:
        async with site() as test_site:
            ignore_accept_failures()
            fail_accept(test_site, monkeypatch)
            started_at = time.monotonic()
            await test_site.post("c1", timeout_ms=TIMEOUT_MS)
            assert time.monotonic() - started_at < MAX_ANSWER_S

    run_scenario(scenario())


def test_a_shutdown_right_after_accept_failed_logs_no_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """The site's fixture fails on anything that the event loop reports."""

    async def scenario() -> None:
        async with site() as test_site:
            ignore_accept_failures()
            failures = fail_accept(test_site, monkeypatch)
            with socket.create_connection(("127.0.0.1", test_site.process.server.port)):
                await until(lambda: failures)
                test_site.process.server.stop_accepting()
            await asyncio.sleep(RETRY_S)

    run_scenario(scenario())
