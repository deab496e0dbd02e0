"""Settings of reservations, read from the operators' JSON file and validated as a whole."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from weldquay.errors import OperatorError

MAX_FILE_BYTES = 64 * 1024


class ReservationSettingsError(OperatorError, ValueError):
    """The file cannot be used; the message is one line with the key, its value and the valid range."""

    error_code = "figures-error"
    remedy = "correct the key that is named; docs/room.md lists all of them with their bounds"


# The external key of each field.
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

    min_slots: of a job that capacity is reserved for; max_reserved_fraction: of the usable workers;
    max_reservations: at once; hint_margin: factor on the running times of backfilled jobs; max_delay: of the
    expected start, in running times of the job; queue_fraction: of the job's running time, how long before
    its start it joins the worker's queue; value_margin: required ratio of the job's value to the cost;
    max_hint_error: natural logarithm, mean; max_queued_per_worker: requests without a worker.
    """

    is_enabled: Annotated[bool, Meta(description="true or false")] = True
    min_slots: Annotated[float, Meta(ge=2, le=1024, description="a number of slots from 2 to 1024")] = 2.0
    max_reserved_fraction: Annotated[
        float, Meta(gt=0, le=0.5, description="a part of the workers above 0, at most 0.5")
    ] = 0.34
    max_reservations: Annotated[int, Meta(ge=1, le=256, description="a whole number from 1 to 256")] = 16
    hint_margin: Annotated[float, Meta(ge=1, le=10, description="a factor from 1 to 10")] = 1.25
    max_delay: Annotated[
        float, Meta(gt=0, le=10, description="a part of the job's running time above 0, at most 10")
    ] = 3.0
    queue_fraction: Annotated[
        float, Meta(ge=0, le=10, description="a part of the job's running time from 0 to 10")
    ] = 1.0
    value_margin: Annotated[float, Meta(ge=0, le=100, description="a factor from 0 to 100")] = 2.0
    max_hint_error: Annotated[
        float, Meta(ge=0.1, le=5, description="a mean error in natural logarithms from 0.1 to 5")
    ] = 1.0
    max_queued_per_worker: Annotated[
        float, Meta(gt=0, le=1000, description="jobs in hand without room for each worker, above 0")
    ] = 4.0


def read_settings(path: Path) -> ReservationSettings:
    """Return the settings of a file.

    Raises:
        ReservationSettingsError: the file cannot be read, or its content is invalid.
    """
    return parse_settings(read_document(path), str(path))


def read_document(path: Path) -> dict[str, Any]:
    """Return the validated content of a file, by external keys.

    Raises:
        ReservationSettingsError: the file cannot be read, or its content is invalid.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ReservationSettingsError(f"{path}: cannot be read: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise ReservationSettingsError(f"{path}: larger than {MAX_FILE_BYTES} bytes; it has but a few keys")
    try:
        document: dict[str, Any] = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ReservationSettingsError(f"{path}: not valid JSON: {error}") from None
    parse_settings(document, str(path))  # also that it is a JSON object
    return document


def parse_settings(document: object, name: str) -> ReservationSettings:
    """Return the settings of a decoded JSON object; name: stands first in the error's message.

    Raises:
        ReservationSettingsError: a key is unknown, or its value is of the wrong type or out of range.
    """
    if not isinstance(document, dict):
        raise ReservationSettingsError(f"{name}: holds no JSON object")
    types = {field.encode_name: field.type for field in msgspec.structs.fields(ReservationSettings)}
    for key, value in document.items():
        if key not in types:
            raise ReservationSettingsError(f"{name}: {key} is no key; there are {', '.join(types)}")
        try:
            msgspec.convert(value, types[key])
        except msgspec.ValidationError:
            expected = types[key].__metadata__[0].description
            raise ReservationSettingsError(
                f"{name}: {key} is {msgspec.json.encode(value).decode()}: write {expected}"
            ) from None
    return msgspec.convert(document, ReservationSettings)
