"""``cranberryctl``: the operators' command line, an HTTP client of the hosts."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from . import ctl_duties, ctl_fleet, ctl_keys, ctl_resources, ctl_route, ctl_scale
from .ctl_control import Control

_PROGRAM = "cranberryctl"
_SHELLS = ("bash", "zsh", "fish")


@click.group(context_settings={"auto_envvar_prefix": "CRANBERRYCTL"})
@click.option(
    "--host",
    "hosts",
    multiple=True,
    envvar="CRANBERRYCTL_HOST",
    default=("http://127.0.0.1:8080",),
    show_default=True,
    help="Base URL of an entry host; repeat it to name hosts to fall back on.",
)
@click.option("--token", help="Bearer token with the operator role.")
@click.option(
    "-o",
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)
@click.option("--timeout", type=float, default=30.0, show_default=True, help="Seconds.")
@click.option("--ca", help="File with the certificate authority of the hosts.")
@click.version_option(package_name="cranberryrun")
@click.pass_context
def main(
    context: click.Context,
    hosts: tuple[str, ...],
    token: str | None,
    output: str,
    timeout: float,
    ca: str | None,
) -> None:
    """Declare and watch cranberryrun's resources, and inspect its hosts.

    Exit codes: 0 success, 1 failure, 2 invalid usage or input, 3 not found,
    4 conflict, 5 unavailable or refused, 6 outcome unknown.
    """
    context.obj = Control(hosts, token, output, timeout, ca)


@main.command()
@click.argument("shell", type=click.Choice(_SHELLS))
def completion(shell: str) -> None:
    """Print the completion script for SHELL.

    Add the script to the start-up file of the shell.
    """
    completion_class = get_completion_class(shell)
    click.echo(completion_class(main, {}, _PROGRAM, "_CRANBERRYCTL_COMPLETE").source())


for _command in (
    *ctl_resources.COMMANDS,
    *ctl_fleet.COMMANDS,
    *ctl_route.COMMANDS,
    ctl_duties.duties,
    ctl_keys.workspace_key,
    ctl_scale.scale,
):
    main.add_command(_command)


if __name__ == "__main__":
    main(prog_name=_PROGRAM)
