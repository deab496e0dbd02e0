"""A job on its way from a client to a worker.  Source: the page PROTOCOL, dispatchers to match workers."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from weldquay.net.messages.common import NS_PER_MS, Body


@dataclass(frozen=True, slots=True)
class JobPayload:
    """What passes to a worker unchanged: method, target, body, and the headers that the protocol names.

    The dispatcher's own headers (Host, the remaining time) are added to it.
    """

    target: bytes
    body: Body
    content_type: bytes | None = None
    method: bytes = b"POST"
    idempotency_key: bytes | None = None  # Idempotency-Key: some workers drop a repeat of it


def job_payload(request: h11.Request, body: Body) -> JobPayload:
    """The job of a client's request, from its head as h11 gives it and its body."""
    values = dict(request.headers)
    return JobPayload(
        request.target,
        body,
        values.get(b"content-type"),
        request.method,
        values.get(b"idempotency-key"),
    )


def job_headers(request_id: str, job: JobPayload, time_left_ns: int, host: str) -> list[tuple[bytes, bytes]]:
    """The headers of a job's request to a worker."""
    headers = [
        (b"Host", host.encode()),
        (b"X-Correlation-Id", request_id.encode()),
        (b"X-Time-Left-Ms", b"%d" % max(0, time_left_ns // NS_PER_MS)),
        (b"Content-Length", b"%d" % len(job.body)),
    ]
    if job.content_type is not None:
        headers.append((b"Content-Type", job.content_type))
    if job.idempotency_key is not None:
        headers.append((b"Idempotency-Key", job.idempotency_key))
    return headers
