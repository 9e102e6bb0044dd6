"""Which engines may load weights now: the policies, behind one base class."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

LoadKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class WeightLoad:
    """The load of one workload's newest version on one engine.

    ``seen`` is false where this host has no report of the engine; ``loaded`` and
    ``loading`` are what the engine reports; ``urgent`` says that the engine can't
    serve the workload before; ``last`` that it is down or its loads fail. ``elapsed``
    is in seconds since this host knew of the version.
    """

    engine: str
    workload: str
    seen: bool = True
    loaded: bool = False
    loading: bool = False
    urgent: bool = False
    last: bool = False
    elapsed: float = 0.0

    @property
    def key(self) -> LoadKey:
        """The engine and the workload."""
        return self.engine, self.workload


@dataclass(frozen=True, slots=True)
class Rollout:
    """The newest versions of all workloads on their way to their engines.

    ``loads`` come in an order that is the same on every host; ``load_seconds``
    is how long a load takes.
    """

    loads: Sequence[WeightLoad]
    load_seconds: float = 1.0


class PacingPolicy(ABC):
    """Says which loads of a rollout may run now."""

    @abstractmethod
    def may_load(self, rollout: Rollout) -> list[LoadKey]:
        """Return the keys of these loads, those that run already among them."""


class AllAtOnce(PacingPolicy):
    """Every load that is missing."""

    def may_load(self, rollout: Rollout) -> list[LoadKey]:
        """See :meth:`PacingPolicy.may_load`."""
        return [load.key for load in rollout.loads if not load.loaded]


class StaggeredLoads(PacingPolicy):
    """A bounded number at a time; engines that can't serve otherwise go first.

    Every host comes to the same choice from the same reports, so the bound holds
    over all hosts but for the time that a report takes. Engines that this host
    has no report of are taken to load in the wave of their place in the order.

    :param at_once: loads that the weight store allows at once.
    :param away_share: the part of a workload's engines that may load at once.
    """

    def __init__(self, at_once: int, away_share: float) -> None:
        self._at_once = at_once
        self._away_share = away_share

    def may_load(self, rollout: Rollout) -> list[LoadKey]:
        """See :meth:`PacingPolicy.may_load`."""
        engines = Counter(load.workload for load in rollout.loads)
        most = {name: self._most(count) for name, count in engines.items()}
        away = self._away(rollout, most)
        chosen = [
            load.key for load in rollout.loads if load.loading and not load.loaded
        ]
        waiting = [
            load
            for load in rollout.loads
            if load.seen and not load.loaded and not load.loading
        ]
        waiting.sort(key=lambda load: (load.last, not load.urgent))
        for load in waiting:
            if away.total() >= self._at_once:
                break
            if away[load.workload] >= most[load.workload]:
                continue
            away[load.workload] += 1
            chosen.append(load.key)
        return chosen

    def _most(self, engines: int) -> int:
        share = math.floor(engines * self._away_share)
        return max(1, min(share, self._at_once))

    def _away(self, rollout: Rollout, most: dict[str, int]) -> Counter[str]:
        """Return how many loads of each workload run now, as far as is known."""
        away: Counter[str] = Counter()
        places: Counter[str] = Counter()
        for load in rollout.loads:
            place = places[load.workload]
            places[load.workload] += 1
            if load.loading:
                away[load.workload] += 1
            if load.seen:
                continue
            wave = int(load.elapsed / rollout.load_seconds)
            away[load.workload] += place // most[load.workload] == wave
        return away
