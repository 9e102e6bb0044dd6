"""Records open batches again before the store deletes their records."""

from __future__ import annotations

import asyncio

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError
from ..kernel import Kernel
from .log import RECORD_AGAIN_SHARE, BatchLog

_CHECK_INTERVAL_SECONDS = 1.0
# Complete batches whose trainers never end them take at most this much of each copy.
_MAX_COMPLETE_BYTES = 50_000_000


class Keeper:
    """Keeps the records of open batches in the store, on the holder of the lease.

    Batches whose items all have results, but whose trainers do not end them, are kept
    as well, up to a limit of their size. Beyond it the oldest ones are dropped.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._bytes_by_complete_batch: dict[str, int] = {}

    async def run(self) -> None:
        """Record batches again when their records become old, without end.

        Nothing is recorded while this host does not know which batches are open.
        """
        log = self._kernel.get(BatchLog)
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            if not log.table.index_current:
                continue
            limit = clock.wall() - RECORD_AGAIN_SHARE * log.retention_seconds
            old_batches = log.table.batches_recorded_before(limit)
            excess = self._excess_batches(log) if old_batches else set()
            for batch_id in old_batches:
                if batch_id in excess:
                    self._drop(log, batch_id)
                else:
                    await self._record_again(log, batch_id)

    def _excess_batches(self, log: BatchLog) -> set[str]:
        """Return the oldest complete batches, without which the rest fits."""
        sizes = self._bytes_by_complete_batch
        for batch_id in list(sizes):
            if log.table.ended(batch_id) or not log.table.opened(batch_id):
                del sizes[batch_id]
        total = sum(sizes.values())
        excess = set()
        for batch_id in sorted(sizes, key=log.table.submitted_at):
            if total <= _MAX_COMPLETE_BYTES:
                break
            total -= sizes[batch_id]
            excess.add(batch_id)
        return excess

    def _drop(self, log: BatchLog, batch_id: str) -> None:
        size = self._bytes_by_complete_batch.pop(batch_id)
        log.table.drop(batch_id)
        self._kernel.get(Events).emit("batch_dropped", step=batch_id, bytes=size)

    async def _record_again(self, log: BatchLog, batch_id: str) -> None:
        events = self._kernel.get(Events)
        try:
            size = await log.record_again(batch_id)
        except CranberryrunError as error:
            # The next check tries again.
            events.emit("batch_record_failed", step=batch_id, reason=error.detail)
            return
        events.emit("batch_recorded_again", step=batch_id, bytes=size)
        state = log.table.state_by_id.get(batch_id)
        if state is not None and state.complete:
            self._bytes_by_complete_batch[batch_id] = size
