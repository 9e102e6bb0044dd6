"""Runs one host on the users' platform: ``python -m cranberryrun.platform``."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time

import aiomisc
import click

from .. import clock, logging_setup
from ..batches.admission import Admission
from ..batches.handover import Handover
from ..batches.log import BatchLog
from ..batches.remote_results import RemoteResults
from ..batches.results import ResultWriter
from ..batches.runner import Runner
from ..batches.service import Batches
from ..events import Events
from ..exceptions import CranberryrunError, SettingsError
from ..fleet.directory import Directory
from ..fleet.engine_pool import EnginePool
from ..fleet.lease import Lease
from ..fleet.loads import Loads
from ..fleet.neighbour_checks import NeighbourChecks
from ..fleet.neighbours import Neighbour, Neighbours
from ..fleet.send_permits import SendPermits
from ..fleet.store_paths import StorePaths
from ..fleet.target_paths import TargetPaths
from ..http import HttpClients
from ..kernel import Kernel, Service
from ..metrics import Metrics
from ..requests.crashes import Crashes
from ..requests.forwarder import Forwarder
from ..requests.software_history import SoftwareHistory
from ..requests.stream_origins import StreamOrigins
from ..requests.streams import Streams
from ..rewards.caller import RewardCaller
from ..second_attempts.service import SecondAttempts
from ..turns import Turns
from ..usage_counts.counter import UsageCounter
from .buffers import Buffers
from .frontend import Frontend
from .hedge_calls import HttpHedgeClient
from .neighbour_server import NeighbourServer
from .permit_calls import HttpPermitClient
from .reach_calls import HttpReachClient
from .result_calls import HttpResultSource
from .settings import HostSettings, load_host_settings, settings_path
from .store_client import StoreClient
from .target_client import HttpTargetClient
from .unknown_names import UnknownNames
from .wire import HOST_TOPIC, WireDecoder

_EXIT_CODE_SETTINGS = 2
_EXIT_CODE_FAILED = 1
# Connecting takes some milliseconds even over the longest link.
_CONNECT_TIMEOUT_SECONDS = 0.4
# Shorter than the idle timeout that targets announce (some seconds), so that no request
# is sent on a connection that the target is closing.
_TARGET_KEEPALIVE_SECONDS = 4.0
_EVENT_RING_SIZE = 512
# The share of the host's memory that cached text of results may take. An idle process
# uses 50 MB, and a host has at least 128 MB.
_RESULT_CACHE_MEMORY_SHARE = 0.2
# The share of the host's memory that answers may take while they are being read.
_ANSWER_MEMORY_SHARE = 0.1
# The share of the host's memory that is held for slow readers, beside the two above.
# 19 MB on the smallest host, of whose 128 MB an idle process takes 67.
_BUFFER_MEMORY_SHARE = 0.15
# The share of the host's memory that a single request may take while no other large one
# is held: on the smallest host, a body of the size that manifests allow.
_SINGLE_MEMORY_SHARE = 0.3
# An idle connection takes 5.6 KB: those that are allowed, 0.07 of the host's memory.
_CONNECTIONS_PER_MB = 12.5
# The platform's load balancer checks readiness once a second and stops sending requests
# after two failed checks.
_READINESS_LAG_SECONDS = 2.5
_DRAIN_POLL_SECONDS = 0.05
# Targets that ended are back within this time, perhaps under another id.
_RESTART_SECONDS = 12.0
# How long an ending process waits until the reader of its log has taken all lines.
_LOG_DRAIN_TIMEOUT_SECONDS = 0.2
# The part of the grace period that is kept for closing down. It is short because the
# rest serves to write pending results to the store before the process is killed.
_SHUTDOWN_RESERVE_SECONDS = 0.15


def _boot_time() -> float:
    """Return a monotonic time in seconds that advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformHost:
    """Registers and runs the services of one host on the platform."""

    def __init__(self, settings: HostSettings) -> None:
        self._settings = settings
        incarnation = int(clock.wall() * 1000)
        rng = random.Random(f"{settings.host_id}/{incarnation}")
        self.kernel = Kernel()
        for service in self._create_services(incarnation, rng):
            self.kernel.register(service)

    def _create_services(self, incarnation: int, rng: random.Random) -> list[Service]:
        settings = self._settings
        bounds = settings.bounds
        lag = bounds.seed_lag_s
        unknown_names = UnknownNames()
        usage = UsageCounter(bounds.usage_window_s) if self._has_duty("usage") else None
        return [
            Events(settings.host_id, incarnation, _EVENT_RING_SIZE),
            Metrics(settings.host_id),
            Buffers(
                int(_BUFFER_MEMORY_SHARE * settings.memory_mb * 1_000_000),
                int(_SINGLE_MEMORY_SHARE * settings.memory_mb * 1_000_000),
                int(_CONNECTIONS_PER_MB * settings.memory_mb),
            ),
            HttpClients(
                _CONNECT_TIMEOUT_SECONDS,
                idle=_TARGET_KEEPALIVE_SECONDS,
                decode=False,
                answer_bytes=int(_ANSWER_MEMORY_SHARE * settings.memory_mb * 1_000_000),
            ),
            StorePaths(settings.store.address),
            StoreClient(),
            unknown_names,
            Turns(),
            HttpTargetClient(),
            Directory(WireDecoder(unknown_names.record_fields)),
            Lease(
                settings.host_id,
                incarnation,
                bounds.engine_lease_ms / 1000,
                rng,
                _boot_time,
                settings.link_mbps,
            ),
            HttpPermitClient(),
            SendPermits(settings.host_id, rng),
            TargetPaths(rng),
            HttpReachClient(),
            EnginePool(),
            Loads(settings.host_id),
            BatchLog(
                settings.store.record_bytes,
                settings.store.call_bytes,
                bounds.batch_keep_ms / 1000,
                _RESULT_CACHE_MEMORY_SHARE * settings.memory_mb * 1_000_000,
                bounds.cancel_ms / 1000,
                settings.store.retention_s,
            ),
            ResultWriter(),
            Runner(settings.engines_crash_when_full),
            Handover(),
            HttpResultSource(),
            RemoteResults(settings.host_id, settings.link_mbps),
            Batches(Admission(lag + _RESTART_SECONDS) if lag is not None else None),
            Crashes(),
            HttpHedgeClient(),
            SecondAttempts(settings.host_id, settings.second_attempts.max_extra_share),
            Forwarder(settings.zone, rng, usage),
            StreamOrigins(),
            SoftwareHistory(),
            Streams(),
            RewardCaller(),
            Neighbours(HOST_TOPIC, self._own_entry(), rng),
            NeighbourChecks(rng),
            NeighbourServer(settings),
            Frontend(settings),
            *self._create_duty_services(incarnation, usage),
        ]

    def _has_duty(self, name: str) -> bool:
        api = self._settings.platform_api
        return api is not None and name in api.duties

    def _create_duty_services(
        self, incarnation: int, usage: UsageCounter | None
    ) -> list[Service]:
        if self._settings.platform_api is None:
            return []
        # Importing them costs a noticeable part of a start.
        from .duty_services import create_duty_services

        return create_duty_services(self._settings, incarnation, usage)

    def _own_entry(self) -> Neighbour:
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
        """Hand over the lease, finish the requests in flight and stop all services.

        The host stops near the end of the grace period even if requests are in flight.
        """
        frontend = self.kernel.get(Frontend)
        started_at = clock.now()
        deadline = (
            started_at
            + self._settings.bounds.grace_ms / 1000
            - _SHUTDOWN_RESERVE_SECONDS
        )
        self.kernel.get(Events).emit("host_draining", in_flight=frontend.in_flight)
        frontend.stopping = True
        self.kernel.get(Forwarder).waiting.close()
        hand_over_task = asyncio.create_task(
            self.kernel.get(Runner).hand_over(deadline)
        )
        await asyncio.sleep(_READINESS_LAG_SECONDS)
        await frontend.stop_listening()
        await hand_over_task
        while frontend.in_flight or self.kernel.get(ResultWriter).unwritten_count:
            if clock.now() > deadline:
                self.kernel.get(Events).emit(
                    "drain_limit", in_flight=frontend.in_flight
                )
                break
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
        if self._has_duty("usage"):
            from ..usage_counts.service import UsageCounts

            await self.kernel.get(UsageCounts).finish(deadline)
        self.kernel.get(Events).emit("host_stopped")
        await self.kernel.stop()


