"""One partition of the keyed calls: reads and appends to its stream in the log."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from absl import logging

from . import clock
from .call_ledger import (
    AnswerRecord,
    CallLedger,
    IntentRecord,
    KeyEntry,
    OutcomeRecord,
    ReleaseRecord,
    parse_record,
)
from .exceptions import (
    AppendUnknownError,
    CranberryrunError,
    LogReadError,
    LogUnavailableError,
)
from .log import Log
from .models import Model

_MAX_READ_RECORDS = 500
_RETRY_DELAY_SECONDS = 0.5
_MAX_APPEND_RECORDS = 200
_MAX_ABANDONED_INTENTS = 10_000


@dataclass(slots=True)
class PendingAppend:
    """Records of one append that waits in the queue or is in flight."""

    records: list[Model]
    done: asyncio.Future[int]
    started: bool = False


@dataclass(slots=True)
class UnrecordedCall:
    """A call sent during an outage of the log, before its intent was recorded."""

    digest: str
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    answer: Any = None


class Partition:
    """Applies the stream's records to a ledger and appends records in batches.

    :param ledger: the ledger that the stream's records are applied to.
    :param wait: longest time that a read waits for new records, in seconds.
    """

    def __init__(self, log: Log, stream: str, ledger: CallLedger, wait: float) -> None:
        self._log = log
        self._stream = stream
        self._max_wait = wait
        self.ledger = ledger
        self.changed = asyncio.Condition()
        self.unrecorded_by_key: dict[str, UnrecordedCall] = {}
        self._key_by_abandoned_intent: OrderedDict[str, str] = OrderedDict()
        self._queue: list[PendingAppend] = []
        self._queue_filled = asyncio.Event()

    async def tail(self) -> None:
        """Read the stream continuously; retry after failed reads."""
        while True:
            try:
                await self.read(self._max_wait)
            except LogReadError:
                await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def read(self, wait: float) -> int:
        """Apply the next records of the stream and return their number.

        :param wait: longest time to wait for the first record, in seconds.
        :raises LogReadError: the log can't be read.
        """
        page = await self._log.read(
            self._stream, self.ledger.offset + 1, _MAX_READ_RECORDS, wait
        )
        async with self.changed:
            if page.first > self.ledger.offset + 1:
                self.ledger.mark_gap(clock.wall())
            for record in page.records:
                self._release_if_abandoned(self.ledger.apply(record))
            if not page.records:
                self.ledger.skip_to(page.next - 1)
            self.changed.notify_all()
        return len(page.records)

    async def catch_up(self) -> None:
        """Apply all records that are in the stream now.

        :raises LogReadError: the log can't be read.
        """
        while await self.read(0):
            continue

    def abandon(self, key: str, intent: str) -> None:
        """Release ``intent`` as soon as it is read, if its append takes effect late."""
        self._key_by_abandoned_intent[intent] = key
        while len(self._key_by_abandoned_intent) > _MAX_ABANDONED_INTENTS:
            self._key_by_abandoned_intent.popitem(last=False)

    def _release_if_abandoned(self, record: Model | None) -> None:
        if not isinstance(record, IntentRecord):
            return
        key = self._key_by_abandoned_intent.pop(record.id, None)
        if key is not None:
            self._enqueue([ReleaseRecord(key=key, id=record.id)])

    def _enqueue(self, records: list[Model]) -> PendingAppend:
        pending = PendingAppend(records, asyncio.get_running_loop().create_future())
        # Retrieving the error keeps asyncio from logging it if nothing awaits it.
        pending.done.add_done_callback(
            lambda done: done.cancelled() or done.exception()
        )
        self._queue.append(pending)
        self._queue_filled.set()
        return pending

    async def write(self) -> None:
        """Append the queued records continuously, in batches."""
        while True:
            await self._queue_filled.wait()
            batch = self._next_batch()
            if batch:
                await self._append(batch)

    def _next_batch(self) -> list[PendingAppend]:
        batch: list[PendingAppend] = []
        count = 0
        while self._queue and count < _MAX_APPEND_RECORDS:
            pending = self._queue.pop(0)
            if pending.done.done():
                continue
            pending.started = True
            batch.append(pending)
            count += len(pending.records)
        if not self._queue:
            self._queue_filled.clear()
        return batch

    async def _append(self, batch: list[PendingAppend]) -> None:
        values = [
            record.model_dump(mode="json")
            for pending in batch
            for record in pending.records
        ]
        try:
            offset = await self._log.append(self._stream, values)
        except CranberryrunError as error:
            _fail_batch(batch, error)
            return
        except Exception as error:
            logging.exception(
                "append to stream %s failed; its records may have been appended",
                self._stream,
            )
            _fail_batch(batch, AppendUnknownError(repr(error)))
            return
        for pending in batch:
            if not pending.done.done():
                pending.done.set_result(offset)
            offset += len(pending.records)

    async def append(self, records: list[Model], deadline: float) -> int:
        """Append ``records`` in one append and return the offset of the first.

        :param deadline: in the loop's time.
        :raises LogUnavailableError: the records were not appended.
        :raises AppendUnknownError: the records may be in the stream, now or later.
        """
        pending = self._enqueue(records)
        try:
            async with asyncio.timeout_at(deadline):
                return await pending.done
        except TimeoutError:
            if pending.started:
                raise AppendUnknownError(
                    "the log did not answer the append before the deadline"
                ) from None
            raise LogUnavailableError(
                "the append was still queued at the deadline", retry_after=2
            ) from None

    async def append_until_done(self, records: list[Model]) -> int:
        """Append ``records``; retry until the log has confirmed an append.

        The records may be appended more than once, so applying them must be
        idempotent.
        """
        while True:
            try:
                return await self._enqueue(records).done
            except CranberryrunError:
                await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def wait_for(self, condition: Callable[[], bool], deadline: float) -> bool:
        """Wait until ``condition()`` holds; return False if it does not in time."""
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.now())):
                async with self.changed:
                    await self.changed.wait_for(condition)
        except TimeoutError:
            return condition()
        return True

    async def read_answer(self, entry: KeyEntry) -> AnswerRecord:
        """Return the recorded answer of ``entry``.

        :raises LogReadError: the outcome record can't be read.
        """
        offset = entry.outcome_offset
        cached = self.ledger.cached_answer(offset)
        if cached is not None:
            return cached
        page = await self._log.read(self._stream, offset, 1, 0)
        record = parse_record(page.records[0].value) if page.records else None
        if not isinstance(record, OutcomeRecord):
            raise LogReadError(
                f"stream {self._stream} has no outcome record at offset {offset}"
            )
        return record.answer


def _fail_batch(batch: list[PendingAppend], error: CranberryrunError) -> None:
    for pending in batch:
        if not pending.done.done():
            pending.done.set_exception(error)
