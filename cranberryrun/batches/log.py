"""The topics of the store that hold batches: batch topics, the index and progress.

A batch and its results are stored in one of a few *batch topics*, chosen by a hash of
its id, so that a host reads little more than the batches that its callers request. The
*index* lists which batches were opened and which were ended; only the holder of the
lease follows it. The store may be down for some topics only, so there is a *spare
index*: a message that the index does not take goes there, and later to the index too.
The *progress* of running items is read only by the next holder.
"""

from __future__ import annotations

import asyncio
from functools import partial

import xxhash

from .. import clock
from ..events import Events
from ..exceptions import (
    AppendUnknownError,
    CranberryrunError,
    LogReadError,
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
    Kept,
    Listed,
    Message,
    Opened,
    Progressed,
    encode,
    pack_records,
)
from .table import BatchTable

INDEX_TOPIC = "batch-index"
SPARE_INDEX_TOPIC = "batch-index-spare"
PROGRESS_TOPIC = "batch-progress"
# The store allows 100 topics. With this many, only a few batches share a topic.
_BATCH_TOPIC_COUNT = 32
# Delay before a failed append is repeated. It is several times the 4 ms that an answer
# of the store usually takes.
_APPEND_RETRY_SECONDS = 0.1
# How long a message of the spare index is also offered to the index. An outage of the
# store lasts some seconds.
_COPY_SECONDS = 60.0
_COPY_RETRY_SECONDS = 1.0
# How often the holder reads the spare index while one of the two indexes fails. While
# both can be read, it is the share below of the time in which items of an ended batch
# may reach engines.
_SPARE_READ_SECONDS = 0.3
_IDLE_SPARE_READ_SHARE = 1 / 6
# Records of what is open are replaced at this share of the age at which the store
# deletes them. The rest is for outages of the store, in which records may expire too.
RECORD_AGAIN_SHARE = 1 / 3
# Limit of topics read at the same time. On a slow link, more concurrent reads would
# each take longer than the timeout of a read.
_MAX_CONCURRENT_READS = 4


def topic_of(batch_id: str) -> str:
    """Return the topic of a batch and its results."""
    return (
        f"batches-{xxhash.xxh32_intdigest(batch_id.encode()) % _BATCH_TOPIC_COUNT:02d}"
    )


