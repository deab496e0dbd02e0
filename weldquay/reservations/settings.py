"""The operators' figures for holding room: a JSON file of their own, checked whole before it is taken."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from weldquay.errors import OperatorError

LARGEST = 64 * 1024  # bytes of a file; what is larger is no file of these few keys


class ReservationSettingsError(OperatorError, ValueError):
    """A file that cannot be taken; one line names the key, its value and what would be right."""

    error_code = "figures-error"
    remedy = "correct the key that is named; docs/room.md lists all of them with their bounds"


# The file's key of each field.
KEYS = {
    "on": "on",
    "least_slots": "least_slots",
    "most_held": "most_held",
    "most_holds": "most_holds",
    "hint_margin": "hint_margin",
    "slip": "slip",
    "queue_part": "queue_part",
    "worth_margin": "worth_margin",
    "most_hint_error": "most_hint_error",
    "most_waiting": "most_waiting",
}


class ReservationSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=KEYS):
    """When room is held, and how much.  Each key may be left out."""

    on: Annotated[bool, Meta(description="true or false")] = True
    least_slots: Annotated[float, Meta(ge=2, le=1024, description="a number of slots from 2 to 1024")] = 2.0
    most_held: Annotated[
        float, Meta(gt=0, le=0.5, description="a part of the workers above 0, at most 0.5")
    ] = 0.34
    most_holds: Annotated[int, Meta(ge=1, le=256, description="a whole number from 1 to 256")] = 16
    hint_margin: Annotated[float, Meta(ge=1, le=10, description="a factor from 1 to 10")] = 1.25
    slip: Annotated[
        float, Meta(gt=0, le=10, description="a part of the job's running time above 0, at most 10")
    ] = 3.0
    queue_part: Annotated[
        float, Meta(ge=0, le=10, description="a part of the job's running time from 0 to 10")
    ] = 1.0
    worth_margin: Annotated[float, Meta(ge=0, le=100, description="a factor from 0 to 100")] = 2.0
    most_hint_error: Annotated[
        float, Meta(ge=0.1, le=5, description="a mean error in natural logarithms from 0.1 to 5")
    ] = 1.0
    most_waiting: Annotated[
        float, Meta(gt=0, le=1000, description="jobs in hand without room for each worker, above 0")
    ] = 4.0


def read(path: Path) -> ReservationSettings:
    """The figures from a file."""
    return check(read_file(path), str(path))


def read_file(path: Path) -> dict[str, Any]:
    """What a file holds, checked; FiguresError names what is wrong with it."""
    try:
        with path.open("rb") as file:
            data = file.read(LARGEST + 1)
    except OSError as error:
        raise ReservationSettingsError(f"{path}: cannot be read: {error.strerror}") from None
    if len(data) > LARGEST:
        raise ReservationSettingsError(f"{path}: larger than {LARGEST} bytes; it has but a few keys")
    try:
        told = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ReservationSettingsError(f"{path}: not valid JSON: {error}") from None
    check(told, str(path))
    return told  # type: ignore[no-any-return]


def check(told: object, name: str) -> ReservationSettings:
    """The figures from a decoded object, each key held against its range."""
    if not isinstance(told, dict):
        raise ReservationSettingsError(f"{name}: holds no JSON object")
    known = {field.encode_name: field.type for field in msgspec.structs.fields(ReservationSettings)}
    for key, value in told.items():
        if key not in known:
            raise ReservationSettingsError(f"{name}: {key} is no key; there are {', '.join(known)}")
        try:
            msgspec.convert(value, known[key])
        except msgspec.ValidationError:
            right = known[key].__metadata__[0].description
            raise ReservationSettingsError(
                f"{name}: {key} is {msgspec.json.encode(value).decode()}: write {right}"
            ) from None
    return msgspec.convert(told, ReservationSettings)
