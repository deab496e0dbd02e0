"""Connection attempts that show whether discovery was reachable between two polls of it.

Two polls that are refused prove nothing about the time between them: discovery may have come up, accepted a
change and gone down again.  A connection attempt costs discovery far less than a poll, so while polls fail
one starts every SAMPLE_INTERVAL_S.  An attempt that is refused, or that does not come up within
SAMPLE_TIMEOUT_S, shows that discovery was unreachable at its start.  An attempt that comes up is closed
without a request, and ends the sampling until discovery sends an update.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum
from typing import Any

from weldquay import interface as api
from weldquay.discovery.list_lease import MAX_UNOBSERVED_NS
from weldquay.net.config import Address
from weldquay.net.counters import Counters
from weldquay.net.peer_timeout import PeerTimeout
from weldquay.net.tasks import Tasks

SAMPLE_INTERVAL_S = 0.075  # at 100 bytes an attempt 1.3 KB/s
SAMPLE_TIMEOUT_S = 0.4
# Errors of this machine, which prove nothing about discovery.
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class SampleResult(Enum):
    """What a connection attempt has shown."""

    PENDING = "pending"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(eq=False, slots=True)
class Sample:
    """A connection attempt; started_ns: on the monotonic clock."""

    started_ns: int
    result: SampleResult = SampleResult.PENDING


class ReachabilitySampler:
    """Samples whether discovery is reachable, from the failure of a poll or a watch to the next update."""

    def __init__(
        self, tasks: Tasks, counters: Counters, on_observation: Callable[[api.DiscoveryObservation], None]
    ) -> None:
        """Run in the group of tasks, and pass observations on."""
        self._tasks = tasks
        self._counters = counters
        self._on_observation = on_observation
        self._running: set[asyncio.Task[None]] = set()
        self._samples: deque[Sample] = deque()  # in the order of their start, from the first undecided one
        self._was_reachable = False  # since the last update
        # The time (ns) throughout which discovery was unreachable, from the last report on; 0: none.
        self._from_ns = 0
        self._until_ns = 0

    def start(self, address: Address) -> None:
        """Sample an address, unless this runs or discovery was reachable since the last update."""
        if not self._running and not self._was_reachable:
            self._start_task(self._run(address), "discovery reachability")

    def reset(self) -> None:
        """Stop, and forget what was seen: discovery has sent an update, or it has another address."""
        self._stop()
        self._was_reachable = False

    def report(self) -> None:
        """Report for how long discovery was unreachable, up to the last sample that is decided."""
        if self._until_ns:
            self._on_observation(api.DiscoveryObservation(self._from_ns, self._until_ns))
            self._from_ns = self._until_ns

    def _start_task(self, work: Coroutine[Any, Any, None], name: str) -> None:
        task = self._tasks.start(work, name)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def _stop(self) -> None:
        for task in self._running:
            task.cancel()
        self._running = set()
        self._samples.clear()
        self._from_ns = self._until_ns = 0

    async def _run(self, address: Address) -> None:
        """Start samples at intervals.  A process that ends closes its listener within the first one."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            sample = Sample(time.monotonic_ns())
            self._samples.append(sample)
            self._start_task(self._attempt(address, sample), "discovery reachability sample")

    async def _attempt(self, address: Address, sample: Sample) -> None:
        """Attempt one connection, and record the result."""
        try:
            with socket.socket() as sock:
                sock.setblocking(False)
                async with PeerTimeout(SAMPLE_TIMEOUT_S):
                    await asyncio.get_running_loop().sock_connect(sock, address)
        except OSError as error:  # TimeoutError is one
            is_local = error.errno in LOCAL_ERRORS
            sample.result = SampleResult.UNKNOWN if is_local else SampleResult.UNREACHABLE
            self._evaluate()
        else:
            self._end_outage(sample.started_ns)

    def _evaluate(self) -> None:
        """Extend the observed time by the samples that are decided, in the order of their start."""
        while self._samples and self._samples[0].result is not SampleResult.PENDING:
            sample = self._samples.popleft()
            if sample.result is SampleResult.UNKNOWN:
                continue
            if self._until_ns and sample.started_ns - self._until_ns > MAX_UNOBSERVED_NS:
                self._counters.add("discovery_unobserved")
                self._end_outage(sample.started_ns)
                return
            self._from_ns = self._from_ns or sample.started_ns
            self._until_ns = sample.started_ns

    def _end_outage(self, at_ns: int) -> None:
        """Report that discovery was reachable, or may have been, and stop."""
        self.report()
        self._stop()
        self._was_reachable = True
        self._counters.add("discovery_reachable_between_polls")
        self._on_observation(api.DiscoveryObservation(at_ns, at_ns, is_reachable=True))
