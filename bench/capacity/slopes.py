"""Results of measurements: points at several sizes and the line fitted to them."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy


@dataclass(frozen=True, slots=True)
class Point:
    """One measured value at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line fitted to points of one quantity.

    :param unit: unit of the value, such as ``bytes/s``.
    :param per: what the size counts, such as ``hosts``.
    :param is_flat: whether the value does not grow with the size by design. The
        highest point is then taken for all sizes.
    """

    name: str
    unit: str
    per: str
    points: list[Point]
    is_flat: bool = False

    def _line(self) -> tuple[float, float]:
        if self.is_flat:
            return 0.0, max(point.value for point in self.points)
        sizes = [point.size for point in self.points]
        values = [point.value for point in self.points]
        if len(set(sizes)) < 2:
            return 0.0, float(numpy.mean(values))
        slope, base = numpy.polyfit(sizes, values, 1)
        return float(slope), float(base)

    def at(self, size: float) -> float:
        """Return the value that the line gives at ``size``."""
        slope, base = self._line()
        return base + slope * size

    def as_dict(self) -> dict[str, Any]:
        """Return the slope as a JSON object."""
        slope, base = self._line()
        return {
            "name": self.name,
            "unit": self.unit,
            "per": self.per,
            "slope": slope,
            "base": base,
            "points": [[point.size, point.value] for point in self.points],
        }


def cpu_seconds(function: Callable[[], Any]) -> float:
    """Return the CPU time of a call of ``function``, in seconds."""
    started_at = time.process_time()
    function()
    return time.process_time() - started_at


def allocated_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes allocated by the objects that ``build`` returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return after - before
