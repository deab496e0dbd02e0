"""Two processes with the same dispatcher name and different addresses do not perform a hot restart."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from example.toy import Discovery, encode_message, request
from tests.processes import free_port, wait_until_serving
from tests.site import ScriptedWorker, document, job

TIMEOUT_S = 30.0


@asynccontextmanager
async def start_dispatcher(
    folder: Path, listen: str, address_source: str, discovery: Discovery
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a dispatcher with its address in its file or in GW_LISTEN; kill it at the end if it runs."""
    path = folder / f"{listen.replace(':', '-')}.json"
    address_in_file = listen if address_source == "file" else "127.0.0.1:1"
    contents = document() | {
        "listen": address_in_file,
        "mgmt": f"127.0.0.1:{free_port()}",
        "discovery": discovery.address,
        "known": discovery.list_document(),
    }
    path.write_text(json.dumps(contents))
    variables = {"GW_CONFIG": str(path)} | ({} if address_source == "file" else {"GW_LISTEN": listen})
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "weldquay", env={**os.environ, **variables}, stderr=asyncio.subprocess.PIPE
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@asynccontextmanager
async def first_process(
    folder: Path, listen: str, address_source: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Discovery, ScriptedWorker]]:
    """Start a dispatcher with a worker and a discovery, and wait until it is serving."""
    discovery, worker = Discovery(), ScriptedWorker("w0", listen)
    await discovery.start()
    await worker.start()
    discovery.add(worker)
    try:
        async with (
            asyncio.timeout(TIMEOUT_S),
            start_dispatcher(folder, listen, address_source, discovery) as process,
        ):
            await wait_until_serving(process)
            yield process, discovery, worker
    finally:
        discovery.stop()
        worker.stop()


async def health(listen: str) -> int:
    """Return the status of a health check, or 0 if the connection is refused."""
    try:
        return (await request(listen, encode_message("GET /_health HTTP/1.1"))).status
    except OSError:
        return 0


@pytest.mark.parametrize("address_source", ["file", "GW_LISTEN"])
@pytest.mark.parametrize("is_reversed", [False, True])
def test_process_with_another_address_exits_and_the_first_keeps_serving(
    address_source: str, is_reversed: bool, tmp_path: Path
) -> None:
    """The second process must not take over the listener, since its own address would refuse connections."""

    async def scenario() -> None:
        first, second = sorted((f"127.0.0.1:{free_port()}" for _ in range(2)), reverse=is_reversed)
        async with first_process(tmp_path, first, address_source) as (_process, discovery, worker):
            await until_healthy(first)
            async with start_dispatcher(tmp_path, second, address_source, discovery) as other:
                _, log = await other.communicate()
            (line,) = [line for line in log.decode().splitlines() if line.startswith("weldquay:")]
            assert other.returncode == 1 and first in line and second in line and "what to do" in line
            assert await health(first) == 200 and await health(second) == 0
            assert (await request(first, job("c1"))).status == 200 and worker.methods() == ["POST"]
            # The first process still accepts a hot restart by a process with its own address.
            async with start_dispatcher(tmp_path, first, address_source, discovery) as newer:
                await wait_until_serving(newer)
                assert await health(first) == 200

    asyncio.run(scenario())


def test_process_with_another_address_serves_while_the_first_is_draining(tmp_path: Path) -> None:
    """A draining process offers no hot restart, so a new process can start at another address."""

    async def scenario() -> None:
        first, second = (f"127.0.0.1:{free_port()}" for _ in range(2))
        async with first_process(tmp_path, first, "file") as (process, discovery, worker):
            worker.script = worker.accept
            response_task = asyncio.create_task(request(first, job("c1", timeout_ms=3000)))
            await worker.until("POST")
            process.send_signal(signal.SIGTERM)
            async with start_dispatcher(tmp_path, second, "file", discovery) as other:
                await wait_until_serving(other)
                assert process.returncode is None
                await worker.send_callback("c1", state="done", result="late")
                assert (await response_task).body == b"late" and await process.wait() == 0
                await until_healthy(second)

    asyncio.run(scenario())


async def until_healthy(listen: str) -> None:
    """Wait until the health check succeeds, which requires an endpoint list."""
    while await health(listen) != 200:  # noqa: ASYNC110  # there is no event to wait for
        await asyncio.sleep(0.02)
