"""Parsers and writers of the messages on the sockets.  They are pure: bytes and values in, values out."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

import h11
import ujson

from weldquay import interface as api
from weldquay.errors import OperatorError
from weldquay.limits import MAX_PORT
from weldquay.settings import load_report

MAX_BODY = 64 * 1024
MAX_ID = 128  # characters of a call's id; it becomes part of a path
MS = 1_000_000
MAX_MS = 24 * 3600 * 1000  # no call waits for longer than a day
MAX_FIGURE = 1e9
Headers = Iterable[tuple[bytes, bytes]]
Body = memoryview | bytearray | bytes

_STATES = {
    "SERVING": api.WorkerState.READY,
    "DRAINING": api.WorkerState.DRAINING,
    "DELETED": api.WorkerState.GONE,
}


class MessageError(OperatorError):
    """A message that cannot be understood; the text says why."""

    error_code = "message-error"
    remedy = "look at what its sender speaks: another version, or a service that is no part of this site"


@dataclass(frozen=True, slots=True)
class JobPayload:
    """What passes on to a worker unchanged: method, path and query, body, the headers the page names.

    Source: the protocol's page, dispatchers to match workers. A worker that sees a job not as its client
    sent it voids the day, so nothing here is rewritten; the dispatcher's own headers (Host, the time
    left) come beside it.
    """

    target: bytes
    body: Body
    content_type: bytes | None = None
    method: bytes = b"POST"
    key: bytes | None = None  # Idempotency-Key: some workers drop a repeat of it


def job_payload(request: h11.Request, body: Body) -> JobPayload:
    """The job a call hands in, from its head as h11 gives it (names in lower case) and its body."""
    values = dict(request.headers)
    key = values.get(b"idempotency-key")
    return JobPayload(request.target, body, values.get(b"content-type"), request.method, key)


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the head of a call says of its job."""

    id: str
    time_left_ns: int | None
    slots: float = 1.0
    memory: float = 0.0
    runtime_hint_ns: int | None = None
    key: int = 0
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class Callback:
    """What a worker tells of a job.  outcome is None for news of a running one."""

    id: str
    worker_id: str
    outcome: api.Outcome | None
    progress: float | None = None
    result: str = ""
    load_report: api.LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A line of discovery's list."""

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: api.WorkerState
    weight: float
    up_since_ms: int


@dataclass(frozen=True, slots=True)
class EndpointList:
    """Discovery's list, or the lines of it that changed."""

    revision: int
    is_complete: bool
    endpoints: tuple[Endpoint, ...] = field(default=())


_OPERATOR_CALLS = {
    (b"GET", b"ready"): "ready",
    (b"POST", b"out-of-service"): "out-of-service",
    (b"POST", b"in-service"): "in-service",
}


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """What an operator asks for; worker is empty where the call names none."""

    verb: str
    worker: str = ""


def operator_call(method: bytes, target: bytes) -> OperatorCall:
    """The call that a method and a target make; MessageError where there is none such."""
    root, _, path = target.split(b"?", 1)[0].removeprefix(b"/").partition(b"/")
    if root == b"control":
        if (verb := _OPERATOR_CALLS.get((method, path))) is not None:
            return OperatorCall(verb)
        group, _, rest = path.partition(b"/")
        worker, _, word = rest.rpartition(b"/")
        if method == b"POST" and group == b"match-workers" and worker and word in (b"offline", b"online"):
            return OperatorCall(word.decode(), unquote(worker.decode("latin-1")))
    raise MessageError("there is no such call")


def class_name(path: bytes) -> bytes:
    """The class of a call: the first part of its path."""
    return path.removeprefix(b"/").split(b"/", 1)[0]


