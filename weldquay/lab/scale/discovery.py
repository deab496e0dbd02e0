"""Discovery as a load target: one list, changes a second, and what it sends to each side."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from typing import Any

from weldquay.lab.http import Message, write_line
from weldquay.lab.scale.counts import Tally, side_of, size_of
from weldquay.lab.servers import HEARTBEAT_S, Discovery

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ChangingDiscovery(Discovery):
    """A watch tells the whole list first, then the lines that changed, or an empty line every 2 s."""

    def __init__(self, tally: Tally) -> None:
        super().__init__()
        self.tally = tally
        self.log: list[tuple[int, bytes]] = []  # revision and its line
        self.full: tuple[int, bytes] = (0, b"")  # the whole list as last encoded

    def change(self, worker_id: str) -> None:
        """Have a worker leave, or come back."""
        member = self.members[worker_id]
        member["phase"] = "DRAINING" if member["phase"] == "SERVING" else "SERVING"
        self.revision += 1
        told: dict[str, Any] = {"revision": self.revision, "complete": False, "members": [member]}
        self.log.append((self.revision, json.dumps(told).encode()))
        before, self.changed = self.changed, asyncio.Event()
        before.set()

    async def play(self, rate: float, seed: int) -> None:
        """Change the list so many times a second; a worker that left comes back with the next change."""
        draw, names = random.Random(seed), sorted(self.members)
        loop, away = asyncio.get_running_loop(), ""
        begun = loop.time()
        for number in itertools.count(1):
            await asyncio.sleep(max(0.0, begun + number / rate - loop.time()))
            away, chosen = ("", away) if away else (draw.choice(names),) * 2
            self.change(chosen)
            self.tally["discovery.changes"] += 1

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """A watch from a revision on."""
        side = side_of(writer)
        self.tally.note(side, "asks", size_of(message) + len(HEAD))
        writer.write(HEAD)
        since = int(message.target.rpartition("since=")[2] or 0)
        if not self.log or since < self.log[0][0] - 1:
            if self.full[0] != self.revision:
                self.full = self.revision, json.dumps(self.list_document()).encode()
            since = self._line(side, "lists", writer, self.full)
        while not writer.is_closing():
            changed = self.changed
            for entry in self.log[len(self.log) - (self.revision - since) :]:
                since = self._line(side, "changes", writer, entry)
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await changed.wait()
            except TimeoutError:
                self._line(side, "beats", writer, (since, b""))

    def _line(self, side: str, name: str, writer: asyncio.StreamWriter, entry: tuple[int, bytes]) -> int:
        """Write one line; the revision that its reader then has."""
        write_line(writer, entry[1])
        self.tally.note(side, name, len(entry[1]) + len(f"{len(entry[1]) + 1:x}") + 5)
        return entry[0]
