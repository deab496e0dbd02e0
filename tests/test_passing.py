"""What a client sent reaches the worker unchanged (the protocol's page, dispatchers to match workers)."""

from __future__ import annotations

import asyncio

import pytest

from example.toy import Message, request, write_message
from tests.site import site

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
UNSTARTED = write_message("HTTP/1.1 503 Service Unavailable", b"", "X-Unprocessed: 1")


def sent(call: str, target: str) -> bytes:
    """A call with every header that the page names."""
    return write_message(
        f"POST {target} HTTP/1.1",
        b'{"route": [1, 2, 3]}',
        f"X-Correlation-Id: {call}",
        "X-Time-Left-Ms: 5000",
        f"Idempotency-Key: {KEY}",
        "X-Account: kelowna",
        "Cookie: obj=7f3a9c21e0b4d655",
    )


def jobs(seen: list[Message]) -> list[Message]:
    """The jobs among what a worker was sent."""
    return [message for message in seen if message.method == "POST"]


@pytest.mark.parametrize("target", ["/lookup/a?b=1", "/lookup", "/lookup/x/y?z=%20&w="])
def test_a_job_reaches_its_worker_as_its_client_sent_it(target: str) -> None:
    """Method, path, query, body, id and key arrive as the client sent them."""

    async def play() -> None:
        async with site() as here:
            answer = await request(here.address, sent("c1", target))
            assert answer.status == 200
            (job,) = jobs(here.workers[0].seen)
            assert job.start == f"POST {target} HTTP/1.1"
            assert job.body == b'{"route": [1, 2, 3]}'
            assert job.headers["x-correlation-id"] == "c1"
            assert job.headers["idempotency-key"] == KEY

    asyncio.run(play())


def test_a_job_sent_again_elsewhere_keeps_its_key() -> None:
    """A job handed back unstarted goes to the next worker with the same key and body."""

    async def play() -> None:
        async with site(workers=2) as here:

            async def hand_back(message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(UNSTARTED)

            for worker in here.workers:
                worker.script = hand_back
            first = await request(here.address, sent("c2", "/lookup/a"))
            assert first.status in (429, 503)
            tried = [job for worker in here.workers for job in jobs(worker.seen)]
            assert len(tried) >= 2, "both workers handed it back, so it went to both"
            assert {job.headers.get("idempotency-key") for job in tried} == {KEY}
            assert {job.body for job in tried} == {b'{"route": [1, 2, 3]}'}

    asyncio.run(play())
