"""The writer: generates a complete, valid configuration from a short description of an application.

It is deterministic: the same description and catalogue give the same text.  The key `origin`, which the
program does not read, records where each value comes from.
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
from weldquay.config.catalogue import Catalogue, find_similar_name, normalize_name
from weldquay.config.rules.limits import WORKER_DESCRIPTOR_FRACTION
from weldquay.errors import OperatorError
from weldquay.limits import BASE_MEMORY_MB, CONNECTION_BYTES, RESERVED_DESCRIPTORS

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000
# The timeout as a multiple of the wanted time, if neither the description nor the catalogue has a timeout.
TIMEOUT_MULTIPLE = 10.0
# Lower bounds of the generated limits; above the minimum that the program needs (weldquay/limits.py).
MIN_SOCKETS, MIN_MEMORY_MB = 256, 64
# The limit on open requests is HEADROOM times the expected number.  For that number, a request is assumed to
# be open for as long as its client waits, but at most MAX_REQUEST_DURATION_S.
MAX_REQUEST_DURATION_S = 5.0
HEADROOM = 3.0


class DescriptionError(OperatorError, ValueError):
    """A description that does not give a valid configuration; the message says what is missing or wrong."""

    error_code = "description-error"
    remedy = "correct the part of the description that is named, and run the command again"


class KindDescription(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of job of the application; values that the catalogue contains may be omitted."""

    name: schema.Name
    repeat_harmless: bool | None = None
    wanted_ms: Annotated[float, Meta(gt=0, le=3_600_000)] | None = None
    give_up_s: Annotated[float, Meta(gt=0, le=3600)] | None = None
    worth: Annotated[float, Meta(gt=0, le=1e6)] | None = None


