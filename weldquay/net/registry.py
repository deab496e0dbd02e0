"""The registry: the watch on discovery's list of match workers."""

from __future__ import annotations

import asyncio
import logging
import time

import h11

from weldquay import interface as api
from weldquay.net.config import Config
from weldquay.net.exchange import Exchange
from weldquay.net.messages import MessageError, members, watch_target
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

READ_SIZE = 64 * 1024
SILENCE_S = 5.0  # a watch tells at least an empty line every 2 s; one silent for this long is dead
LINE_S = 10.0  # a line is whole by then: one that never ends would pass for a watch that tells of no change
MAX_LINE = 4 * 1024 * 1024


class Registry:
    """Discovery as the exchange's RegistrySide.  Every watch is answered; its end is told as a failure."""

    def __init__(self, config: Config, exchange: Exchange) -> None:
        self.config, self.exchange = config, exchange
        self.tasks = Tasks()
        self.revision = config.known.revision
        self.watching: asyncio.Task[None] | None = None

    def move(self, config: Config) -> None:
        """Follow discovery to its new address, from the whole list on: its revisions may be counted anew."""
        if config.discovery != self.config.discovery:
            self.config, self.revision = config, 0
            self.watch()

    def watch(self) -> None:
        """Ask for the changes since the list that is known; a watch under way is replaced."""
        if self.watching is not None:
            self.watching.cancel()
        self.watching = self.tasks.start(self._watch(), "watch on discovery")

    async def stop(self) -> None:
        """End the watch."""
        await self.tasks.stop()

    async def _watch(self) -> None:
        try:
            await self._follow()
        except (OSError, h11.RemoteProtocolError, MessageError) as error:
            log.info("the watch on discovery ended: %s", error or type(error).__name__)
        self.exchange.list_failed()

    async def _follow(self) -> None:
        """Tell the exchange of each line of a watch, until the watch ends."""
        host, port = self.config.discovery
        async with asyncio.timeout(SILENCE_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(http.send(h11.Request(
                method=b"GET", target=watch_target(self.revision),
                headers=[(b"Host", f"{host}:{port}".encode())])) or b"")
            writer.write(http.send(h11.EndOfMessage()) or b"")
            lines, whole_at = bytearray(), time.monotonic()
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    left_s = whole_at + LINE_S - time.monotonic()
                    async with asyncio.timeout(min(SILENCE_S, max(0.0, left_s))):
                        http.receive_data(await reader.read(READ_SIZE))
                elif isinstance(event, h11.Response) and event.status_code != 200:
                    raise MessageError(f"it answered {event.status_code}")
                elif isinstance(event, h11.Response):
                    self.exchange.list_told()
                elif isinstance(event, h11.Data):
                    lines += event.data
                    if len(lines) > MAX_LINE:
                        raise MessageError("a line is too long")
                    *whole, lines = lines.split(b"\n")
                    for line in whole:
                        self._line(line)
                        whole_at = time.monotonic()
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise MessageError("it closed")
        finally:
            writer.transport.abort()

    def _line(self, line: bytearray) -> None:
        if line.strip():
            told = members(line)
            self.revision = told.revision
            self.exchange.follow(told, api.ListKind.FULL if told.complete else api.ListKind.DELTA)
        self.exchange.list_told()
