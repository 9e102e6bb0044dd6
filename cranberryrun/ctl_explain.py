"""The story of one step, request or change, told from the merged time line."""

from __future__ import annotations

from collections import Counter
from typing import Any

from .catalogue import EVENT_BY_NAME
from .ctl_timeline import details, steps_of, time_text
from .timeline import Row

_REPEATED_EVENTS = frozenset(
    {
        "sample_dispatched",
        "sample_whole",
        "group_handed",
        "sample_resumed",
        "item_run",
        "item_finished",
        "results_read",
    }
)
_LONG_GAP_SECONDS = 1.0


def story(kind: str, name: str, rows: list[Row]) -> str:
    """Return the story of ``name``.

    :param kind: ``step``, ``request`` or ``change``.
    :param rows: the merged time line, or all of it that the story can name.
    """
    own = [row for row in rows if str(row.get(kind)) == name]
    if not own:
        return ""
    lines = [_headline(kind, name, own)]
    lines += _SUMMARY_BY_KIND[kind](own, rows)
    lines.append("")
    lines += _told(own)
    return "\n".join(lines)


def _headline(kind: str, name: str, own: list[Row]) -> str:
    hosts = list(dict.fromkeys(row["host"] for row in own))
    seconds = own[-1]["wall"] - own[0]["wall"]
    return (
        f"{kind} {name}: {len(own)} events at {', '.join(hosts)}, "
        f"from {time_text(own[0]['wall'])} on, over {seconds:.3f} s"
    )


def _told(own: list[Row]) -> list[str]:
    """Return one line an event; what repeats at one host is told together."""
    start = own[0]["wall"]
    lines: list[str] = []
    n = 0
    while n < len(own):
        row = own[n]
        count = _run_length(own, n)
        gap = row["wall"] - own[n - 1]["wall"] if n else 0.0
        if gap >= _LONG_GAP_SECONDS:
            lines.append(f"             ... nothing for {gap:.1f} s")
        lines.append(_line(row, start, count))
        n += count
    return lines


def _run_length(own: list[Row], n: int) -> int:
    row = own[n]
    count = 1
    if row["event"] not in _REPEATED_EVENTS:
        return count
    while n + count < len(own):
        other = own[n + count]
        if (other["event"], other["host"]) != (row["event"], row["host"]):
            break
        count += 1
    return count


def _line(row: Row, start: float, count: int) -> str:
    kind = EVENT_BY_NAME.get(row["event"])
    meaning = kind.meaning if kind else row["event"]
    times = f" ({count} times)" if count > 1 else f" [{details(row)}]"
    return f"{row['wall'] - start:+9.3f} s  {row['host']:10} {meaning}{times}"


def _step_summary(own: list[Row], rows: list[Row]) -> list[str]:
    if any(row["event"].startswith("batch_") for row in own):
        return _batch_summary(own) + _others_meanwhile(own, rows)
    seen = steps_of(own)[0]
    lines = [
        f"It is {seen['state']}: {seen['groups']} groups with {seen['samples']} "
        f"samples were handed over.",
        f"{seen['dispatched']} streams were begun, {seen['resumed']} resumed, "
        f"{seen['made_again']} samples made again.",
    ]
    engines = Counter(
        row["engine"] for row in own if row["event"] == "sample_dispatched"
    )
    if engines:
        shares = ", ".join(f"{name} {count}" for name, count in engines.most_common())
        lines.append(f"Streams by engine: {shares}.")
    lines += _others_meanwhile(own, rows)
    return lines


