"""A bounded set of request ids, from which the oldest are dropped."""

from __future__ import annotations

import math
import time
from collections.abc import Iterable, Iterator, Set

MAX_RECENT_IDS = 8_192
RECENT_ID_LIFETIME_S = 30.0  # a client that repeats an id does so soon after it has lost its connection


class RecentIds(Set[str]):
    """The ids that were added last; an id is dropped after its lifetime, or for a newer one at the limit."""

    def __init__(self, lifetime_s: float = math.inf, max_ids: int = MAX_RECENT_IDS) -> None:
        """Create an empty set; lifetime_s: after this time an id is dropped."""
        self._lifetime_s = lifetime_s
        self._max_ids = max_ids
        self._expires_at: dict[str, float] = {}  # on the monotonic clock (s); the oldest come first

    def add(self, request_id: str) -> None:
        """Add an id, or renew its lifetime."""
        now = time.monotonic()
        self._expires_at.pop(request_id, None)
        self._expires_at[request_id] = now + self._lifetime_s
        while self._expires_at:
            oldest = next(iter(self._expires_at))
            if len(self._expires_at) <= self._max_ids and self._expires_at[oldest] > now:
                break
            del self._expires_at[oldest]

    def update(self, request_ids: Iterable[str]) -> None:
        """Add several ids."""
        for request_id in request_ids:
            self.add(request_id)

    def discard(self, request_id: str) -> None:
        """Remove an id, if it is in the set."""
        self._expires_at.pop(request_id, None)

    def clear(self) -> None:
        """Remove all ids."""
        self._expires_at.clear()

    def __contains__(self, request_id: object) -> bool:
        """Return whether the id was added and has not been dropped."""
        expires_at = self._expires_at.get(request_id) if isinstance(request_id, str) else None
        return expires_at is not None and expires_at > time.monotonic()

    def __iter__(self) -> Iterator[str]:
        """Iterate over the ids, the oldest first."""
        return iter(self._expires_at)

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._expires_at)
