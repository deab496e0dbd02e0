"""Load reports of workers, in response headers, health check responses and callbacks."""

from __future__ import annotations

from collections.abc import Mapping

from weldquay import interface as api
from weldquay.limits import MAX_REPORT_VALUE
from weldquay.net.messages.common import Body, MessageError, read_json
from weldquay.settings import load_report


def load_report_from_json(document: object, report_fields: Mapping[str, str]) -> api.LoadReport | None:
    """Convert the JSON object of a load report.

    Args:
        document: the JSON value; None if it is absent.
        report_fields: the meaning of each field name.

    Returns:
        The load report, or None if it is absent, lacks a field or contains an invalid number.
    """
    if not isinstance(document, dict) or not report_fields:
        return None
    values = {}
    for name, meaning in report_fields.items():
        value = document.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float) or value > MAX_REPORT_VALUE:
            return None
        values[meaning] = float(value)
    return load_report(values)


def parse_load_report(data: Body | None, report_fields: Mapping[str, str]) -> api.LoadReport | None:
    """Parse a load report from a header or a body; return None if it is absent or malformed."""
    if not data:
        return None
    try:
        return load_report_from_json(read_json(data), report_fields)
    except MessageError:
        return None
