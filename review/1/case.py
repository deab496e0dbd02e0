"""The answer to a worker's `returned` callback is lost, and the worker repeats the callback."""

from __future__ import annotations

import asyncio
import json
import struct
import sys
import time
from pathlib import Path
from socket import SO_LINGER, SOL_SOCKET

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as lab  # noqa: E402

JOBS = 8
JOB_INTERVAL_S = 1.5
RUN_S = 1.2  # running time of a job
GIVE_UP_S = 15.0
WORKERS = 2
TROUBLE_FROM_S, TROUBLE_UNTIL_S = 3.0, 9.0  # answers are lost for 6 s, counted from the first job


class LossyProxy(lab.Server):
    """Passes callbacks on to the dispatcher; of the first try of each `returned` it loses the answer."""

    def __init__(self, record: lab.Record, dispatcher: str) -> None:
        super().__init__(record)
        self.dispatcher = dispatcher
        self.lost: set[tuple[str, str]] = set()
        self.first_job_at = 0.0

    async def answer(self, message: lab.Message, writer: asyncio.StreamWriter) -> None:
        """Pass one callback on, then its answer, or reset the connection instead."""
        answer = await lab.call(self.dispatcher, message.start_line, message.body)
        if answer is None:
            raise ConnectionError
        callback = json.loads(message.body)
        key = (callback["from"], callback["id"])
        is_time = TROUBLE_FROM_S <= time.monotonic() - self.first_job_at < TROUBLE_UNTIL_S
        if lab.is_trouble() and is_time and callback["state"] == "returned" and key not in self.lost:
            self.lost.add(key)
            self.record.add(f"the answer {answer.status} to the callback of {callback['id']} is lost: reset")
            writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            raise ConnectionError
        writer.write(lab.encode_message(f"HTTP/1.1 {answer.status} Answered", b"", "Connection: close"))
        await writer.drain()
        raise ConnectionError  # one callback a connection


async def case(record: lab.Record) -> list[str]:
    """Hand in jobs of the class that must never run twice; each worker hands each back once, unstarted."""
    listen = lab.free_address()
    discovery, proxy = lab.Discovery(record), LossyProxy(record, listen)
    await discovery.listen()
    await proxy.listen()
    behaviour = lab.Behaviour(run_s=RUN_S, hands_back=lambda _id, attempt: attempt == 1)
    workers = [lab.Worker(record, f"w{number}", proxy.address, behaviour) for number in range(WORKERS)]
    for worker in workers:
        await worker.listen()
        discovery.add(worker)
    document = lab.small_deployment(listen, discovery.address, discovery.document())
    dispatcher = lab.Dispatcher(record, document)
    try:
        await dispatcher.start()
        await dispatcher.wait_until_ready()
        client = lab.Client(listen, record)
        proxy.first_job_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(JOBS):
                group.create_task(client.post(f"job-{number}", "/import", GIVE_UP_S))
                await asyncio.sleep(JOB_INTERVAL_S)
        await asyncio.sleep(2 * RUN_S)  # for what still runs
    finally:
        await dispatcher.stop()
        for server in (discovery, proxy, *workers):
            server.stop()
    return check(client, workers)


def check(client: lab.Client, workers: list[lab.Worker]) -> list[str]:
    """Return the jobs that were begun more than once."""
    breaks = []
    for answer in client.answers:
        begun = [run for worker in workers for run in worker.runs if run.id == answer.id and run.has_begun]
        if len(begun) > 1:
            places = ", ".join(f"{run.worker} (attempt {run.attempt} there)" for run in begun)
            breaks.append(f"{answer.id} of the class that must never run twice was begun at {places}")
    return breaks


if __name__ == "__main__":
    sys.exit(lab.run_case(FOLDER, case))
