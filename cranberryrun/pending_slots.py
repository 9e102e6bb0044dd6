"""Queue of a step's slots that wait for an engine."""

from __future__ import annotations

import heapq
from collections import deque

from .sample_statistics import SampleStatistics
from .slots import Slot


class PendingSlots:
    """Returns retries whose delay has passed first, then slots without an attempt.

    Among the latter, the longest expected samples come first, so that they do not
    end long after the others.
    """

    def __init__(self, statistics: SampleStatistics) -> None:
        self._statistics = statistics
        self._first_attempts_by_group: dict[str, deque[Slot]] = {}
        self._retries: list[tuple[float, str, int, Slot]] = []
        self._first_attempt_count = 0

    def __len__(self) -> int:
        """Return the number of slots in the queue."""
        return self._first_attempt_count + len(self._retries)

    def add(self, slot: Slot) -> None:
        """Add a slot; one with earlier attempts waits until its ``not_before``."""
        if slot.attempts:
            entry = (slot.not_before, slot.group, slot.index, slot)
            heapq.heappush(self._retries, entry)
            return
        self._first_attempts_by_group.setdefault(slot.group, deque()).append(slot)
        self._first_attempt_count += 1

    def pop(self, now: float) -> Slot | None:
        """Remove and return the next slot; None if no slot is due at ``now``."""
        if self._retries and self._retries[0][0] <= now:
            return heapq.heappop(self._retries)[-1]
        if not self._first_attempts_by_group:
            return None
        group = max(self._first_attempts_by_group, key=self._expected_tokens)
        slots = self._first_attempts_by_group[group]
        slot = slots.popleft()
        self._first_attempt_count -= 1
        if not slots:
            del self._first_attempts_by_group[group]
        return slot

    def _expected_tokens(self, group: str) -> float:
        first = self._first_attempts_by_group[group][0]
        return self._statistics.expected_tokens(first.prompt_digest, first.max_tokens)
