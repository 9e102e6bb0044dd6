"""Which target gets a piece of work: the policies, each behind one base class."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from .rendezvous import ranked

_LOAD_BOUND = 1.25
_REPORT_HALF_LIFE_SECONDS = 2.0


@dataclass(slots=True)
class Candidate:
    """A target that may be chosen.

    ``in_flight`` is this host's own count; ``reported`` is how much work the
    target said it had, ``report_age`` seconds ago; ``slots`` is what it runs at
    once.
    """

    id: str
    zone: str
    slots: int = 1
    in_flight: int = 0
    reported: int = 0
    report_age: float = float("inf")

    @property
    def load(self) -> float:
        """Expected work per slot: own count and the report, aged."""
        weight = 0.5 ** (self.report_age / _REPORT_HALF_LIFE_SECONDS)
        work = max(self.in_flight, self.reported * weight)
        return work / self.slots


@dataclass(frozen=True, slots=True)
class Need:
    """What the work asks of its target. ``prefix`` is a key for cache affinity."""

    zone: str
    prefix: str | None = None


class RoutingPolicy(ABC):
    """Chooses one of several usable candidates."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], need: Need) -> Candidate | None:
        """Return the candidate to use; None if there is none."""


class TwoChoices(RoutingPolicy):
    """The less loaded of two random candidates, the same zone's first."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], need: Need) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        near = [each for each in candidates if each.zone == need.zone]
        roomy = [each for each in near if each.load < 1]
        pool = roomy or list(candidates)
        if not pool:
            return None
        drawn = self._rng.sample(pool, min(2, len(pool)))
        return min(drawn, key=lambda each: each.load)


class BoundedAffinity(RoutingPolicy):
    """The prefix's favourite by rendezvous hash, unless it is loaded over a bound.

    Without a prefix, what ``otherwise`` chooses.
    """

    def __init__(self, otherwise: RoutingPolicy) -> None:
        self._otherwise = otherwise

    def choose(self, candidates: Sequence[Candidate], need: Need) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        if need.prefix is None or not candidates:
            return self._otherwise.choose(candidates, need)
        by_id = {each.id: each for each in candidates}
        mean = sum(each.load for each in candidates) / len(candidates)
        bound = max(1.0 / candidates[0].slots, mean * _LOAD_BOUND)
        for each_id in ranked(by_id, need.prefix):
            if by_id[each_id].load <= bound:
                return by_id[each_id]
        return self._otherwise.choose(candidates, need)
