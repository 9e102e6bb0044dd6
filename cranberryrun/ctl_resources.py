"""Commands on declared resources: apply, get, describe, watch, delete, diff."""

from __future__ import annotations

import uuid
from typing import Any, TextIO

import click

from .ctl_apply import (
    Apply,
    current,
    difference,
    parse_resources,
    path_of,
    plural,
    wait_in_force,
)
from .ctl_client import ControlClient, Request
from .ctl_control import Control, pass_control
from .ctl_output import ExitCode, description, resource_table
from .models import KINDS

_IN_FORCE_SECONDS = 30.0


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
    help="JSON: one {kind, name, spec} or a list; - is standard input.",
)


@click.command()
@file_option
@click.option("--wait/--no-wait", default=False, help="Wait until in force.")
@click.option(
    "--wait-timeout",
    type=float,
    default=_IN_FORCE_SECONDS,
    show_default=True,
    help="Seconds.",
)
@click.option("--change-id", help="Of an earlier apply whose outcome is unknown.")
@pass_control
def apply(
    control: Control,
    source: TextIO,
    wait: bool,
    wait_timeout: float,
    change_id: str | None,
) -> None:
    """Declare the resources of a file, in its order."""

    async def work(client: ControlClient) -> None:
        declared = parse_resources(source.read())
        base = change_id or uuid.uuid4().hex[:16]
        applying = Apply(client, base, change_id is not None, control.say)
        results = []
        for n, each in enumerate(declared):
            results.append(await applying.one(each, n))
        if wait:
            results = [
                await wait_in_force(client, each, wait_timeout, control.say)
                for each in results
            ]
        if control.output == "json":
            control.show(results, "")

    control.run(work)


@click.command()
@kind_argument
@click.argument("name", required=False)
@pass_control
def get(control: Control, kind: str, name: str | None) -> None:
    """Show the resources of KIND, or one of them."""

    async def work(client: ControlClient) -> None:
        if name is not None:
            item = await client.get(path_of(kind, name))
            control.show(item, resource_table([item]))
            return
        listed = await client.get(f"/v1/{plural(kind)}")
        control.show(listed, resource_table(listed["items"]))

    control.run(work)


@click.command()
@kind_argument
@click.argument("name")
@pass_control
def describe(control: Control, kind: str, name: str) -> None:
    """Show everything of one resource."""

    async def work(client: ControlClient) -> None:
        item = await client.get(path_of(kind, name))
        control.show(item, description(item))

    control.run(work)


@click.command()
@kind_argument
@click.option("--from", "offset", type=int, help="Only changes after this offset.")
@click.option("--count", type=int, help="End after this many events.")
@pass_control
def watch(control: Control, kind: str, offset: int | None, count: int | None) -> None:
    """Show each change of KIND, and of its status, as it happens."""

    async def work(client: ControlClient) -> None:
        seen = 0
        async for event in client.watch(f"/v1/{plural(kind)}", offset):
            if event["event"] == "bookmark":
                continue
            control.show(event, _watch_line(event))
            seen += 1
            if seen == count or event["event"] == "expired":
                return

    control.run(work)


def _watch_line(event: dict[str, Any]) -> str:
    if event["event"] == "expired":
        return "expired: watch again without --from"
    resource = event["resource"]
    start = f"{event['offset']:6} {event['event']:8} {resource['kind']}/"
    if "status" not in resource:
        return start + resource["name"]
    rows = resource_table([resource]).splitlines()[1]
    return f"{event['offset']:6} {event['event']:8} {rows}"


@click.command()
@kind_argument
@click.argument("name")
@click.option("--generation", type=int, help="Only if it has this generation now.")
@click.option("--change-id", help="Of an earlier try whose outcome is unknown.")
@pass_control
def delete(
    control: Control,
    kind: str,
    name: str,
    generation: int | None,
    change_id: str | None,
) -> None:
    """Delete a resource."""

    async def work(client: ControlClient) -> None:
        headers = {} if generation is None else {"If-Match": f'"{generation}"'}
        request = Request(
            "DELETE",
            path_of(kind, name),
            headers=headers,
            change_id=change_id or uuid.uuid4().hex,
        )
        answer = await client.send(request)
        control.show(answer, f"{plural(kind)}/{name} deleted")

    control.run(work)


@click.command()
@file_option
@pass_control
def diff(control: Control, source: TextIO) -> None:
    """Show what `apply` of a file would change; exit 1 if anything."""

    async def work(client: ControlClient) -> list[str]:
        found = []
        for declared in parse_resources(source.read()):
            known = await current(client, declared.kind, declared.name)
            found.append(difference(declared, known))
        return [each for each in found if each]

    found = control.run(work)
    control.show({"differences": found}, "\n".join(found))
    raise SystemExit(int(ExitCode.FAILED if found else ExitCode.OK))


COMMANDS = (apply, get, describe, watch, delete, diff)
