"""Where callers' streams began, known to all hosts through the store.

A caller that takes a stream up again may reach any host, also one that has just started
or whose own streams are others. The host that began a stream therefore writes its
origin to a topic before it passes the first event on, and a host that is asked to go on
with a stream it does not know reads the topic to its end.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError

from ..batches.reader import TopicReader
from ..events import Events
from ..exceptions import CranberryrunError, LogReadError, RefusedError
from ..fleet.origin import Origin
from ..kernel import Service
from ..store import Store
from .origin_table import OriginTable, stream_key

# The store allows 100 topics. A host reads one of these for a stream that it does not
# know.
_TOPIC_COUNT = 8
# The first event waits no longer for the store, which takes some milliseconds.
_RECORD_TIMEOUT_SECONDS = 0.15
_FIND_TIMEOUT_SECONDS = 0.4
_WRITE_RETRY_SECONDS = 0.3
_MAX_UNWRITTEN = 4096
_RETRY_AFTER_SECONDS = 0.5


class OriginUnknownError(RefusedError):
    """The store could not be asked where the stream began; it was not continued."""

    code = "origin_unknown"


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """A record of the topic. ``stream`` is the key of the stream."""

    stream: int
    service: str
    software: str


_RECORD_ADAPTER: TypeAdapter[OriginRecord] = TypeAdapter(OriginRecord)


def topic_of(key: int) -> str:
    """Return the topic that has the origin of a stream."""
    return f"stream-origins-{key % _TOPIC_COUNT}"


class StreamOrigins(Service):
    """Records and finds the origins of callers' streams."""

    name = "stream_origins"
    requires = ("events", "store")

    def __init__(self) -> None:
        super().__init__()
        self._table = OriginTable()
        self._reader_by_topic: dict[str, TopicReader] = {}
        self._unwritten: dict[int, OriginRecord] = {}
        self._written_by_key: dict[int, asyncio.Event] = {}
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Start writing origins in the background."""
        self.supervise(self._write)

    async def record(self, attempt_id: str, origin: Origin) -> None:
        """Return once the store has the origin of a stream that begins.

        If the store takes too long, the stream goes on and the origin is written when
        the store can be reached.
        """
        written = self.record_soon(attempt_id, origin)
        try:
            async with asyncio.timeout(_RECORD_TIMEOUT_SECONDS):
                await written.wait()
        except TimeoutError:
            self.kernel.get(Events).emit("stream_unrecorded", request=attempt_id)

    def record_soon(self, attempt_id: str, origin: Origin) -> asyncio.Event:
        """Record an origin in the background; return the event of its completion."""
        key = stream_key(attempt_id)
        self._table.record(key, origin)
        self._unwritten[key] = OriginRecord(key, origin.service, origin.software)
        while len(self._unwritten) > _MAX_UNWRITTEN:
            self._forget_oldest_unwritten()
        written = self._written_by_key.setdefault(key, asyncio.Event())
        self._wake.set()
        return written

    def _forget_oldest_unwritten(self) -> None:
        key = next(iter(self._unwritten))
        del self._unwritten[key]
        self._written_by_key.pop(key, None)

    async def find(self, attempt_id: str) -> Origin | None:
        """Return the origin of a stream; None if no host recorded one.

        :raises OriginUnknownError: the store can't be read.
        """
        key = stream_key(attempt_id)
        origin = self._table.get(key)
        if origin is not None:
            return origin
        try:
            async with asyncio.timeout(_FIND_TIMEOUT_SECONDS):
                await self._reader(topic_of(key)).catch_up()
        except (LogReadError, TimeoutError) as error:
            raise OriginUnknownError(
                f"can't read where stream {attempt_id} began: {error!r}",
                retry_after=_RETRY_AFTER_SECONDS,
            ) from None
        return self._table.get(key)

    def _reader(self, topic: str) -> TopicReader:
        reader = self._reader_by_topic.get(topic)
        if reader is None:
            reader = TopicReader(
                self.kernel, self.spawn, topic, self._apply, skips_are_normal=True
            )
            self._reader_by_topic[topic] = reader
        return reader

    def _apply(self, offset: int, raw: bytes) -> None:
        try:
            record = _RECORD_ADAPTER.validate_json(raw)
        except ValidationError as error:
            self.kernel.get(Events).emit(
                "record_invalid",
                topic="stream-origins",
                offset=offset,
                reason=str(error),
            )
            return
        self._table.record(record.stream, Origin(record.service, record.software))

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            by_topic: dict[str, list[OriginRecord]] = {}
            for key, record in self._unwritten.items():
                by_topic.setdefault(topic_of(key), []).append(record)
            written = await asyncio.gather(
                *(self._append(topic, records) for topic, records in by_topic.items())
            )
            if not all(written):
                self._wake.set()
                await asyncio.sleep(_WRITE_RETRY_SECONDS)

    async def _append(self, topic: str, records: list[OriginRecord]) -> bool:
        encoded = [_RECORD_ADAPTER.dump_json(record) for record in records]
        try:
            await self.kernel.get(Store).append(topic, encoded)
        except CranberryrunError:
            # Not logged here: the directory logs outages of the store. An append whose
            # outcome is not known is repeated, which changes nothing.
            return False
        for record in records:
            self._unwritten.pop(record.stream, None)
            written = self._written_by_key.pop(record.stream, None)
            if written is not None:
                written.set()
        return True