def _batch_summary(own: list[Row]) -> list[str]:
    """Return how far a batch of the users' platform came, and what came last."""
    by_event: dict[str, list[Row]] = {}
    for row in own:
        by_event.setdefault(row["event"], []).append(row)
    start = own[0]["wall"]
    accepted = by_event.get("batch_accepted", [])
    if accepted:
        seconds = accepted[0]["wall"] - start
        verdict = (
            f"It was accepted at {accepted[0]['host']} after {seconds:.3f} s: "
            f"{accepted[0].get('samples')} samples in {accepted[0].get('groups')} "
            f"groups, of which {accepted[0].get('wanted_groups')} are waited for; "
            f"versions from {accepted[0].get('min_version')} on."
        )
    else:
        verdict = "No host accepted it."
    lines = [verdict]
    refused = by_event.get("batch_refused", []) + by_event.get("batch_unknown", [])
    if refused:
        lines.append(f"{len(refused)} times the store did not take it.")
    finished = by_event.get("item_finished", [])
    if finished:
        last = finished[-1]
        lines.append(
            f"{len(finished)} samples were finished, the last one "
            f"({last.get('sample')}) after {last['wall'] - start:.3f} s."
        )
    outcomes = Counter(row.get("outcome") for row in by_event.get("item_run", []))
    if outcomes:
        texts = ", ".join(f"{name} {count}" for name, count in outcomes.most_common())
        lines.append(f"Runs by outcome: {texts}.")
    for row in by_event.get("results_held", [])[:1]:
        lines.append(f"Results waited for the store: {row.get('reason')}.")
    for row in by_event.get("batch_ended", [])[:1]:
        lines.append(f"It was ended after {row['wall'] - start:.3f} s.")
    return lines


def _others_meanwhile(own: list[Row], rows: list[Row]) -> list[str]:
    """Return the warnings that belong to nothing in particular, in the same time."""
    first, last = own[0]["wall"], own[-1]["wall"]
    found: Counter[str] = Counter()
    for row in rows:
        kind = EVENT_BY_NAME.get(row["event"])
        if kind is None or kind.level == "info" or row.get("step"):
            continue
        if first <= row["wall"] <= last and not row.get("request"):
            found[f"{row['event']} at {row['host']}"] += 1
    if not found:
        return []
    texts = ", ".join(f"{name} ({count})" for name, count in found.most_common(8))
    return [f"Meanwhile: {texts}."]


def _request_summary(own: list[Row], rows: list[Row]) -> list[str]:
    events = [row["event"] for row in own]
    if "request_answered" in events:
        verdict = "It was answered."
    elif "request_unknown" in events:
        verdict = "Nobody can say whether it was run."
    elif "request_refused" in events:
        verdict = "It was refused and not run."
    else:
        verdict = "Its end is not in the time line."
    retries = events.count("request_retried")
    return [verdict, f"It was sent to another target {retries} times."]


def _change_summary(own: list[Row], rows: list[Row]) -> list[str]:
    applied = [row for row in own if row["event"] == "change_applied"]
    rejected = [row for row in own if row["event"] == "change_rejected"]
    if applied:
        hosts = list(dict.fromkeys(row["host"] for row in applied))
        seconds = applied[-1]["wall"] - own[0]["wall"]
        row = applied[0]
        return [
            f"It made {row.get('resource')} generation {row.get('generation')} "
            f"(offset {row.get('offset')}).",
            f"It was applied at {len(hosts)} hosts within {seconds:.3f} s: "
            f"{', '.join(hosts)}.",
        ]
    if rejected:
        return _rejected_summary(own, rejected[0], rows)
    return ["Its outcome is not in the time line: it may not be in the log yet."]


def _rejected_summary(own: list[Row], rejected: Row, rows: list[Row]) -> list[str]:
    lines = [f"It was rejected: {rejected.get('error')}."]
    resource = next((row["resource"] for row in own if row.get("resource")), None)
    winner = _earlier_winner(resource, rejected, rows)
    if winner is not None:
        lines.append(
            f"Change {winner['change']} came first: it made generation "
            f"{winner['generation']} at offset {winner['offset']}."
        )
    return lines


def _earlier_winner(
    resource: str | None, rejected: Row, rows: list[Row]
) -> dict[str, Any] | None:
    winner: Row | None = None
    for row in rows:
        if row["event"] != "change_applied" or row.get("resource") != resource:
            continue
        if row["offset"] >= rejected["offset"]:
            continue
        if winner is None or row["offset"] > winner["offset"]:
            winner = row
    return winner


_SUMMARY_BY_KIND = {
    "step": _step_summary,
    "request": _request_summary,
    "change": _change_summary,
}
