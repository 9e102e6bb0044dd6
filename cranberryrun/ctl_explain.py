"""Explains one step, request or change from the merged timeline, as text."""

from __future__ import annotations

from collections import Counter
from typing import Any

from .catalogue import EVENT_BY_NAME
from .ctl_timeline import format_fields, format_time, step_summaries
from .timeline import EventRow

# Consecutive events of one of these kinds at one host share one line of output.
_COLLAPSED_EVENTS = frozenset(
    {
        "sample_dispatched",
        "sample_whole",
        "group_handed",
        "sample_resumed",
        "item_run",
        "item_finished",
        "reward_call_ended",
        "results_read",
    }
)
_LONG_GAP_SECONDS = 1.0


def explanation(kind: str, name: str, rows: list[EventRow]) -> str:
    """Return a summary of ``name`` and its events; empty if ``name`` has no events.

    :param kind: ``step``, ``request`` or ``change``.
    :param rows: the merged timeline; it must hold the events of ``name``. For a step
        it must also hold the other events of the same time, and for a rejected
        change the earlier changes, because the summary names those.
    """
    own_rows = [row for row in rows if str(row.get(kind)) == name]
    if not own_rows:
        return ""
    lines = [_headline(kind, name, own_rows)]
    lines += _SUMMARY_BY_KIND[kind](own_rows, rows)
    lines.append("")
    lines += _event_lines(own_rows)
    return "\n".join(lines)


def _headline(kind: str, name: str, own_rows: list[EventRow]) -> str:
    hosts = list(dict.fromkeys(row["host"] for row in own_rows))
    seconds = own_rows[-1]["wall"] - own_rows[0]["wall"]
    return (
        f"{kind} {name}: {len(own_rows)} events at {', '.join(hosts)}, "
        f"starting at {format_time(own_rows[0]['wall'])} UTC, within {seconds:.3f} s"
    )


def _event_lines(own_rows: list[EventRow]) -> list[str]:
    """Return one line per event, or per series of collapsed events at one host."""
    start = own_rows[0]["wall"]
    lines: list[str] = []
    n = 0
    while n < len(own_rows):
        row = own_rows[n]
        count = _repeat_count(own_rows, n)
        gap = row["wall"] - own_rows[n - 1]["wall"] if n else 0.0
        if gap >= _LONG_GAP_SECONDS:
            lines.append(f"             ... no events for {gap:.1f} s")
        lines.append(_event_line(row, start, count))
        n += count
    return lines


def _repeat_count(own_rows: list[EventRow], n: int) -> int:
    row = own_rows[n]
    count = 1
    if row["event"] not in _COLLAPSED_EVENTS:
        return count
    while n + count < len(own_rows):
        other = own_rows[n + count]
        if (other["event"], other["host"]) != (row["event"], row["host"]):
            break
        count += 1
    return count


def _event_line(row: EventRow, start: float, count: int) -> str:
    kind = EVENT_BY_NAME.get(row["event"])
    meaning = kind.meaning if kind else row["event"]
    times = f" ({count} times)" if count > 1 else f" [{format_fields(row)}]"
    return f"{row['wall'] - start:+9.3f} s  {row['host']:10} {meaning}{times}"


def _step_summary(own_rows: list[EventRow], rows: list[EventRow]) -> list[str]:
    if any(row["event"].startswith("batch_") for row in own_rows):
        return _batch_summary(own_rows) + _concurrent_warnings(own_rows, rows)
    summary = step_summaries(own_rows)[0]
    lines = [
        f"The step is {summary['state']}: {summary['groups']} groups with "
        f"{summary['samples']} samples were handed over to the trainer.",
        f"{summary['dispatched']} streams were started, {summary['resumed']} resumed; "
        f"{summary['made_again']} samples were discarded and generated again.",
    ]
    engines = Counter(
        row["engine"] for row in own_rows if row["event"] == "sample_dispatched"
    )
    if engines:
        shares = ", ".join(f"{name} {count}" for name, count in engines.most_common())
        lines.append(f"Streams by engine: {shares}.")
    lines += _concurrent_warnings(own_rows, rows)
    return lines


def _batch_summary(own_rows: list[EventRow]) -> list[str]:
    """Summarize a batch that was submitted through the users' platform."""
    by_event: dict[str, list[EventRow]] = {}
    for row in own_rows:
        by_event.setdefault(row["event"], []).append(row)
    start = own_rows[0]["wall"]
    accepted = by_event.get("batch_accepted", [])
    if accepted:
        seconds = accepted[0]["wall"] - start
        outcome = (
            f"The batch was accepted at {accepted[0]['host']} after {seconds:.3f} s: "
            f"{accepted[0].get('samples')} samples in {accepted[0].get('groups')} "
            f"groups, of which the trainer needs {accepted[0].get('wanted_groups')}; "
            f"minimum weight version {accepted[0].get('min_version')}."
        )
    else:
        outcome = "No host accepted the batch."
    lines = [outcome]
    refused = [
        row
        for name in ("batch_refused", "batch_rejected", "batch_unknown")
        for row in by_event.get(name, [])
    ]
    if refused:
        lines.append(
            f"Attempts that were refused or had an unknown outcome: {len(refused)}."
        )
    finished = by_event.get("item_finished", [])
    if finished:
        last = finished[-1]
        lines.append(
            f"{len(finished)} samples finished, the last one "
            f"({last.get('sample')}) after {last['wall'] - start:.3f} s."
        )
    outcomes = Counter(row.get("outcome") for row in by_event.get("item_run", []))
    if outcomes:
        texts = ", ".join(f"{name} {count}" for name, count in outcomes.most_common())
        lines.append(f"Runs by outcome: {texts}.")
    lines += _reward_summary(by_event)
    for row in by_event.get("results_held", [])[:1]:
        lines.append(
            f"Writing results to the store failed and is retried: {row.get('reason')}."
        )
    for row in by_event.get("batch_ended", [])[:1]:
        lines.append(f"The trainer ended the batch after {row['wall'] - start:.3f} s.")
    return lines


