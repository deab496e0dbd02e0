"""The list's one clock: however a call to discovery fails, what it has is heeded within 6 s."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest

from example.toy import Message, Server
from tests.helpers import SECOND
from tests.site import WATCH_HEAD, Site, list_of_one_worker, site, until
from weldquay.lab.site import reserve
from weldquay import interface as api
from weldquay.discovery import backoff as backoff_module, list_lease
from weldquay.discovery.backoff import Backoff
from weldquay.net import discovery_client

PAGE = Path(__file__).parents[1] / "docs" / "design" / "discovery.md"
CLOSED, REFUSED, SILENT = (
    api.DiscoveryFailure.CLOSED,
    api.DiscoveryFailure.REFUSED,
    api.DiscoveryFailure.HEARTBEAT_TIMEOUT,
)
UNANSWERED, UNREACHED = api.DiscoveryFailure.RESPONSE_TIMEOUT, api.DiscoveryFailure.CONNECT_TIMEOUT
SILENT_S = discovery_client.HEARTBEAT_S + discovery_client.HEARTBEAT_GRACE_S
# By the page's name of a failure: how long until it shows, and how it is told.
FAILURES = {
    "refused at once": (0.0, REFUSED),
    "connection never comes up": (discovery_client.CONNECT_TIMEOUT_S, UNREACHED),
    "503 or reset at once": (0.0, REFUSED),
    "no answer at all": (discovery_client.RESPONSE_TIMEOUT_S, UNANSWERED),
    "no value after its head": (discovery_client.VALUE_TIMEOUT_S, UNANSWERED),
    "silent watch": (SILENT_S, SILENT),
    "value that never ends": (discovery_client.VALUE_TIMEOUT_S, UNANSWERED),
    "watch reset or ended": (SILENT_S, CLOSED),
}


class Longest(random.Random):
    """Draws the longest wait."""

    def random(self) -> float:
        """Nearly one."""
        return 1.0 - 1e-12


def longest_s(dispatchers: int, failure: str) -> float:
    """The longest wait after a failure, in seconds."""
    backoff = Backoff(Longest(), dispatchers)
    if failure not in FAILURES:
        return backoff.initial_delay_ns(100 * SECOND) / 1e9
    detect_s, how = FAILURES[failure]
    return backoff.retry_delay_ns(100 * SECOND, 10 * SECOND, int(detect_s * SECOND), how) / 1e9


def rows() -> list[list[str]]:
    """The page's table."""
    lines = PAGE.read_text().split("| --- |", 1)[1].split("\n\n", 1)[0].splitlines()[1:]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


@pytest.mark.parametrize("row", rows(), ids=lambda row: row[0])
def test_the_budget_on_the_page_is_the_codes(row: list[str]) -> None:
    """Each part, for a few and for many dispatchers, and the sum stays within the clock."""
    failure, detect, few, many, queue, apply, total = row
    assert float(detect) == pytest.approx(FAILURES.get(failure, (0.0, CLOSED))[0])
    assert float(few) == pytest.approx(longest_s(3, failure), abs=0.05)
    assert float(many) == pytest.approx(longest_s(200, failure), abs=0.05)
    assert float(queue) == backoff_module.QUEUE_NS / 1e9 < discovery_client.RESPONSE_TIMEOUT_S
    assert float(apply) == backoff_module.MARGIN_NS / 1e9
    parts = [float(part) for part in (detect, many, queue, apply)]
    assert sum(parts) == pytest.approx(float(total)) and float(total) <= list_lease.CLOCK_NS / 1e9


def test_the_page_names_every_failure() -> None:
    """And each once."""
    assert sorted(row[0] for row in rows()) == sorted([*FAILURES, "new process, first ask"])


