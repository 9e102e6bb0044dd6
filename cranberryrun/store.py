"""The platform's store: topics of records, and newest values by key."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass

from .kernel import Service


@dataclass(frozen=True, slots=True)
class Page:
    """What one read of a topic returned.

    ``next`` is the offset to read from next. ``end`` is one past the newest record
    at the time of the read, so the reader is up to date if both are equal.
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
    """One record of a keyed topic. A ``value`` of None removes the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key, and the offset from which to read on."""

    records: list[KeyedRecord]
    next: int


class Store(Service):
    """What the product asks of the platform's store. Only adapters know its wire.

    Every method raises :exc:`~.exceptions.LogReadError` or
    :exc:`~.exceptions.LogUnavailableError` where certainly nothing was done.
    """

    name = "store"

    @abstractmethod
    async def append(
        self, topic: str, records: list[bytes], at: int | None = None
    ) -> int:
        """Append ``records`` in one call, all or none; return the first's offset.

        :param at: append only if the topic ends at this offset.
        :raises AppendConflictError: the topic does not end there.
        :raises LogUnavailableError: nothing was appended.
        :raises AppendUnknownError: nobody can tell; it may still be appended later.
        """

    @abstractmethod
    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Set the newest value of ``key`` in a keyed topic.

        :raises LogUnavailableError: it was not set.
        :raises AppendUnknownError: nobody can tell.
        """

    @abstractmethod
    async def read(self, topic: str, start: int, wait: float) -> Page:
        """Return records from ``start`` on, waiting ``wait`` seconds for the first.

        :raises LogGapError: the records at ``start`` are no longer kept; its
            ``first`` is the oldest that is.
        :raises LogReadError: the store can't be read.
        """

    @abstractmethod
    async def trim(self, topic: str, before: int) -> None:
        """Let the records before an offset be deleted.

        :raises LogUnavailableError: they were not.
        :raises AppendUnknownError: nobody can tell.
        """

    @abstractmethod
    async def newest(self, topic: str) -> Newest:
        """Return the newest record of each key of a keyed topic.

        :raises LogReadError: the store can't be read.
        """

    @abstractmethod
    def keyed(self, record: bytes) -> KeyedRecord | None:
        """Split a record that was read from a keyed topic; None if it is malformed."""
