"""The central object: one entry host with all of its services."""

from __future__ import annotations

import asyncio
import random

from . import clock
from .api import Api
from .budgets import LentRate
from .configuration import Configuration
from .dispatch import StepPolicies
from .engines import Engines
from .event_pages import EventPages
from .events import Events
from .http import HttpClients
from .kernel import Kernel, Service
from .keyed_calls import KeyedCalls
from .log import HttpLog
from .membership import Membership
from .metrics import Metrics
from .pauses import Pauses
from .peers import Peers
from .request_router import RequestRouter
from .resources import Resources
from .routing import BoundedAffinity, LeastLoaded
from .security import target_context
from .settings import Settings
from .snapshots import Snapshots
from .steps import Steps
from .usage import Usage
from .versions import Versions
from .weights import Weights

_DRAIN_TICK_SECONDS = 0.05
_QUIET_SECONDS = 0.5
_DEADLINE_SLACK_SECONDS = 1.0
_RECORD_SECONDS = 2.0


class Host:
    """An entry host of cranberryrun::

        host = Host(load_settings("host.json"))
        await host.start()
        await host.drain()

    :param settings: what the host is and where the platform is.
    :param replaced: services that take the place of those with the same name.

    .. versionadded:: 0.1
    """

    def __init__(self, settings: Settings, *replaced: Service) -> None:
        self.settings = settings
        self.incarnation = settings.incarnation or int(clock.wall() * 1000)
        self.kernel = Kernel()
        rng = random.Random(f"{settings.id}/{self.incarnation}")
        by_name = {service.name: service for service in replaced}
        for service in self._services(rng):
            self.kernel.register(by_name.get(service.name, service))
        self._started = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None

    def _services(self, rng: random.Random) -> list[Service]:
        settings = self.settings
        timing = settings.timing
        rollout_policy = BoundedAffinity(LeastLoaded(rng), bound=1.0)
        request_policy = BoundedAffinity(LeastLoaded(rng))
        return [
            Events(settings.id, self.incarnation, settings.limits.event_ring),
            Metrics(settings.id),
            HttpClients(timing.connect_timeout, target_context(settings.tls)),
            HttpLog(settings.log, timing.log_timeout),
            Membership(settings, self.incarnation),
            Peers(settings, rng),
            Pauses(settings),
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
        self._observe()
        await self.kernel.start()
        self._started.set()
        self.kernel.get(Events).emit(
            "host_started", zone=self.settings.zone, api_port=self.settings.api_port
        )

    def _observe(self) -> None:
        """Let the state of services that know nothing of metrics be measured."""
        metrics = self.kernel.get(Metrics)
        membership = self.kernel.get(Membership)
        configuration = self.kernel.get(Configuration)
        metrics.observe("peers", lambda: len(membership.live_peers()))
        metrics.observe("config_offset", lambda: configuration.state.offset)
        metrics.observe("log_up", lambda: int(configuration.log_up))

    async def stop(self) -> None:
        """Stop at once, whatever is in flight."""
        self.kernel.get(Events).emit("host_stopped")
        await self.kernel.stop()

    async def drain(self) -> None:
        """Stop as planned: no new work, nothing in flight is cut off."""
        if self._drain_task is None:
            self._drain_task = asyncio.get_running_loop().create_task(self._drain())
        await asyncio.shield(self._drain_task)

    async def _drain(self) -> None:
        await self._started.wait()
        api = self.kernel.get(Api)
        self.kernel.get(Events).emit("host_draining", in_flight=api.in_flight)
        limit = clock.now() + self.settings.timing.drain_limit
        api.say_unready()
        self.kernel.get(Membership).say_leaving()
        await self.kernel.get(Peers).spread_now()
        await asyncio.sleep(self.settings.timing.balancer_lag)
        self.kernel.get(Steps).move_all()
        await api.stop_listening()
        await self._wait_idle(limit)
        await self._wait_recorded(limit)
        await self.stop()

    async def _wait_idle(self, limit: float) -> None:
        """Wait until nothing is in flight; a request may take until its deadline."""
        api = self.kernel.get(Api)
        calls = self.kernel.get(KeyedCalls)
        while calls.in_flight or api.idle_for() < _QUIET_SECONDS:
            latest = max(limit, api.latest_deadline + _DEADLINE_SLACK_SECONDS)
            if clock.now() > latest:
                self._note_limit(api.in_flight + calls.in_flight)
                return
            await asyncio.sleep(_DRAIN_TICK_SECONDS)

    async def _wait_recorded(self, limit: float) -> None:
        """Wait until the ends of keyed calls are in the log, within the limit."""
        calls = self.kernel.get(KeyedCalls)
        latest = max(limit, clock.now() + _RECORD_SECONDS)
        while calls.pending_final_records:
            if clock.now() > latest:
                self._note_limit(calls.pending_final_records)
                return
            await asyncio.sleep(_DRAIN_TICK_SECONDS)

    def _note_limit(self, left: int) -> None:
        self.kernel.get(Events).emit("drain_limit", in_flight=left)
