"""Meters of the streams that run through this host."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from . import clock
from .usage_ledger import Amount


@dataclass(slots=True)
class Meter:
    """Counts one stream. Its engine-seconds begin with its first piece.

    ``slots`` is how many streams its engine runs at once.
    """

    workload: str
    slots: int
    tokens: int = 0
    since: float | None = None

    def add(self, tokens: int) -> None:
        """Count a piece."""
        self.tokens += tokens
        if self.since is None:
            self.since = clock.now()

    def take(self) -> Amount:
        """Return what has been used since the last call."""
        now = clock.now()
        seconds = 0.0 if self.since is None else now - self.since
        amount = Amount(engine_seconds=seconds / self.slots, tokens=self.tokens)
        self.tokens = 0
        self.since = None if self.since is None else now
        return amount


class UsageCounter:
    """What this host's streams have used since it was last asked."""

    def __init__(self) -> None:
        self._meter_by_id: dict[int, Meter] = {}
        self._ended_by_workload: dict[str, Amount] = {}

    @contextmanager
    def stream(self, workload: str, slots: int) -> Iterator[Meter]:
        """Count one stream for the time of the block."""
        meter = Meter(workload, slots)
        self._meter_by_id[id(meter)] = meter
        try:
            yield meter
        finally:
            del self._meter_by_id[id(meter)]
            self._count(meter)

    def _count(self, meter: Meter) -> None:
        amount = self._ended_by_workload.setdefault(meter.workload, Amount())
        amount.add(meter.take())

    def take(self) -> dict[str, Amount]:
        """Return all use since the last call, by workload."""
        for meter in self._meter_by_id.values():
            self._count(meter)
        taken, self._ended_by_workload = self._ended_by_workload, {}
        return {
            name: amount
            for name, amount in taken.items()
            if amount.engine_seconds or amount.tokens
        }
