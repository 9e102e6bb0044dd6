"""Interface of the platform's store: append-only topics and keyed topics."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass

from .kernel import Service


@dataclass(frozen=True, slots=True)
class Page:
    """The result of one read of a topic.

    ``start`` is the offset of the first record and ``next`` the offset to read
    next. ``end`` is one past the newest record at the time of the read, so the
    reader is up to date if ``next`` equals ``end``.
    """

    start: int
    records: list[bytes]
    end: int

    @property
    def next(self) -> int:
        """The offset after the last record of the page."""
        return self.start + len(self.records)


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic. A ``value`` of None deletes the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key, and the offset from which to continue reading."""

    records: list[KeyedRecord]
    next: int


class Store(Service):
    """The operations that cranberryrun needs from the platform's store.

    Adapters implement them; the wire protocol is known only there. A method raises
    :exc:`~.exceptions.LogReadError` or :exc:`~.exceptions.LogUnavailableError` only
    if the operation had no effect.
    """

    name = "store"

    @abstractmethod
    async def append(
        self, topic: str, records: list[bytes], at: int | None = None
    ) -> int:
        """Append ``records`` atomically and return the offset of the first one.

        :param at: append only if the topic ends at this offset; None appends always.
        :raises AppendConflictError: the topic does not end at ``at``.
        :raises LogUnavailableError: nothing was appended.
        :raises AppendUnknownError: the records may have been appended, or may still
            be appended later.
        """

    @abstractmethod
    async def put(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> None:
        """Set the newest value of ``key`` in a keyed topic; an empty one removes it.

        :param at: set it only if the topic ends at this offset; None sets it always.
        :raises AppendConflictError: the topic does not end at ``at``.
        :raises LogUnavailableError: the value was not set.
        :raises AppendUnknownError: the value may have been set.
        """

    @abstractmethod
    async def read(self, topic: str, start: int, wait: float) -> Page:
        """Return the records from offset ``start`` on.

        :param wait: seconds to wait for the first record.
        :raises LogGapError: the record at ``start`` is no longer retained; the
            error's ``first`` is the oldest retained offset.
        :raises LogReadError: the store can't be read.
        """

    @abstractmethod
    async def trim(self, topic: str, before: int) -> None:
        """Allow the store to delete the records below offset ``before``.

        :raises LogUnavailableError: nothing was trimmed.
        :raises AppendUnknownError: the topic may have been trimmed.
        """

    @abstractmethod
    async def newest(self, topic: str) -> NewestRecords:
        """Return the newest record of each key of a keyed topic.

        :raises LogReadError: the store can't be read.
        """

    @abstractmethod
    def parse_keyed_record(self, record: bytes) -> KeyedRecord | None:
        """Parse a raw record of a keyed topic; return None if it is malformed."""
