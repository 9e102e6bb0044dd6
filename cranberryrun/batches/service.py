"""What callers may do with batches: submit, read, fetch a body, end."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .. import clock
from ..events import Events
from ..exceptions import (
    CranberryrunError,
    LogReadError,
    LogUnavailableError,
    NotFoundError,
    NotReadyError,
)
from ..kernel import Service
from .log import BatchLog
from .models import Batch, BatchState, Result

# The most text that one answer carries, in bytes.
_PAGE_BYTES = 1_000_000
# An append that fails at once is tried again for this long before it is refused.
_APPEND_SECONDS = 0.5
# A reading caller asks again soon anyway; another host may know the batch.
_RETRY_AFTER_SECONDS = 0.1
# Neighbours were asked too, so the store is down for all, which takes seconds; a
# caller that returned sooner would use up its attempts.
_OUTAGE_RETRY_SECONDS = 2.0
# The store answers a read in some milliseconds.
_REFRESH_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from one position on. ``total`` is the number of items."""

    total: int
    next: int
    results: list[Result]


class Batches(Service):
    """Answers for batches from the store; any host can."""

    name = "batches"
    requires = ("events", "batch_log")

    async def submit(self, batch: Batch, deadline: float) -> None:
        """Accept ``batch``; return once the store has it for certain.

        :param deadline: until when the caller waits, in loop seconds.
        :raises LogUnavailableError: nothing of it was kept.
        :raises AppendUnknownError: it may have been accepted.
        """
        until = min(deadline, clock.now() + _APPEND_SECONDS)
        try:
            await self.kernel.get(BatchLog).accept(batch, until)
        except LogUnavailableError as error:
            self._emit("batch_refused", batch, error.detail)
            raise LogUnavailableError(
                error.detail, retry_after=_OUTAGE_RETRY_SECONDS
            ) from None
        except CranberryrunError as error:
            self._emit("batch_unknown", batch, error.detail)
            raise
        self._emit("batch_accepted", batch, "the store has it")

    def _emit(self, name: str, batch: Batch, reason: str) -> None:
        self.kernel.get(Events).emit(
            name,
            step=batch.id,
            workload=batch.model,
            number_of_step=batch.step,
            min_version=batch.min_version,
            samples=len(batch.items),
            groups=len({item.group for item in batch.items}),
            wanted_groups=batch.wanted_groups,
            reason=reason,
        )

    async def results(self, batch_id: str, after: int, wait: float) -> ResultPage:
        """Return results at position ``after`` and following, waiting for the first.

        :raises NotFoundError: there is no such batch.
        :raises NotReadyError: this host can't be sure.
        """
        log = self.kernel.get(BatchLog)
        began = clock.now()
        deadline = began + wait
        state = log.table.state_by_id.get(batch_id)
        if state is None or len(state.results) <= after:
            state = await self._current(batch_id)
        elif not state.whole:
            await self._refresh(batch_id)
        if len(state.results) <= after and wait > 0 and not state.whole:
            reader = log.reader_of(batch_id)
            async with reader.following():
                while len(state.results) <= after:
                    if not await reader.changed(deadline):
                        break
        page = _page(state, after)
        self.kernel.get(Events).emit(
            "results_read",
            step=batch_id,
            after=after,
            next=page.next,
            known=len(state.results),
            total=page.total,
            seconds=round(clock.now() - began, 3),
        )
        return page

    async def body(self, batch_id: str, item_id: str) -> bytes:
        """Return the body of an item.

        :raises NotFoundError: there is no such batch or item.
        :raises NotReadyError: this host can't be sure.
        """
        state = self.kernel.get(BatchLog).table.state_by_id.get(batch_id)
        if state is None:
            state = await self._current(batch_id)
        item = state.item(item_id)
        if item is None:
            raise NotFoundError(f"batch {batch_id} has no item {item_id}")
        return item.body

    async def end(self, batch_id: str, deadline: float) -> None:
        """End a batch; return once the store has its end.

        :raises NotFoundError: there is no such batch.
        :raises NotReadyError: this host can't be sure.
        :raises LogUnavailableError: the end was not taken.
        :raises AppendUnknownError: the end may have been taken.
        """
        log = self.kernel.get(BatchLog)
        state = log.table.state_by_id.get(batch_id)
        if state is None:
            state = await self._current(batch_id)
        if log.table.ended(batch_id):
            return
        await log.end(batch_id, min(deadline, clock.now() + _APPEND_SECONDS))
        self._emit("batch_ended", state.batch, f"{len(state.results)} results listed")

    async def _refresh(self, batch_id: str) -> None:
        """Read newer results, unless the store takes long; older ones are known."""
        try:
            async with asyncio.timeout(_REFRESH_SECONDS):
                await self.kernel.get(BatchLog).load([batch_id])
        except (LogReadError, TimeoutError):
            # The directory notices and logs outages of the store.
            return

    async def _current(self, batch_id: str) -> BatchState:
        log = self.kernel.get(BatchLog)
        try:
            await log.load([batch_id])
        except LogReadError as error:
            raise NotReadyError(
                f"the batch can't be read: {error}",
                retry_after=_RETRY_AFTER_SECONDS,
            ) from None
        state = log.table.state_by_id.get(batch_id)
        if state is None:
            raise NotFoundError(f"there is no batch {batch_id}")
        return state


def _page(state: BatchState, after: int) -> ResultPage:
    results: list[Result] = []
    size = 0
    for result in state.results[after:]:
        size += len(result.text)
        if results and size > _PAGE_BYTES:
            break
        results.append(result)
    return ResultPage(len(state.batch.items), after + len(results), results)
