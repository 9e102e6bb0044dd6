"""Moves runs between engines on the holder of the lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import clock
from ..fleet.engine_pool import Engine, EnginePool
from ..kernel import Kernel
from .engine_choice import moves
from .leaving import plan_departures
from .scheduled_item import ScheduledItem
from .scheduled_items import ScheduledItems
from .scheduler import Scheduler
from .slow_spans import SlowSpans

# Event intervals are means over a few tenths of a second, so more frequent checks would
# use the same measurements.
_CHECK_INTERVAL_SECONDS = 0.2
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
        self._slow_spans = SlowSpans()
        self._next_check_at = 0.0

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
        else:
            self._slow_spans.watch((), (), self._scheduler.desired_end, clock.wall())

    async def follow_slow_spans(self) -> None:
        """Move watched runs away from engines that are in a slow span, without end."""
        while True:
            expected_at = clock.now() + _WATCH_INTERVAL_SECONDS
            await asyncio.sleep(_WATCH_INTERVAL_SECONDS)
            now = clock.now()
            if now > expected_at + _MAX_WATCH_DELAY_SECONDS:
                continue
            if not self._slow_spans.watching:
                continue
            engines = self._engines()
            for move in self._slow_spans.moves(
                engines,
                now,
                lambda: self._scheduler.budgets(self._scheduled_items, engines),
            ):
                self._move(move.scheduled, move.engine, move.saved_seconds, "slow span")

    def _engines(self) -> list[Engine]:
        return list(self._kernel.get(EnginePool).engine_by_id.values())
