"""WQ2xx: job classes, and whether a job that must not run twice could be executed again."""

from __future__ import annotations

from weldquay.config.catalogue import find_similar_name, normalize_name
from weldquay.config.rules.base import CheckContext, Level, Violations, rule


@rule(
    "WQ201",
    Level.SITE,
    "A job that must never run twice is marked as retryable",
    needs_catalogue=True,
    why="The dispatcher retries a retryable or dedup job after a timeout, an error or a reset, and may send "
    "a hedged request while the first attempt runs. A second segment-commit writes its segment twice.",
    bad='{"name": "segment-commit", "effect": "retryable"}',
    good='{"name": "segment-commit", "effect": "fragile"}',
)
def _unsafe_retries(context: CheckContext) -> Violations:
    for index, entry, kind in context.known_classes():
        if kind.never_twice and entry.get("effect") in ("retryable", "dedup"):
            yield (
                ("settings", "services", index, "effect"),
                (f"{entry['name']} must never run twice, but its effect is {entry['effect']}: write fragile"),
            )


@rule(
    "WQ202",
    Level.SITE,
    "The name of a class is a misspelling of a known kind of job",
    needs_catalogue=True,
    why="Requests name their class in the path, and another spelling is another class: its settings do not "
    "apply to the requests that were meant, so that a job that must not run twice may be executed again.",
    bad='{"name": "segment_comit", "effect": "retryable"}',
    good='{"name": "segment-commit", "effect": "fragile"}',
)
def _misspelled_kind(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    known = [kind.name for kind in context.catalogue.kinds]
    for index, name, correction in context.misspelled_names("services", known):
        yield (
            ("settings", "services", index, "name"),
            (
                f"{name} looks like a misspelling of {correction}, and requests for {correction} would not "
                f"match it: write {correction}, or a name that cannot be confused with it"
            ),
        )


@rule(
    "WQ203",
    Level.ALWAYS,
    "Two classes have the same name",
    why="Which of the two applies would be undefined, and one of them may allow a second execution.",
    bad='[{"name": "a", "effect": "fragile"}, {"name": "a", "effect": "retryable"}]',
    good='[{"name": "a", "effect": "fragile"}, {"name": "b", "effect": "retryable"}]',
)
def _duplicate_name(context: CheckContext) -> Violations:
    seen: dict[str, int] = {}
    for index, name in context.entry_names("services"):
        if name in seen:
            yield (
                ("settings", "services", index, "name"),
                (f"{name} is also the name of class {seen[name]}: give each class its own name"),
            )
        seen.setdefault(name, index)


@rule(
    "WQ204",
    Level.SITE,
    "The names of two classes differ only in spelling",
    why="`Segment_Commit` beside `segment-commit` is an alias: one may be retried, the other not.",
    bad='["segment-commit", "Segment_Commit"]',
    good='["segment-commit"]',
)
def _alias(context: CheckContext) -> Violations:
    seen: dict[str, str] = {}
    for index, name in context.entry_names("services"):
        other = seen.setdefault(normalize_name(name), name)
        if other != name:
            yield (
                ("settings", "services", index, "name"),
                (f"{name} and {other} are two spellings of the same name: keep one of them"),
            )


@rule(
    "WQ205",
    Level.ADVICE,
    "A class is not in the catalogue",
    needs_catalogue=True,
    why="Whether its jobs may run twice, and how long its clients wait, cannot be checked.",
    bad='{"name": "mystery", "effect": "retryable"}',
    good="add it to the catalogue",
)
def _unknown_kind(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    known = [kind.name for kind in context.catalogue.kinds]
    for index, entry in context.entries("services"):
        name = str(entry.get("name", ""))
        if name and context.catalogue.kind(name) is None and not find_similar_name(name, known):
            yield (
                ("settings", "services", index, "name"),
                (
                    f"the catalogue of {context.catalogue.site} has no kind {name}: "
                    f"it contains {', '.join(known)}"
                ),
            )


@rule(
    "WQ206",
    Level.SITE,
    "Clients retry jobs that must never run twice",
    why="A client's retry has a new id, so the dispatcher cannot distinguish it from another job.",
    bad='"clients": {"retries_fragile": true}',
    good='"clients": {"retries_fragile": false}',
)
def _client_retries(context: CheckContext) -> Violations:
    entries = [entry for _, entry in context.entries("services")]
    fragile = [str(entry.get("name")) for entry in entries if entry.get("effect") == "fragile"]
    if context.object_at("settings", "clients").get("retries_fragile") is True and fragile:
        yield (
            ("settings", "clients", "retries_fragile"),
            (
                f"clients would retry {', '.join(fragile)} after a failure, so that a job may run twice: "
                "write false"
            ),
        )


@rule(
    "WQ207",
    Level.SITE,
    "The deduplication window is 0",
    why="Jobs of a dedup class are retried only within window_ns: with 0 there is never a retry, and "
    "nothing reports that.",
    bad='{"effect": "dedup"}',
    good='{"effect": "dedup", "window_ns": 5000000000}',
)
def _deduplication_window(context: CheckContext) -> Violations:
    for index, entry in context.entries("services"):
        if entry.get("effect") == "dedup" and not entry.get("window_ns"):
            yield (
                ("settings", "services", index, "window_ns"),
                (f"{entry.get('name')} is dedup with a window of 0: write how long workers drop duplicates"),
            )


@rule(
    "WQ208",
    Level.SITE,
    "max_attempts exceeds the platform's limit",
    needs_catalogue=True,
    why="Attempts beyond the limit end without having been sent, and their requests fail.",
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
    "Hedged requests are enabled, but the platform forbids them",
    needs_catalogue=True,
    why="Two concurrent attempts of a request violate the platform's rules.",
    bad='"may_duplicate": true',
    good='"may_duplicate": false',
)
def _hedged_requests(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    if context.catalogue.limits.may_duplicate is False and (
        context.object_at("settings", "caps").get("may_duplicate") is True
    ):
        yield ("settings", "caps", "may_duplicate"), "the platform forbids hedged requests: write false"


@rule(
    "WQ210",
    Level.ADVICE,
    "Hedged requests are enabled, but only one attempt is allowed",
    why="A hedged request is a second attempt: with max_attempts 1 none is sent, whatever may_duplicate is.",
    bad='{"may_duplicate": true, "max_attempts": 1}',
    good='{"may_duplicate": true, "max_attempts": 2}',
)
def _hedging_without_attempts(context: CheckContext) -> Violations:
    caps = context.object_at("settings", "caps")
    if caps.get("may_duplicate") is True and caps.get("max_attempts", 1) == 1:
        yield (
            ("settings", "caps", "may_duplicate"),
            (
                "may_duplicate is true, but max_attempts 1 allows no hedged request: write false, or "
                "max_attempts 2"
            ),
        )
