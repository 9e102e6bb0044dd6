"""Affinity by key ranges that are balanced with an ageing histogram.

Based on Sect. 5 of P. Tözün, I. Pandis, R. Johnson, A. Ailamaki, "Scalable and
dynamically balanced shared-everything OLTP with physiological partitioning": each
engine serves a range of prefix hashes, which is divided into parts. The uses of each
part are counted with weights that fall with age. If the queues of the engines differ
too much, parts move to the neighbouring range.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import xxhash

from cranberryrun.routing import Candidate, RoutingHints, RoutingPolicy

_PARTS_PER_RANGE = 32
_AGE_COUNT = 5
_AGE_SECONDS = 5.0
_BALANCE_INTERVAL_SECONDS = 1.0
_IMBALANCE_RATIO = 1.5
_TOLERANCE_RATIO = 0.1
_HASH_BITS = 64


class AgeingHistogram:
    """Counts the uses of each part of the key space; recent uses weigh more.

    Uses are counted per period of ``_AGE_SECONDS``; an age is a number of periods.
    """

    def __init__(self, parts: int) -> None:
        self._counts = [[0] * _AGE_COUNT for _ in range(parts)]
        self._newest_age = 0
        self._newest_age_started_at = 0.0

    def count(self, part: int, now: float) -> None:
        """Count one use of ``part``."""
        while now - self._newest_age_started_at >= _AGE_SECONDS:
            self._newest_age_started_at = max(
                self._newest_age_started_at + _AGE_SECONDS,
                now - _AGE_SECONDS * _AGE_COUNT,
            )
            self._newest_age = (self._newest_age + 1) % _AGE_COUNT
            for row in self._counts:
                row[self._newest_age] = 0
        self._counts[part][self._newest_age] += 1

    def load(self, part: int) -> float:
        """Return the load of ``part``: the sum of uses, weighted by 1 / (1 + age)."""
        row = self._counts[part]
        return sum(
            row[(self._newest_age - age) % _AGE_COUNT] / (age + 1)
            for age in range(_AGE_COUNT)
        )


class RangeAffinity(RoutingPolicy):
    """The engine whose range holds the prefix; ranges adapt to the queues.

    Without a prefix, or if that engine is no candidate, what ``fallback`` chooses.
    """

    def __init__(self, fallback: RoutingPolicy) -> None:
        self._fallback = fallback
        self._owners: list[str] = []
        self._bounds: list[int] = []
        self._histogram = AgeingHistogram(1)
        self._balanced_at = 0.0

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        if hints.prefix is None or not candidates:
            return self._fallback.choose(candidates, hints)
        by_id = {each.id: each for each in candidates}
        self._reset_if_engines_joined(sorted(by_id))
        now = asyncio.get_running_loop().time()
        if now - self._balanced_at >= _BALANCE_INTERVAL_SECONDS:
            self._balanced_at = now
            self._balance(by_id)
        parts = self._bounds[-1]
        part = xxhash.xxh3_64_intdigest(hints.prefix.encode()) * parts >> _HASH_BITS
        self._histogram.count(part, now)
        index = next(i for i, bound in enumerate(self._bounds) if part < bound)
        owner = by_id.get(self._owners[index])
        return owner or self._fallback.choose(candidates, hints)

    def _reset_if_engines_joined(self, ids: list[str]) -> None:
        """Reset to equal ranges if an engine is new; a missing one keeps its range."""
        if set(ids) <= set(self._owners):
            return
        self._owners = ids
        self._bounds = [_PARTS_PER_RANGE * (i + 1) for i in range(len(ids))]
        self._histogram = AgeingHistogram(self._bounds[-1])

    def _balance(self, by_id: dict[str, Candidate]) -> None:
        """Resize the ranges if the longest queue is far above the mean."""
        queues = [
            (by_id[owner].load * by_id[owner].slots if owner in by_id else 0.0) + 1
            for owner in self._owners
        ]
        mean_queue = sum(queues) / len(queues)
        if max(queues) < mean_queue * _IMBALANCE_RATIO:
            return
        loads = [self._load(index) for index in range(len(self._owners))]
        tolerance = _TOLERANCE_RATIO * sum(loads) / len(loads)
        for index in range(len(self._owners) - 1):
            target_load = mean_queue * loads[index] / queues[index]
            self._resize(index, target_load, tolerance)

    def _load(self, index: int) -> float:
        start = self._bounds[index - 1] if index else 0
        return sum(self._histogram.load(i) for i in range(start, self._bounds[index]))

    def _resize(self, index: int, target_load: float, tolerance: float) -> None:
        """Move parts to or from the next range until the load is near the target."""
        start = self._bounds[index - 1] if index else 0
        load = self._load(index)
        while (
            load < target_load - tolerance
            and self._bounds[index] + 1 < self._bounds[index + 1]
        ):
            load += self._histogram.load(self._bounds[index])
            self._bounds[index] += 1
        while load > target_load + tolerance and self._bounds[index] > start + 1:
            self._bounds[index] -= 1
            load -= self._histogram.load(self._bounds[index])