class PlatformService(aiomisc.Service):
    """Runs a :class:`PlatformHost` until a signal stops it."""

    settings: HostSettings

    async def start(self) -> None:
        """Start the host and handle signals.

        SIGTERM and SIGINT drain and stop the host. SIGHUP reads the settings file
        again and logs which settings changed.
        """
        self.host = PlatformHost(self.settings)
        self.stopped = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._begin_drain)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        await self.host.start()

    def _begin_drain(self) -> None:
        if self._drain_task is None:
            self._drain_task = asyncio.get_running_loop().create_task(self._drain())

    async def _drain(self) -> None:
        await self.host.drain()
        self.stopped.set()

    def _reload_settings(self) -> None:
        events = self.host.kernel.get(Events)
        try:
            settings = load_host_settings(settings_path())
        except SettingsError as error:
            events.emit("settings_kept", reason=error.detail)
            return
        changed_names = [
            name
            for name in type(settings).model_fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        events.emit("settings_read", changed=changed_names)


@click.command()
@click.option(
    "--check-settings", is_flag=True, help="Check the settings file and exit."
)
def main(check_settings: bool) -> None:
    """Run one host with the settings file that CRANBERRYRUN_SETTINGS names."""
    try:
        settings = load_host_settings(settings_path())
    except SettingsError as error:
        click.echo(f"cranberryrun: {error.detail}", err=True)
        sys.exit(_EXIT_CODE_SETTINGS)
    if check_settings:
        click.echo("valid")
        return
    log = logging_setup.configure(settings.log_level)
    service = PlatformService(settings=settings)
    try:
        with aiomisc.entrypoint(service, log_config=False, catch_signals=()) as loop:
            loop.run_until_complete(service.stopped.wait())
    except CranberryrunError as error:
        click.echo(f"cranberryrun: {error.code}: {error.detail}", err=True)
        sys.exit(_EXIT_CODE_FAILED)
    finally:
        log.drain(_LOG_DRAIN_TIMEOUT_SECONDS)


if __name__ == "__main__":
    main()
