"""The command that shows the calls to the platform's API, from log files."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import IO

import click

from .ctl_control import Control, pass_control
from .ctl_logs import logs_option, merged_events
from .ctl_output import format_table
from .ctl_timeline import format_time
from .timeline import EventRow, Selection

_OUTCOME_BY_EVENT = {
    "duty_recorded": "recorded",
    "duty_unanswered": "unanswered",
    "duty_fenced": "fenced",
    "duty_refused": "refused",
    "duty_skipped": "given up",
    "duty_accepted": "accepted",
    "duty_late": "late",
}


@dataclass
class CallSummary:
    """What became of one recorded call. ``failures`` counts attempts without answer.

    ``recorded`` and ``ended`` are in seconds since 1970; ``hosts`` are those that
    recorded or made the call.
    """

    duty: str
    subject: str
    call: int
    outcome: str
    hosts: list[str] = field(default_factory=list)
    failures: int = 0
    recorded: float | None = None
    ended: float | None = None


def call_summaries(rows: list[EventRow]) -> list[CallSummary]:
    """Return a summary of each call in the events, in the order of their first one."""
    summary_by_call: dict[tuple[str, str, int], CallSummary] = {}
    for row in rows:
        outcome = _OUTCOME_BY_EVENT.get(row["event"])
        if outcome is None or "call" not in row:
            # Calls that were skipped before they were recorded have no number.
            continue
        key = (row["duty"], row["subject"], row["call"])
        summary = summary_by_call.setdefault(key, CallSummary(*key, outcome))
        summary.outcome = outcome
        if row["host"] not in summary.hosts:
            summary.hosts.append(row["host"])
        if outcome in ("unanswered", "fenced"):
            summary.failures += 1
        elif outcome == "recorded":
            summary.recorded = row["wall"]
        elif outcome != "late":
            summary.ended = row["wall"]
    return list(summary_by_call.values())


@click.command()
@logs_option
@pass_control
def duties(control: Control, logs: tuple[IO[str], ...]) -> None:
    """Show the calls to the platform's API in log files of hosts."""
    if not logs:
        raise click.UsageError("name the log files of the hosts with --logs")
    summaries = call_summaries(merged_events(logs, Selection()))
    table = [
        [
            each.duty,
            each.subject,
            each.call,
            each.outcome,
            each.failures,
            format_time(each.recorded) if each.recorded is not None else None,
            format_time(each.ended) if each.ended is not None else None,
            ", ".join(each.hosts),
        ]
        for each in summaries
    ]
    headers = "DUTY SUBJECT CALL OUTCOME FAILURES RECORDED ENDED HOSTS".split()
    data = [asdict(each) for each in summaries]
    control.show(data, format_table(headers, table))
