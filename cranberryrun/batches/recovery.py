"""Reads what the previous holder of the lease left: open batches and their progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from .. import clock
from ..events import Events
from ..exceptions import LogReadError
from ..fleet.speed_record import SpeedRecord
from ..kernel import Kernel
from .log import BatchLog

# Items are carried over from batches that were submitted, or ended, within this time.
_CARRY_OVER_SECONDS = 60.0
_RETRY_DELAY_SECONDS = 0.1


class Recovery:
    """Loads the batches that a new holder of the lease needs.

    :param spawn: starts a task that is cancelled when the host stops.
    :param restore_speeds: takes over recorded speeds of engines; returns how many
        engines are slower than others.
    """

    def __init__(
        self,
        kernel: Kernel,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        restore_speeds: Callable[[SpeedRecord | None], int],
    ) -> None:
        self._kernel = kernel
        self._spawn = spawn
        self._restore_speeds = restore_speeds

    async def run(self, active: Callable[[], bool]) -> None:
        """Read the open batches and the progress that the previous holder recorded.

        :param active: whether to go on; this host may lose the lease meanwhile.
        """
        log = self._kernel.get(BatchLog)
        started_at = clock.now()
        while active():
            try:
                await log.index.catch_up()
                await log.read_spare_index()
                log.table.forget_open(clock.wall() - log.retention_seconds)
                batch_ids = log.table.open_or_recent(clock.wall() - _CARRY_OVER_SECONDS)
                open_ids = [
                    batch_id for batch_id in batch_ids if not log.table.ended(batch_id)
                ]
                await log.progress.catch_up()
                await log.load(open_ids)
            except LogReadError:
                # The next attempt continues where this one stopped. The directory logs
                # outages of the store.
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
                continue
            self._kernel.get(Events).emit(
                "batches_recalled",
                batches=len(batch_ids),
                open=len(open_ids),
                slow_engines=self._restore_speeds(log.table.speeds),
                seconds=round(clock.now() - started_at, 3),
            )
            self._spawn(self._load_ended(log, batch_ids))
            return

    async def _load_ended(self, log: BatchLog, batch_ids: list[str]) -> None:
        """Read ended batches, newest first; a new batch may carry over their groups."""
        for batch_id in reversed(batch_ids):
            try:
                await log.load([batch_id])
            except LogReadError:
                # Groups carried over from unread batches are generated again.
                return
