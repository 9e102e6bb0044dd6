"""The central object: one entry host with all of its services."""

from __future__ import annotations

import asyncio
import random

from . import clock
from .api import Api
from .calls import Calls
from .configuration import Configuration
from .engines import Engines
from .events import Events
from .http import HttpClients
from .kernel import Kernel, Service
from .log import HttpLog
from .membership import Membership
from .peers import EventPages, Peers
from .resources import Resources
from .routing import BoundedAffinity, LeastLoaded
from .settings import Settings
from .steps import Steps
from .traffic import Traffic
from .usage import Usage
from .versions import Versions
from .weights import Weights

_DRAIN_TICK_SECONDS = 0.05


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
        self._draining = False

    def _services(self, rng: random.Random) -> list[Service]:
        settings = self.settings
        timing = settings.timing
        policy = BoundedAffinity(LeastLoaded(rng))
        return [
            Events(settings.id, self.incarnation, settings.limits.event_ring),
            HttpClients(timing.connect_timeout),
            HttpLog(settings.log, timing.log_timeout),
            Membership(settings, self.incarnation),
            Peers(settings, rng),
            EventPages(),
            Configuration(settings, rng),
            Engines(settings),
            Versions(settings),
            Weights(settings),
            Usage(settings),
            Steps(settings, policy, rng),
            Traffic(settings, policy, rng),
            Calls(settings, self.incarnation),
            Resources(),
            Api(settings),
        ]

    async def start(self) -> None:
        """Start all services and serve the API."""
        await self.kernel.start()
        self.kernel.get(Events).emit(
            "host_started", zone=self.settings.zone, api_port=self.settings.api_port
        )

    async def stop(self) -> None:
        """Stop at once, whatever is in flight."""
        self.kernel.get(Events).emit("host_stopped")
        await self.kernel.stop()

    async def drain(self) -> None:
        """Stop as planned: no new work, nothing in flight is cut off."""
        if self._draining:
            return
        self._draining = True
        api = self.kernel.get(Api)
        events = self.kernel.get(Events)
        events.emit("host_draining", in_flight=api.in_flight)
        api.accepting = False
        self.kernel.get(Membership).say_leaving()
        await self.kernel.get(Peers).spread_now()
        await asyncio.sleep(self.settings.timing.balancer_lag)
        self.kernel.get(Steps).move_all()
        await api.stop_listening()
        await self._wait_idle(api)
        await self.stop()

    async def _wait_idle(self, api: Api) -> None:
        limit = clock.now() + self.settings.timing.drain_limit
        while api.in_flight:
            if clock.now() > limit:
                self.kernel.get(Events).emit("drain_limit", in_flight=api.in_flight)
                return
            await asyncio.sleep(_DRAIN_TICK_SECONDS)
