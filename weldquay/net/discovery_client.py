"""The client of discovery: a watch on its list of match workers.

Rules:
- One request at a time.  Every watch ends in a reported failure; the decision module starts the next one.
- A request without a response is waited for RESPONSE_TIMEOUT_S, connecting included.
- A watch receives at least an empty line every HEARTBEAT_S.  It is broken if none comes for HEARTBEAT_GRACE_S
  more, or if no value is complete within VALUE_TIMEOUT_S.
- A new watch starts from the last known revision, so that its first value has all changes since then.
- A discovery agent on this machine responds at once or not at all, so its timeout is LOCAL_AGENT_TIMEOUT_S.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter

import h11

from weldquay import interface as api
from weldquay.errors import OperatorError
from weldquay.net.config import Config
from weldquay.net.json_stream import JsonStreamParser
from weldquay.net.messages import MessageError, parse_endpoint_list, watch_target
from weldquay.net.peer_timeout import PeerTimeout
from weldquay.net.reachability_sampler import ReachabilitySampler
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

READ_SIZE = 64 * 1024  # bytes
HEARTBEAT_S = 2.0  # the longest time between two lines of a watch
HEARTBEAT_GRACE_S = 0.6  # for a late line; changes count as received 6 s after a watch falls silent
CONNECT_TIMEOUT_S = 1.6  # includes one repeated SYN, which is sent after 1 s
RESPONSE_TIMEOUT_S = 2.4  # discovery queues a request for 2 s at most; two such waits fit in 6 s
QUEUE_FAILURE_S = 0.5  # a request that fails after this time was in discovery's queue
LOCAL_AGENT_TIMEOUT_S = 0.2
MIN_READ_S = 0.05  # received bytes are read even if this process has stalled past the timeout
VALUE_TIMEOUT_S = 3.0  # a value that never ends would hide changes
# After these discovery may be unreachable; where it accepts connections they show nothing more.
SAMPLED_FAILURES = (
    api.DiscoveryFailure.CLOSED,
    api.DiscoveryFailure.HEARTBEAT_TIMEOUT,
    api.DiscoveryFailure.REFUSED,
    api.DiscoveryFailure.CONNECT_TIMEOUT,
)


class DiscoveryTimeout(OperatorError):
    """Discovery has sent nothing for silent_s; has_response: it had accepted the request."""

    error_code = "discovery-silent"
    remedy = "see that discovery runs and is reached from here; the last list is used meanwhile"

    def __init__(self, silent_s: float, has_response: bool) -> None:
        super().__init__(f"no data from discovery for {silent_s:.1f} s")
        self.silent_s = silent_s
        self.has_response = has_response


class DiscoveryUnreachable(DiscoveryTimeout):
    """No connection to discovery was established within silent_s."""

    error_code = "not-reached"
    remedy = "see that discovery's address is right and that the network lets this machine through to it"


class WatchClosed(OperatorError):
    """Discovery has ended the watch, or the connection was lost."""

    error_code = "watch-closed"
    remedy = "see that discovery runs; it is asked again, and the last list is used for a time"


class Unavailable(OperatorError):
    """Discovery has responded that it is down or overloaded."""

    error_code = "unavailable"
    remedy = "see that discovery runs and has room for this fleet's calls; it is asked again"


class DiscoveryClient:
    """The coordinator's `DiscoveryWatcher`: reports lists and failures to its endpoint list adapter."""

    def __init__(self, config: Config, coordinator: RequestCoordinator) -> None:
        self.config = config
        self.revision = config.known.revision
        self._endpoint_list = coordinator.endpoint_list
        self._counters = coordinator.counters
        self._tasks = Tasks()
        self._sampler = ReachabilitySampler(self._tasks, self._counters, self._endpoint_list.on_observation)
        self._watch_task: asyncio.Task[None] | None = None
        self._outage: Counter[str] = Counter()  # failures in a row, by kind
        # The state of the current poll; times in s of the monotonic clock.
        self._polled_at = 0.0
        self._is_connected = False
        self._has_response = False  # a response head with status 200 has arrived
        self._has_value = False  # a complete value has arrived
        self._last_complete_at = 0.0  # when the last complete value arrived; else when the poll began

    def reconfigure(self, config: Config) -> None:
        """Use other settings; a new discovery address is polled for its complete list at once.

        The revisions of another discovery may be counted differently.
        """
        has_moved = config.discovery != self.config.discovery
        self.config = config
        if has_moved:
            self.revision = 0
            self._sampler.report()
            self._sampler.reset()
            self._endpoint_list.on_address_changed()
            self.watch()

    def watch(self) -> None:
        """Watch the changes since the known revision; a current watch is replaced."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._watch_task = self._tasks.start(self._watch(), "discovery watch")

    def resume_sampling(self) -> None:
        """Continue an older process's observation of discovery, which may be down, before the first poll."""
        if not self.config.settings.has_local_discovery_agent:
            self._sampler.start(self.config.discovery)

    def report_observation(self) -> None:
        """Report up to now how long discovery was unreachable, for a process that goes on from there."""
        self._sampler.report()

    async def stop(self) -> None:
        """Stop the watch."""
        await self._tasks.stop()

    async def _watch(self) -> None:
        self._polled_at = time.monotonic()
        self._last_complete_at = self._polled_at
        self._is_connected = False
        self._has_response = False
        self._has_value = False
        failure = api.DiscoveryFailure.CLOSED
        try:
            await self._receive_values()
        except (OSError, h11.RemoteProtocolError, OperatorError) as error:
            failure = self._classify(error)
            self._log_failure(error, failure)
        since_update_s = time.monotonic() - self._last_complete_at
        self._sampler.report()
        self._endpoint_list.on_failure(int(since_update_s * 1e9), failure)
        if failure in SAMPLED_FAILURES and not self.config.settings.has_local_discovery_agent:
            self._sampler.start(self.config.discovery)

    def _log_failure(self, error: Exception, failure: api.DiscoveryFailure) -> None:
        """Count a failure; only the first one in a row is logged."""
        if isinstance(error, DiscoveryTimeout):
            self._counters.add(
                "discovery_heartbeat_timeouts" if error.has_response else "discovery_response_timeouts"
            )
        if not self._outage:
            text = error.advice() if isinstance(error, OperatorError) else str(error)
            log.warning("discovery watch failed, retrying: %s", text or type(error).__name__)
        self._outage[failure.value] += 1

    def _classify(self, error: Exception) -> api.DiscoveryFailure:
        """The kind of failure of a poll or a watch, for the decision module."""
        if isinstance(error, DiscoveryUnreachable):
            return api.DiscoveryFailure.CONNECT_TIMEOUT
        if isinstance(error, DiscoveryTimeout):
            if self._has_value and error.silent_s < VALUE_TIMEOUT_S:
                return api.DiscoveryFailure.HEARTBEAT_TIMEOUT
            return api.DiscoveryFailure.RESPONSE_TIMEOUT
        if not isinstance(error, OSError | WatchClosed | Unavailable):
            return api.DiscoveryFailure.RESPONSE_TIMEOUT
        if not self._is_connected:
            return api.DiscoveryFailure.REFUSED
        if self._has_value:
            return api.DiscoveryFailure.CLOSED
        if self._has_response:
            return api.DiscoveryFailure.RESPONSE_TIMEOUT
        was_queued = time.monotonic() - self._polled_at > QUEUE_FAILURE_S
        return api.DiscoveryFailure.BUSY if was_queued else api.DiscoveryFailure.UNAVAILABLE

    async def _receive_values(self) -> None:
        """Poll discovery, and apply each value of the watch until it fails.

        Raises OSError, h11.RemoteProtocolError, DiscoveryTimeout, WatchClosed, Unavailable, MessageError.
        """
        reader, writer = await self._connect()
        self._is_connected = True
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(self._poll_request(http))
            parser = JsonStreamParser()
            deadline_passed = False
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    remaining_s = self._remaining_s()
                    if remaining_s <= 0 and deadline_passed:
                        raise self._timeout()
                    deadline_passed = remaining_s <= 0
                    http.receive_data(await self._read(reader, max(MIN_READ_S, remaining_s)))
                elif isinstance(event, h11.Response):
                    self._check_status(event.status_code)
                elif isinstance(event, h11.Data):
                    for value in parser.feed(event.data):
                        self._apply(value)
                        self._last_complete_at = time.monotonic()
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise WatchClosed("discovery ended the watch")
        finally:
            writer.transport.abort()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to discovery.  Raises DiscoveryUnreachable after a timeout, OSError if it is refused."""
        is_local_agent = self.config.settings.has_local_discovery_agent
        timeout_s = LOCAL_AGENT_TIMEOUT_S if is_local_agent else CONNECT_TIMEOUT_S
        try:
            async with PeerTimeout(timeout_s):
                return await asyncio.open_connection(*self.config.discovery)
        except TimeoutError:
            raise DiscoveryUnreachable(timeout_s, has_response=False) from None

    def _poll_request(self, http: h11.Connection) -> bytes:
        """The bytes of the request for a watch from the known revision on."""
        host, port = self.config.discovery
        request = h11.Request(
            method=b"GET",
            target=watch_target(self.revision),
            headers=[(b"Host", f"{host}:{port}".encode())],
        )
        return (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")

    def _check_status(self, status: int) -> None:
        """Accept status 200.  Raises Unavailable for 5xx and MessageError for any other."""
        if status >= 500:
            raise Unavailable(f"discovery responded with status {status}")
        if status != 200:
            raise MessageError(f"discovery responded with status {status}")
        self._has_response = True

    def _remaining_s(self) -> float:
        """The time until discovery has to send the next bytes; negative once it has passed."""
        now = time.monotonic()
        if self._has_response:
            return min(HEARTBEAT_S + HEARTBEAT_GRACE_S, self._last_complete_at + VALUE_TIMEOUT_S - now)
        is_local_agent = self.config.settings.has_local_discovery_agent
        timeout_s = LOCAL_AGENT_TIMEOUT_S if is_local_agent else RESPONSE_TIMEOUT_S
        return self._polled_at + timeout_s - now

    async def _read(self, reader: asyncio.StreamReader, timeout_s: float) -> bytes:
        """The next bytes.  Raises DiscoveryTimeout, and WatchClosed at the end of the stream.

        Bytes that have arrived while this process stalled are returned, although the timeout has passed:
        `asyncio.timeout` would cancel their read.
        """
        reading = asyncio.ensure_future(reader.read(READ_SIZE))
        try:
            await asyncio.wait({reading}, timeout=timeout_s)
            if not reading.done():
                raise self._timeout()
            data = reading.result()
            if not data:
                raise WatchClosed("discovery closed the connection")
            return data
        finally:
            reading.cancel()

    def _timeout(self) -> DiscoveryTimeout:
        return DiscoveryTimeout(time.monotonic() - self._last_complete_at, self._has_response)

    def _apply(self, value: bytes) -> None:
        """Apply a value of the watch; an empty one means that nothing has changed.

        Raises MessageError if it is invalid, or older than the known list: that would undo a drain.
        """
        if self._outage:
            kinds = ", ".join(f"{kind} {count}" for kind, count in self._outage.items())
            log.info("discovery responds again after %d failed polls: %s", self._outage.total(), kinds)
            self._outage.clear()
        if not self._has_value:
            self._counters.peak("longest_discovery_response_ms", (time.monotonic() - self._polled_at) * 1000)
            self._has_value = True
            self._sampler.reset()
        if not value:
            self._endpoint_list.on_unchanged()
            return
        update = parse_endpoint_list(value)
        if update.revision < self.revision and not update.is_complete:
            known_revision = self.revision
            self.revision = 0
            raise MessageError(f"the revision went back from {known_revision} to {update.revision}")
        self.revision = update.revision
        kind = api.EndpointListKind.FULL if update.is_complete else api.EndpointListKind.DELTA
        self._endpoint_list.apply(update, kind)
