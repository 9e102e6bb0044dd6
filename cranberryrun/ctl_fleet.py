"""Commands on what runs: hosts, engines, steps, time line, drain, usage."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import IO, Any

import click

from . import ctl_timeline
from .ctl_client import ControlClient, Request
from .ctl_control import Control, pass_control
from .ctl_explain import story
from .ctl_logs import logs_option, merged_events
from .ctl_output import ExitCode, table
from .exceptions import ProblemAnswerError
from .timeline import Row, Selection, merge


@click.command()
@pass_control
def hosts(control: Control) -> None:
    """Show the entry hosts as one of them sees them."""

    async def work(client: ControlClient) -> None:
        seen = await client.get("/v1/hosts")
        rows = [
            [
                row["id"],
                row["zone"],
                f"{row['ip']}:{row['api_port']}",
                row["state"],
                row["offset"],
            ]
            for row in seen["hosts"]
        ]
        text = table(["HOST", "ZONE", "API", "STATE", "OFFSET"], rows)
        control.show(seen, text)

    control.run(work)


@click.command()
@pass_control
def engines(control: Control) -> None:
    """Show the state of each engine."""

    async def work(client: ControlClient) -> None:
        listed = await client.get("/v1/engines")
        rows = [_engine_row(item) for item in listed["items"]]
        heads = ["ENGINE", "POOL", "ZONE", "READY", "SLOTS", "VERSIONS"]
        control.show(listed["items"], table(heads, rows))

    control.run(work)


def _engine_row(item: dict[str, Any]) -> list[Any]:
    spec, status = item["spec"], item["status"]
    ready = {each["type"]: each for each in status["conditions"]}.get("Ready", {})
    seen = status.get("observed", {})
    versions = ", ".join(
        f"{workload}={version}"
        for workload, version in sorted(seen.get("versions", {}).items())
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
    """Show the steps in the hosts' time lines."""

    async def work(client: ControlClient) -> None:
        found = ctl_timeline.steps_of(await _merged(client))
        heads = ["STEP", "STATE", "SECONDS", "GROUPS", "SAMPLES", "BEGUN", "RESUMED"]
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
            for row in found
        ]
        control.show(found, table([*heads, "HOSTS"], rows))

    control.run(work)


async def _merged(
    client: ControlClient, selection: Selection = Selection()
) -> list[Row]:
    """Return the chosen events of all hosts; say which hosts did not answer."""
    chosen = {
        name: str(value)
        for name, value in asdict(selection).items()
        if value is not None
    }
    body = await client.get("/v1/timeline", **chosen)
    for host in body["silent"]:
        click.echo(f"{host} did not give its events", err=True)
    return merge(body["events"])


@click.command()
@click.option("--step", help="Such as denoiser/12.")
@click.option("--request", help="A request id.")
@click.option("--change", help="A change id.")
@click.option("--host", help="Only events of this host.")
@click.option("--since", help="Like 90s, 5m, 1h, or an ISO date (UTC).")
@click.option(
    "--html", "page", type=click.Path(path_type=Path), help="Write a page there."
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
    """Show the merged events of all hosts, or of log files."""

    async def work(client: ControlClient) -> None:
        start = ctl_timeline.parse_since(since) if since else None
        selection = Selection(step, request, change, host, start)
        rows = await _chosen(client, logs, selection)
        if page is None:
            control.show(rows, ctl_timeline.text(rows))
            return
        page.write_text(ctl_timeline.page(rows), encoding="utf-8")
        control.say(f"{page}: {len(rows)} events")

    control.run(work)


async def _chosen(
    client: ControlClient, logs: tuple[IO[str], ...], selection: Selection
) -> list[Row]:
    if logs:
        return merged_events(logs, selection)
    return await _merged(client, selection)


async def _around(client: ControlClient, kind: str, own: list[Row]) -> list[Row]:
    """Return ``own`` and, where its story names others' events, those too."""
    if kind == "step" and own:
        since = min(row["wall"] for row in own)
        return await _merged(client, Selection(since=since))
    if any(row["event"] == "change_rejected" for row in own):
        # The change that came first may be of any time.
        return await _merged(client)
    return own


@click.command()
@click.argument("kind", type=click.Choice(["step", "request", "change"]))
@click.argument("name")
@logs_option
@pass_control
def explain(control: Control, kind: str, name: str, logs: tuple[IO[str], ...]) -> None:
    """Tell what happened to a step or batch, a request or a change."""
    selection = Selection(**{kind: name})

    async def work(client: ControlClient) -> str:
        if logs:
            rows = merged_events(logs, Selection())
            own = [row for row in rows if selection.takes(row)]
        else:
            own = await _merged(client, selection)
            rows = await _around(client, kind, own)
        text = story(kind, name, rows)
        if text:
            control.show(own, text)
        return text

    text = control.run(work)
    if text:
        return
    where = "stands in the logs" if logs else "is kept at any host"
    click.echo(f"no event of {kind} {name} {where}", err=True)
    raise SystemExit(int(ExitCode.NOT_FOUND))


@click.command()
@click.argument("host")
@pass_control
def drain(control: Control, host: str) -> None:
    """Stop HOST as planned: nothing in flight is cut off."""

    async def work(client: ControlClient) -> None:
        seen = await client.get("/v1/hosts")
        url = _api_url(seen["hosts"], host, control.hosts[0])
        async with ControlClient(
            [url], control.token, control.timeout, control.ca
        ) as one:
            answer = await one.send(Request("POST", "/v1/drain"))
        control.show(answer, f"{answer['host']} is draining")

    control.run(work)


def _api_url(rows: list[dict[str, Any]], host: str, example: str) -> str:
    scheme = example.partition("://")[0]
    for row in rows:
        if row["id"] == host:
            return f"{scheme}://{row['ip']}:{row['api_port']}"
    raise ProblemAnswerError(
        404, {"code": "not_found", "detail": f"there is no host {host}"}
    )


def _show_route(control: Control, path: str) -> None:
    async def work(client: ControlClient) -> None:
        body = await client.get(path)
        rows = body.get("items") if isinstance(body, dict) else None
        text = json.dumps(body, indent=2)
        if rows:
            heads = list(rows[0])
            text = table(
                [head.upper() for head in heads],
                [[row.get(head) for head in heads] for row in rows],
            )
        control.show(body, text)

    control.run(work)


@click.command()
@pass_control
def usage(control: Control) -> None:
    """Show what each workload used of the engines."""
    _show_route(control, "/v1/usage")


@click.command()
@pass_control
def forecast(control: Control) -> None:
    """Show next month's expected bill."""
    _show_route(control, "/v1/forecast")


COMMANDS = (hosts, engines, steps, timeline, explain, drain, usage, forecast)