@pytest.mark.parametrize("dispatchers", [1, 3, 6, 17, 20, 30, 200])
def test_no_run_of_failures_widens_a_wait_past_the_clock(dispatchers: int) -> None:
    """An outage in any order of refusals, silences and resets: after each the next ask is in time."""
    for seed in range(50):
        draw, backoff, now_ns = random.Random(seed), Backoff(Longest(), dispatchers), 100 * SECOND
        for _ in range(30):
            detect_s, how = draw.choice(list(FAILURES.values()))
            now_ns += int(detect_s * SECOND)
            wait_ns = backoff.retry_delay_ns(now_ns, 10 * SECOND, int(detect_s * SECOND), how)
            assert wait_ns + backoff_module.QUEUE_NS + backoff_module.MARGIN_NS <= list_lease.CLOCK_NS
            now_ns += wait_ns


Manner = Callable[[asyncio.StreamWriter, str], Awaitable[None]]


async def reset(writer: asyncio.StreamWriter, address: str) -> None:
    """A reset before any answer."""
    writer.transport.abort()


async def busy(writer: asyncio.StreamWriter, address: str) -> None:
    """503 at once."""
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def mute(writer: asyncio.StreamWriter, address: str) -> None:
    """Nothing, and the connection stays."""


async def head(writer: asyncio.StreamWriter, address: str) -> None:
    """A head and no more."""
    writer.write(WATCH_HEAD)


def chunk(data: bytes) -> bytes:
    """A chunk of a chunked answer."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def half(writer: asyncio.StreamWriter, address: str) -> None:
    """Half a value."""
    writer.write(WATCH_HEAD + chunk(list_of_one_worker(8, "DRAINING", address)[:40]))


async def endless(writer: asyncio.StreamWriter, address: str) -> None:
    """A value that goes on and on."""
    writer.write(WATCH_HEAD + chunk(b'{"revision": 8, "members": ['))
    while not writer.is_closing():
        writer.write(chunk(b"1,"))
        await asyncio.sleep(0.02)


async def revision_then_reset(writer: asyncio.StreamWriter, address: str) -> None:
    """A whole value, then a reset."""
    writer.write(WATCH_HEAD + chunk(list_of_one_worker(7, "SERVING", address) + b"\n"))
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.transport.abort()


async def ended(writer: asyncio.StreamWriter, address: str) -> None:
    """A whole answer that tells of nothing."""
    writer.write(WATCH_HEAD + b"0\r\n\r\n")


async def backwards(writer: asyncio.StreamWriter, address: str) -> None:
    """A change that is older than the list."""
    writer.write(WATCH_HEAD + chunk(list_of_one_worker(7, "SERVING", address) + b"\n"))
    old = json.loads(list_of_one_worker(3, "SERVING", address)) | {"complete": False}
    writer.write(chunk(json.dumps(old).encode() + b"\n"))


async def garbage(writer: asyncio.StreamWriter, address: str) -> None:
    """No HTTP."""
    writer.write(b"\x00\x01\x02\r\n\r\n")


class Failing(Server):
    """Discovery whose first calls fail in one manner; the next is answered with a drain."""

    def __init__(self, manner: Manner, times: int) -> None:
        super().__init__()
        self.manner, self.left, self.address_told = manner, times, "127.0.0.1:1"
        self.asked: list[float] = []
        self.targets: list[str] = []

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Fail, or tell."""
        self.asked.append(time.monotonic())
        self.targets.append(message.target)
        self.left -= 1
        if self.left >= 0:
            await self.manner(writer, self.address_told)
        else:
            writer.write(WATCH_HEAD + chunk(list_of_one_worker(9, "DRAINING", self.address_told) + b"\n"))


