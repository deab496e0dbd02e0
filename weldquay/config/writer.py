"""The writer: a whole, sound configuration from a short description of an application.

It is deterministic: the same description and catalogue give the same text.  Each figure's origin is told
under the key `origin`, which the program does not read.
"""

from __future__ import annotations

import hashlib
import json
import math
import os
import tempfile
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from weldquay.config import catalogue, schema
from weldquay.config.catalogue import Catalogue, fold, near
from weldquay.config.rules.limits import WORKER_DESCRIPTOR_FRACTION
from weldquay.errors import OperatorError
from weldquay.limits import BASE_MB, BYTES_EACH, RESERVE

MS, SECOND = 1_000_000, 1_000_000_000
TIMEOUT_MULTIPLE = 10.0  # times the wanted time, where nobody says how long clients wait
MIN_SOCKETS, MIN_MEMORY_MB = 256, 64
MAX_STAY_S = 5.0  # a job's longest usual stay, from which the room for open calls is reckoned
HEADROOM = 3.0


class DescriptionError(OperatorError, ValueError):
    """A description from which no sound configuration can be made; the text says what is missing or wrong."""

    error_code = "description-error"
    remedy = "correct the description at the name that is given, and run the command again"


class Kind(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of job of the application; what the catalogue knows need not be told."""

    name: schema.Name
    repeat_harmless: bool | None = None
    wanted_ms: Annotated[float, Meta(gt=0, le=3_600_000)] | None = None
    give_up_s: Annotated[float, Meta(gt=0, le=3600)] | None = None
    worth: Annotated[float, Meta(gt=0, le=1e6)] | None = None


class Description(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a team tells of its application."""

    name: schema.Name
    kinds: Annotated[list[Kind], Meta(min_length=1)]
    customers: dict[str, Annotated[float, Meta(gt=0, le=1)]] = {}
    listen: schema.Place = "127.0.0.1:8443"
    mgmt: schema.Place = "127.0.0.1:8444"
    discovery: schema.Place = "127.0.0.1:8500"
    calls_per_s: Annotated[float, Meta(gt=0, le=10_000)] = 10.0
    dispatchers: Annotated[int, Meta(ge=1, le=100_000)] = 1


def describe(description: object) -> Description:
    """A description from its decoded object; DescriptionError names what is missing or wrong."""
    try:
        return msgspec.convert(description, Description)
    except msgspec.ValidationError as error:
        raise DescriptionError(str(error)) from None


def compose(description: Description, site: Catalogue | None = None) -> dict[str, Any]:
    """The configuration for a description."""
    origin: dict[str, str] = {}
    services = [
        _service(kind, site, origin, f"settings.services.{number}")
        for number, kind in enumerate(description.kinds)
    ]
    names = [fold(entry["name"]) for entry in services]
    if len(set(names)) < len(names):
        raise DescriptionError("two kinds have the same name, or the same in another spelling")
    stretches = [_stretch(kind, site) for kind in description.kinds]
    limits, open_calls = _limits(description, services, origin)
    settings = {
        "group_size": description.dispatchers,
        "me": 0,
        "zone": 0,
        "zones": ["here"],
        "shapes": ["fast", "standard", "old"],
        "discovery": "ask",
        "worth_by": "work",
        "services": services,
        "family_info": {"class_stretch": stretches, "tells_start": True, "queue_order": "fifo"},
        "load_info": {"fields": ["svc_ms", "pending", "x0", "x1"], "via": "inline"},
        "customers": _customers(description, site, origin),
        "caps": _caps(services, site, origin, open_calls),
        "safety": _safety(site, origin),
        "tariffs": {"probe": 0.002, "waste": 0.3},
    }
    origin["settings.group_size"] = "the description's dispatchers"
    seed = hashlib.sha256(description.name.encode()).hexdigest()[:16]
    origin["seed"] = "drawn from the name, so that the same description gives the same file"
    return {
        "name": description.name,
        "listen": description.listen,
        "mgmt": description.mgmt,
        "discovery": description.discovery,
        "seed": seed,
        "limits": limits,
        "settings": settings,
        "origin": origin,
    }


def _service(kind: Kind, site: Catalogue | None, origin: dict[str, str], path: str) -> dict[str, Any]:
    """Return the class of a kind of job, and enter the origin of its figures under its path."""
    known = site.kind(kind.name) if site is not None else None
    _check_kind(kind, known, site)
    source = f"the catalogue of {site.site}" if site is not None and known is not None else "the description"
    name = kind.name if known is None else known.name
    if known is None:
        is_repeatable = bool(kind.repeat_harmless)
        origin[f"{path}.effect"] = "the description's repeat_harmless"
    else:
        # A kind that may run twice stays fragile where its team does not want it repeated.
        is_repeatable = not known.never_twice and kind.repeat_harmless is not False
        is_described = kind.repeat_harmless is not None and not known.never_twice
        origin[f"{path}.effect"] = "the description" if is_described else source
    if kind.wanted_ms is not None:
        objective_ns = int(kind.wanted_ms * MS)
        origin[f"{path}.aim_ns"] = "the description"
    else:
        objective_ns = int(known.aim_ns or 0) if known is not None else 0
        origin[f"{path}.aim_ns"] = source
    if kind.give_up_s is not None:
        timeout_ns = int(kind.give_up_s * SECOND)
        origin[f"{path}.give_up_ns"] = "the description"
    elif known is not None:
        timeout_ns = known.give_up_ns
        origin[f"{path}.give_up_ns"] = source
    else:
        timeout_ns = int(TIMEOUT_MULTIPLE * objective_ns)
        origin[f"{path}.give_up_ns"] = f"{TIMEOUT_MULTIPLE:g} times the wanted time"
    if known is not None and timeout_ns > known.give_up_ns:
        raise DescriptionError(f"{name}: its clients give up after {known.give_up_ns / SECOND:g} s")
    if objective_ns > timeout_ns:
        raise DescriptionError(f"{name}: it is wanted only after its clients have given up")
    default_weight = known.worth if known is not None else 1.0
    return {
        "name": name,
        "aim_ns": max(1, objective_ns),
        "give_up_ns": max(1, timeout_ns),
        "effect": "retryable" if is_repeatable else "fragile",
        "worth": default_weight if kind.worth is None else kind.worth,
    }


def _check_kind(kind: Kind, known: catalogue.Kind | None, site: Catalogue | None) -> None:
    """Raise DescriptionError where a kind contradicts the catalogue, or lacks what it does not say."""
    if known is not None:
        if known.never_twice and kind.repeat_harmless:
            raise DescriptionError(f"{known.name} must never run twice, so a repeat is not harmless")
    else:
        names = [entry.name for entry in site.kinds] if site is not None else []
        if meant := near(kind.name, names):
            raise DescriptionError(
                f"{kind.name} is nearly {meant}: write that, or a name nobody takes for it"
            )
        if kind.repeat_harmless is None:
            raise DescriptionError(f"{kind.name}: say whether a repeat is harmless (repeat_harmless)")
    if kind.wanted_ms is None and (known is None or known.aim_ns is None):
        raise DescriptionError(f"{kind.name}: say within how many milliseconds it is wanted (wanted_ms)")


def _stretch(kind: Kind, site: Catalogue | None) -> float:
    known = site.kind(kind.name) if site is not None else None
    return known.stretch if known is not None else 0.0


def _customers(
    description: Description, site: Catalogue | None, origin: dict[str, str]
) -> list[dict[str, Any]]:
    """The site's customers with its shares, and those of the description that it does not know."""
    known = site.customers if site is not None else []
    rows = {fold(entry.name): (entry.name, entry.fraction) for entry in known}
    for name, fraction in description.customers.items():
        if fold(name) in rows:
            if abs(rows[fold(name)][1] - fraction) > 0.005:
                raise DescriptionError(f"the share of {name} is {rows[fold(name)][1]:g}, not {fraction:g}")
            continue
        if meant := near(name, [entry for entry, _ in rows.values()]):
            raise DescriptionError(f"the customer {name} is nearly {meant}: write that")
        rows[fold(name)] = (name, fraction)
    total = math.fsum(fraction for _, fraction in rows.values())
    if total > 1.005:
        raise DescriptionError(f"the customers' shares add up to {total:g}: they may be 1 together")
    origin["settings.customers"] = (
        f"the catalogue of {site.site}, and the description" if site is not None else "the description"
    )
    return [
        {"name": name, "fraction": part, "quota_per_s": max(1.0, round(description.calls_per_s * part, 3))}
        for name, part in rows.values()
    ]


def _limits(
    description: Description,
    services: list[dict[str, Any]],
    origin: dict[str, str],
) -> tuple[dict[str, Any], int]:
    """Descriptors and memory for the calls that are open at the expected rate, and how many that is."""
    stay_s = min(MAX_STAY_S, max(entry["give_up_ns"] for entry in services) / SECOND)
    open_calls = max(32, math.ceil(description.calls_per_s * stay_s * HEADROOM))
    sockets = max(MIN_SOCKETS, math.ceil((open_calls + RESERVE) / (1 - WORKER_DESCRIPTOR_FRACTION)) + 1)
    memory = max(MIN_MEMORY_MB, math.ceil(BASE_MB + open_calls * BYTES_EACH / 2**20) + 1)
    why = f"{description.calls_per_s:g} calls a second that stay {stay_s:g} s, {HEADROOM:g} times over"
    origin["limits"] = origin["settings.caps.max_open"] = why
    return {"cores": 1.0, "memory_mb": memory, "sockets": sockets}, open_calls


def _caps(
    services: list[dict[str, Any]],
    site: Catalogue | None,
    origin: dict[str, str],
    open_calls: int,
) -> dict[str, Any]:
    known = site.limits if site is not None else None
    least = min(entry["give_up_ns"] for entry in services)
    caps = {
        "cancel": True,
        "probes": True,
        "may_duplicate": bool(known and known.may_duplicate),
        "max_attempts": (known and known.max_attempts) or 3,
        "max_open": open_calls,
        "retry_after": True,
        "max_retry_after_ns": (known and known.max_retry_after_ns) or 2 * SECOND,
        "connect_timeout_ns": min((known and known.connect_timeout_ns) or 250 * MS, max(1, least // 4)),
        "conn_idle_ns": (known and known.conn_idle_ns) or 15 * SECOND,
    }
    origin["settings.caps"] = f"the catalogue of {site.site}" if site is not None else "usual figures"
    return caps


def _safety(site: Catalogue | None, origin: dict[str, str]) -> dict[str, Any]:
    known = site.limits if site is not None else None
    defaults = {
        "cold_share": 0.34,
        "warm_after_ns": 10 * SECOND,
        "fall_multiple": 2.0,
        "overload_for_ns": 2 * SECOND,
        "ask_within_ns": 10 * SECOND,
        "stop_sending_within_ns": 250 * MS,
    }
    origin["settings.safety"] = f"the catalogue of {site.site}" if site is not None else "careful figures"
    return {
        name: value if known is None or getattr(known, name) is None else getattr(known, name)
        for name, value in defaults.items()
    }


def text(document: dict[str, Any]) -> str:
    """A configuration as it is written."""
    return json.dumps(document, indent=1, ensure_ascii=False) + "\n"


def save(path: Path, content: str, force: bool = False) -> None:
    """Write a file whole, by a rename; FileExistsError where it is there and force is off."""
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "w", encoding="utf-8") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(name, 0o644)
        if force:
            os.replace(name, path)
        else:
            os.link(name, path)  # fails where the file is there, and leaves no moment in between
            os.unlink(name)
    except BaseException:
        os.unlink(name)
        raise
