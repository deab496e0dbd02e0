"""The definition of the configuration: every key with its type, unit, range, default and meaning.

The checker, the JSON Schema, the reference page and the writer come from it.  Times are in nanoseconds, as
the simulator gives them.  Keys that are not here pass with a warning: the platform may add some.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from weldquay.reservations.settings import ReservationSettings

Time = Annotated[int, Meta(gt=0, le=86_400_000_000_000, description="nanoseconds, above 0, at most a day")]
Span = Annotated[int, Meta(ge=0, le=86_400_000_000_000, description="nanoseconds from 0, at most a day")]
Share = Annotated[float, Meta(ge=0, le=1, description="a part from 0 to 1")]
Price = Annotated[float, Meta(ge=0, le=1000, description="a price from 0 up")]
Name = Annotated[str, Meta(min_length=1, max_length=200, description="a name of 1 to 200 characters")]
Place = Annotated[
    str,
    Meta(pattern=r"^(\[[0-9A-Fa-f:.]+\]|[^:\s\[\]]+):[0-9]{1,5}$", description="HOST:PORT, or [IPv6]:PORT"),
]
Count = Annotated[int, Meta(ge=1, le=1_000_000, description="a whole number from 1 up")]


class Part(Struct, frozen=True, kw_only=True):
    """A group of keys."""


class JobClass(Part, frozen=True, kw_only=True):
    """settings.services[]: a class of jobs."""

    name: Annotated[Name, Meta(extra={"why": "the first part of a call's path"})]
    aim_ns: Annotated[Time, Meta(extra={"why": "an answer within this, and its stretch, is in time"})]
    give_up_ns: Annotated[Time, Meta(extra={"why": "how long a client waits for all its tries"})]
    effect: Annotated[
        Literal["retryable", "dedup", "fragile"],
        Meta(description="retryable (may run again), dedup (repeats are dropped) or fragile (never twice)"),
    ]
    group: Annotated[
        Literal["all", "zone", "cell"],
        Meta(description="all, zone or cell: the workers that drop a dedup job's repeats"),
    ] = "all"
    window_ns: Annotated[Span, Meta(extra={"why": "for how long they drop them"})] = 0
    worth: Annotated[float, Meta(ge=0, le=1e6, description="a figure from 0 up")] = 1.0
    late_value: Annotated[Share, Meta(extra={"why": "part of the worth of a late answer"})] = 0.0
    aim_stretch: Annotated[float, Meta(ge=0, le=100, description="a factor from 0 to 100")] = 0.0
    stream: bool = False


class Caps(Part, frozen=True, kw_only=True):
    """settings.caps: what the site permits."""

    cancel: Annotated[bool, Meta(extra={"why": "attempts may be given up"})] = False
    probes: Annotated[bool, Meta(extra={"why": "workers may be asked for their load"})] = False
    peers: bool = False
    may_duplicate: Annotated[bool, Meta(extra={"why": "a second copy while the first runs"})] = False
    retry_after: Annotated[bool, Meta(extra={"why": "refusals say when to come back"})] = False
    max_attempts: Annotated[int, Meta(ge=1, le=100, description="a whole number from 1 to 100")] = 1
    max_open: Annotated[Count, Meta(extra={"why": "calls in hand"})] = 10_000
    max_retry_after_ns: Span = 0
    connect_timeout_ns: Time = 250_000_000
    conn_idle_ns: Time = 15_000_000_000
    cpu_us_per_request: Annotated[float, Meta(ge=0)] = 0.0
    cpu_us_per_s: Annotated[float, Meta(ge=0)] = 0.0
    streams_per_conn: Count = 1


class Safety(Part, frozen=True, kw_only=True):
    """settings.safety: the figures of the rules."""

    cold_share: Annotated[
        float,
        Meta(
            gt=0,
            le=1,
            description="a part above 0, at most 1",
            extra={"why": "capacity of a worker that has just started"},
        ),
    ]
    warm_after_ns: Span
    fall_multiple: Annotated[
        float,
        Meta(
            ge=1,
            le=100,
            description="a factor from 1 to 100",
            extra={"why": "a cold worker that gets more than so many times what it can do falls over"},
        ),
    ]
    overload_for_ns: Span
    ask_within_ns: Time = 10_000_000_000
    answer_slack_ns: Span = 20_000_000
    stop_sending_within_ns: Annotated[Time, Meta(extra={"why": "the grace after a drain"})] = 250_000_000


class Family(Part, frozen=True, kw_only=True):
    """settings.family_info: what jobs and workers are like."""

    class_stretch: list[float] = []
    class_kind: list[int] = []
    class_priority: list[float] = []
    tells_start: bool = False
    progress_ns: Span = 0
    queue_order: Literal["", "fifo", "backfill", "priority"] = ""
    report_x0: str = "free_slots"
    report_x1: str = "free_memory"
    memory_unit: str = ""
    notes: str = ""


class LoadInfo(Part, frozen=True, kw_only=True):
    """settings.load_info: workers' load reports."""

    fields: list[str] = []
    via: Annotated[Literal["inline", "on_probe", "off"], Meta(description="inline, on_probe or off")] = "off"


class Customer(Part, frozen=True, kw_only=True):
    """settings.customers[]: who shares the service."""

    name: Name
    fraction: Annotated[float, Meta(gt=0, le=1, description="a part above 0, at most 1")]
    quota_per_s: Annotated[float, Meta(gt=0, le=1e6, description="calls a second above 0")] = 1.0


