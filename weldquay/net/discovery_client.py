"""The client of discovery: polls and watches its list of match workers.

A poll is one HTTP request.  Its response is a watch: a stream of JSON values, with empty lines as heartbeats.

- There is one request at a time.  Every watch ends with a reported failure, after which the decision module
  starts the next one.
- A request times out if no response arrives within RESPONSE_TIMEOUT_S, connecting included.
- Discovery sends at least an empty line every HEARTBEAT_S.  A watch fails if nothing arrives for
  HEARTBEAT_GRACE_S longer, or if no value is complete within VALUE_TIMEOUT_S.
- A new watch starts from the last known revision, so that its first value has all changes since then.
- A discovery agent on this machine responds immediately or not at all, so its timeout is
  LOCAL_AGENT_TIMEOUT_S.
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
from weldquay.net.http_receiver import HttpReceiver
from weldquay.net.json_stream import JsonStreamParser
from weldquay.net.messages import MessageError, parse_endpoint_list, watch_target
from weldquay.net.peer_timeout import PeerTimeout
from weldquay.net.reachability_sampler import ReachabilitySampler
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.streams import CountingReader, connect
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

READ_SIZE = 16 * 1024  # bytes
HEARTBEAT_S = 2.0  # maximum interval between two lines of a watch
HEARTBEAT_GRACE_S = 0.6  # tolerated delay of a line; a missed change is deemed known 6 s after the last line
CONNECT_TIMEOUT_S = 1.6  # allows for one SYN retransmission, which is sent after 1 s
RESPONSE_TIMEOUT_S = 2.4  # discovery queues a request for up to 2 s; two such waits fit into 6 s
QUEUE_FAILURE_S = 0.5  # a request that fails later than this has waited in discovery's queue
LOCAL_AGENT_TIMEOUT_S = 0.2
MIN_READ_S = 0.05  # shortest wait for bytes, so that those that arrived while this process stalled are read
VALUE_TIMEOUT_S = 3.0  # limit for each value; one that is never complete would hide later changes
# After these failures discovery may be unreachable, which connection attempts show.  After the others it has
# accepted a connection, so that another one would show nothing new.
SAMPLED_FAILURES = (
    api.DiscoveryFailure.CLOSED,
    api.DiscoveryFailure.HEARTBEAT_TIMEOUT,
    api.DiscoveryFailure.REFUSED,
    api.DiscoveryFailure.CONNECT_TIMEOUT,
)


class DiscoveryTimeout(OperatorError):
    """Discovery has sent no complete value for idle_s; has_response: it had accepted the request."""

    error_code = "discovery-silent"
    remedy = "check that discovery runs and is reachable from this host; the last list is used meanwhile"

    def __init__(self, idle_s: float, has_response: bool) -> None:
        super().__init__(f"no data from discovery for {idle_s:.1f} s")
        self.idle_s = idle_s
        self.has_response = has_response


class DiscoveryUnreachable(DiscoveryTimeout):
    """No connection to discovery was established within idle_s."""

    error_code = "not-reached"
    remedy = "check discovery's address and that the network allows connections to it from this host"


class WatchClosed(OperatorError):
    """Discovery has ended the watch or closed the connection."""

    error_code = "watch-closed"
    remedy = "check that discovery runs; it is polled again, and the last list is used for a limited time"


class Unavailable(OperatorError):
    """Discovery has responded with a 5xx status: it is down or overloaded."""

    error_code = "unavailable"
    remedy = "check that discovery runs and has capacity for this fleet's polls; it is polled again"


class DiscoveryClient:
    """The coordinator's `DiscoveryWatcher`; reports lists and failures to its endpoint list adapter."""

    def __init__(self, config: Config, coordinator: RequestCoordinator) -> None:
        self.config = config
        self.revision = config.known.revision
        self._endpoint_list = coordinator.endpoint_list
        self._counters = coordinator.counters
        self._tasks = Tasks()
        self._sampler = ReachabilitySampler(self._tasks, self._counters, self._endpoint_list.on_observation)
        self._watch_task: asyncio.Task[None] | None = None
        # The number of failed polls since the last value, by the kind of failure.
        self._consecutive_failures: Counter[str] = Counter()
        # The state of the current poll; times are seconds of the monotonic clock.
        self._polled_at = 0.0
        self._is_connected = False
        self._has_response = False  # a response head with status 200 has arrived
        self._has_value = False  # a complete value has arrived
        self._last_value_at = 0.0  # when the last complete value arrived, or the poll began

    def reconfigure(self, config: Config) -> None:
        """Use another configuration; a new discovery address is polled for its complete list at once.

        The known revision is reset, since another discovery may count revisions differently.
        """
        has_new_address = config.discovery != self.config.discovery
        self.config = config
        if has_new_address:
            self.revision = 0
            self._sampler.report()
            self._sampler.reset()
            self._endpoint_list.on_address_changed()
            self.watch()

    def watch(self) -> None:
        """Watch for changes since the known revision; this replaces the current watch."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._watch_task = self._tasks.start(self._watch(), "discovery watch")

    def resume_sampling(self) -> None:
        """Sample discovery before the first poll, as the older process did: it may be down."""
        if not self.config.settings.has_local_discovery_agent:
            self._sampler.start(self.config.discovery)

    def report_observation(self) -> None:
        """Report how long discovery has been unreachable, so that a newer process can go on from there."""
        self._sampler.report()

    async def stop(self) -> None:
        """Stop the watch."""
        await self._tasks.stop()

    async def _watch(self) -> None:
        self._polled_at = time.monotonic()
        self._last_value_at = self._polled_at
        self._is_connected = False
        self._has_response = False
        self._has_value = False
        failure = api.DiscoveryFailure.CLOSED
        try:
            await self._receive_values()
        except (OSError, h11.RemoteProtocolError, OperatorError) as error:
            failure = self._classify(error)
            self._log_failure(error, failure)
        except Exception:  # without a failure to report, discovery would never be polled again
            log.exception("discovery watch failed unexpectedly, retrying")
            self._counters.add("discovery_watches_failed")
            failure = api.DiscoveryFailure.RESPONSE_TIMEOUT
        since_update_s = time.monotonic() - self._last_value_at
        self._sampler.report()
        self._endpoint_list.on_failure(int(since_update_s * 1e9), failure)
        if failure in SAMPLED_FAILURES and not self.config.settings.has_local_discovery_agent:
            self._sampler.start(self.config.discovery)

    def _log_failure(self, error: Exception, failure: api.DiscoveryFailure) -> None:
        """Count a failure, and log it if it is the first of consecutive ones."""
        if isinstance(error, DiscoveryTimeout):
            self._counters.add(
                "discovery_heartbeat_timeouts" if error.has_response else "discovery_response_timeouts"
            )
        if not self._consecutive_failures:
            text = error.advice() if isinstance(error, OperatorError) else str(error)
            log.warning("discovery watch failed, retrying: %s", text or type(error).__name__)
        self._consecutive_failures[failure.value] += 1

    def _classify(self, error: Exception) -> api.DiscoveryFailure:
        """Return the kind of the failure, for the decision module."""
        if isinstance(error, DiscoveryUnreachable):
            return api.DiscoveryFailure.CONNECT_TIMEOUT
        if isinstance(error, DiscoveryTimeout):
            if self._has_value and error.idle_s < VALUE_TIMEOUT_S:
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
        """Poll discovery, and apply each value of the watch until the watch fails.

        Raises OSError, h11.RemoteProtocolError, DiscoveryTimeout, WatchClosed, Unavailable, MessageError.
        """
        reader, writer = await self._connect()
        self._is_connected = True
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(self._poll_request(http))
            receiver = HttpReceiver(http)
            parser = JsonStreamParser()
            deadline_passed = False
            while True:
                event = receiver.next_event()
                if event is h11.NEED_DATA:
                    remaining_s = self._remaining_s()
                    if remaining_s <= 0 and deadline_passed:
                        raise self._timeout_error()
                    deadline_passed = remaining_s <= 0
                    if reader.buffered_bytes:
                        await asyncio.sleep(0)  # a read of buffered bytes does not give way to other tasks
                    receiver.receive_data(await self._read(reader, max(MIN_READ_S, remaining_s)))
                elif isinstance(event, h11.Response):
                    self._check_status(event.status_code)
                elif isinstance(event, h11.Data):
                    for value in parser.feed(event.data):
                        self._apply_value(value)
                        self._last_value_at = time.monotonic()
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise WatchClosed("discovery ended the watch")
        finally:
            writer.transport.abort()

    async def _connect(self) -> tuple[CountingReader, asyncio.StreamWriter]:
        """Connect to discovery.  Raises DiscoveryUnreachable on a timeout, OSError on another failure."""
        is_local_agent = self.config.settings.has_local_discovery_agent
        timeout_s = LOCAL_AGENT_TIMEOUT_S if is_local_agent else CONNECT_TIMEOUT_S
        try:
            async with PeerTimeout(timeout_s):
                return await connect(*self.config.discovery, READ_SIZE)
        except TimeoutError:
            raise DiscoveryUnreachable(timeout_s, has_response=False) from None

    def _poll_request(self, http: h11.Connection) -> bytes:
        """Return the bytes of the request for a watch since the known revision."""
        host, port = self.config.discovery
        request = h11.Request(
            method=b"GET",
            target=watch_target(self.revision),
            headers=[(b"Host", f"{host}:{port}".encode())],
        )
        return (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")

    def _check_status(self, status: int) -> None:
        """Accept status 200.  Raises Unavailable for 5xx and MessageError for any other status."""
        if status >= 500:
            raise Unavailable(f"discovery responded with status {status}")
        if status != 200:
            raise MessageError(f"discovery responded with status {status}")
        self._has_response = True

    def _remaining_s(self) -> float:
        """Return the time left for discovery to send the next bytes; negative once it has passed."""
        now = time.monotonic()
        if self._has_response:
            return min(HEARTBEAT_S + HEARTBEAT_GRACE_S, self._last_value_at + VALUE_TIMEOUT_S - now)
        is_local_agent = self.config.settings.has_local_discovery_agent
        timeout_s = LOCAL_AGENT_TIMEOUT_S if is_local_agent else RESPONSE_TIMEOUT_S
        return self._polled_at + timeout_s - now

    async def _read(self, reader: asyncio.StreamReader, timeout_s: float) -> bytes:
        """Return the next bytes.  Raises DiscoveryTimeout, and WatchClosed at the end of the stream.

        Bytes that arrived while this process stalled are returned even if the timeout has passed, which
        `asyncio.timeout` would not do: it would cancel the read.
        """
        read_task = asyncio.ensure_future(reader.read(READ_SIZE))
        try:
            await asyncio.wait({read_task}, timeout=timeout_s)
            if not read_task.done():
                raise self._timeout_error()
            data = read_task.result()
            if not data:
                raise WatchClosed("discovery closed the connection")
            return data
        finally:
            read_task.cancel()

    def _timeout_error(self) -> DiscoveryTimeout:
        return DiscoveryTimeout(time.monotonic() - self._last_value_at, self._has_response)

    def _apply_value(self, value: bytes) -> None:
        """Apply a value of the watch; an empty one is a heartbeat.

        Raises MessageError if it is invalid or a change older than the known list, which would undo a drain.
        """
        if self._consecutive_failures:
            kinds = ", ".join(f"{kind} {count}" for kind, count in self._consecutive_failures.items())
            log.info(
                "discovery responds again after %d failed polls: %s",
                self._consecutive_failures.total(),
                kinds,
            )
            self._consecutive_failures.clear()
        if not self._has_value:
            self._counters.record_peak(
                "longest_discovery_response_ms", (time.monotonic() - self._polled_at) * 1000
            )
            self._has_value = True
            self._sampler.reset()
        if not value:
            self._endpoint_list.on_unchanged()
            return
        update = parse_endpoint_list(value)
        if update.revision < self.revision and not update.is_complete:
            known_revision = self.revision
            self.revision = 0
            raise MessageError(f"revision decreased from {known_revision} to {update.revision}")
        self.revision = update.revision
        kind = api.EndpointListKind.FULL if update.is_complete else api.EndpointListKind.DELTA
        self._endpoint_list.apply(update, kind)
