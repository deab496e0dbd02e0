"""Case 10: after a burst the dispatcher rejects all that it gets, for good, while all workers are idle."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from stand_ins_2 import (
    Client,
    Discovery,
    Dispatcher,
    Record,
    SlotWorker,
    free_port,
    has_trouble,
    longest_rejection,
    run_case,
    settings_of,
)

USUAL_PER_S = 7.0
BURST_FACTOR = 1.5
USUAL_S, BURST_S, AFTER_S = 3.0, 8.0, 30.0
MAX_REJECTING_S = 4.0
MIN_REJECTED = 15
# The jobs are alike, and their clients guess their work alike.
RUN_S = 0.7
SLOTS_EACH = 2
GIVE_UP_S = 7.5
CLASSES: list[dict[str, Any]] = [
    {
        "name": "fuzzy-match",
        "aim_ns": 500_000_000,
        "give_up_ns": int(GIVE_UP_S * 1e9),
        "effect": "retryable",
        "worth": 1.0,
    }
]


async def scenario(record: Record, folder: Path) -> list[str]:
    """Send the usual traffic, with a burst in it."""
    port = free_port()
    workers = [SlotWorker(name, port, record) for name in ("a", "b", "c")]
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
        facts = f"X-Facts: slots={SLOTS_EACH},memory={SLOTS_EACH}"
        hint = f"X-Weight-Hint: {int(RUN_S * 1e6)}"
        outcome = await client.post(
            f"r{number}", "/fuzzy-match", RUN_S, GIVE_UP_S, facts, hint, slots=SLOTS_EACH
        )
        events.append((record.now(), outcome.startswith("503")))

    try:
        await dispatcher.start()
        begun_at = record.now()
        tasks = []
        number = 0
        while (elapsed_s := record.now() - begun_at) < USUAL_S + BURST_S + AFTER_S:
            in_burst = has_trouble() and USUAL_S <= elapsed_s < USUAL_S + BURST_S
            tasks.append(asyncio.create_task(post(number)))
            number += 1
            await asyncio.sleep(1 / (USUAL_PER_S * (BURST_FACTOR if in_burst else 1.0)))
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
