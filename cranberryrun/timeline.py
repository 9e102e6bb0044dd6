"""Merging the hosts' events into one time line, and choosing from it.

Events of one process stay in its order. An event that is known to cause others
on other hosts stands before them, also where the hosts' clocks disagree. Else
the wall time decides.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

Row = dict[str, Any]

# Effects by cause, for events that share the link field's value.
_EFFECTS_BY_CAUSE: dict[tuple[str, str], frozenset[str]] = {
    ("change", "change_asked"): frozenset({"change_applied", "change_rejected"}),
    ("request", "call_forwarded"): frozenset(
        {"call_intent", "call_first", "call_repeat"}
    ),
    ("step", "step_moved"): frozenset({"sample_resumed"}),
    ("stream", "sample_dispatched"): frozenset({"sample_resumed", "sample_whole"}),
}
LINK_FIELDS = ("step", "request", "change", "stream", "engine", "workload")


@dataclass(frozen=True, slots=True)
class Selection:
    """What to show of a time line. ``since`` is in seconds since 1970."""

    step: str | None = None
    request: str | None = None
    change: str | None = None
    host: str | None = None
    since: float | None = None

    def takes(self, row: Row) -> bool:
        """Say whether ``row`` is to be shown."""
        if self.since is not None and row["wall"] < self.since:
            return False
        wanted = {
            "step": self.step,
            "request": self.request,
            "change": self.change,
            "host": self.host,
        }
        return all(
            value is None or _link(row.get(name)) == value
            for name, value in wanted.items()
        )


def _link(value: Any) -> str | None:
    return None if value is None else str(value)


def process_of(row: Row) -> str:
    """Return the process that an event comes from: host and incarnation."""
    return f"{row['host']}/{row['incarnation']}"


def merge(rows: Iterable[Row]) -> list[Row]:
    """Return ``rows`` in one order; an event that is given twice stands once."""
    by_id = {(process_of(row), row["n"]): row for row in rows}
    ordered = sorted(by_id.values(), key=_time_key)
    effects_by_n, causes_left = _edges(ordered)
    ready = [
        (_time_key(ordered[n]), n) for n, left in enumerate(causes_left) if not left
    ]
    heapq.heapify(ready)
    merged: list[Row] = []
    while ready:
        _, n = heapq.heappop(ready)
        merged.append(ordered[n])
        for effect in effects_by_n[n]:
            causes_left[effect] -= 1
            if not causes_left[effect]:
                heapq.heappush(ready, (_time_key(ordered[effect]), effect))
    if len(merged) < len(ordered):
        # Ids that were used twice can make a circle; times alone decide then.
        return ordered
    return merged


def _time_key(row: Row) -> tuple[float, str, int]:
    return row["wall"], process_of(row), row["n"]


def _edges(ordered: list[Row]) -> tuple[dict[int, list[int]], list[int]]:
    """Return the effects of each row, and how many causes each row waits for."""
    effects_by_n: dict[int, list[int]] = defaultdict(list)
    causes_left = [0] * len(ordered)
    pairs = [*_process_pairs(ordered), *_cause_pairs(ordered)]
    for cause, effect in pairs:
        effects_by_n[cause].append(effect)
        causes_left[effect] += 1
    return effects_by_n, causes_left


def _process_pairs(ordered: list[Row]) -> list[tuple[int, int]]:
    positions_by_process: dict[str, list[int]] = defaultdict(list)
    for position, row in enumerate(ordered):
        positions_by_process[process_of(row)].append(position)
    pairs: list[tuple[int, int]] = []
    for positions in positions_by_process.values():
        positions.sort(key=lambda position: ordered[position]["n"])
        pairs += zip(positions, positions[1:])
    return pairs


def _cause_pairs(ordered: list[Row]) -> list[tuple[int, int]]:
    first_cause: dict[tuple[str, str, str], int] = {}
    for position, row in enumerate(ordered):
        for field, event in _EFFECTS_BY_CAUSE:
            if row["event"] == event and row.get(field) is not None:
                first_cause.setdefault((field, event, _link(row[field])), position)
    pairs: list[tuple[int, int]] = []
    for position, row in enumerate(ordered):
        for (field, event), effects in _EFFECTS_BY_CAUSE.items():
            if row["event"] not in effects or row.get(field) is None:
                continue
            cause = first_cause.get((field, event, _link(row[field])))
            if cause is None or process_of(ordered[cause]) == process_of(row):
                continue
            pairs.append((cause, position))
    return pairs
