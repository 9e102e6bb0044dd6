"""Writes results and the progress of running items to the store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError
from ..fleet.directory import Directory
from ..fleet.engine_pool import EnginePool
from ..fleet.speed_record import record_speeds
from ..kernel import Service
from .log import RECORD_AGAIN_SHARE, BatchLog
from .models import Result
from .records import Listed, Progressed

if TYPE_CHECKING:
    from .dispatch import ScheduledItem

# Results that arrive within this time share an append.
_COALESCE_SECONDS = 0.03
_APPEND_TIMEOUT_SECONDS = 3.0
_RETRY_DELAY_SECONDS = 0.1
# Each trim costs a call to the store. Running items write this many progress records
# in a few seconds.
_MIN_TRIM_RECORDS = 200
# Runs with fewer new pieces than this are repeated rather than resumed.
_MIN_NEW_PIECES = 8
# How often the speeds of the engines are recorded, in a record of progress.
_SPEED_INTERVAL_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class _Appended:
    """What a progress record says of an item: its pieces, and whether they are all."""

    scheduled: ScheduledItem
    output_id: str
    count: int
    complete: bool


def _should_record(scheduled: ScheduledItem, min_new_pieces: int) -> bool:
    if scheduled.finished:
        return False
    if scheduled.scoring and not scheduled.completion_recorded:
        return True
    if not scheduled.discard_recorded:
        # The next holder would go on with the output that was discarded.
        return True
    return len(scheduled.pieces) - scheduled.recorded_count >= min_new_pieces


class ResultWriter(Service):
    """Keeps finished results in memory until the store has them.

    The results survive an outage of the store, also on a host that lost the lease
    meanwhile.
    """

    name = "result_writer"
    requires = ("events", "batch_log", "directory", "engine_pool")

    def __init__(self) -> None:
        super().__init__()
        self._unwritten_by_batch: dict[str, list[Result]] = {}
        self._batches_being_written: set[str] = set()
        self._wake = asyncio.Event()
        self._trimmed_before = 0
        self._next_speeds_at = 0.0

    async def start(self) -> None:
        """Start writing results in the background."""
        self.supervise(self._write)

    def add(self, batch_id: str, result: Result) -> None:
        """Queue ``result`` for writing; failed appends are repeated."""
        self._unwritten_by_batch.setdefault(batch_id, []).append(result)
        self._wake.set()

    @property
    def unwritten_count(self) -> int:
        """The number of results that the store does not have yet."""
        return sum(len(results) for results in self._unwritten_by_batch.values())

    async def record_progress(
        self,
        scheduled_items: list[ScheduledItem],
        min_new_pieces: int = _MIN_NEW_PIECES,
    ) -> bool:
        """Append the progress of the items; return whether the store has it.

        :param min_new_pieces: items with fewer new pieces are left out.
        """
        messages: list[Progressed] = []
        appended: list[_Appended] = []
        log = self.kernel.get(BatchLog)
        recorded_limit = clock.now() - RECORD_AGAIN_SHARE * log.retention_seconds
        for scheduled in scheduled_items:
            if (
                scheduled.first_record_offset is not None
                and scheduled.recorded_since < recorded_limit
            ):
                # The store deletes old records, and an output needs its first pieces.
                scheduled.record_from_start()
            if not _should_record(scheduled, min_new_pieces):
                continue
            new_pieces = scheduled.pieces[scheduled.recorded_count :]
            appended.append(
                _Appended(
                    scheduled,
                    scheduled.output_id,
                    len(scheduled.pieces),
                    scheduled.scoring,
                )
            )
            messages.append(
                Progressed(
                    batch=scheduled.state.batch.id,
                    item=scheduled.item.id,
                    text=scheduled.output_id,
                    start=scheduled.recorded_count,
                    texts=[piece.text for piece in new_pieces],
                    versions=[piece.version for piece in new_pieces],
                    complete=scheduled.scoring,
                    origin=scheduled.origin,
                    workspace=scheduled.state.batch.workspace,
                )
            )
        if not messages:
            return True
        messages[0] = self._with_speeds(messages[0])
        appended_at = clock.now()
        try:
            offset = await log.append_progress(
                messages, clock.now() + _COALESCE_SECONDS
            )
        except CranberryrunError as error:
            self.kernel.get(Events).emit(
                "progress_unrecorded", samples=len(messages), reason=error.detail
            )
            return False
        for record in appended:
            scheduled = record.scheduled
            if scheduled.output_id != record.output_id:
                # The item started a new output during the append.
                continue
            if scheduled.first_record_offset is None:
                scheduled.first_record_offset = offset
                scheduled.recorded_since = appended_at
            scheduled.recorded_count = max(scheduled.recorded_count, record.count)
            scheduled.completion_recorded |= record.complete
            scheduled.discard_recorded = True
        await self._trim_finished(scheduled_items, offset)
        return True

    def _with_speeds(self, message: Progressed) -> Progressed:
        """Add the speeds of the engines to a message, if it is time for that."""
        manifest = self.kernel.get(Directory).manifest
        if manifest is None or not manifest.models_compete():
            return message
        if clock.now() < self._next_speeds_at:
            return message
        self._next_speeds_at = clock.now() + _SPEED_INTERVAL_SECONDS
        engines = self.kernel.get(EnginePool).engine_by_id.values()
        return replace(message, speeds=record_speeds(engines, clock.wall()))

    async def _trim_finished(
        self, scheduled_items: list[ScheduledItem], offset: int
    ) -> None:
        """Trim the progress records that no unfinished item needs."""
        needed_offsets = [
            scheduled.first_record_offset
            for scheduled in scheduled_items
            if scheduled.first_record_offset is not None and not scheduled.finished
        ]
        before = min(needed_offsets, default=offset)
        if before - self._trimmed_before < _MIN_TRIM_RECORDS:
            return
        self._trimmed_before = before
        await self.kernel.get(BatchLog).trim_progress(before)

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(_COALESCE_SECONDS)
            self._wake.clear()
            for batch_id in self._unwritten_by_batch:
                if batch_id not in self._batches_being_written:
                    self._batches_being_written.add(batch_id)
                    self.spawn(self._write_all(batch_id))

    async def _write_all(self, batch_id: str) -> None:
        """Write the results of a batch until the store has all of them.

        Batches do not wait for each other: the store may fail for some topics only.
        """
        try:
            while unwritten := self._unwritten_by_batch.get(batch_id):
                written = await self._write_batch(batch_id, unwritten)
                await asyncio.sleep(
                    _COALESCE_SECONDS if written else _RETRY_DELAY_SECONDS
                )
        finally:
            self._batches_being_written.discard(batch_id)
            self._wake.set()

    async def _write_batch(self, batch_id: str, unwritten: list[Result]) -> bool:
        results = unwritten[:]
        log = self.kernel.get(BatchLog)
        try:
            await log.append_results(
                Listed(batch_id, results), clock.now() + _APPEND_TIMEOUT_SECONDS
            )
        except CranberryrunError as error:
            self.kernel.get(Events).emit(
                "results_held",
                step=batch_id,
                samples=len(results),
                reason=error.detail,
            )
            return False
        del unwritten[: len(results)]
        if not unwritten:
            del self._unwritten_by_batch[batch_id]
        return True
