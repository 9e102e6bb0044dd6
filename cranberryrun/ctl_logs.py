"""Reads events from log files, for events that no running host holds any more."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import IO, Any

import click

from .timeline import EventRow, Selection, merge

_REQUIRED_FIELDS = ("n", "wall", "host", "incarnation", "number", "event")


def read_events(lines: Iterable[str]) -> Iterator[EventRow]:
    """Yield the events in ``lines``; lines without an event are skipped.

    Text before the event is ignored, because log collectors may add a prefix.
    """
    for line in lines:
        json_start = line.find("{")
        if json_start < 0:
            continue
        try:
            row = json.loads(line[json_start:])
        except ValueError:
            continue
        if isinstance(row, dict) and all(name in row for name in _REQUIRED_FIELDS):
            yield row


def merged_events(files: Iterable[IO[str]], selection: Selection) -> list[EventRow]:
    """Return the matching events of all files, merged into timeline order."""
    rows: list[EventRow] = []
    for file in files:
        rows += [row for row in read_events(file) if selection.matches(row)]
    return merge(rows)


def logs_option(command: Any) -> Any:
    """Add the option ``--logs`` to a command."""
    return click.option(
        "--logs",
        multiple=True,
        type=click.File(errors="replace"),
        help="Read events from this log file, not from the hosts; - is standard input.",
    )(command)
