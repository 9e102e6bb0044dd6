"""Runs simulated fleets, each on its own virtual clock, and collects their figures."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import looptime
from absl import logging

from cranberryrun import clock

from .alternatives import POLICIES_BY_NAME, PolicySet
from .deployments import (
    DEPLOYMENT_BY_NAME,
    PREFIX_DEPLOYMENT_BY_NAME,
    SCENARIO_BY_NAME,
    STEADY_DEPLOYMENT_BY_NAME,
    Deployment,
    Scenario,
)
from .fleet import Fleet
from .measures import measure

_EPOCH_SECONDS = 1_700_000_000.0
_NOOP_CYCLES = 0
Figures = dict[str, float]
ALL_DEPLOYMENTS_BY_NAME = (
    DEPLOYMENT_BY_NAME | STEADY_DEPLOYMENT_BY_NAME | PREFIX_DEPLOYMENT_BY_NAME
)


@dataclass(frozen=True, slots=True)
class Trial:
    """Identifies one run by the names of its parts."""

    deployment: str
    scenario: str
    policies: str
    seed: int
    idle_weight: float | None = None


def run_fleet(
    deployment: Deployment, scenario: Scenario, policies: PolicySet, seed: int
) -> Figures:
    """Simulate one fleet and return its figures by name."""
    logging.set_verbosity(logging.FATAL)
    loop = looptime.new_event_loop(noop_cycles=_NOOP_CYCLES)
    wall = clock.wall
    clock.wall = lambda: _EPOCH_SECONDS + loop.time()
    try:
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            return runner.run(_simulate(deployment, scenario, policies, seed))
    finally:
        clock.wall = wall


async def _simulate(
    deployment: Deployment, scenario: Scenario, policies: PolicySet, seed: int
) -> Figures:
    fleet = Fleet(deployment, scenario, policies, seed)
    await fleet.run()
    return measure(fleet)


def run_trial(trial: Trial) -> Figures:
    """Run ``trial`` and return its figures."""
    policies = POLICIES_BY_NAME[trial.policies]
    if trial.idle_weight is not None:
        policies = policies.with_idle_weight(trial.idle_weight)
    return run_fleet(
        ALL_DEPLOYMENTS_BY_NAME[trial.deployment],
        SCENARIO_BY_NAME[trial.scenario],
        policies,
        trial.seed,
    )


def run_trials(trials: Iterable[Trial], workers: int) -> dict[Trial, Figures]:
    """Run all ``trials`` in ``workers`` processes and return their figures."""
    ordered = list(trials)
    with ProcessPoolExecutor(workers) as executor:
        return dict(zip(ordered, executor.map(run_trial, ordered)))


@dataclass(frozen=True, slots=True)
class Summary:
    """The median of a figure over the seeds, and its lowest and highest."""

    median: float
    low: float
    high: float


def summarise(runs: list[Figures]) -> dict[str, Summary]:
    """Return each figure's summary over ``runs``."""
    return {
        name: Summary(
            statistics.median(values := [run[name] for run in runs]),
            min(values),
            max(values),
        )
        for name in runs[0]
    }
