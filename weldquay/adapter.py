"""The simulator's adapter: many independent dispatchers on standard input and output.

Run it as `python -m weldquay.adapter [--room FILE]`.  It exits with status 0 when the input ends between two
frames, and with status 2 and one line on standard error if the input breaks the protocol or the file is bad.
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


class Host:
    """The instances of one process, which share nothing but these tables."""

    def __init__(self, reservations: ReservationSettings | None = None) -> None:
        self.reservations = reservations
        self.dispatchers: dict[int, Dispatcher] = {}
        self.report_fields: dict[int, tuple[str, ...]] = {}

    def answer(self, now_ns: int, body: bytes, count: int) -> bytes:
        """The body of the reply to a batch of count records.

        An exception in an instance becomes its FAULT record.  Raises WireError.
        """
        events_by_instance: dict[int, list[api.Event]] = {}
        faults: dict[int, str] = {}
        for instance, event in wire.decode_batch(body, count, self.report_fields):
            if isinstance(event, wire.Killed):
                self._remove(instance)
                events_by_instance.pop(instance, None)
            elif isinstance(event, wire.PowerOn):
                events_by_instance[instance] = []
                try:
                    self._start(instance, event)
                except Exception as error:  # becomes a FAULT record
                    faults[instance] = _describe(error)
            else:
                events_by_instance.setdefault(instance, []).append(event)
        records = []
        for instance, events in events_by_instance.items():
            if instance not in faults and instance in self.dispatchers:
                try:
                    actions = self.dispatchers[instance].step(now_ns, events)
                    records.append(wire.encode_actions(instance, actions))
                except Exception as error:  # becomes a FAULT record
                    faults[instance] = _describe(error)
            if instance in faults:
                records.append(wire.encode_fault(instance, faults[instance]))
        return b"".join(records)

    def _start(self, instance: int, power_on: wire.PowerOn) -> None:
        settings, report_fields = decode_settings(FlatSettings.from_text(power_on.settings_text))
        self.report_fields[instance] = report_fields
        settings = replace(settings, reservations=self.reservations)
        self.dispatchers[instance] = Dispatcher(settings, power_on.seed)

    def _remove(self, instance: int) -> None:
        self.dispatchers.pop(instance, None)
        self.report_fields.pop(instance, None)


def _describe(error: Exception) -> str:
    """The text of a FAULT record."""
    return f"{type(error).__name__}: {error}"


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read size bytes, or fewer at the end of the input."""
    data = source.read(size)
    while len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO, reservations: ReservationSettings | None = None) -> None:
    """Reply to batches until the input ends.  Raises WireError if it breaks the protocol."""
    host = Host(reservations)
    frame = 0
    while True:
        header = _read_exactly(source, wire.HEADER.size)
        if not header:
            return
        if len(header) < wire.HEADER.size:
            raise wire.WireError(f"frame {frame}: header cut short after {len(header)} bytes")
        size, count, now_ns = wire.HEADER.unpack(header)
        body = _read_exactly(source, size)
        if len(body) < size:
            raise wire.WireError(f"frame {frame}: body cut short after {len(body)} of {size} bytes")
        try:
            reply = host.answer(now_ns, body, count)
        except wire.WireError as error:
            raise wire.WireError(f"frame {frame}: {error}") from None
        sink.write(wire.frame_reply(reply))
        sink.flush()
        frame += 1


def main() -> int:
    """Serve standard input, and return the exit status."""
    parser = argparse.ArgumentParser("weldquay.adapter", description="Decisions on the simulator's wire.")
    parser.add_argument(
        "--room",
        metavar="FILE",
        default=os.environ.get("GW_ROOM"),
        help="figures for holding room for large jobs (or $GW_ROOM)",
    )
    path = parser.parse_args().room
    reservations = None
    try:
        if path:
            # Imported only if used: its library takes memory.
            from weldquay.reservations import settings as reservation_settings

            reservations = reservation_settings.read_settings(Path(path))
        serve(sys.stdin.buffer, sys.stdout.buffer, reservations)
    except (wire.WireError, ValueError) as error:
        print(f"weldquay: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
