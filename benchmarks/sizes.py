"""Cost of a long endpoint list for one dispatcher: the memory of its process and the time of a step.

    python -m benchmarks.sizes

Run it in the root folder of the repository.  It takes about 100 s on one core.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
import zlib
from dataclasses import replace
from pathlib import Path

from example.toy import Discovery
from weldquay import interface as api
from weldquay.net.config import config_from_document
from weldquay.policy.dispatcher import Dispatcher

CONFIG = Path(__file__).parents[1] / "example" / "config.json"
SECOND_NS = 1_000_000_000
SETTLING_TIME_S = 0.25  # wait between a change of the list and the measurement
# Memory is measured after these numbers of rounds; each round replaces the ids of all workers in the list.
MEASURED_AFTER_ROUNDS = (0, 6, 120)


def create_discovery(worker_count: int, round_number: int = 0) -> Discovery:
    """Return a discovery stand-in that lists `worker_count` workers, with different ids in each round."""
    discovery = Discovery()
    for index in range(worker_count):
        address = f"127.{round_number + 1}.{index // 250}.{index % 250 + 1}:9"
        discovery.put(address, [address])
    return discovery


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    status_lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in status_lines if line.startswith("VmRSS")).split()[1]) / 1024


def write_config(folder: str, discovery: Discovery) -> Path:
    """Write the configuration file of a dispatcher and return its path."""
    document = json.loads(CONFIG.read_text())
    document |= {
        "listen": "127.0.0.1:0",
        "mgmt": None,
        "discovery": discovery.address,
        "known": discovery.list_document(),
    }
    path = Path(folder) / "config.json"
    path.write_text(json.dumps(document))
    return path


async def start_dispatcher(config: Path) -> asyncio.subprocess.Process:
    """Start a dispatcher and wait until it serves."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "weldquay"),
        env={**os.environ, "GW_CONFIG": str(config), "TMPDIR": str(config.parent)},
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    while b"is serving" not in (line := await process.stderr.readline()):
        assert line
    return process


async def measure_memory_mb(worker_count: int) -> list[float]:
    """Return the resident memory in MB of a dispatcher process, at each of MEASURED_AFTER_ROUNDS."""
    discovery = create_discovery(worker_count)
    await discovery.start()
    sizes_mb = []
    with tempfile.TemporaryDirectory() as folder:
        process = await start_dispatcher(write_config(folder, discovery))
        for round_number in range(max(MEASURED_AFTER_ROUNDS) + 1):
            if round_number:
                discovery.members = create_discovery(worker_count, round_number).members
                await discovery.notify_watches()
            await asyncio.sleep(SETTLING_TIME_S)
            if round_number in MEASURED_AFTER_ROUNDS:
                sizes_mb.append(resident_mb(process.pid))
        process.terminate()
        await process.wait()
    discovery.stop()
    return sizes_mb


def measure_step_ms(dispatcher_count: int, worker_count: int, update_count: int) -> float:
    """Return the duration in ms of a step that applies a change of each worker, split into updates."""
    settings = config_from_document({}, json.loads(CONFIG.read_text())).settings
    dispatcher = Dispatcher(
        replace(settings, dispatcher_count=dispatcher_count, dispatcher_index=dispatcher_count - 1), 1
    )
    entries = [
        api.WorkerEntry(index, api.WorkerState.READY, start_id=zlib.crc32(b"%d" % index))
        for index in range(worker_count)
    ]
    dispatcher.step(1000 * SECOND_NS, [api.EndpointListUpdate(api.EndpointListKind.FULL, tuple(entries))])
    events = [
        api.EndpointListUpdate(api.EndpointListKind.DELTA, tuple(entries[offset::update_count]))
        for offset in range(update_count)
    ]
    start_s = time.perf_counter()
    dispatcher.step(1001 * SECOND_NS, [*events])
    return (time.perf_counter() - start_s) * 1000


def main() -> None:
    """Print all measurements."""
    for worker_count in (1, 1100, 1400):
        sizes_mb = asyncio.run(measure_memory_mb(worker_count))
        sizes_by_round = zip(MEASURED_AFTER_ROUNDS, sizes_mb, strict=True)
        text = ", ".join(f"{size:.1f} MB after {rounds} rounds" for rounds, size in sizes_by_round)
        print(f"{worker_count} workers: {text}")
    for dispatcher_count, worker_count in ((3, 1100), (410, 1400)):
        for update_count in (1, worker_count):
            print(
                f"{worker_count} changes in {update_count} updates, {dispatcher_count} dispatchers: "
                f"{measure_step_ms(dispatcher_count, worker_count, update_count):.1f} ms"
            )


if __name__ == "__main__":
    main()
