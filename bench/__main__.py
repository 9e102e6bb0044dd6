"""Command line of the experiments."""

from __future__ import annotations

import time

import click

from . import forecasting
from .alternatives import POLICIES_BY_NAME
from .deployments import (
    DEPLOYMENT_BY_NAME,
    PREFIX_DEPLOYMENT_BY_NAME,
    SCENARIO_BY_NAME,
    STEADY_DEPLOYMENT_BY_NAME,
)
from .report import plot_curve, write_report
from .running import ALL_DEPLOYMENTS_BY_NAME, Trial, run_trials

_SEEDS = (1, 2, 3, 4, 5)
_FEW_SEEDS = (1, 2)
_MAIN_POLICIES = ("adopted", "naive")
_POLICIES_BY_FAULT_SCENARIO = {
    "lost": _MAIN_POLICIES,
    "faults": (*_MAIN_POLICIES, "no-second-attempts", "unlimited-retries"),
    "refusals": ("adopted", "unlimited-retries"),
}
_LOAD_ONLY_POLICIES = ("no-admission", "unlimited-retries", "ageing-ranges")
_CURVE_IDLE_WEIGHTS = (0.0, 0.25, 0.5, 0.75, 1.0)


def comparison_trials() -> list[Trial]:
    """Return the runs of the full comparison."""
    trials: list[Trial] = []
    for deployment in DEPLOYMENT_BY_NAME:
        for policies in POLICIES_BY_NAME:
            if policies in _LOAD_ONLY_POLICIES:
                continue
            seeds = _SEEDS if policies in _MAIN_POLICIES else _FEW_SEEDS
            trials += [Trial(deployment, "healthy", policies, seed) for seed in seeds]
        for scenario, policy_names in _POLICIES_BY_FAULT_SCENARIO.items():
            for policies in policy_names:
                trials += [
                    Trial(deployment, scenario, policies, seed) for seed in _FEW_SEEDS
                ]
        for policies in ("adopted", "no-admission"):
            trials.append(Trial(deployment, "surge", policies, 1))
    for deployment in STEADY_DEPLOYMENT_BY_NAME:
        trials += [
            Trial(deployment, "healthy", policies, 1) for policies in _MAIN_POLICIES
        ]
    for deployment in PREFIX_DEPLOYMENT_BY_NAME:
        for policies in ("adopted", "no-affinity", "ageing-ranges"):
            trials.append(Trial(deployment, "short", policies, 1))
    return trials


def curve_trials() -> list[Trial]:
    """Return the runs of the curve over the idle weight that workloads declare."""
    return [
        Trial(deployment, "healthy", "adopted", seed, weight)
        for deployment in DEPLOYMENT_BY_NAME
        for weight in _CURVE_IDLE_WEIGHTS
        for seed in _FEW_SEEDS
    ]


def _report(name: str, trials: list[Trial], workers: int) -> None:
    started_at = time.perf_counter()
    figures_by_trial = run_trials(trials, workers)
    click.echo(write_report(name, figures_by_trial))
    if name == "curve":
        plot_curve(figures_by_trial)
    click.echo(
        f"{len(trials)} runs in {time.perf_counter() - started_at:.0f} s", err=True
    )


@click.group(invoke_without_command=True)
@click.option("--workers", default=2, show_default=True)
@click.pass_context
def main(context: click.Context, workers: int) -> None:
    """Run the whole comparison, or one part of it."""
    context.obj = workers
    if context.invoked_subcommand is not None:
        return
    _report("comparison", comparison_trials(), workers)
    _report("curve", curve_trials(), workers)


@main.command()
@click.pass_obj
def curve(workers: int) -> None:
    """Show the effect of the idle weight that a workload declares."""
    _report("curve", curve_trials(), workers)


@main.command()
@click.argument("deployment", type=click.Choice(list(ALL_DEPLOYMENTS_BY_NAME)))
@click.argument("scenario", type=click.Choice(list(SCENARIO_BY_NAME)))
@click.argument("policies", type=click.Choice(list(POLICIES_BY_NAME)), nargs=-1)
@click.option("--seeds", default=1, show_default=True)
@click.pass_obj
def trial(
    workers: int, deployment: str, scenario: str, policies: tuple[str, ...], seeds: int
) -> None:
    """Compare policies in one deployment and scenario."""
    trials = [
        Trial(deployment, scenario, policy_name, seed)
        for policy_name in policies
        for seed in range(1, seeds + 1)
    ]
    _report("trial", trials, workers)


@main.command()
def forecast() -> None:
    """Evaluate the forecast on generated months that it has not seen."""
    click.echo(forecasting.table())


if __name__ == "__main__":
    main()
