"""The registry: the watch on discovery's list of match workers.

Rules: one call at a time.  A call that discovery has not answered is waited for as long as its queue may hold
it, connecting included, and two such calls fit in the list's one clock.  A watch tells at least an empty line
every BEAT_S.  One that tells nothing for LATE_S more, or makes no value whole in VALUE_S, is broken and asked
for anew from the revision that is known, so that all that was missed comes first; when, the decisions say.
They are told since when nothing whole has come, and whether discovery was reached.  Where an agent of this
machine has the list it answers at once, or is silent while discovery is down: it is not waited for.
"""

from __future__ import annotations

import asyncio
import logging
import time

import h11

from weldquay import interface as api
from weldquay.errors import OperatorError
from weldquay.net.config import Config
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.json_stream import JsonStreamParser
from weldquay.net.messages import MessageError, parse_endpoint_list, watch_target
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

READ_SIZE = 64 * 1024
BEAT_S = 2.0  # a watch tells at least an empty line so often
LATE_S = 0.6  # and a line may be so late; what a silent watch misses counts as told 6 s after it fell silent
CONNECT_S = (
    1.6  # a connection is up by then, with one SYN sent again after 1 s; else discovery is not reached
)
ANSWER_S = 2.4  # discovery holds a call 2 s at most; twice that and the waits between fit in the clock's 6 s
BUSY_S = 0.5  # a call that discovery ends after so long has waited in its queue
NEAR_S = 0.2  # an agent on this machine answers at once: right after an outage what it has counts as told
LEAST_S = 0.05  # what has come is read once more, however long this dispatcher has stalled
VALUE_S = 3.0  # a value is whole by then: one that never ends would pass for a watch that tells of no change


class DiscoveryTimeout(OperatorError):
    """The watch, or discovery before its answer, has told nothing for silent_s."""

    error_code = "discovery-silent"
    remedy = "see that discovery runs and is reached from here; the last list is used meanwhile"

    def __init__(self, silent_s: float, answered: bool) -> None:
        super().__init__(f"silent for {silent_s:.1f} s")
        self.silent_s, self.answered = silent_s, answered


class DiscoveryUnreachable(DiscoveryTimeout):
    """No connection to discovery came up in silent_s."""

    error_code = "not-reached"
    remedy = "see that discovery's address is right and that the network lets this machine through to it"


class WatchClosed(OperatorError):
    """Discovery has ended the call, or its connection was lost."""

    error_code = "watch-closed"
    remedy = "see that discovery runs; it is asked again, and the last list is used for a time"


class Unavailable(OperatorError):
    """Discovery has answered that it is down or too busy."""

    error_code = "unavailable"
    remedy = "see that discovery runs and has room for this fleet's calls; it is asked again"


