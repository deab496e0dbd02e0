"""Idle clients take every descriptor that they can have while discovery is down: all else goes on working."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
from typing import Any

from example.toy import request, write_message
from tests.site import Scripted, document, job
from tests.failing_discovery import Failing, revision_then_reset
from weldquay.lab.site import reserve
from weldquay.limits import LEAST_SOCKETS

CROWD = LEAST_SOCKETS + 60  # more than there are descriptors


def limit() -> None:
    """The deployment's limit, in the process to be."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (LEAST_SOCKETS, LEAST_SOCKETS))


async def addresses(process: asyncio.subprocess.Process) -> None:
    """Wait until it serves."""
    assert process.stderr is not None
    while b"is serving" not in (line := await process.stderr.readline()):
        assert line


def free_port() -> int:
    """A port that nobody has."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def test_a_crowd_of_idle_clients_starves_nothing(tmp_path: Any) -> None:
    """The list comes at discovery's return, jobs go out, call-backs and operators' calls come in."""

    async def scenario() -> None:
        listen, mgmt = (f"127.0.0.1:{free_port()}" for _ in range(2))
        worker, failing = Scripted("w0", listen), Failing(revision_then_reset, 1)
        await worker.start()
        await failing.start()
        failing.address_told = worker.address
        address = failing.address
        path, told = tmp_path / "config.json", document()
        told["limits"]["sockets"] = LEAST_SOCKETS
        row = {
            "id": "w0",
            "host_port": worker.address,
            "locality": "here",
            "flavor": "toy",
            "cell": 0,
            "phase": "SERVING",
            "size": 1.0,
            "up_since_ms": 0,
        }
        told["known"] = {"revision": 1, "complete": True, "members": [row]}
        told |= {"listen": listen, "mgmt": mgmt, "discovery": address}
        path.write_text(json.dumps(told))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "weldquay",
            env={**os.environ, "GW_CONFIG": str(path)},
            preexec_fn=limit,
            stderr=asyncio.subprocess.PIPE,
        )
        crowd = []
        try:
            async with asyncio.timeout(30):
                await addresses(process)
                assert (await request(listen, job("c0"))).body == b"TEXT"  # by the list that it was told
                failing.stop()
                down, _ = reserve(address)
                host, number = listen.split(":")
                for _ in range(CROWD):
                    crowd.append(socket.create_connection((host, int(number))))
                held = len(os.listdir(f"/proc/{process.pid}/fd"))
                assert held <= LEAST_SOCKETS - 20  # what is set aside is free
                assert (await request(listen, job("c1"))).body == b"TEXT"
                assert (await request(listen, write_message("GET /_health HTTP/1.1"))).status == 200
                ready = await request(mgmt, write_message("GET /control/ready HTTP/1.1"))
                assert ready.status in (200, 503)
                await failing.start_on(down)
                while (await request(listen, job("late", left_ms=500))).status != 503:  # the drain is heeded
                    crowd.append(socket.create_connection((host, int(number))))
                assert len(os.listdir(f"/proc/{process.pid}/fd")) <= LEAST_SOCKETS - 20
                process.terminate()
                assert await process.wait() == 0
        finally:
            for sock in crowd:
                sock.close()
            worker.stop()
            failing.stop()
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(scenario())
