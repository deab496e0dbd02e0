"""Case 10: workers that have failed one job each never get a job again that must not run twice."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from stand_ins_2 import (
    Client,
    Discovery,
    Dispatcher,
    Message,
    Record,
    SlotWorker,
    encode,
    free_port,
    has_trouble,
    longest_rejection,
    run_case,
    settings_of,
)

WORKERS = 8  # one of eight fails at a time
BAD_S = 4.0
USUAL_S, AFTER_S = 2.0, 20.0
PER_S = 8.0
MAX_REJECTING_S = 4.0
MIN_REJECTED = 15
CLASSES: list[dict[str, Any]] = [
    {
        "name": "segment-commit",
        "aim_ns": 500_000_000,
        "give_up_ns": 7_500_000_000,
        "effect": "fragile",
        "worth": 2.0,
    }
]


class FailingWorker(SlotWorker):
    """A match worker that fails its jobs quickly while it is bad."""

    is_bad = False

    def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.method != "POST" or not self.is_bad:
            super()._answer(message, writer)
            return
        request_id = message.headers["x-correlation-id"]
        self.record.write(f"worker {self.name}: attempt of {request_id} came, and fails")
        self.received.append((request_id, self.record.now()))
        load = f"X-Backend-Load: {json.dumps(self.report())}"
        writer.write(encode("HTTP/1.1 500 Internal Server Error", b"", load))


async def scenario(record: Record, folder: Path) -> list[str]:
    """Send steady traffic of one class, while one worker after the other is bad for some seconds."""
    port = free_port()
    workers = [FailingWorker(f"w{number}", port, record) for number in range(WORKERS)]
    discovery = Discovery(record)
    for worker in workers:
        await worker.start()
        discovery.put(worker)
    await discovery.start()
    settings = settings_of(
        CLASSES,
        group_size=1,
        load_info={"fields": ["svc_ms", "pending", "x0", "x1"], "via": "inline"},
        family_info={"tells_start": True},
    )
    dispatcher = Dispatcher(folder, record, port, settings)
    dispatcher.configure(discovery)
    client = Client(port, record)
    events: list[tuple[float, bool]] = []

    async def post(number: int) -> None:
        hint = f"X-Weight-Hint: {500_000 + number}"
        outcome = await client.post(f"r{number}", "/segment-commit", 0.5, 7.5, hint)
        events.append((record.now(), outcome.startswith("503")))

    async def spoil() -> None:
        await asyncio.sleep(USUAL_S)
        for worker in workers:
            record.write(f"worker {worker.name}: is bad for {BAD_S} s")
            worker.is_bad = has_trouble()
            await asyncio.sleep(BAD_S)
            worker.is_bad = False
        record.write("all workers are well")

    try:
        await dispatcher.start()
        ends_at = record.now() + USUAL_S + WORKERS * BAD_S + AFTER_S
        tasks = [asyncio.create_task(spoil())]
        number = 0
        while record.now() < ends_at:
            tasks.append(asyncio.create_task(post(number)))
            number += 1
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)
        events += [(came_at, False) for worker in workers for _, came_at in worker.received]
        longest_s, count = longest_rejection(events)
        served = sum(outcome.startswith("200") for outcome, _ in client.answers.values())
        record.write(
            f"{number} requests, {served} served; all rejected for {longest_s:.1f} s on end ({count})"
        )
        if longest_s >= MAX_REJECTING_S and count >= MIN_REJECTED:
            return [f"the dispatcher rejected all {count} requests of {longest_s:.1f} s, with no attempt"]
        return []
    finally:
        await dispatcher.stop()
        discovery.stop()
        for worker in workers:
            worker.stop()


sys.exit(run_case(Path(__file__).parent, scenario))
