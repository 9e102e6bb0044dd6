"""The batch log: one topic of the store, read on demand into a table."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from .. import clock
from ..events import Events
from ..exceptions import (
    AppendUnknownError,
    LogGapError,
    LogReadError,
    LogUnavailableError,
    RecordInvalidError,
)
from ..kernel import Service
from ..store import Page, Store
from .records import Decoder, Message, encode, packed
from .table import BatchTable

# A long poll can miss a record; one this short finds it soon after.
_POLL_SECONDS = 0.2
TOPIC = "batches"
_RETRY_SECONDS = 0.1
_APPEND_RETRY_SECONDS = 0.1


class BatchLog(Service):
    """Reads the log up to its end when asked, or follows it while somebody wants.

    :param record_bytes: the longest record that the store takes.
    :param call_bytes: the most bytes that one append takes.
    :param keep: seconds for which batches are kept.
    """

    name = "batch_log"
    requires = ("events", "store")

    def __init__(self, record_bytes: int, call_bytes: int, keep: float) -> None:
        super().__init__()
        self._record_bytes = record_bytes
        self._call_bytes = call_bytes
        self.table = BatchTable(keep)
        self._decoder = Decoder()
        self._next = 0
        self._changed = asyncio.Event()
        self._followers = 0
        self._follow_task: asyncio.Task[None] | None = None
        self._round: asyncio.Task[LogReadError | None] | None = None
        self._queued_round: asyncio.Task[LogReadError | None] | None = None

    async def append(self, messages: list[Message], deadline: float) -> None:
        """Append ``messages`` in order, trying until ``deadline`` (loop seconds).

        :raises LogUnavailableError: nothing was appended, certainly.
        :raises AppendUnknownError: all, some or none were or will be appended.
        """
        records = [
            record
            for message in messages
            for record in encode(message, self._record_bytes)
        ]
        begun: AppendUnknownError | None = None
        for call in packed(records, self._call_bytes):
            try:
                await self._append_call(call, deadline)
            except LogUnavailableError as error:
                if begun is None:
                    raise
                raise AppendUnknownError(f"appended in part: {error}") from None
            begun = AppendUnknownError("appended in part")

    async def _append_call(self, records: list[bytes], deadline: float) -> None:
        store = self.kernel.get(Store)
        unknown: AppendUnknownError | None = None
        while True:
            try:
                await store.append(TOPIC, records)
                return
            except AppendUnknownError as error:
                unknown = failure = error
            except LogUnavailableError as error:
                failure = unknown or error
            if clock.now() + _APPEND_RETRY_SECONDS >= deadline:
                raise failure
            await asyncio.sleep(_APPEND_RETRY_SECONDS)

    async def catch_up(self) -> None:
        """Read to the end of the log as it is now.

        :raises LogReadError: the log can't be read.
        """
        # A read under way may have passed its end before this call.
        if self._queued_round is None:
            self._queued_round = self.spawn(self._read_round(self._round))
        failure = await asyncio.shield(self._queued_round)
        if failure is not None:
            raise failure

    async def _read_round(
        self, before: asyncio.Task[LogReadError | None] | None
    ) -> LogReadError | None:
        if before is not None:
            await asyncio.wait([before])
        self._round, self._queued_round = self._queued_round, None
        while True:
            try:
                page = await self._read(0)
            except LogReadError as error:
                return error
            if page is not None and page.next >= page.end:
                return None

    async def _read(self, wait: float) -> Page | None:
        try:
            page = await self.kernel.get(Store).read(TOPIC, self._next, wait)
        except LogGapError as error:
            self.kernel.get(Events).emit(
                "batches_skipped", start=self._next, first=error.first
            )
            self._next = max(self._next, error.first)
            return None
        self._apply(page)
        return page

    def _apply(self, page: Page) -> None:
        if page.next <= self._next:
            return
        for record in page.records[self._next - page.start :]:
            try:
                message = self._decoder.decode(record)
            except RecordInvalidError as error:
                self.kernel.get(Events).emit("record_invalid", reason=error.detail)
                continue
            if message is not None:
                self.table.apply(message)
        self._next = page.next
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @asynccontextmanager
    async def following(self) -> AsyncIterator[None]:
        """Follow the log for the time of the block."""
        self._followers += 1
        if self._follow_task is None:
            self._follow_task = self.spawn(self._follow())
        try:
            yield
        finally:
            self._followers -= 1
            if not self._followers and self._follow_task is not None:
                self._follow_task.cancel()
                self._follow_task = None

    async def changed(self, deadline: float) -> bool:
        """Wait for new messages; False if none came by ``deadline``."""
        try:
            async with asyncio.timeout_at(deadline):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _follow(self) -> None:
        while True:
            try:
                await self._read(_POLL_SECONDS)
            except LogReadError:
                # The directory notices and logs outages of the store.
                await asyncio.sleep(_RETRY_SECONDS)
