"""``python -m bench.capacity``: measures the slopes and prints them as a table."""

from __future__ import annotations

import json
from pathlib import Path

import click

from . import configuration, events, gossip, processes
from .report import table

OUTPUT = Path(".bench/capacity.json")


@click.command()
@click.option(
    "--skip-processes", is_flag=True, help="Skip the measurements of real processes."
)
def main(skip_processes: bool) -> None:
    """Measure all slopes, write them to .bench/capacity.json and print a table."""
    slopes = gossip.measure() + configuration.measure() + events.measure()
    if not skip_processes:
        slopes += processes.measure()
    OUTPUT.parent.mkdir(exist_ok=True)
    rows = [slope.as_dict() for slope in slopes]
    OUTPUT.write_text(json.dumps(rows, indent=1) + "\n")
    click.echo(table(slopes))


if __name__ == "__main__":
    main()
