"""Compares scaling policies on curves of demand: ``python -m bench.scaling``.

Nothing is sent over a network. Prints the cost and the late steps of each policy.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import click

from cranberryrun.scaling.capacity import EngineKind
from cranberryrun.scaling.demand import DemandHistory
from cranberryrun.scaling.models import ScalingInputs
from cranberryrun.scaling.policy import ScalingPolicy

from .scaling_fleet import (
    AUTOSCALE,
    MODELS,
    SERVICE,
    TICK_SECONDS,
    Figures,
    SimulatedFleet,
    manifest,
)

SECONDS = 300.0
_DECISION_SECONDS = 0.5
_SEEDS = (1, 2, 3)
_COLUMNS = (
    "curve",
    "policy",
    "cost",
    "steps",
    "late",
    "behind",
    "orders",
    "new",
    "moved",
)
_COUNTERS = ("steps", "late", "behind", "orders", "new_engines", "moved_runs")


@dataclass(frozen=True, slots=True)
class Curve:
    """Sizes of the steps over time, and the times at which spot engines are lost.

    ``spot_engines`` of the eight engines of each zone are spot engines at the start.
    """

    name: str
    level: Callable[[str, float], float]
    preemptions: tuple[tuple[float, str], ...] = ()
    spot_engines: int = 0


CURVES = (
    Curve("light", lambda model, now: 0.4),
    Curve("usual", lambda model, now: 1.0),
    Curve("heavy", lambda model, now: 2.0),
    Curve("overload", lambda model, now: 2.8),
    Curve("tripled", lambda model, now: 0.7 if now < 150 else 2.1),
    Curve("waves", lambda model, now: 0.8 + 0.4 * math.sin(now / 20)),
    Curve(
        "one pauses",
        lambda model, now: 0.0 if model == "m0" and 100 < now < 180 else 0.8,
    ),
    Curve(
        "preempted",
        lambda model, now: 0.8,
        ((100.0, "a"), (160.0, "b"), (165.0, "c"), (230.0, "b")),
    ),
    Curve("half spot", lambda model, now: 1.1, ((20.0, "a"), (35.0, "b")), 4),
)


class BenchPolicy(ABC):
    """Decides on orders for the simulated engines."""

    @abstractmethod
    def decide(self, fleet: SimulatedFleet) -> None:
        """Order engines if the policy wants to."""


class Fixed(BenchPolicy):
    """Keeps the engines that are there at the start."""

    def decide(self, fleet: SimulatedFleet) -> None:
        """See :meth:`BenchPolicy.decide`."""


class Reactive(BenchPolicy):
    """Adds engines above 80% of slots in use, removes some below 50%, every 5 s."""

    def __init__(self) -> None:
        self._next_at = 5.0

    def decide(self, fleet: SimulatedFleet) -> None:
        """See :meth:`BenchPolicy.decide`."""
        if fleet.now < self._next_at:
            return
        self._next_at = fleet.now + 5.0
        ready = {(group.zone, group.spot): group.ready for group in fleet.groups()}
        utilization = fleet.runs / max(1, 8 * sum(ready.values()))
        change = 2 if utilization > 0.8 else -2 if utilization < 0.5 else 0
        if not change:
            return
        kinds = sorted(ready, key=lambda kind: AUTOSCALE.price(*kind))
        for kind in kinds if change > 0 else reversed(kinds):
            count = ready[kind] + change
            if AUTOSCALE.minimum <= count <= AUTOSCALE.maximum:
                fleet.order(kind, count)
                return


class Chosen(BenchPolicy):
    """The policy of the package."""

    def __init__(self) -> None:
        self._policy = ScalingPolicy()
        self._history = DemandHistory()
        self._manifest = manifest()
        self._next_at = 0.0

    def decide(self, fleet: SimulatedFleet) -> None:
        """See :meth:`BenchPolicy.decide`."""
        if fleet.now < self._next_at:
            return
        self._next_at = fleet.now + _DECISION_SECONDS
        states = (step.state for step in fleet.steps)
        self._history.update(states, self._manifest, fleet.now)
        inputs = ScalingInputs(
            AUTOSCALE,
            self._history.demand_for(SERVICE, MODELS, fleet.now),
            fleet.groups(),
            fleet.runs,
        )
        while (order := self._policy.next_order(inputs, fleet.now)) is not None:
            kind: EngineKind = (order.zone, order.spot)
            self._policy.record_order(*kind, order.count, order.present, fleet.now)
            if fleet.order(kind, order.count):
                self._policy.record_acceptance(*kind, fleet.now)
            else:
                self._policy.record_refusal(*kind, fleet.now, AUTOSCALE.boot_seconds)


POLICY_BY_NAME: dict[str, Callable[[], BenchPolicy]] = {
    "fixed": Fixed,
    "reactive": Reactive,
    "chosen": Chosen,
}


def run(curve: Curve, policy: BenchPolicy, seed: int, seconds: float) -> Figures:
    """Return the figures of one run."""
    fleet = SimulatedFleet(
        curve.level, curve.preemptions, seed, spot_engines=curve.spot_engines
    )
    while fleet.now < seconds - TICK_SECONDS / 2:
        fleet.tick()
        policy.decide(fleet)
    return fleet.figures


def rows(seconds: float = SECONDS) -> list[tuple[str, ...]]:
    """Return the rows of the table; sums over the seeds, and the mean cost a second."""
    result = []
    for curve in CURVES:
        for name, create in POLICY_BY_NAME.items():
            runs = [run(curve, create(), seed, seconds) for seed in _SEEDS]
            cost = sum(each.cost for each in runs) / (len(runs) * seconds)
            sums = (sum(getattr(each, column) for each in runs) for column in _COUNTERS)
            result.append((curve.name, name, f"{cost:.2f}", *map(str, sums)))
    return result


@click.command()
@click.option("--seconds", default=SECONDS, help="Simulated time of each run.")
def main(seconds: float) -> None:
    """Print the table."""
    click.echo("| " + " | ".join(_COLUMNS) + " |")
    click.echo("|" + "---|" * len(_COLUMNS))
    for row in rows(seconds):
        click.echo("| " + " | ".join(row) + " |")


if __name__ == "__main__":
    main()
