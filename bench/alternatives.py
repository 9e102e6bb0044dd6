"""Baselines: the simple way to decide, behind the package's base classes."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from cranberryrun.budgets import BudgetPolicy, DeclaredRate, LentRate
from cranberryrun.freshness import AtDispatch, AtHandOver, FreshnessPolicy
from cranberryrun.pacing import AllAtOnce, PacingPolicy, StaggeredLoads
from cranberryrun.rendezvous import ranked
from cranberryrun.routing import (
    BoundedAffinity,
    Candidate,
    LeastLoaded,
    Need,
    RoutingPolicy,
)
from cranberryrun.stragglers import NoSecondAttempts, SecondAttempts, StragglerPolicy


class RandomChoice(RoutingPolicy):
    """Any candidate."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], need: Need) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        return self._rng.choice(candidates) if candidates else None


class RoundRobin(RoutingPolicy):
    """Each candidate in its turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, candidates: Sequence[Candidate], need: Need) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        if not candidates:
            return None
        self._turn += 1
        return sorted(candidates, key=lambda each: each.id)[
            self._turn % len(candidates)
        ]


class LeastReported(RoutingPolicy):
    """The candidate whose own, late report is the lowest."""

    def choose(self, candidates: Sequence[Candidate], need: Need) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        return min(candidates, key=lambda each: each.reported, default=None)


class NearestRoomy(RoutingPolicy):
    """The less loaded of two random candidates, the same zone's while they last."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], need: Need) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        near = [each for each in candidates if each.zone == need.zone]
        pool = [each for each in near if each.load < 1] or list(candidates)
        drawn = self._rng.sample(pool, min(2, len(pool)))
        return min(drawn, key=lambda each: each.load, default=None)


class MeanBound(RoutingPolicy):
    """The prefix's favourite unless it is loaded over a bound of the mean."""

    def __init__(self, rng: random.Random, bound: float = 1.25) -> None:
        self._otherwise = NearestRoomy(rng)
        self._bound = bound

    def choose(self, candidates: Sequence[Candidate], need: Need) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        if need.prefix is None or not candidates:
            return self._otherwise.choose(candidates, need)
        by_id = {each.id: each for each in candidates}
        mean = sum(each.load for each in candidates) / len(candidates)
        bound = max(1.0 / candidates[0].slots, mean * self._bound)
        for each_id in ranked(by_id, need.prefix):
            if by_id[each_id].load <= bound:
                return by_id[each_id]
        return self._otherwise.choose(candidates, need)


def _adopted_routing(rng: random.Random) -> RoutingPolicy:
    return BoundedAffinity(LeastLoaded(rng))


@dataclass(frozen=True, slots=True)
class PolicySet:
    """The decisions of one run. ``routing`` makes a policy for one host."""

    name: str
    routing: Callable[[random.Random], RoutingPolicy] = _adopted_routing
    stragglers: StragglerPolicy = field(default_factory=SecondAttempts)
    freshness: FreshnessPolicy = field(default_factory=AtHandOver)
    budget: BudgetPolicy = field(default_factory=LentRate)
    pacing: PacingPolicy | None = None
    concurrency: int = 64
    queue: int = 256
    retry_share: float = 0.1
    idle_weight: float | None = None

    def with_idle_weight(self, idle_weight: float) -> PolicySet:
        """Return the same policies for workloads that declare ``idle_weight``."""
        return replace(self, idle_weight=idle_weight)

    def pacing_for(self, at_once: int, away_share: float) -> PacingPolicy:
        """Return the pacing policy with a deployment's limits."""
        return self.pacing or StaggeredLoads(at_once, away_share)


ADOPTED = PolicySet("adopted")
NAIVE = PolicySet(
    "naive",
    routing=RandomChoice,
    stragglers=NoSecondAttempts(),
    pacing=AllAtOnce(),
)
BASELINES = (
    NAIVE,
    replace(ADOPTED, name="random-routing", routing=RandomChoice),
    replace(ADOPTED, name="round-robin", routing=lambda rng: RoundRobin()),
    replace(ADOPTED, name="least-reported", routing=lambda rng: LeastReported()),
    replace(ADOPTED, name="nearest-roomy", routing=NearestRoomy),
    replace(ADOPTED, name="no-affinity", routing=LeastLoaded),
    replace(ADOPTED, name="no-second-attempts", stragglers=NoSecondAttempts()),
    replace(ADOPTED, name="freshness-at-dispatch", freshness=AtDispatch()),
    replace(ADOPTED, name="all-at-once", pacing=AllAtOnce()),
    replace(ADOPTED, name="two-at-once", pacing=StaggeredLoads(2, 0.5)),
    replace(ADOPTED, name="declared-rate", budget=DeclaredRate()),
    replace(ADOPTED, name="no-admission", concurrency=100_000, queue=1_000_000),
    replace(ADOPTED, name="unlimited-retries", retry_share=1.0),
)
POLICIES_BY_NAME = {each.name: each for each in (ADOPTED, *BASELINES)}
