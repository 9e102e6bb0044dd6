"""``python -m cranberryrun.platform``: one host on the users' platform."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time

import aiomisc
import click

from .. import clock, logging_setup
from ..batches.log import BatchLog
from ..batches.results import ResultWriter
from ..batches.runner import Runner
from ..batches.service import Batches
from ..events import Events
from ..exceptions import CranberryrunError, SettingsError
from ..fleet.directory import Directory
from ..fleet.engine_pool import EnginePool
from ..fleet.lease import Lease
from ..fleet.loads import Loads
from ..fleet.neighbours import Neighbour, Neighbours
from ..fleet.store_paths import StorePaths
from ..http import HttpClients
from ..kernel import Kernel, Service
from ..metrics import Metrics
from ..requests.forwarder import Forwarder
from ..requests.streams import Streams
from .front import Front
from .settings import HostSettings, load_host_settings, settings_path
from .store_client import StoreClient
from .store_relay import StoreRelay
from .target_client import HttpTargetClient
from .wire import HOST_TOPIC, WireDecoder

_EXIT_SETTINGS = 2
_EXIT_FAILED = 1
# A connection over the longest link takes some milliseconds.
_CONNECT_SECONDS = 0.4
# Targets close idle connections after some seconds and say so; this is below it.
_IDLE_SECONDS = 4.0
_EVENT_RING = 512
# Of a host's memory, for the text of results. A process has 50 MB at rest and hosts
# have 128 MB at least.
_CACHE_SHARE = 0.2
# The entry asks for readiness once a second and needs two answers to notice.
_ENTRY_LAG_SECONDS = 2.5
_DRAIN_TICK_SECONDS = 0.05
# A stopping process waits this long for the reader of its log.
_LOG_DRAIN_SECONDS = 0.2
# Left of the grace period for closing down, in seconds. Results that the store does
# not have yet are worth every moment before the process is killed.
_EXIT_SECONDS = 0.15


def _boot_seconds() -> float:
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformHost:
    """One host: the product's services, with the platform's clients."""

    def __init__(self, settings: HostSettings) -> None:
        self._settings = settings
        incarnation = int(clock.wall() * 1000)
        rng = random.Random(f"{settings.host_id}/{incarnation}")
        self.kernel = Kernel()
        for service in self._services(incarnation, rng):
            self.kernel.register(service)

    def _services(self, incarnation: int, rng: random.Random) -> list[Service]:
        settings = self._settings
        bounds = settings.bounds
        return [
            Events(settings.host_id, incarnation, _EVENT_RING),
            Metrics(settings.host_id),
            HttpClients(_CONNECT_SECONDS, idle=_IDLE_SECONDS, decode=False),
            StorePaths(settings.store.address),
            StoreClient(),
            HttpTargetClient(),
            Directory(WireDecoder()),
            Lease(
                settings.host_id,
                incarnation,
                bounds.engine_lease_ms / 1000,
                rng,
                _boot_seconds,
                settings.link_mbps,
            ),
            EnginePool(),
            Loads(settings.host_id),
            BatchLog(
                settings.store.record_bytes,
                settings.store.call_bytes,
                bounds.batch_keep_ms / 1000,
                _CACHE_SHARE * settings.memory_mb * 1_000_000,
            ),
            ResultWriter(),
            Runner(),
            Batches(),
            Forwarder(settings.zone, rng),
            Streams(),
            Neighbours(HOST_TOPIC, self._neighbour(), rng),
            StoreRelay(settings),
            Front(settings),
        ]

    def _neighbour(self) -> Neighbour:
        settings = self._settings
        return Neighbour(
            host=settings.host_id, zone=settings.zone, address=settings.peer_address
        )

    async def start(self) -> None:
        """Start all services."""
        await self.kernel.start()
        self.kernel.get(Events).emit(
            "host_started",
            zone=self._settings.zone,
            front=self._settings.front_address,
        )

    async def drain(self) -> None:
        """Stop as planned: hand the lease over, finish what callers asked for."""
        front = self.kernel.get(Front)
        began = clock.now()
        limit = began + self._settings.bounds.grace_ms / 1000 - _EXIT_SECONDS
        self.kernel.get(Events).emit("host_draining", in_flight=front.in_flight)
        front.stopping = True
        handing_over = asyncio.create_task(self.kernel.get(Runner).hand_over(limit))
        await asyncio.sleep(_ENTRY_LAG_SECONDS)
        await front.stop_listening()
        await handing_over
        while front.in_flight or self.kernel.get(ResultWriter).waiting:
            if clock.now() > limit:
                self.kernel.get(Events).emit("drain_limit", in_flight=front.in_flight)
                break
            await asyncio.sleep(_DRAIN_TICK_SECONDS)
        self.kernel.get(Events).emit("host_stopped")
        await self.kernel.stop()


class PlatformService(aiomisc.Service):
    """Runs a :class:`PlatformHost` until it is told to stop."""

    settings: HostSettings

    async def start(self) -> None:
        """Start the host; SIGTERM and SIGINT begin a planned stop."""
        self.host = PlatformHost(self.settings)
        self.ended = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._begin_drain)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.host.start()

    def _begin_drain(self) -> None:
        if self._drain_task is None:
            self._drain_task = asyncio.get_running_loop().create_task(self._drain())

    async def _drain(self) -> None:
        await self.host.drain()
        self.ended.set()

    def _reload(self) -> None:
        events = self.host.kernel.get(Events)
        try:
            settings = load_host_settings(settings_path())
        except SettingsError as error:
            events.emit("settings_kept", reason=error.detail)
            return
        changed = [
            name
            for name in type(settings).model_fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        events.emit("settings_read", changed=changed)


@click.command()
@click.option("--check-settings", is_flag=True, help="Check the file and end.")
def main(check_settings: bool) -> None:
    """Run one host with the settings file that the platform names."""
    try:
        settings = load_host_settings(settings_path())
    except SettingsError as error:
        click.echo(f"cranberryrun: {error.detail}", err=True)
        sys.exit(_EXIT_SETTINGS)
    if check_settings:
        click.echo("valid")
        return
    log = logging_setup.configure(settings.log_level)
    service = PlatformService(settings=settings)
    try:
        with aiomisc.entrypoint(service, log_config=False, catch_signals=()) as loop:
            loop.run_until_complete(service.ended.wait())
    except CranberryrunError as error:
        click.echo(f"cranberryrun: {error.code}: {error.detail}", err=True)
        sys.exit(_EXIT_FAILED)
    finally:
        log.drain(_LOG_DRAIN_SECONDS)


if __name__ == "__main__":
    main()
