"""Pauses of the process: noticed, and views renewed before new work is sent."""

from __future__ import annotations

import asyncio

from . import clock
from .configuration import Configuration
from .events import Events
from .exceptions import HostListError
from .kernel import Service
from .membership import Membership
from .metrics import Metrics
from .peers import Peers
from .settings import Settings

_TICK_SECONDS = 0.25
_PAUSE_SECONDS = 1.0


class PauseDetector(Service):
    """Watches the loop's clock for jumps, which a stopped process shows.

    ``lag`` is how late the last tick came, in seconds.
    """

    name = "pauses"
    requires = ("membership", "peers", "events", "metrics")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._limit = settings.timing.view_limit
        self._ticked_at: float | None = None
        self._renewal: asyncio.Task[None] | None = None
        self._renewed_at = float("-inf")
        self._paused = False
        self._unheard = False
        self.lag = 0.0

    async def start(self) -> None:
        """Begin to tick."""
        self._ticked_at = clock.now()
        self.kernel.get(Metrics).register_gauge("loop_lag", lambda: self.lag)
        self.supervise(self._tick)

    async def _tick(self) -> None:
        while True:
            self._check()
            await asyncio.sleep(_TICK_SECONDS)

    def _check(self) -> None:
        """Note a pause since the last tick; also called before the tick runs."""
        now = clock.now()
        self.lag = max(0.0, now - self._ticked_at - _TICK_SECONDS)
        self._ticked_at = now
        if self.lag < _PAUSE_SECONDS:
            return
        self._paused = True
        self.kernel.get(Events).emit("host_paused", seconds=round(self.lag, 3))

    async def refresh_if_stale(self) -> None:
        """Return at once if the views are fresh, else once they were renewed.

        With neither the list nor a peer to be heard, work goes on by the views
        that there are, and further attempts hold nothing up. A host that is
        :meth:`is_isolated` should take none.
        """
        if clock.now() - (self._ticked_at or 0.0) > _PAUSE_SECONDS:
            self._check()
        if self._renewal is None and not self._needed():
            return
        waited_for = self._paused or not self._unheard
        if self._renewal is None:
            self._renewal = self.spawn(self._renew())
        if waited_for:
            await asyncio.shield(self._renewal)

    def is_isolated(self) -> bool:
        """Say whether list, log and every other host are silent for too long.

        Such a host can't learn that a target leaves; others can take its work.
        """
        membership = self.kernel.get(Membership)
        if not membership.peers() or membership.contact_age() <= self._limit:
            return False
        return self.kernel.get(Configuration).contact_age() > self._limit

    def _needed(self) -> bool:
        if self._paused:
            return True
        if clock.now() - self._renewed_at < self._limit:
            return False
        return self.kernel.get(Membership).contact_age() > self._limit

    async def _renew(self) -> None:
        self._paused = False
        try:
            await asyncio.gather(self._read_list(), self.kernel.get(Peers).spread_now())
        finally:
            self._renewed_at = clock.now()
            self._unheard = self.kernel.get(Membership).contact_age() > self._limit
            self._renewal = None

    async def _read_list(self) -> None:
        try:
            await self.kernel.get(Membership).read_list()
        except HostListError:
            return
