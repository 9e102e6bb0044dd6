"""Reads one topic of the store in order, up to its end or following it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from .. import clock
from ..events import Events
from ..exceptions import LogGapError, LogReadError
from ..kernel import Kernel
from ..store import Page, Store

# Polls are short, because a long poll may miss a new record, which only the next poll
# returns.
_POLL_SECONDS = 0.2
_RETRY_DELAY_SECONDS = 0.1

Spawn = Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]]


class TopicReader:
    """Passes each record of a topic to ``apply``, once and in order.

    ``failing`` tells whether the last read failed. ``end_read_at`` is when the last
    read that reached the end of the topic was sent, in loop seconds: all records that
    the store had confirmed by then have been passed on.

    :param spawn: starts a task that is cancelled when the owning service stops.
    :param apply: called with the offset and the bytes of a record.
    :param skips_are_normal: whether records may expire unread without a log line.
    :param skipped: called when records expired unread after others had been read.
    """

    def __init__(
        self,
        kernel: Kernel,
        spawn: Spawn,
        topic: str,
        apply: Callable[[int, bytes], None],
        skips_are_normal: bool = False,
        skipped: Callable[[], None] | None = None,
    ) -> None:
        self._kernel = kernel
        self._spawn = spawn
        self.topic = topic
        self._apply_record = apply
        self._skips_are_normal = skips_are_normal
        self._skipped = skipped
        self._next_offset = 0
        self.failing = False
        self.end_read_at = float("-inf")
        self._new_records = asyncio.Event()
        self._followers = 0
        self._follow_task: asyncio.Task[None] | None = None
        self._read_task: asyncio.Task[LogReadError | None] | None = None
        self._queued_read_task: asyncio.Task[LogReadError | None] | None = None

    @property
    def next_offset(self) -> int:
        """The offset after the last record that was read."""
        return self._next_offset

    @property
    def busy(self) -> bool:
        """Whether the topic is currently being read or followed."""
        tasks = (self._read_task, self._queued_read_task)
        return self._followers > 0 or any(
            task is not None and not task.done() for task in tasks
        )

    async def catch_up(self) -> None:
        """Read up to the current end of the topic.

        :raises LogReadError: the topic can't be read.
        """
        # A read in progress may have reached an earlier end of the topic, so another
        # read is queued.
        if self._queued_read_task is None:
            self._queued_read_task = self._spawn(self._read_to_end(self._read_task))
        failure = await asyncio.shield(self._queued_read_task)
        if failure is not None:
            raise failure

    async def _read_to_end(
        self, previous: asyncio.Task[LogReadError | None] | None
    ) -> LogReadError | None:
        if previous is not None:
            await asyncio.wait([previous])
        self._read_task, self._queued_read_task = self._queued_read_task, None
        while True:
            try:
                page = await self._read(0)
            except LogReadError as error:
                return error
            if page is not None and page.next >= page.end:
                return None

    async def _read(self, wait: float) -> Page | None:
        store = self._kernel.get(Store)
        sent_at = clock.now()
        try:
            page = await store.read(self.topic, self._next_offset, wait)
        except LogGapError as error:
            self._skip_to(error.first)
            return None
        except LogReadError:
            self.failing = True
            raise
        self.failing = False
        self._apply(page)
        if page.next >= page.end:
            self.end_read_at = max(self.end_read_at, sent_at)
        return page

    def _skip_to(self, first: int) -> None:
        """Go on at the oldest record that is left."""
        if first <= self._next_offset:
            # Another read has met the same gap, and may have read on.
            return
        start, self._next_offset = self._next_offset, first
        if start and not self._skips_are_normal:
            self._kernel.get(Events).emit(
                "batches_skipped", topic=self.topic, start=start, first=first
            )
        if start and self._skipped is not None:
            self._skipped()

    def _apply(self, page: Page) -> None:
        if page.next <= self._next_offset:
            return
        for offset in range(self._next_offset, page.next):
            self._apply_record(offset, page.records[offset - page.start])
        self._next_offset = page.next
        new_records, self._new_records = self._new_records, asyncio.Event()
        new_records.set()

    @asynccontextmanager
    async def following(self) -> AsyncIterator[None]:
        """Follow the topic while the block runs."""
        self._followers += 1
        if self._follow_task is None:
            self._follow_task = self._spawn(self._follow())
        try:
            yield
        finally:
            self._followers -= 1
            if not self._followers and self._follow_task is not None:
                self._follow_task.cancel()
                self._follow_task = None

    async def wait_for_records(self, deadline: float) -> bool:
        """Wait for new records; return False if none arrive.

        :param deadline: when to stop waiting, in loop seconds.
        """
        try:
            async with asyncio.timeout_at(deadline):
                await self._new_records.wait()
        except TimeoutError:
            return False
        return True

    async def _follow(self) -> None:
        while True:
            try:
                await self._read(_POLL_SECONDS)
            except LogReadError:
                # The directory logs outages of the store.
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
