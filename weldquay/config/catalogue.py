"""The site catalogue: facts about a site that a configuration does not contain."""

from __future__ import annotations

import difflib
from importlib import resources
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from weldquay.config import reading
from weldquay.errors import OperatorError

Time = Annotated[int, Meta(gt=0)]
SHIPPED_FOLDER = "catalogues"
MIN_SIMILARITY = 0.82  # of two names, from which one counts as a misspelling of the other


class CatalogueError(OperatorError, ValueError):
    """A catalogue that cannot be used; one line says why."""

    error_code = "catalogue-error"
    remedy = "name one of the catalogues that are listed, or the path of a file of your own"


class JobKind(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of job: whether it may run twice, and how long its clients wait."""

    name: str
    never_twice: bool
    give_up_ns: Time
    aim_ns: Time | None = None
    stretch: float = 0.0
    worth: float = 1.0


class Customer(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A customer and its share."""

    name: str
    fraction: Annotated[float, Meta(gt=0, le=1)]


class Limits(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The limits of the platform; one that is absent is not checked."""

    max_attempts: int | None = None
    may_duplicate: bool | None = None
    max_retry_after_ns: Time | None = None
    conn_idle_ns: Time | None = None
    connect_timeout_ns: Time | None = None
    stop_sending_within_ns: Time | None = None
    ask_within_ns: Time | None = None
    cold_share: float | None = None
    warm_after_ns: Time | None = None
    fall_multiple: float | None = None
    overload_for_ns: Time | None = None


class Catalogue(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A site's facts."""

    site: str
    kinds: list[JobKind] = []
    customers: list[Customer] = []
    limits: Limits = Limits()
    networks: list[str] = []  # that addresses may lie in; none: any

    def kind(self, name: str) -> JobKind | None:
        """Return the kind with this name, whatever its spelling, or None."""
        return next((kind for kind in self.kinds if normalize_name(kind.name) == normalize_name(name)), None)


def normalize_name(name: str) -> str:
    """Return a name in lower case, with `-` for `_`, spaces and dots, to compare it with others."""
    return "".join("-" if entry in "_-. " else entry for entry in name.casefold()).strip("-")


def find_similar_name(name: str, names: list[str]) -> str:
    """Return the name that a misspelt one probably means; empty if there is none or both normalize alike."""
    folded = {normalize_name(entry): entry for entry in names}
    if normalize_name(name) in folded:
        return ""
    found = difflib.get_close_matches(normalize_name(name), list(folded), 1, MIN_SIMILARITY)
    return folded[found[0]] if found else ""


def load(name: str) -> Catalogue:
    """Return a catalogue from a file, or one that ships with the project, by its site's name.

    Raises:
        CatalogueError: it cannot be read, or is not valid.
    """
    shipped_file = resources.files("weldquay.config").joinpath(SHIPPED_FOLDER, f"{name}.json")
    if "/" not in name and shipped_file.is_file():
        data = shipped_file.read_bytes()
    else:
        try:
            data = reading.read_file(Path(name))
        except reading.ReadingError as error:
            raise CatalogueError(f"{error}; the project's own are {', '.join(shipped())}") from None
    try:
        return msgspec.convert(reading.parse(reading.decode(data)), Catalogue)
    except (reading.ReadingError, msgspec.ValidationError) as error:
        raise CatalogueError(f"{name}: no catalogue: {error}") from None


def shipped() -> list[str]:
    """Return the sites whose catalogues ship with the project."""
    folder = resources.files("weldquay.config").joinpath(SHIPPED_FOLDER)
    names = (entry.name for entry in folder.iterdir())
    return sorted(name.removesuffix(".json") for name in names if name.endswith(".json"))