class Tariffs(Part, frozen=True, kw_only=True):
    """settings.tariffs: what costs points."""

    connection: Price = 0.0
    cross_zone: Price = 0.0
    discovery: Price = 0.0
    handshake: Price = 0.0
    late_fail: Price = 0.0
    moves: Price = 0.0
    origin: Price = 0.0
    peer: Price = 0.0
    probe: Price = 0.0
    waste: Price = 0.0
    fleet: Price = 0.0


class Clients(Part, frozen=True, kw_only=True):
    """settings.clients: how clients behave."""

    marks_retry: bool = False
    retries_fragile: Annotated[
        bool,
        Meta(extra={"why": "clients send a job that must not run twice again after a failure: never true"}),
    ] = False


class Goal(Part, frozen=True, kw_only=True):
    """settings.goal: weights of the result's parts."""

    whole: Share = 0.6
    worst_class: Share = 0.2
    worst_tenant: Share = 0.1
    worst_window: Share = 0.1


class Settings(Part, frozen=True, kw_only=True):
    """settings: classes, limits, prices."""

    services: Annotated[list[JobClass], Meta(min_length=1, description="at least one class")]
    safety: Safety
    caps: Caps = Caps()
    family_info: Family = Family()
    load_info: LoadInfo = LoadInfo()
    customers: list[Customer] = []
    clients: Clients = Clients()
    tariffs: Tariffs = Tariffs()
    goal: Goal = Goal()
    group_size: Annotated[Count, Meta(extra={"why": "how many dispatchers there are"})] = 1
    me: Annotated[int, Meta(ge=0, description="this dispatcher's number from 0 up")] = 0
    zone: Annotated[int, Meta(ge=0, description="a position in zones, from 0 up")] = 0
    zones: list[str] = []
    shapes: list[str] = []
    granularity_ns: Span = 1_000_000
    discovery: Literal["ask", "push"] = "ask"
    worth_by: Literal["request", "work"] = "request"
    over_share_worth: Share = 1.0
    kind_of_service: str = ""
    weight_source: str = "off"
    tier: int = 0
    tiers: list[str] = []


class Limits(Part, frozen=True, kw_only=True):
    """limits: what the process may hold."""

    cores: Annotated[float, Meta(gt=0, description="above 0")] = 1.0
    memory_mb: Annotated[int, Meta(ge=24, description="a whole number of MB from 24 up")] = 192
    sockets: Annotated[int, Meta(ge=128, description="a whole number of descriptors from 128 up")] = 1024


class Access(Part, frozen=True, kw_only=True):
    """access: who may connect, as lists of networks; an entry that begins with ! is an exception."""

    clients: list[str] = []
    callbacks: list[str] = []
    operators: list[str] = []


class Document(Part, frozen=True, kw_only=True):
    """The whole file."""

    name: Annotated[Name, Meta(extra={"variable": "GW_NAME"})]
    listen: Annotated[Place, Meta(extra={"variable": "GW_LISTEN", "why": "clients, health, call-backs"})]
    discovery: Annotated[Place, Meta(extra={"variable": "GW_DISCOVERY"})]
    settings: Settings
    mgmt: Annotated[Place | None, Meta(extra={"variable": "GW_MGMT", "why": "operators' calls"})] = None
    seed: Annotated[str, Meta(pattern=r"^[0-9A-Fa-f]{1,32}$", description="a hexadecimal number")] = "0"
    limits: Limits = Limits()
    known: Any = None
    room: ReservationSettings | None = None
    access: Access = Access()
    origin: Annotated[Any, Meta(extra={"why": "where figures come from; not read by the program"})] = None


def nested_struct(kind: Any) -> type[Struct] | None:
    """The group that a key holds, or that the entries of its list are; None for a plain value."""
    for part in _parts(kind):
        if isinstance(part, type) and issubclass(part, Struct):
            return part
    return None


def _parts(kind: Any) -> list[Any]:
    inner = getattr(kind, "__args__", ())
    origin = getattr(kind, "__origin__", None)
    return [
        kind,
        *([origin] if isinstance(origin, type) else []),
        *(part for each in inner for part in _parts(each)),
    ]


def key_types(group: type[Struct]) -> dict[str, Any]:
    """The keys of a group and their types."""
    return {field.encode_name: field.type for field in msgspec.structs.fields(group)}


def valid_values(kind: Any) -> str:
    """What would be right for a key, in words."""
    for meta in _metas(kind):
        if meta.description:
            return str(meta.description)
    literal = next((part for part in _parts(kind) if getattr(part, "__origin__", None) is Literal), None)
    if literal is not None:
        return " or ".join(short_json(value) for value in literal.__args__)
    names = {bool: "true or false", int: "a whole number", float: "a number", str: "a text", list: "a list"}
    for part in _parts(kind):
        if part in names:
            return names[part]
    group = nested_struct(kind)
    return "an object" if group is not None else "another value"


def _metas(kind: Any) -> list[Meta]:
    own = [each for each in getattr(kind, "__metadata__", ()) if isinstance(each, Meta)]
    origin = getattr(kind, "__origin__", None)
    inner = _metas(origin) if origin is not None and origin is not kind else []
    unions = [meta for part in getattr(kind, "__args__", ()) for meta in _metas(part)] if not own else []
    return [*own, *inner, *unions]


def note(kind: Any, name: str) -> str:
    """A remark on a key: why, variable."""
    for meta in _metas(kind):
        if meta.extra and name in meta.extra:
            return str(meta.extra[name])
    return ""


def short_json(value: Any) -> str:
    """A value as JSON, cut where it is long."""
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= 60 else text[:57] + "..."


def json_schema() -> dict[str, Any]:
    """The JSON Schema of a file, for editors."""
    return msgspec.json.schema(Document)
