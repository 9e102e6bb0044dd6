"""Command line of the soak test: runs seeds and prints one JSON report per seed."""

import asyncio
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from .runner import Report, run_soak


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds.")
@click.option(
    "--seconds", default=20.0, show_default=True, help="Duration of fault injection."
)
@click.option("--jobs", default=1, show_default=True, help="Seeds to run in parallel.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for host logs.")
@click.option("--limits", is_flag=True, help="Targets name limits, too.")
@click.option("--long-steps", is_flag=True, help="Steps outlast what is kept.")
@click.option(
    "--other-build",
    type=click.Path(path_type=Path, exists=True, resolve_path=True),
    help="Checkout of another build, which every second start of a host runs.",
)
def main(
    first: int,
    seeds: int,
    seconds: float,
    jobs: int,
    keep: Path | None,
    limits: bool,
    long_steps: bool,
    other_build: Path | None,
) -> None:
    """Run seeds; exit with status 1 if any seed violated a guarantee."""
    reports = asyncio.run(
        _run_all(
            range(first, first + seeds),
            seconds,
            jobs,
            keep,
            limits=limits,
            other_build=other_build,
            long_steps=long_steps,
        )
    )
    broken = [report for report in reports if report.violations]
    click.echo(f"{len(reports)} seeds, {len(broken)} with violated guarantees")
    sys.exit(1 if broken else 0)


async def _run_all(
    seeds: range,
    seconds: float,
    jobs: int,
    keep: Path | None,
    **options: Any,
) -> list[Report]:
    semaphore = asyncio.Semaphore(jobs)

    async def run(seed: int) -> Report:
        async with semaphore:
            try:
                report = await run_soak(seed, seconds, keep, **options)
            except Exception as error:
                # An error of the soak test itself counts as a violation, so that the
                # other seeds still run.
                report = Report(seed, violations=[f"the soak test raised {error!r}"])
        click.echo(json.dumps(asdict(report)))
        return report

    return list(await asyncio.gather(*(run(seed) for seed in seeds)))


if __name__ == "__main__":
    main()
