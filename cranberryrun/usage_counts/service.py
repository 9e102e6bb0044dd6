"""Writes this host's usage counts to the store; as holder, reads those of all hosts."""

from __future__ import annotations

import asyncio
from collections import deque

from .. import clock
from ..batches.reader import TopicReader
from ..events import Events
from ..exceptions import CranberryrunError, RecordInvalidError
from ..fleet.lease import Lease
from ..kernel import Service
from ..metrics import Metrics
from ..store import Store
from .counter import UsageCounter
from .report_duty import MAX_AGE_SECONDS
from .totals import TOPIC, UsageRecord, UsageTotals, encode

_FLUSH_INTERVAL_SECONDS = 1.0
_FLUSH_RETRY_SECONDS = 0.5
_MIN_FLUSH_SECONDS = 0.1
# Only the holder reads, so this is a load of four calls a second on the store.
_READ_INTERVAL_SECONDS = 0.25
# The longest time after a window in which its counts are needed, with a margin.
_KEEP_SECONDS = MAX_AGE_SECONDS + 30.0
_MARK_INTERVAL_SECONDS = 15.0
# Each trim costs a call to the store.
_MIN_TRIM_RECORDS = 100


class UsageCounts(Service):
    """Flushes counts once a second, if there are any.

    :param incarnation: the start counter of this process.
    :param counter: the counts of this host.
    :param totals: receives the counts of all hosts while this host holds the lease.
    """

    name = "usage_counts"
    requires = ("events", "metrics", "store", "lease")

    def __init__(
        self, host_id: str, incarnation: int, counter: UsageCounter, totals: UsageTotals
    ) -> None:
        super().__init__()
        self._host_id = host_id
        self._incarnation = incarnation
        self._counter = counter
        self._totals = totals
        self._sequence = 0
        # These are appended unchanged until the store confirms them.
        self._unwritten: list[UsageRecord] = []
        self._flushing = asyncio.Lock()
        self._reader: TopicReader
        self._next_offsets: deque[tuple[float, int]] = deque()
        self._trimmed_before = 0

    async def start(self) -> None:
        """Start to write this host's counts, and to read all counts as the holder."""
        self._reader = TopicReader(
            self.kernel, self.spawn, TOPIC, self._apply, skips_are_normal=True
        )
        self.supervise(self._flush_regularly)
        self.supervise(self._read_as_holder)

    async def finish(self, deadline: float) -> None:
        """Write all counts because the process ends; give up at ``deadline``.

        :param deadline: in loop seconds.
        """
        seconds = max(_MIN_FLUSH_SECONDS, deadline - clock.now())
        try:
            async with asyncio.timeout(seconds):
                # The second one writes what was counted since the first one failed.
                for _ in range(2):
                    while not await self._flush(closing=True):
                        await asyncio.sleep(_FLUSH_RETRY_SECONDS)
        except TimeoutError:
            requests = sum(sum(each.counts.values()) for each in self._unwritten)
            self._emit_lost(requests, "the process ended before the store had them")

    async def _flush_regularly(self) -> None:
        while True:
            written = await self._flush()
            seconds = _FLUSH_INTERVAL_SECONDS if written else _FLUSH_RETRY_SECONDS
            await asyncio.sleep(seconds)

    async def _flush(self, closing: bool = False) -> bool:
        """Append the counts; return False if the store may not have them."""
        async with self._flushing:
            now = clock.wall()
            self._counter.forget_before(self._counter.window_of(now - _KEEP_SECONDS))
            if not self._unwritten:
                for window, counts in self._counter.take(now, closing).items():
                    self._add_record(window, counts)
            if not self._unwritten:
                return True
            records = [encode(record) for record in self._unwritten]
            try:
                await self.kernel.get(Store).append(TOPIC, records)
            except CranberryrunError:
                # The directory logs outages of the store.
                return False
            self._unwritten.clear()
            return True

    def _add_record(self, window: int, counts: dict[str, int]) -> None:
        self._sequence += 1
        record = UsageRecord(
            self._host_id, self._incarnation, self._sequence, window, counts
        )
        self._unwritten.append(record)
        self.kernel.get(Metrics).usage_counted(sum(counts.values()))

    async def _read_as_holder(self) -> None:
        while True:
            await asyncio.sleep(_READ_INTERVAL_SECONDS)
            if not self.kernel.get(Lease).assigned:
                self._next_offsets.clear()
                continue
            read_at = clock.wall()
            late_requests = self._totals.late_requests
            try:
                await self._reader.catch_up()
            except CranberryrunError:
                # The directory logs outages of the store.
                continue
            self._totals.record_read(read_at)
            self._totals.forget_before(self._counter.window_of(read_at - _KEEP_SECONDS))
            late_requests = self._totals.late_requests - late_requests
            if late_requests and self._next_offsets:
                self._emit_lost(late_requests, "their window was reported before")
            await self._trim(read_at)

    def _apply(self, offset: int, raw: bytes) -> None:
        try:
            self._totals.apply(raw)
        except RecordInvalidError as error:
            self.kernel.get(Events).emit(
                "record_invalid", topic=TOPIC, offset=offset, reason=error.detail
            )

    def _emit_lost(self, requests: int, reason: str) -> None:
        self.kernel.get(Events).emit("usage_lost", requests=requests, reason=reason)

    async def _trim(self, now: float) -> None:
        """Let the store delete records that this host read long ago."""
        marks = self._next_offsets
        if not marks or now - marks[-1][0] >= _MARK_INTERVAL_SECONDS:
            marks.append((now, self._reader.next_offset))
        before = self._trimmed_before
        while marks and marks[0][0] < now - _KEEP_SECONDS:
            before = marks.popleft()[1]
        if before - self._trimmed_before < _MIN_TRIM_RECORDS:
            return
        try:
            await self.kernel.get(Store).trim(TOPIC, before)
        except CranberryrunError:
            # The next trim also deletes these records.
            return
        self._trimmed_before = before
