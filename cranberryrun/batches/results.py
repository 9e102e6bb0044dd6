"""Writes results and the progress of long runs to the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError
from ..kernel import Service
from .log import BatchLog
from .models import Result
from .records import Listed, Progressed

if TYPE_CHECKING:
    from .dispatch import Work

# Results that come within this time of each other share an append, in seconds.
_COLLECT_SECONDS = 0.03
_APPEND_SECONDS = 3.0
_RETRY_SECONDS = 0.1
# Deleting costs a call; so many records are some seconds of running items.
_FORGET_RECORDS = 200
# Runs shorter than this are made again rather than resumed, in pieces.
_LEAST_PIECES = 8


class ResultWriter(Service):
    """Keeps finished results until the store has them.

    The results wait out an outage of the store, also at a host that lost the lease.
    """

    name = "result_writer"
    requires = ("events", "batch_log")

    def __init__(self) -> None:
        super().__init__()
        self._waiting_by_batch: dict[str, list[Result]] = {}
        self._wake = asyncio.Event()
        self._forgotten_before = 0

    async def start(self) -> None:
        """Begin to write."""
        self.supervise(self._write)

    def add(self, batch_id: str, result: Result) -> None:
        """Write ``result`` as soon as the store takes it."""
        self._waiting_by_batch.setdefault(batch_id, []).append(result)
        self._wake.set()

    @property
    def waiting(self) -> int:
        """How many results the store does not have yet."""
        return sum(len(results) for results in self._waiting_by_batch.values())

    async def record(self, works: list[Work], least: int = _LEAST_PIECES) -> bool:
        """Append how far ``works`` came; return whether the store has it.

        :param least: fewer new pieces than this are not worth a record.
        """
        messages: list[Progressed] = []
        upto: list[tuple[Work, str, int]] = []
        for work in works:
            if work.finished or len(work.pieces) - work.recorded < least:
                continue
            fresh = work.pieces[work.recorded :]
            upto.append((work, work.text, len(work.pieces)))
            messages.append(
                Progressed(
                    batch=work.state.batch.id,
                    item=work.item.id,
                    text=work.text,
                    start=work.recorded,
                    texts=[piece.text for piece in fresh],
                    versions=[piece.version for piece in fresh],
                )
            )
        if not messages:
            return True
        log = self.kernel.get(BatchLog)
        try:
            offset = await log.record(messages, clock.now() + _COLLECT_SECONDS)
        except CranberryrunError as error:
            self.kernel.get(Events).emit(
                "progress_unrecorded", samples=len(messages), reason=error.detail
            )
            return False
        for work, text, count in upto:
            if work.text != text:
                # It was begun anew meanwhile.
                continue
            if work.recorded_from is None:
                work.recorded_from = offset
            work.recorded = max(work.recorded, count)
        await self._forget_finished(works, offset)
        return True

    async def _forget_finished(self, works: list[Work], offset: int) -> None:
        """Let the store delete progress that no unfinished item needs."""
        needed = [
            work.recorded_from
            for work in works
            if work.recorded_from is not None and not work.finished
        ]
        before = min(needed, default=offset)
        if before - self._forgotten_before < _FORGET_RECORDS:
            return
        self._forgotten_before = before
        await self.kernel.get(BatchLog).forget_progress(before)

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(_COLLECT_SECONDS)
            self._wake.clear()
            written = await asyncio.gather(
                *(
                    self._write_batch(batch_id, results)
                    for batch_id, results in self._waiting_by_batch.items()
                )
            )
            if not all(written):
                self._wake.set()
                await asyncio.sleep(_RETRY_SECONDS)

    async def _write_batch(self, batch_id: str, waiting: list[Result]) -> bool:
        results = waiting[:]
        log = self.kernel.get(BatchLog)
        try:
            await log.list_results(
                Listed(batch_id, results), clock.now() + _APPEND_SECONDS
            )
        except CranberryrunError as error:
            self.kernel.get(Events).emit(
                "results_held",
                step=batch_id,
                samples=len(results),
                reason=error.detail,
            )
            return False
        del waiting[: len(results)]
        if not waiting:
            del self._waiting_by_batch[batch_id]
        return True
