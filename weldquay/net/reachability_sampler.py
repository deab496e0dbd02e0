"""Connection attempts that show whether discovery was reachable between two polls of it.

Two refused polls show nothing about the time between them: discovery may have come up, accepted a change and
gone down again.  A connection attempt costs discovery far less than a poll, so one starts every
SAMPLE_INTERVAL_S while polls fail.  If it is refused, or not established within SAMPLE_TIMEOUT_S, discovery
was unreachable when it started.  If it is established, it is closed without a request, and sampling stops
until discovery sends an update.
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

SAMPLE_INTERVAL_S = 0.075  # causes traffic of 1.3 KB/s, at 100 bytes per attempt
SAMPLE_TIMEOUT_S = 0.4
# Errors of this host, which show nothing about discovery.
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class SampleResult(Enum):
    """What a connection attempt has shown about discovery."""

    PENDING = "pending"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(eq=False, slots=True)
class Sample:
    """A connection attempt; started_ns is on the monotonic clock."""

    started_ns: int
    result: SampleResult = SampleResult.PENDING


class ReachabilitySampler:
    """Samples the reachability of discovery from the failure of a poll or watch until the next update."""

    def __init__(
        self, tasks: Tasks, counters: Counters, on_observation: Callable[[api.DiscoveryObservation], None]
    ) -> None:
        """Run samples in a task group, and pass observations to a callback."""
        self._tasks = tasks
        self._counters = counters
        self._on_observation = on_observation
        self._active_tasks: set[asyncio.Task[None]] = set()
        self._samples: deque[Sample] = deque()  # in the order of their start; the first one is pending
        self._was_reachable = False  # whether discovery was reachable since its last update
        # Since the last report discovery was unreachable throughout this interval (ns); 0: no interval.
        self._outage_from_ns = 0
        self._outage_until_ns = 0

    def start(self, address: Address) -> None:
        """Start sampling, unless it has started or discovery was reachable since the last update."""
        if not self._active_tasks and not self._was_reachable:
            self._start_task(self._sample_periodically(address), "discovery reachability")

    def reset(self) -> None:
        """Stop sampling and discard its results: discovery has sent an update, or its address has changed."""
        self._stop()
        self._was_reachable = False

    def report(self) -> None:
        """Report the interval in which discovery was unreachable, up to the last decided sample."""
        if self._outage_until_ns:
            self._on_observation(api.DiscoveryObservation(self._outage_from_ns, self._outage_until_ns))
            self._outage_from_ns = self._outage_until_ns

    def _start_task(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        task = self._tasks.start(coroutine, name)
        self._active_tasks.add(task)
        task.add_done_callback(self._active_tasks.discard)

    def _stop(self) -> None:
        for task in self._active_tasks:
            task.cancel()
        self._active_tasks = set()
        self._samples.clear()
        self._outage_from_ns = self._outage_until_ns = 0

    async def _sample_periodically(self, address: Address) -> None:
        """Start samples at intervals; a discovery that exits has closed its listener before the first one."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            sample = Sample(time.monotonic_ns())
            self._samples.append(sample)
            self._start_task(self._connect_once(address, sample), "discovery reachability sample")

    async def _connect_once(self, address: Address, sample: Sample) -> None:
        """Make one connection attempt, and record its result."""
        try:
            with socket.socket() as sock:
                sock.setblocking(False)
                async with PeerTimeout(SAMPLE_TIMEOUT_S):
                    await asyncio.get_running_loop().sock_connect(sock, address)
        except OSError as error:  # includes TimeoutError
            is_local = error.errno in LOCAL_ERRORS
            sample.result = SampleResult.UNKNOWN if is_local else SampleResult.UNREACHABLE
            self._process_decided()
        else:
            self._end_outage(sample.started_ns)

    def _process_decided(self) -> None:
        """Extend the interval by the decided samples, in the order in which they started."""
        while self._samples and self._samples[0].result is not SampleResult.PENDING:
            sample = self._samples.popleft()
            if sample.result is SampleResult.UNKNOWN:
                continue
            if self._outage_until_ns and sample.started_ns - self._outage_until_ns > MAX_UNOBSERVED_NS:
                self._counters.add("discovery_unobserved")
                self._end_outage(sample.started_ns)
                return
            self._outage_from_ns = self._outage_from_ns or sample.started_ns
            self._outage_until_ns = sample.started_ns

    def _end_outage(self, at_ns: int) -> None:
        """Report that discovery was reachable, or may have been, and stop sampling."""
        self.report()
        self._stop()
        self._was_reachable = True
        self._counters.add("discovery_reachable_between_polls")
        self._on_observation(api.DiscoveryObservation(at_ns, at_ns, is_reachable=True))
