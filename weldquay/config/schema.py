"""The schema of the configuration: every key with its type, unit, range, default and meaning.

The checker, the JSON Schema, the reference page and the writer are based on it.  Times are in nanoseconds, as
the simulator gives them.  A key that is not listed here only causes a warning, as the platform may add keys.

The names of the classes appear in the JSON Schema, under `$defs` and `title`.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from weldquay.reservations.settings import ReservationSettings

PositiveDurationNs = Annotated[
    int, Meta(gt=0, le=86_400_000_000_000, description="a number of nanoseconds above 0, at most one day")
]
DurationNs = Annotated[
    int, Meta(ge=0, le=86_400_000_000_000, description="a number of nanoseconds from 0 to one day")
]
Fraction = Annotated[float, Meta(ge=0, le=1, description="a fraction from 0 to 1")]
Cost = Annotated[float, Meta(ge=0, le=1000, description="a cost from 0 to 1000")]
Name = Annotated[str, Meta(min_length=1, max_length=200, description="a name of 1 to 200 characters")]
HostPort = Annotated[
    str,
    Meta(pattern=r"^(\[[0-9A-Fa-f:.]+\]|[^:\s\[\]]+):[0-9]{1,5}$", description="HOST:PORT, or [IPv6]:PORT"),
]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000, description="a whole number from 1 to 1000000")]


class Section(Struct, frozen=True, kw_only=True):
    """Base class of the objects in a configuration."""


class JobClass(Section, frozen=True, kw_only=True):
    """settings.services[]: a job class."""

    name: Annotated[Name, Meta(extra={"why": "the first segment of a request's path"})]
    aim_ns: Annotated[
        PositiveDurationNs,
        Meta(extra={"why": "latency objective: a response within this time, plus the stretch, is in time"}),
    ]
    give_up_ns: Annotated[
        PositiveDurationNs, Meta(extra={"why": "how long a client waits, all attempts included"})
    ]
    effect: Annotated[
        Literal["retryable", "dedup", "fragile"],
        Meta(description="retryable (may run again), dedup (repeats are dropped) or fragile (never twice)"),
    ]
    group: Annotated[
        Literal["all", "zone", "cell"],
        Meta(description="all, zone or cell: the workers that drop a dedup job's repeats"),
    ] = "all"
    window_ns: Annotated[DurationNs, Meta(extra={"why": "how long workers drop repeats"})] = 0
    worth: Annotated[float, Meta(ge=0, le=1e6, description="a number from 0 to 1000000")] = 1.0
    late_value: Annotated[
        Fraction, Meta(extra={"why": "fraction of the worth that a late response keeps"})
    ] = 0.0
    aim_stretch: Annotated[float, Meta(ge=0, le=100, description="a factor from 0 to 100")] = 0.0
    stream: bool = False


class Caps(Section, frozen=True, kw_only=True):
    """settings.caps: what the site permits."""

    cancel: Annotated[bool, Meta(extra={"why": "attempts may be cancelled"})] = False
    probes: Annotated[bool, Meta(extra={"why": "workers may be probed for their load"})] = False
    peers: bool = False
    may_duplicate: Annotated[
        bool, Meta(extra={"why": "hedged requests: a second attempt while the first runs"})
    ] = False
    retry_after: Annotated[bool, Meta(extra={"why": "rejections carry a Retry-After"})] = False
    max_attempts: Annotated[int, Meta(ge=1, le=100, description="a whole number from 1 to 100")] = 1
    max_open: Annotated[PositiveCount, Meta(extra={"why": "open requests at a time"})] = 10_000
    max_retry_after_ns: DurationNs = 0
    connect_timeout_ns: PositiveDurationNs = 250_000_000
    conn_idle_ns: PositiveDurationNs = 15_000_000_000
    cpu_us_per_request: Annotated[float, Meta(ge=0)] = 0.0
    cpu_us_per_s: Annotated[float, Meta(ge=0)] = 0.0
    streams_per_conn: PositiveCount = 1


class Safety(Section, frozen=True, kw_only=True):
    """settings.safety: limits for cold workers, overload, drains and discovery."""

    cold_share: Annotated[
        float,
        Meta(
            gt=0,
            le=1,
            description="a fraction above 0, at most 1",
            extra={"why": "fraction of its capacity that a worker has right after its start"},
        ),
    ]
    warm_after_ns: DurationNs
    fall_multiple: Annotated[
        float,
        Meta(
            ge=1,
            le=100,
            description="a factor from 1 to 100",
            extra={"why": "a cold worker fails if it gets more than this many times the load it can handle"},
        ),
    ]
    overload_for_ns: DurationNs
    ask_within_ns: PositiveDurationNs = 10_000_000_000
    answer_slack_ns: DurationNs = 20_000_000
    stop_sending_within_ns: Annotated[
        PositiveDurationNs, Meta(extra={"why": "how long after a drain new attempts may still be sent"})
    ] = 250_000_000


class Family(Section, frozen=True, kw_only=True):
    """settings.family_info: properties of the jobs and workers."""

    class_stretch: list[float] = []
    class_kind: list[int] = []
    class_priority: list[float] = []
    tells_start: bool = False
    progress_ns: DurationNs = 0
    queue_order: Literal["", "fifo", "backfill", "priority"] = ""
    report_x0: str = "free_slots"
    report_x1: str = "free_memory"
    memory_unit: str = ""
    notes: str = ""


class LoadInfo(Section, frozen=True, kw_only=True):
    """settings.load_info: workers' load reports."""

    fields: list[str] = []
    via: Annotated[Literal["inline", "on_probe", "off"], Meta(description="inline, on_probe or off")] = "off"


