"""Tells late writes of a target from entries that replace wrong ones. Does no I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from .absent_ids import drop_absent
from .target import Target

# A write of a target may be carried out seconds late, after newer ones. But a target
# that writes several older entries in a row, each newer than the last, goes on there.
_ENTRIES_IN_A_ROW = 3


@dataclass(slots=True)
class _OlderEntries:
    """Entries in a row that were older than the one in force; the newest of them."""

    newest: Target
    count: int = 1


class EntryOrder:
    """Judges whether an entry of a target is older than the one that is in force.

    Another writer may have written an entry with a start time or a number that is too
    high. The target itself, which goes on writing, must not stay hidden behind it.
    """

    def __init__(self) -> None:
        self._older_by_id: dict[str, _OlderEntries] = {}

    def is_late(
        self, target: Target, registered: Target | None, present: Collection[str]
    ) -> bool:
        """Return whether to ignore an entry, as it is older than ``registered``.

        :param present: the ids of the targets that have an entry.
        """
        if registered is None or target.entry_order >= registered.entry_order:
            self._older_by_id.pop(target.id, None)
            return False
        older = self._older_by_id.get(target.id)
        if older is None or target.entry_order <= older.newest.entry_order:
            drop_absent(self._older_by_id, present)
            self._older_by_id[target.id] = _OlderEntries(target)
            return True
        older.newest = target
        older.count += 1
        if older.count < _ENTRIES_IN_A_ROW:
            return True
        del self._older_by_id[target.id]
        return False
