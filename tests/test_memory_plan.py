"""The division of a process's memory among its connections and what they hold."""

from __future__ import annotations

import asyncio

import pytest

from example.toy import Message, encode_message, read_message
from tests.site import job, run_scenario, site, until
from weldquay.limits import (
    BASE_MEMORY_MB,
    BUFFER_OVERHEAD,
    IDLE_CONNECTION_BYTES,
    MIN_BUFFERED_BYTES,
    RESERVED_DESCRIPTORS,
    UNREAD_BYTES,
    WORKER_BYTES,
)
from weldquay.net.buffer_budget import BufferBudget, BufferShare
from weldquay.net.memory_plan import MIB, plan_memory

HALF_REQUEST = (
    b"POST /lookup HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %b\r\nContent-Length: 60000\r\n\r\n"
    + b"x" * 30_000
)


@pytest.mark.parametrize("sockets", [128, 256, 576, 1024, 4096])
@pytest.mark.parametrize("memory_mb", [40, 48, 64, 88, 128, 192, 2048])
def test_the_parts_of_the_plan_fit_into_the_limits(memory_mb: int, sockets: int) -> None:
    """All connections with unread bytes, and the buffered bytes with their overhead."""
    plan = plan_memory(memory_mb, sockets)
    used_bytes = (
        plan.client_connections * (IDLE_CONNECTION_BYTES + UNREAD_BYTES)
        + plan.worker_connections * IDLE_CONNECTION_BYTES
        + plan.buffered_bytes * BUFFER_OVERHEAD
    )
    assert plan.client_connections + plan.worker_connections <= sockets - RESERVED_DESCRIPTORS
    assert plan.read_ahead_bytes < plan.buffered_bytes
    if plan.buffered_bytes > MIN_BUFFERED_BYTES:
        assert BASE_MEMORY_MB * MIB + used_bytes <= memory_mb * MIB + BUFFER_OVERHEAD


def test_the_limits_of_scored_days_allow_a_body_on_each_connection() -> None:
    """192 MB and 1,024 descriptors: the descriptors bind, not the memory."""
    plan = plan_memory(192, 1024)
    assert plan.client_connections == 1024 - 307 - RESERVED_DESCRIPTORS
    assert plan.buffered_bytes > plan.client_connections * 64 * 1024


@pytest.mark.parametrize(("memory_mb", "connections"), [(24, 42), (32, 64), (40, 85), (64, 341)])
def test_low_memory_limits_leave_connections_for_clients_and_callbacks(
    memory_mb: int, connections: int
) -> None:
    """A limit near what the process itself takes is kept as long as its connections are idle."""
    sockets = 128 if memory_mb == 24 else 1024
    assert plan_memory(memory_mb, sockets).client_connections == connections


def test_shares_add_up_to_the_budget() -> None:
    """A share that is released leaves nothing behind."""
    budget = BufferBudget(100)
    first, second = BufferShare(budget), BufferShare(budget)
    first.set_size(60)
    second.set_size(41)
    assert budget.is_exceeded
    first.set_size(0)
    second.set_size(5)
    assert (budget.used_bytes, budget.is_exceeded) == (5, False)


def test_partial_requests_beyond_the_budget_are_rejected_and_whole_ones_served() -> None:
    """Those that have been silent longest get 503; no bytes stay counted when all have ended."""

    async def scenario() -> None:
        async with site() as test_site:
            context = test_site.process.server.context
            context.buffer_budget.max_bytes = 100_000
            clients = []
            for number in range(5):
                clients.append(await asyncio.open_connection("127.0.0.1", test_site.process.server.port))
                clients[-1][1].write(HALF_REQUEST % b"h%d" % number)
                await clients[-1][1].drain()
            for reader, _ in clients[:2]:
                assert (await read_message(reader)).status == 503
            assert context.buffer_budget.used_bytes <= context.buffer_budget.max_bytes
            assert (await test_site.post("c1")).body == b"TEXT"
            clients[-1][1].write(b"x" * 30_000)
            assert (await read_message(clients[-1][0])).status == 200
            for _, writer in clients:
                writer.close()
            await until(lambda: not test_site.process.server.connections)
            assert context.buffer_budget.used_bytes == 0

    run_scenario(scenario())