class Customer(Section, frozen=True, kw_only=True):
    """settings.customers[]: a customer and its share of the capacity."""

    name: Name
    fraction: Annotated[float, Meta(gt=0, le=1, description="a fraction above 0, at most 1")]
    quota_per_s: Annotated[
        float, Meta(gt=0, le=1e6, description="a number of requests per second above 0")
    ] = 1.0


class Tariffs(Section, frozen=True, kw_only=True):
    """settings.tariffs: costs in the result."""

    connection: Cost = 0.0
    cross_zone: Cost = 0.0
    discovery: Cost = 0.0
    handshake: Cost = 0.0
    late_fail: Cost = 0.0
    moves: Cost = 0.0
    origin: Cost = 0.0
    peer: Cost = 0.0
    probe: Cost = 0.0
    waste: Cost = 0.0
    fleet: Cost = 0.0


class Clients(Section, frozen=True, kw_only=True):
    """settings.clients: how clients behave."""

    marks_retry: bool = False
    retries_fragile: Annotated[
        bool,
        Meta(extra={"why": "clients resend a job that must not run twice after a failure; must not be true"}),
    ] = False


class Goal(Section, frozen=True, kw_only=True):
    """settings.goal: weights of the components of the result."""

    whole: Fraction = 0.6
    worst_class: Fraction = 0.2
    worst_tenant: Fraction = 0.1
    worst_window: Fraction = 0.1


class Settings(Section, frozen=True, kw_only=True):
    """settings: job classes, limits and costs."""

    services: Annotated[list[JobClass], Meta(min_length=1, description="at least one class")]
    safety: Safety
    caps: Caps = Caps()
    family_info: Family = Family()
    load_info: LoadInfo = LoadInfo()
    customers: list[Customer] = []
    clients: Clients = Clients()
    tariffs: Tariffs = Tariffs()
    goal: Goal = Goal()
    group_size: Annotated[PositiveCount, Meta(extra={"why": "number of dispatchers"})] = 1
    me: Annotated[int, Meta(ge=0, description="the index of this dispatcher, counted from 0")] = 0
    zone: Annotated[int, Meta(ge=0, description="an index into zones, counted from 0")] = 0
    zones: list[str] = []
    shapes: list[str] = []
    granularity_ns: DurationNs = 1_000_000
    discovery: Literal["ask", "push"] = "ask"
    worth_by: Literal["request", "work"] = "request"
    over_share_worth: Fraction = 1.0
    kind_of_service: str = ""
    weight_source: str = "off"
    tier: int = 0
    tiers: list[str] = []


