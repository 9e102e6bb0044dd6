"""Follows a small keyed topic that hosts share, with long polls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..exceptions import LogGapError, LogReadError
from ..store import KeyedRecord, Store

# A poll may miss a record, which the next poll then finds.
_POLL_SECONDS = 2.0
# Several records that are written together cause one read at each host.
_READ_INTERVAL_SECONDS = 0.2
_RETRY_DELAY_SECONDS = 0.5


class KeyedFollower:
    """Reads a keyed topic and passes on each change of a key.

    :param apply: called with each new record; a value of None removes the key.
    :param read_interval: pause after each read, in seconds.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        apply: Callable[[KeyedRecord], None],
        read_interval: float = _READ_INTERVAL_SECONDS,
    ) -> None:
        self._store = store
        self._topic = topic
        self._apply = apply
        self._read_interval = read_interval
        self._keys: set[str] = set()
        self.next_offset: int | None = None

    async def run(self) -> None:
        """Follow the topic without end."""
        while True:
            try:
                await self._read()
            except LogGapError:
                self.next_offset = None
                continue
            except LogReadError:
                # Not logged here: the directory logs outages of the store.
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
                continue
            await asyncio.sleep(self._read_interval)

    async def _read(self) -> None:
        if self.next_offset is None:
            newest = await self._store.newest(self._topic)
            self.next_offset = newest.next
            present = {record.key for record in newest.records}
            for key in self._keys - present:
                self._pass_on(KeyedRecord(key, None))
            for record in newest.records:
                self._pass_on(record)
            return
        page = await self._store.read(self._topic, self.next_offset, _POLL_SECONDS)
        self.next_offset = page.next
        for raw in page.records:
            record = self._store.parse_keyed_record(raw)
            if record is not None:
                self._pass_on(record)

    def _pass_on(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._keys.discard(record.key)
        else:
            self._keys.add(record.key)
        self._apply(record)
