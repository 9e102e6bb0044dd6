"""One entry host: the kernel with all of its services."""

from __future__ import annotations

import asyncio
import random

from . import clock
from .api import Api
from .budgets import LentRate
from .configuration import Configuration
from .engines import Engines
from .event_pages import EventPages
from .events import Events
from .http import HttpClients
from .kernel import Kernel, Service
from .keyed_calls import KeyedCalls
from .log import HttpLog
from .membership import Membership
from .metrics import Metrics
from .pause_detector import PauseDetector
from .peers import Peers
from .request_router import RequestRouter
from .resources import Resources
from .routing import BoundedAffinity, LeastLoaded
from .security import target_context
from .settings import Settings
from .snapshots import Snapshots
from .step_policies import StepPolicies
from .steps import Steps
from .usage import Usage
from .versions import Versions
from .weights import Weights

_DRAIN_POLL_SECONDS = 0.05
# Open connections may still carry new requests.
_MIN_IDLE_SECONDS = 0.5
_DEADLINE_SLACK_SECONDS = 1.0
_MIN_FINAL_RECORDS_WAIT_SECONDS = 2.0


class Host:
    """An entry host of cranberryrun::

        host = Host(load_settings("host.json"))
        await host.start()
        await host.drain()

    :param settings: the host's identity, limits and the platform's addresses.
    :param replacements: services used instead of the default ones of the same name.

    .. versionadded:: 0.1
    """

    def __init__(self, settings: Settings, *replacements: Service) -> None:
        self.settings = settings
        self.incarnation = settings.incarnation or int(clock.wall() * 1000)
        self.kernel = Kernel()
        rng = random.Random(f"{settings.id}/{self.incarnation}")
        replacement_by_name = {service.name: service for service in replacements}
        for service in self._services(rng):
            self.kernel.register(replacement_by_name.get(service.name, service))
        self._started = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None

    def _services(self, rng: random.Random) -> list[Service]:
        settings = self.settings
        timing = settings.timing
        rollout_policy = BoundedAffinity(LeastLoaded(rng), max_load_factor=1.0)
        request_policy = BoundedAffinity(LeastLoaded(rng))
        return [
            Events(settings.id, self.incarnation, settings.limits.event_ring),
            Metrics(settings.id),
            HttpClients(timing.connect_timeout, target_context(settings.tls)),
            HttpLog(settings.log, timing.log_timeout),
            Membership(settings, self.incarnation),
            Peers(settings, rng),
            PauseDetector(settings),
            EventPages(),
            Configuration(settings, rng),
            Snapshots(settings, rng),
            Engines(settings),
            Versions(settings),
            Weights(settings),
            Usage(settings),
            Steps(settings, rollout_policy, rng, StepPolicies(budget=LentRate())),
            RequestRouter(settings, request_policy, rng),
            KeyedCalls(settings, self.incarnation),
            Resources(),
            Api(settings),
        ]

    async def start(self) -> None:
        """Start all services and serve the API."""
        self._register_gauges()
        await self.kernel.start()
        self._started.set()
        self.kernel.get(Events).emit(
            "host_started", zone=self.settings.zone, api_port=self.settings.api_port
        )

    def _register_gauges(self) -> None:
        """Register gauges for services that don't depend on the metrics service."""
        metrics = self.kernel.get(Metrics)
        membership = self.kernel.get(Membership)
        configuration = self.kernel.get(Configuration)
        metrics.register_gauge("peers", lambda: len(membership.live_peers()))
        metrics.register_gauge("config_offset", lambda: configuration.state.offset)
        metrics.register_gauge("log_up", lambda: int(configuration.log_up))

    async def stop(self) -> None:
        """Stop immediately; work in flight is aborted."""
        self.kernel.get(Events).emit("host_stopped")
        await self.kernel.stop()

    async def drain(self) -> None:
        """Stop gracefully: take no new work and finish the work in flight."""
        if self._drain_task is None:
            self._drain_task = asyncio.get_running_loop().create_task(self._drain())
        await asyncio.shield(self._drain_task)

    async def _drain(self) -> None:
        await self._started.wait()
        api = self.kernel.get(Api)
        self.kernel.get(Events).emit("host_draining", in_flight=api.in_flight)
        drain_deadline = clock.now() + self.settings.timing.drain_limit
        api.mark_unready()
        self.kernel.get(Membership).announce_leaving()
        await self.kernel.get(Peers).exchange_with_live_peers()
        await asyncio.sleep(self.settings.timing.balancer_lag)
        self.kernel.get(Steps).move_all()
        await api.stop_listening()
        await self._wait_until_idle(drain_deadline)
        await self._wait_for_final_records(drain_deadline)
        await self.stop()

    async def _wait_until_idle(self, drain_deadline: float) -> None:
        """Wait until nothing is in flight.

        Requests may run until their own deadlines, also past ``drain_deadline``.
        """
        api = self.kernel.get(Api)
        calls = self.kernel.get(KeyedCalls)
        while calls.in_flight or api.idle_for() < _MIN_IDLE_SECONDS:
            deadline = max(
                drain_deadline, api.latest_deadline + _DEADLINE_SLACK_SECONDS
            )
            if clock.now() > deadline:
                self._report_drain_limit(api.in_flight + calls.in_flight)
                return
            await asyncio.sleep(_DRAIN_POLL_SECONDS)

    async def _wait_for_final_records(self, drain_deadline: float) -> None:
        """Wait until the final records of ended keyed calls are in the log.

        Waiting ends at ``drain_deadline``, but lasts at least a minimum time.
        """
        calls = self.kernel.get(KeyedCalls)
        deadline = max(drain_deadline, clock.now() + _MIN_FINAL_RECORDS_WAIT_SECONDS)
        while calls.pending_final_records:
            if clock.now() > deadline:
                self._report_drain_limit(calls.pending_final_records)
                return
            await asyncio.sleep(_DRAIN_POLL_SECONDS)

    def _report_drain_limit(self, left: int) -> None:
        self.kernel.get(Events).emit("drain_limit", in_flight=left)
