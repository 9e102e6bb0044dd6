"""Which targets said in an answer that they are leaving. No I/O."""

from __future__ import annotations

from collections.abc import Collection

from .absent_ids import drop_absent

_MS_PER_SECOND = 1000.0


class LeavingMarks:
    """Keeps a mark for the life of the process of a target.

    A target's entry may say later that it is leaving, and a snapshot of the topic may
    be older, so no entry of the same process takes the mark back. Of targets without
    an entry, some hundred are remembered.
    """

    def __init__(self) -> None:
        self._since_by_id: dict[str, float] = {}

    def add(self, target_id: str, wall: float, present: Collection[str]) -> bool:
        """Mark a target; return False if it was marked already.

        :param wall: the time of its answer, in seconds since 1970.
        :param present: the ids of the targets that have an entry.
        """
        if target_id in self._since_by_id:
            return False
        drop_absent(self._since_by_id, present)
        self._since_by_id[target_id] = wall
        return True

    def holds(self, target_id: str, born: int) -> bool:
        """Return whether the mark is of the process that started at ``born``.

        A process that started after the answer is a later one with the same id.

        :param born: in milliseconds since 1970.
        """
        since = self._since_by_id.get(target_id)
        return since is not None and born <= since * _MS_PER_SECOND
