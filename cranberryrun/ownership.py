"""The owners of many keys, updated incrementally as owners join and leave."""

from __future__ import annotations

from collections.abc import Iterable

from .rendezvous import owner_of, score


class Ownership:
    """Owners by rendezvous hashing; each change costs one hash per key."""

    def __init__(self) -> None:
        self._owners: set[str] = set()
        self._owner_by_key: dict[str, str | None] = {}

    def update(self, owners: Iterable[str], keys: Iterable[str]) -> None:
        """Set the current owners and keys, and assign the keys that are affected."""
        wanted = set(keys)
        for key in list(self._owner_by_key):
            if key not in wanted:
                del self._owner_by_key[key]
        current_owners = set(owners)
        removed = self._owners - current_owners
        added = current_owners - self._owners
        self._owners = current_owners
        for key in wanted:
            self._assign(key, removed, added)

    def _assign(self, key: str, removed: set[str], added: set[str]) -> None:
        current = self._owner_by_key.get(key)
        if current is None or current in removed:
            self._owner_by_key[key] = owner_of(self._owners, key)
            return
        if not added:
            return
        candidates = [current, *added]
        best = max(candidates, key=lambda owner: (score(owner, key), owner))
        self._owner_by_key[key] = best

    def owner(self, key: str) -> str | None:
        """Return the owner of ``key``; None if it has none or is not a known key."""
        return self._owner_by_key.get(key)