def _reward_summary(by_event: dict[str, list[EventRow]]) -> list[str]:
    """Summarize the reward calls of a batch; empty if it has none."""
    ended = by_event.get("reward_call_ended", [])
    if not ended:
        return []
    outcomes = Counter(row.get("outcome") for row in ended)
    texts = ", ".join(f"{name} {count}" for name, count in outcomes.most_common())
    slowest = max(ended, key=lambda row: row.get("seconds", 0.0))
    lines = [
        f"Reward calls by outcome: {texts}; the slowest (sample "
        f"{slowest.get('sample')}) took {slowest.get('seconds')} s with "
        f"{slowest.get('errors')} errors and {slowest.get('failed_runs')} failed runs."
    ]
    failures = Counter(
        f"{row.get('code')} at {row.get('target')}"
        for row in by_event.get("reward_call_failed", [])
    )
    if failures:
        texts = ", ".join(f"{name} ({n})" for name, n in failures.most_common(5))
        lines.append(f"Failed attempts at reward calls: {texts}.")
    return lines


def _concurrent_warnings(own_rows: list[EventRow], rows: list[EventRow]) -> list[str]:
    """Count the warnings of the same time that belong to no step or request."""
    first, last = own_rows[0]["wall"], own_rows[-1]["wall"]
    counts: Counter[str] = Counter()
    for row in rows:
        kind = EVENT_BY_NAME.get(row["event"])
        if kind is None or kind.level == "info" or row.get("step"):
            continue
        if first <= row["wall"] <= last and not row.get("request"):
            counts[f"{row['event']} at {row['host']}"] += 1
    if not counts:
        return []
    texts = ", ".join(f"{name} ({count})" for name, count in counts.most_common(8))
    return [f"Meanwhile: {texts}."]


def _request_summary(own_rows: list[EventRow], rows: list[EventRow]) -> list[str]:
    events = [row["event"] for row in own_rows]
    if "request_answered" in events:
        outcome = "The request was answered."
    elif "request_unknown" in events:
        outcome = "It is not known whether the request was executed."
    elif "request_refused" in events:
        outcome = "The request was refused and not executed."
    else:
        outcome = "The outcome of the request is not in the timeline."
    retries = events.count("request_retried")
    return [outcome, f"It was retried on another target {retries} times."]


def _change_summary(own_rows: list[EventRow], rows: list[EventRow]) -> list[str]:
    applied = [row for row in own_rows if row["event"] == "change_applied"]
    rejected = [row for row in own_rows if row["event"] == "change_rejected"]
    if applied:
        hosts = list(dict.fromkeys(row["host"] for row in applied))
        seconds = applied[-1]["wall"] - own_rows[0]["wall"]
        row = applied[0]
        return [
            f"The change set {row.get('resource')} to generation "
            f"{row.get('generation')} (offset {row.get('offset')}).",
            f"It was applied at {len(hosts)} hosts within {seconds:.3f} s: "
            f"{', '.join(hosts)}.",
        ]
    if rejected:
        return _rejected_summary(own_rows, rejected[0], rows)
    return [
        "The outcome of the change is not in the timeline: it may not be in the log "
        "yet."
    ]


def _rejected_summary(
    own_rows: list[EventRow], rejected: EventRow, rows: list[EventRow]
) -> list[str]:
    lines = [f"The change was rejected: {rejected.get('error')}."]
    resource = next((row["resource"] for row in own_rows if row.get("resource")), None)
    earlier = _last_applied_before(resource, rejected, rows)
    if earlier is not None:
        lines.append(
            f"Change {earlier['change']} was applied first: it set generation "
            f"{earlier['generation']} at offset {earlier['offset']}."
        )
    return lines


def _last_applied_before(
    resource: str | None, rejected: EventRow, rows: list[EventRow]
) -> dict[str, Any] | None:
    """Return the last change applied to ``resource`` before ``rejected``."""
    latest: EventRow | None = None
    for row in rows:
        if row["event"] != "change_applied" or row.get("resource") != resource:
            continue
        if row["offset"] >= rejected["offset"]:
            continue
        if latest is None or row["offset"] > latest["offset"]:
            latest = row
    return latest


_SUMMARY_BY_KIND = {
    "step": _step_summary,
    "request": _request_summary,
    "change": _change_summary,
}
