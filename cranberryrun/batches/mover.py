"""Moves runs between engines on the holder of the lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import clock
from ..events import Events
from ..fleet.engine_pool import Engine, EnginePool
from ..fleet.lease import Lease
from ..fleet.speed_record import SpeedRecord, lasting_factors, restore_speeds
from ..kernel import Kernel
from ..metrics import Metrics
from .engine_choice import moves
from .leaving import plan_departures
from .scheduled_item import ScheduledItem
from .scheduled_items import ScheduledItems
from .scheduler import Scheduler
from .slow_spans import SlowSpans

# Event intervals are means over a few tenths of a second, so more frequent checks would
# use the same measurements.
_CHECK_INTERVAL_SECONDS = 0.2
# Operators are told of engines that are slower by the first factor, until they are
# slower by no more than the second one. Equal engines differ by a few percent.
_SLOW_FACTOR = 1.6
_NORMAL_FACTOR = 1.25
# How often the watched runs are checked for a slow span: half an event interval.
_WATCH_INTERVAL_SECONDS = 0.025
# After a pause of this host, events that have arrived are still to be read.
_MAX_WATCH_DELAY_SECONDS = 0.025


class Mover:
    """Applies the policies that move runs.

    :param move: carries out a move; called with the run, the engine, the seconds saved
        and the reason.
    """

    def __init__(
        self,
        kernel: Kernel,
        scheduler: Scheduler,
        scheduled_items: ScheduledItems,
        move: Callable[[ScheduledItem, Engine, float, str], None],
    ) -> None:
        self._kernel = kernel
        self._scheduler = scheduler
        self._scheduled_items = scheduled_items
        self._move = move
        self.reset()
        metrics = kernel.get(Metrics)
        metrics.register_gauge("engine_factor", lambda: self._factor_by_engine)

    def reset(self) -> None:
        """Forget everything, as a host does that lost the lease."""
        self._slow_spans = SlowSpans()
        self._next_check_at = 0.0
        self._slow_engines: set[str] = set()
        self._factor_by_engine: dict[str, float] = {}

    def restore_speeds(self, record: SpeedRecord | None) -> int:
        """Take over the engine speeds of the previous holder, if it recorded any.

        :return: how many engines are slower than others.
        """
        if record is None or not self._scheduler.trainers_compete():
            return 0
        return restore_speeds(record, self._engines(), clock.wall())

    def record_start(self) -> None:
        """Record the start of a run."""
        self._slow_spans.record_start()

    def check(self) -> None:
        """Move runs to an engine that would finish them much sooner, now and then."""
        now = clock.now()
        if now < self._next_check_at:
            return
        self._next_check_at = now + _CHECK_INTERVAL_SECONDS
        engines = self._engines()
        running = self._scheduled_items.in_open_batches()
        budgets = self._scheduler.budgets(self._scheduled_items, engines)
        for scheduled, engine in plan_departures(running, engines, now, budgets):
            self._move(scheduled, engine, 0.0, "leaving")
        for move in moves(running, engines, now, budgets):
            self._move(move.scheduled, move.engine, move.saved_seconds, "faster")
        if self._scheduler.trainers_compete():
            self._slow_spans.watch(
                running, engines, self._scheduler.desired_end, clock.wall()
            )
            self._report_slow_engines(engines)
            self._count()
        else:
            self._slow_spans.stop_watching()

    async def follow_slow_spans(self) -> None:
        """Move watched runs away from engines that are in a slow span, without end.

        Nothing moves once this host lost the lease, also before the runner ends this.
        """
        lease = self._kernel.get(Lease)
        while True:
            expected_at = clock.now() + _WATCH_INTERVAL_SECONDS
            await asyncio.sleep(_WATCH_INTERVAL_SECONDS)
            now = clock.now()
            if now > expected_at + _MAX_WATCH_DELAY_SECONDS:
                continue
            if not self._slow_spans.watching or not lease.assigned:
                continue
            engines = self._engines()
            for move in self._slow_spans.moves(
                engines,
                now,
                lambda: self._scheduler.budgets(self._scheduled_items, engines),
            ):
                if move.scheduled.task is None:
                    # The run is being stopped, for example because this host ends.
                    continue
                self._move(move.scheduled, move.engine, move.saved_seconds, "slow span")

    def _count(self) -> None:
        metrics = self._kernel.get(Metrics)
        for outcome, count in self._slow_spans.take_counts().items():
            metrics.slow_span_check(outcome, count)

    def _report_slow_engines(self, engines: list[Engine]) -> None:
        """Emit an event for each engine that becomes slow for long, or normal again."""
        self._factor_by_engine = factors = lasting_factors(engines)
        events = self._kernel.get(Events)
        for engine_id, factor in factors.items():
            slow = engine_id in self._slow_engines
            if factor >= _SLOW_FACTOR and not slow:
                self._slow_engines.add(engine_id)
                events.emit("engine_slow", engine=engine_id, factor=round(factor, 2))
            elif factor <= _NORMAL_FACTOR and slow:
                self._slow_engines.discard(engine_id)
                events.emit("engine_normal", engine=engine_id, factor=round(factor, 2))
        self._slow_engines.intersection_update(factors)

    def _engines(self) -> list[Engine]:
        return list(self._kernel.get(EnginePool).engine_by_id.values())
