"""The site catalogue: facts about a site that its configuration does not contain."""

from __future__ import annotations

import difflib
from importlib import resources
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from weldquay.config import reading
from weldquay.errors import OperatorError

DurationNs = Annotated[int, Meta(gt=0)]
BUILTIN_DIRECTORY = "catalogues"
MIN_SIMILARITY = 0.82  # difflib ratio of two names from which one counts as a misspelling of the other


class CatalogueError(OperatorError, ValueError):
    """A catalogue that cannot be used; the message says why, in one line."""

    error_code = "catalogue-error"
    remedy = "give the name of a catalogue that ships with weldquay, or the path of a catalogue file"


class JobKind(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of job: whether it may run twice, and how long its clients wait for a result."""

    name: str
    never_twice: bool
    give_up_ns: DurationNs
    aim_ns: DurationNs | None = None
    stretch: float = 0.0
    worth: float = 1.0


class Customer(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A customer and its share of the capacity."""

    name: str
    fraction: Annotated[float, Meta(gt=0, le=1)]


class Limits(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits of the platform; a limit that is absent is not checked."""

    max_attempts: int | None = None
    may_duplicate: bool | None = None
    max_retry_after_ns: DurationNs | None = None
    conn_idle_ns: DurationNs | None = None
    connect_timeout_ns: DurationNs | None = None
    stop_sending_within_ns: DurationNs | None = None
    ask_within_ns: DurationNs | None = None
    cold_share: float | None = None
    warm_after_ns: DurationNs | None = None
    fall_multiple: float | None = None
    overload_for_ns: DurationNs | None = None


class Catalogue(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The facts about one site."""

    site: str
    kinds: list[JobKind] = []
    customers: list[Customer] = []
    limits: Limits = Limits()
    networks: list[str] = []  # networks that must contain the configured addresses; empty: any address

    def kind(self, name: str) -> JobKind | None:
        """Return the kind with this name, compared in normalized form, or None."""
        return next((kind for kind in self.kinds if normalize_name(kind.name) == normalize_name(name)), None)


def normalize_name(name: str) -> str:
    """Return a name in lower case with `-` for `_`, spaces and dots, for comparison."""
    return "".join("-" if character in "_-. " else character for character in name.casefold()).strip("-")


def find_similar_name(name: str, names: list[str]) -> str:
    """Return the known name that a misspelt one probably means; empty if there is none.

    It is also empty if the name equals a known one after normalization.
    """
    normalized = {normalize_name(entry): entry for entry in names}
    if normalize_name(name) in normalized:
        return ""
    matches = difflib.get_close_matches(normalize_name(name), list(normalized), 1, MIN_SIMILARITY)
    return normalized[matches[0]] if matches else ""


def load(name: str) -> Catalogue:
    """Load the catalogue of a site that ships with weldquay, by its name, or one from a file.

    Raises:
        CatalogueError: the catalogue cannot be read or is invalid.
    """
    builtin_file = resources.files("weldquay.config").joinpath(BUILTIN_DIRECTORY, f"{name}.json")
    if "/" not in name and builtin_file.is_file():
        data = builtin_file.read_bytes()
    else:
        try:
            data = reading.read_file(Path(name))
        except reading.ReadingError as error:
            raise CatalogueError(
                f"{error}; catalogues that ship with weldquay: {', '.join(builtin_sites())}"
            ) from None
    try:
        return msgspec.convert(reading.parse(reading.decode(data)), Catalogue)
    except (reading.ReadingError, msgspec.ValidationError) as error:
        raise CatalogueError(f"{name}: not a valid catalogue: {error}") from None


def builtin_sites() -> list[str]:
    """Return the names of the sites whose catalogues ship with weldquay."""
    directory = resources.files("weldquay.config").joinpath(BUILTIN_DIRECTORY)
    names = (entry.name for entry in directory.iterdir())
    return sorted(name.removesuffix(".json") for name in names if name.endswith(".json"))
