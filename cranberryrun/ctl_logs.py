"""Events from log files, for when no host that knows of them runs any more."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import IO, Any

import click

from .timeline import Row, Selection, merge

_NEEDED = ("n", "wall", "host", "incarnation", "number", "event")


def read_events(lines: Iterable[str]) -> Iterator[Row]:
    """Yield the events among ``lines``; whatever else stands there is passed over.

    A collector may have put its own words before the event.
    """
    for line in lines:
        at = line.find("{")
        if at < 0:
            continue
        try:
            row = json.loads(line[at:])
        except ValueError:
            continue
        if isinstance(row, dict) and all(name in row for name in _NEEDED):
            yield row


def merged_events(files: Iterable[IO[str]], selection: Selection) -> list[Row]:
    """Return the chosen events of all files in one order."""
    rows: list[Row] = []
    for file in files:
        rows += [row for row in read_events(file) if selection.takes(row)]
    return merge(rows)


def logs_option(command: Any) -> Any:
    """Add the option that names log files."""
    return click.option(
        "--logs",
        multiple=True,
        type=click.File(errors="replace"),
        help="Read events from this log file, - for standard input, not from hosts.",
    )(command)
