"""The handler for the requests of one connection: health checks, callbacks and job requests."""

from __future__ import annotations

import logging
from collections.abc import Coroutine
from typing import Any, Protocol

from weldquay.limits import MAX_REASON_LENGTH
from weldquay.net.client_context import ClientContext
from weldquay.net.connection_state import ConnectionState
from weldquay.net.http_channel import HttpChannel
from weldquay.net.messages import (
    CORRELATION_ID,
    MAX_ID_LENGTH,
    MessageError,
    RequestHead,
    closing_response,
    encode_text,
    format_retry_after,
    job_payload,
    parse_callback,
    parse_class_name,
    parse_request_metadata,
)
from weldquay.net.read_ahead import ReadAhead
from weldquay.net.request_log import RequestEvent
from weldquay.net.requests import AcceptedRequest, ClientRequest, Completed, Rejected, RequestResult

log = logging.getLogger(__name__)

HEALTH_PATH = b"/_health"
CALLBACK_PATH = b"/callback"
CALLBACK_START = b"POST " + CALLBACK_PATH


class RequestConnection(Protocol):
    """The connection, as the handler uses it."""

    state: ConnectionState
    waited_s: float  # how long the last read bytes have waited for capacity and for their turn

    def enter(self, state: ConnectionState) -> None:
        """Change the state."""

    def write(self, data: bytes) -> None:
        """Write bytes of a response."""

    def start_lingering_close(self) -> None:
        """Close the connection after the response that was written."""

    def has_client_left(self) -> bool:
        """Return whether the client has closed the connection, also if that is not read yet."""

    def has_unread_data(self) -> bool:
        """Return whether bytes have arrived that are not read yet."""

    def resume(self) -> Coroutine[Any, Any, None]:
        """Handle requests that were already received."""


class ClosedConnection:
    """Takes the place of a connection that has ended: nothing is written, and its state does not change."""

    state = ConnectionState.LINGERING
    waited_s = 0.0

    def enter(self, state: ConnectionState) -> None:
        """Ignore the state."""

    def write(self, data: bytes) -> None:
        """Ignore the data."""

    def start_lingering_close(self) -> None:
        """Do nothing; the connection is closed."""

    def has_client_left(self) -> bool:
        """Return True."""
        return True

    def has_unread_data(self) -> bool:
        """Return False."""
        return False

    async def resume(self) -> None:
        """Do nothing; no request is handled any more."""


CLOSED_CONNECTION = ClosedConnection()


