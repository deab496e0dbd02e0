"""Parsers and serializers for the HTTP messages of clients, workers, discovery and operators.

They are pure functions.  The names on the wire (headers, JSON fields, states and paths) are constants and
tables in the module of each message, and are independent of the names of classes and fields.
"""

from weldquay.net.messages.callbacks import Callback, parse_callback
from weldquay.net.messages.client_requests import (
    CORRELATION_ID,
    MAX_ID_LENGTH,
    RequestMetadata,
    format_retry_after,
    parse_class_name,
    parse_correlation_id,
    parse_request_metadata,
    serialize_request,
)
from weldquay.net.messages.common import (
    MAX_BODY_BYTES,
    Body,
    MessageError,
    closing_response,
    encode_text,
    read_json,
)
from weldquay.net.messages.endpoint_list import (
    Endpoint,
    EndpointList,
    endpoint_list_from_json,
    endpoint_to_json,
    parse_endpoint_list,
    watch_target,
)
from weldquay.net.messages.jobs import JobPayload, job_headers, job_payload
from weldquay.net.messages.load_reports import load_report_from_json, parse_load_report
from weldquay.net.messages.operator_calls import OperatorCall, parse_operator_call
from weldquay.net.messages.request_head import RequestHead, reduce_head

__all__ = [
    "CORRELATION_ID",
    "MAX_BODY_BYTES",
    "MAX_ID_LENGTH",
    "Body",
    "Callback",
    "Endpoint",
    "EndpointList",
    "JobPayload",
    "MessageError",
    "OperatorCall",
    "RequestHead",
    "RequestMetadata",
    "closing_response",
    "encode_text",
    "endpoint_list_from_json",
    "endpoint_to_json",
    "format_retry_after",
    "job_headers",
    "job_payload",
    "load_report_from_json",
    "parse_callback",
    "parse_class_name",
    "parse_correlation_id",
    "parse_endpoint_list",
    "parse_load_report",
    "parse_operator_call",
    "parse_request_metadata",
    "read_json",
    "reduce_head",
    "serialize_request",
    "watch_target",
]
