"""Adapter for the simulator: runs many independent dispatchers over standard input and output.

Run it as `python -m weldquay.adapter [--room FILE]`.  It exits with status 0 when the input ends between two
frames, and with status 2 and one line on standard error if the input violates the protocol or FILE is
invalid.
"""

from __future__ import annotations

import argparse
import os
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, BinaryIO

from weldquay import interface as api
from weldquay import wire
from weldquay.policy.dispatcher import Dispatcher
from weldquay.settings import FlatSettings, decode_settings

if TYPE_CHECKING:
    from weldquay.reservations.settings import ReservationSettings


class DispatcherHost:
    """All dispatcher instances of the process, by their number; they share no state."""

    def __init__(self, reservations: ReservationSettings | None = None) -> None:
        self.reservations = reservations
        self.dispatchers: dict[int, Dispatcher] = {}
        self.report_fields: dict[int, tuple[str, ...]] = {}

    def process_batch(self, now_ns: int, body: bytes, count: int) -> bytes:
        """Process a batch of `count` records and return the body of the reply.

        An exception in an instance is reported in a FAULT record of that instance.

        Raises:
            WireError: the batch violates the protocol.
        """
        events_by_instance: dict[int, list[api.Event]] = {}
        faults: dict[int, str] = {}
        for instance, event in wire.decode_batch(body, count, self.report_fields):
            if isinstance(event, wire.InstanceKilled):
                self._remove(instance)
                events_by_instance.pop(instance, None)
            elif isinstance(event, wire.InstanceStarted):
                events_by_instance[instance] = []
                try:
                    self._start(instance, event)
                except Exception as error:  # reported in a FAULT record
                    faults[instance] = _fault_text(error)
            else:
                events_by_instance.setdefault(instance, []).append(event)
        records = []
        for instance, events in events_by_instance.items():
            if instance not in faults and instance in self.dispatchers:
                try:
                    actions = self.dispatchers[instance].step(now_ns, events)
                    records.append(wire.encode_actions(instance, actions))
                except Exception as error:  # reported in a FAULT record
                    faults[instance] = _fault_text(error)
            if instance in faults:
                records.append(wire.encode_fault(instance, faults[instance]))
        return b"".join(records)

    def _start(self, instance: int, event: wire.InstanceStarted) -> None:
        settings, report_fields = decode_settings(FlatSettings.from_text(event.settings_text))
        self.report_fields[instance] = report_fields
        settings = replace(settings, reservations=self.reservations)
        self.dispatchers[instance] = Dispatcher(settings, event.seed)

    def _remove(self, instance: int) -> None:
        self.dispatchers.pop(instance, None)
        self.report_fields.pop(instance, None)


def _fault_text(error: Exception) -> str:
    """Return the text of a FAULT record."""
    return f"{type(error).__name__}: {error}"


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer at the end of the input."""
    data = source.read(size)
    while len(data) < size:
        chunk = source.read(size - len(data))
        if not chunk:
            break
        data += chunk
    return data


def serve(source: BinaryIO, sink: BinaryIO, reservations: ReservationSettings | None = None) -> None:
    """Reply to batches until the input ends.  Raises WireError if the input violates the protocol."""
    host = DispatcherHost(reservations)
    frame_index = 0
    while True:
        header = _read_exactly(source, wire.HEADER.size)
        if not header:
            return
        if len(header) < wire.HEADER.size:
            raise wire.WireError(f"frame {frame_index}: header truncated after {len(header)} bytes")
        size, count, now_ns = wire.HEADER.unpack(header)
        body = _read_exactly(source, size)
        if len(body) < size:
            raise wire.WireError(f"frame {frame_index}: body truncated after {len(body)} of {size} bytes")
        try:
            reply = host.process_batch(now_ns, body, count)
        except wire.WireError as error:
            raise wire.WireError(f"frame {frame_index}: {error}") from None
        sink.write(wire.frame_reply(reply))
        sink.flush()
        frame_index += 1


def main() -> int:
    """Serve standard input and return the exit status."""
    parser = argparse.ArgumentParser("weldquay.adapter", description="Run dispatchers for the simulator.")
    parser.add_argument(
        "--room",
        metavar="FILE",
        default=os.environ.get("GW_ROOM"),
        help="file of reservation settings (default: $GW_ROOM)",
    )
    path = parser.parse_args().room
    reservations = None
    try:
        if path:
            # Imported only if used, because the library it needs takes memory.
            from weldquay.reservations import settings as reservation_settings

            reservations = reservation_settings.read_settings(Path(path))
        serve(sys.stdin.buffer, sys.stdout.buffer, reservations)
    except (wire.WireError, ValueError) as error:
        print(f"weldquay: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