def hurry(monkeypatch: pytest.MonkeyPatch) -> None:
    """All clocks at a tenth."""
    for name in (
        "MIN_REFUSED_BOUND_NS",
        "REFUSED_INTERVAL_NS",
        "CALL_INTERVAL_NS",
        "INITIAL_INTERVAL_NS",
        "CLOCK_NS",
        "QUEUE_NS",
        "MARGIN_NS",
        "MAX_DELAY_NS",
        "MIN_DELAY_NS",
    ):
        monkeypatch.setattr(backoff_module, name, getattr(backoff_module, name) // 10)
    for name in ("CLOCK_NS", "MOVE_NS", "MARGIN_NS"):
        monkeypatch.setattr(list_lease, name, getattr(list_lease, name) // 10)
    for name in (
        "HEARTBEAT_S",
        "HEARTBEAT_GRACE_S",
        "CONNECT_TIMEOUT_S",
        "RESPONSE_TIMEOUT_S",
        "VALUE_TIMEOUT_S",
        "QUEUE_FAILURE_S",
    ):
        monkeypatch.setattr(discovery_client, name, getattr(discovery_client, name) / 10)


async def heeded(here: Site, failing: Failing) -> None:
    """Wait for the drain; calls find no worker then."""
    await until(lambda: here.program.discovery.revision == 9)
    assert (await here.post(left_ms=300)).status == 503 and here.workers[0].methods() == []


@pytest.mark.parametrize(
    "manner", [reset, busy, mute, head, half, endless, revision_then_reset, ended, backwards, garbage]
)
@pytest.mark.parametrize("dispatchers", [3, 200])
def test_a_drain_behind_a_failed_call_is_heeded(
    manner: Manner, dispatchers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Twice in a row; from the second failure's begin to the ask that tells, with clocks at a tenth."""
    hurry(monkeypatch)

    async def scenario() -> None:
        failing = Failing(manner, 2)
        async with site(discovery=failing, group_size=dispatchers) as here:
            failing.address_told = here.workers[0].address
            await heeded(here, failing)
            # 0.4 s by the table, unless this machine stalls; before, up to 10 s.
            assert failing.asked[2] - failing.asked[1] < 2
            if manner is backwards:
                assert failing.targets[2].endswith("since=0")

    asyncio.run(scenario())


def test_discovery_returns_while_a_call_to_it_hangs(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection that hangs is given up, though discovery would answer a new one at once."""
    hurry(monkeypatch)

    async def scenario() -> None:
        failing = Failing(mute, 1)
        async with site(discovery=failing, group_size=3) as here:
            failing.address_told = here.workers[0].address
            begun = time.monotonic()
            await heeded(here, failing)
            assert time.monotonic() - begun < 2  # 0.3 s; before, 5 s and a wait of up to 10 s
            assert here.program.counters.counts["lists_unanswered"] == 1

    asyncio.run(scenario())


def test_a_refused_discovery_is_asked_again_within_the_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """However long the outage was."""
    hurry(monkeypatch)

    async def scenario() -> None:
        failing = Failing(mute, 0)
        async with site(discovery=failing, group_size=200) as here:
            failing.address_told = here.workers[0].address
            address = failing.address
            failing.stop()
            down, _ = reserve(address)
            here.program.discovery.watch()
            await until(lambda: here.program.counters.counts["lists_failed"] >= 4)
            await failing.start_on(down)
            begun = time.monotonic()
            await heeded(here, failing)
            assert time.monotonic() - begun < 2  # 0.36 s; before, up to 10 s

    asyncio.run(scenario())


def test_a_reload_moves_on_from_a_call_that_hangs(monkeypatch: pytest.MonkeyPatch) -> None:
    """The new discovery is asked at once, for its whole list, and no old wait replaces that watch."""
    hurry(monkeypatch)

    async def scenario() -> None:
        old, new = Failing(mute, 99), Failing(mute, 0)
        await new.start()
        async with site(discovery=old, group_size=3) as here:
            new.address_told = here.workers[0].address
            await until(lambda: old.asked)
            host, port = new.address.split(":")
            config = here.program.config
            moved = replace(config, discovery=type(config.discovery)(host, int(port)))
            here.program.discovery.reconfigure(moved)
            await heeded(here, new)
            begun = time.monotonic()
            await until(lambda: time.monotonic() - begun > 0.5)
            assert len(new.asked) <= 4 and new.targets[0].endswith("since=0")
        new.stop()

    asyncio.run(scenario())
