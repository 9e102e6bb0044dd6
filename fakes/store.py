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
from cranberryrun.store import KeyedRecord, Newest, Page, Store

_ANSWER_SECONDS = 0.004


class MemoryStore(Store):
    """Holds topics of one partition. Several hosts' kernels share one by ``view``.

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
        return Page(start, records[start:], len(records))

    async def newest(self, topic: str) -> Newest:
        """See :meth:`Store.newest`."""
        await self._answer(LogReadError, LogReadError)
        by_key: dict[str, KeyedRecord] = {}
        records = self.records_by_topic.get(topic, [])
        for raw in records:
            record = self.keyed(raw)
            if record is None:
                continue
            by_key.pop(record.key, None)
            if record.value is not None:
                by_key[record.key] = record
        return Newest(list(by_key.values()), len(records))

    def keyed(self, record: bytes) -> KeyedRecord | None:
        """See :meth:`Store.keyed`."""
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
