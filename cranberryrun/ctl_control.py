"""The options, client and output that all commands of ``cranberryctl`` share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import click
import uvloop

from .ctl_client import ControlClient
from .ctl_errors import ControlError
from .ctl_output import ExitCode, exit_with_error, print_data

ClientCommand = Callable[[ControlClient], Coroutine[Any, Any, Any]]


@dataclass(frozen=True, slots=True)
class Control:
    """Runs commands with the options that all of them share."""

    hosts: tuple[str, ...]
    token: str | None
    output: str
    timeout: float
    ca: str | None

    def run(self, command: ClientCommand) -> Any:
        """Run ``command`` with a client; on an error, print it and exit."""
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                return runner.run(self._run_with_client(command))
        except ControlError as error:
            exit_with_error(error, self.output)
        except KeyboardInterrupt:
            raise SystemExit(int(ExitCode.OK)) from None

    async def _run_with_client(self, command: ClientCommand) -> Any:
        hosts = list(self.hosts)
        async with ControlClient(hosts, self.token, self.timeout, self.ca) as client:
            return await command(client)

    def show(self, data: Any, text: str) -> None:
        """Print ``data`` as JSON if ``--output`` is ``json``, else ``text``."""
        print_data(data, self.output, text)

    def report_progress(self, text: str) -> None:
        """Print a line of progress; to standard error if the output is JSON."""
        click.echo(text, err=self.output == "json")


pass_control = click.make_pass_decorator(Control)
