"""What the commands of ``cranberryctl`` share: options, client, output."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import click
import uvloop

from .ctl_client import ControlClient
from .ctl_output import ExitCode, fail, print_data
from .exceptions import ControlError

Work = Callable[[ControlClient], Coroutine[Any, Any, Any]]


@dataclass(frozen=True, slots=True)
class Control:
    """The options that all commands share."""

    hosts: tuple[str, ...]
    token: str | None
    output: str
    timeout: float
    ca: str | None

    def run(self, work: Work) -> Any:
        """Run ``work`` with a client; print its error and exit if it fails."""
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                return runner.run(self._with_client(work))
        except ControlError as error:
            fail(error, self.output)
        except KeyboardInterrupt:
            raise SystemExit(int(ExitCode.OK)) from None

    async def _with_client(self, work: Work) -> Any:
        hosts = list(self.hosts)
        async with ControlClient(hosts, self.token, self.timeout, self.ca) as client:
            return await work(client)

    def show(self, data: Any, text: str) -> None:
        """Print ``data`` in the output format that was asked for."""
        print_data(data, self.output, text)

    def say(self, text: str) -> None:
        """Report progress; on standard error where the output is JSON."""
        click.echo(text, err=self.output == "json")


pass_control = click.make_pass_decorator(Control)
