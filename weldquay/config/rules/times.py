"""WQ3xx: aims, patience and time-outs."""

from __future__ import annotations

from weldquay.config.rules.base import CheckContext, Level, Violations, format_duration, rule, to_number


@rule(
    "WQ301",
    Level.SITE,
    "An aim beyond the time at which clients give up",
    why="No client would wait for such an answer, so nothing could come in time by design.",
    bad='{"aim_ns": 9000000000, "give_up_ns": 5000000000}',
    good='{"aim_ns": 250000000, "give_up_ns": 5000000000}',
)
def _objective_after_timeout(context: CheckContext) -> Violations:
    for number, row in context.entries("services"):
        aim, give_up = to_number(row.get("aim_ns")), to_number(row.get("give_up_ns"))
        if aim is not None and give_up is not None and aim > give_up:
            yield (
                ("settings", "services", number, "aim_ns"),
                (
                    f"the aim of {row.get('name')} is {format_duration(aim)}, but its clients give up after "
                    f"{format_duration(give_up)}: write an aim below that"
                ),
            )


@rule(
    "WQ302",
    Level.SITE,
    "A time-out beyond the clients' patience",
    needs_catalogue=True,
    why="Work that goes on after the client has left is wasted, and holds slots that others want.",
    bad='{"name": "exact-lookup", "give_up_ns": 20000000000}',
    good='{"name": "exact-lookup", "give_up_ns": 5000000000}',
)
def _timeout_beyond_clients(context: CheckContext) -> Violations:
    for number, row, kind in context.known_classes():
        value = to_number(row.get("give_up_ns"))
        if value is not None and value > kind.give_up_ns:
            yield (
                ("settings", "services", number, "give_up_ns"),
                (
                    f"{row['name']} would be waited for {format_duration(value)}, but its clients give up "
                    f"after {format_duration(kind.give_up_ns)}: write at most {kind.give_up_ns}"
                ),
            )


@rule(
    "WQ303",
    Level.ADVICE,
    "A wanted time other than the site's",
    needs_catalogue=True,
    why="Order and refusals follow the aim; with another one the site's measure is not met.",
    bad='{"name": "exact-lookup", "aim_ns": 100000000}',
    good='{"name": "exact-lookup", "aim_ns": 250000000}',
)
def _objective_of_site(context: CheckContext) -> Violations:
    for number, row, kind in context.known_classes():
        value = to_number(row.get("aim_ns"))
        if kind.aim_ns is not None and value not in (None, float(kind.aim_ns)):
            yield (
                ("settings", "services", number, "aim_ns"),
                (
                    f"the site wants {row['name']} within {format_duration(kind.aim_ns)}, "
                    f"not {format_duration(value or 0)}"
                ),
            )


@rule(
    "WQ304",
    Level.SITE,
    "A connection that takes longer than a whole job may",
    why="A worker that is away would use up the client's time before another is tried.",
    bad='"connect_timeout_ns": 8000000000',
    good='"connect_timeout_ns": 250000000',
)
def _connect_timeout(context: CheckContext) -> Violations:
    value = context.number_at("settings", "caps", "connect_timeout_ns", default=250_000_000)
    minimum = min(context.numbers("services", "give_up_ns"), default=None)
    if value is not None and minimum is not None and value >= minimum:
        yield (
            ("settings", "caps", "connect_timeout_ns"),
            (
                f"connecting may take {format_duration(value)}, but a client gives up after "
                f"{format_duration(minimum)}: write a small part of that"
            ),
        )


@rule(
    "WQ305",
    Level.ADVICE,
    "Advice to come back that outlasts the clients",
    why="A client that is told to wait longer than it waits at all does not come back.",
    bad='"max_retry_after_ns": 60000000000',
    good='"max_retry_after_ns": 2000000000',
)
def _retry_after(context: CheckContext) -> Violations:
    value = context.number_at("settings", "caps", "max_retry_after_ns", default=0.0) or 0.0
    maximum = max(context.numbers("services", "give_up_ns"), default=None)
    if maximum is not None and value > maximum:
        yield (
            ("settings", "caps", "max_retry_after_ns"),
            (
                f"clients may be told to wait {format_duration(value)}, but none waits "
                f"longer than {format_duration(maximum)}"
            ),
        )


@rule(
    "WQ306",
    Level.SITE,
    "Idle connections are kept longer than the workers keep them",
    needs_catalogue=True,
    why="A job written to a connection that its worker has closed is reset; nobody knows whether it ran.",
    bad='"conn_idle_ns": 600000000000',
    good='"conn_idle_ns": 60000000000',
)
def _idle_connections(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    maximum, value = (
        context.catalogue.limits.conn_idle_ns,
        context.number_at("settings", "caps", "conn_idle_ns"),
    )
    if maximum is not None and value is not None and value > maximum:
        yield (
            ("settings", "caps", "conn_idle_ns"),
            (
                f"idle connections are kept {format_duration(value)}, the site closes them after "
                f"{format_duration(maximum)}: write at most {maximum}"
            ),
        )


@rule(
    "WQ307",
    Level.SITE,
    "A stretch that is told twice, or below one running time",
    why="aim_stretch and class_stretch add up; below 1 no job that runs for long could be in time.",
    bad='{"aim_stretch": 2, "class_stretch": [2]}',
    good='{"class_stretch": [2]}',
)
def _runtime_allowance_twice(context: CheckContext) -> Violations:
    listed = context.object_at("settings", "family_info").get("class_stretch")
    listed = listed if isinstance(listed, list) else []
    for number, row in context.entries("services"):
        own = to_number(row.get("aim_stretch"), 0.0) or 0.0
        other = to_number(listed[number], 0.0) or 0.0 if number < len(listed) else 0.0
        if own and other:
            yield (
                ("settings", "services", number, "aim_stretch"),
                (
                    f"{row.get('name')} has a stretch of {own:g} here and {other:g} in class_stretch, which "
                    "add up to more than was meant: write one of them"
                ),
            )
