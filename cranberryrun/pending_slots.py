"""The slots of a step that wait for an engine: lost ones first, then the longest."""

from __future__ import annotations

import heapq
from collections import deque

from .sample_statistics import Lengths
from .slots import Slot


class PendingSlots:
    """Gives slots out, the one that should take longest first.

    A slot that has been tried before goes first, once its pause is over.
    """

    def __init__(self, lengths: Lengths) -> None:
        self._lengths = lengths
        self._slots_by_group: dict[str, deque[Slot]] = {}
        self._again: list[tuple[float, str, int, Slot]] = []
        self._count = 0

    def __len__(self) -> int:
        """Return how many slots wait."""
        return self._count + len(self._again)

    def add(self, slot: Slot) -> None:
        """Let a slot wait."""
        if slot.attempts:
            entry = (slot.not_before, slot.group, slot.index, slot)
            heapq.heappush(self._again, entry)
            return
        self._slots_by_group.setdefault(slot.group, deque()).append(slot)
        self._count += 1

    def pop(self, now: float) -> Slot | None:
        """Return the next slot, None if none may go yet."""
        if self._again and self._again[0][0] <= now:
            return heapq.heappop(self._again)[-1]
        if not self._slots_by_group:
            return None
        group = max(self._slots_by_group, key=self._expected)
        slots = self._slots_by_group[group]
        slot = slots.popleft()
        self._count -= 1
        if not slots:
            del self._slots_by_group[group]
        return slot

    def _expected(self, group: str) -> float:
        first = self._slots_by_group[group][0]
        return self._lengths.expected(first.prefix, first.max_tokens)
