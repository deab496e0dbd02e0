"""A timeout that judges a peer: what has arrived while the process stood still is not too late."""

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
    """Have the event loop stand still."""
    time.sleep(seconds)


def call_after_turns(turns: int, callback: Callable[[], None]) -> None:
    """Call a function after so many turns of the event loop."""
    loop = asyncio.get_running_loop()
    if turns:
        loop.call_soon(call_after_turns, turns - 1, callback)
    else:
        callback()


def test_bytes_that_arrived_during_a_stall_are_read() -> None:
    """The timer is due in the same turn of the loop in which the bytes are seen."""

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


@pytest.mark.parametrize("turns", range(5))
def test_connection_that_came_up_during_a_stall_is_used(turns: int) -> None:
    """Setting up a connection takes several turns of the loop, and the stall may come at any of them."""

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            call_after_turns(turns, stall)
            async with PeerTimeout(TIMEOUT_S):
                _, writer = await asyncio.open_connection(*server.getsockname())
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            writer.close()

    asyncio.run(scenario())


def test_timeout_without_a_stall() -> None:
    """It is raised in time, and the wait is cancelled."""

    async def scenario() -> float:
        begun = time.monotonic()
        with pytest.raises(TimeoutError):
            async with PeerTimeout(TIMEOUT_S):
                await asyncio.sleep(60)
        return time.monotonic() - begun

    assert TIMEOUT_S <= asyncio.run(scenario()) < 10


def test_stalls_that_follow_on_each_other_extend_it_a_few_times() -> None:
    """A process that always runs late must not wait for ever."""
    turns = 0

    async def run_late() -> None:
        nonlocal turns
        async with PeerTimeout(TIMEOUT_S):
            while True:
                stall(TIMEOUT_S + EXTENSION_S + 2 * MAX_TIMER_LATENESS_S)
                turns += 1
                await asyncio.sleep(0)

    with pytest.raises(TimeoutError):
        asyncio.run(run_late())
    assert MAX_EXTENSIONS <= turns <= 4 * MAX_EXTENSIONS


@pytest.mark.parametrize("stalls", [False, True])
def test_timeout_after_a_stall_says_nothing_of_the_peer(stalls: bool) -> None:
    """It is told from one of a process that ran on time."""
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
    """The task that waits is cancelled as usual."""

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
