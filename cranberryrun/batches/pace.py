"""How far each trainer is behind its own pace. Does no I/O.

A trainer submits a step at its pace or, if that is later, when the weights that the
step needs are announced. It is therefore late by as much as its steps are, and a step
that it never comes to counts as failed.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from .models import Batch

# A group that is complete this long after its due time still counts in full.
_GRACE_SECONDS = 0.7
# From the end of an item's text until the trainer reads its result: a reward call
# takes 0.1 s, the append to the store and the trainer's next read as long again.
LISTING_SECONDS = 0.3
# The median of this many intervals is not moved by a trainer that is late once, which
# makes one interval longer and the next one shorter.
_INTERVALS = 5
_MIN_INTERVALS = 3
# Older submissions say nothing about the pace any more. It covers the submissions that
# a new lease holder reads.
_KEEP_SECONDS = 120.0
# A trainer trains for about a second after a step, before it submits another one; see
# docs/incidents/kelani-votes-last-step.md.
_TRAINING_SECONDS = 1.0
# A trainer that is behind by more than this was held up by its steps.
_HELD_UP_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class StepTimes:
    """When the texts of a step should be complete, in seconds since 1970.

    The trainer, which is ``behind`` by some seconds, keeps its pace if they are by
    ``pace_deadline``; its groups count in full until ``deadline``.
    """

    behind: float
    pace_deadline: float
    deadline: float

    @property
    def desired_end(self) -> float:
        """When the texts should be complete, for the trainer and for the groups."""
        return min(self.pace_deadline, self.deadline)


class TrainerPaces:
    """Learns the pace of each model's trainer from the times of its submissions.

    The pace is the smallest median of consecutive intervals that was seen: a trainer
    that is late for long submits more slowly than its pace, but never faster.
    """

    def __init__(self) -> None:
        self._submitted_at_by_model: dict[str, dict[int, float]] = {}
        self._pace_by_model: dict[str, float] = {}
        self._most_open_by_model: Counter[str] = Counter()

    def record(self, batches: Iterable[Batch]) -> None:
        """Record the open batches, those already known included."""
        changed = set()
        open_by_model: Counter[str] = Counter()
        for batch in batches:
            open_by_model[batch.model] += 1
            times = self._submitted_at_by_model.setdefault(batch.model, {})
            if batch.step not in times:
                times[batch.step] = batch.submitted_at
                changed.add(batch.model)
        self._most_open_by_model |= open_by_model
        for model in changed:
            self._learn(model)

    def _learn(self, model: str) -> None:
        times = self._submitted_at_by_model[model]
        limit = max(times.values()) - _KEEP_SECONDS
        for step in [step for step, time in times.items() if time < limit]:
            del times[step]
        steps = sorted(times)
        intervals = [
            (times[later] - times[earlier]) / (later - earlier)
            for earlier, later in zip(steps, steps[1:])
        ]
        if len(intervals) < _MIN_INTERVALS:
            return
        if len(intervals) < _INTERVALS:
            self._pace_by_model[model] = median(intervals)
            return
        pace = min(
            median(intervals[start : start + _INTERVALS])
            for start in range(len(intervals) - _INTERVALS + 1)
        )
        if len(intervals) > _INTERVALS:
            pace = min(pace, self._pace_by_model[model])
        self._pace_by_model[model] = pace

    def pace(self, model: str) -> float | None:
        """Return the seconds between two steps of a model; None if not known yet."""
        return self._pace_by_model.get(model)

    def behind(self, model: str, now_wall: float) -> float:
        """Return by how many seconds the trainer of ``model`` is behind its pace.

        :param now_wall: the current time, in seconds since 1970.
        :return: 0 if the pace is not known.
        """
        pace = self._pace_by_model.get(model)
        if pace is None:
            return 0.0
        times = self._submitted_at_by_model[model]
        newest = max(times)
        # No step is submitted early, so the earliest schedule that any of them implies
        # is the trainer's own.
        expected = min(time + pace * (newest - step) for step, time in times.items())
        return max(times[newest] - expected, now_wall - expected - pace, 0.0)

    def step_seconds(self, model: str, run_seconds: float, now_wall: float) -> float:
        """Return how long a step may take if its trainer is to keep its pace.

        A trainer has as many steps in flight as fit in the time that each may take. One
        that is behind submits as soon as it can, and shows how many they are.

        :param run_seconds: how long after its submission a step is due.
        :param now_wall: the current time, in seconds since 1970.
        :return: infinity if the pace is not known.
        """
        pace = self._pace_by_model.get(model)
        if not pace:
            return float("inf")
        steps_in_flight = max(1, math.ceil(run_seconds / pace))
        if self.behind(model, now_wall) > _HELD_UP_SECONDS:
            steps_in_flight = min(steps_in_flight, self._most_open_by_model[model])
        return max(0.0, steps_in_flight * pace - _TRAINING_SECONDS)

    def step_times(self, batch: Batch, due: float, now_wall: float) -> StepTimes:
        """Return when the texts of a step should be complete.

        :param due: when the step is due, in seconds since 1970.
        :param now_wall: the current time, in seconds since 1970.
        """
        behind = self.behind(batch.model, now_wall)
        pace_seconds = self.step_seconds(
            batch.model, due - batch.submitted_at, now_wall
        )
        return StepTimes(
            behind,
            batch.submitted_at + pace_seconds - behind - LISTING_SECONDS,
            due + _GRACE_SECONDS - LISTING_SECONDS,
        )
