"""A client that sends small or unsound requests on one connection as fast as the dispatcher reads them.

It runs in a thread of its own, so that the stand-ins' event loop does not slow it down, and reads whatever is
sent to it.
"""

from __future__ import annotations

import math
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from enum import Enum

BATCH_REQUESTS = 100  # requests that are serialized at a time
BURST_BYTES = 240 * 1024  # just below the limit on the read-ahead of one connection
BURST_PAUSE_S = 0.3
LARGE_CALLBACK_OBJECTS = 20_000
RECEIVE_BYTES = 256 * 1024
POLL_MS = 50
RECONNECT_DELAY_S = 0.002


class FastBehaviour(Enum):
    """What the client sends, always under new names."""

    CALLBACKS = "callbacks about unknown requests"
    SHORT_JOBS = "jobs whose time is almost over"
    LONG_JOBS = "jobs with a deadline a day away"
    NEW_KEYS = "jobs with new object keys and hints"
    BAD_REQUESTS = "requests that are rejected, on ever new connections"
    BAD_CALLBACKS = "callbacks with numbers that are out of range, on ever new connections"
    CHUNK_EXTENSIONS = "a chunk head that grows by a byte at a time"
    LONG_CHUNK_EXTENSIONS = "chunk heads of many kilobytes, on ever new connections"
    BLANK_LINES = "blank lines before a request"
    READ_AHEAD_BURSTS = "a job, and as many callbacks behind it as are read ahead"
    LARGE_CALLBACKS = "callbacks whose bodies hold thousands of JSON objects"


CHUNK_EXTENSION_START = (
    b"POST /lookup HTTP/1.1\r\nHost: f\r\nX-Correlation-Id: fast-ext\r\nTransfer-Encoding: chunked\r\n\r\n1;"
)
CHUNK_EXTENSION_BYTES = 4000
LONG_EXTENSION_BYTES = 17_000


def _job(number: int, headers: str = "") -> bytes:
    return (
        f"POST /lookup HTTP/1.1\r\nHost: f\r\nX-Correlation-Id: fast-{number}\r\n{headers}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


def _callback(number: int, more: str = "") -> bytes:
    body = f'{{"id":"fast-{number}","from":"w-{number}","state":"started"{more}}}'
    return f"POST /callback HTTP/1.1\r\nHost: f\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


def _large_callback(number: int) -> bytes:
    return _callback(number, ',"more":[' + "{}," * LARGE_CALLBACK_OBJECTS + "{}]")


REQUESTS: dict[FastBehaviour, Callable[[int], bytes]] = {
    FastBehaviour.CALLBACKS: _callback,
    FastBehaviour.SHORT_JOBS: lambda number: _job(number, "X-Time-Left-Ms: 1\r\n"),
    FastBehaviour.LONG_JOBS: lambda number: _job(number, "X-Time-Left-Ms: 86400000\r\n"),
    FastBehaviour.NEW_KEYS: lambda number: _job(
        number, f"X-Time-Left-Ms: 20\r\nCookie: obj=k{number}\r\nX-Weight-Hint: {number + 1}\r\n"
    ),
    FastBehaviour.BAD_REQUESTS: lambda number: _job(number, "X-Time-Left-Ms: soon\r\n"),
    FastBehaviour.BAD_CALLBACKS: lambda number: _callback(
        number, ',"load":{"svc_ms":1' + "0" * 400 + ',"pending":0,"x0":1,"x1":1}'
    ),
    FastBehaviour.BLANK_LINES: lambda number: b"\r\n" * 50 + _callback(number),
    FastBehaviour.LARGE_CALLBACKS: _large_callback,
}


class FastPeer:
    """The client; `run` blocks until its time is over or it is stopped."""

    def __init__(self, address: str, behaviour: FastBehaviour) -> None:
        host, port = address.split(":")
        self.address = (host, int(port))
        self.behaviour = behaviour
        self.stopped = threading.Event()
        self.received_bytes = 0
        self.sent_bytes = 0
        self.connections = 0
        self._number = 0  # of the last request
        self._wait_until = 0.0  # nothing is sent before this time of the monotonic clock (s)

    def run(self, duration_s: float) -> None:
        """Send for a time, on a new connection whenever the last one has ended."""
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at and not self.stopped.is_set():
            with suppress(OSError), socket.create_connection(self.address, timeout=1.0) as sock:
                self.connections += 1
                self._wait_until = 0.0
                self._exchange(sock, self._batches(), ends_at)
            time.sleep(RECONNECT_DELAY_S)

    def _exchange(self, sock: socket.socket, batches: Iterator[bytes], ends_at: float) -> None:
        """Send and receive until the connection or the time ends."""
        sock.setblocking(False)
        poll = select.poll()
        poll.register(sock)
        pending = memoryview(next(batches))
        while time.monotonic() < ends_at and not self.stopped.is_set():
            is_waiting = time.monotonic() < self._wait_until
            events = select.POLLIN if is_waiting else select.POLLIN | select.POLLOUT
            poll.modify(sock, events)
            ready = sum(found for _, found in poll.poll(POLL_MS))
            if ready & ~select.POLLOUT:
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    return
                self.received_bytes += len(data)
            if ready & select.POLLOUT:
                sent = sock.send(pending)
                self.sent_bytes += sent
                pending = pending[sent:] or memoryview(next(batches))

    def _batches(self) -> Iterator[bytes]:
        if self.behaviour is FastBehaviour.CHUNK_EXTENSIONS:
            while True:
                yield CHUNK_EXTENSION_START
                for _ in range(CHUNK_EXTENSION_BYTES):
                    yield b" "
        if self.behaviour is FastBehaviour.LONG_CHUNK_EXTENSIONS:
            yield CHUNK_EXTENSION_START + b" " * LONG_EXTENSION_BYTES
            self._wait_until = math.inf  # until the connection is closed
            yield b"\n"
        if self.behaviour is FastBehaviour.READ_AHEAD_BURSTS:
            yield from self._bursts()
        serialize = REQUESTS[self.behaviour]
        while True:
            yield b"".join(serialize(self._next_number()) for _ in range(BATCH_REQUESTS))

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _bursts(self) -> Iterator[bytes]:
        callbacks = b""
        while len(callbacks) < BURST_BYTES:
            callbacks += _callback(len(callbacks))
        while True:
            yield _job(self._next_number(), "X-Time-Left-Ms: 1000\r\n") + callbacks
            self._wait_until = time.monotonic() + BURST_PAUSE_S
