"""Where batches live in the store: their own topics, an index, and progress.

A batch and its results are in one of a few topics, chosen by its id, so that a host
reads little more than the batches that it is asked for. The *index* says which
batches are to be run and which were ended; only the holder of the lease follows it.
*Progress* of running items is read by the next holder alone.
"""

from __future__ import annotations

import asyncio

import xxhash

from .. import clock
from ..events import Events
from ..exceptions import (
    AppendUnknownError,
    CranberryrunError,
    LogUnavailableError,
    RecordInvalidError,
)
from ..kernel import Service
from ..store import Store
from .models import Batch, BatchState
from .reader import TopicReader
from .records import (
    Accepted,
    Decoder,
    Ended,
    Listed,
    Message,
    Opened,
    Progressed,
    encode,
    packed,
)
from .table import BatchTable

INDEX_TOPIC = "batch-index"
PROGRESS_TOPIC = "batch-progress"
# The store takes 100 topics; with these few batches share a topic.
_TOPICS = 32
# Between tries of one append: some answers of the store at its usual 4 ms.
_APPEND_RETRY_SECONDS = 0.1
# Topics that are read at the same time: more would fill a slow link so that every
# read takes longer than the store is waited for.
_READS_AT_ONCE = 4


def topic_of(batch_id: str) -> str:
    """Return the topic of a batch and its results."""
    return f"batches-{xxhash.xxh32_intdigest(batch_id.encode()) % _TOPICS:02d}"


class BatchLog(Service):
    """Appends to the topics of batches, and reads them into one table.

    :param record_bytes: the longest record that the store takes.
    :param call_bytes: the most bytes that one append takes.
    :param keep: seconds for which batches are kept.
    :param cache_bytes: how much text of results is kept in memory; what is forgotten
        is read again when it is asked for.
    """

    name = "batch_log"
    requires = ("events", "store")

    def __init__(
        self,
        record_bytes: int,
        call_bytes: int,
        keep: float,
        cache_bytes: float = float("inf"),
    ) -> None:
        super().__init__()
        self._cache_bytes = cache_bytes
        self._record_bytes = record_bytes
        self._call_bytes = call_bytes
        self.table = BatchTable(keep)
        self._reader_by_topic: dict[str, TopicReader] = {}
        self._reads = asyncio.Semaphore(_READS_AT_ONCE)

    @property
    def index(self) -> TopicReader:
        """The reader of the index."""
        return self._reader(INDEX_TOPIC)

    @property
    def progress(self) -> TopicReader:
        """The reader of the progress of running items."""
        return self._reader(PROGRESS_TOPIC)

    def reader_of(self, batch_id: str) -> TopicReader:
        """Return the reader of a batch's topic."""
        return self._reader(topic_of(batch_id))

    def _reader(self, topic: str) -> TopicReader:
        reader = self._reader_by_topic.get(topic)
        if reader is None:
            decoder = Decoder()

            def apply(offset: int, record: bytes) -> None:
                self._apply(topic, offset, decoder, record)

            reader = TopicReader(self.kernel, self.spawn, topic, apply)
            self._reader_by_topic[topic] = reader
        return reader

    def _apply(self, topic: str, offset: int, decoder: Decoder, record: bytes) -> None:
        try:
            message = decoder.decode(record)
        except RecordInvalidError as error:
            self.kernel.get(Events).emit(
                "record_invalid", topic=topic, offset=offset, reason=error.detail
            )
            return
        if message is not None:
            self.table.apply(message)

    async def accept(self, batch: Batch, deadline: float) -> None:
        """Keep a batch and have it run; idempotent.

        :param deadline: until when a failed append is made again, in loop seconds.
        :raises LogUnavailableError: it is not run, certainly.
        :raises AppendUnknownError: nobody can tell.
        """
        if batch.id not in self.table.state_by_id:
            await self._append(topic_of(batch.id), [Accepted(batch)], deadline)
        opened = Opened(batch.id, batch.submitted_at)
        await self._append(INDEX_TOPIC, [opened], deadline)

    async def end(self, batch_id: str, deadline: float) -> None:
        """Have a batch run no more. Raises as :meth:`accept` does."""
        await self._append(INDEX_TOPIC, [Ended(batch_id)], deadline)

    async def list_results(self, results: Listed, deadline: float) -> None:
        """Append results of a batch. Raises as :meth:`accept` does."""
        await self._append(topic_of(results.batch), [results], deadline)

    async def record(self, progress: list[Progressed], deadline: float) -> int:
        """Append how far items came; return the offset. Raises as :meth:`accept`."""
        return await self._append(PROGRESS_TOPIC, progress, deadline)

    async def forget_progress(self, before: int) -> None:
        """Let the store delete progress records before an offset."""
        try:
            await self.kernel.get(Store).trim(PROGRESS_TOPIC, before)
        except CranberryrunError as error:
            # The next call deletes them too.
            self.kernel.get(Events).emit(
                "progress_kept", before=before, reason=error.detail
            )

    async def load(self, batch_ids: list[str]) -> None:
        """Read the topics of these batches to their ends.

        :raises LogReadError: one can't be read.
        """
        readers = {self.reader_of(batch_id) for batch_id in batch_ids}
        await asyncio.gather(*(self._catch_up(reader) for reader in readers))

    async def _catch_up(self, reader: TopicReader) -> None:
        async with self._reads:
            await reader.catch_up()
        # The last one used is the last one to be forgotten.
        if self._reader_by_topic.pop(reader.topic, None) is reader:
            self._reader_by_topic[reader.topic] = reader
        self._forget_topics(besides=reader.topic)

    def _forget_topics(self, besides: str) -> None:
        """Forget the topics that were used longest ago if memory is short."""
        if self.table.text_bytes <= self._cache_bytes:
            return
        states_by_topic: dict[str, list[BatchState]] = {}
        for state in self.table.state_by_id.values():
            states_by_topic.setdefault(topic_of(state.batch.id), []).append(state)
        in_use = {topic_of(state.batch.id) for state in self.table.open_states()}
        in_use |= {besides, INDEX_TOPIC, PROGRESS_TOPIC}
        for topic, reader in list(self._reader_by_topic.items()):
            if self.table.text_bytes <= self._cache_bytes:
                return
            if topic in in_use or reader.busy:
                continue
            del self._reader_by_topic[topic]
            for state in states_by_topic.get(topic, ()):
                self.table.forget(state)

    async def _append(
        self, topic: str, messages: list[Message] | list[Progressed], deadline: float
    ) -> int:
        records = [
            record
            for message in messages
            for record in encode(message, self._record_bytes)
        ]
        first: int | None = None
        for call in packed(records, self._call_bytes):
            try:
                offset = await self._append_call(topic, call, deadline)
            except LogUnavailableError as error:
                if first is None:
                    raise
                raise AppendUnknownError(f"appended in part: {error}") from None
            first = offset if first is None else first
        assert first is not None
        return first

    async def _append_call(
        self, topic: str, records: list[bytes], deadline: float
    ) -> int:
        store = self.kernel.get(Store)
        unknown: AppendUnknownError | None = None
        while True:
            try:
                return await store.append(topic, records)
            except AppendUnknownError as error:
                unknown = failure = error
            except LogUnavailableError as error:
                failure = unknown or error
            if clock.now() + _APPEND_RETRY_SECONDS >= deadline:
                raise failure
            await asyncio.sleep(_APPEND_RETRY_SECONDS)