def closing_response(status: int, body: bytes, head: bool = False) -> bytes:
    """A whole answer after which the connection closes; the answer to HEAD goes without its body."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (
        status,
        HTTPStatus(status).phrase.encode(),
        len(body),
        b"" if head else body,
    )


def serialize_request(request: h11.Request, body: bytes, left_ns: int) -> bytes:
    """The bytes of a request that was read, with its body as one piece and the time that is left."""
    told = {b"x-time-left-ms": b"%d" % max(0, left_ns // MS), b"content-length": b"%d" % len(body)}
    lines = [b"%s %s HTTP/%s" % (request.method, request.target, request.http_version)]
    lines += [
        b"%s: %s" % (name, value)
        for name, value in request.headers
        if name not in told and name not in (b"transfer-encoding", b"expect")
    ]
    lines += [b"%s: %s" % pair for pair in told.items()]
    return b"\r\n".join([*lines, b"", body])


def parse_request_metadata(headers: Headers) -> RequestMetadata:
    """The figures of a call from its headers (names in lower case, as h11 gives them)."""
    values = dict(headers)
    facts = _facts(values.get(b"x-facts", b""))
    left_ms = _whole_ms(values.get(b"x-time-left-ms"))
    hint_us = _number("X-Weight-Hint", values.get(b"x-weight-hint"), MAX_MS * 1000)
    return RequestMetadata(
        parse_correlation_id(values.get(b"x-correlation-id", b"")),
        None if left_ms is None else left_ms * MS,
        slots=facts.get("slots", facts.get("width", 1.0)),
        memory=facts.get("memory", facts.get("ram_units", 0.0)),
        runtime_hint_ns=None if hint_us is None else int(hint_us * 1000),
        key=_key(values.get(b"cookie", b"")),
        is_retry=values.get(b"x-repeat") == b"1",
    )


def parse_correlation_id(value: bytes) -> str:
    """A call's id, checked: it becomes part of a path at the worker."""
    text = value.decode("latin-1")
    if not text:
        raise MessageError("X-Correlation-Id is missing")
    if len(text) > MAX_ID or not all(sign.isascii() and (sign.isalnum() or sign in "-_.~") for sign in text):
        raise MessageError("X-Correlation-Id has characters that an id may not have, or too many")
    return text


def _whole_ms(value: bytes | None) -> int | None:
    """A deadline: digits alone, since float() would take 1e3 and 1_0 as well."""
    if value is None:
        return None
    if not value.isdigit() or len(value) > len(str(MAX_MS)) or int(value) > MAX_MS:
        raise MessageError(f"X-Time-Left-Ms is no whole number up to {MAX_MS}")
    return int(value)


def _number(name: str, value: bytes | None, most: float) -> float | None:
    """A figure from 0 to most, None where it is absent."""
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not 0 <= number <= most:
        raise MessageError(f"{name} is no figure from 0 to {most:g}")
    return number


def _facts(value: bytes) -> dict[str, float]:
    """The figures of name=value,name=value."""
    facts = {}
    for part in value.split(b","):
        if part.strip():
            name, _, figure = part.partition(b"=")
            facts[name.strip().decode("latin-1")] = _number("X-Facts", figure, MAX_FIGURE) or 0.0
    return facts


def _key(cookies: bytes) -> int:
    """The object that a call is about, as a number; 0 where it names none."""
    for cookie in cookies.split(b";"):
        name, _, value = cookie.strip().partition(b"=")
        if name == b"obj" and value:
            return int.from_bytes(hashlib.blake2b(value, digest_size=8).digest(), "little")
    return 0


def read_json(data: Body) -> Any:
    """A JSON document, or MessageError."""
    try:
        return ujson.loads(bytes(data) if isinstance(data, memoryview) else data)  # it takes no views
    except (ValueError, TypeError) as error:
        raise MessageError(f"not valid JSON: {error}") from None


def parse_callback(data: Body, fields: Mapping[str, str]) -> Callback:
    """A worker's call-back; fields tells what the names in a load report mean."""
    told = read_json(data)
    if not isinstance(told, dict):
        raise MessageError("a call-back is a JSON object")
    state = told.get("state")
    call, worker = _string(told, "id"), _string(told, "from")
    load = load_report_from_json(told.get("load"), fields)
    if state == "started":
        return Callback(call, worker, None)
    if state == "running":
        return Callback(call, worker, None, progress=_share(told.get("share")))
    if state == "done":
        return Callback(call, worker, api.Outcome.OK, result=_string(told, "result"), load_report=load)
    outcome = {"failed": api.Outcome.ERROR, "returned": api.Outcome.OVERLOADED, "lost": api.Outcome.RESET}
    if not isinstance(state, str) or state not in outcome:
        raise MessageError("a call-back's state is unknown")
    return Callback(call, worker, outcome[state], load_report=load)


