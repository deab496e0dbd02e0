"""Stand-in discovery under load: changes the list at a fixed rate, counts the bytes sent to each side."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from typing import Any

from weldquay.lab.http import Message, write_line
from weldquay.lab.scale.counts import MessageCounter, message_size, peer_side
from weldquay.lab.servers import HEARTBEAT_S, Discovery

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ChangingDiscovery(Discovery):
    """Discovery whose watch sends the list, then each change.

    A watch begins with the whole list, or with the changes since the reader's revision where these are known.
    Without a change it sends an empty line every 2 s as a heartbeat.
    """

    def __init__(self, counter: MessageCounter) -> None:
        super().__init__()
        self.counter = counter
        self.change_log: list[tuple[int, bytes]] = []  # each revision with the encoded change that led to it
        self.encoded_list: tuple[int, bytes] = (0, b"")  # a revision and the encoded whole list of it

    def toggle_draining(self, worker_id: str) -> None:
        """Mark a serving worker as draining, or a draining one as serving, and notify all watches."""
        member = self.members[worker_id]
        member["phase"] = "DRAINING" if member["phase"] == "SERVING" else "SERVING"
        self.revision += 1
        update: dict[str, Any] = {"revision": self.revision, "complete": False, "members": [member]}
        self.change_log.append((self.revision, json.dumps(update).encode()))
        before, self.changed = self.changed, asyncio.Event()
        before.set()

    async def run_changes(self, rate: float, seed: int) -> None:
        """Make `rate` changes to the list per second, until cancelled.

        Every other change marks as serving the worker that the change before it marked as draining.
        """
        rng, names = random.Random(seed), sorted(self.members)
        loop, draining = asyncio.get_running_loop(), ""
        start_s = loop.time()
        for number in itertools.count(1):
            await asyncio.sleep(max(0.0, start_s + number / rate - loop.time()))
            draining, chosen = ("", draining) if draining else (rng.choice(names),) * 2
            self.toggle_draining(chosen)
            self.counter["discovery.changes"] += 1

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Serve a watch that starts after the revision in its query."""
        side = peer_side(writer)
        self.counter.count_message(side, "asks", message_size(message) + len(RESPONSE_HEAD))
        writer.write(RESPONSE_HEAD)
        since = int(message.target.rpartition("since=")[2] or 0)
        if not self.change_log or since < self.change_log[0][0] - 1:
            if self.encoded_list[0] != self.revision:
                self.encoded_list = self.revision, json.dumps(self.list_document()).encode()
            since = self._send_line(side, "lists", writer, self.encoded_list)
        while not writer.is_closing():
            changed = self.changed
            for revision_line in self.change_log[len(self.change_log) - (self.revision - since) :]:
                since = self._send_line(side, "changes", writer, revision_line)
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await changed.wait()
            except TimeoutError:
                self._send_line(side, "beats", writer, (since, b""))

    def _send_line(
        self, side: str, name: str, writer: asyncio.StreamWriter, revision_line: tuple[int, bytes]
    ) -> int:
        """Write one line, count it, and return its revision."""
        write_line(writer, revision_line[1])
        self.counter.count_message(
            side, name, len(revision_line[1]) + len(f"{len(revision_line[1]) + 1:x}") + 5
        )
        return revision_line[0]
