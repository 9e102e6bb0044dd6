"""Compares moves away from slow spans: ``python -m bench.engine_speed``.

Plays three trainers on 22 engines without a network. An engine generates the next
event of all its runs together, and noise makes it slower for a while. Prints the value
that the trainers earn as a share of all, the late steps and the moves in 100 runs.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import cache

import click
import looptime

from cranberryrun import clock
from cranberryrun.batches.dispatch import Policies, Start, plan_starts
from cranberryrun.batches.models import Piece, Result
from cranberryrun.batches.overload import Overload
from cranberryrun.batches.scheduled_item import ScheduledItem
from cranberryrun.batches.slow_spans import SlowSpans, slow_engines
from cranberryrun.fleet.engine_pool import INTERVAL_WINDOW_EVENTS, Engine
from fakes.trainers import FakeTrainer, TrainerSimulation, total_late

EVENT_SECONDS = 0.05
_SECONDS = 72.0
_TICK_SECONDS = 0.0125
_WATCH_TICKS = 2
_CHECK_TICKS = 16
_NOISE_SECONDS = 0.6
# Lengths of a class whose outputs have a mean of 19 events: 8% of them are five times
# as long.
_SHORT_EVENTS = 12.4
_LONG_EVENTS = 110.0
_LONG_SHARE = 0.08
_MAX_EVENTS = 135
# Of the 8.2 s until a group is late, this much is left for its runs: the rest goes to
# the read of the batch, the reward call and the listing of the result.
_FULL_VALUE_SECONDS = 7.7


_AVERAGES = "moving averages"
_STAY = "lasting intervals"
_LEAVE = "lasting intervals, runs leave slow spans"
_POLICIES = (_AVERAGES, _STAY, _LEAVE)


@dataclass(frozen=True)
class Noise:
    """When an engine takes how many times as long for an event.

    In each span of 0.6 s, each engine is ``noise_factor`` times slower with the
    probability ``noise_share``. For 8 s from 24 s on, a fifth of them is
    ``lasting_factor`` times slower.
    """

    noise_share: float = 0.15
    noise_factor: float = 2.5
    lasting_factor: float = 1.0
    seed: int = 0

    def factor(self, index: int, now: float) -> float:
        """Return the multiple of the usual interval for an engine at a time."""
        factor = 1.0
        span = int(now / _NOISE_SECONDS)
        if _draw(self.seed, index, span) < self.noise_share:
            factor *= self.noise_factor
        if index % 5 == 0 and 24 <= now < 32:
            factor *= self.lasting_factor
        return factor


@cache
def _draw(seed: int, index: int, span: int) -> float:
    return random.Random(f"{seed} {index} {span}").random()


class NoisySimulation(TrainerSimulation):
    """Engines that generate the next event of all their runs together.

    :param policy: one of the policies that are compared.
    """

    tick_seconds = _TICK_SECONDS
    full_value_seconds = _FULL_VALUE_SECONDS

    def __init__(
        self,
        trainers: list[FakeTrainer],
        noise: Noise,
        policy: str,
        seed: int,
    ) -> None:
        self._overload = Overload()
        super().__init__(trainers, self._plan_starts, seed=seed)
        self._noise = noise
        self._lasting = policy != _AVERAGES
        self._slow_spans = SlowSpans() if policy == _LEAVE else None
        self._next_event_at = {engine.id: 0.0 for engine in self.engines}
        self._previous_at: dict[ScheduledItem, float | None] = {}
        self._window: dict[ScheduledItem, list[float]] = {}
        self._ticks = 0
        self.slow_span_moves = 0

    def _plan_starts(
        self,
        scheduled_items: Sequence[ScheduledItem],
        engines: Sequence[Engine],
        now_wall: float,
    ) -> list[Start]:
        policies = Policies(self._overload)
        if self._slow_spans is not None:
            policies.slow_engines = slow_engines(engines, clock.now())
        return plan_starts(scheduled_items, engines, now_wall, policies)

    def _length(self, trainer: FakeTrainer) -> int:
        mean = _LONG_EVENTS if self._rng.random() < _LONG_SHARE else _SHORT_EVENTS
        length = mean * self._rng.lognormvariate(0.0, trainer.length_spread)
        return max(2, min(_MAX_EVENTS, round(length)))

    def _measure(self, now: float) -> None:
        """Events are recorded as they come."""

    def _generate(self, now: float) -> None:
        runs_by_engine: dict[str, list[ScheduledItem]] = {}
        for scheduled in self._progress:
            assert scheduled.engine is not None
            runs_by_engine.setdefault(scheduled.engine.id, []).append(scheduled)
        for index, engine in enumerate(self.engines):
            if now < self._next_event_at[engine.id] - 1e-9:
                continue
            interval = EVENT_SECONDS * self._noise.factor(index, now)
            interval *= self._rng.uniform(0.9, 1.1)
            due = max(self._next_event_at[engine.id], now - _TICK_SECONDS)
            self._next_event_at[engine.id] = due + interval
            for scheduled in runs_by_engine.get(engine.id, ()):
                self._progress[scheduled] += 1.0
                self._record_event(scheduled, engine)

    def _record_event(self, scheduled: ScheduledItem, engine: Engine) -> None:
        now = clock.now()
        scheduled.pieces.append(Piece("", 1))
        engine.speed.record_event(now, self._previous_at[scheduled])
        self._previous_at[scheduled] = now
        window = self._window[scheduled]
        window.append(now)
        if len(window) > INTERVAL_WINDOW_EVENTS:
            if self._lasting:
                engine.record_lasting_interval()
            else:
                engine.record_event_interval((now - window[0]) / INTERVAL_WINDOW_EVENTS)
            del window[:-1]

    def _advance(self, now: float, wall: float) -> None:
        self._generate(now)
        for scheduled in list(self._progress):
            if not scheduled.state.open:
                self._stop(scheduled)
            elif len(scheduled.pieces) >= self._events_by_item[scheduled.item.id]:
                self._stop(scheduled)
                scheduled.result = Result(scheduled.item.id, True)
        self._end_steps(now, wall)

    def _start(self, scheduled: ScheduledItem, engine: Engine) -> None:
        super()._start(scheduled, engine)
        engine.speed.record_start(clock.now())
        self._previous_at[scheduled] = None
        self._window[scheduled] = []
        if self._slow_spans is not None:
            self._slow_spans.record_start()

    def _stop(self, scheduled: ScheduledItem) -> None:
        assert scheduled.engine is not None
        scheduled.engine.speed.record_end()
        super()._stop(scheduled)

    def _move_runs(self, scheduled_items: list[ScheduledItem], now_wall: float) -> None:
        self._ticks += 1
        if self._ticks % _CHECK_TICKS == 0:
            super()._move_runs(scheduled_items, now_wall)
            if self._slow_spans is not None:
                self._slow_spans.watch(
                    scheduled_items,
                    self.engines,
                    lambda each: self._desired_end(each, now_wall),
                    now_wall,
                )
        if self._slow_spans is None or self._ticks % _WATCH_TICKS:
            return
        for move in self._slow_spans.moves(self.engines, clock.now(), lambda: {}):
            self.slow_span_moves += 1
            self._stop(move.scheduled)
            self._start(move.scheduled, move.engine)

    def _desired_end(self, scheduled: ScheduledItem, now_wall: float) -> float:
        paces = self._overload.paces
        batch = scheduled.state.batch
        return paces.step_times(batch, scheduled.due, now_wall).desired_end


_NOISE_BY_NAME: dict[str, dict[str, float]] = {
    "no noise": {"noise_share": 0.0},
    "noise": {},
    "noise, a fifth 3 times slower for 8 s": {"lasting_factor": 3.0},
}


def play(name: str, policy: str, seed: int) -> tuple[float, int, float]:
    """Return the value earned, the late steps and the moves in 100 runs."""
    trainers = [
        FakeTrainer(
            f"m{n}", size=size, starts=1.1 * n, length_spread=0.4, estimate_error=0.4
        )
        for n, size in enumerate((8, 8, 16))
    ]
    noise = Noise(seed=seed, **_NOISE_BY_NAME[name])
    simulation = NoisySimulation(trainers, noise, policy, seed)
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        value = runner.run(simulation.run(_SECONDS))
    moves_share = 100 * simulation.slow_span_moves / max(1, len(simulation.started))
    return value, total_late(trainers), moves_share


@click.command()
@click.option("--seeds", default=4, help="Plays of each load and policy.")
@click.option("--jobs", default=2, help="Plays at a time.")
def main(seeds: int, jobs: int) -> None:
    """Print the value, late steps and moves in the mean over the seeds."""
    click.echo("| load | " + " | ".join(_POLICIES) + " |")
    click.echo("|---|" + "---|" * len(_POLICIES))
    with ProcessPoolExecutor(jobs) as pool:
        for name in _NOISE_BY_NAME:
            cells = []
            for policy in _POLICIES:
                plays = [pool.submit(play, name, policy, seed) for seed in range(seeds)]
                results = [each.result() for each in plays]
                value, late, share = (sum(each) / seeds for each in zip(*results))
                cells.append(f"{value:.3f} ({late:.1f} late, {share:.1f} moves)")
            click.echo(f"| {name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
