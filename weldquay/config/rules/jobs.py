"""WQ2xx: what a second run of a job would do, and whether the configuration lets it happen."""

from __future__ import annotations

from weldquay.config.catalogue import fold, near
from weldquay.config.rules.base import CheckContext, Level, Violations, rule


@rule(
    "WQ201",
    Level.SITE,
    "A job that must never run twice is told to be repeatable",
    needs_catalogue=True,
    why="The dispatcher sends a retryable or dedup job again after a time-out, an error or a reset, and a "
    "second copy while the first runs. A second segment-commit writes its segment twice.",
    bad='{"name": "segment-commit", "effect": "retryable"}',
    good='{"name": "segment-commit", "effect": "fragile"}',
)
def _repeatable(context: CheckContext) -> Violations:
    for number, row, kind in context.known_classes():
        if kind.never_twice and row.get("effect") in ("retryable", "dedup"):
            yield (
                ("settings", "services", number, "effect"),
                (f"{row['name']} must never run twice, but its effect is {row['effect']}: write fragile"),
            )


@rule(
    "WQ202",
    Level.SITE,
    "A class is nearly, but not exactly, a known kind of job",
    needs_catalogue=True,
    why="Calls name their class in the path. Another spelling is another class: its rules do not hold for "
    "the calls that were meant, and a job that must not run twice may slip through.",
    bad='{"name": "segment_comit", "effect": "retryable"}',
    good='{"name": "segment-commit", "effect": "fragile"}',
)
def _misspelt_kind(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    known = [kind.name for kind in context.catalogue.kinds]
    for number, name, other in context.misspelled_names("services", known):
        yield (
            ("settings", "services", number, "name"),
            (
                f"{name} is not {other}: calls for {other} would not find it; write {other}, or a name "
                "that nobody takes for it"
            ),
        )


@rule(
    "WQ203",
    Level.ALWAYS,
    "Two classes have the same name",
    why="Which of the two rules holds would be chance; one of them may allow a second run.",
    bad='[{"name": "a", "effect": "fragile"}, {"name": "a", "effect": "retryable"}]',
    good='[{"name": "a", "effect": "fragile"}, {"name": "b", "effect": "retryable"}]',
)
def _duplicate_name(context: CheckContext) -> Violations:
    seen: dict[str, int] = {}
    for number, name in context.entry_names("services"):
        if name in seen:
            yield (
                ("settings", "services", number, "name"),
                (f"{name} is the name of class {seen[name]} as well: give each class one name"),
            )
        seen.setdefault(name, number)


@rule(
    "WQ204",
    Level.SITE,
    "Two classes differ only in spelling",
    why="`Segment_Commit` beside `segment-commit` is an alias: one may run again, the other not.",
    bad='["segment-commit", "Segment_Commit"]',
    good='["segment-commit"]',
)
def _alias(context: CheckContext) -> Violations:
    seen: dict[str, str] = {}
    for number, name in context.entry_names("services"):
        other = seen.setdefault(fold(name), name)
        if other != name:
            yield (
                ("settings", "services", number, "name"),
                (f"{name} and {other} are the same name in two spellings: keep one"),
            )


@rule(
    "WQ205",
    Level.ADVICE,
    "A class that the catalogue does not know",
    needs_catalogue=True,
    why="Nothing says whether it may run twice, nor how long its clients wait.",
    bad='{"name": "mystery", "effect": "retryable"}',
    good="enter it in the catalogue",
)
def _unknown_kind(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    known = [kind.name for kind in context.catalogue.kinds]
    for number, row in context.entries("services"):
        name = str(row.get("name", ""))
        if name and context.catalogue.kind(name) is None and not near(name, known):
            yield (
                ("settings", "services", number, "name"),
                (
                    f"the catalogue of {context.catalogue.site} has no kind {name}: "
                    f"it knows {', '.join(known)}"
                ),
            )


@rule(
    "WQ206",
    Level.SITE,
    "Clients are told to repeat jobs that must never run twice",
    why="The dispatcher cannot know a client's repeat under a new id from another job.",
    bad='"clients": {"retries_fragile": true}',
    good='"clients": {"retries_fragile": false}',
)
def _client_retries(context: CheckContext) -> Violations:
    rows = [row for _, row in context.entries("services")]
    fragile = [str(row.get("name")) for row in rows if row.get("effect") == "fragile"]
    if context.object_at("settings", "clients").get("retries_fragile") is True and fragile:
        yield (
            ("settings", "clients", "retries_fragile"),
            (f"clients would send {', '.join(fragile)} again after a failure, for a second run: write false"),
        )


@rule(
    "WQ207",
    Level.SITE,
    "Repeats are dropped for no time",
    why="A dedup class is repeated within window_ns; at 0 it never is, and nobody sees why.",
    bad='{"effect": "dedup"}',
    good='{"effect": "dedup", "window_ns": 5000000000}',
)
def _deduplication_window(context: CheckContext) -> Violations:
    for number, row in context.entries("services"):
        if row.get("effect") == "dedup" and not row.get("window_ns"):
            yield (
                ("settings", "services", number, "window_ns"),
                (f"{row.get('name')} is dedup with a window of 0: write for how long workers drop repeats"),
            )


@rule(
    "WQ208",
    Level.SITE,
    "More attempts than the platform allows",
    needs_catalogue=True,
    why="Attempts beyond the limit end without having been sent, and their calls fail.",
    bad='"max_attempts": 9',
    good='"max_attempts": 5',
)
def _max_attempts(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    maximum, value = (
        context.catalogue.limits.max_attempts,
        context.number_at("settings", "caps", "max_attempts"),
    )
    if maximum is not None and value is not None and value > maximum:
        yield (
            ("settings", "caps", "max_attempts"),
            f"max_attempts is {value:g}: the platform allows {maximum}",
        )


@rule(
    "WQ209",
    Level.SITE,
    "Second copies that the platform forbids",
    needs_catalogue=True,
    why="Two attempts of a request at once break its rules there.",
    bad='"may_duplicate": true',
    good='"may_duplicate": false',
)
def _hedged_requests(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    if context.catalogue.limits.may_duplicate is False and (
        context.object_at("settings", "caps").get("may_duplicate") is True
    ):
        yield ("settings", "caps", "may_duplicate"), "the platform allows no second copies: write false"


@rule(
    "WQ210",
    Level.ADVICE,
    "Second copies without a second attempt",
    why="A second copy is an attempt: with max_attempts 1 there is none, whatever may_duplicate says.",
    bad='{"may_duplicate": true, "max_attempts": 1}',
    good='{"may_duplicate": true, "max_attempts": 2}',
)
def _hedging_without_attempts(context: CheckContext) -> Violations:
    caps = context.object_at("settings", "caps")
    if caps.get("may_duplicate") is True and caps.get("max_attempts", 1) == 1:
        yield (
            ("settings", "caps", "may_duplicate"),
            ("may_duplicate is true, but max_attempts 1 leaves no second copy: write false, or 2 attempts"),
        )
