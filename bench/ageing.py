"""A trial of affinity by key ranges with an ageing histogram.

After Sect. 5 of P. Tözün, I. Pandis, R. Johnson, A. Ailamaki, "Scalable and
dynamically balanced shared-everything OLTP with physiological partitioning": each
engine serves a range of the prefixes' hashes; the load of the ranges' parts is
counted with weights that fall with age; where the queues differ, parts move to
the neighbouring range.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import xxhash

from cranberryrun.routing import Candidate, RoutingHints, RoutingPolicy

_PARTS_PER_RANGE = 32
_AGES = 5
_AGE_SECONDS = 5.0
_CHECK_SECONDS = 1.0
_IMBALANCE = 1.5
_TOLERANCE = 0.1
_HASH_BITS = 64


class AgeingHistogram:
    """Counts uses of each part of the key space; recent ones weigh more."""

    def __init__(self, parts: int) -> None:
        self._counts = [[0] * _AGES for _ in range(parts)]
        self._age = 0
        self._aged_at = 0.0

    def count(self, part: int, now: float) -> None:
        """Count one use of ``part``."""
        while now - self._aged_at >= _AGE_SECONDS:
            self._aged_at = max(
                self._aged_at + _AGE_SECONDS, now - _AGE_SECONDS * _AGES
            )
            self._age = (self._age + 1) % _AGES
            for row in self._counts:
                row[self._age] = 0
        self._counts[part][self._age] += 1

    def load(self, part: int) -> float:
        """Return the part's load, each age weighing 1 / (1 + its age)."""
        row = self._counts[part]
        return sum(
            row[(self._age - back) % _AGES] / (back + 1) for back in range(_AGES)
        )


class AgeingRanges(RoutingPolicy):
    """The engine whose range holds the prefix; ranges follow the queues."""

    def __init__(self, otherwise: RoutingPolicy) -> None:
        self._otherwise = otherwise
        self._owners: list[str] = []
        self._bounds: list[int] = []
        self._histogram = AgeingHistogram(1)
        self._checked_at = 0.0

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        if hints.prefix is None or not candidates:
            return self._otherwise.choose(candidates, hints)
        by_id = {each.id: each for each in candidates}
        self._take_in(sorted(by_id))
        now = asyncio.get_running_loop().time()
        if now - self._checked_at >= _CHECK_SECONDS:
            self._checked_at = now
            self._balance(by_id)
        parts = self._bounds[-1]
        part = xxhash.xxh3_64_intdigest(hints.prefix.encode()) * parts >> _HASH_BITS
        self._histogram.count(part, now)
        place = next(i for i, bound in enumerate(self._bounds) if part < bound)
        owner = by_id.get(self._owners[place])
        return owner or self._otherwise.choose(candidates, hints)

    def _take_in(self, ids: list[str]) -> None:
        """Begin with equal ranges; an engine that is away keeps its range."""
        if set(ids) <= set(self._owners):
            return
        self._owners = ids
        self._bounds = [_PARTS_PER_RANGE * (i + 1) for i in range(len(ids))]
        self._histogram = AgeingHistogram(self._bounds[-1])

    def _balance(self, by_id: dict[str, Candidate]) -> None:
        queues = [
            (by_id[owner].load * by_id[owner].slots if owner in by_id else 0.0) + 1
            for owner in self._owners
        ]
        ideal = sum(queues) / len(queues)
        if max(queues) < ideal * _IMBALANCE:
            return
        loads = [self._load(place) for place in range(len(self._owners))]
        tolerance = _TOLERANCE * sum(loads) / len(loads)
        for place in range(len(self._owners) - 1):
            wanted = ideal * loads[place] / queues[place]
            self._resize(place, wanted, tolerance)

    def _load(self, place: int) -> float:
        start = self._bounds[place - 1] if place else 0
        return sum(self._histogram.load(i) for i in range(start, self._bounds[place]))

    def _resize(self, place: int, wanted: float, tolerance: float) -> None:
        """Move parts between a range and its right neighbour."""
        start = self._bounds[place - 1] if place else 0
        load = self._load(place)
        while (
            load < wanted - tolerance
            and self._bounds[place] + 1 < self._bounds[place + 1]
        ):
            load += self._histogram.load(self._bounds[place])
            self._bounds[place] += 1
        while load > wanted + tolerance and self._bounds[place] > start + 1:
            self._bounds[place] -= 1
            load -= self._histogram.load(self._bounds[place])
