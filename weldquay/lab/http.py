"""Minimal HTTP/1.1 for the stand-ins: complete messages, without pipelining, on loopback."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass


@dataclass
class Message:
    """An HTTP request or response."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start_line.split()[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start_line.split()[1]

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; header names are converted to lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:-2])}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


def encode_message(start_line: str, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of a message."""
    lines = [start_line, "Host: toy", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def write_line(writer: asyncio.StreamWriter, line: bytes) -> None:
    """Write one line as a chunk of a chunked response."""
    writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))


async def request(address: str, data: bytes) -> Message:
    """Send one request on a new connection and return the response."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await read_message(reader)
    finally:
        writer.close()


class Pool:
    """A pool of persistent connections to one address, with one request at a time on each."""

    def __init__(self, address: str) -> None:
        self.host, port = address.split(":")
        self.port = int(port)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send_request(self, data: bytes) -> Message:
        """Send a request and return the response; repeat it if a reused connection was closed."""
        while self.idle:
            reused = self.idle.pop()
            try:
                return await self._exchange(reused, data)
            except (asyncio.IncompleteReadError, ConnectionError):
                continue  # a server may close an idle connection at any time
        return await self._exchange(await self.connect(), data)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a new connection."""
        return await asyncio.open_connection(self.host, self.port)

    async def _exchange(
        self,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        data: bytes,
    ) -> Message:
        reader, writer = connection
        keep_open = False
        try:
            writer.write(data)
            answer = await read_message(reader)
            keep_open = answer.headers.get("connection", "") != "close"
            if keep_open:
                self.idle.append(connection)
            return answer
        finally:
            if not keep_open:
                writer.transport.abort()

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self.idle:
            writer.transport.abort()
        self.idle.clear()


class Server:
    """A server on loopback that handles the messages of each connection in order.

    It may listen at several addresses, one per caller; `caller` returns which of them a connection uses.
    """

    def __init__(self) -> None:
        self.servers: list[asyncio.Server] = []
        self.writers: dict[asyncio.StreamWriter, asyncio.Task[None] | None] = {}
        self.stopping = False

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 is one that the system chooses."""
        self.servers.append(await asyncio.start_server(self._serve, "127.0.0.1", port))

    async def start_on(self, sock: socket.socket) -> None:
        """Listen on a bound socket."""
        self.servers.append(await asyncio.start_server(self._serve, sock=sock))

    @property
    def address(self) -> str:
        """The first address that it listens on, as HOST:PORT."""
        return self.address_for(0)

    def address_for(self, caller: int) -> str:
        """Return the address for a caller, as HOST:PORT."""
        return "{}:{}".format(*self.servers[caller].sockets[0].getsockname())

    def caller(self, writer: asyncio.StreamWriter) -> int:
        """Return the index of the caller of a connection, by its local address."""
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
            if not self.stopping:  # `stop` cancels this task, and nothing awaits it
                raise
        finally:
            self.writers.pop(writer, None)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Respond to one message."""
        raise NotImplementedError
