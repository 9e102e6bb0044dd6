"""Writes ``docs/EVENTS.md`` from the catalogue, to standard output."""

from __future__ import annotations

import click

from .catalogue import EVENT_BY_NAME

_HEAD = """# Events

Each host writes numbered events to its log, one JSON object a line, and keeps the
newest of them (`limits.event_ring`) for the time line. A number is never used again
for another event.

Every event has `n` (counts from 0 in its process), `wall` (seconds since 1970, UTC),
`loop` (seconds on the process's clock), `host`, `incarnation`, `number` and `event`.
Fields that link events keep one name everywhere: `step`, `request`, `change`,
`offset`, `stream`, `engine`, `workload`.

`cranberryctl timeline` merges the events of all hosts, and `cranberryctl explain`
tells the story of one step, request or change. In the merged order the events of one
process keep their order, and a cause stands before its effects at other hosts, also
where clocks disagree.

| number | event | level | meaning |
|---|---|---|---|
"""


def event_page() -> str:
    """Return the page."""
    rows = sorted(EVENT_BY_NAME.values(), key=lambda kind: kind.number)
    lines = [
        f"| {kind.number} | `{kind.name}` | {kind.level} | {kind.meaning} |"
        for kind in rows
    ]
    return _HEAD + "\n".join(lines) + "\n"


if __name__ == "__main__":
    click.echo(event_page(), nl=False)
