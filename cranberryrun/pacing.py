"""Which engines may load weights now: the policies, behind one base class."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RolloutEngine:
    """An engine of a rollout. ``seen`` is false where this host has no report.

    ``loaded`` and ``loading`` speak of the wanted version; ``failures`` counts
    its loads of that version that failed.
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
    a load takes.
    """

    engines: Sequence[RolloutEngine]
    elapsed: float = 0.0
    load_seconds: float = 1.0


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
        order = sorted(enumerate(rollout.engines), key=lambda item: item[1].failures)
        chosen: list[str] = []
        away = 0
        for place, engine in order:
            if away >= most:
                break
            if engine.loaded:
                continue
            if engine.seen:
                chosen.append(engine.name)
            if engine.seen or place // most == wave:
                away += 1
        return chosen
