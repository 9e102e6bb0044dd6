"""The sets of policies that the experiments compare, and simple routing policies."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from cranberryrun.budgets import BudgetPolicy, DeclaredRate, LentRate
from cranberryrun.freshness import AtDispatch, AtHandOver, FreshnessPolicy
from cranberryrun.pacing import AllAtOnce, PacingPolicy, StaggeredLoads
from cranberryrun.routing import (
    BoundedAffinity,
    Candidate,
    LeastLoaded,
    RoutingHints,
    RoutingPolicy,
)
from cranberryrun.stragglers import NoSecondAttempts, SecondAttempts, StragglerPolicy

from .range_affinity import RangeAffinity


class RandomChoice(RoutingPolicy):
    """A random candidate."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        return self._rng.choice(candidates) if candidates else None


class RoundRobin(RoutingPolicy):
    """The candidates in rotation."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        if not candidates:
            return None
        self._turn += 1
        return sorted(candidates, key=lambda each: each.id)[
            self._turn % len(candidates)
        ]


class LeastReported(RoutingPolicy):
    """The candidate with the lowest reported load; reports lag behind the load."""

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        return min(candidates, key=lambda each: each.reported, default=None)


class SameZoneTwoChoices(RoutingPolicy):
    """The less loaded of two random candidates.

    Candidates of the same zone are preferred while one of them has a free slot.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, candidates: Sequence[Candidate], hints: RoutingHints
    ) -> Candidate | None:
        """See :meth:`RoutingPolicy.choose`."""
        same_zone = [each for each in candidates if each.zone == hints.zone]
        pool = [each for each in same_zone if each.load < 1] or list(candidates)
        sampled = self._rng.sample(pool, min(2, len(pool)))
        return min(sampled, key=lambda each: each.load, default=None)


def _adopted_routing(rng: random.Random) -> RoutingPolicy:
    return BoundedAffinity(LeastLoaded(rng), max_load_factor=1.0)


def _adopted_request_routing(rng: random.Random) -> RoutingPolicy:
    return BoundedAffinity(LeastLoaded(rng))


@dataclass(frozen=True, slots=True)
class PolicySet:
    """The policies and limits of one run.

    ``routing`` creates the routing policy of one host for samples,
    ``request_routing`` the one for requests.
    """

    name: str
    routing: Callable[[random.Random], RoutingPolicy] = _adopted_routing
    request_routing: Callable[[random.Random], RoutingPolicy] = _adopted_request_routing
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
        """Return the policy for loads of versions, by default one with these limits."""
        return self.pacing or StaggeredLoads(at_once, away_share)


ADOPTED = PolicySet("adopted")
NAIVE = PolicySet(
    "naive",
    routing=RandomChoice,
    request_routing=RandomChoice,
    stragglers=NoSecondAttempts(),
    pacing=AllAtOnce(),
)


def _with_routing(
    name: str, routing: Callable[[random.Random], RoutingPolicy]
) -> PolicySet:
    """Return the adopted policies with other routing for samples and requests."""
    return replace(ADOPTED, name=name, routing=routing, request_routing=routing)


BASELINES = (
    NAIVE,
    _with_routing("random-routing", RandomChoice),
    _with_routing("round-robin", lambda rng: RoundRobin()),
    _with_routing("least-reported", lambda rng: LeastReported()),
    _with_routing("nearest-roomy", SameZoneTwoChoices),
    _with_routing("no-affinity", LeastLoaded),
    replace(ADOPTED, name="no-second-attempts", stragglers=NoSecondAttempts()),
    replace(ADOPTED, name="freshness-at-dispatch", freshness=AtDispatch()),
    replace(ADOPTED, name="all-at-once", pacing=AllAtOnce()),
    replace(ADOPTED, name="mean-bound", routing=_adopted_request_routing),
    replace(ADOPTED, name="two-at-once", pacing=StaggeredLoads(2, 0.5)),
    replace(ADOPTED, name="declared-rate", budget=DeclaredRate()),
    replace(ADOPTED, name="no-admission", concurrency=100_000, queue=1_000_000),
    replace(ADOPTED, name="unlimited-retries", retry_share=1.0),
    _with_routing("ageing-ranges", lambda rng: RangeAffinity(LeastLoaded(rng))),
)
POLICIES_BY_NAME = {each.name: each for each in (ADOPTED, *BASELINES)}
