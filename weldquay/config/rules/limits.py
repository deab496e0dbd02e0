"""WQ5xx: slow starts and drains.  WQ6xx: addresses, networks, file descriptors and memory."""

from __future__ import annotations

import ipaddress
from typing import Any

from weldquay.config.rules.base import CheckContext, Level, Violations, format_duration, rule, to_number
from weldquay.limits import (
    BASE_MEMORY_MB,
    CONNECTION_BYTES,
    MAX_PORT,
    MIN_MEMORY_MB,
    MIN_SOCKETS,
    RESERVED_DESCRIPTORS,
)

# Fraction of the file descriptors that is reserved for connections to workers, as in net/connection_pool.py
# and net/client_server.py.
WORKER_DESCRIPTOR_FRACTION = 0.3

# Safety settings that may be stricter than the site's limit, but not laxer: key, direction in which a value
# is laxer (1: larger, -1: smaller), consequence of a laxer value.
SAFETY_LIMITS = (
    ("cold_share", 1, "a worker that warms up would be assumed to have more capacity than the site states"),
    ("warm_after_ns", -1, "the slow start of a worker would end before the site says that it is warm"),
    ("fall_multiple", 1, "a worker that warms up would be given a load under which it fails"),
    ("overload_for_ns", -1, "the load of a worker that warms up would be measured over too short a time"),
    ("stop_sending_within_ns", 1, "a draining worker would get new attempts after the allowed delay"),
    (
        "ask_within_ns",
        1,
        "discovery would be polled too rarely: the site counts a drain as reported before the dispatcher has "
        "received it",
    ),
)


