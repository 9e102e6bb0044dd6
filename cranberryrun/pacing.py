"""Which engines may load weights now: the policies, behind one base class."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RolloutEngine:
    """An engine of a rollout. ``seen`` is false where this host has no report.

    ``loaded`` speaks of the wanted version, ``loading`` of any weights;
    ``failures`` counts its loads of the wanted version that failed.
    """

    name: str
    seen: bool = True
    loaded: bool = False
    loading: bool = False
    failures: int = 0


@dataclass(frozen=True, slots=True)
class Rollout:
    """One version on its way to a workload's engines.

    ``engines`` are in an order that is the same on every host. ``elapsed`` is
    in seconds since this host knew of the version; ``load_seconds`` is how long
    a load takes. ``other_loads`` are known to run on engines outside of it.
    """

    engines: Sequence[RolloutEngine]
    elapsed: float = 0.0
    load_seconds: float = 1.0
    other_loads: int = 0


class PacingPolicy(ABC):
    """Says which engines of a rollout may be loading now."""

    @abstractmethod
    def may_load(self, rollout: Rollout) -> list[str]:
        """Return names of engines, those that are loading among them."""


class AllAtOnce(PacingPolicy):
    """Every engine that lacks the version."""

    def may_load(self, rollout: Rollout) -> list[str]:
        """See :meth:`PacingPolicy.may_load`."""
        return [each.name for each in rollout.engines if not each.loaded]


class StaggeredLoads(PacingPolicy):
    """A bounded number at a time, in waves.

    Engines that this host has no report of are taken to load in the wave of
    their place in the order.

    :param at_once: loads that the weight store allows at once.
    :param away_share: the part of the engines that may load at once.
    """

    def __init__(self, at_once: int, away_share: float) -> None:
        self._at_once = at_once
        self._away_share = away_share

    def may_load(self, rollout: Rollout) -> list[str]:
        """See :meth:`PacingPolicy.may_load`."""
        share = math.floor(len(rollout.engines) * self._away_share)
        most = max(1, min(share, self._at_once))
        wave = int(rollout.elapsed / rollout.load_seconds)
        away = rollout.other_loads
        chosen: list[str] = []
        waiting: list[tuple[int, int, str]] = []
        for place, engine in enumerate(rollout.engines):
            if not engine.seen:
                away += place // most == wave
                continue
            if engine.loading:
                away += 1
            if engine.loaded:
                continue
            if engine.loading:
                chosen.append(engine.name)
                continue
            waiting.append((engine.failures, place, engine.name))
        waiting.sort()
        room = max(0, most - away)
        return chosen + [name for _, _, name in waiting[:room]]
