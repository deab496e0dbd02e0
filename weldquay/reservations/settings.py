"""Settings of reservations, read from the operators' JSON file and validated."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from weldquay.errors import OperatorError

MAX_FILE_BYTES = 64 * 1024


class ReservationSettingsError(OperatorError, ValueError):
    """The settings cannot be read or are invalid; the message is one line with key, value and valid range."""

    error_code = "figures-error"
    remedy = "correct the named key; docs/room.md lists all keys with their bounds"


# The key of each field in the file.
EXTERNAL_KEYS = {
    "is_enabled": "on",
    "min_slots": "least_slots",
    "max_reserved_fraction": "most_held",
    "max_reservations": "most_holds",
    "hint_margin": "hint_margin",
    "max_delay": "slip",
    "queue_fraction": "queue_part",
    "value_margin": "worth_margin",
    "max_hint_error": "most_hint_error",
    "max_queued_per_worker": "most_waiting",
}


class ReservationSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=EXTERNAL_KEYS
):
    """When capacity is reserved, and how much.  Each key is optional.

    Attributes:
        is_enabled: capacity is reserved at all.
        min_slots: minimum slots of a job that capacity is reserved for.
        max_reserved_fraction: maximum fraction of the usable workers that are reserved.
        max_reservations: maximum number of concurrent reservations.
        hint_margin: safety factor on the running times of backfilled jobs.
        max_delay: maximum delay of the expected start, as a multiple of the job's running time.
        queue_fraction: maximum time before its start at which a job joins the worker's queue, as a multiple
            of its running time.
        value_margin: minimum ratio of the job's value to the cost of the reservation.
        max_hint_error: maximum mean error of runtime hints, in natural logarithms.
        max_queued_per_worker: maximum number of requests without a worker, per usable worker.
    """

    is_enabled: Annotated[bool, Meta(description="true or false")] = True
    min_slots: Annotated[float, Meta(ge=2, le=1024, description="a number of slots from 2 to 1024")] = 2.0
    max_reserved_fraction: Annotated[
        float, Meta(gt=0, le=0.5, description="a fraction of the workers above 0, at most 0.5")
    ] = 0.34
    max_reservations: Annotated[int, Meta(ge=1, le=256, description="a whole number from 1 to 256")] = 16
    hint_margin: Annotated[float, Meta(ge=1, le=10, description="a factor from 1 to 10")] = 1.25
    max_delay: Annotated[
        float, Meta(gt=0, le=10, description="a multiple of the job's running time above 0, at most 10")
    ] = 3.0
    queue_fraction: Annotated[
        float, Meta(ge=0, le=10, description="a multiple of the job's running time from 0 to 10")
    ] = 1.0
    value_margin: Annotated[float, Meta(ge=0, le=100, description="a factor from 0 to 100")] = 2.0
    max_hint_error: Annotated[
        float, Meta(ge=0.1, le=5, description="a mean error in natural logarithms from 0.1 to 5")
    ] = 1.0
    max_queued_per_worker: Annotated[
        float, Meta(gt=0, le=1000, description="a number of queued requests per worker above 0, at most 1000")
    ] = 4.0


def read_settings(path: Path) -> ReservationSettings:
    """Return the settings of a file.

    Raises:
        ReservationSettingsError: the file cannot be read, or its content is invalid.
    """
    return parse_settings(read_document(path), str(path))


def read_document(path: Path) -> dict[str, Any]:
    """Return the validated content of a file, by the keys of the file.

    Raises:
        ReservationSettingsError: the file cannot be read, or its content is invalid.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ReservationSettingsError(f"{path}: cannot be read: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise ReservationSettingsError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        document: dict[str, Any] = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ReservationSettingsError(f"{path}: not valid JSON: {error}") from None
    parse_settings(document, str(path))  # raises unless it is a valid JSON object
    return document


def parse_settings(document: object, name: str) -> ReservationSettings:
    """Return the settings of a decoded JSON object.

    Args:
        document: the object.
        name: source of the object, the first part of an error message.

    Raises:
        ReservationSettingsError: a key is unknown, or its value is of the wrong type or out of range.
    """
    if not isinstance(document, dict):
        raise ReservationSettingsError(f"{name}: not a JSON object")
    types = {field.encode_name: field.type for field in msgspec.structs.fields(ReservationSettings)}
    for key, value in document.items():
        if key not in types:
            raise ReservationSettingsError(f"{name}: unknown key {key}; the keys are {', '.join(types)}")
        try:
            msgspec.convert(value, types[key])
        except msgspec.ValidationError:
            expected = types[key].__metadata__[0].description
            raise ReservationSettingsError(
                f"{name}: {key} is {msgspec.json.encode(value).decode()}: write {expected}"
            ) from None
    return msgspec.convert(document, ReservationSettings)
