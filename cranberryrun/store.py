"""The platform's store: topics of records, newest values by key, groups of members."""

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


@dataclass(frozen=True, slots=True)
class GroupShare:
    """What a member of a group holds.

    ``generation`` rises with each change of the group, so a partition has one holder
    in a generation.
    """

    generation: int
    partitions: frozenset[int]


class Store(Service):
    """What the product asks of the platform's store. Only adapters know its wire.

    Every method raises :exc:`~.exceptions.LogReadError` or
    :exc:`~.exceptions.LogUnavailableError` where certainly nothing was done.
    """

    name = "store"

    @abstractmethod
    async def append(self, topic: str, records: list[bytes]) -> int:
        """Append ``records`` in one call, all or none; return the first's offset.

        :raises LogUnavailableError: nothing was appended.
        :raises AppendUnknownError: nobody can tell; it may still be appended later.
        """

    @abstractmethod
    async def read(self, topic: str, start: int, wait: float) -> Page:
        """Return records from ``start`` on, waiting ``wait`` seconds for the first.

        :raises LogGapError: the records at ``start`` are no longer kept; its
            ``first`` is the oldest that is.
        :raises LogReadError: the store can't be read.
        """

    @abstractmethod
    async def newest(self, topic: str) -> Newest:
        """Return the newest record of each key of a keyed topic.

        :raises LogReadError: the store can't be read.
        """

    @abstractmethod
    def keyed(self, record: bytes) -> KeyedRecord | None:
        """Split a record that was read from a keyed topic; None if it is malformed."""

    @abstractmethod
    async def join(
        self, group: str, member: str, topic: str, ttl: float, generation: int
    ) -> GroupShare:
        """Join ``group`` or stay in it for ``ttl`` seconds more.

        :param generation: the last one that this member was given; 0 at first.
        :raises LogUnavailableError: the membership was not renewed.
        """

    @abstractmethod
    async def leave(self, group: str, member: str) -> None:
        """Leave ``group`` at once.

        :raises LogUnavailableError: the membership ends when it lapses.
        """
