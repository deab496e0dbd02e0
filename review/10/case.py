"""Case 10: after an upgrade a drained dispatcher keeps a connection that comes from the older process."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from stand_ins_2 import (
    CaseError,
    Discovery,
    Dispatcher,
    MatchWorker,
    Record,
    call,
    encode,
    free_port,
    has_trouble,
    read_message,
    run_case,
    settings_of,
)

JOB_S = 1.2
SLOW_WRITE_S = 1.2  # a client that writes slowly needs so long for its request
DRAINED_AFTER_S = 4.0
CLASSES: list[dict[str, Any]] = [
    {
        "name": "batch-import",
        "aim_ns": 2_000_000_000,
        "give_up_ns": 15_000_000_000,
        "effect": "fragile",
        "worth": 8.0,
    }
]


async def operate(dispatcher: Dispatcher, method: str, path: str) -> bool:
    """Send an operators' call and return whether the answer is yes."""
    port = int(dispatcher.config["mgmt"].rpartition(":")[2])
    with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        return (await call(port, encode(f"{method} /control/{path} HTTP/1.1"), 1.0)).status // 100 == 2
    return False


async def until_ready(dispatcher: Dispatcher) -> None:
    """Ask until the process is ready, for 6 s at the most."""
    for _ in range(200):
        if await operate(dispatcher, "GET", "ready"):
            return
        await asyncio.sleep(0.03)
    raise CaseError("the newer process is not ready within 6 s")


async def is_open(reader: asyncio.StreamReader) -> bool:
    """Return whether the dispatcher has not ended the connection."""
    with suppress(TimeoutError, OSError):
        async with asyncio.timeout(0.05):
            await reader.read(1)
            return False
    return not reader.at_eof()


async def scenario(record: Record, folder: Path) -> list[str]:
    """Upgrade a dispatcher while a client writes its request, then drain the newer process."""
    port = free_port()
    worker, discovery = MatchWorker("a", port, record), Discovery(record)
    await worker.start()
    discovery.put(worker)
    await discovery.start()
    settings = settings_of(CLASSES, load_info={"fields": ["svc_ms", "pending", "x0", "x1"], "via": "inline"})
    older, newer = (Dispatcher(folder, record, port, settings) for _ in range(2))
    newer.config_path = folder / "newer.json"
    older.configure(discovery)
    newer.configure(discovery)
    writer: asyncio.StreamWriter | None = None
    try:
        await older.start()
        request = encode(
            "POST /batch-import HTTP/1.1",
            json.dumps({"run_s": JOB_S}).encode(),
            "X-Correlation-Id: slow",
            "X-Time-Left-Ms: 15000",
        )
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request[:40])
        record.write("client: writes the first part of its request")
        await asyncio.sleep(0.1)
        begun_at = record.now()
        serving = older
        if has_trouble():
            record.write("platform: starts the newer process")
            await newer.start()
            await until_ready(newer)
            record.write("newer process: ready")
            older.signal(signal.SIGTERM)
            serving = newer
        await asyncio.sleep(max(0.0, begun_at + SLOW_WRITE_S - record.now()))
        writer.write(request[40:])
        record.write("client: writes the rest of its request")
        await asyncio.sleep(0.2)
        if not await operate(serving, "POST", "out-of-service"):
            raise CaseError("the drain was refused")
        drained_at = record.now()
        record.write("operators: out-of-service, yes")
        async with asyncio.timeout(10):
            answer = await read_message(reader)
        record.write(f"client: got {answer.status}, connection: {answer.headers.get('connection', 'kept')}")
        await asyncio.sleep(max(0.0, drained_at + DRAINED_AFTER_S - record.now()))
        is_held = await is_open(reader)
        record.write(
            f"4 s after the drain: the client's connection is {'held idle' if is_held else 'closed'}"
        )
        if is_held:
            writer.write(request.replace(b"slow", b"next"))
            async with asyncio.timeout(10):
                record.write(
                    f"client: its next job on that connection got {(await read_message(reader)).status}"
                )
        return ["a client's connection is held idle 4 s after the drain"] if is_held else []
    finally:
        if writer is not None:
            writer.transport.abort()
        await older.stop()
        await newer.stop()
        discovery.stop()
        worker.stop()


sys.exit(run_case(Path(__file__).parent, scenario))
