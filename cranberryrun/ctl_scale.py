"""The command that shows the orders for engines, from log files."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import IO, Any

import click

from .ctl_control import Control, pass_control
from .ctl_logs import logs_option, merged_events
from .ctl_output import format_table
from .ctl_timeline import format_time
from .timeline import EventRow, Selection

_WANTED = "engines_wanted"
_OUTCOME_BY_ANSWER = {"engines_ordered": "accepted", "engine_order_refused": "refused"}
_RECORDED = "duty_recorded"
_SKIPPED = "duty_skipped"
_GIVEN_UP = "given up"
# The fields of ``engines_wanted`` from which the number was computed.
_INPUT_FIELDS = ("needed_slots", "runs", "paces", "events", "intervals")


@dataclass
class OrderSummary:
    """What became of one order for engines of a kind in a zone.

    ``present`` engines were there when it was decided. ``wanted`` and ``answered`` are
    in seconds since 1970; ``demand_age`` is the age of the newest step at the decision
    and ``answer_age`` that of the order at its answer, in seconds. ``reason`` and the
    inputs are None or empty if the event of the decision is not in the logs.
    """

    service: str
    zone: str
    spot: bool
    count: int
    present: int
    outcome: str
    hosts: list[str] = field(default_factory=list)
    reason: str | None = None
    wanted: float | None = None
    answered: float | None = None
    demand_age: float | None = None
    answer_age: float | None = None
    inputs: dict[str, Any] = field(default_factory=dict)


def order_summaries(rows: list[EventRow]) -> list[OrderSummary]:
    """Return a summary of each order in the events, in the order of their first one."""
    summaries: list[OrderSummary] = []
    # The newest order of each service, zone and kind, by the subject of its calls.
    last_by_subject: dict[str, OrderSummary] = {}
    newest_call_by_subject: dict[str, int] = {}
    for row in rows:
        event = row["event"]
        if event in (_RECORDED, _SKIPPED) and row.get("duty") == "scale":
            if "call" not in row:
                # Calls that were skipped before they were recorded have no number.
                continue
            if event == _RECORDED:
                newest_call_by_subject[row["subject"]] = row["call"]
                continue
            # An older call that is skipped was superseded by a newer one.
            newest = newest_call_by_subject.get(row["subject"], row["call"])
            summary = last_by_subject.get(row["subject"])
            if summary is not None and row["call"] >= newest:
                _apply_answer(summary, row, _GIVEN_UP)
            continue
        if event != _WANTED and event not in _OUTCOME_BY_ANSWER:
            continue
        subject = _subject(row)
        summary = last_by_subject.get(subject)
        if event == _WANTED:
            if summary is not None and summary.answered is None:
                summary.outcome = "superseded"
            summary = _new_summary(row)
            summary.wanted, summary.reason = row["wall"], row.get("reason")
            summary.demand_age = row.get("demand_age")
            summary.inputs = {name: row.get(name) for name in _INPUT_FIELDS}
            summaries.append(summary)
            last_by_subject[subject] = summary
            continue
        if summary is not None and summary.outcome == _GIVEN_UP:
            # The decision is told that an order given up was not carried out.
            continue
        if summary is None or not _answers(summary, row):
            # The decision was logged by a host whose log is missing.
            summary = _new_summary(row)
            summaries.append(summary)
            last_by_subject[subject] = summary
        _apply_answer(summary, row, _OUTCOME_BY_ANSWER[event])
    return summaries


def _subject(row: EventRow) -> str:
    return f"{row['service']}/{row['zone']}" + ("/spot" if row["spot"] else "")


def _answers(summary: OrderSummary, row: EventRow) -> bool:
    """Return whether the answer in ``row`` is that of this order."""
    return summary.answered is None and summary.count == row["count"]


def _new_summary(row: EventRow) -> OrderSummary:
    return OrderSummary(
        service=row["service"],
        zone=row["zone"],
        spot=row["spot"],
        count=row["count"],
        present=row["present"],
        outcome="recorded",
        hosts=[row["host"]],
    )


def _apply_answer(summary: OrderSummary, row: EventRow, outcome: str) -> None:
    summary.outcome, summary.answered = outcome, row["wall"]
    summary.answer_age = row.get("age")
    if row["host"] not in summary.hosts:
        summary.hosts.append(row["host"])


@click.command()
@logs_option
@pass_control
def scale(control: Control, logs: tuple[IO[str], ...]) -> None:
    """Show the orders for engines in log files of hosts."""
    if not logs:
        raise click.UsageError("name the log files of the hosts with --logs")
    summaries = order_summaries(merged_events(logs, Selection()))
    table = [
        [
            format_time(each.wanted) if each.wanted is not None else None,
            each.service,
            each.zone,
            "spot" if each.spot else "on-demand",
            each.present,
            each.count,
            each.outcome,
            each.answer_age,
            each.inputs.get("needed_slots"),
            each.inputs.get("runs"),
            each.demand_age,
            ", ".join(each.hosts),
            each.reason,
        ]
        for each in summaries
    ]
    headers = (
        "WANTED SERVICE ZONE KIND PRESENT COUNT OUTCOME ANSWER-AGE SLOTS RUNS "
        "DEMAND-AGE HOSTS REASON"
    ).split()
    data = [asdict(each) for each in summaries]
    control.show(data, format_table(headers, table))
