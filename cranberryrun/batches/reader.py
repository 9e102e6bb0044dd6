"""Reads one topic of the store in order: to its end when asked, or following it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from ..events import Events
from ..exceptions import LogGapError, LogReadError
from ..kernel import Kernel
from ..store import Page, Store

# A long poll can miss a record; one this short finds it soon after.
_POLL_SECONDS = 0.2
_RETRY_SECONDS = 0.1

Spawn = Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]]


class TopicReader:
    """Gives each record of a topic to ``apply``, once and in order.

    :param spawn: starts a task that ends with the owning service.
    :param apply: called with the offset and the record.
    """

    def __init__(
        self,
        kernel: Kernel,
        spawn: Spawn,
        topic: str,
        apply: Callable[[int, bytes], None],
    ) -> None:
        self._kernel = kernel
        self._spawn = spawn
        self.topic = topic
        self._apply_record = apply
        self._next = 0
        self._changed = asyncio.Event()
        self._followers = 0
        self._follow_task: asyncio.Task[None] | None = None
        self._round: asyncio.Task[LogReadError | None] | None = None
        self._queued_round: asyncio.Task[LogReadError | None] | None = None

    @property
    def busy(self) -> bool:
        """Whether the topic is being read or followed now."""
        reading = (self._round, self._queued_round)
        return self._followers > 0 or any(
            task is not None and not task.done() for task in reading
        )

    async def catch_up(self) -> None:
        """Read to the end of the topic as it is now.

        :raises LogReadError: the topic can't be read.
        """
        # A read under way may have passed its end before this call.
        if self._queued_round is None:
            self._queued_round = self._spawn(self._read_round(self._round))
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
        store = self._kernel.get(Store)
        try:
            page = await store.read(self.topic, self._next, wait)
        except LogGapError as error:
            if self._next:
                self._kernel.get(Events).emit(
                    "batches_skipped",
                    topic=self.topic,
                    start=self._next,
                    first=error.first,
                )
            self._next = max(self._next, error.first)
            return None
        self._apply(page)
        return page

    def _apply(self, page: Page) -> None:
        if page.next <= self._next:
            return
        for offset in range(self._next, page.next):
            self._apply_record(offset, page.records[offset - page.start])
        self._next = page.next
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @asynccontextmanager
    async def following(self) -> AsyncIterator[None]:
        """Follow the topic for the time of the block."""
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

    async def changed(self, deadline: float) -> bool:
        """Wait for new records; False if none came by ``deadline`` (loop seconds)."""
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
