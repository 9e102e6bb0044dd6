"""Engine usage per workload and day, computed from the usage records in the log.

A record counts once even if it was appended several times: the host, the host's
incarnation and the record's number identify it.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, Literal

from pydantic import Field, ValidationError

from .models import Model, Name

_DAY_SECONDS = 86_400
_RETENTION_DAYS = 400
_MAX_SOURCES = 2_000


class Amount(Model):
    """The usage of a workload; ``rate`` is its declared rate in engines."""

    engine_seconds: float = Field(default=0.0, ge=0)
    tokens: int = Field(default=0, ge=0)
    rate: float = Field(default=0.0, ge=0)

    def add(self, other: Amount) -> None:
        """Add ``other``, which is the later one, and adopt its declared rate."""
        self.engine_seconds += other.engine_seconds
        self.tokens += other.tokens
        self.rate = other.rate


class UsageRecord(Model):
    """The usage through one host in a period until ``ended``, in seconds since 1970."""

    record: Literal["usage"] = "usage"
    host: Name
    incarnation: int
    number: int = Field(ge=0)
    ended: float
    by_workload: dict[Name, Amount]


class SourceSeen(Model):
    """The record numbers of one host incarnation that have been counted.

    These are all numbers below ``below`` and those in ``beyond``.
    """

    below: int = 0
    beyond: list[int] = Field(default_factory=list)


class RollupRecord(Model):
    """The total of all records up to and including the log offset ``covers``."""

    record: Literal["rollup"] = "rollup"
    covers: int
    by_day: dict[int, dict[Name, Amount]]
    seen: dict[str, SourceSeen]


@dataclass(slots=True)
class UsageLedger:
    """The usage in all records up to and including the log offset ``offset``.

    Days are numbered from 1970-01-01 (UTC).
    """

    offset: int = -1
    by_day: dict[int, dict[str, Amount]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    counted_by_source: dict[str, SourceSeen] = field(default_factory=dict)

    def apply(self, offset: int, value: Any) -> bool:
        """Count the record at ``offset``; return whether it was valid and new."""
        if offset <= self.offset:
            return False
        self.offset = offset
        if not isinstance(value, dict) or value.get("record") != "usage":
            return False
        try:
            record = UsageRecord.model_validate(value)
        except ValidationError:
            return False
        if not self._mark_counted(record):
            return False
        amounts = self.by_day[int(record.ended // _DAY_SECONDS)]
        for workload, amount in record.by_workload.items():
            amounts.setdefault(workload, Amount()).add(amount)
        return True

    def _mark_counted(self, record: UsageRecord) -> bool:
        """Mark the record's number as counted; return whether it is new."""
        source = f"{record.host}/{record.incarnation}"
        seen = self.counted_by_source.pop(source, None) or SourceSeen()
        # The dict is ordered by the last write, so the least recent source is dropped.
        self.counted_by_source[source] = seen
        if len(self.counted_by_source) > _MAX_SOURCES:
            del self.counted_by_source[next(iter(self.counted_by_source))]
        if record.number < seen.below or record.number in seen.beyond:
            return False
        seen.beyond.append(record.number)
        while seen.below in seen.beyond:
            seen.beyond.remove(seen.below)
            seen.below += 1
        return True

    def rollup(self) -> RollupRecord:
        """Return the ledger as one record, limited to the most recent days."""
        newest = max(self.by_day, default=0)
        by_day = {
            day: amounts
            for day, amounts in self.by_day.items()
            if day > newest - _RETENTION_DAYS
        }
        return RollupRecord(
            covers=self.offset, by_day=by_day, seen=dict(self.counted_by_source)
        )

    @classmethod
    def load(cls, record: RollupRecord) -> UsageLedger:
        """Restore the ledger from a roll-up record."""
        copy = record.model_copy(deep=True)
        return cls(copy.covers, defaultdict(dict, copy.by_day), copy.seen)

    def days(self, workload: str) -> list[tuple[int, Amount]]:
        """Return the workload's usage by day, oldest first, including unused days."""
        used = sorted(
            day for day, amounts in self.by_day.items() if workload in amounts
        )
        if not used:
            return []
        return [
            (day, self.by_day.get(day, {}).get(workload, Amount()))
            for day in range(used[0], used[-1] + 1)
        ]

    def workloads(self) -> list[str]:
        """Return the sorted names of all workloads with any usage."""
        return sorted({name for amounts in self.by_day.values() for name in amounts})
