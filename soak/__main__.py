"""``python -m soak``: runs seeds and prints a line for each."""

import asyncio
import json
import sys
from dataclasses import asdict
from pathlib import Path

import click

from .running import Report, soak


@click.command()
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="How many seeds.")
@click.option("--seconds", default=20.0, show_default=True, help="Time of faults.")
@click.option("--jobs", default=1, show_default=True, help="Seeds at a time.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for logs.")
def main(first: int, seeds: int, seconds: float, jobs: int, keep: Path | None) -> None:
    """Run seeds; exit with 1 if a promise was broken."""
    reports = asyncio.run(_run_all(range(first, first + seeds), seconds, jobs, keep))
    broken = [report for report in reports if report.violations]
    click.echo(f"{len(reports)} seeds, {len(broken)} with a broken promise")
    sys.exit(1 if broken else 0)


async def _run_all(
    seeds: range, seconds: float, jobs: int, keep: Path | None
) -> list[Report]:
    places = asyncio.Semaphore(jobs)

    async def run(seed: int) -> Report:
        async with places:
            try:
                report = await soak(seed, seconds, keep)
            except Exception as error:
                # The other seeds go on; a soak that fails itself counts as broken.
                report = Report(seed, violations=[f"the soak failed: {error!r}"])
        click.echo(json.dumps(asdict(report)))
        return report

    return list(await asyncio.gather(*(run(seed) for seed in seeds)))


if __name__ == "__main__":
    main()
