"""Detection of process pauses, and refresh of stale views before work is sent."""

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
_MIN_PAUSE_SECONDS = 1.0


class PauseDetector(Service):
    """Detects pauses of the process from late ticks of the event loop.

    ``lag`` is the delay of the last tick, in seconds.
    """

    name = "pauses"
    requires = ("membership", "peers", "events", "metrics")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._max_view_age = settings.timing.view_limit
        self._ticked_at: float | None = None
        self._refresh_task: asyncio.Task[None] | None = None
        self._refreshed_at = float("-inf")
        self._paused = False
        self._no_contact = False
        self.lag = 0.0

    async def start(self) -> None:
        """Start the tick and register its lag as a gauge."""
        self._ticked_at = clock.now()
        self.kernel.get(Metrics).register_gauge("loop_lag", lambda: self.lag)
        self.supervise(self._tick)

    async def _tick(self) -> None:
        while True:
            self._detect_pause()
            await asyncio.sleep(_TICK_SECONDS)

    def _detect_pause(self) -> None:
        """Record a pause since the last tick.

        After a pause, :meth:`refresh_if_stale` may call this before the tick does.
        """
        now = clock.now()
        self.lag = max(0.0, now - self._ticked_at - _TICK_SECONDS)
        self._ticked_at = now
        if self.lag < _MIN_PAUSE_SECONDS:
            return
        self._paused = True
        self.kernel.get(Events).emit("host_paused", seconds=round(self.lag, 3))

    async def refresh_if_stale(self) -> None:
        """Refresh the views if they are stale, and wait for that.

        If the last refresh reached neither the host list nor a peer, callers use the
        current views without waiting for the next refresh. They should not start
        work on a host that :meth:`is_isolated`.
        """
        if clock.now() - (self._ticked_at or 0.0) > _MIN_PAUSE_SECONDS:
            self._detect_pause()
        if self._refresh_task is None and not self._needs_refresh():
            return
        must_wait = self._paused or not self._no_contact
        if self._refresh_task is None:
            self._refresh_task = self.spawn(self._refresh())
        if must_wait:
            await asyncio.shield(self._refresh_task)

    def is_isolated(self) -> bool:
        """Return whether host list, log and peers did not answer for too long.

        An isolated host can't learn that a target leaves, and others can take its work.
        """
        membership = self.kernel.get(Membership)
        if not membership.peers() or membership.contact_age() <= self._max_view_age:
            return False
        return self.kernel.get(Configuration).contact_age() > self._max_view_age

    def _needs_refresh(self) -> bool:
        if self._paused:
            return True
        if clock.now() - self._refreshed_at < self._max_view_age:
            return False
        return self.kernel.get(Membership).contact_age() > self._max_view_age

    async def _refresh(self) -> None:
        self._paused = False
        try:
            await asyncio.gather(
                self._read_list(), self.kernel.get(Peers).exchange_with_live_peers()
            )
        finally:
            self._refreshed_at = clock.now()
            self._no_contact = (
                self.kernel.get(Membership).contact_age() > self._max_view_age
            )
            self._refresh_task = None

    async def _read_list(self) -> None:
        try:
            await self.kernel.get(Membership).read_list()
        except HostListError:
            return
