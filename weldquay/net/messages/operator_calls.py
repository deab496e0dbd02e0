"""The calls of operators: a method and a path below /control/."""

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
    """What an operator asks for; worker: the id of a worker, empty if the call concerns the dispatcher."""

    verb: str
    worker: str = ""


def operator_call(method: bytes, target: bytes) -> OperatorCall:
    """The call of a method and a request target.  Raises MessageError if there is no such call."""
    root, _, path = target.split(b"?", 1)[0].removeprefix(b"/").partition(b"/")
    if root == CONTROL_ROOT:
        verb = DISPATCHER_CALLS.get((method, path))
        if verb is not None:
            return OperatorCall(verb)
        group, _, rest = path.partition(b"/")
        worker, _, action = rest.rpartition(b"/")
        if method == b"POST" and group == WORKER_GROUP and worker and action in WORKER_CALLS:
            return OperatorCall(WORKER_CALLS[action], unquote(worker.decode("latin-1")))
    raise MessageError("there is no such call")
