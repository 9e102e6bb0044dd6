"""A store in memory, on the test's clock, that can be slow, down or forgetful."""

from __future__ import annotations

import asyncio

from cranberryrun.exceptions import (
    AppendConflictError,
    AppendUnknownError,
    LogGapError,
    LogReadError,
    LogUnavailableError,
)
from cranberryrun.store import KeyedRecord, NewestRecords, Page, Store

_ANSWER_SECONDS = 0.004
_PAGE_BYTES = 262_144


def _paged(records: list[bytes], start: int) -> list[bytes]:
    """Return the records from ``start`` on that fit a page, one at least."""
    page: list[bytes] = []
    size = 0
    for record in records[start:]:
        size += len(record)
        if page and size > _PAGE_BYTES:
            break
        page.append(record)
    return page


class MemoryStore(Store):
    """Holds topics of one partition. Several hosts' kernels share one by ``view``.

    ``link_bytes_per_second`` is shared by the reads at one time; one that takes over
    ``silence`` seconds fails.
    ``down`` refuses every call; ``silent`` answers none for ``silence`` seconds and
    then fails; ``lost_answers`` carries out that many appends without an answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.records_by_topic: dict[str, list[bytes]] = {}
        self.first_by_topic: dict[str, int] = {}
        self.down = False
        self.silent = False
        self.silence = 0.6
        self.lost_answers = 0
        self.link_bytes_per_second = float("inf")
        self._reading = 0
        self._grown = asyncio.Event()

    def add(self, topic: str, record: bytes) -> None:
        """Append a record as somebody else would."""
        self.records_by_topic.setdefault(topic, []).append(record)
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()

    def put_keyed(self, topic: str, key: str, value: bytes | None) -> None:
        """Append a keyed record as the operator or a target would."""
        name = key.encode()
        self.add(topic, bytes([len(name)]) + name + (value or b""))

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """See :meth:`Store.put`."""
        await self._answer(LogUnavailableError, AppendUnknownError)
        self.put_keyed(topic, key, value)

    async def append(
        self, topic: str, records: list[bytes], at: int | None = None
    ) -> int:
        """See :meth:`Store.append`."""
        await self._answer(LogUnavailableError, AppendUnknownError)
        start = len(self.records_by_topic.setdefault(topic, []))
        if at is not None and at != start:
            raise AppendConflictError(f"it ends at {start}")
        for record in records:
            self.add(topic, record)
        if self.lost_answers:
            self.lost_answers -= 1
            raise AppendUnknownError("the answer is lost")
        return start

    async def read(self, topic: str, start: int, wait: float) -> Page:
        """See :meth:`Store.read`."""
        await self._answer(LogReadError, LogReadError, wait)
        first = self.first_by_topic.get(topic, 0)
        if start < first:
            raise LogGapError("records were deleted", first=first)
        until = asyncio.get_running_loop().time() + wait
        while len(self.records_by_topic.get(topic, [])) <= start:
            try:
                async with asyncio.timeout_at(until):
                    await self._grown.wait()
            except TimeoutError:
                break
        records = self.records_by_topic.get(topic, [])
        page = _paged(records, start)
        await self._transfer(sum(map(len, page)))
        return Page(start, page, len(records))

    async def _transfer(self, size: int) -> None:
        self._reading += 1
        try:
            seconds = size * self._reading / self.link_bytes_per_second
            await asyncio.sleep(min(seconds, self.silence))
            if seconds > self.silence:
                raise LogReadError("the answer took too long")
        finally:
            self._reading -= 1

    async def trim(self, topic: str, before: int) -> None:
        """See :meth:`Store.trim`."""
        await self._answer(LogUnavailableError, AppendUnknownError)
        first = self.first_by_topic.get(topic, 0)
        self.first_by_topic[topic] = max(first, before)

    async def newest(self, topic: str) -> NewestRecords:
        """See :meth:`Store.newest`."""
        await self._answer(LogReadError, LogReadError)
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

    async def _answer(self, refused: type, lost: type, wait: float = 0.0) -> None:
        if self.silent:
            await asyncio.sleep(self.silence + wait)
            raise lost("the store is silent")
        await asyncio.sleep(_ANSWER_SECONDS)
        if self.down:
            raise refused("the store is down")
