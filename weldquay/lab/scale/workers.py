"""Stand-in workers, all in one process, as all dispatchers see them."""

from __future__ import annotations

import asyncio
from typing import cast

from weldquay.lab import model
from weldquay.lab.http import Message, Pool
from weldquay.lab.scale.counts import Answer, CountingPool, Tally, side_of, size_of
from weldquay.lab.servers import MatchWorker

NAMES = {"POST": "attempts", "GET": "probes", "DELETE": "deletes"}
SLOTS = 32  # enough for the many short jobs of a run, which does not measure overload
QUEUE_LIMIT = 64


class CountingWorker(MatchWorker):
    """A model worker with one listener for all dispatchers; a call's id says whom to call back."""

    def __init__(self, name: str, callers: list[str], real: int, tally: Tally) -> None:
        super().__init__(model.WorkerSpec(name, slots=SLOTS, cores=SLOTS, queue_limit=QUEUE_LIMIT), ())
        self.addresses, self.real, self.tally = callers, real, tally
        self.by_caller: dict[int, CountingPool] = {}

    def pool(self, caller: int) -> Pool:
        """The connections to a dispatcher, from the first callback on."""
        if caller not in self.by_caller:
            side = "real" if caller < self.real else "hollow"
            self.by_caller[caller] = CountingPool(self.addresses[caller], self.tally, f"to_{side}")
            self.pools.append(self.by_caller[caller])
        return self.by_caller[caller]

    def caller(self, writer: asyncio.StreamWriter) -> int:
        """The dispatcher that a job is for."""
        return int(cast(Answer, writer).message.headers["x-correlation-id"].partition("-")[0])

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Count a message with its answer."""
        told = Answer(writer, message)
        await super().answer(message, told.as_writer())
        self.tally.note(side_of(writer), NAMES[message.method], size_of(message) + told.size)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tally[f"{side_of(writer)}.connections"] += 1
        await super()._serve(reader, writer)