class DiscoveryClient:
    """Discovery as the exchange's DiscoverySide.  Every watch is answered; its end is told as a failure."""

    def __init__(self, config: Config, exchange: RequestCoordinator) -> None:
        self.config, self.coordinator = config, exchange
        self.tasks = Tasks()
        self.revision = config.known.revision
        self.watching: asyncio.Task[None] | None = None
        self.failures = 0  # in a row
        self.asked = 0.0  # when the call was made that has brought no value yet; 0: it has
        self.answered = False  # the head of the call's answer has come
        self.whole_at = 0.0  # when something whole last came, or the call was made

    def reconfigure(self, config: Config) -> None:
        """Follow discovery to its new address, from the whole list on: its revisions may be counted anew."""
        moved, self.config = config.discovery != self.config.discovery, config
        if moved:
            self.revision = 0
            self.coordinator.endpoint_list.on_address_changed()
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
        self.whole_at, failure = time.monotonic(), api.DiscoveryFailure.CLOSED
        try:
            await self._follow()
        except (OSError, h11.RemoteProtocolError, OperatorError) as error:
            if isinstance(error, DiscoveryTimeout):
                self.coordinator.counters.add("lists_silent" if error.answered else "lists_unanswered")
            failure = self._failure(error)
            if not self.failures:  # the first of a row: an outage is told once
                told = error.advice() if isinstance(error, OperatorError) else str(error)
                log.info("the watch on discovery ended: %s", told or type(error).__name__)
            self.failures += 1
        self.coordinator.endpoint_list.on_failure(int((time.monotonic() - self.whole_at) * 1e9), failure)

    def _failure(self, error: Exception) -> api.DiscoveryFailure:
        """How a call to discovery failed."""
        if isinstance(error, DiscoveryUnreachable):
            return api.DiscoveryFailure.CONNECT_TIMEOUT
        if isinstance(error, DiscoveryTimeout):
            is_mute = not self.asked and error.silent_s < VALUE_S
            return (
                api.DiscoveryFailure.HEARTBEAT_TIMEOUT if is_mute else api.DiscoveryFailure.RESPONSE_TIMEOUT
            )
        if not isinstance(error, OSError | WatchClosed | Unavailable):
            return api.DiscoveryFailure.RESPONSE_TIMEOUT
        if not self.asked:
            return api.DiscoveryFailure.CLOSED
        if self.answered:
            return api.DiscoveryFailure.RESPONSE_TIMEOUT
        # It told nothing: it is down and says so at once, or so late that it must be behind.
        late = time.monotonic() - self.asked > BUSY_S
        return api.DiscoveryFailure.BUSY if late else api.DiscoveryFailure.REFUSED

    async def _follow(self) -> None:
        """Tell the exchange of each value of a watch, until the watch ends."""
        self.asked, self.answered = self.whole_at, False
        reader, writer = await self._connect()
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(self._request(http))
            values, late = JsonStreamParser(), False
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    patience_s = self._patience_s()
                    if patience_s <= 0 and late:
                        raise DiscoveryTimeout(time.monotonic() - self.whole_at, self.answered)
                    late = patience_s <= 0
                    http.receive_data(await self._read(reader, max(LEAST_S, patience_s)))
                elif isinstance(event, h11.Response):
                    self._check(event.status_code)
                elif isinstance(event, h11.Data):
                    for value in values.feed(event.data):
                        self._take(value)
                        self.whole_at = time.monotonic()
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise WatchClosed("it closed")
        finally:
            writer.transport.abort()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A connection to discovery; NotReached where none comes up, OSError where it is refused."""
        connect_s = NEAR_S if self.config.settings.has_local_discovery_agent else CONNECT_S
        try:
            async with asyncio.timeout(connect_s):
                return await asyncio.open_connection(*self.config.discovery)
        except TimeoutError:
            raise DiscoveryUnreachable(connect_s, answered=False) from None

    def _request(self, http: h11.Connection) -> bytes:
        """The bytes of the call for a watch from the known revision on."""
        host, port = self.config.discovery
        request = h11.Request(
            method=b"GET",
            target=watch_target(self.revision),
            headers=[(b"Host", f"{host}:{port}".encode())],
        )
        return (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")

    def _check(self, status: int) -> None:
        """Go on where the call is answered; Unavailable or MessageError where it is not."""
        if status >= 500:
            raise Unavailable(f"it answered {status}")
        if status != 200:
            raise MessageError(f"it answered {status}")
        self.answered = True

    def _patience_s(self) -> float:
        """How long discovery may still tell nothing, from now on."""
        now = time.monotonic()
        if self.answered:
            return min(BEAT_S + LATE_S, self.whole_at + VALUE_S - now)
        return self.asked + (NEAR_S if self.config.settings.has_local_discovery_agent else ANSWER_S) - now

    async def _read(self, reader: asyncio.StreamReader, patience_s: float) -> bytes:
        """What comes next.

        Guards against a dispatcher that stalled: what has come meanwhile is read, though the time is up.
        """
        reading = asyncio.ensure_future(reader.read(READ_SIZE))
        try:
            await asyncio.wait({reading}, timeout=patience_s)
            if not reading.done():
                raise DiscoveryTimeout(time.monotonic() - self.whole_at, self.answered)
            if not reading.result():
                raise WatchClosed("it closed")
            return reading.result()
        finally:
            reading.cancel()

    def _take(self, value: bytes) -> None:
        if self.failures:
            log.info("discovery answers again after %d calls that failed", self.failures)
            self.failures = 0
        if self.asked:
            self.coordinator.counters.peak("longest_list_ms", (time.monotonic() - self.asked) * 1000)
            self.asked = 0.0
        if not value:
            self.coordinator.endpoint_list.on_unchanged()
            return
        changes = parse_endpoint_list(value)
        if changes.revision < self.revision and not changes.is_complete:
            # Guards against changes that are older than the list: they would undo a drain.
            before, self.revision = self.revision, 0
            raise MessageError(f"its revision went back from {before} to {changes.revision}")
        self.revision = changes.revision
        self.coordinator.apply_endpoint_list(
            changes, api.EndpointListKind.FULL if changes.is_complete else api.EndpointListKind.DELTA
        )
