"""What a measurement gives: points at several sizes and the line through them."""

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

    :param unit: of the value, such as ``bytes/s``.
    :param per: what the size counts, such as ``hosts``.
    :param is_flat: whether the design keeps the value from growing with the size;
        the highest point then stands for all sizes.
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


def cpu_seconds(work: Callable[[], Any]) -> float:
    """Return the processor time that ``work`` takes, in seconds."""
    began = time.process_time()
    work()
    return time.process_time() - began


def allocated_bytes(build: Callable[[], Any]) -> int:
    """Return how many bytes the objects that ``build`` returns hold."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before