class Description(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a team states about its application."""

    name: schema.Name
    kinds: Annotated[list[KindDescription], Meta(min_length=1)]
    customers: dict[str, Annotated[float, Meta(gt=0, le=1)]] = {}
    listen: schema.HostPort = "127.0.0.1:8443"
    mgmt: schema.HostPort = "127.0.0.1:8444"
    discovery: schema.HostPort = "127.0.0.1:8500"
    calls_per_s: Annotated[float, Meta(gt=0, le=10_000)] = 10.0
    dispatchers: Annotated[int, Meta(ge=1, le=100_000)] = 1


def parse_description(description: object) -> Description:
    """Validate a decoded description.  Raises DescriptionError that names what is missing or wrong."""
    try:
        return msgspec.convert(description, Description)
    except msgspec.ValidationError as error:
        raise DescriptionError(str(error)) from None


def compose_configuration(description: Description, site: Catalogue | None = None) -> dict[str, Any]:
    """Return the configuration for a description.  Raises DescriptionError."""
    origin: dict[str, str] = {}
    services = [
        _job_class(kind, site, origin, f"settings.services.{index}")
        for index, kind in enumerate(description.kinds)
    ]
    names = [normalize_name(entry["name"]) for entry in services]
    if len(set(names)) < len(names):
        raise DescriptionError("two kinds have the same name, or names that differ only in spelling")
    class_stretches = [_class_stretch(kind, site) for kind in description.kinds]
    limits, open_requests = _limits(description, services, origin)
    settings = {
        "group_size": description.dispatchers,
        "me": 0,
        "zone": 0,
        "zones": ["here"],
        "shapes": ["fast", "standard", "old"],
        "discovery": "ask",
        "worth_by": "work",
        "services": services,
        "family_info": {"class_stretch": class_stretches, "tells_start": True, "queue_order": "fifo"},
        "load_info": {"fields": ["svc_ms", "pending", "x0", "x1"], "via": "inline"},
        "customers": _customers(description, site, origin),
        "caps": _caps(services, site, origin, open_requests),
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


def _job_class(
    kind: KindDescription, site: Catalogue | None, origin: dict[str, str], path: str
) -> dict[str, Any]:
    """Return the job class for a kind of job, and record the origin of its values under `path`."""
    site_kind = site.kind(kind.name) if site is not None else None
    _check_kind(kind, site_kind, site)
    source = (
        f"the catalogue of {site.site}" if site is not None and site_kind is not None else "the description"
    )
    name = kind.name if site_kind is None else site_kind.name
    if site_kind is None:
        is_repeatable = bool(kind.repeat_harmless)
        origin[f"{path}.effect"] = "the description's repeat_harmless"
    else:
        # A kind that may run twice is still fragile if its team does not want it repeated.
        is_repeatable = not site_kind.never_twice and kind.repeat_harmless is not False
        is_described = kind.repeat_harmless is not None and not site_kind.never_twice
        origin[f"{path}.effect"] = "the description" if is_described else source
    if kind.wanted_ms is not None:
        objective_ns = int(kind.wanted_ms * NS_PER_MS)
        origin[f"{path}.aim_ns"] = "the description"
    else:
        objective_ns = int(site_kind.aim_ns or 0) if site_kind is not None else 0
        origin[f"{path}.aim_ns"] = source
    if kind.give_up_s is not None:
        timeout_ns = int(kind.give_up_s * NS_PER_S)
        origin[f"{path}.give_up_ns"] = "the description"
    elif site_kind is not None:
        timeout_ns = site_kind.give_up_ns
        origin[f"{path}.give_up_ns"] = source
    else:
        timeout_ns = int(TIMEOUT_MULTIPLE * objective_ns)
        origin[f"{path}.give_up_ns"] = f"{TIMEOUT_MULTIPLE:g} times the wanted time"
    if site_kind is not None and timeout_ns > site_kind.give_up_ns:
        raise DescriptionError(f"{name}: its clients give up after {site_kind.give_up_ns / NS_PER_S:g} s")
    if objective_ns > timeout_ns:
        raise DescriptionError(f"{name}: the wanted time is longer than its clients wait")
    default_weight = site_kind.worth if site_kind is not None else 1.0
    return {
        "name": name,
        "aim_ns": max(1, objective_ns),
        "give_up_ns": max(1, timeout_ns),
        "effect": "retryable" if is_repeatable else "fragile",
        "worth": default_weight if kind.worth is None else kind.worth,
    }


def _check_kind(kind: KindDescription, site_kind: catalogue.JobKind | None, site: Catalogue | None) -> None:
    """Raise DescriptionError if a kind contradicts the catalogue, or a value is in neither of them."""
    if site_kind is not None:
        if site_kind.never_twice and kind.repeat_harmless:
            raise DescriptionError(f"{site_kind.name} must never run twice, so a repeat is not harmless")
    else:
        names = [entry.name for entry in site.kinds] if site is not None else []
        if similar := find_similar_name(kind.name, names):
            raise DescriptionError(
                f"{kind.name} is similar to the known kind {similar}: use it, or a clearly different name"
            )
        if kind.repeat_harmless is None:
            raise DescriptionError(f"{kind.name}: state whether a repeat is harmless (repeat_harmless)")
    if kind.wanted_ms is None and (site_kind is None or site_kind.aim_ns is None):
        raise DescriptionError(
            f"{kind.name}: state within how many milliseconds a response is wanted (wanted_ms)"
        )


def _class_stretch(kind: KindDescription, site: Catalogue | None) -> float:
    """Return the runtime allowance of a kind of job in the catalogue; 0 if the kind is not in it."""
    site_kind = site.kind(kind.name) if site is not None else None
    return site_kind.stretch if site_kind is not None else 0.0


def _customers(
    description: Description, site: Catalogue | None, origin: dict[str, str]
) -> list[dict[str, Any]]:
    """Return the site's customers with their shares, and the description's that the site does not list."""
    site_customers = site.customers if site is not None else []
    rows = {normalize_name(entry.name): (entry.name, entry.fraction) for entry in site_customers}
    for name, fraction in description.customers.items():
        if normalize_name(name) in rows:
            if abs(rows[normalize_name(name)][1] - fraction) > 0.005:
                raise DescriptionError(
                    f"the share of {name} is {rows[normalize_name(name)][1]:g}, not {fraction:g}"
                )
            continue
        if similar := find_similar_name(name, [entry for entry, _ in rows.values()]):
            raise DescriptionError(f"the customer {name} is similar to {similar}: use that name")
        rows[normalize_name(name)] = (name, fraction)
    total = math.fsum(fraction for _, fraction in rows.values())
    if total > 1.005:
        raise DescriptionError(f"the customers' shares add up to {total:g}, but must not exceed 1")
    origin["settings.customers"] = (
        f"the catalogue of {site.site}, and the description" if site is not None else "the description"
    )
    return [
        {
            "name": name,
            "fraction": fraction,
            "quota_per_s": max(1.0, round(description.calls_per_s * fraction, 3)),
        }
        for name, fraction in rows.values()
    ]


def _limits(
    description: Description,
    services: list[dict[str, Any]],
    origin: dict[str, str],
) -> tuple[dict[str, Any], int]:
    """Return the limits for the requests open at the expected rate, and the number of those requests."""
    duration_s = min(MAX_REQUEST_DURATION_S, max(entry["give_up_ns"] for entry in services) / NS_PER_S)
    open_requests = max(32, math.ceil(description.calls_per_s * duration_s * HEADROOM))
    sockets = max(
        MIN_SOCKETS, math.ceil((open_requests + RESERVED_DESCRIPTORS) / (1 - WORKER_DESCRIPTOR_FRACTION)) + 1
    )
    memory = max(MIN_MEMORY_MB, math.ceil(BASE_MEMORY_MB + open_requests * CONNECTION_BYTES / 2**20) + 1)
    reason = f"{description.calls_per_s:g} calls a second that stay {duration_s:g} s, {HEADROOM:g} times over"
    origin["limits"] = origin["settings.caps.max_open"] = reason
    return {"cores": 1.0, "memory_mb": memory, "sockets": sockets}, open_requests


def _caps(
    services: list[dict[str, Any]],
    site: Catalogue | None,
    origin: dict[str, str],
    open_requests: int,
) -> dict[str, Any]:
    site_limits = site.limits if site is not None else None
    shortest_timeout_ns = min(entry["give_up_ns"] for entry in services)
    caps = {
        "cancel": True,
        "probes": True,
        "may_duplicate": bool(site_limits and site_limits.may_duplicate),
        "max_attempts": (site_limits and site_limits.max_attempts) or 3,
        "max_open": open_requests,
        "retry_after": True,
        "max_retry_after_ns": (site_limits and site_limits.max_retry_after_ns) or 2 * NS_PER_S,
        "connect_timeout_ns": min(
            (site_limits and site_limits.connect_timeout_ns) or 250 * NS_PER_MS,
            max(1, shortest_timeout_ns // 4),
        ),
        "conn_idle_ns": (site_limits and site_limits.conn_idle_ns) or 15 * NS_PER_S,
    }
    origin["settings.caps"] = f"the catalogue of {site.site}" if site is not None else "usual figures"
    return caps


def _safety(site: Catalogue | None, origin: dict[str, str]) -> dict[str, Any]:
    site_limits = site.limits if site is not None else None
    defaults = {
        "cold_share": 0.34,
        "warm_after_ns": 10 * NS_PER_S,
        "fall_multiple": 2.0,
        "overload_for_ns": 2 * NS_PER_S,
        "ask_within_ns": 10 * NS_PER_S,
        "stop_sending_within_ns": 250 * NS_PER_MS,
    }
    origin["settings.safety"] = f"the catalogue of {site.site}" if site is not None else "careful figures"
    return {
        name: value
        if site_limits is None or getattr(site_limits, name) is None
        else getattr(site_limits, name)
        for name, value in defaults.items()
    }


def format_configuration(document: dict[str, Any]) -> str:
    """Format a configuration as the text of its file."""
    return json.dumps(document, indent=1, ensure_ascii=False) + "\n"


def write_file(path: Path, content: str, force: bool = False) -> None:
    """Write a file atomically.  Raises FileExistsError if it exists and `force` is not set."""
    descriptor, temporary = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "w", encoding="utf-8") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary, 0o644)
        if force:
            os.replace(temporary, path)
        else:
            os.link(temporary, path)  # unlike a check before a rename, it fails atomically
            os.unlink(temporary)
    except BaseException:
        os.unlink(temporary)
        raise
