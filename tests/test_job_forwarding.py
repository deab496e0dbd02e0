"""Jobs are forwarded to workers unchanged (PROTOCOL, dispatchers to match workers)."""

from __future__ import annotations

import asyncio

import pytest

from example.toy import Message, encode_message, request
from tests.site import site

IDEMPOTENCY_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
RETURNED_UNSTARTED = encode_message("HTTP/1.1 503 Service Unavailable", b"", "X-Unprocessed: 1")


def job_request(request_id: str, target: str) -> bytes:
    """Return a job request with all headers of PROTOCOL."""
    return encode_message(
        f"POST {target} HTTP/1.1",
        b'{"route": [1, 2, 3]}',
        f"X-Correlation-Id: {request_id}",
        "X-Time-Left-Ms: 5000",
        f"Idempotency-Key: {IDEMPOTENCY_KEY}",
        "X-Account: kelowna",
        "Cookie: obj=7f3a9c21e0b4d655",
    )


def jobs(received: list[Message]) -> list[Message]:
    """Return the jobs among the requests that a worker received."""
    return [message for message in received if message.method == "POST"]


@pytest.mark.parametrize("target", ["/lookup/a?b=1", "/lookup", "/lookup/x/y?z=%20&w="])
def test_a_job_is_forwarded_unchanged(target: str) -> None:
    """The worker receives the method, path, query, body, id and idempotency key of the client."""

    async def scenario() -> None:
        async with site() as test_site:
            response = await request(test_site.address, job_request("c1", target))
            assert response.status == 200
            (job,) = jobs(test_site.workers[0].received)
            assert job.start_line == f"POST {target} HTTP/1.1"
            assert job.body == b'{"route": [1, 2, 3]}'
            assert job.headers["x-correlation-id"] == "c1"
            assert job.headers["idempotency-key"] == IDEMPOTENCY_KEY

    asyncio.run(scenario())


def test_a_retry_has_the_same_idempotency_key() -> None:
    """A job that a worker returns without starting it is retried with the same key and body."""

    async def scenario() -> None:
        async with site(workers=2) as test_site:

            async def return_unstarted(_message: Message, writer: asyncio.StreamWriter) -> None:
                writer.write(RETURNED_UNSTARTED)

            for worker in test_site.workers:
                worker.script = return_unstarted
            response = await request(test_site.address, job_request("c2", "/lookup/a"))
            assert response.status in (429, 503)
            attempts = [job for worker in test_site.workers for job in jobs(worker.received)]
            assert len(attempts) >= 2, "the job was not retried after the first worker returned it"
            assert {job.headers.get("idempotency-key") for job in attempts} == {IDEMPOTENCY_KEY}
            assert {job.body for job in attempts} == {b'{"route": [1, 2, 3]}'}

    asyncio.run(scenario())
