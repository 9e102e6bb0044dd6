"""Commands for declared resources: apply, get, describe, watch, delete, diff."""

from __future__ import annotations

import uuid
from typing import Any, TextIO

import click

from .ctl_apply import (
    ResourceApplier,
    fetch_resource,
    parse_resources,
    plural,
    resource_path,
    spec_diff,
    wait_in_force,
)
from .ctl_client import ControlClient, Request
from .ctl_control import Control, pass_control
from .ctl_output import ExitCode, description, resource_table
from .ctl_workspaces import workspace_table
from .models import KINDS

_DEFAULT_WAIT_SECONDS = 30.0


def _complete_kind(
    context: click.Context, parameter: click.Parameter, incomplete: str
) -> list[str]:
    return [kind for kind in KINDS if kind.startswith(incomplete)]


kind_argument = click.argument("kind", shell_complete=_complete_kind)
file_option = click.option(
    "-f",
    "--file",
    "source",
    type=click.File("r", encoding="utf-8"),
    required=True,
    help="JSON file with one {kind, name, spec} or a list; - is standard input.",
)


@click.command()
@file_option
@click.option(
    "--wait/--no-wait", default=False, help="Wait until the resources are in force."
)
@click.option(
    "--wait-timeout",
    type=float,
    default=_DEFAULT_WAIT_SECONDS,
    show_default=True,
    help="Seconds.",
)
@click.option(
    "--change-id",
    help="Change id of an earlier apply whose outcome is unknown.",
)
@pass_control
def apply(
    control: Control,
    source: TextIO,
    wait: bool,
    wait_timeout: float,
    change_id: str | None,
) -> None:
    """Declare the resources of a file, in the order of the file."""

    async def apply_resources(client: ControlClient) -> None:
        resources = parse_resources(source.read())
        base_id = change_id or uuid.uuid4().hex[:16]
        applier = ResourceApplier(
            client, base_id, change_id is not None, control.report_progress
        )
        results = []
        for n, declared in enumerate(resources):
            results.append(await applier.apply(declared, n))
        if wait:
            results = [
                await wait_in_force(
                    client, resource, wait_timeout, control.report_progress
                )
                for resource in results
            ]
        if control.output == "json":
            control.show(results, "")

    control.run(apply_resources)


@click.command()
@kind_argument
@click.argument("name", required=False)
@pass_control
def get(control: Control, kind: str, name: str | None) -> None:
    """Show all resources of KIND, or the one called NAME."""

    async def show_resources(client: ControlClient) -> None:
        if name is not None:
            item = await client.get(resource_path(kind, name))
            control.show(item, format_items([item]))
            return
        listed = await client.get(f"/v1/{plural(kind)}")
        control.show(listed, format_items(listed["items"]))

    format_items = workspace_table if plural(kind) == "workspaces" else resource_table

    control.run(show_resources)


@click.command()
@kind_argument
@click.argument("name")
@pass_control
def describe(control: Control, kind: str, name: str) -> None:
    """Show all fields of one resource."""

    async def show_description(client: ControlClient) -> None:
        item = await client.get(resource_path(kind, name))
        control.show(item, description(item))

    control.run(show_description)


@click.command()
@kind_argument
@click.option("--from", "offset", type=int, help="Only changes after this log offset.")
@click.option("--count", type=int, help="End after this many events.")
@pass_control
def watch(control: Control, kind: str, offset: int | None, count: int | None) -> None:
    """Show changes of KIND and of its status as they happen."""

    async def print_events(client: ControlClient) -> None:
        event_count = 0
        async for event in client.watch(f"/v1/{plural(kind)}", offset):
            if event["event"] == "bookmark":
                continue
            control.show(event, _watch_line(event))
            event_count += 1
            if event_count == count or event["event"] == "expired":
                return

    control.run(print_events)


def _watch_line(event: dict[str, Any]) -> str:
    if event["event"] == "expired":
        return "expired: watch again without --from"
    resource = event["resource"]
    prefix = f"{event['offset']:6} {event['event']:8} {resource['kind']}/"
    if "status" not in resource:
        return prefix + resource["name"]
    table_row = resource_table([resource]).splitlines()[1]
    return f"{event['offset']:6} {event['event']:8} {table_row}"


@click.command()
@kind_argument
@click.argument("name")
@click.option(
    "--generation", type=int, help="Delete only if this is the current generation."
)
@click.option(
    "--change-id",
    help="Change id of an earlier delete whose outcome is unknown.",
)
@pass_control
def delete(
    control: Control,
    kind: str,
    name: str,
    generation: int | None,
    change_id: str | None,
) -> None:
    """Delete a resource."""

    async def delete_resource(client: ControlClient) -> None:
        headers = {} if generation is None else {"If-Match": f'"{generation}"'}
        request = Request(
            "DELETE",
            resource_path(kind, name),
            headers=headers,
            change_id=change_id or uuid.uuid4().hex,
        )
        answer = await client.send(request)
        control.show(answer, f"{plural(kind)}/{name} deleted")

    control.run(delete_resource)


@click.command()
@file_option
@pass_control
def diff(control: Control, source: TextIO) -> None:
    """Show what `apply` of a file would change.

    Exit with 1 if there are changes.
    """

    async def compare(client: ControlClient) -> list[str]:
        diffs = []
        for declared in parse_resources(source.read()):
            current = await fetch_resource(client, declared.kind, declared.name)
            diffs.append(spec_diff(declared, current))
        return [spec_change for spec_change in diffs if spec_change]

    diffs = control.run(compare)
    control.show({"differences": diffs}, "\n".join(diffs))
    raise SystemExit(int(ExitCode.FAILED if diffs else ExitCode.OK))


COMMANDS = (apply, get, describe, watch, delete, diff)
