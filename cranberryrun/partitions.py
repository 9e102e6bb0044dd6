"""One partition of the keyed calls: its stream in the log, read and appended to."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from absl import logging

from . import clock
from .exceptions import (
    AppendUnknownError,
    CranberryrunError,
    LogReadError,
    LogUnavailableError,
)
from .ledger import (
    AnswerRecord,
    IntentRecord,
    KeyEntry,
    Ledger,
    OutcomeRecord,
    ReleaseRecord,
    parse,
)
from .log import Log
from .models import Model

_READ_LIMIT = 500
_RETRY_SECONDS = 0.5
_MAX_APPEND_RECORDS = 200
_MAX_ABANDONED = 10_000


@dataclass(slots=True)
class Queued:
    """Records that wait to be appended together."""

    records: list[Model]
    done: asyncio.Future[int]
    taken: bool = False


@dataclass(slots=True)
class Unrecorded:
    """A call that was sent in an outage of the log, before its intent stood there."""

    digest: str
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    answer: Any = None


class Partition:
    """Follows the stream into a ledger; appends go together, a batch at a time.

    :param ledger: what the stream's records are applied to.
    :param wait: longest wait of a read for new records, in seconds.
    """

    def __init__(self, log: Log, stream: str, ledger: Ledger, wait: float) -> None:
        self._log = log
        self._stream = stream
        self._wait = wait
        self.ledger = ledger
        self.changed = asyncio.Condition()
        self.unrecorded_by_key: dict[str, Unrecorded] = {}
        self._abandoned: OrderedDict[str, str] = OrderedDict()
        self._queue: list[Queued] = []
        self._queued = asyncio.Event()

    async def tail(self) -> None:
        """Follow the stream for ever."""
        while True:
            try:
                await self.read(self._wait)
            except LogReadError:
                await asyncio.sleep(_RETRY_SECONDS)

    async def read(self, wait: float) -> int:
        """Apply what follows in the stream and return how many records it was.

        :param wait: how long to wait for a first one, in seconds.
        :raises LogReadError: the log can't be read.
        """
        batch = await self._log.read(
            self._stream, self.ledger.offset + 1, _READ_LIMIT, wait
        )
        async with self.changed:
            if batch.first > self.ledger.offset + 1:
                self.ledger.begin(clock.wall())
            for record in batch.records:
                self._release_if_abandoned(self.ledger.apply(record))
            if not batch.records:
                self.ledger.skip_to(batch.next - 1)
            self.changed.notify_all()
        return len(batch.records)

    async def catch_up(self) -> None:
        """Apply all that is in the stream now; :raises LogReadError:."""
        while await self.read(0):
            continue

    def abandon(self, key: str, intent: str) -> None:
        """Release an intent also if it comes to stand in the log later on."""
        self._abandoned[intent] = key
        while len(self._abandoned) > _MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    def _release_if_abandoned(self, record: Model | None) -> None:
        if not isinstance(record, IntentRecord):
            return
        key = self._abandoned.pop(record.id, None)
        if key is not None:
            self._enqueue([ReleaseRecord(key=key, id=record.id)])

    def _enqueue(self, records: list[Model]) -> Queued:
        queued = Queued(records, asyncio.get_running_loop().create_future())
        # A failure that nobody waits for is not worth a message.
        queued.done.add_done_callback(lambda done: done.cancelled() or done.exception())
        self._queue.append(queued)
        self._queued.set()
        return queued

    async def write(self) -> None:
        """Append what is queued, several records at a time, for ever."""
        while True:
            await self._queued.wait()
            batch = self._take_batch()
            if batch:
                await self._append(batch)

    def _take_batch(self) -> list[Queued]:
        batch: list[Queued] = []
        count = 0
        while self._queue and count < _MAX_APPEND_RECORDS:
            queued = self._queue.pop(0)
            if queued.done.done():
                continue
            queued.taken = True
            batch.append(queued)
            count += len(queued.records)
        if not self._queue:
            self._queued.clear()
        return batch

    async def _append(self, batch: list[Queued]) -> None:
        values = [
            record.model_dump(mode="json")
            for queued in batch
            for record in queued.records
        ]
        try:
            offset = await self._log.append(self._stream, values)
        except CranberryrunError as error:
            _fail(batch, error)
            return
        except Exception as error:
            logging.exception("an append to %s failed", self._stream)
            _fail(batch, AppendUnknownError(repr(error)))
            return
        for queued in batch:
            if not queued.done.done():
                queued.done.set_result(offset)
            offset += len(queued.records)

    async def append(self, records: list[Model], deadline: float) -> int:
        """Append ``records`` together and return the first one's offset.

        :raises LogUnavailableError: they are certainly not in the stream.
        :raises AppendUnknownError: they may be, or may come to be.
        """
        queued = self._enqueue(records)
        try:
            async with asyncio.timeout_at(deadline):
                return await queued.done
        except TimeoutError:
            if queued.taken:
                raise AppendUnknownError("the append has no answer yet") from None
            raise LogUnavailableError(
                "the append's turn did not come", retry_after=2
            ) from None

    async def append_until_done(self, records: list[Model]) -> int:
        """Append ``records`` together, again and again until it is certain.

        They must be such that change nothing the second time.
        """
        while True:
            try:
                return await self._enqueue(records).done
            except CranberryrunError:
                await asyncio.sleep(_RETRY_SECONDS)

    async def wait_for(self, condition: Callable[[], bool], deadline: float) -> bool:
        """Wait until ``condition()`` holds; false if the deadline comes first."""
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.now())):
                async with self.changed:
                    await self.changed.wait_for(condition)
        except TimeoutError:
            return condition()
        return True

    async def answer_of(self, entry: KeyEntry) -> AnswerRecord:
        """Return the recorded answer of ``entry``; :raises LogReadError:."""
        offset = entry.outcome_offset
        held = self.ledger.cached(offset)
        if held is not None:
            return held
        batch = await self._log.read(self._stream, offset, 1, 0)
        record = parse(batch.records[0].value) if batch.records else None
        if not isinstance(record, OutcomeRecord):
            raise LogReadError(f"there is no outcome at {self._stream}/{offset}")
        return record.answer


def _fail(batch: list[Queued], error: CranberryrunError) -> None:
    for queued in batch:
        if not queued.done.done():
            queued.done.set_exception(error)
