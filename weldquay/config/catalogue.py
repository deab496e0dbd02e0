"""The site catalogue: facts that no single configuration can prove, as data beside the tool."""

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
OWN = "catalogues"
NEAR = 0.82  # likeness from which two names are taken for a slip of the pen


class CatalogueError(OperatorError, ValueError):
    """A catalogue that cannot be used; one line says why."""

    error_code = "catalogue-error"
    remedy = "name one of the catalogues that are listed, or the path of a file of your own"


class Kind(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of job: what it is by its nature, and how long its clients wait."""

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
    """What the platform's rules allow; a limit that is absent is not checked."""

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
    kinds: list[Kind] = []
    customers: list[Customer] = []
    limits: Limits = Limits()
    networks: list[str] = []  # that addresses may lie in; none: any

    def kind(self, name: str) -> Kind | None:
        """The kind that a class of this name is, whatever its spelling."""
        return next((kind for kind in self.kinds if fold(kind.name) == fold(name)), None)


def fold(name: str) -> str:
    """A name without what people take for the same: case, `_` for `-`, spaces and dots."""
    return "".join("-" if each in "_-. " else each for each in name.casefold()).strip("-")


def near(name: str, names: list[str]) -> str:
    """The name that this one is probably meant to be, though it is another after folding; empty: none."""
    folded = {fold(each): each for each in names}
    if fold(name) in folded:
        return ""
    found = difflib.get_close_matches(fold(name), list(folded), 1, NEAR)
    return folded[found[0]] if found else ""


def load(name: str) -> Catalogue:
    """A catalogue from a file, or one that ships with the project, by its site's name."""
    own = resources.files("weldquay.config").joinpath(OWN, f"{name}.json")
    if "/" not in name and own.is_file():
        data = own.read_bytes()
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
    """The sites whose catalogues ship with the project."""
    folder = resources.files("weldquay.config").joinpath(OWN)
    names = (each.name for each in folder.iterdir())
    return sorted(name.removesuffix(".json") for name in names if name.endswith(".json"))
