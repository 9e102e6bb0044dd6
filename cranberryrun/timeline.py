"""Merges the events of all hosts into one timeline, and filters it.

The events of one process keep their order. An event that is known to cause events on
other hosts is placed before them, even if the hosts' clocks disagree. All other
events are ordered by wall time.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# One event as a JSON object, with the keys of :meth:`.events.Event.as_dict`.
EventRow = dict[str, Any]

# Effects by link field and cause. An event is a cause of another only if both have
# the same value of the link field.
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
    """A filter of the timeline; a field that is None matches any event.

    ``since`` is in seconds since 1970.
    """

    step: str | None = None
    request: str | None = None
    change: str | None = None
    host: str | None = None
    since: float | None = None

    def matches(self, row: EventRow) -> bool:
        """Return whether ``row`` passes the filter."""
        if self.since is not None and row["wall"] < self.since:
            return False
        expected = {
            "step": self.step,
            "request": self.request,
            "change": self.change,
            "host": self.host,
        }
        return all(
            value is None or _link_value(row.get(name)) == value
            for name, value in expected.items()
        )


def _link_value(value: Any) -> str | None:
    return None if value is None else str(value)


def process_name(row: EventRow) -> str:
    """Return the process that recorded the event, as ``<host>/<incarnation>``."""
    return f"{row['host']}/{row['incarnation']}"


def merge(rows: Iterable[EventRow]) -> list[EventRow]:
    """Return ``rows`` in timeline order, without duplicates."""
    by_id = {(process_name(row), row["n"]): row for row in rows}
    ordered = sorted(by_id.values(), key=_time_key)
    effects_by_position, remaining_causes = _edges(ordered)
    ready = [
        (_time_key(ordered[position]), position)
        for position, count in enumerate(remaining_causes)
        if not count
    ]
    heapq.heapify(ready)
    merged: list[EventRow] = []
    while ready:
        _, position = heapq.heappop(ready)
        merged.append(ordered[position])
        for effect in effects_by_position[position]:
            remaining_causes[effect] -= 1
            if not remaining_causes[effect]:
                heapq.heappush(ready, (_time_key(ordered[effect]), effect))
    if len(merged) < len(ordered):
        # Ids that were used twice can form a cycle. Then the wall time alone decides.
        return ordered
    return merged


def _time_key(row: EventRow) -> tuple[float, str, int]:
    return row["wall"], process_name(row), row["n"]


def _edges(ordered: list[EventRow]) -> tuple[dict[int, list[int]], list[int]]:
    """Return the effects of each position, and the number of its causes."""
    effects_by_position: dict[int, list[int]] = defaultdict(list)
    remaining_causes = [0] * len(ordered)
    edges = [*_process_order_edges(ordered), *_causal_edges(ordered)]
    for cause, effect in edges:
        effects_by_position[cause].append(effect)
        remaining_causes[effect] += 1
    return effects_by_position, remaining_causes


def _process_order_edges(ordered: list[EventRow]) -> list[tuple[int, int]]:
    positions_by_process: dict[str, list[int]] = defaultdict(list)
    for position, row in enumerate(ordered):
        positions_by_process[process_name(row)].append(position)
    edges: list[tuple[int, int]] = []
    for positions in positions_by_process.values():
        positions.sort(key=lambda position: ordered[position]["n"])
        edges += zip(positions, positions[1:])
    return edges


def _causal_edges(ordered: list[EventRow]) -> list[tuple[int, int]]:
    first_cause_position: dict[tuple[str, str, str], int] = {}
    for position, row in enumerate(ordered):
        for field, event in _EFFECTS_BY_CAUSE:
            if row["event"] == event and row.get(field) is not None:
                first_cause_position.setdefault(
                    (field, event, _link_value(row[field])), position
                )
    edges: list[tuple[int, int]] = []
    for position, row in enumerate(ordered):
        for (field, event), effects in _EFFECTS_BY_CAUSE.items():
            if row["event"] not in effects or row.get(field) is None:
                continue
            cause = first_cause_position.get((field, event, _link_value(row[field])))
            if cause is None or process_name(ordered[cause]) == process_name(row):
                continue
            edges.append((cause, position))
    return edges