class RequestHandler:
    """Handles the requests of one connection, one at a time, and writes their responses."""

    __slots__ = ("accepted", "channel", "connection", "context", "open_request", "read_ahead")

    def __init__(
        self,
        context: ClientContext,
        channel: HttpChannel,
        connection: RequestConnection,
        accepted: AcceptedRequest | None,
    ) -> None:
        """Respond on a connection; accepted is its open request if the older process has migrated one."""
        self.context = context
        self.channel = channel
        self.connection = connection
        self.accepted = accepted
        self.open_request: ClientRequest | None = None  # the job request that waits for its result
        self.read_ahead = ReadAhead(context.read_ahead_budget)

    def handle(self) -> None:
        """Handle the request that the channel has parsed."""
        request = self.channel.request
        assert request is not None
        path = request.target.split(b"?", 1)[0]
        job_class = self.context.classes.get(parse_class_name(path))
        try:
            if self.accepted is not None:
                self._continue_accepted_request(self.accepted)
            elif path == HEALTH_PATH:
                self._respond_to_health_check(request.method)
            elif path != CALLBACK_PATH and job_class is None:
                self.reject(404, "no such class or path")
            elif request.method != b"POST":
                self.reject(405, "only POST")
            elif job_class is None:
                self._handle_callback()
            else:
                self._submit_job(request, job_class)
        except MessageError as error:
            self.reject(400, str(error))

    def is_callback(self, unread: bytes = b"") -> bool:
        """Return whether the current request is a callback, by its head or by the start of it.

        unread: bytes that the channel does not have yet.
        """
        request = self.channel.request
        if request is not None:
            return request.target.split(b"?", 1)[0] == CALLBACK_PATH
        return (self.channel.unparsed_data + unread).startswith(CALLBACK_START)

    def _respond_to_health_check(self, method: bytes) -> None:
        if method not in (b"GET", b"HEAD"):
            self.reject(405, "only GET and HEAD")
        elif self.context.is_serving():
            self._respond_and_close(200, b"ok")
        else:
            self._respond_and_close(503, b"draining")

    def _handle_callback(self) -> None:
        """Pass a callback to the coordinator; an unmatched one may belong to the other process."""
        body = self.channel.body
        callback = parse_callback(body, self.context.config.report_fields)
        if self.context.coordinator.handle_callback(callback) or self.context.forward_callback(bytes(body)):
            self._respond(204)
        else:  # without a response the worker sends it again
            self.connection.start_lingering_close()

    def _continue_accepted_request(self, accepted: AcceptedRequest) -> None:
        """Wait for the result of a request that the older process accepted."""
        self.accepted = None
        self.open_request = accepted.request
        accepted.request.on_result = self._respond_with_result
        accepted.request.has_client_left = self.connection.has_client_left
        accepted.request.has_unread_data = self.connection.has_unread_data
        self.connection.enter(ConnectionState.WAITING)
        for result in accepted.results:
            self._respond_with_result(result)

    def _submit_job(self, request: RequestHead, job_class: int) -> None:
        """Submit a job request to the coordinator or reject it."""
        context = self.context
        metadata = parse_request_metadata(request.headers)
        if context.is_rejecting:
            context.counters.add("requests_out_of_service")
            self.reject_overload("the dispatcher is out of service or ends")
            return
        if context.has_request(metadata.id):
            self.reject(409, "a request with this id is open or was sent")
            return
        if self.connection.has_client_left():
            context.counters.add("requests_of_disconnected_clients")
            self._log(RequestEvent.CLIENT_LEFT, "before the request was submitted")
            self.connection.start_lingering_close()
            return
        if context.buffer_budget.is_exceeded:
            context.counters.add("requests_rejected_for_memory")
            self.reject_overload("all connections together hold too much")
            return
        payload = job_payload(request, self.channel.body)
        self.read_ahead.set_size(self.channel.receiver.held_bytes)
        self.open_request = context.coordinator.submit(
            job_class, metadata, payload, self._respond_with_result, int(self.connection.waited_s * 1e9)
        )
        if self.open_request is None:
            self.reject_overload("too many requests are open (caps.max_open)")
        else:
            self.open_request.has_client_left = self.connection.has_client_left
            self.open_request.has_unread_data = self.connection.has_unread_data
            context.add_open_id(metadata.id)
            self.connection.enter(ConnectionState.WAITING)

    def _respond_with_result(self, result: RequestResult) -> None:
        """Write the response to the open request."""
        assert self.open_request is not None
        self.context.end_request(self.open_request)
        self.open_request = None
        try:
            self._write_result(result)
        except Exception:
            log.exception("responding with a result failed")
            self.context.counters.add("responses_failed")
            self._respond_and_close(502, b"failed")
        if self.connection.state is ConnectionState.IDLE and self.channel.has_unparsed_data:
            self.context.tasks.start(self.connection.resume(), "next request of a connection")

    def _write_result(self, result: RequestResult) -> None:
        """Write the response for a result.  An exception is raised before any byte is written."""
        if isinstance(result, Completed):
            self._respond(200, encode_text(result.result))
        elif isinstance(result, Rejected):
            self._respond_overload(result.retry_after_ns)
        else:
            self._respond(502, b"failed")

    def _log(self, event: RequestEvent, reason: str) -> None:
        """Log why the current request was not served."""
        request = self.channel.request
        request_id = dict(request.headers).get(CORRELATION_ID, b"") if request is not None else b""
        self.context.counters.request_log.write(event, request_id.decode("latin-1")[:MAX_ID_LENGTH], reason)

    def reject_overload(self, reason: str) -> None:
        """Respond with 503 and the longest Retry-After of the settings; reason: appears in the log."""
        self._log(RequestEvent.REFUSED, reason)
        self._respond_overload(self.context.config.settings.max_retry_after_ns)

    def _respond_overload(self, retry_after_ns: int) -> None:
        """Respond with 503; retry_after_ns is the value of Retry-After, 0 omits the header."""
        headers = [(b"Retry-After", format_retry_after(retry_after_ns))] if retry_after_ns else []
        self._respond(503, b"overloaded, come again", headers)

    def _respond(
        self, status: int, body: bytes = b"", headers: list[tuple[bytes, bytes]] | None = None
    ) -> None:
        """Write a response; the connection closes after it if the client or the server requires that."""
        headers = headers or []
        if status != 204:
            headers.append((b"Content-Length", b"%d" % len(body)))
        if self.context.is_closing or self.read_ahead.is_exceeded:
            headers.append((b"Connection", b"close"))
        self.connection.write(self.channel.serialize_response(status, body, headers))
        if self.channel.start_next_request():
            self.connection.enter(ConnectionState.IDLE)
        else:
            self.connection.start_lingering_close()

    def reject(self, status: int, reason: str) -> None:
        """Respond to a bad request and close the connection.

        The text of an error of h11 contains the whole malformed line, so it is cut.
        """
        self.context.counters.add(f"http_errors_{status}")
        self._log(RequestEvent.REFUSED, f"{status}, {reason[:MAX_REASON_LENGTH]}")
        self._respond_and_close(status, reason[:MAX_REASON_LENGTH].encode())

    def _respond_and_close(self, status: int, body: bytes) -> None:
        """Write a response and close the connection, without h11, which is slow for a short response."""
        request = self.channel.request
        is_head = request is not None and request.method == b"HEAD"
        self.connection.write(closing_response(status, body, is_head))
        self.connection.start_lingering_close()

    def disconnect(self) -> None:
        """End the open request, since the connection is lost, and drop the reference to the connection.

        Without the reference an ended connection is freed at once, and not by the next garbage collection.
        """
        self.connection = CLOSED_CONNECTION
        self.read_ahead.set_size(0)
        if self.accepted is not None:
            self.context.disconnect(self.accepted.request)
        if self.open_request is not None:
            self.context.disconnect(self.open_request)
            self.open_request = None