class Limits(Section, frozen=True, kw_only=True):
    """limits: resources that the process may use."""

    cores: Annotated[float, Meta(gt=0, description="a number of CPU cores above 0")] = 1.0
    memory_mb: Annotated[int, Meta(ge=24, description="a whole number of MB, at least 24")] = 192
    sockets: Annotated[int, Meta(ge=128, description="a whole number of file descriptors, at least 128")] = (
        1024
    )


class Access(Section, frozen=True, kw_only=True):
    """access: networks that may connect; an entry that begins with ! excludes a network."""

    clients: list[str] = []
    callbacks: list[str] = []
    operators: list[str] = []


class Document(Section, frozen=True, kw_only=True):
    """The configuration file."""

    name: Annotated[Name, Meta(extra={"variable": "GW_NAME"})]
    listen: Annotated[
        HostPort,
        Meta(extra={"variable": "GW_LISTEN", "why": "address for clients, health checks and callbacks"}),
    ]
    discovery: Annotated[HostPort, Meta(extra={"variable": "GW_DISCOVERY"})]
    settings: Settings
    mgmt: Annotated[HostPort | None, Meta(extra={"variable": "GW_MGMT", "why": "address for operators"})] = (
        None
    )
    seed: Annotated[str, Meta(pattern=r"^[0-9A-Fa-f]{1,32}$", description="a hexadecimal number")] = "0"
    limits: Limits = Limits()
    known: Any = None
    room: ReservationSettings | None = None
    access: Access = Access()
    origin: Annotated[Any, Meta(extra={"why": "where the values come from; not read by the program"})] = None


def nested_struct(annotation: Any) -> type[Struct] | None:
    """Return the struct type of a key or of the entries of its list; None for a plain value."""
    for candidate in _nested_types(annotation):
        if isinstance(candidate, type) and issubclass(candidate, Struct):
            return candidate
    return None


def _nested_types(annotation: Any) -> list[Any]:
    inner = getattr(annotation, "__args__", ())
    origin = getattr(annotation, "__origin__", None)
    return [
        annotation,
        *([origin] if isinstance(origin, type) else []),
        *(nested for argument in inner for nested in _nested_types(argument)),
    ]


def key_types(struct: type[Struct]) -> dict[str, Any]:
    """Return the type of each key of a struct."""
    return {field.encode_name: field.type for field in msgspec.structs.fields(struct)}


def valid_values(annotation: Any) -> str:
    """Describe the valid values of a type in words."""
    for meta in _all_metadata(annotation):
        if meta.description:
            return str(meta.description)
    literal = next(
        (
            candidate
            for candidate in _nested_types(annotation)
            if getattr(candidate, "__origin__", None) is Literal
        ),
        None,
    )
    if literal is not None:
        return " or ".join(short_json(value) for value in literal.__args__)
    names = {bool: "true or false", int: "a whole number", float: "a number", str: "a string", list: "a list"}
    for candidate in _nested_types(annotation):
        if candidate in names:
            return names[candidate]
    struct = nested_struct(annotation)
    return "an object" if struct is not None else "any value"


def _all_metadata(annotation: Any) -> list[Meta]:
    own = [entry for entry in getattr(annotation, "__metadata__", ()) if isinstance(entry, Meta)]
    origin = getattr(annotation, "__origin__", None)
    inner = _all_metadata(origin) if origin is not None and origin is not annotation else []
    unions = (
        [meta for argument in getattr(annotation, "__args__", ()) for meta in _all_metadata(argument)]
        if not own
        else []
    )
    return [*own, *inner, *unions]


def extra_text(annotation: Any, name: str) -> str:
    """Return an entry of a type's `extra` metadata (why, variable); empty if there is none."""
    for meta in _all_metadata(annotation):
        if meta.extra and name in meta.extra:
            return str(meta.extra[name])
    return ""


def short_json(value: Any) -> str:
    """Return a value as JSON, truncated to 60 characters."""
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= 60 else text[:57] + "..."


def json_schema() -> dict[str, Any]:
    """Return the JSON Schema of a configuration file, for editors."""
    return msgspec.json.schema(Document)
