"""Helpers for tests that start dispatcher processes."""

from __future__ import annotations

import asyncio
import socket


async def wait_until_serving(process: asyncio.subprocess.Process) -> None:
    """Wait until the process logs that it is serving."""
    assert process.stderr is not None
    while b"is serving" not in (line := await process.stderr.readline()):
        assert line


def free_port() -> int:
    """Return a port that is not in use."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])
