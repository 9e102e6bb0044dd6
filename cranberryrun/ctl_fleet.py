"""Commands for the running system: hosts, engines, steps, timeline, drain, usage."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import IO, Any

import click

from . import ctl_timeline
from .ctl_client import ControlClient, Request
from .ctl_control import Control, pass_control
from .ctl_errors import ProblemAnswerError
from .ctl_explain import explanation
from .ctl_logs import logs_option, merged_events
from .ctl_output import ExitCode, format_table
from .timeline import EventRow, Selection, merge


@click.command()
@pass_control
def hosts(control: Control) -> None:
    """Show the entry hosts and their state.

    The state is the one that the answering host knows.
    """

    async def show_hosts(client: ControlClient) -> None:
        listed = await client.get("/v1/hosts")
        rows = [
            [
                row["id"],
                row["zone"],
                f"{row['ip']}:{row['api_port']}",
                row["state"],
                row["offset"],
            ]
            for row in listed["hosts"]
        ]
        text = format_table(["HOST", "ZONE", "API", "STATE", "OFFSET"], rows)
        control.show(listed, text)

    control.run(show_hosts)


@click.command()
@pass_control
def engines(control: Control) -> None:
    """Show the state of each engine."""

    async def show_engines(client: ControlClient) -> None:
        listed = await client.get("/v1/engines")
        rows = [_engine_row(item) for item in listed["items"]]
        headers = ["ENGINE", "POOL", "ZONE", "READY", "SLOTS", "VERSIONS"]
        control.show(listed["items"], format_table(headers, rows))

    control.run(show_engines)


def _engine_row(item: dict[str, Any]) -> list[Any]:
    spec, status = item["spec"], item["status"]
    ready = {condition["type"]: condition for condition in status["conditions"]}.get(
        "Ready", {}
    )
    observed = status.get("observed", {})
    versions = ", ".join(
        f"{workload}={version}"
        for workload, version in sorted(observed.get("versions", {}).items())
    )
    state = "yes" if ready.get("status") else ready.get("reason", "-")
    return [
        item["name"],
        spec["pool"],
        spec["zone"],
        state,
        spec["slots"],
        versions or "-",
    ]


@click.command()
@pass_control
def steps(control: Control) -> None:
    """Show the steps in the merged timeline of the hosts."""

    async def show_steps(client: ControlClient) -> None:
        summaries = ctl_timeline.step_summaries(await _read_timeline(client))
        headers = ["STEP", "STATE", "SECONDS", "GROUPS", "SAMPLES", "BEGUN", "RESUMED"]
        rows = [
            [
                row["step"],
                row["state"],
                row["seconds"],
                row["groups"],
                row["samples"],
                row["dispatched"],
                row["resumed"],
                ",".join(row["hosts"]),
            ]
            for row in summaries
        ]
        control.show(summaries, format_table([*headers, "HOSTS"], rows))

    control.run(show_steps)


async def _read_timeline(
    client: ControlClient, selection: Selection = Selection()
) -> list[EventRow]:
    """Return the matching events of all hosts.

    The hosts whose events could not be read are named on standard error.
    """
    query = {
        name: str(value)
        for name, value in asdict(selection).items()
        if value is not None
    }
    body = await client.get("/v1/timeline", **query)
    for host in body["silent"]:
        click.echo(
            f"the timeline lacks the events of {host}, which could not be read",
            err=True,
        )
    return merge(body["events"])


@click.command()
@click.option("--step", help="Only events of this step, such as denoiser/12.")
@click.option("--request", help="Only events of the request with this id.")
@click.option("--change", help="Only events of the change with this id.")
@click.option("--host", help="Only events of this host.")
@click.option(
    "--since",
    help="Only events since this time: an age (90s, 5m, 1h) or an ISO date (UTC).",
)
@click.option(
    "--html",
    "page",
    type=click.Path(path_type=Path),
    help="Write an HTML page to this file.",
)
@logs_option
@pass_control
def timeline(
    control: Control,
    logs: tuple[IO[str], ...],
    step: str | None,
    request: str | None,
    change: str | None,
    host: str | None,
    since: str | None,
    page: Path | None,
) -> None:
    """Show the merged events of all hosts, or those in log files."""

    async def show_timeline(client: ControlClient) -> None:
        start = ctl_timeline.parse_since(since) if since else None
        selection = Selection(step, request, change, host, start)
        rows = await _select_events(client, logs, selection)
        if page is None:
            control.show(rows, ctl_timeline.timeline_text(rows))
            return
        page.write_text(ctl_timeline.timeline_page(rows), encoding="utf-8")
        control.report_progress(f"wrote {len(rows)} events to {page}")

    control.run(show_timeline)


async def _select_events(
    client: ControlClient, logs: tuple[IO[str], ...], selection: Selection
) -> list[EventRow]:
    if logs:
        return merged_events(logs, selection)
    return await _read_timeline(client, selection)


async def _read_context(
    client: ControlClient, kind: str, own_rows: list[EventRow]
) -> list[EventRow]:
    """Return ``own_rows`` and the other events that the explanation needs."""
    if kind == "step" and own_rows:
        since = min(row["wall"] for row in own_rows)
        return await _read_timeline(client, Selection(since=since))
    if any(row["event"] == "change_rejected" for row in own_rows):
        # The change that was applied first may have been made at any time.
        return await _read_timeline(client)
    return own_rows


@click.command()
@click.argument("kind", type=click.Choice(["step", "request", "change"]))
@click.argument("name")
@logs_option
@pass_control
def explain(control: Control, kind: str, name: str, logs: tuple[IO[str], ...]) -> None:
    """Explain what happened to a step, request or change.

    A batch is explained as a step.
    """
    selection = Selection(**{kind: name})

    async def show_explanation(client: ControlClient) -> str:
        if logs:
            rows = merged_events(logs, Selection())
            own_rows = [row for row in rows if selection.matches(row)]
        else:
            own_rows = await _read_timeline(client, selection)
            rows = await _read_context(client, kind, own_rows)
        text = explanation(kind, name, rows)
        if text:
            control.show(own_rows, text)
        return text

    text = control.run(show_explanation)
    if text:
        return
    source = "in the log files" if logs else "in the timeline of any host"
    click.echo(f"there is no event of {kind} {name} {source}", err=True)
    raise SystemExit(int(ExitCode.NOT_FOUND))


@click.command()
@click.argument("host")
@pass_control
def drain(control: Control, host: str) -> None:
    """Drain HOST.

    HOST takes no new work and stops when nothing is in flight any more.
    """

    async def request_drain(client: ControlClient) -> None:
        listed = await client.get("/v1/hosts")
        url = _api_url(listed["hosts"], host, control.hosts[0])
        async with ControlClient(
            [url], control.token, control.timeout, control.ca
        ) as host_client:
            answer = await host_client.send(Request("POST", "/v1/drain"))
        control.show(answer, f"{answer['host']} is draining")

    control.run(request_drain)


def _api_url(rows: list[dict[str, Any]], host: str, known_url: str) -> str:
    scheme = known_url.partition("://")[0]
    for row in rows:
        if row["id"] == host:
            return f"{scheme}://{row['ip']}:{row['api_port']}"
    raise ProblemAnswerError(
        404, {"code": "not_found", "detail": f"there is no host {host}"}
    )


def _show_answer(control: Control, path: str) -> None:
    async def show_answer(client: ControlClient) -> None:
        body = await client.get(path)
        rows = body.get("items") if isinstance(body, dict) else None
        text = json.dumps(body, indent=2)
        if rows:
            columns = list(rows[0])
            text = format_table(
                [column.upper() for column in columns],
                [[row.get(column) for column in columns] for row in rows],
            )
        control.show(body, text)

    control.run(show_answer)


@click.command()
@pass_control
def usage(control: Control) -> None:
    """Show the daily engine time, tokens and bill of each workload."""
    _show_answer(control, "/v1/usage")


@click.command()
@pass_control
def forecast(control: Control) -> None:
    """Show the forecast of next month's bill."""
    _show_answer(control, "/v1/forecast")


COMMANDS = (hosts, engines, steps, timeline, explain, drain, usage, forecast)
