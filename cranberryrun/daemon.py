"""``cranberryrund``: the process of one entry host."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

import aiomisc
import click

from . import logging_setup
from .api import Api
from .exceptions import CranberryrunError, SettingsError
from .host import Host
from .security import check_tls
from .settings import Settings, load_settings

_EXIT_FAILED = 1
# The reader of standard output may be blocked; it must not delay the exit for long.
_LOG_FLUSH_TIMEOUT_SECONDS = 0.2
_EXIT_SETTINGS = 2
_EXIT_BY_ERROR = {SettingsError: _EXIT_SETTINGS}
_EXAMPLE_SETTINGS = {
    "id": "host-1",
    "zone": "zone-a",
    "ip": "127.0.0.1",
    "api_port": 8080,
    "peer_port": 8081,
    "log": {"url": "http://127.0.0.1:9001"},
    "host_list_url": "http://127.0.0.1:9002",
}


class HostService(aiomisc.Service):
    """Runs a :class:`Host`; ``drained`` is set when its graceful stop is complete."""

    settings: Settings

    async def start(self) -> None:
        """Start the host; SIGTERM and SIGINT start a graceful stop."""
        self.host = Host(self.settings)
        self.drained = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._begin_drain)
        await self.host.start()
        self.host.kernel.get(Api).on_drain_requested = self._begin_drain

    def _begin_drain(self) -> None:
        if self._drain_task is not None:
            return
        self._drain_task = asyncio.get_running_loop().create_task(self._drain())

    async def _drain(self) -> None:
        await self.host.drain()
        self.drained.set()


@click.command()
@click.argument("settings_file", type=click.Path(path_type=Path), required=False)
@click.option("--check-settings", is_flag=True, help="Check the file and exit.")
@click.option("--print-default-settings", is_flag=True, help="Print an example.")
@click.option("--print-settings-schema", is_flag=True, help="Print a JSON Schema.")
def main(
    settings_file: Path | None,
    check_settings: bool,
    print_default_settings: bool,
    print_settings_schema: bool,
) -> None:
    """Run one entry host of cranberryrun with the settings in SETTINGS_FILE."""
    if print_default_settings:
        defaults = Settings.model_validate(_EXAMPLE_SETTINGS)
        click.echo(json.dumps(defaults.model_dump(mode="json"), indent=2))
        return
    if print_settings_schema:
        click.echo(json.dumps(Settings.model_json_schema(), indent=2))
        return
    if settings_file is None:
        raise click.UsageError("a settings file is required; see --help")
    try:
        settings = load_settings(settings_file)
        check_tls(settings.tls)
    except SettingsError as error:
        click.echo(f"cranberryrund: {error.detail}", err=True)
        sys.exit(_EXIT_SETTINGS)
    if check_settings:
        click.echo(f"{settings_file}: valid")
        return
    run(settings)


def run(settings: Settings) -> None:
    """Run a host until a signal or the API stops it."""
    log = logging_setup.configure(settings.log_level)
    service = HostService(settings=settings)
    try:
        with aiomisc.entrypoint(service, log_config=False, catch_signals=()) as loop:
            loop.run_until_complete(service.drained.wait())
    except CranberryrunError as error:
        click.echo(f"cranberryrund: {error.code}: {error.detail}", err=True)
        sys.exit(_EXIT_BY_ERROR.get(type(error), _EXIT_FAILED))
    finally:
        log.drain(_LOG_FLUSH_TIMEOUT_SECONDS)


if __name__ == "__main__":
    main()
