"""Pacing policies: which engines may load new weights at a given time."""

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

    :ivar reported: this host has a report of the engine.
    :ivar loaded: the engine reports the version as loaded.
    :ivar loading: the engine reports a running load, or one was just ordered.
    :ivar urgent: the engine can't serve the workload until it is loaded.
    :ivar low_priority: the engine is down or its loads fail.
    :ivar elapsed: seconds since this host learnt of the version.
    """

    engine: str
    workload: str
    reported: bool = True
    loaded: bool = False
    loading: bool = False
    urgent: bool = False
    low_priority: bool = False
    elapsed: float = 0.0

    @property
    def key(self) -> LoadKey:
        """The names of the engine and the workload."""
        return self.engine, self.workload


@dataclass(frozen=True, slots=True)
class WeightRollout:
    """The rollout of the newest versions of all workloads to their engines.

    ``loads`` have the same order on every host; ``load_seconds`` is the mean
    duration of a load.
    """

    loads: Sequence[WeightLoad]
    load_seconds: float = 1.0


class PacingPolicy(ABC):
    """Decides which loads of a rollout may run now."""

    @abstractmethod
    def may_load(self, rollout: WeightRollout) -> list[LoadKey]:
        """Return the keys of the loads that may run, including running ones."""


class AllAtOnce(PacingPolicy):
    """Allows every missing load at once."""

    def may_load(self, rollout: WeightRollout) -> list[LoadKey]:
        """See :meth:`PacingPolicy.may_load`."""
        return [load.key for load in rollout.loads if not load.loaded]


class StaggeredLoads(PacingPolicy):
    """Allows a bounded number of concurrent loads, urgent ones first.

    Equal reports lead to the same choice on every host, so the bounds hold across
    hosts except for the delay of the reports. An engine without a report counts as
    loading during its wave: its position in the order divided by the workload's
    bound, in units of ``load_seconds``.

    :param at_once: maximum number of concurrent loads that the weight store allows.
    :param away_share: maximum share of a workload's engines that load at once;
        one engine may always load.
    """

    def __init__(self, at_once: int, away_share: float) -> None:
        self._at_once = at_once
        self._away_share = away_share

    def may_load(self, rollout: WeightRollout) -> list[LoadKey]:
        """See :meth:`PacingPolicy.may_load`."""
        engine_count = Counter(load.workload for load in rollout.loads)
        max_by_workload = {
            name: self._max_loads(count) for name, count in engine_count.items()
        }
        running = self._running_loads(rollout, max_by_workload)
        chosen = [
            load.key for load in rollout.loads if load.loading and not load.loaded
        ]
        missing = [
            load
            for load in rollout.loads
            if load.reported and not load.loaded and not load.loading
        ]
        missing.sort(key=lambda load: (load.low_priority, not load.urgent))
        for load in missing:
            if running.total() >= self._at_once:
                break
            if running[load.workload] >= max_by_workload[load.workload]:
                continue
            running[load.workload] += 1
            chosen.append(load.key)
        return chosen

    def _max_loads(self, engine_count: int) -> int:
        share = math.floor(engine_count * self._away_share)
        return max(1, min(share, self._at_once))

    def _running_loads(
        self, rollout: WeightRollout, max_by_workload: dict[str, int]
    ) -> Counter[str]:
        """Return the known or assumed number of running loads per workload."""
        running: Counter[str] = Counter()
        next_position: Counter[str] = Counter()
        for load in rollout.loads:
            position = next_position[load.workload]
            next_position[load.workload] += 1
            if load.loading:
                running[load.workload] += 1
            if load.reported:
                continue
            wave = int(load.elapsed / rollout.load_seconds)
            running[load.workload] += position // max_by_workload[load.workload] == wave
        return running
