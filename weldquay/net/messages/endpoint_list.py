"""Discovery's list of match workers: the complete list, or its changes since a revision."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from weldquay import interface as api
from weldquay.limits import MAX_NAME_LENGTH, MAX_NUMBER, MAX_PORT
from weldquay.net.messages.common import Body, MessageError, read_json, string_field

STATE_BY_PHASE: dict[str, api.WorkerState] = {
    "SERVING": api.WorkerState.READY,
    "DRAINING": api.WorkerState.DRAINING,
    "DELETED": api.WorkerState.GONE,
}
PHASE_BY_STATE = {state: phase for phase, state in STATE_BY_PHASE.items()}


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A worker in the list; up_since_ms: when it started, in ms since the Unix epoch (0: unknown)."""

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
    """The complete list, or (is_complete False) the endpoints that have changed."""

    revision: int
    is_complete: bool
    endpoints: tuple[Endpoint, ...] = field(default=())


def watch_target(revision: int) -> bytes:
    """Return the request target of a watch for changes since a revision."""
    return b"/catalog/members?follow=1&since=%d" % revision


def parse_endpoint_list(data: Body) -> EndpointList:
    """Parse a value of a watch.  Raises MessageError if it is malformed."""
    return endpoint_list_from_json(read_json(data))


def endpoint_list_from_json(document: object) -> EndpointList:
    """Convert a JSON value to a list.  Raises MessageError if it is malformed."""
    if not isinstance(document, dict) or not isinstance(document.get("members"), list):
        raise MessageError("the endpoint list is not a JSON object with a list of members")
    revision = document.get("revision")
    if isinstance(revision, bool) or not isinstance(revision, int) or abs(revision) > MAX_NUMBER:
        raise MessageError("revision is not an integer, or too large")
    endpoints = tuple(_endpoint_from_json(member) for member in document["members"])
    return EndpointList(revision, document.get("complete") is True, endpoints)


def _endpoint_from_json(member: object) -> Endpoint:
    if not isinstance(member, dict):
        raise MessageError("a member is not a JSON object")
    host, colon, port = string_field(member, "host_port").rpartition(":")
    if not colon or not port.isdecimal() or len(port) > len(str(MAX_PORT)) or int(port) > MAX_PORT:
        raise MessageError("host_port is not HOST:PORT")
    if not host.isprintable() or len(host) > MAX_NAME_LENGTH:
        raise MessageError("the host of host_port has characters that a host may not have")
    state = STATE_BY_PHASE.get(string_field(member, "phase"))
    if state is None:
        raise MessageError("phase is not SERVING, DRAINING or DELETED")
    cell = member.get("cell", 0)
    weight = member.get("size", 1.0)
    up_since_ms = member.get("up_since_ms", 0)
    if not all(
        isinstance(value, int | float) and -MAX_NUMBER <= value <= MAX_NUMBER
        for value in (cell, weight, up_since_ms)
    ):
        raise MessageError("cell, size or up_since_ms is not a finite number, or too large")
    return Endpoint(
        id=_name(string_field(member, "id")),
        host=host.strip("[]"),
        port=int(port),
        zone=_name(member.get("locality", "")),
        kind=_name(member.get("flavor", "")),
        cell=int(cell),
        state=state,
        weight=float(weight),
        up_since_ms=int(up_since_ms),
    )


def _name(value: object) -> str:
    """Return a name as text.  Raises MessageError if it is too long, or no text or number."""
    if not isinstance(value, str | int | float):
        raise MessageError("locality or flavor is no text")
    if isinstance(value, int) and abs(value) > MAX_NUMBER:
        raise MessageError("locality or flavor is too large a number")
    if len(text := str(value)) > MAX_NAME_LENGTH:
        raise MessageError("a name in the endpoint list is too long")
    return text


def endpoint_to_json(endpoint: Endpoint) -> dict[str, Any]:
    """Convert an endpoint to the JSON object that discovery sends for it."""
    return {
        "id": endpoint.id,
        "host_port": f"{endpoint.host}:{endpoint.port}",
        "locality": endpoint.zone,
        "flavor": endpoint.kind,
        "cell": endpoint.cell,
        "phase": PHASE_BY_STATE[endpoint.state],
        "size": endpoint.weight,
        "up_since_ms": endpoint.up_since_ms,
    }
