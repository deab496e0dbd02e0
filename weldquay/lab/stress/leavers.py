"""Clients that leave with many requests unread, and clients that send an id again after they have left."""

from __future__ import annotations

import socket
import struct
import time
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

PIPELINED_JOBS = 400
MANY_PIPELINED_JOBS = 8000
STAY_S = (0.002, 0.01, 0.03)  # how long clients stay after they have written, in turn
PAUSE_S = 0.05  # between two clients
TIME_LEFT_MS = 2000
NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset


class LeaverBehaviour(Enum):
    """How a client leaves."""

    CLOSE = "closes with many pipelined requests unread"
    RESET = "resets the connection with many pipelined requests unread"
    CLOSE_MUCH_UNREAD = "closes with megabytes of pipelined requests unread"
    SAME_ID = "closes after one request, and sends the same id again on a new connection"


@dataclass
class Leavers:
    """Clients that leave one after the other; `run` blocks.

    Attributes:
        address: the dispatcher.
        behaviour: how they leave.
        left_at: when the client of each request id left, on the monotonic clock (s).
        clients: the number of clients.
        prefix: the start of all request ids.
    """

    address: str
    behaviour: LeaverBehaviour
    left_at: dict[str, float] = field(default_factory=dict)
    clients: int = 0
    prefix: str = ""

    def run(self, duration_s: float) -> None:
        """Let clients come and leave for a time."""
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            self.clients += 1
            stay_s = STAY_S[self.clients % len(STAY_S)]
            if self.behaviour is LeaverBehaviour.SAME_ID:
                request_id = f"{self.prefix}again-{self.clients}"
                for _ in range(2):
                    self._send_and_leave([request_id], stay_s)
            else:
                is_much = self.behaviour is LeaverBehaviour.CLOSE_MUCH_UNREAD
                jobs = MANY_PIPELINED_JOBS if is_much else PIPELINED_JOBS
                self._send_and_leave(
                    [f"{self.prefix}leaver-{self.clients}-{number}" for number in range(jobs)], stay_s
                )
            time.sleep(PAUSE_S)

    def _send_and_leave(self, request_ids: list[str], stay_s: float) -> None:
        path = "/import" if self.behaviour is LeaverBehaviour.SAME_ID else "/lookup"
        data = b"".join(
            f"POST {path} HTTP/1.1\r\nHost: l\r\nX-Correlation-Id: {request_id}\r\n"
            f"X-Time-Left-Ms: {TIME_LEFT_MS}\r\nContent-Length: 0\r\n\r\n".encode()
            for request_id in request_ids
        )
        host, port = self.address.split(":")
        with suppress(OSError), socket.create_connection((host, int(port)), timeout=1.0) as sock:
            sock.sendall(data)
            time.sleep(stay_s)
            if self.behaviour is LeaverBehaviour.RESET:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        left_at = time.monotonic()
        for request_id in request_ids:
            self.left_at[request_id] = left_at