def _string(told: Mapping[str, Any], name: str) -> str:
    value = told.get(name)
    if not isinstance(value, str):
        raise MessageError(f"{name} is no text")
    return value


def _share(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= 1:
        raise MessageError("share is no figure from 0 to 1")
    return float(value)


def load_report_from_json(told: object, fields: Mapping[str, str]) -> api.LoadReport | None:
    """A load report from its JSON object; None where it is absent, short of a field or has a bad figure."""
    if not isinstance(told, dict) or not fields:
        return None
    values = {}
    for name, meaning in fields.items():
        value = told.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            return None
        values[meaning] = float(value)
    return load_report(values)


def parse_load_report(data: Body | None, fields: Mapping[str, str]) -> api.LoadReport | None:
    """A load report from a header or a body; a report that cannot be read is no report."""
    if not data:
        return None
    try:
        return load_report_from_json(read_json(data), fields)
    except MessageError:
        return None


def parse_endpoint_list(data: Body) -> EndpointList:
    """Discovery's list, or a line of a watch."""
    return endpoint_list_from_json(read_json(data))


def endpoint_list_from_json(told: object) -> EndpointList:
    """A list from its JSON value."""
    if not isinstance(told, dict) or not isinstance(told.get("members"), list):
        raise MessageError("a list of members is a JSON object with members")
    revision = told.get("revision")
    if isinstance(revision, bool) or not isinstance(revision, int):
        raise MessageError("revision is no whole number")
    lines = tuple(_member(line) for line in told["members"])
    return EndpointList(revision, told.get("complete") is True, lines)


def _member(told: object) -> Endpoint:
    if not isinstance(told, dict):
        raise MessageError("a member is a JSON object")
    host, colon, port = _string(told, "host_port").rpartition(":")
    if not colon or not port.isdecimal() or int(port) > MAX_PORT:
        raise MessageError("host_port is no HOST:PORT")
    state = _STATES.get(_string(told, "phase"))
    if state is None:
        raise MessageError("phase is unknown")
    cell, weight, since = told.get("cell", 0), told.get("size", 1.0), told.get("up_since_ms", 0)
    if not all(isinstance(value, int | float) and math.isfinite(value) for value in (cell, weight, since)):
        raise MessageError("cell, size or up_since_ms is no figure")
    return Endpoint(
        _string(told, "id"),
        host.strip("[]"),
        int(port),
        str(told.get("locality", "")),
        str(told.get("flavor", "")),
        int(cell),
        state,
        float(weight),
        int(since),
    )


def endpoint_to_json(member: Endpoint) -> dict[str, Any]:
    """A member in discovery's form."""
    phases = {state: phase for phase, state in _STATES.items()}
    return {
        "id": member.id,
        "host_port": f"{member.host}:{member.port}",
        "locality": member.zone,
        "flavor": member.kind,
        "cell": member.cell,
        "phase": phases[member.state],
        "size": member.weight,
        "up_since_ms": member.up_since_ms,
    }


def job_headers(call: str, job: JobPayload, time_left_ns: int, host: str) -> list[tuple[bytes, bytes]]:
    """The headers of a job on its way to a worker."""
    headers = [
        (b"Host", host.encode()),
        (b"X-Correlation-Id", call.encode()),
        (b"X-Time-Left-Ms", b"%d" % max(0, time_left_ns // MS)),
        (b"Content-Length", b"%d" % len(job.body)),
    ]
    if job.content_type is not None:
        headers.append((b"Content-Type", job.content_type))
    if job.key is not None:
        headers.append((b"Idempotency-Key", job.key))
    return headers


def retry_after(wait_ns: int) -> bytes:
    """The value of Retry-After: seconds, as a decimal."""
    return f"{wait_ns / 1e9:.3f}".encode()


def watch_target(revision: int) -> bytes:
    """The path of a watch on changes since a revision."""
    return b"/catalog/members?follow=1&since=%d" % revision
