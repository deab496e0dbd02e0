"""The loop on standard input and output that hosts many independent instances of the dispatcher.

Run it as `python -m weldquay.adapter [--room FILE]`.  It ends with status 0 when input ends between frames,
and with status 2 and one line on standard error when input breaks the protocol or the file is bad.
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
from weldquay.settings import Pairs, decode_settings

if TYPE_CHECKING:
    from weldquay.reservations.settings import ReservationSettings


class Host:
    """The instances of one process.  They share nothing but this table."""

    def __init__(self, room: ReservationSettings | None = None) -> None:
        self.room = room
        self.dispatchers: dict[int, Dispatcher] = {}
        self.fields: dict[int, tuple[str, ...]] = {}

    def answer(self, now_ns: int, body: bytes, count: int) -> bytes:
        """The body of the reply to one batch."""
        pending: dict[int, list[api.Event]] = {}
        broken: dict[int, str] = {}
        for instance, event in wire.decode_batch(body, count, self.fields):
            if isinstance(event, wire.Killed):
                self.dispatchers.pop(instance, None)
                self.fields.pop(instance, None)
                pending.pop(instance, None)
            elif isinstance(event, wire.PowerOn):
                pending[instance] = []
                try:
                    settings, self.fields[instance] = decode_settings(Pairs.from_text(event.settings_text))
                    self.dispatchers[instance] = Dispatcher(
                        replace(settings, reservations=self.room), event.seed
                    )
                except Exception as error:  # told to the other side as FAULT, below
                    broken[instance] = f"{type(error).__name__}: {error}"
            else:
                pending.setdefault(instance, []).append(event)
        parts = []
        for instance, events in pending.items():
            if instance not in broken and instance in self.dispatchers:
                try:
                    actions = self.dispatchers[instance].step(now_ns, events)
                    parts.append(wire.encode_actions(instance, actions))
                except Exception as error:  # never swallowed: FAULT ends the day with this text
                    broken[instance] = f"{type(error).__name__}: {error}"
            if instance in broken:
                parts.append(wire.encode_fault(instance, broken[instance]))
        return b"".join(parts)


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    while len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO, room: ReservationSettings | None = None) -> None:
    """Answer batches until input ends; raise WireError where it breaks the protocol."""
    host = Host(room)
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
    """Serve standard input; the exit status."""
    parser = argparse.ArgumentParser("weldquay.adapter", description="Decisions on the simulator's wire.")
    parser.add_argument(
        "--room",
        metavar="FILE",
        default=os.environ.get("GW_ROOM"),
        help="figures for holding room for large jobs (or $GW_ROOM)",
    )
    path, room = parser.parse_args().room, None
    try:
        if path:
            from weldquay.reservations import (
                settings as reservation_settings,
            )  # only where they are used: its library costs memory

            room = reservation_settings.read(Path(path))
        serve(sys.stdin.buffer, sys.stdout.buffer, room)
    except (wire.WireError, ValueError) as error:
        print(f"weldquay: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
