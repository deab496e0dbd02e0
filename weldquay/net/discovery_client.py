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
from weldquay.net.exchange import Exchange
from weldquay.net.lines import Values
from weldquay.net.messages import MemberList, MessageError, members, watch_target
from weldquay.net.tasks import Tasks

log = logging.getLogger(__name__)

READ_SIZE = 64 * 1024
BEAT_S = 2.0  # a watch tells at least an empty line so often
LATE_S = 0.6  # and a line may be so late; what a silent watch misses counts as told 6 s after it fell silent
ANSWER_S = 2.4  # discovery holds a call 2 s at most; twice that and the waits between fit in the clock's 6 s
BUSY_S = 0.5  # a call that discovery ends after so long has waited in its queue
NEAR_S = 0.2  # an agent on this machine answers at once: right after an outage what it has counts as told
LEAST_S = 0.05  # what has come is read once more, however long this dispatcher has stalled
VALUE_S = 3.0  # a value is whole by then: one that never ends would pass for a watch that tells of no change


class DiscoverySilent(OperatorError):
    """The watch, or discovery before its answer, has told nothing for silent_s."""

    remedy = "see that discovery runs and is reached from here; the last list is used meanwhile"

    def __init__(self, silent_s: float, answered: bool) -> None:
        super().__init__(f"silent for {silent_s:.1f} s")
        self.silent_s, self.answered = silent_s, answered


class NotReached(DiscoverySilent):
    """No connection to discovery came up in silent_s."""

    remedy = "see that discovery's address is right and that the network lets this machine through to it"


class DiscoveryClient:
    """Discovery as the exchange's DiscoverySide.  Every watch is answered; its end is told as a failure."""

    def __init__(self, config: Config, exchange: Exchange) -> None:
        self.config, self.exchange = config, exchange
        self.tasks = Tasks()
        self.revision = config.known.revision
        self.watching: asyncio.Task[None] | None = None
        self.failures = 0  # in a row
        self.asked = 0.0
        self.whole_at = 0.0  # when something whole last came, or the call was made

    def move(self, config: Config) -> None:
        """Follow discovery to its new address, from the whole list on: its revisions may be counted anew."""
        moved, self.config = config.discovery != self.config.discovery, config
        if moved:
            self.revision = 0
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
        self.whole_at, failure = time.monotonic(), api.ListFailure.ENDED
        try:
            await self._follow()
        except (OSError, h11.RemoteProtocolError, MessageError, DiscoverySilent) as error:
            if isinstance(error, DiscoverySilent):
                self.exchange.counters.add("lists_silent" if error.answered else "lists_unanswered")
            failure = self._failure(error)
            if not self.failures:  # the first of a row: an outage is told once
                told = error.advice() if isinstance(error, OperatorError) else str(error)
                log.info("the watch on discovery ended: %s", told or type(error).__name__)
            self.failures += 1
        self.exchange.list_failed(int((time.monotonic() - self.whole_at) * 1e9), failure)

    def _failure(self, error: Exception) -> api.ListFailure:
        """How a call to discovery failed."""
        if isinstance(error, NotReached):
            return api.ListFailure.UNREACHED
        if isinstance(error, DiscoverySilent) or not self.asked:
            return api.ListFailure.ENDED
        # It told nothing: it is down and says so at once, or so late that it must be behind.
        late = time.monotonic() - self.asked > BUSY_S
        return api.ListFailure.BUSY if late else api.ListFailure.UNREACHED

    async def _follow(self) -> None:
        """Tell the exchange of each value of a watch, until the watch ends."""
        host, port = self.config.discovery
        answer_s = NEAR_S if self.config.settings.list_near else ANSWER_S
        self.asked = self.whole_at
        try:
            async with asyncio.timeout(answer_s):
                reader, writer = await asyncio.open_connection(host, port)
        except TimeoutError:
            raise NotReached(answer_s, answered=False) from None
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(
                http.send(
                    h11.Request(
                        method=b"GET",
                        target=watch_target(self.revision),
                        headers=[(b"Host", f"{host}:{port}".encode())],
                    )
                )
                or b""
            )
            writer.write(http.send(h11.EndOfMessage()) or b"")
            values, answered, late = Values(), False, False
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    now = time.monotonic()
                    patience_s = (
                        min(BEAT_S + LATE_S, self.whole_at + VALUE_S - now)
                        if answered
                        else (self.asked + answer_s - now)
                    )
                    if patience_s <= 0 and late:
                        raise DiscoverySilent(now - self.whole_at, answered)
                    late = patience_s <= 0
                    http.receive_data(await self._read(reader, max(LEAST_S, patience_s), answered))
                elif isinstance(event, h11.Response) and event.status_code != 200:
                    raise MessageError(f"it answered {event.status_code}")
                elif isinstance(event, h11.Response):
                    answered = True
                    if not self.config.settings.list_near:  # what an agent has counts as told, so it is read
                        self.exchange.list_told()
                elif isinstance(event, h11.Data):
                    for value in values.feed(event.data):
                        self._take(value)
                        self.whole_at = time.monotonic()
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise MessageError("it closed")
        finally:
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader, patience_s: float, answered: bool) -> bytes:
        """What comes next.

        Guards against a dispatcher that stalled: what has come meanwhile is read, though the time is up.
        """
        reading = asyncio.ensure_future(reader.read(READ_SIZE))
        try:
            await asyncio.wait({reading}, timeout=patience_s)
            if not reading.done():
                raise DiscoverySilent(time.monotonic() - self.whole_at, answered)
            return reading.result()
        finally:
            reading.cancel()

    def _take(self, value: bytes) -> None:
        if self.failures:
            log.info("discovery answers again after %d calls that failed", self.failures)
            self.failures = 0
        first = bool(self.asked)
        if first:
            self.exchange.counters.peak("longest_list_ms", (time.monotonic() - self.asked) * 1000)
            self.asked = 0.0
        if value or first:  # nothing has changed: an answer too, which ends the silence
            told = members(value) if value else MemberList(self.revision, False, ())
            if told.revision < self.revision and not told.complete:
                # Guards against changes that are older than the list: they would undo a drain.
                before, self.revision = self.revision, 0
                raise MessageError(f"its revision went back from {before} to {told.revision}")
            self.revision = told.revision
            self.exchange.follow(told, api.ListKind.FULL if told.complete else api.ListKind.DELTA)
        self.exchange.list_told()
