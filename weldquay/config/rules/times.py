"""WQ3xx: latency objectives and timeouts."""

from __future__ import annotations

from weldquay.config.rules.base import CheckContext, Level, Violations, format_duration, rule, to_number


@rule(
    "WQ301",
    Level.SITE,
    "A latency objective exceeds the client timeout",
    why="Clients give up before the objective has expired: a response that just meets it is never received.",
    bad='{"aim_ns": 9000000000, "give_up_ns": 5000000000}',
    good='{"aim_ns": 250000000, "give_up_ns": 5000000000}',
)
def _objective_after_timeout(context: CheckContext) -> Violations:
    for index, entry in context.entries("services"):
        objective_ns, timeout_ns = to_number(entry.get("aim_ns")), to_number(entry.get("give_up_ns"))
        if objective_ns is not None and timeout_ns is not None and objective_ns > timeout_ns:
            yield (
                ("settings", "services", index, "aim_ns"),
                (
                    f"the latency objective of {entry.get('name')} is {format_duration(objective_ns)}, but "
                    f"its clients give up after {format_duration(timeout_ns)}: write a smaller aim_ns"
                ),
            )


@rule(
    "WQ302",
    Level.SITE,
    "A timeout exceeds the site's client timeout",
    needs_catalogue=True,
    why="Work after the client has disconnected is wasted, and occupies slots that other jobs need.",
    bad='{"name": "exact-lookup", "give_up_ns": 20000000000}',
    good='{"name": "exact-lookup", "give_up_ns": 5000000000}',
)
def _timeout_beyond_clients(context: CheckContext) -> Violations:
    for index, entry, kind in context.known_classes():
        timeout_ns = to_number(entry.get("give_up_ns"))
        if timeout_ns is not None and timeout_ns > kind.give_up_ns:
            yield (
                ("settings", "services", index, "give_up_ns"),
                (
                    f"the timeout of {entry['name']} is {format_duration(timeout_ns)}, but its clients give "
                    f"up after {format_duration(kind.give_up_ns)}: write at most {kind.give_up_ns}"
                ),
            )


@rule(
    "WQ303",
    Level.ADVICE,
    "A latency objective differs from the site's",
    needs_catalogue=True,
    why="The queue order and rejections follow the objective; with another one, the site's is not met.",
    bad='{"name": "exact-lookup", "aim_ns": 100000000}',
    good='{"name": "exact-lookup", "aim_ns": 250000000}',
)
def _objective_of_site(context: CheckContext) -> Violations:
    for index, entry, kind in context.known_classes():
        objective_ns = to_number(entry.get("aim_ns"))
        if kind.aim_ns is not None and objective_ns not in (None, float(kind.aim_ns)):
            yield (
                ("settings", "services", index, "aim_ns"),
                (
                    f"the site's latency objective for {entry['name']} is {format_duration(kind.aim_ns)}, "
                    f"not {format_duration(objective_ns or 0)}"
                ),
            )


@rule(
    "WQ304",
    Level.SITE,
    "The connect timeout is not below the client timeout",
    why="An unreachable worker would use up the client's time before another worker is tried.",
    bad='"connect_timeout_ns": 8000000000',
    good='"connect_timeout_ns": 250000000',
)
def _connect_timeout(context: CheckContext) -> Violations:
    value = context.number_at("settings", "caps", "connect_timeout_ns", default=250_000_000)
    shortest_ns = min(context.numbers("services", "give_up_ns"), default=None)
    if value is not None and shortest_ns is not None and value >= shortest_ns:
        yield (
            ("settings", "caps", "connect_timeout_ns"),
            (
                f"the connect timeout is {format_duration(value)}, but a client gives up after "
                f"{format_duration(shortest_ns)}: write a small fraction of that"
            ),
        )


@rule(
    "WQ305",
    Level.ADVICE,
    "The maximum Retry-After exceeds the client timeouts",
    why="A client that is told to wait longer than its timeout does not retry.",
    bad='"max_retry_after_ns": 60000000000',
    good='"max_retry_after_ns": 2000000000',
)
def _retry_after(context: CheckContext) -> Violations:
    value = context.number_at("settings", "caps", "max_retry_after_ns", default=0.0) or 0.0
    longest_ns = max(context.numbers("services", "give_up_ns"), default=None)
    if longest_ns is not None and value > longest_ns:
        yield (
            ("settings", "caps", "max_retry_after_ns"),
            (
                f"clients may be told to wait {format_duration(value)}, but none waits "
                f"longer than {format_duration(longest_ns)}"
            ),
        )


@rule(
    "WQ306",
    Level.SITE,
    "The idle timeout of connections exceeds that of the workers",
    needs_catalogue=True,
    why="A job that is written to a connection that its worker has closed is reset, and whether it ran is "
    "unknown.",
    bad='"conn_idle_ns": 600000000000',
    good='"conn_idle_ns": 60000000000',
)
def _idle_connections(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    limit_ns, value = (
        context.catalogue.limits.conn_idle_ns,
        context.number_at("settings", "caps", "conn_idle_ns"),
    )
    if limit_ns is not None and value is not None and value > limit_ns:
        yield (
            ("settings", "caps", "conn_idle_ns"),
            (
                f"idle connections are kept for {format_duration(value)}, but the site closes them after "
                f"{format_duration(limit_ns)}: write at most {limit_ns}"
            ),
        )


@rule(
    "WQ307",
    Level.SITE,
    "A runtime allowance is given twice",
    why="aim_stretch and class_stretch are added to each other. Both are multiples of the running time; with "
    "less than 1 in all, no long-running job could be on time.",
    bad='{"aim_stretch": 2, "class_stretch": [2]}',
    good='{"class_stretch": [2]}',
)
def _duplicate_runtime_allowance(context: CheckContext) -> Violations:
    class_stretch = context.object_at("settings", "family_info").get("class_stretch")
    class_stretch = class_stretch if isinstance(class_stretch, list) else []
    for index, entry in context.entries("services"):
        own = to_number(entry.get("aim_stretch"), 0.0) or 0.0
        other = to_number(class_stretch[index], 0.0) or 0.0 if index < len(class_stretch) else 0.0
        if own and other:
            yield (
                ("settings", "services", index, "aim_stretch"),
                (
                    f"{entry.get('name')} has an aim_stretch of {own:g} and {other:g} in class_stretch, "
                    "which add up to more than intended: write only one of them"
                ),
            )