class BatchLog(Service):
    """Appends to the topics of batches and reads them into one table.

    :param record_bytes: maximum size of a record in the store.
    :param call_bytes: maximum size of the records in one append.
    :param keep_seconds: how long a batch is kept after its submission, and after its
        end.
    :param retention_seconds: age at which the store deletes records.
    :param cache_bytes: limit of the result text in memory; evicted topics are read
        again on demand.
    :param cancel_seconds: no item of a batch may reach an engine later than this after
        the end of the batch was confirmed.
    """

    name = "batch_log"
    requires = ("events", "store")

    def __init__(
        self,
        record_bytes: int,
        call_bytes: int,
        keep_seconds: float,
        cache_bytes: float = float("inf"),
        cancel_seconds: float = 3.0,
        retention_seconds: float = float("inf"),
    ) -> None:
        super().__init__()
        self.retention_seconds = retention_seconds
        self._cache_bytes = cache_bytes
        self.cancel_seconds = cancel_seconds
        self._record_bytes = record_bytes
        self._call_bytes = call_bytes
        self.table = BatchTable(keep_seconds, retention_seconds)
        self._reader_by_topic: dict[str, TopicReader] = {}
        self._append_lock_by_topic: dict[str, asyncio.Lock] = {}
        self._read_slots = asyncio.Semaphore(_MAX_CONCURRENT_READS)

    @property
    def index(self) -> TopicReader:
        """The reader of the index."""
        return self._reader(INDEX_TOPIC)

    @property
    def progress(self) -> TopicReader:
        """The reader of the progress of running items."""
        return self._reader(PROGRESS_TOPIC)

    @property
    def ends_known_until(self) -> float:
        """All ends that were confirmed before this time are known, in loop seconds.

        Both indexes were read to their ends since then.
        """
        return min(self.index.end_read_at, self._reader(SPARE_INDEX_TOPIC).end_read_at)

    def reader_of(self, batch_id: str) -> TopicReader:
        """Return the reader of a batch's topic."""
        return self._reader(topic_of(batch_id))

    def _reader(self, topic: str) -> TopicReader:
        reader = self._reader_by_topic.get(topic)
        if reader is None:
            decoder = Decoder()

            def apply(offset: int, record: bytes) -> None:
                self._apply(topic, offset, decoder, record)

            reader = TopicReader(
                self.kernel,
                self.spawn,
                topic,
                apply,
                skipped=partial(self._forget, topic),
            )
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

    def _forget(self, topic: str) -> None:
        """Forget what was read of a topic, of which records were deleted unread.

        What is open has newer records. Only the host that writes those keeps what it
        has.
        """
        if topic in (INDEX_TOPIC, SPARE_INDEX_TOPIC):
            if not self.table.index_current:
                self.table.forget_open(clock.wall() - self.retention_seconds)
            return
        kept_ids: set[str] = set()
        if self.table.index_current:
            kept_ids = {state.batch.id for state in self.table.open_states()}
        for state in list(self.table.state_by_id.values()):
            if topic_of(state.batch.id) == topic and state.batch.id not in kept_ids:
                self.table.remove(state)

    async def accept(self, batch: Batch, deadline: float) -> None:
        """Store a batch and open it for running; idempotent.

        :param deadline: until when failed appends are repeated, in loop seconds.
        :raises LogUnavailableError: the batch was certainly not opened.
        :raises AppendUnknownError: the batch may have been opened.
        """
        if batch.id not in self.table.state_by_id:
            await self._append(topic_of(batch.id), [Accepted(batch)], deadline)
        await self._append_to_index(Opened(batch.id, batch.submitted_at), deadline)

    async def end(self, batch_id: str, deadline: float) -> None:
        """Mark a batch as ended. Raises the same errors as :meth:`accept`."""
        await self._append_to_index(Ended(batch_id, clock.wall()), deadline)

    async def _append_to_index(self, message: Message, deadline: float) -> None:
        """Append to the index, or to the spare one if the index fails.

        The message may be in both, since it is idempotent.
        """
        unknown_error: AppendUnknownError | None = None
        while True:
            for topic in (INDEX_TOPIC, SPARE_INDEX_TOPIC):
                try:
                    await self._append(topic, [message], clock.now())
                except AppendUnknownError as error:
                    unknown_error = failure = error
                except LogUnavailableError as error:
                    failure = unknown_error or error
                else:
                    if topic == SPARE_INDEX_TOPIC:
                        self.kernel.get(Events).emit(
                            "spare_index_used", step=message.batch
                        )
                        self.spawn(self._copy_to_index(message))
                    return
            if clock.now() + _APPEND_RETRY_SECONDS >= deadline:
                raise failure
            await asyncio.sleep(_APPEND_RETRY_SECONDS)

    async def _copy_to_index(self, message: Message) -> None:
        """Append a message of the spare index to the index, too.

        The next holder, and hosts of an earlier build, may read only the index.
        """
        give_up_at = clock.now() + _COPY_SECONDS
        while clock.now() < give_up_at:
            await asyncio.sleep(_COPY_RETRY_SECONDS)
            try:
                await self._append(INDEX_TOPIC, [message], clock.now())
            except CranberryrunError:
                # The directory logs outages of the store.
                continue
            return

    async def follow_spare_index(self) -> None:
        """Read the spare index at intervals, without end."""
        spare = self._reader(SPARE_INDEX_TOPIC)
        while True:
            seconds = _IDLE_SPARE_READ_SHARE * self.cancel_seconds
            if self.index.failing or spare.failing:
                seconds = min(seconds, _SPARE_READ_SECONDS)
            await asyncio.sleep(seconds)
            await self.read_spare_index()

    async def read_spare_index(self) -> None:
        """Read the spare index to its end, unless the store fails."""
        try:
            await self._reader(SPARE_INDEX_TOPIC).catch_up()
        except LogReadError:
            # What it has is copied to the index when that can be written again.
            return

    async def append_results(self, results: Listed, deadline: float) -> None:
        """Append results of a batch. Raises the same errors as :meth:`accept`."""
        topic = topic_of(results.batch)
        async with self._append_lock(topic):
            await self._append(topic, [results], deadline)

    def _append_lock(self, topic: str) -> asyncio.Lock:
        return self._append_lock_by_topic.setdefault(topic, asyncio.Lock())

    async def record_again(self, batch_id: str) -> int:
        """Append new records of an open batch, before the store deletes the old ones.

        The positions of results are those of all records, so nothing may come between
        the reading of the results and the new record.

        :return: the size of the batch's record in bytes.
        :raises LogReadError: the batch or the index can't be read.
        :raises AppendConflictError: another record came between.
        :raises LogUnavailableError: the batch was not recorded.
        :raises AppendUnknownError: the batch may have been recorded.
        """
        topic = topic_of(batch_id)
        async with self._append_lock(topic):
            await self.load([batch_id])
            state = self.table.state_by_id.get(batch_id)
            if state is None:
                raise LogReadError(f"batch {batch_id} has no record any more")
            message = Kept(state.batch, state.results, clock.wall())
            records = encode(message, self._record_bytes)
            offset = self.reader_of(batch_id).next_offset
            for packed in pack_records(records, self._call_bytes):
                await self.kernel.get(Store).append(topic, packed, offset)
                offset += len(packed)
        await self.read_spare_index()
        await self.index.catch_up()
        if not self.table.ended(batch_id):
            opened = Opened(batch_id, state.batch.submitted_at, clock.wall())
            await self.kernel.get(Store).append(
                INDEX_TOPIC, encode(opened, self._record_bytes), self.index.next_offset
            )
        return sum(map(len, records))

    async def append_progress(self, progress: list[Progressed], deadline: float) -> int:
        """Append the progress of items; return the offset of the first record.

        Raises the same errors as :meth:`accept`.
        """
        return await self._append(PROGRESS_TOPIC, progress, deadline)

    async def trim_progress(self, before: int) -> None:
        """Let the store delete progress records before an offset."""
        try:
            await self.kernel.get(Store).trim(PROGRESS_TOPIC, before)
        except CranberryrunError as error:
            # The next trim also deletes these records.
            self.kernel.get(Events).emit(
                "progress_kept", before=before, reason=error.detail
            )

    async def load(self, batch_ids: list[str]) -> None:
        """Read the topics of these batches to their ends.

        :raises LogReadError: a topic can't be read.
        """
        readers = {self.reader_of(batch_id) for batch_id in batch_ids}
        await asyncio.gather(*(self._catch_up(reader) for reader in readers))

    async def _catch_up(self, reader: TopicReader) -> None:
        async with self._read_slots:
            await reader.catch_up()
        # Move the topic to the end: topics are evicted in the order of their last use.
        if self._reader_by_topic.pop(reader.topic, None) is reader:
            self._reader_by_topic[reader.topic] = reader
        self._evict_topics(kept_topic=reader.topic)

    def _evict_topics(self, kept_topic: str) -> None:
        """Evict the least recently used topics while the cache limit is exceeded."""
        if self.table.text_bytes <= self._cache_bytes:
            return
        states_by_topic: dict[str, list[BatchState]] = {}
        for state in self.table.state_by_id.values():
            states_by_topic.setdefault(topic_of(state.batch.id), []).append(state)
        in_use = {topic_of(state.batch.id) for state in self.table.open_states()}
        in_use |= {kept_topic, INDEX_TOPIC, SPARE_INDEX_TOPIC, PROGRESS_TOPIC}
        for topic, reader in list(self._reader_by_topic.items()):
            if self.table.text_bytes <= self._cache_bytes:
                return
            if topic in in_use or reader.busy:
                continue
            del self._reader_by_topic[topic]
            for state in states_by_topic.get(topic, ()):
                self.table.remove(state)

    async def _append(
        self, topic: str, messages: list[Message] | list[Progressed], deadline: float
    ) -> int:
        records = [
            record
            for message in messages
            for record in encode(message, self._record_bytes)
        ]
        first_offset: int | None = None
        for packed in pack_records(records, self._call_bytes):
            try:
                offset = await self._append_call(topic, packed, deadline)
            except LogUnavailableError as error:
                if first_offset is None:
                    raise
                raise AppendUnknownError(
                    f"the records were only partly appended: {error}"
                ) from None
            first_offset = offset if first_offset is None else first_offset
        assert first_offset is not None
        return first_offset

    async def _append_call(
        self, topic: str, records: list[bytes], deadline: float
    ) -> int:
        store = self.kernel.get(Store)
        unknown_error: AppendUnknownError | None = None
        while True:
            try:
                return await store.append(topic, records)
            except AppendUnknownError as error:
                unknown_error = failure = error
            except LogUnavailableError as error:
                failure = unknown_error or error
            if clock.now() + _APPEND_RETRY_SECONDS >= deadline:
                raise failure
            await asyncio.sleep(_APPEND_RETRY_SECONDS)
