"""Trainers and engines in one event loop, which compare plans of starts.

No store, no hosts and no network: the plan under test gets the items of all open steps
and the engines, and the runs that it starts advance on the loop's clock.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace

from cranberryrun import clock
from cranberryrun.batches.dispatch import Start
from cranberryrun.batches.engine_choice import moves
from cranberryrun.batches.models import Batch, BatchState, Piece, Result
from cranberryrun.batches.scheduled_item import ScheduledItem
from cranberryrun.fleet.directory import Target
from cranberryrun.fleet.engine_pool import Engine

from .deployment import ADDRESS, SERVICE, batch

EVENT_SECONDS = 0.04
_TICK_SECONDS = 0.04
_MEASURE_SECONDS = 0.24
_DUE_SECONDS = 7.5
# A group that is complete by then counts in full, a later one for a third until the
# time limit of its step.
_FULL_VALUE_SECONDS = 8.2
_LATE_VALUE = 1 / 3
_LIMIT_SECONDS = 12.0
_TRAINING_SECONDS = 1.0
_MAX_EVENTS = 181

PlanStarts = Callable[[Sequence[ScheduledItem], Sequence[Engine], float], list[Start]]


@dataclass(slots=True)
class FakeTrainer:
    """A trainer that submits step k at ``k * pace`` or when version k is announced.

    Version k needs the steps up to ``k - in_flight``. A step ends once ``wanted_share``
    of its groups are complete. ``groups`` and ``size`` are the shape of a step, and
    ``starts`` the time of the first, in loop seconds. The item lengths have the median
    ``median_events``; an estimate is off by a factor whose logarithm has the standard
    deviation ``estimate_error``.
    """

    model: str
    pace: float = 4.0
    in_flight: int = 2
    groups: tuple[int, int] = (6, 14)
    size: int = 8
    wanted_share: float = 0.9
    median_events: float = 30.0
    length_spread: float = 0.7
    estimate_error: float = 0.4
    starts: float = 0.0
    workspace: str | None = None
    priority: int | None = None
    step: int = 0
    ended_at_by_step: dict[int, float] = field(default_factory=dict)
    value_by_step: dict[int, float] = field(default_factory=dict)
    late_steps: list[int] = field(default_factory=list)

    def next_step_at(self) -> float:
        """Return when the next step may be submitted; infinity if that is unknown."""
        due = self.starts + self.step * self.pace
        if self.step < self.in_flight:
            return due
        needed = self.ended_at_by_step.get(self.step - self.in_flight)
        return max(due, needed + _TRAINING_SECONDS) if needed is not None else 1e9


class TrainerSimulation:
    """Runs the steps of trainers on engines as a plan decides.

    :param plan: the function under test.
    :param event_seconds: returns the event interval of an engine at a time, both in
        seconds; infinity while the engine is gone.
    """

    tick_seconds = _TICK_SECONDS
    full_value_seconds = _FULL_VALUE_SECONDS

    def __init__(
        self,
        trainers: Sequence[FakeTrainer],
        plan: PlanStarts,
        engines: int = 22,
        slots: int = 8,
        event_seconds: Callable[[int, float], float] = lambda index, now: EVENT_SECONDS,
        seed: int = 1,
    ) -> None:
        self.trainers = list(trainers)
        self._plan = plan
        self._event_seconds = event_seconds
        self._rng = random.Random(seed)
        versions = {trainer.model: 1 for trainer in trainers}
        self.engines = [
            Engine(Target(f"e{n}", SERVICE, ADDRESS, "a", slots, False, 1, 1, versions))
            for n in range(engines)
        ]
        self.items_by_step: dict[tuple[str, int], list[ScheduledItem]] = {}
        self._events_by_item: dict[str, int] = {}
        self._progress: dict[ScheduledItem, float] = {}
        self.started: list[Start] = []

    async def run(self, seconds: float) -> float:
        """Play for ``seconds`` and return the value earned as a share of all of it.

        Steps that should have been submitted and were not count as lost.
        """
        began = clock.now()
        wall = clock.wall()
        measured_at = 0.0
        while (now := clock.now() - began) < seconds:
            for trainer in self.trainers:
                if now >= trainer.next_step_at() and now < seconds - _LIMIT_SECONDS:
                    self._submit(trainer, wall + now)
            if now >= measured_at:
                self._measure(now)
                measured_at = now + _MEASURE_SECONDS
            self._advance(now, wall)
            self._start_runs(wall + now)
            await asyncio.sleep(self.tick_seconds)
        return self._value(seconds - _LIMIT_SECONDS)

    def _value(self, seconds: float) -> float:
        earned = sum(sum(each.value_by_step.values()) for each in self.trainers)
        steps = sum(
            math.ceil((seconds - each.starts) / each.pace) for each in self.trainers
        )
        return earned / steps

    def _submit(self, trainer: FakeTrainer, now_wall: float) -> None:
        groups = self._rng.randint(*trainer.groups)
        name = f"{trainer.model}/{trainer.step}"
        shape = batch(name, groups=groups, size=trainer.size, submitted_at=now_wall)
        items = []
        for item in shape.items:
            events = self._length(trainer)
            self._events_by_item[item.id] = events
            error = self._rng.lognormvariate(0.0, trainer.estimate_error)
            items.append(replace(item, expected_tokens=10.0 * events * error))
        state = BatchState(self._batch(trainer, replace(shape, items=tuple(items))))
        self.items_by_step[trainer.model, trainer.step] = [
            ScheduledItem(
                item,
                state,
                frozenset({SERVICE}),
                now_wall + _DUE_SECONDS,
                item.expected_tokens / 10.0,
                limit=now_wall + _LIMIT_SECONDS,
            )
            for item in items
        ]
        trainer.step += 1

    def _batch(self, trainer: FakeTrainer, value: Batch) -> Batch:
        groups = len({item.group for item in value.items})
        return replace(
            value,
            model=trainer.model,
            step=trainer.step,
            wanted_groups=round(groups * trainer.wanted_share),
            workspace=trainer.workspace,
            priority=trainer.priority,
        )

    def _length(self, trainer: FakeTrainer) -> int:
        length = self._rng.lognormvariate(0.0, trainer.length_spread)
        return max(2, min(_MAX_EVENTS, round(trainer.median_events * length)))

    def _measure(self, now: float) -> None:
        for index, engine in enumerate(self.engines):
            interval = self._event_seconds(index, now)
            if interval == float("inf"):
                engine.health.cooldown_until = clock.now() + 2 * _MEASURE_SECONDS
            elif engine.in_flight:
                engine.record_event_interval(interval)

    def _open(self) -> list[ScheduledItem]:
        return [
            scheduled
            for scheduled_items in self.items_by_step.values()
            for scheduled in scheduled_items
            if scheduled.state.open
        ]

    def _advance(self, now: float, wall: float) -> None:
        index_by_id = {engine.id: n for n, engine in enumerate(self.engines)}
        for scheduled in list(self._progress):
            assert scheduled.engine is not None
            interval = self._event_seconds(index_by_id[scheduled.engine.id], now)
            if not scheduled.state.open or interval == float("inf"):
                self._stop(scheduled)
                continue
            self._progress[scheduled] += _TICK_SECONDS / interval
            while len(scheduled.pieces) + 1 <= self._progress[scheduled]:
                scheduled.pieces.append(Piece("", 1))
            if len(scheduled.pieces) >= self._events_by_item[scheduled.item.id]:
                self._stop(scheduled)
                scheduled.result = Result(scheduled.item.id, True)
        self._end_steps(now, wall)

    def _end_steps(self, now: float, wall: float) -> None:
        for trainer in self.trainers:
            for step in range(trainer.step):
                if step not in trainer.ended_at_by_step:
                    self._end_if_complete(trainer, step, now, wall)

    def _end_if_complete(
        self, trainer: FakeTrainer, step: int, now: float, wall: float
    ) -> None:
        scheduled_items = self.items_by_step[trainer.model, step]
        state = scheduled_items[0].state
        complete = state.groups - {
            scheduled.item.group
            for scheduled in scheduled_items
            if not scheduled.finished
        }
        age = wall + now - state.batch.submitted_at
        share = min(1.0, len(complete) / state.batch.wanted_groups)
        earned = trainer.value_by_step.get(step, 0.0)
        full = age <= self.full_value_seconds
        value = share if full else earned
        if full or age <= _LIMIT_SECONDS:
            trainer.value_by_step[step] = value
        if len(complete) >= state.batch.wanted_groups or age > _LIMIT_SECONDS:
            if not full:
                trainer.late_steps.append(step)
                trainer.value_by_step[step] += (share - earned) * _LATE_VALUE
            trainer.ended_at_by_step[step] = now
            state.ended = True

    def _stop(self, scheduled: ScheduledItem) -> None:
        assert scheduled.engine is not None
        scheduled.engine.in_flight -= 1
        scheduled.engine = None
        del self._progress[scheduled]

    def _start(self, scheduled: ScheduledItem, engine: Engine) -> None:
        scheduled.engine = engine
        scheduled.started_at = clock.now()
        engine.in_flight += 1
        self._progress[scheduled] = float(len(scheduled.pieces))

    def _start_runs(self, now_wall: float) -> None:
        scheduled_items = self._open()
        if any(scheduled.waiting for scheduled in scheduled_items):
            for start in self._plan(scheduled_items, self.engines, now_wall):
                self._start(start.scheduled, start.engine)
                self.started.append(start)
        self._move_runs(scheduled_items, now_wall)

    def _move_runs(self, scheduled_items: list[ScheduledItem], now_wall: float) -> None:
        for move in moves(scheduled_items, self.engines, clock.now()):
            self._stop(move.scheduled)
            self._start(move.scheduled, move.engine)


def total_late(trainers: Iterable[FakeTrainer]) -> int:
    """Return the number of late steps of all trainers."""
    return sum(len(trainer.late_steps) for trainer in trainers)
