"""Straggler policies: which slow samples get a second attempt."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

from .slots import SlotKey

_TAIL_SHARE = 0.25
_MAX_WASTED_SHARE = 0.08
_MIN_SPEEDUP = 1.5
_MIN_REMAINING_SECONDS = 1.0
_LENGTH_GROWTH_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class SlotProgress:
    """The progress of a sample in generation.

    ``elapsed`` is the time since its first stream started, in seconds; ``rate`` is
    the recent rate of that stream, in tokens per second; ``attempts`` counts its
    streams; ``expected_tokens`` is the mean length of such samples, ``max_tokens``
    the limit.
    """

    key: SlotKey
    attempts: int = 1
    elapsed: float = 0.0
    tokens: int = 0
    rate: float = 0.0
    expected_tokens: float = 0.0
    max_tokens: int = 1_000_000

    @property
    def estimated_tokens(self) -> float:
        """The estimated length: the mean, or a quarter more than now if longer."""
        likely_tokens = max(self.expected_tokens, self.tokens * _LENGTH_GROWTH_FACTOR)
        return min(likely_tokens, float(self.max_tokens))

    @property
    def remaining_seconds(self) -> float:
        """Estimated seconds until the current stream completes the sample."""
        remaining_tokens = max(self.estimated_tokens - self.tokens, 1.0)
        return remaining_tokens / self.rate if self.rate > 0 else float("inf")


@dataclass(frozen=True, slots=True)
class StepProgress:
    """The progress of a step.

    ``pending`` counts the slots without a stream; ``idle_slots`` is how many more
    streams the step may have on engines with free slots, and ``new_stream_rate``
    the tokens per second that a stream should get on the least loaded of them;
    ``durations`` are those of the complete samples, in seconds. ``spent_seconds``
    and ``wasted_seconds`` sum up the seconds of all streams and of those whose
    sample was not used.
    """

    total: int
    complete: int
    pending: int = 0
    running: Sequence[SlotProgress] = field(default_factory=tuple)
    idle_slots: int = 0
    new_stream_rate: float = 0.0
    durations: Sequence[float] = field(default_factory=tuple)
    spent_seconds: float = 0.0
    wasted_seconds: float = 0.0


class StragglerPolicy(ABC):
    """Decides which samples are also generated on another engine."""

    @abstractmethod
    def second_attempts(self, progress: StepProgress) -> list[SlotKey]:
        """Return the slots to start one more attempt for, most urgent first."""


class NoSecondAttempts(StragglerPolicy):
    """Starts no second attempts."""

    def second_attempts(self, progress: StepProgress) -> list[SlotKey]:
        """See :meth:`StragglerPolicy.second_attempts`."""
        return []


class SecondAttempts(StragglerPolicy):
    """Starts a second attempt that should be complete much earlier than the first.

    Only the last samples of a step get one, once no slot waits for its first.

    :param max_wasted_share: the share of the step's stream-seconds that attempts
        without a used sample may take.
    """

    def __init__(self, max_wasted_share: float = _MAX_WASTED_SHARE) -> None:
        self._max_wasted_share = max_wasted_share

    def second_attempts(self, progress: StepProgress) -> list[SlotKey]:
        """See :meth:`StragglerPolicy.second_attempts`."""
        tail = max(1, int(progress.total * _TAIL_SHARE))
        if progress.pending or len(progress.running) > tail:
            return []
        if progress.idle_slots < 1 or progress.new_stream_rate <= 0:
            return []
        return self._affordable(progress)

    def _affordable(self, progress: StepProgress) -> list[SlotKey]:
        available_seconds = (
            progress.spent_seconds * self._max_wasted_share - progress.wasted_seconds
        )
        available_seconds -= _second_attempts_cost_seconds(progress)
        stragglers = [
            slot
            for slot in progress.running
            if self._is_worth_second_attempt(slot, progress)
        ]
        stragglers.sort(key=lambda straggler: -straggler.remaining_seconds)
        chosen: list[SlotKey] = []
        for straggler in stragglers:
            cost_seconds = straggler.estimated_tokens / progress.new_stream_rate
            if cost_seconds > available_seconds or len(chosen) >= progress.idle_slots:
                break
            available_seconds -= cost_seconds
            chosen.append(straggler.key)
        return chosen

    def _is_worth_second_attempt(
        self, slot: SlotProgress, progress: StepProgress
    ) -> bool:
        if slot.attempts > 1 or slot.remaining_seconds < _MIN_REMAINING_SECONDS:
            return False
        new_attempt_seconds = slot.estimated_tokens / progress.new_stream_rate
        if slot.elapsed < new_attempt_seconds:
            # The first stream may finish as early: it has run for less time than a
            # new one needs.
            return False
        return slot.remaining_seconds > new_attempt_seconds * _MIN_SPEEDUP


def _second_attempts_cost_seconds(progress: StepProgress) -> float:
    """Return the stream-seconds that running second attempts may still waste."""
    with_second_attempt = [slot for slot in progress.running if slot.attempts > 1]
    if progress.new_stream_rate <= 0:
        return 0.0
    return sum(
        slot.estimated_tokens / progress.new_stream_rate for slot in with_second_attempt
    )
