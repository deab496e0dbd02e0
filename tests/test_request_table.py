"""The result of a request that the decision module has not finished by its deadline."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.helpers import MS, job_class
from tests.site import until
from weldquay.net.counters import Counters
from weldquay.net.event_queue import EventQueue
from weldquay.net.messages import RequestMetadata
from weldquay.net.request_table import RequestTable
from weldquay.net.requests import Attempt, ClientRequest, Failed, Rejected, RequestResult


@pytest.mark.parametrize(
    ("is_in_flight", "possibly_sent", "possibly_executed", "expected"),
    [
        (False, False, False, Rejected()),
        (True, False, False, Rejected()),  # the attempt is still connecting
        (True, True, False, Failed()),
        (False, False, True, Failed()),  # an attempt has ended
    ],
)
def test_request_that_no_worker_can_have_executed_is_rejected(
    is_in_flight: bool, possibly_sent: bool, possibly_executed: bool, expected: RequestResult
) -> None:
    """A failure (502) would not tell the client that a retry is safe."""

    async def scenario() -> None:
        counters = Counters()
        results: list[RequestResult] = []
        table = RequestTable(counters, EventQueue(lambda: None))
        now_ns = time.monotonic_ns()
        metadata = RequestMetadata("r1", 10 * MS)
        request = ClientRequest(
            "r1", None, now_ns + 10 * MS, results.append, metadata, 0, job_class(), now_ns, 4
        )
        request.possibly_executed = possibly_executed
        if is_in_flight:
            request.in_flight[0] = Attempt(request, 0, 1, "w1", now_ns, now_ns, possibly_sent=possibly_sent)
        table.add(request)
        await until(lambda: results)
        assert results == [expected] and counters.counts["requests_past_deadline"] == 1

    asyncio.run(scenario())
