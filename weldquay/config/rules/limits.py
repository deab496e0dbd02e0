"""WQ5xx: cold starts and drains.  WQ6xx: addresses, networks, descriptors and memory."""

from __future__ import annotations

import ipaddress
from typing import Any

from weldquay.config.rules.base import CheckContext, Level, Violations, format_duration, rule, to_number
from weldquay.limits import BASE_MB, BYTES_EACH, MAX_PORT, MIN_MEMORY_MB, MIN_SOCKETS, RESERVE

# Of the file descriptors; net/connection_pool.py and net/client_server.py divide them in the same way.
WORKER_DESCRIPTOR_FRACTION = 0.3

# Figures that may be stricter than the site's, but not laxer: name, which way is lax, what it does.
SAFETY = (
    ("cold_share", 1, "a cold worker is taken to do more than the site says it can"),
    ("warm_after_ns", -1, "a worker is taken to be warm before the site says it is"),
    ("fall_multiple", 1, "a cold worker is sent more than it can stand"),
    ("overload_for_ns", -1, "a cold worker's load is counted over too short a time"),
    ("stop_sending_within_ns", 1, "a drained worker would be sent to after the grace has ended"),
    ("ask_within_ns", 1, "discovery is asked too seldom: drains that it would tell count as told"),
)


