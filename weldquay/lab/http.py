"""HTTP/1.1 as the stand-ins speak it: whole messages, one after another, on loopback."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass


@dataclass
class Message:
    """An HTTP request or answer."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """GET, POST or DELETE."""
        return self.start.split()[0]

    @property
    def target(self) -> str:
        """Path and query."""
        return self.start.split()[1]

    @property
    def status(self) -> int:
        """An answer's number."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; header names come in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:-2])}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


def write_message(start: str, body: bytes = b"", *headers: str) -> bytes:
    """The bytes of a message."""
    lines = [start, "Host: toy", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def write_line(writer: asyncio.StreamWriter, line: bytes) -> None:
    """Write one line as a chunk of a chunked answer."""
    writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))


async def request(address: str, data: bytes) -> Message:
    """Send one request on a connection of its own and read the answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await read_message(reader)
    finally:
        writer.close()


class Pool:
    """Connections to one address that are kept between requests; one request at a time on each."""

    def __init__(self, address: str) -> None:
        self.host, port = address.split(":")
        self.port = int(port)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, data: bytes) -> Message:
        """Send a request and read its answer; once more on a new connection where a kept one has ended."""
        while self.idle:
            kept = self.idle.pop()
            try:
                return await self._ask(kept, data)
            except (asyncio.IncompleteReadError, ConnectionError):
                continue  # closed between two requests, as servers may
        return await self._ask(await self.connect(), data)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A new connection."""
        return await asyncio.open_connection(self.host, self.port)

    async def _ask(
        self,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        data: bytes,
    ) -> Message:
        reader, writer = connection
        kept = False
        try:
            writer.write(data)
            answer = await read_message(reader)
            kept = answer.headers.get("connection", "") != "close"
            if kept:
                self.idle.append(connection)
            return answer
        finally:
            if not kept:
                writer.transport.abort()

    def close(self) -> None:
        """Close what is kept."""
        for _, writer in self.idle:
            writer.transport.abort()
        self.idle.clear()


class Server:
    """Something that listens on the loopback and answers one message after another.

    It may listen at several addresses, one for each of those that call it; `caller` tells them apart.
    """

    def __init__(self) -> None:
        self.servers: list[asyncio.Server] = []
        self.writers: dict[asyncio.StreamWriter, asyncio.Task[None] | None] = {}
        self.stopping = False

    async def start(self, port: int = 0) -> None:
        """Listen; on a port that the system chooses where none is given."""
        self.servers.append(await asyncio.start_server(self._serve, "127.0.0.1", port))

    async def start_on(self, sock: socket.socket) -> None:
        """Listen on a socket that is bound already."""
        self.servers.append(await asyncio.start_server(self._serve, sock=sock))

    @property
    def address(self) -> str:
        """HOST:PORT where it listens first."""
        return self.address_for(0)

    def address_for(self, caller: int) -> str:
        """HOST:PORT where a caller reaches it."""
        return "{}:{}".format(*self.servers[caller].sockets[0].getsockname())

    def caller(self, writer: asyncio.StreamWriter) -> int:
        """Who calls on a connection, by the address that it came to."""
        port = writer.get_extra_info("sockname")[1]
        ports = [server.sockets[0].getsockname()[1] for server in self.servers if server.sockets]
        return ports.index(port)

    def stop(self) -> None:
        """Close the listeners and all connections."""
        self.stopping = True
        for server in self.servers:
            server.close()
        for writer, task in list(self.writers.items()):
            writer.transport.abort()
            if task is not None:
                task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = asyncio.current_task()
        try:
            while True:
                await self.answer(await read_message(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.transport.abort()
        except asyncio.CancelledError:
            if not self.stopping:  # else its own end, which nobody waits for
                raise
        finally:
            self.writers.pop(writer, None)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one message."""
        raise NotImplementedError
