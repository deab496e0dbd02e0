"""WQ4xx: the customers that share the service, and their shares of its capacity."""

from __future__ import annotations

from weldquay.config.catalogue import find_similar_name, normalize_name
from weldquay.config.rules.base import CheckContext, Level, Violations, rule, to_number

SHARE_TOLERANCE = 0.005  # shares are rounded to hundredths


@rule(
    "WQ401",
    Level.SITE,
    "A customer of the site is missing from customers",
    needs_catalogue=True,
    why="Its requests would count as exceeding any share, and be the first to be rejected.",
    bad="customers without wakkanai-dev",
    good='{"name": "wakkanai-dev", "fraction": 0.05}',
)
def _missing_customer(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    listed = {normalize_name(str(entry.get("name", ""))) for _, entry in context.entries("customers")}
    for customer in context.catalogue.customers:
        if normalize_name(customer.name) not in listed:
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
    "The customers' shares add up to more than 1",
    why="The same capacity would be promised to more than one customer.",
    bad='[{"fraction": 0.7}, {"fraction": 0.6}]',
    good='[{"fraction": 0.7}, {"fraction": 0.3}]',
)
def _sum_of_shares(context: CheckContext) -> Violations:
    shares = context.numbers("customers", "fraction")
    if sum(shares) > 1 + SHARE_TOLERANCE:
        yield ("settings", "customers"), f"the shares add up to {sum(shares):g}: their sum must be at most 1"


@rule(
    "WQ403",
    Level.SITE,
    "A customer's share differs from the site's",
    needs_catalogue=True,
    why="The site divides its capacity by these shares; a larger one takes capacity from other customers.",
    bad='{"name": "kushiro-soft", "fraction": 0.5}',
    good='{"name": "kushiro-soft", "fraction": 0.17}',
)
def _share_of_site(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    customers = {normalize_name(customer.name): customer for customer in context.catalogue.customers}
    for index, entry in context.entries("customers"):
        customer, share = (
            customers.get(normalize_name(str(entry.get("name", "")))),
            to_number(entry.get("fraction")),
        )
        if customer is not None and share is not None and abs(share - customer.fraction) > SHARE_TOLERANCE:
            yield (
                ("settings", "customers", index, "fraction"),
                (f"the share of {customer.name} is {customer.fraction:g}, not {share:g}"),
            )


@rule(
    "WQ404",
    Level.SITE,
    "A customer is listed twice",
    why="Which of the two shares applies would be undefined.",
    bad='[{"name": "a"}, {"name": "A"}]',
    good='[{"name": "a"}]',
)
def _duplicate_customer(context: CheckContext) -> Violations:
    seen: dict[str, str] = {}
    for index, name in context.entry_names("customers"):
        if normalize_name(name) in seen:
            yield (
                ("settings", "customers", index, "name"),
                (f"{name} is already in the list, as {seen[normalize_name(name)]}: keep one of them"),
            )
        seen.setdefault(normalize_name(name), name)


@rule(
    "WQ405",
    Level.SITE,
    "The name of a customer is a misspelling of a known one",
    needs_catalogue=True,
    why="Requests carry the site's spelling, so the share of a misspelled customer is never used.",
    bad='{"name": "kushiro-sofft"}',
    good='{"name": "kushiro-soft"}',
)
def _misspelled_customer(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    known = [customer.name for customer in context.catalogue.customers]
    for index, name, correction in context.misspelled_names("customers", known):
        yield (
            ("settings", "customers", index, "name"),
            f"{name} looks like a misspelling of {correction}: write {correction}",
        )


@rule(
    "WQ406",
    Level.ADVICE,
    "A customer is not in the catalogue",
    needs_catalogue=True,
    why="Its share reduces those of the site's customers.",
    bad='{"name": "nobody-we-know"}',
    good="add it to the catalogue",
)
def _unknown_customer(context: CheckContext) -> Violations:
    assert context.catalogue is not None
    known = [customer.name for customer in context.catalogue.customers]
    for index, entry in context.entries("customers"):
        name = str(entry.get("name", ""))
        if (
            known
            and name
            and not find_similar_name(name, known)
            and normalize_name(name) not in {normalize_name(other) for other in known}
        ):
            yield (
                ("settings", "customers", index, "name"),
                (f"the catalogue of {context.catalogue.site} has no customer {name}"),
            )
