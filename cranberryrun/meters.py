"""Usage metering of the streams that this host relays."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from . import clock
from .usage_ledger import Amount


@dataclass(slots=True)
class Meter:
    """Measures one stream; its engine time starts with its first piece.

    ``slots`` is the number of streams that its engine runs at the same time, by
    which the engine time is divided.
    """

    workload: str
    slots: int
    tokens: int = 0
    measured_since: float | None = None

    def add(self, tokens: int) -> None:
        """Count the tokens of a piece."""
        self.tokens += tokens
        if self.measured_since is None:
            self.measured_since = clock.now()

    def take(self) -> Amount:
        """Return the usage since the last call."""
        now = clock.now()
        seconds = 0.0 if self.measured_since is None else now - self.measured_since
        amount = Amount(engine_seconds=seconds / self.slots, tokens=self.tokens)
        self.tokens = 0
        self.measured_since = None if self.measured_since is None else now
        return amount


class UsageCounter:
    """Sums up the usage of this host's streams by workload."""

    def __init__(self) -> None:
        self._meter_by_id: dict[int, Meter] = {}
        self._ended_by_workload: dict[str, Amount] = {}

    @contextmanager
    def stream(self, workload: str, slots: int) -> Iterator[Meter]:
        """Measure one stream for the duration of the block."""
        meter = Meter(workload, slots)
        self._meter_by_id[id(meter)] = meter
        try:
            yield meter
        finally:
            del self._meter_by_id[id(meter)]
            self._add_usage(meter)

    def _add_usage(self, meter: Meter) -> None:
        amount = self._ended_by_workload.setdefault(meter.workload, Amount())
        amount.add(meter.take())

    def take(self) -> dict[str, Amount]:
        """Return the usage since the last call, by workload."""
        for meter in self._meter_by_id.values():
            self._add_usage(meter)
        usage_by_workload, self._ended_by_workload = self._ended_by_workload, {}
        return {
            name: amount
            for name, amount in usage_by_workload.items()
            if amount.engine_seconds or amount.tokens
        }
