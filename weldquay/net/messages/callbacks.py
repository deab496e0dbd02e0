"""Callbacks of workers, which report the progress and the end of a job."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from weldquay import interface as api
from weldquay.net.messages.common import Body, MessageError, read_json, string_field
from weldquay.net.messages.load_reports import load_report_from_json

STARTED = "started"
RUNNING = "running"
DONE = "done"
FAILURE_OUTCOMES: dict[str, api.Outcome] = {
    "failed": api.Outcome.ERROR,
    "returned": api.Outcome.OVERLOADED,
    "lost": api.Outcome.RESET,
}


@dataclass(frozen=True, slots=True)
class Callback:
    """A worker's report on a job; id is that of the request."""

    id: str
    worker_id: str
    outcome: api.Outcome | None  # None: the job is running
    progress: float | None = None  # the completed fraction of the job; None: the job has just started
    result: str = ""
    load_report: api.LoadReport | None = None


def parse_callback(data: Body, report_fields: Mapping[str, str]) -> Callback:
    """Parse a worker's callback.

    Args:
        data: the body of the callback.
        report_fields: the meaning of each field name in a load report.

    Raises:
        MessageError: the callback is malformed.
    """
    fields = read_json(data)
    if not isinstance(fields, dict):
        raise MessageError("a call-back is a JSON object")
    state = fields.get("state")
    request_id = string_field(fields, "id")
    worker_id = string_field(fields, "from")
    load_report = load_report_from_json(fields.get("load"), report_fields)
    if state == DONE:
        result = string_field(fields, "result")
        return Callback(request_id, worker_id, api.Outcome.OK, result=result, load_report=load_report)
    if state == STARTED:
        return Callback(request_id, worker_id, None)
    if state == RUNNING:
        return Callback(request_id, worker_id, None, progress=_parse_progress(fields.get("share")))
    if not isinstance(state, str) or state not in FAILURE_OUTCOMES:
        raise MessageError("a call-back's state is unknown")
    return Callback(request_id, worker_id, FAILURE_OUTCOMES[state], load_report=load_report)


def _parse_progress(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= 1:
        raise MessageError("share is no figure from 0 to 1")
    return float(value)
