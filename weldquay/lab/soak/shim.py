"""Makes system calls of one process fail for a time, and steps its wall clock; for soak rounds only.

The soak puts the folder `hook` on the path of a dispatcher, and a list of faults into its environment.  The
program itself never imports this module.
"""

from __future__ import annotations

import errno
import json
import os
import pathlib
import random
import socket
import sys
import time
import weakref
from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

ENVIRONMENT_VARIABLE = "WELDQUAY_SOAK_FAULTS"
FIRED_TEXT = "soak fault fired:"  # the start of a line in the process's log, once for each fault
HOOK_FOLDER = pathlib.Path(__file__).parent / "hook"


class Call(Enum):
    """What fails."""

    ACCEPT = "accept"
    CONNECT = "connect"
    RECEIVE = "recv on a connection that this process has opened"
    STATE_FILE = "write of a state file"
    WALL_CLOCK = "the wall clock is stepped"


ERRORS: dict[Call, tuple[int, ...]] = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS),
    Call.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ETIMEDOUT),
    Call.RECEIVE: (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET),
    Call.STATE_FILE: (errno.ENOSPC, errno.EIO),
}
CLOCK_STEPS_S = (-3600, -5, 5, 3600)


@dataclass(frozen=True, slots=True)
class CallFault:
    """A fault of one process.

    Attributes:
        call: what fails.
        start_s: when it starts, from the start of the process.
        duration_s: how long it lasts; a clock step lasts.
        probability: how many of the calls fail.
        value: the error number, or the step of the clock (s).
    """

    call: Call
    start_s: float
    duration_s: float
    probability: float
    value: int


def draw_faults(rng: random.Random) -> tuple[CallFault, ...]:
    """Return one to three faults."""
    faults = []
    for call in rng.sample(list(Call), rng.randint(1, 3)):
        value = rng.choice(ERRORS.get(call, CLOCK_STEPS_S))
        faults.append(
            CallFault(call, rng.uniform(0.5, 5), rng.uniform(0.1, 3), rng.choice([0.1, 0.5]), value)
        )
    return tuple(faults)


def environment(faults: tuple[CallFault, ...]) -> dict[str, str]:
    """Return the variables that make a Python process install the faults."""
    if not faults:
        return {}
    document = [{**asdict(fault), "call": fault.call.value} for fault in faults]
    paths = [str(HOOK_FOLDER), str(HOOK_FOLDER.parents[3])]
    return {ENVIRONMENT_VARIABLE: json.dumps(document), "PYTHONPATH": os.pathsep.join(paths)}


def install_from_environment() -> None:
    """Install the faults that the environment names."""
    document = json.loads(os.environ.get(ENVIRONMENT_VARIABLE, "[]"))
    faults = [CallFault(**{**each, "call": Call(each["call"])}) for each in document]
    if faults:
        Shim(faults).install()


class Shim:
    """The faults of this process, and the calls that they replace."""

    def __init__(self, faults: list[CallFault]) -> None:
        self._faults = {fault.call: fault for fault in faults}
        self._started_at = time.monotonic()
        self._rng = random.Random(str(faults))
        self._fired: set[Call] = set()
        self._opened: weakref.WeakSet[socket.socket] = weakref.WeakSet()  # sockets that called connect

    def install(self) -> None:
        """Replace the calls."""
        patched: Any = socket.socket
        patched.accept = self._failing(Call.ACCEPT, socket.socket.accept)
        patched.connect = self._recording(self._failing(Call.CONNECT, socket.socket.connect))
        patched.recv = self._on_opened(self._failing(Call.RECEIVE, socket.socket.recv), socket.socket.recv)
        path: Any = pathlib.Path
        path.write_bytes = self._failing(Call.STATE_FILE, pathlib.Path.write_bytes)
        clock: Any = time
        clock.time, clock.time_ns = self._stepped(time.time, 1), self._stepped(time.time_ns, 10**9)

    def _is_active(self, fault: CallFault) -> bool:
        elapsed_s = time.monotonic() - self._started_at
        is_over = fault.call is not Call.WALL_CLOCK and elapsed_s > fault.start_s + fault.duration_s
        return elapsed_s >= fault.start_s and not is_over

    def _report(self, fault: CallFault) -> None:
        if fault.call not in self._fired:
            self._fired.add(fault.call)
            print(f"{FIRED_TEXT} {fault.call.name} {fault.value}", file=sys.stderr, flush=True)

    def _failing(self, call: Call, original: Callable[..., Any]) -> Callable[..., Any]:
        fault = self._faults.get(call)
        if fault is None:
            return original

        def replacement(*arguments: Any) -> Any:
            if self._is_active(fault) and self._rng.random() < fault.probability:
                self._report(fault)
                raise OSError(fault.value, os.strerror(fault.value))
            return original(*arguments)

        return replacement

    def _recording(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def replacement(sock: socket.socket, *arguments: Any) -> Any:
            self._opened.add(sock)
            return original(sock, *arguments)

        return replacement

    def _on_opened(self, failing: Callable[..., Any], original: Callable[..., Any]) -> Callable[..., Any]:
        def replacement(sock: socket.socket, *arguments: Any) -> Any:
            return (failing if sock in self._opened else original)(sock, *arguments)

        return replacement

    def _stepped(self, original: Callable[[], Any], units_per_s: int) -> Callable[[], Any]:
        fault = self._faults.get(Call.WALL_CLOCK)
        if fault is None:
            return original

        def replacement() -> Any:
            if self._is_active(fault):
                self._report(fault)
                return original() + fault.value * units_per_s
            return original()

        return replacement
