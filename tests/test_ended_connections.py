"""Connections that have ended hold no memory until the next garbage collection."""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections.abc import Iterator

import pytest

from tests.site import Site, job, run_scenario, site, until
from weldquay.net import connection_table

PARTIAL_REQUEST = (
    b"POST /lookup HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c1\r\nContent-Length: 64000\r\n\r\n"
    + b"x" * 30_000
)
MALFORMED_REQUEST = b"x" * 20_000
Connections = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]


@pytest.fixture
def _no_garbage_collection() -> Iterator[None]:
    """Free only objects without references."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def connect(test_site: Site, data: bytes) -> tuple[Connections, list[weakref.ref[object]]]:
    """Send the data on new connections; return them, and references to the objects of the server."""
    connections = []
    server = test_site.process.server
    for _ in range(5):
        connections.append(await asyncio.open_connection("127.0.0.1", server.port))
        connections[-1][1].write(data)
    await until(lambda: len(server.connections) == 5 and all(c.has_received_data for c in server.connections))
    await asyncio.sleep(0.05)
    references: list[weakref.ref[object]] = []
    for each in server.connections:
        references += [weakref.ref(part) for part in (each, each.reader, each.channel, each.writer)]
    return connections, references


@pytest.mark.usefixtures("_no_garbage_collection")
@pytest.mark.parametrize(
    ("end", "data"),
    [
        ("evicted", PARTIAL_REQUEST),
        ("evicted", MALFORMED_REQUEST),
        ("evicted", job()),
        ("reset by the client", PARTIAL_REQUEST),
        ("reset by the client", MALFORMED_REQUEST),
        ("reset by the client", job()),
        ("closed by the client", PARTIAL_REQUEST),
        ("closed by the client", MALFORMED_REQUEST),
        ("closed by the client", job()),
        ("timed out", PARTIAL_REQUEST),
        ("timed out", MALFORMED_REQUEST),
    ],
)
def test_an_ended_connection_is_freed_without_a_garbage_collection(
    end: str, data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With thousands of connections that come and go, reference cycles held their buffers for seconds."""

    async def scenario() -> None:
        async with site() as test_site:
            connections, references = await connect(test_site, data)
            table = test_site.process.server.table
            if end == "evicted":
                while table.evict_one():
                    pass
            for _, writer in connections if end != "timed out" else ():
                if end == "reset by the client":
                    writer.transport.abort()
                else:
                    writer.close()
            await until(lambda: not any(reference() is not None for reference in references))
            for _, writer in connections:
                writer.transport.abort()

    monkeypatch.setattr(connection_table, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(connection_table, "LINGER_TIMEOUT_S", 0.2)
    run_scenario(scenario())
