"""Who owns each of many keys, kept up to date as owners come and go."""

from __future__ import annotations

from collections.abc import Iterable

from .rendezvous import owner_of, score


class Ownership:
    """Owners by rendezvous hashing; a change costs one hash for each key."""

    def __init__(self) -> None:
        self._owners: set[str] = set()
        self._owner_by_key: dict[str, str | None] = {}

    def update(self, owners: Iterable[str], keys: Iterable[str]) -> None:
        """Take in which owners and which keys there are now."""
        wanted = set(keys)
        for key in list(self._owner_by_key):
            if key not in wanted:
                del self._owner_by_key[key]
        now = set(owners)
        gone = self._owners - now
        new = now - self._owners
        self._owners = now
        for key in wanted:
            self._place(key, gone, new)

    def _place(self, key: str, gone: set[str], new: set[str]) -> None:
        known = self._owner_by_key.get(key)
        if known is None or known in gone:
            self._owner_by_key[key] = owner_of(self._owners, key)
            return
        if not new:
            return
        rivals = [known, *new]
        best = max(rivals, key=lambda owner: (score(owner, key), owner))
        self._owner_by_key[key] = best

    def owner(self, key: str) -> str | None:
        """Return who owns ``key``; None if nobody does or it is not known."""
        return self._owner_by_key.get(key)