@rule(
    "WQ501",
    Level.SITE,
    "Cold starts or drains are treated more freely than the site allows",
    needs_catalogue=True,
    why="A cold worker that gets more than it can stand falls over and stays down; a drained one must get "
    "nothing new once its grace is over.",
    bad='"fall_multiple": 10',
    good='"fall_multiple": 2.5',
)
def _safety(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    for name, lax_direction, what in SAFETY:
        maximum, value = (
            getattr(context.catalogue.limits, name),
            context.number_at("settings", "safety", name),
        )
        if maximum is not None and value is not None and (value - maximum) * lax_direction > 1e-9 * maximum:
            shown = (
                (format_duration(value), format_duration(maximum))
                if name.endswith("_ns")
                else (f"{value:g}", f"{maximum:g}")
            )
            yield (
                ("settings", "safety", name),
                (f"{name} is {shown[0]}, the site says {shown[1]}: {what}; write {maximum:g}"),
            )


@rule(
    "WQ601",
    Level.ALWAYS,
    "An address that is none",
    why="The program cannot listen at it, or connect to it.",
    bad='"listen": "127.0.0.1:99999"',
    good='"listen": "127.0.0.1:8443"',
)
def _address(context: CheckContext) -> Violations:
    for name in ("listen", "mgmt", "discovery"):
        value = context.document.get(name)
        if isinstance(value, str) and ":" in value and _port(value) > MAX_PORT:
            yield (name,), f"{name} is {value}: a port is at most {MAX_PORT}"


@rule(
    "WQ602",
    Level.SITE,
    "Two addresses clash",
    why="Only one can listen there; the other would answer calls that are not for it, or not start.",
    bad='{"listen": "127.0.0.1:8443", "mgmt": "127.0.0.1:8443"}',
    good='{"listen": "127.0.0.1:8443", "mgmt": "127.0.0.1:8444"}',
)
def _address_clash(context: CheckContext) -> Violations:
    names = [name for name in ("listen", "mgmt", "discovery") if isinstance(context.document.get(name), str)]
    for number, name in enumerate(names):
        for other in names[:number]:
            address, other_address = str(context.document[name]), str(context.document[other])
            hosts = {_host(address), _host(other_address)}
            if _port(address) == _port(other_address) != 0 and (len(hosts) == 1 or hosts & {"0.0.0.0", "::"}):
                yield (name,), f"{name} and {other} are both {other_address}: give each a port of its own"


@rule(
    "WQ603",
    Level.SITE,
    "A sidecar that others can reach",
    why="A sidecar serves one application on its own machine; on another address anybody may hand in jobs.",
    bad='"listen": "10.0.0.4:8443"',
    good='"listen": "127.0.0.1:8443"',
)
def _sidecar_off_loopback(context: CheckContext) -> Violations:
    for name in ("listen", "mgmt") if context.sidecar else ():
        value = context.document.get(name)
        if isinstance(value, str) and ":" in value and not _is_loopback(_host(value)):
            yield (name,), f"{name} is {value}, no loopback address: write 127.0.0.1:{_port(value)}"


@rule(
    "WQ604",
    Level.SITE,
    "An address outside the site's networks",
    needs_catalogue=True,
    why="Nothing answers there, or something that is not the site's.",
    bad='"discovery": "192.0.2.1:8500"',
    good='"discovery": "10.2.0.1:8500"',
)
def _outside_networks(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    allowed = [ipaddress.ip_network(entry) for entry in context.catalogue.networks]
    for name in ("listen", "mgmt", "discovery") if allowed else ():
        value = context.document.get(name)
        try:
            host = ipaddress.ip_address(_host(str(value))) if isinstance(value, str) else None
        except ValueError:
            continue  # a name: what it stands for is not known here
        if host is not None and not host.is_loopback and not any(host in entry for entry in allowed):
            yield (name,), f"{name} is {value}, outside {', '.join(context.catalogue.networks)}"


@rule(
    "WQ605",
    Level.ALWAYS,
    "Too few descriptors or too little memory to run at all",
    why="The program itself, its listeners and its connections to workers need some before any client.",
    bad='{"sockets": 64, "memory_mb": 8}',
    good='{"sockets": 256, "memory_mb": 64}',
)
def _below_minimum(context: CheckContext) -> Violations:
    for name, minimum in (("sockets", MIN_SOCKETS), ("memory_mb", MIN_MEMORY_MB)):
        value = context.number_at("limits", name)
        if value is not None and value < minimum:
            yield ("limits", name), f"limits.{name} is {value:g}: the program needs {minimum} at least"


@rule(
    "WQ606",
    Level.ADVICE,
    "More calls allowed than there is room for",
    why="Each call in hand holds a client's connection. Beyond the room the longest idle one is closed: "
    "max_open is never reached, and clients are cut off instead of refused.",
    bad='{"max_open": 100000, "sockets": 256}',
    good='{"max_open": 130, "sockets": 256}',
)
def _max_open_beyond_limits(context: CheckContext) -> Violations:
    limits = context.object_at("limits")
    sockets = to_number(limits.get("sockets"), 1024.0) or 1024.0
    memory = to_number(limits.get("memory_mb"), 192.0) or 192.0
    capacity = int(
        min(sockets * (1 - WORKER_DESCRIPTOR_FRACTION) - RESERVE, (memory - BASE_MB) * 2**20 / BYTES_EACH)
    )
    value = context.number_at("settings", "caps", "max_open")
    if value is not None and value > capacity and sockets >= MIN_SOCKETS and memory >= MIN_MEMORY_MB:
        yield (
            ("settings", "caps", "max_open"),
            (
                f"{value:g} calls may be open, but {sockets:g} descriptors and {memory:g} MB hold {capacity} "
                "clients"
            ),
        )


@rule(
    "WQ607",
    Level.SITE,
    "A network that is none",
    why="Who may connect would be another set than was meant.",
    bad='"clients": ["10.0.0.0/40"]',
    good='"clients": ["10.0.0.0/8", "!10.1.0.0/16"]',
)
def _invalid_network(context: CheckContext) -> Violations:
    for name in ("clients", "callbacks", "operators"):
        entries = context.object_at("access").get(name)
        for number, entry in enumerate(entries if isinstance(entries, list) else []):
            try:
                ipaddress.ip_network(str(entry).removeprefix("!"))
            except ValueError as error:
                yield ("access", name, number), f"{entry} is no network: {error}"


@rule(
    "WQ608",
    Level.SITE,
    "A list of networks that lets nobody in",
    why="It holds exceptions only; what they are taken from is missing.",
    bad='"clients": ["!10.1.0.0/16"]',
    good='"clients": ["10.0.0.0/8", "!10.1.0.0/16"]',
)
def _exceptions_only(context: CheckContext) -> Violations:
    for name in ("clients", "callbacks", "operators"):
        entries = context.object_at("access").get(name)
        if isinstance(entries, list) and entries and all(str(entry).startswith("!") for entry in entries):
            yield (
                ("access", name),
                (f"access.{name} holds exceptions only, so nobody may connect: add a network"),
            )


@rule(
    "WQ609",
    Level.ALWAYS,
    "Networks that this version does not hold anybody to",
    why="The key is reserved: a file that names networks would be taken to keep others out, and does not.",
    bad='"access": {"clients": ["10.0.0.0/8"]}',
    good="no access, and addresses that others cannot reach",
)
def _access_not_enforced(context: CheckContext) -> Violations:
    if any(context.object_at("access").values()):
        yield ("access",), "access is not enforced by this version: leave it out"


def _host(address: Any) -> str:
    return str(address).rpartition(":")[0].strip("[]")


def _port(address: Any) -> int:
    port = str(address).rpartition(":")[2]
    return int(port) if port.isdecimal() else 0


def _is_loopback(host: str) -> bool:
    if host == "localhost":
        return True
    try:
        value = ipaddress.ip_address(host)
    except ValueError:
        return False
    mapped = getattr(value, "ipv4_mapped", None)
    return (mapped or value).is_loopback
