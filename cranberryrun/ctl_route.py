"""The command that explains where a request or a run would go now."""

from __future__ import annotations

from typing import Any

import click

from .ctl_client import ControlClient, Request
from .ctl_control import Control, pass_control
from .ctl_output import format_table, print_data


@click.command()
@click.argument("path", required=False)
@click.option("--method", default="GET", show_default=True)
@click.option("--name", "host_name", help="Host name in the request, as routes have.")
@click.option("--workspace", help="Name of the caller's workspace; never a key.")
@click.option("--model", help="Explain where a run of this model would start.")
@click.option("-o", "--output", type=click.Choice(["table", "json"]))
@pass_control
def route(
    control: Control,
    path: str | None,
    method: str,
    host_name: str | None,
    workspace: str | None,
    model: str | None,
    output: str | None,
) -> None:
    """Explain where a request for PATH would go now, without sending it.

    Give the address of a host's metrics as --host. The answer is what that host knows.
    """
    if (path is None) == (model is None):
        raise click.UsageError("give either a path or --model")
    if path is not None and host_name is None:
        raise click.UsageError("a path needs --name")
    params = {
        "method": method,
        "host": host_name,
        "path": path,
        "workspace": workspace,
        "model": model,
    }

    async def show_route(client: ControlClient) -> None:
        given = {name: value for name, value in params.items() if value is not None}
        explained = await client.send(Request("GET", "/explain", params=given))
        print_data(explained, output or control.output, format_explanation(explained))

    control.run(show_route)


def format_explanation(explained: dict[str, Any]) -> str:
    """Return an explanation as text."""
    lines = [f"route    {explained['route'] or '-'} ({explained['kind'] or '-'})"]
    lines.append(f"service  {explained['service'] or '-'}")
    lines.append(f"chosen   {explained['chosen'] or '-'}")
    refusal = explained["refusal"]
    if refusal is not None:
        wait = refusal["retry_after"]
        after = f", Retry-After {wait:g}" if wait is not None else ""
        lines.append(
            f"refused  {refusal['status']} {refusal['code']}{after}: "
            f"{refusal['detail']}"
        )
    lines += [f"         {_fact_text(fact)}" for fact in explained["facts"]]
    rows = [
        [
            target["id"] + (" *" if target["id"] == explained["chosen"] else ""),
            target["service"],
            target["zone"],
            target["software"],
            target["eligible"],
            "; ".join(_fact_text(fact) for fact in target["reasons_for"]),
            "; ".join(_fact_text(fact) for fact in target["reasons_against"]),
        ]
        for target in explained["targets"]
    ]
    if rows:
        headers = ["TARGET", "SERVICE", "ZONE", "SOFTWARE", "ELIGIBLE", "FOR"]
        lines += ["", format_table([*headers, "AGAINST"], rows)]
    return "\n".join(lines)


def _fact_text(fact: dict[str, Any]) -> str:
    if fact["age"] is None:
        return fact["text"]
    return f"{fact['text']} ({fact['age']:.1f} s ago)"


COMMANDS = (route,)
