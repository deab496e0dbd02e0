"""The stand-in workers of a scale run, all in one process and shared by all dispatchers."""

from __future__ import annotations

import asyncio
from typing import cast

from weldquay.lab import model
from weldquay.lab.http import Message, Pool
from weldquay.lab.scale.counts import CountingPool, CountingWriter, MessageCounter, message_size, peer_side
from weldquay.lab.servers import MatchWorker

MESSAGE_NAMES = {"POST": "attempts", "GET": "probes", "DELETE": "deletes"}
SLOTS = 32  # enough for the many short jobs of a run, which does not measure overload
QUEUE_LIMIT = 64


class CountingWorker(MatchWorker):
    """Model worker with one listener for all dispatchers.

    The id of a request tells which dispatcher gets the callback.
    """

    def __init__(
        self, name: str, dispatcher_addresses: list[str], real_dispatchers: int, counter: MessageCounter
    ) -> None:
        super().__init__(model.WorkerSpec(name, slots=SLOTS, cores=SLOTS, queue_limit=QUEUE_LIMIT), ())
        self.addresses, self.real_dispatchers, self.counter = dispatcher_addresses, real_dispatchers, counter
        self.callback_pools: dict[int, CountingPool] = {}

    def pool(self, caller: int) -> Pool:
        """Return the connections to a dispatcher, created for its first callback."""
        if caller not in self.callback_pools:
            side = "real" if caller < self.real_dispatchers else "hollow"
            self.callback_pools[caller] = CountingPool(self.addresses[caller], self.counter, f"to_{side}")
            self.pools.append(self.callback_pools[caller])
        return self.callback_pools[caller]

    def caller(self, writer: asyncio.StreamWriter) -> int:
        """Return the number of the dispatcher that sent a job."""
        return int(cast(CountingWriter, writer).message.headers["x-correlation-id"].partition("-")[0])

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Respond to a message; count both."""
        response = CountingWriter(writer, message)
        await super().answer(message, response.as_stream_writer())
        self.counter.count_message(
            peer_side(writer), MESSAGE_NAMES[message.method], message_size(message) + response.size
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counter[f"{peer_side(writer)}.connections"] += 1
        await super()._serve(reader, writer)
