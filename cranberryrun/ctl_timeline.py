"""Renders the timeline as text and as an HTML page with one column per process."""

from __future__ import annotations

import html
import json
import re
from datetime import datetime, timezone
from typing import Any

from . import clock
from .catalogue import EVENT_BY_NAME
from .ctl_errors import UsageError
from .timeline import EventRow, process_name

_SECONDS_BY_UNIT = {"": 1.0, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
_COMMON_FIELDS = frozenset(
    {"n", "wall", "loop", "host", "incarnation", "number", "event"}
)
_STYLE = """
body { font: 13px system-ui, sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #fff; text-align: left; }
th, td { border-left: 1px solid #ddd; padding: 1px 6px; vertical-align: top; }
td.time { white-space: nowrap; color: #555; font-variant-numeric: tabular-nums; }
tr:hover { background: #eef; }
.warning { color: #a60; } .error { color: #c00; font-weight: bold; }
small { color: #777; }
"""
_SCRIPT = """
const box = document.querySelector('input');
box.addEventListener('input', () => {
  for (const row of document.querySelectorAll('tbody tr'))
    row.hidden = !row.textContent.includes(box.value);
});
"""


def parse_since(text: str) -> float:
    """Return the wall time, in seconds since 1970, that ``text`` states.

    :param text: an age such as ``90s`` or ``5m``, or an ISO date, by default in UTC.
    :raises UsageError: ``text`` is neither.
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd]?)", text)
    if match:
        return clock.wall() - float(match[1]) * _SECONDS_BY_UNIT[match[2]]
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        raise UsageError(
            f"--since: {text} is neither an age such as 5m nor an ISO date"
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=timezone.utc)
    return moment.timestamp()


def format_time(wall: float) -> str:
    """Format a wall time as ``HH:MM:SS.mmm`` in UTC."""
    moment = datetime.fromtimestamp(wall, timezone.utc)
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1000:03d}"


def format_fields(row: EventRow) -> str:
    """Format the fields that not all events have as ``name=value``."""
    return " ".join(
        f"{name}={_value_text(value)}"
        for name, value in row.items()
        if name not in _COMMON_FIELDS and value is not None
    )


def _value_text(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value, default=str)


def text_line(row: EventRow) -> str:
    """Format one event as a line of text."""
    start = f"{format_time(row['wall'])} {row['host']:10} {row['number']:3}"
    return f"{start} {row['event']:18} {format_fields(row)}".rstrip()


def timeline_text(rows: list[EventRow]) -> str:
    """Format the timeline as text, one line per event."""
    return "\n".join(text_line(row) for row in rows)


def timeline_page(rows: list[EventRow]) -> str:
    """Format the timeline as one HTML page that loads no other files."""
    processes = sorted({process_name(row) for row in rows})
    headers = "".join(f"<th>{html.escape(process)}</th>" for process in processes)
    body = "\n".join(_html_row(row, processes) for row in rows)
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>cranberryrun timeline</title><style>{_STYLE}</style></head>"
        f"<body><h1>Timeline</h1><p>{len(rows)} events. "
        '<input placeholder="show lines that contain"></p>'
        f"<table><thead><tr><th>time (UTC)</th>{headers}</tr></thead>"
        f"<tbody>\n{body}\n</tbody></table><script>{_SCRIPT}</script></body></html>\n"
    )


def _html_row(row: EventRow, processes: list[str]) -> str:
    column = processes.index(process_name(row))
    cells = (
        "<td></td>" * column
        + _html_cell(row)
        + "<td></td>" * (len(processes) - column - 1)
    )
    return f'<tr><td class="time">{format_time(row["wall"])}</td>{cells}</tr>'


def _html_cell(row: EventRow) -> str:
    kind = EVENT_BY_NAME.get(row["event"])
    level = kind.level if kind else "info"
    meaning = html.escape(kind.meaning if kind else "")
    return (
        f'<td class="{level}" title="{meaning}">{row["number"]} '
        f'{html.escape(row["event"])} '
        f"<small>{html.escape(format_fields(row))}</small></td>"
    )


def step_summaries(rows: list[EventRow]) -> list[dict[str, Any]]:
    """Summarize the events of each step, in the order of their first events."""
    by_step: dict[str, dict[str, Any]] = {}
    for row in rows:
        step = row.get("step")
        if step is None:
            continue
        summary = by_step.setdefault(step, _new_summary(step, row))
        summary["seconds"] = round(row["wall"] - summary["began"], 3)
        _update_summary(summary, row)
    return list(by_step.values())


def _new_summary(step: str, row: EventRow) -> dict[str, Any]:
    return {
        "step": step,
        "state": "running",
        "hosts": [],
        "began": row["wall"],
        "seconds": 0.0,
        "groups": 0,
        "samples": 0,
        "dispatched": 0,
        "resumed": 0,
        "made_again": 0,
    }


_STATE_BY_EVENT = {
    "step_started": "running",
    "step_done": "done",
    "step_moved": "moved",
    "step_cut": "cut",
    "step_failed": "failed",
}
_COUNTER_BY_EVENT = {
    "group_handed": "groups",
    "sample_dispatched": "dispatched",
    "sample_resumed": "resumed",
    "sample_stale": "made_again",
    "sample_lost": "made_again",
    "sample_unstamped": "made_again",
}


def _update_summary(summary: dict[str, Any], row: EventRow) -> None:
    event = row["event"]
    if row["host"] not in summary["hosts"]:
        summary["hosts"].append(row["host"])
    summary["state"] = _STATE_BY_EVENT.get(event, summary["state"])
    if event == "group_handed":
        summary["samples"] += row.get("samples", 0)
    counter = _COUNTER_BY_EVENT.get(event)
    if counter is not None:
        summary[counter] += 1
