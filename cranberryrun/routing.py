"""Which target gets a piece of work: the policies, each behind one base class."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from .rendezvous import owner_of

_DRAWN = 8
_MARGIN = 1.0
_BOUND = 1.25
_ZONE_MARGIN = 0.5
_REPORT_HALF_LIFE_SECONDS = 2.0


@dataclass(slots=True)
class Candidate:
    """A target that may be chosen.

    ``in_flight`` is this host's own count; ``reported`` is how much work the
    target said it had, ``report_age`` seconds ago; ``slots`` is what it runs at
    once. ``penalty`` is a load that stands for what else speaks against it; see
    :func:`worthwhile`.
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
        """Expected work per slot: own count and the report, aged."""
        weight = 0.5 ** (self.report_age / _REPORT_HALF_LIFE_SECONDS)
        work = max(self.in_flight, self.reported * weight)
        return work / self.slots


@dataclass(frozen=True, slots=True)
class RoutingHints:
    """What the work asks of its target. ``prefix`` is a key for cache affinity."""

    zone: str
    prefix: str | None = None


def worthwhile(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates without those whose penalty outweighs their room."""
    least = min((each.load + each.penalty for each in candidates), default=0.0)
    return [
        each
        for each in candidates
        if not each.penalty or each.load + each.penalty <= least
    ]


class RoutingPolicy(ABC):
    """Chooses one of several usable candidates."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """Return the candidate to use; None if there is none."""


class LeastLoaded(RoutingPolicy):
    """The least loaded of a few random candidates.

    A candidate in the same zone may have a little more to do than the others.

    :param drawn: how many candidates are compared.
    """

    def __init__(self, rng: random.Random, drawn: int = _DRAWN) -> None:
        self._rng = rng
        self._drawn = drawn

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        drawn = self._rng.sample(candidates, min(self._drawn, len(candidates)))
        return min(drawn, key=lambda each: _cost(each, hints), default=None)


class BoundedAffinity(RoutingPolicy):
    """The prefix's favourite by rendezvous hash, unless others have less to do.

    Without a prefix, what ``otherwise`` chooses.

    :param margin: how many streams more than the least loaded the favourite may
        always have.
    :param bound: how many times the mean load it may have.
    """

    def __init__(
        self,
        otherwise: RoutingPolicy,
        margin: float = _MARGIN,
        max_load_factor: float = _BOUND,
    ) -> None:
        self._otherwise = otherwise
        self._margin = margin
        self._bound = max_load_factor

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        if hints.prefix is None or not candidates:
            return self._otherwise.choose(candidates, hints)
        least = min(candidates, key=lambda each: each.load)
        mean = sum(each.load for each in candidates) / len(candidates)
        limit = max(least.load + self._margin / least.slots, mean * self._bound)
        roomy = {each.id: each for each in candidates if each.load <= limit}
        favourite = owner_of(roomy, hints.prefix)
        return roomy[favourite] if favourite is not None else None


def _cost(candidate: Candidate, hints: RoutingHints) -> float:
    far = 0.0 if candidate.zone == hints.zone else _ZONE_MARGIN / candidate.slots
    return candidate.load + far
