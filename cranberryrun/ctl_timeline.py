"""The time line as text and as an HTML page with a lane for each process."""

from __future__ import annotations

import html
import json
import re
from datetime import datetime, timezone
from typing import Any

from . import clock
from .catalogue import EVENT_BY_NAME
from .exceptions import UsageError
from .timeline import Row, process_of

_SECONDS_BY_UNIT = {"": 1.0, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
_OWN_FIELDS = frozenset({"n", "wall", "loop", "host", "incarnation", "number", "event"})
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
    """Return the wall time that ``text`` means: ``90s``, ``5m`` ago or an ISO date.

    :raises UsageError: it is neither.
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd]?)", text)
    if match:
        return clock.wall() - float(match[1]) * _SECONDS_BY_UNIT[match[2]]
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        raise UsageError(f"--since: {text} is neither like 5m nor a date") from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=timezone.utc)
    return moment.timestamp()


def time_text(wall: float) -> str:
    """Return a wall time as a clock shows it, UTC, with milliseconds."""
    moment = datetime.fromtimestamp(wall, timezone.utc)
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1000:03d}"


def details(row: Row) -> str:
    """Return the fields of an event that are its own, as ``name=value``."""
    return " ".join(
        f"{name}={_value(value)}"
        for name, value in row.items()
        if name not in _OWN_FIELDS and value is not None
    )


def _value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value, default=str)


def text_line(row: Row) -> str:
    """Return one event as a line."""
    start = f"{time_text(row['wall'])} {row['host']:10} {row['number']:3}"
    return f"{start} {row['event']:18} {details(row)}".rstrip()


def text(rows: list[Row]) -> str:
    """Return the time line as lines of text."""
    return "\n".join(text_line(row) for row in rows)


def page(rows: list[Row]) -> str:
    """Return the time line as one HTML page that needs nothing else."""
    lanes = sorted({process_of(row) for row in rows})
    heads = "".join(f"<th>{html.escape(lane)}</th>" for lane in lanes)
    body = "\n".join(_html_row(row, lanes) for row in rows)
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>cranberryrun time line</title><style>{_STYLE}</style></head>"
        f"<body><h1>Time line</h1><p>{len(rows)} events. "
        '<input placeholder="show lines with"></p>'
        f"<table><thead><tr><th>time (UTC)</th>{heads}</tr></thead>"
        f"<tbody>\n{body}\n</tbody></table><script>{_SCRIPT}</script></body></html>\n"
    )


def _html_row(row: Row, lanes: list[str]) -> str:
    own = lanes.index(process_of(row))
    cells = "<td></td>" * own + _html_cell(row) + "<td></td>" * (len(lanes) - own - 1)
    return f'<tr><td class="time">{time_text(row["wall"])}</td>{cells}</tr>'


def _html_cell(row: Row) -> str:
    kind = EVENT_BY_NAME.get(row["event"])
    level = kind.level if kind else "info"
    meaning = html.escape(kind.meaning if kind else "")
    return (
        f'<td class="{level}" title="{meaning}">{row["number"]} '
        f'{html.escape(row["event"])} <small>{html.escape(details(row))}</small></td>'
    )


def steps_of(rows: list[Row]) -> list[dict[str, Any]]:
    """Return what the time line says of each step, the newest last."""
    by_step: dict[str, dict[str, Any]] = {}
    for row in rows:
        step = row.get("step")
        if step is None:
            continue
        seen = by_step.setdefault(step, _new_step(step, row))
        seen["seconds"] = round(row["wall"] - seen["began"], 3)
        _count(seen, row)
    return list(by_step.values())


def _new_step(step: str, row: Row) -> dict[str, Any]:
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


def _count(seen: dict[str, Any], row: Row) -> None:
    event = row["event"]
    if row["host"] not in seen["hosts"]:
        seen["hosts"].append(row["host"])
    seen["state"] = _STATE_BY_EVENT.get(event, seen["state"])
    if event == "group_handed":
        seen["samples"] += row.get("samples", 0)
    counter = _COUNTER_BY_EVENT.get(event)
    if counter is not None:
        seen[counter] += 1
