"""Forwarding a job from a client to a worker.  Source: the page PROTOCOL, dispatchers to match workers."""

from __future__ import annotations

from dataclasses import dataclass

from weldquay.net.messages.common import NS_PER_MS, Body
from weldquay.net.messages.request_head import RequestHead


@dataclass(frozen=True, slots=True)
class JobPayload:
    """The parts of a job request that are forwarded unchanged: method, target, body and protocol headers.

    The dispatcher adds its own headers, such as Host and the remaining time.
    """

    target: bytes
    body: Body
    content_type: bytes | None = None
    method: bytes = b"POST"
    idempotency_key: bytes | None = None  # Idempotency-Key; some workers drop a job with a repeated key


def job_payload(request: RequestHead, body: Body) -> JobPayload:
    """Return the payload of a client's request, from its head and its body."""
    values = dict(request.headers)
    return JobPayload(
        request.target,
        body,
        values.get(b"content-type"),
        request.method,
        values.get(b"idempotency-key"),
    )


def job_headers(request_id: str, job: JobPayload, time_left_ns: int, host: str) -> list[tuple[bytes, bytes]]:
    """Return the headers of the request that sends a job to a worker."""
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
