"""Routing policies, which choose the target of a request or a stream."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from .rendezvous import owner_of

_SAMPLE_SIZE = 8
_AFFINITY_MARGIN_STREAMS = 1.0
_MAX_LOAD_FACTOR = 1.25
_CROSS_ZONE_COST_STREAMS = 0.5
_REPORT_HALF_LIFE_SECONDS = 2.0


@dataclass(slots=True)
class Candidate:
    """A target that may be chosen.

    ``in_flight`` counts this host's own requests or streams at the target;
    ``reported`` is the number that the target reported ``report_age`` seconds ago;
    ``slots`` is how many it runs at once. ``penalty`` is an additional load for a
    disadvantage such as old weights; see :func:`exclude_penalized`.
    """

    id: str
    zone: str
    slots: int = 1
    in_flight: int = 0
    reported: int = 0
    report_age: float = float("inf")
    penalty: float = 0.0

    @property
    def load(self) -> float:
        """Expected load per slot, from the own count and the age-weighted report."""
        weight = 0.5 ** (self.report_age / _REPORT_HALF_LIFE_SECONDS)
        expected = max(self.in_flight, self.reported * weight)
        return expected / self.slots


@dataclass(frozen=True, slots=True)
class RoutingHints:
    """The routing preferences of a request or stream.

    ``zone`` is the availability zone to stay in. Requests with the same ``prefix``
    should go to the same target, which has it in its cache.
    """

    zone: str
    prefix: str | None = None


def exclude_penalized(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates, except those with a penalty and a better alternative.

    A candidate with a penalty stays only if no other has a lower sum of load and
    penalty.
    """
    least_cost = min(
        (candidate.load + candidate.penalty for candidate in candidates), default=0.0
    )
    return [
        candidate
        for candidate in candidates
        if not candidate.penalty or candidate.load + candidate.penalty <= least_cost
    ]


class RoutingPolicy(ABC):
    """Chooses one of several usable candidates."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """Return the candidate to use; None if ``candidates`` is empty."""


class LeastLoaded(RoutingPolicy):
    """Chooses the least loaded of a few random candidates.

    A candidate in another zone counts as more loaded by half a stream.

    :param sample_size: how many candidates are compared.
    """

    def __init__(self, rng: random.Random, sample_size: int = _SAMPLE_SIZE) -> None:
        self._rng = rng
        self._sample_size = sample_size

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        sampled = self._rng.sample(candidates, min(self._sample_size, len(candidates)))
        return min(sampled, key=lambda candidate: _cost(candidate, hints), default=None)


class BoundedAffinity(RoutingPolicy):
    """Chooses the target that rendezvous hashing prefers for the prefix.

    Targets whose load is above a limit are left out of the hashing. Without a
    prefix, the choice is left to ``fallback``.

    :param margin_streams: how many streams more than the least loaded target one
        may always have.
    :param max_load_factor: how many times the mean load a target may have.
    """

    def __init__(
        self,
        fallback: RoutingPolicy,
        margin_streams: float = _AFFINITY_MARGIN_STREAMS,
        max_load_factor: float = _MAX_LOAD_FACTOR,
    ) -> None:
        self._fallback = fallback
        self._margin_streams = margin_streams
        self._max_load_factor = max_load_factor

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        if hints.prefix is None or not candidates:
            return self._fallback.choose(candidates, hints)
        least_loaded = min(candidates, key=lambda candidate: candidate.load)
        mean = sum(candidate.load for candidate in candidates) / len(candidates)
        limit = max(
            least_loaded.load + self._margin_streams / least_loaded.slots,
            mean * self._max_load_factor,
        )
        within_limit = {
            candidate.id: candidate
            for candidate in candidates
            if candidate.load <= limit
        }
        preferred = owner_of(within_limit, hints.prefix)
        return within_limit[preferred] if preferred is not None else None


def _cost(candidate: Candidate, hints: RoutingHints) -> float:
    cross_zone_cost = (
        0.0
        if candidate.zone == hints.zone
        else _CROSS_ZONE_COST_STREAMS / candidate.slots
    )
    return candidate.load + cross_zone_cost
