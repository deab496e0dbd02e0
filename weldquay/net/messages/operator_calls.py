"""Operator calls: a method and a path below /control/."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote

from weldquay.net.messages.common import MessageError

CONTROL_ROOT = b"control"
DISPATCHER_CALLS: dict[tuple[bytes, bytes], str] = {
    (b"GET", b"ready"): "ready",
    (b"POST", b"out-of-service"): "out-of-service",
    (b"POST", b"in-service"): "in-service",
}
WORKER_GROUP = b"match-workers"
WORKER_CALLS: dict[bytes, str] = {b"offline": "offline", b"online": "online"}


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """The operation that an operator requests."""

    operation: str
    worker_id: str = ""  # empty if the operation concerns the dispatcher


def parse_operator_call(method: bytes, target: bytes) -> OperatorCall:
    """Parse the method and the target of an operator's request.

    Raises:
        MessageError: there is no such call.
    """
    root, _, path = target.split(b"?", 1)[0].removeprefix(b"/").partition(b"/")
    if root == CONTROL_ROOT:
        operation = DISPATCHER_CALLS.get((method, path))
        if operation is not None:
            return OperatorCall(operation)
        group, _, rest = path.partition(b"/")
        worker_id, _, action = rest.rpartition(b"/")
        if method == b"POST" and group == WORKER_GROUP and worker_id and action in WORKER_CALLS:
            return OperatorCall(WORKER_CALLS[action], unquote(worker_id.decode("latin-1")))
    raise MessageError("there is no such call")