def test_a_whole_request_beyond_the_budget_is_rejected_and_its_connection_stays() -> None:
    """The bytes that are held are those of other requests."""

    async def scenario() -> None:
        async with site() as test_site:
            budget = test_site.process.server.context.buffer_budget
            reader, writer = await asyncio.open_connection("127.0.0.1", test_site.process.server.port)
            budget.used_bytes += budget.max_bytes + 1
            writer.write(job("c1"))
            assert (await read_message(reader)).status == 503
            budget.used_bytes -= budget.max_bytes + 1
            writer.write(job("c2"))
            assert (await read_message(reader)).body == b"TEXT"
            writer.close()

    run_scenario(scenario())


def test_at_the_connection_limit_a_partial_request_with_unread_bytes_is_rejected() -> None:
    """Otherwise connections whose bytes cannot be read in time would shut out all others."""

    async def scenario() -> None:
        async with site() as test_site:
            server = test_site.process.server
            server.table.max_connections = 1
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(job("c1")[:-2])
            await until(lambda: any(each.has_received_data for each in server.connections))
            (connection,) = server.connections
            connection.is_waiting_for_turn = True
            assert connection.has_unread_data() and not server.table.evict_one()
            assert (await test_site.post("c2")).status in (200, 503)
            assert test_site.process.counters.counts["requests_rejected_for_capacity"] == 1
            assert await reader.read(12) == b"HTTP/1.1 503"
            writer.close()

    run_scenario(scenario())


def test_connections_whose_clients_have_left_are_ended_before_they_are_read() -> None:
    """They wait for their turn, so the end of their streams is unread."""

    async def scenario() -> None:
        async with site() as test_site:
            server = test_site.process.server
            server.table.max_connections = 4
            clients = []
            for number in range(3):
                clients.append(await asyncio.open_connection("127.0.0.1", server.port))
                clients[-1][1].write(job(f"c{number}")[:-2])
            await until(lambda: [c.has_received_data for c in server.connections] == [True] * 3)
            for connection in server.connections:
                connection.writer.transport.pause_reading()  # type: ignore[attr-defined]
            for _, writer in clients:
                writer.close()
            await until(lambda: not server.connections)
            assert test_site.process.counters.counts["client_connections_abandoned"] == 3

    run_scenario(scenario())


def test_the_list_of_workers_is_subtracted_from_the_plan() -> None:
    """A list of 3,200 workers takes 25 MB with departed ones."""
    without, with_list = plan_memory(192, 1024), plan_memory(192, 1024, workers=3200)
    assert with_list.client_connections == without.client_connections
    difference = (without.buffered_bytes - with_list.buffered_bytes) * BUFFER_OVERHEAD
    assert abs(difference - 3200 * WORKER_BYTES) < 2 * BUFFER_OVERHEAD


def test_a_large_response_beyond_the_budget_is_dropped() -> None:
    """Its bytes count for all connections while it is read; a small response is always read."""

    async def scenario() -> None:
        async with site() as test_site:
            worker, budget = test_site.workers[0], test_site.process.server.context.buffer_budget
            sizes = [20_000, 100]

            async def refuse(_message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(encode_message("HTTP/1.1 400 Bad Request", b"x" * sizes.pop(0)))

            worker.script = refuse
            budget.max_bytes = 10_000
            for number, outcome in enumerate(("attempts_reset", "attempts_unprocessable")):
                await test_site.post(f"c{number}", "/import")
                assert test_site.process.counters.counts[outcome] == 1
            await until(lambda: budget.used_bytes == 0)

    run_scenario(scenario())
