"""WQ4xx: who shares the service."""

from __future__ import annotations

from weldquay.config.catalogue import fold, near
from weldquay.config.rules.base import CheckContext, Level, Violations, rule, to_number

ROUNDING = 0.005  # shares in whole hundredths


@rule(
    "WQ401",
    Level.SITE,
    "A customer is missing from the share list",
    needs_catalogue=True,
    why="Calls that name it would count as beyond every share, and be the first to be turned away.",
    bad="customers without wakkanai-dev",
    good='{"name": "wakkanai-dev", "fraction": 0.05}',
)
def _missing_customer(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    value = {fold(str(row.get("name", ""))) for _, row in context.entries("customers")}
    for customer in context.catalogue.customers:
        if fold(customer.name) not in value:
            yield (
                ("settings", "customers"),
                (
                    f"{customer.name} has a share of {customer.fraction:g} at {context.catalogue.site}, but "
                    "is not in customers: "
                    f'add {{"name": "{customer.name}", "fraction": {customer.fraction:g}}}'
                ),
            )


@rule(
    "WQ402",
    Level.SITE,
    "Shares that add up to more than everything",
    why="Each share would promise what another has been promised as well.",
    bad='[{"fraction": 0.7}, {"fraction": 0.6}]',
    good='[{"fraction": 0.7}, {"fraction": 0.3}]',
)
def _sum_of_shares(context: CheckContext) -> Violations:
    shares = context.numbers("customers", "fraction")
    if sum(shares) > 1 + ROUNDING:
        yield ("settings", "customers"), f"the shares add up to {sum(shares):g}: they may be 1 together"


@rule(
    "WQ403",
    Level.SITE,
    "A share other than the site's",
    needs_catalogue=True,
    why="The site gives its capacity out by these shares; another one takes from one for the other.",
    bad='{"name": "kushiro-soft", "fraction": 0.5}',
    good='{"name": "kushiro-soft", "fraction": 0.17}',
)
def _share_of_site(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    shares = {fold(entry.name): entry for entry in context.catalogue.customers}
    for number, row in context.entries("customers"):
        customer, value = shares.get(fold(str(row.get("name", "")))), to_number(row.get("fraction"))
        if customer is not None and value is not None and abs(value - customer.fraction) > ROUNDING:
            yield (
                ("settings", "customers", number, "fraction"),
                (f"the share of {customer.name} is {customer.fraction:g}, not {value:g}"),
            )


@rule(
    "WQ404",
    Level.SITE,
    "A customer stands twice in the share list",
    why="Which of the two shares counts would be chance.",
    bad='[{"name": "a"}, {"name": "A"}]',
    good='[{"name": "a"}]',
)
def _duplicate_customer(context: CheckContext) -> Violations:
    seen: dict[str, str] = {}
    for number, name in context.entry_names("customers"):
        if fold(name) in seen:
            yield (
                ("settings", "customers", number, "name"),
                (f"{name} stands in the list already, as {seen[fold(name)]}: keep one"),
            )
        seen.setdefault(fold(name), name)


@rule(
    "WQ405",
    Level.SITE,
    "A customer is nearly, but not exactly, a known one",
    needs_catalogue=True,
    why="Calls carry the site's spelling; under another one the share is never used.",
    bad='{"name": "kushiro-sofft"}',
    good='{"name": "kushiro-soft"}',
)
def _misspelt_customer(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    known = [customer.name for customer in context.catalogue.customers]
    for number, name, other in context.misspelled_names("customers", known):
        yield ("settings", "customers", number, "name"), f"{name} is not {other}: write {other}"


@rule(
    "WQ406",
    Level.ADVICE,
    "A customer that the catalogue does not know",
    needs_catalogue=True,
    why="Its share comes off those of the site's customers.",
    bad='{"name": "nobody-we-know"}',
    good="enter it in the catalogue",
)
def _unknown_customer(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    known = [customer.name for customer in context.catalogue.customers]
    for number, row in context.entries("customers"):
        name = str(row.get("name", ""))
        if known and name and not near(name, known) and fold(name) not in {fold(entry) for entry in known}:
            yield (
                ("settings", "customers", number, "name"),
                (f"the catalogue of {context.catalogue.site} has no customer {name}"),
            )
