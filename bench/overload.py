"""Compares orders of starts under scarce engines: ``python -m bench.overload``.

Plays three trainers on 22 engines without a network and prints the value that they earn
as a share of all, and the late steps, for several loads.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any

import click
import looptime

from cranberryrun.batches.dispatch import Policies, Start, plan_starts
from cranberryrun.batches.overload import Overload
from cranberryrun.batches.scheduled_item import ScheduledItem
from cranberryrun.batches.shares import Shares
from cranberryrun.fleet.engine_pool import Engine
from fakes.trainers import EVENT_SECONDS, FakeTrainer, TrainerSimulation, total_late

_SECONDS = 60.0


def _usual_speed(index: int, now: float) -> float:
    return EVENT_SECONDS


def _fifth_is_slow(index: int, now: float) -> float:
    slow = index % 5 == 0 and 16 <= now < 24
    return 3 * EVENT_SECONDS if slow else EVENT_SECONDS


def _third_is_gone(index: int, now: float) -> float:
    return float("inf") if index % 3 == 0 and now >= 14 else EVENT_SECONDS


@dataclass(frozen=True)
class Load:
    """A load: a multiple of the usual groups, the engines' speed, and the lengths."""

    groups: float
    event_seconds: Callable[[int, float], float] = _usual_speed
    trainer: dict[str, Any] = field(default_factory=dict)


_HEAVY_TAIL = {"median_events": 24.0, "length_spread": 1.0, "estimate_error": 0.8}
_LOAD_BY_NAME = {
    "0.8 of the usual groups": Load(0.8),
    "the usual groups": Load(1.0),
    "1.1 times the usual groups": Load(1.1),
    "0.9 of them, heavy-tailed lengths": Load(0.9, trainer=_HEAVY_TAIL),
    "0.8 of them, a fifth 3 times slower for 8 s": Load(0.8, _fifth_is_slow),
    "0.7 of them, a third of the engines gone": Load(0.7, _third_is_gone),
}
_POLICIES = ("least slack", "overload", "overload and shares")


def _planner(policy: str) -> Callable[..., list[Start]]:
    if policy == "least slack":
        return plan_starts
    overload, shares = Overload(), Shares() if "shares" in policy else None

    def plan(
        scheduled_items: Sequence[ScheduledItem],
        engines: Sequence[Engine],
        now_wall: float,
    ) -> list[Start]:
        policies = Policies(overload, shares)
        starts = plan_starts(scheduled_items, engines, now_wall, policies)
        for start in starts:
            if shares is not None:
                shares.record_start(start.scheduled)
        return starts

    return plan


def play(name: str, policy: str, seed: int) -> tuple[float, int]:
    """Return the value earned and the number of late steps of one play."""
    load = _LOAD_BY_NAME[name]
    groups = round(6 * load.groups), round(14 * load.groups)
    trainers = [
        FakeTrainer(
            f"m{n}",
            groups=groups,
            size=16,
            starts=1.1 * n,
            workspace=f"w{n}" if "shares" in policy else None,
            **load.trainer,
        )
        for n in range(3)
    ]
    simulation = TrainerSimulation(
        trainers, _planner(policy), event_seconds=load.event_seconds, seed=seed
    )
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(simulation.run(_SECONDS)), total_late(trainers)


@click.command()
@click.option("--seeds", default=4, help="Plays of each load and order.")
@click.option("--jobs", default=2, help="Plays at a time.")
def main(seeds: int, jobs: int) -> None:
    """Print the value and the late steps in the mean over the seeds."""
    click.echo("| load | " + " | ".join(_POLICIES) + " |")
    click.echo("|---|" + "---|" * len(_POLICIES))
    with ProcessPoolExecutor(jobs) as pool:
        for name in _LOAD_BY_NAME:
            cells = []
            for policy in _POLICIES:
                plays = [pool.submit(play, name, policy, seed) for seed in range(seeds)]
                results = [each.result() for each in plays]
                value = sum(value for value, _ in results) / seeds
                late = sum(late for _, late in results) / seeds
                cells.append(f"{value:.3f} ({late:.1f} late)")
            click.echo(f"| {name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
