"""When slow samples get a second attempt: the policies, behind one base class."""

from __future__ import annotations

import statistics
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

SlotKey = tuple[str, int]

_SLOW_FACTOR = 2.0
_LAST_SHARE = 0.125
_WASTE_SHARE = 0.08


@dataclass(frozen=True, slots=True)
class SlotProgress:
    """A sample that is being made now.

    ``elapsed`` is in seconds since its first stream began; ``attempts`` counts
    its streams; ``expected_tokens`` is what a sample of its kind should have.
    """

    key: SlotKey
    attempts: int = 1
    elapsed: float = 0.0
    tokens: int = 0
    expected_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class StepProgress:
    """Where a step stands.

    ``waiting`` counts samples that no engine makes yet; ``idle_slots`` is how
    many streams the engines could take at once; ``durations`` are those of the
    whole samples, in seconds. ``spent`` and ``wasted`` are in stream-seconds.
    """

    total: int
    whole: int
    waiting: int = 0
    running: Sequence[SlotProgress] = field(default_factory=tuple)
    idle_slots: int = 0
    durations: Sequence[float] = field(default_factory=tuple)
    spent: float = 0.0
    wasted: float = 0.0


class StragglerPolicy(ABC):
    """Says which samples are made a second time, on another engine."""

    @abstractmethod
    def second_attempts(self, progress: StepProgress) -> list[SlotKey]:
        """Return the slots that get one more attempt now, most urgent first."""


class NoSecondAttempts(StragglerPolicy):
    """Leaves every sample to its first engine."""

    def second_attempts(self, progress: StepProgress) -> list[SlotKey]:
        """See :meth:`StragglerPolicy.second_attempts`."""
        return []


class SecondAttempts(StragglerPolicy):
    """A second attempt for the last few samples, while waste stays bounded.

    :param waste_share: the part of the step's stream-seconds that attempts
        which come to nothing may take.
    """

    def __init__(self, waste_share: float = _WASTE_SHARE) -> None:
        self._waste_share = waste_share

    def second_attempts(self, progress: StepProgress) -> list[SlotKey]:
        """See :meth:`StragglerPolicy.second_attempts`."""
        last = max(1, int(progress.total * _LAST_SHARE))
        if progress.waiting or not progress.durations:
            return []
        if len(progress.running) > last or progress.idle_slots < 1:
            return []
        typical = statistics.median(progress.durations)
        slow = [
            each
            for each in progress.running
            if each.attempts < 2 and each.elapsed > typical * _SLOW_FACTOR
        ]
        slow.sort(key=lambda each: -each.elapsed)
        room = progress.spent * self._waste_share - progress.wasted
        affordable = int(room / typical) if typical > 0 else len(slow)
        most = max(0, min(progress.idle_slots, affordable))
        return [each.key for each in slow[:most]]
