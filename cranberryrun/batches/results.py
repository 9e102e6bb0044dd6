"""Writes results and the progress of long runs to the batch log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError
from ..kernel import Service
from .log import BatchLog
from .models import Result
from .records import Listed, Message, Progressed

if TYPE_CHECKING:
    from .dispatch import Work

# Results that come within this time of each other share an append, in seconds.
_COLLECT_SECONDS = 0.02
_APPEND_SECONDS = 3.0
_RETRY_SECONDS = 0.1
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
        self._waiting: list[tuple[str, Result]] = []
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Begin to write."""
        self.supervise(self._write)

    def add(self, batch_id: str, result: Result) -> None:
        """Write ``result`` as soon as the store takes it."""
        self._waiting.append((batch_id, result))
        self._wake.set()

    @property
    def waiting(self) -> int:
        """How many results the store does not have yet."""
        return len(self._waiting)

    async def record(self, works: list[Work], least: int = _LEAST_PIECES) -> bool:
        """Append how far ``works`` came; return whether the store has it.

        :param least: fewer new pieces than this are not worth a record.
        """
        messages: list[Message] = []
        upto: list[tuple[Work, int]] = []
        for work in works:
            if work.finished or len(work.pieces) - work.recorded < least:
                continue
            fresh = work.pieces[work.recorded :]
            upto.append((work, len(work.pieces)))
            messages.append(
                Progressed(
                    batch=work.state.batch.id,
                    item=work.item.id,
                    start=work.recorded,
                    texts=[piece.text for piece in fresh],
                    versions=[piece.version for piece in fresh],
                )
            )
        if not messages:
            return True
        log = self.kernel.get(BatchLog)
        try:
            await log.append(messages, clock.now() + _COLLECT_SECONDS)
        except CranberryrunError as error:
            self.kernel.get(Events).emit(
                "progress_unrecorded", samples=len(messages), reason=error.detail
            )
            return False
        for work, count in upto:
            if len(work.pieces) >= count:
                work.recorded = max(work.recorded, count)
        return True

    async def _write(self) -> None:
        log = self.kernel.get(BatchLog)
        while True:
            await self._wake.wait()
            await asyncio.sleep(_COLLECT_SECONDS)
            self._wake.clear()
            batch = self._waiting[:]
            if not batch:
                continue
            try:
                await log.append(_listed(batch), clock.now() + _APPEND_SECONDS)
            except CranberryrunError as error:
                self.kernel.get(Events).emit(
                    "results_held", samples=len(batch), reason=error.detail
                )
                self._wake.set()
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            del self._waiting[: len(batch)]


def _listed(waiting: list[tuple[str, Result]]) -> list[Message]:
    by_batch: dict[str, list[Result]] = {}
    for batch_id, result in waiting:
        by_batch.setdefault(batch_id, []).append(result)
    return [Listed(batch_id, results) for batch_id, results in by_batch.items()]