@rule(
    "WQ501",
    Level.SITE,
    "A setting for slow starts or drains is laxer than the site allows",
    needs_catalogue=True,
    why="A worker that is overloaded while it warms up fails and stays down; a draining worker must get no "
    "new attempts once the allowed delay is over.",
    bad='"fall_multiple": 10',
    good='"fall_multiple": 2.5',
)
def _safety(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    for name, lax_direction, consequence in SAFETY_LIMITS:
        limit, value = (
            getattr(context.catalogue.limits, name),
            context.number_at("settings", "safety", name),
        )
        if limit is not None and value is not None and (value - limit) * lax_direction > 1e-9 * limit:
            shown = (
                (format_duration(value), format_duration(limit))
                if name.endswith("_ns")
                else (f"{value:g}", f"{limit:g}")
            )
            yield (
                ("settings", "safety", name),
                (f"{name} is {shown[0]}, the site's limit is {shown[1]}: {consequence}; write {limit:g}"),
            )


@rule(
    "WQ601",
    Level.ALWAYS,
    "An address is invalid",
    why="The program cannot listen on it or connect to it.",
    bad='"listen": "127.0.0.1:99999"',
    good='"listen": "127.0.0.1:8443"',
)
def _address(context: CheckContext) -> Violations:
    for name in ("listen", "mgmt", "discovery"):
        value = context.document.get(name)
        if isinstance(value, str) and ":" in value and _port(value) > MAX_PORT:
            yield (name,), f"{name} is {value}: the port must be at most {MAX_PORT}"


@rule(
    "WQ602",
    Level.SITE,
    "Two addresses conflict",
    why="Only one server can listen there; the other would not start, or get requests that are not for it.",
    bad='{"listen": "127.0.0.1:8443", "mgmt": "127.0.0.1:8443"}',
    good='{"listen": "127.0.0.1:8443", "mgmt": "127.0.0.1:8444"}',
)
def _address_conflict(context: CheckContext) -> Violations:
    names = [name for name in ("listen", "mgmt", "discovery") if isinstance(context.document.get(name), str)]
    for index, name in enumerate(names):
        for other in names[:index]:
            address, other_address = str(context.document[name]), str(context.document[other])
            hosts = {_host(address), _host(other_address)}
            if _port(address) == _port(other_address) != 0 and (len(hosts) == 1 or hosts & {"0.0.0.0", "::"}):
                yield (name,), f"{name} and {other} both use {other_address}: give each its own port"


@rule(
    "WQ603",
    Level.SITE,
    "A sidecar listens on an address that other machines can reach",
    why="A sidecar serves one application on its own machine; on any other address, anybody can submit jobs.",
    bad='"listen": "10.0.0.4:8443"',
    good='"listen": "127.0.0.1:8443"',
)
def _sidecar_off_loopback(context: CheckContext) -> Violations:
    for name in ("listen", "mgmt") if context.sidecar else ():
        value = context.document.get(name)
        if isinstance(value, str) and ":" in value and not _is_loopback(_host(value)):
            yield (
                (name,),
                f"{name} is {value}, which is not a loopback address: write 127.0.0.1:{_port(value)}",
            )


@rule(
    "WQ604",
    Level.SITE,
    "An address is outside the site's networks",
    needs_catalogue=True,
    why="Nothing responds there, or something that does not belong to the site.",
    bad='"discovery": "192.0.2.1:8500"',
    good='"discovery": "10.2.0.1:8500"',
)
def _outside_networks(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    allowed = [ipaddress.ip_network(network) for network in context.catalogue.networks]
    for name in ("listen", "mgmt", "discovery") if allowed else ():
        value = context.document.get(name)
        try:
            host = ipaddress.ip_address(_host(str(value))) if isinstance(value, str) else None
        except ValueError:
            continue  # a host name; it is not resolved here
        if host is not None and not host.is_loopback and not any(host in network for network in allowed):
            yield (name,), f"{name} is {value}, which is outside {', '.join(context.catalogue.networks)}"


@rule(
    "WQ605",
    Level.ALWAYS,
    "Too few file descriptors or too little memory to run",
    why="The program, its listeners and its connections to workers need some before any client connects.",
    bad='{"sockets": 64, "memory_mb": 8}',
    good='{"sockets": 256, "memory_mb": 64}',
)
def _below_minimum(context: CheckContext) -> Violations:
    for name, minimum in (("sockets", MIN_SOCKETS), ("memory_mb", MIN_MEMORY_MB)):
        value = context.number_at("limits", name)
        if value is not None and value < minimum:
            yield ("limits", name), f"limits.{name} is {value:g}: the program needs at least {minimum}"


@rule(
    "WQ606",
    Level.ADVICE,
    "max_open exceeds the number of client connections that the limits allow",
    why="Each open request occupies a client's connection. Beyond the limit, the connection that has been "
    "idle longest is closed: max_open is never reached, and clients are disconnected instead of rejected.",
    bad='{"max_open": 100000, "sockets": 256}',
    good='{"max_open": 130, "sockets": 256}',
)
def _max_open_beyond_limits(context: CheckContext) -> Violations:
    limits = context.object_at("limits")
    sockets = to_number(limits.get("sockets"), 1024.0) or 1024.0
    memory = to_number(limits.get("memory_mb"), 192.0) or 192.0
    capacity = int(
        min(
            sockets * (1 - WORKER_DESCRIPTOR_FRACTION) - RESERVED_DESCRIPTORS,
            (memory - BASE_MEMORY_MB) * 2**20 / CONNECTION_BYTES,
        )
    )
    value = context.number_at("settings", "caps", "max_open")
    if value is not None and value > capacity and sockets >= MIN_SOCKETS and memory >= MIN_MEMORY_MB:
        yield (
            ("settings", "caps", "max_open"),
            (
                f"{value:g} requests may be open, but {sockets:g} file descriptors and {memory:g} MB suffice "
                f"for only {capacity} clients"
            ),
        )


@rule(
    "WQ607",
    Level.SITE,
    "A network is invalid",
    why="The set of peers that may connect would differ from the intended one.",
    bad='"clients": ["10.0.0.0/40"]',
    good='"clients": ["10.0.0.0/8", "!10.1.0.0/16"]',
)
def _invalid_network(context: CheckContext) -> Violations:
    for name in ("clients", "callbacks", "operators"):
        entries = context.object_at("access").get(name)
        for index, entry in enumerate(entries if isinstance(entries, list) else []):
            try:
                ipaddress.ip_network(str(entry).removeprefix("!"))
            except ValueError as error:
                yield ("access", name, index), f"{entry} is not a valid network: {error}"


@rule(
    "WQ608",
    Level.SITE,
    "An access list contains only exceptions",
    why="There is no network that the exceptions are taken from, so nobody may connect.",
    bad='"clients": ["!10.1.0.0/16"]',
    good='"clients": ["10.0.0.0/8", "!10.1.0.0/16"]',
)
def _exceptions_only(context: CheckContext) -> Violations:
    for name in ("clients", "callbacks", "operators"):
        entries = context.object_at("access").get(name)
        if isinstance(entries, list) and entries and all(str(entry).startswith("!") for entry in entries):
            yield (
                ("access", name),
                (f"access.{name} contains only exceptions, so nobody may connect: add a network"),
            )


@rule(
    "WQ609",
    Level.ALWAYS,
    "Access lists are not enforced by this version",
    why="The key is reserved: a file with networks would appear to restrict access, but does not.",
    bad='"access": {"clients": ["10.0.0.0/8"]}',
    good="no access key, and addresses that others cannot reach",
)
def _access_not_enforced(context: CheckContext) -> Violations:
    if any(context.object_at("access").values()):
        yield ("access",), "access is not enforced by this version: remove it"


def _host(address: Any) -> str:
    return str(address).rpartition(":")[0].strip("[]")


def _port(address: Any) -> int:
    port = str(address).rpartition(":")[2]
    return int(port) if port.isdecimal() else 0


def _is_loopback(host: str) -> bool:
    if host == "localhost":
        return True
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return False
    mapped = getattr(address, "ipv4_mapped", None)
    return (mapped or address).is_loopback
