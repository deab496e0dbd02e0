"""Idle clients at the connection limit during a discovery outage: everything else still works."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
from typing import Any

from example.toy import encode_message, request
from tests.failing_discovery import FailingDiscovery, revision_then_reset
from tests.processes import free_port, wait_until_serving
from tests.site import ScriptedWorker, document, job
from weldquay.lab.site import reserve_address
from weldquay.limits import MIN_SOCKETS

IDLE_CLIENTS = MIN_SOCKETS + 60  # more than the descriptor limit
MIN_FREE_DESCRIPTORS = 20  # descriptors that idle clients leave for other connections


def limit_descriptors() -> None:
    """Set the descriptor limit of the deployment, in the child process."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MIN_SOCKETS, MIN_SOCKETS))


def test_idle_clients_leave_descriptors_for_other_connections(tmp_path: Any) -> None:
    """Jobs, callbacks, operator requests and polls of a recovered discovery still get descriptors."""

    async def scenario() -> None:
        listen, mgmt = (f"127.0.0.1:{free_port()}" for _ in range(2))
        worker, failing = ScriptedWorker("w0", listen), FailingDiscovery(revision_then_reset, 1)
        await worker.start()
        await failing.start()
        failing.worker_address = worker.address
        address = failing.address
        path = tmp_path / "config.json"
        config = document()
        config["limits"]["sockets"] = MIN_SOCKETS
        endpoint = {
            "id": "w0",
            "host_port": worker.address,
            "locality": "here",
            "flavor": "toy",
            "cell": 0,
            "phase": "SERVING",
            "size": 1.0,
            "up_since_ms": 0,
        }
        config["known"] = {"revision": 1, "complete": True, "members": [endpoint]}
        config |= {"listen": listen, "mgmt": mgmt, "discovery": address}
        path.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "weldquay",
            env={**os.environ, "GW_CONFIG": str(path)},
            preexec_fn=limit_descriptors,
            stderr=asyncio.subprocess.PIPE,
        )
        idle_clients = []
        try:
            async with asyncio.timeout(30):
                await wait_until_serving(process)
                assert (await request(listen, job("c0"))).body == b"TEXT"  # discovery has confirmed the list
                failing.stop()
                reserved_socket, _ = reserve_address(address)
                host, port = listen.split(":")
                for _ in range(IDLE_CLIENTS):
                    idle_clients.append(socket.create_connection((host, int(port))))
                open_descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                assert open_descriptors <= MIN_SOCKETS - MIN_FREE_DESCRIPTORS
                assert (await request(listen, job("c1"))).body == b"TEXT"
                assert (await request(listen, encode_message("GET /_health HTTP/1.1"))).status == 200
                ready = await request(mgmt, encode_message("GET /control/ready HTTP/1.1"))
                assert ready.status in (200, 503)
                await failing.start_on(reserved_socket)
                # Repeat until the new endpoint list reports the worker as draining.
                while (await request(listen, job("late", timeout_ms=500))).status != 503:
                    idle_clients.append(socket.create_connection((host, int(port))))
                open_descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                assert open_descriptors <= MIN_SOCKETS - MIN_FREE_DESCRIPTORS
                process.terminate()
                assert await process.wait() == 0
        finally:
            for sock in idle_clients:
                sock.close()
            worker.stop()
            failing.stop()
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(scenario())
