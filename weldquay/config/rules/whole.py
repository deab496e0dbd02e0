"""WQ7xx: files that are right line by line and contradictory as a whole."""

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
    "A place that is not there",
    why="The dispatcher would take itself to be in no zone, or to be one that nobody counts.",
    bad='{"zone": 2, "zones": ["a", "b"]}',
    good='{"zone": 1, "zones": ["a", "b"]}',
)
def _index_out_of_range(context: CheckContext) -> Violations:
    zones, zone = context.settings.get("zones"), context.number_at("settings", "zone", default=0.0) or 0.0
    if isinstance(zones, list) and zones and zone >= len(zones):
        yield ("settings", "zone"), f"zone is {zone:g}, but zones names {len(zones)}, counted from 0"
    group = context.number_at("settings", "group_size", default=1.0) or 1.0
    dispatcher_index = context.number_at("settings", "me", default=0.0) or 0.0
    if dispatcher_index >= group:
        yield ("settings", "me"), f"me is {dispatcher_index:g}, but group_size is {group:g}, counted from 0"


@rule(
    "WQ702",
    Level.SITE,
    "Lists by class that do not fit the classes",
    why="Figures would belong to other classes than was meant, and the last ones to none.",
    bad='{"services": [{...}, {...}], "class_stretch": [2.0, 2.0, 1.75]}',
    good='{"services": [{...}, {...}], "class_stretch": [2.0, 1.75]}',
)
def _length_of_lists(context: CheckContext) -> Violations:
    count, family = len(context.entries("services")), context.object_at("settings", "family_info")
    for name in ("class_stretch", "class_kind", "class_priority"):
        value = family.get(name)
        if isinstance(value, list) and value and len(value) != count:
            yield ("settings", "family_info", name), f"{name} has {len(value)} figures for {count} classes"


@rule(
    "WQ703",
    Level.SITE,
    "A kind of machine that is not there",
    why="No worker could run the class: all its jobs would be refused.",
    bad='{"shapes": ["fast"], "class_kind": [3]}',
    good='{"shapes": ["fast"], "class_kind": [0]}',
)
def _unknown_worker_kind(context: CheckContext) -> Violations:
    shapes, kinds = (
        context.settings.get("shapes"),
        context.object_at("settings", "family_info").get("class_kind"),
    )
    for number, kind in enumerate(kinds if isinstance(kinds, list) else []):
        value = to_number(kind, -1.0)
        if isinstance(shapes, list) and value is not None and value >= max(1, len(shapes)):
            yield (
                ("settings", "family_info", "class_kind", number),
                (f"class_kind is {value:g}, but shapes names {len(shapes)}, counted from 0; -1 is any"),
            )


@rule(
    "WQ704",
    Level.ADVICE,
    "Load reports that tell nothing",
    why="Without free slots or jobs held, all workers are taken to be alike; jobs are spread by chance.",
    bad='{"via": "inline", "fields": []}',
    good='{"via": "inline", "fields": ["pending", "x0", "x1"]}',
)
def _reports_without_load(context: CheckContext) -> Violations:
    info = context.object_at("settings", "load_info")
    names = info.get("fields")
    names = names if isinstance(names, list) else []
    if info.get("via", "off") != "off" and not {"x0", "busy_reqs"} & set(map(str, names)):
        yield ("settings", "load_info", "fields"), "no field tells of free slots (x0) or jobs held"
    for number, name in enumerate(names):
        if str(name) not in REPORT_FIELDS:
            yield (
                ("settings", "load_info", "fields", number),
                (f"{name} is no figure of a report: there are {', '.join(REPORT_FIELDS[:8])}"),
            )


@rule(
    "WQ705",
    Level.ADVICE,
    "All jobs are worth nothing",
    why="Which job goes first, and whether room is held for it, follows worth.",
    bad='[{"name": "a", "worth": 0}]',
    good='[{"name": "a", "worth": 1}]',
)
def _no_priority_weight(context: CheckContext) -> Violations:
    rows = context.entries("services")
    if rows and all(to_number(row.get("worth"), 1.0) == 0 for _, row in rows):
        yield ("settings", "services"), "no class is worth anything: give each its worth against the others"


@rule(
    "WQ706",
    Level.SITE,
    "Weights of a goal that are more than the whole",
    why="They are parts of one result.",
    bad='{"whole": 0.9, "worst_class": 0.5}',
    good='{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1}',
)
def _sum_of_goal(context: CheckContext) -> Violations:
    value = context.object_at("settings", "goal")
    total = sum(to_number(value, 0.0) or 0.0 for value in value.values())
    if total > 1.001:
        yield ("settings", "goal"), f"the weights add up to {total:g}: they may be 1 together"


@rule(
    "WQ707",
    Level.ADVICE,
    "Refusals that say nothing",
    why="Clients that are not told when to come back come at once, and are refused again.",
    bad='{"retry_after": true, "max_retry_after_ns": 0}',
    good='{"retry_after": true, "max_retry_after_ns": 2000000000}',
)
def _rejections_without_wait(context: CheckContext) -> Violations:
    caps = context.object_at("settings", "caps")
    if caps.get("retry_after") is True and not caps.get("max_retry_after_ns"):
        yield ("settings", "caps", "max_retry_after_ns"), "retry_after is true, but the longest wait is 0"


@rule(
    "WQ708",
    Level.SITE,
    "A cold start that never ends, or is none",
    why="Workers that are cold for ever get little for ever; a share of 1 says that none is cold.",
    bad='{"cold_share": 0.3, "warm_after_ns": 0}',
    good='{"cold_share": 0.34, "warm_after_ns": 9000000000}',
)
def _slow_start_without_end(context: CheckContext) -> Violations:
    share = context.number_at("settings", "safety", "cold_share", default=1.0) or 1.0
    if share < 1 and context.number_at("settings", "safety", "warm_after_ns") == 0:
        yield (
            ("settings", "safety", "warm_after_ns"),
            (f"a worker starts at {share:g} of its capacity, but is warm after no time: write how long"),
        )


@rule(
    "WQ709",
    Level.ADVICE,
    "Operators cannot reach the dispatcher",
    why="Without mgmt nobody can take a worker out, empty the dispatcher or upgrade it in order.",
    bad='{"listen": "127.0.0.1:8443"}',
    good='{"listen": "127.0.0.1:8443", "mgmt": "127.0.0.1:8444"}',
)
def _no_operators_address(context: CheckContext) -> Violations:
    if not context.document.get("mgmt"):
        yield ("mgmt",), "there is no address for operators' calls (unless GW_MGMT gives one)"
