"""When slow samples get a second attempt: the policies, behind one base class."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

from .slots import SlotKey

_LAST_SHARE = 0.25
_WASTE_SHARE = 0.08
_MIN_GAIN = 1.5
_MIN_SECONDS_LEFT = 1.0
_GROWTH = 1.25


@dataclass(frozen=True, slots=True)
class SlotProgress:
    """A sample that is being made now.

    ``elapsed`` is in seconds since its first stream began and ``rate`` in tokens
    a second of late; ``attempts`` counts its streams; ``expected_tokens`` is what
    a sample of its kind should have, ``max_tokens`` what it may have at most.
    """

    key: SlotKey
    attempts: int = 1
    elapsed: float = 0.0
    tokens: int = 0
    rate: float = 0.0
    expected_tokens: float = 0.0
    max_tokens: int = 1_000_000

    @property
    def whole_tokens(self) -> float:
        """The tokens that the whole sample should have, from what is known now."""
        likely = max(self.expected_tokens, self.tokens * _GROWTH)
        return min(likely, float(self.max_tokens))

    @property
    def seconds_left(self) -> float:
        """Seconds until the sample should be whole where it is being made."""
        left = max(self.whole_tokens - self.tokens, 1.0)
        return left / self.rate if self.rate > 0 else float("inf")


@dataclass(frozen=True, slots=True)
class StepProgress:
    """Where a step stands.

    ``waiting`` counts samples that no engine makes yet; ``idle_slots`` is how
    many more streams the step may hold on engines with room, and ``new_rate``
    the tokens a second that a stream on the idlest engine should get;
    ``durations`` are those of the whole samples, in seconds. ``spent`` and
    ``wasted`` are in stream-seconds.
    """

    total: int
    whole: int
    waiting: int = 0
    running: Sequence[SlotProgress] = field(default_factory=tuple)
    idle_slots: int = 0
    new_rate: float = 0.0
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
    """A second attempt where it should be whole much sooner than the first.

    Only the last samples of a step get one, when none waits for its first.

    :param waste_share: the part of the step's stream-seconds that attempts
        which come to nothing may take.
    """

    def __init__(self, waste_share: float = _WASTE_SHARE) -> None:
        self._waste_share = waste_share

    def second_attempts(self, progress: StepProgress) -> list[SlotKey]:
        """See :meth:`StragglerPolicy.second_attempts`."""
        last = max(1, int(progress.total * _LAST_SHARE))
        if progress.waiting or len(progress.running) > last:
            return []
        if progress.idle_slots < 1 or progress.new_rate <= 0:
            return []
        return self._affordable(progress)

    def _affordable(self, progress: StepProgress) -> list[SlotKey]:
        room = progress.spent * self._waste_share - progress.wasted
        room -= _at_stake(progress)
        slow = [each for each in progress.running if self._gains(each, progress)]
        slow.sort(key=lambda each: -each.seconds_left)
        chosen: list[SlotKey] = []
        for each in slow:
            cost = each.whole_tokens / progress.new_rate
            if cost > room or len(chosen) >= progress.idle_slots:
                break
            room -= cost
            chosen.append(each.key)
        return chosen

    def _gains(self, each: SlotProgress, progress: StepProgress) -> bool:
        if each.attempts > 1 or each.seconds_left < _MIN_SECONDS_LEFT:
            return False
        anew = each.whole_tokens / progress.new_rate
        if each.elapsed < anew:
            # A stream that has had less time than a new one needs may just wait.
            return False
        return each.seconds_left > anew * _MIN_GAIN


def _at_stake(progress: StepProgress) -> float:
    """Return the stream-seconds that the second attempts under way may waste."""
    twice = [each for each in progress.running if each.attempts > 1]
    if progress.new_rate <= 0:
        return 0.0
    return sum(each.whole_tokens / progress.new_rate for each in twice)
