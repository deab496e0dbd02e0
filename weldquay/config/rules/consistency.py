"""WQ7xx: contradictions between values that are valid on their own."""

from __future__ import annotations

from weldquay.config.rules.base import CheckContext, Level, Violations, rule, to_number

REPORT_FIELDS = (
    "busy_reqs",
    "pending",
    "cpu_share",
    "svc_ms",
    "served_ps",
    "failed_ps",
    "x0",
    "x1",
    "latency_ms",
    "queue",
    "inflight",
    "util",
    "qps",
    "eps",
)


@rule(
    "WQ701",
    Level.SITE,
    "The index of the zone or of the dispatcher is out of range",
    why="The dispatcher would be in no zone, or would not be counted among the dispatchers.",
    bad='{"zone": 2, "zones": ["a", "b"]}',
    good='{"zone": 1, "zones": ["a", "b"]}',
)
def _index_out_of_range(context: CheckContext) -> Violations:
    zones, zone = context.settings.get("zones"), context.number_at("settings", "zone", default=0.0) or 0.0
    if isinstance(zones, list) and zones and zone >= len(zones):
        yield ("settings", "zone"), f"zone is {zone:g}, but zones has length {len(zones)}; indexes start at 0"
    dispatcher_count = context.number_at("settings", "group_size", default=1.0) or 1.0
    dispatcher_index = context.number_at("settings", "me", default=0.0) or 0.0
    if dispatcher_index >= dispatcher_count:
        yield (
            ("settings", "me"),
            f"me is {dispatcher_index:g}, but group_size is {dispatcher_count:g}; indexes start at 0",
        )


@rule(
    "WQ702",
    Level.SITE,
    "The length of a per-class list differs from the number of classes",
    why="Values would apply to other classes than intended, and surplus ones to none.",
    bad='{"services": [{...}, {...}], "class_stretch": [2.0, 2.0, 1.75]}',
    good='{"services": [{...}, {...}], "class_stretch": [2.0, 1.75]}',
)
def _length_of_lists(context: CheckContext) -> Violations:
    class_count, family_info = (
        len(context.entries("services")),
        context.object_at("settings", "family_info"),
    )
    for name in ("class_stretch", "class_kind", "class_priority"):
        value = family_info.get(name)
        if isinstance(value, list) and value and len(value) != class_count:
            yield (
                ("settings", "family_info", name),
                f"{name} has {len(value)} entries for {class_count} classes",
            )


@rule(
    "WQ703",
    Level.SITE,
    "A class needs a machine kind that does not exist",
    why="No worker could run the class: all its requests would be rejected.",
    bad='{"shapes": ["fast"], "class_kind": [3]}',
    good='{"shapes": ["fast"], "class_kind": [0]}',
)
def _unknown_machine_kind(context: CheckContext) -> Violations:
    shapes, kinds = (
        context.settings.get("shapes"),
        context.object_at("settings", "family_info").get("class_kind"),
    )
    for index, kind in enumerate(kinds if isinstance(kinds, list) else []):
        value = to_number(kind, -1.0)
        if isinstance(shapes, list) and value is not None and value >= max(1, len(shapes)):
            yield (
                ("settings", "family_info", "class_kind", index),
                (
                    f"class_kind is {value:g}, but shapes has length {len(shapes)}; indexes start at 0, and "
                    "-1 means any"
                ),
            )


@rule(
    "WQ704",
    Level.ADVICE,
    "Load reports do not contain the load",
    why="Without free slots or requests in progress all workers look alike, and jobs are assigned at random.",
    bad='{"via": "inline", "fields": []}',
    good='{"via": "inline", "fields": ["pending", "x0", "x1"]}',
)
def _reports_without_load(context: CheckContext) -> Violations:
    load_info = context.object_at("settings", "load_info")
    names = load_info.get("fields")
    names = names if isinstance(names, list) else []
    if load_info.get("via", "off") != "off" and not {"x0", "busy_reqs"} & set(map(str, names)):
        yield (
            ("settings", "load_info", "fields"),
            "no field reports free slots (x0) or requests in progress (busy_reqs)",
        )
    for index, name in enumerate(names):
        if str(name) not in REPORT_FIELDS:
            yield (
                ("settings", "load_info", "fields", index),
                (
                    f"{name} is not a field of load reports: known fields include "
                    f"{', '.join(REPORT_FIELDS[:8])}"
                ),
            )


@rule(
    "WQ705",
    Level.ADVICE,
    "All job classes have a priority weight of 0",
    why="The order of jobs, and whether capacity is reserved for one, depend on the weight.",
    bad='[{"name": "a", "worth": 0}]',
    good='[{"name": "a", "worth": 1}]',
)
def _no_priority_weight(context: CheckContext) -> Violations:
    entries = context.entries("services")
    if entries and all(to_number(entry.get("worth"), 1.0) == 0 for _, entry in entries):
        yield (
            ("settings", "services"),
            "all classes have worth 0: give each class its weight relative to the others",
        )


@rule(
    "WQ706",
    Level.SITE,
    "The weights of the goal add up to more than 1",
    why="They are fractions of one result.",
    bad='{"whole": 0.9, "worst_class": 0.5}',
    good='{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1}',
)
def _sum_of_goal(context: CheckContext) -> Violations:
    goal = context.object_at("settings", "goal")
    total = sum(to_number(weight, 0.0) or 0.0 for weight in goal.values())
    if total > 1.001:
        yield ("settings", "goal"), f"the weights add up to {total:g}: their sum must be at most 1"


@rule(
    "WQ707",
    Level.ADVICE,
    "Rejections have no Retry-After, although it is enabled",
    why="Clients that are not told how long to wait retry at once, and are rejected again.",
    bad='{"retry_after": true, "max_retry_after_ns": 0}',
    good='{"retry_after": true, "max_retry_after_ns": 2000000000}',
)
def _rejections_without_wait(context: CheckContext) -> Violations:
    caps = context.object_at("settings", "caps")
    if caps.get("retry_after") is True and not caps.get("max_retry_after_ns"):
        yield ("settings", "caps", "max_retry_after_ns"), "retry_after is true, but the maximum wait is 0"


@rule(
    "WQ708",
    Level.SITE,
    "A slow start has no duration",
    why="With a duration of 0 the initial share has no effect; a share of 1 means that no worker is cold.",
    bad='{"cold_share": 0.3, "warm_after_ns": 0}',
    good='{"cold_share": 0.34, "warm_after_ns": 9000000000}',
)
def _slow_start_without_duration(context: CheckContext) -> Violations:
    share = context.number_at("settings", "safety", "cold_share", default=1.0) or 1.0
    if share < 1 and context.number_at("settings", "safety", "warm_after_ns") == 0:
        yield (
            ("settings", "safety", "warm_after_ns"),
            (f"a worker starts with {share:g} of its capacity, but warm_after_ns is 0: write the duration"),
        )


@rule(
    "WQ709",
    Level.ADVICE,
    "The dispatcher has no address for operators",
    why="Without mgmt, workers cannot be taken out of service, nor the dispatcher drained or upgraded.",
    bad='{"listen": "127.0.0.1:8443"}',
    good='{"listen": "127.0.0.1:8443", "mgmt": "127.0.0.1:8444"}',
)
def _no_operators_address(context: CheckContext) -> Violations:
    if not context.document.get("mgmt"):
        yield ("mgmt",), "there is no address for operators' requests (unless GW_MGMT provides one)"
