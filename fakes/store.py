"""An in-memory store, on the clock of the test's event loop, with faults."""

from __future__ import annotations

import asyncio
import bisect

from cranberryrun.exceptions import (
    AppendConflictError,
    AppendUnknownError,
    LogGapError,
    LogReadError,
    LogUnavailableError,
)
from cranberryrun.store import KeyedRecord, NewestRecords, Page, Store

_RESPONSE_DELAY_SECONDS = 0.004
_PAGE_BYTES = 262_144


def _first_page(records: list[bytes], start: int) -> list[bytes]:
    """Return the records from ``start`` on that fit into a page, at least one."""
    page: list[bytes] = []
    size = 0
    for record in records[start:]:
        size += len(record)
        if page and size > _PAGE_BYTES:
            break
        page.append(record)
    return page


class MemoryStore(Store):
    """Holds topics of one partition each, in memory.

    The kernels of several hosts share a store through
    :func:`fakes.deployment.shared`.

    :ivar retention_seconds: age at which records of topics without keys are deleted.
    :ivar link_bytes_per_second: bandwidth that concurrent reads share; a read that
        takes longer than ``silence_seconds`` fails.
    :ivar down: whether the store refuses every call.
    :ivar down_topics: the topics of which the store refuses every call.
    :ivar silent: whether every call fails after ``silence_seconds`` without an answer.
    :ivar lost_answers: number of appends to come that take effect but whose answers
        are lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.records_by_topic: dict[str, list[bytes]] = {}
        self.first_by_topic: dict[str, int] = {}
        self.retention_seconds = float("inf")
        self._times_by_topic: dict[str, list[float]] = {}
        self.down = False
        self.down_topics: set[str] = set()
        self.silent = False
        self.silence_seconds = 0.6
        self.lost_answers = 0
        self.link_bytes_per_second = float("inf")
        self._concurrent_reads = 0
        self._record_added = asyncio.Event()

    def add(self, topic: str, record: bytes) -> None:
        """Append a record without delay or faults, as another writer does."""
        self.records_by_topic.setdefault(topic, []).append(record)
        now = asyncio.get_running_loop().time()
        self._times_by_topic.setdefault(topic, []).append(now)
        grown, self._record_added = self._record_added, asyncio.Event()
        grown.set()

    def put_keyed(self, topic: str, key: str, value: bytes | None) -> None:
        """Append a keyed record without delay or faults, as another writer does."""
        encoded_key = key.encode()
        self.add(topic, bytes([len(encoded_key)]) + encoded_key + (value or b""))

    async def put(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> None:
        """See :meth:`Store.put`."""
        encoded_key = key.encode()
        record = bytes([len(encoded_key)]) + encoded_key + value
        await self.append(topic, [record], at)

    async def append(
        self, topic: str, records: list[bytes], at: int | None = None
    ) -> int:
        """See :meth:`Store.append`."""
        await self._simulate_response(LogUnavailableError, AppendUnknownError)
        if topic in self.down_topics:
            raise AppendUnknownError(f"the store reset an append to {topic}")
        start = len(self.records_by_topic.setdefault(topic, []))
        if at is not None and at != start:
            raise AppendConflictError(f"topic {topic} ends at offset {start}, not {at}")
        for record in records:
            self.add(topic, record)
        if self.lost_answers:
            self.lost_answers -= 1
            raise AppendUnknownError(
                "the records were appended, but the answer was lost"
            )
        return start

    async def read(self, topic: str, start: int, wait: float) -> Page:
        """See :meth:`Store.read`."""
        await self._simulate_response(LogReadError, LogReadError, wait)
        if topic in self.down_topics:
            raise LogReadError(f"the store reset a read of {topic}")
        self._delete_old(topic)
        first = self.first_by_topic.get(topic, 0)
        if start < first:
            raise LogGapError("the records at this offset were deleted", first=first)
        deadline = asyncio.get_running_loop().time() + wait
        while len(self.records_by_topic.get(topic, [])) <= start:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._record_added.wait()
            except TimeoutError:
                break
        records = self.records_by_topic.get(topic, [])
        page = _first_page(records, start)
        await self._transfer(sum(map(len, page)))
        return Page(start, page, len(records))

    def _delete_old(self, topic: str) -> None:
        if topic.startswith("keyed."):
            return
        limit = asyncio.get_running_loop().time() - self.retention_seconds
        first = bisect.bisect_left(self._times_by_topic.get(topic, []), limit)
        self.first_by_topic[topic] = max(first, self.first_by_topic.get(topic, 0))

    async def _transfer(self, size: int) -> None:
        self._concurrent_reads += 1
        try:
            seconds = size * self._concurrent_reads / self.link_bytes_per_second
            await asyncio.sleep(min(seconds, self.silence_seconds))
            if seconds > self.silence_seconds:
                raise LogReadError("the transfer of the page took too long")
        finally:
            self._concurrent_reads -= 1

    async def trim(self, topic: str, before: int) -> None:
        """See :meth:`Store.trim`."""
        await self._simulate_response(LogUnavailableError, AppendUnknownError)
        first = self.first_by_topic.get(topic, 0)
        self.first_by_topic[topic] = max(first, before)

    async def newest(self, topic: str) -> NewestRecords:
        """See :meth:`Store.newest`."""
        await self._simulate_response(LogReadError, LogReadError)
        by_key: dict[str, KeyedRecord] = {}
        records = self.records_by_topic.get(topic, [])
        for raw in records:
            record = self.parse_keyed_record(raw)
            if record is None:
                continue
            by_key.pop(record.key, None)
            if record.value is not None:
                by_key[record.key] = record
        return NewestRecords(list(by_key.values()), len(records))

    def parse_keyed_record(self, record: bytes) -> KeyedRecord | None:
        """See :meth:`Store.parse_keyed_record`."""
        if not record or len(record) < 1 + record[0]:
            return None
        end = 1 + record[0]
        return KeyedRecord(record[1:end].decode(), record[end:] or None)

    async def _simulate_response(
        self, refused_error: type, lost_error: type, wait: float = 0.0
    ) -> None:
        if self.silent:
            await asyncio.sleep(self.silence_seconds + wait)
            raise lost_error("the store did not answer")
        await asyncio.sleep(_RESPONSE_DELAY_SECONDS)
        if self.down:
            raise refused_error("the store refused the call")
