"""A timeout for a peer: data that arrives while the process stalls is not late."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

import pytest

from weldquay.net.peer_timeout import EXTENSION_S, MAX_EXTENSIONS, MAX_TIMER_LATENESS_S, PeerTimeout

TIMEOUT_S = 0.1
STALL_S = 0.3


def stall(seconds: float = STALL_S) -> None:
    """Block the event loop."""
    time.sleep(seconds)


def call_after_iterations(iterations: int, callback: Callable[[], None]) -> None:
    """Call a function after a number of iterations of the event loop."""
    loop = asyncio.get_running_loop()
    if iterations:
        loop.call_soon(call_after_iterations, iterations - 1, callback)
    else:
        callback()


def test_bytes_that_arrived_during_a_stall_are_read() -> None:
    """The timer is due in the loop iteration in which the bytes are seen."""

    async def scenario() -> None:
        near, far = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=near)

        def stall_and_send() -> None:
            stall()
            far.send(b"answer")

        asyncio.get_running_loop().call_soon(stall_and_send)
        async with PeerTimeout(TIMEOUT_S):
            assert await reader.read(10) == b"answer"
        writer.close()
        far.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("iterations", range(5))
def test_connection_established_during_a_stall_is_used(iterations: int) -> None:
    """Connecting takes several loop iterations, and the stall may come in any of them."""

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            call_after_iterations(iterations, stall)
            async with PeerTimeout(TIMEOUT_S):
                _, writer = await asyncio.open_connection(*server.getsockname())
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            writer.close()

    asyncio.run(scenario())


def test_timeout_without_a_stall() -> None:
    """TimeoutError is raised in time, and the wait is cancelled."""

    async def scenario() -> float:
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with PeerTimeout(TIMEOUT_S):
                await asyncio.sleep(60)
        return time.monotonic() - started_at

    assert TIMEOUT_S <= asyncio.run(scenario()) < 10


def test_consecutive_stalls_extend_the_timeout_a_few_times() -> None:
    """A process that always runs late must not wait forever."""
    iterations = 0

    async def run_late() -> None:
        nonlocal iterations
        async with PeerTimeout(TIMEOUT_S):
            while True:
                stall(TIMEOUT_S + EXTENSION_S + 2 * MAX_TIMER_LATENESS_S)
                iterations += 1
                await asyncio.sleep(0)

    with pytest.raises(TimeoutError):
        asyncio.run(run_late())
    assert MAX_EXTENSIONS <= iterations <= 4 * MAX_EXTENSIONS


@pytest.mark.parametrize("stalls", [False, True])
def test_timeout_after_a_stall_is_marked(stalls: bool) -> None:
    """`has_stalled` distinguishes it from a timeout of a process that ran on time."""
    timeout = PeerTimeout(TIMEOUT_S)

    async def wait() -> None:
        if stalls:
            asyncio.get_running_loop().call_soon(stall)
        async with timeout:
            await asyncio.sleep(60)

    with pytest.raises(TimeoutError):
        asyncio.run(wait())
    assert timeout.has_stalled == stalls


def test_cancellation_from_outside_is_not_a_timeout() -> None:
    """The waiting task is cancelled as usual."""

    async def scenario() -> None:
        async def wait() -> None:
            async with PeerTimeout(60):
                await asyncio.sleep(60)

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
