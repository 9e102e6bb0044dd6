"""Engine use by workload and day, as a function of the log's usage records.

A record counts once, however often it was appended: it goes by its host, the
host's incarnation and its number.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, Literal

from pydantic import Field, ValidationError

from .models import Model, Name

_DAY_SECONDS = 86_400
_KEPT_DAYS = 400
_KEPT_SOURCES = 2_000


class Amount(Model):
    """What a workload used. ``rate`` is its declared one, in engines."""

    engine_seconds: float = Field(default=0.0, ge=0)
    tokens: int = Field(default=0, ge=0)
    rate: float = Field(default=0.0, ge=0)

    def add(self, other: Amount) -> None:
        """Count ``other`` too; the later one's declared rate holds."""
        self.engine_seconds += other.engine_seconds
        self.tokens += other.tokens
        self.rate = other.rate


class UsageRecord(Model):
    """What ran through one host for a while; ``ended`` is in seconds since 1970."""

    record: Literal["usage"] = "usage"
    host: Name
    incarnation: int
    number: int = Field(ge=0)
    ended: float
    by_workload: dict[Name, Amount]


class SourceSeen(Model):
    """Which numbers of a host's incarnation have been counted.

    All below ``below``, and those of ``beyond``.
    """

    below: int = 0
    beyond: list[int] = Field(default_factory=list)


class RollupRecord(Model):
    """All use up to and with the offset ``covers``."""

    record: Literal["rollup"] = "rollup"
    covers: int
    by_day: dict[int, dict[Name, Amount]]
    seen: dict[str, SourceSeen]


@dataclass(slots=True)
class UsageLedger:
    """All use that has been read, up to and with ``offset``.

    Days are counted from 1970 (UTC).
    """

    offset: int = -1
    by_day: dict[int, dict[str, Amount]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    seen_by_source: dict[str, SourceSeen] = field(default_factory=dict)

    def apply(self, offset: int, value: Any) -> bool:
        """Count the record at ``offset``; say whether it was a new one."""
        if offset <= self.offset:
            return False
        self.offset = offset
        if not isinstance(value, dict) or value.get("record") != "usage":
            return False
        try:
            record = UsageRecord.model_validate(value)
        except ValidationError:
            return False
        if not self._first(record):
            return False
        amounts = self.by_day[int(record.ended // _DAY_SECONDS)]
        for workload, amount in record.by_workload.items():
            amounts.setdefault(workload, Amount()).add(amount)
        return True

    def _first(self, record: UsageRecord) -> bool:
        """Note the record's number; say whether it was not noted before."""
        source = f"{record.host}/{record.incarnation}"
        seen = self.seen_by_source.pop(source, None) or SourceSeen()
        # The sources that wrote last stand last, and the first ones are dropped.
        self.seen_by_source[source] = seen
        if len(self.seen_by_source) > _KEPT_SOURCES:
            del self.seen_by_source[next(iter(self.seen_by_source))]
        if record.number < seen.below or record.number in seen.beyond:
            return False
        seen.beyond.append(record.number)
        while seen.below in seen.beyond:
            seen.beyond.remove(seen.below)
            seen.below += 1
        return True

    def rollup(self) -> RollupRecord:
        """Return all as one record, without days that are long past."""
        newest = max(self.by_day, default=0)
        by_day = {
            day: amounts
            for day, amounts in self.by_day.items()
            if day > newest - _KEPT_DAYS
        }
        return RollupRecord(
            covers=self.offset, by_day=by_day, seen=dict(self.seen_by_source)
        )

    @classmethod
    def load(cls, record: RollupRecord) -> UsageLedger:
        """Return the ledger that ``record`` was made from."""
        copy = record.model_copy(deep=True)
        return cls(copy.covers, defaultdict(dict, copy.by_day), copy.seen)

    def days(self, workload: str) -> list[tuple[int, Amount]]:
        """Return the workload's use by day, oldest first; days without any too."""
        used = sorted(day for day, row in self.by_day.items() if workload in row)
        if not used:
            return []
        return [
            (day, self.by_day.get(day, {}).get(workload, Amount()))
            for day in range(used[0], used[-1] + 1)
        ]

    def workloads(self) -> list[str]:
        """Return the names of all workloads that used anything."""
        return sorted({name for row in self.by_day.values() for name in row})
