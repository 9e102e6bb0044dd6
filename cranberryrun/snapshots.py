"""Appends configuration snapshots to the log before retention drops old records."""

from __future__ import annotations

import asyncio
import random

from . import clock
from .configuration import STREAM, Configuration
from .events import Events
from .exceptions import CranberryrunError
from .kernel import Service
from .log import Log
from .membership import Membership
from .rendezvous import ranked
from .settings import Settings

_SNAPSHOTS_PER_RETENTION = 3
_SNAPSHOT_TURN_SECONDS = 1.0
_SNAPSHOT_JITTER_SECONDS = 0.3
_MAX_SNAPSHOT_TURNS = 30


class Snapshots(Service):
    """Appends a snapshot to the log when one is due.

    Hosts wait different times so that usually only one of them writes it. A
    second snapshot is redundant but harmless.
    """

    name = "snapshots"
    requires = ("configuration",)

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        super().__init__()
        self._settings = settings
        self._rng = rng

    async def start(self) -> None:
        """Start checking periodically whether a snapshot is due."""
        self.supervise(self._write_snapshots)

    async def _write_snapshots(self) -> None:
        configuration = self.kernel.get(Configuration)
        await configuration.ready.wait()
        while True:
            await asyncio.sleep(self._settings.timing.snapshot_check)
            if not self._is_snapshot_due():
                continue
            await asyncio.sleep(self._turn_delay())
            if self._is_snapshot_due() and configuration.log_up:
                await self._append_snapshot()

    def _is_snapshot_due(self) -> bool:
        state = self.kernel.get(Configuration).state
        if state.offset < 0:
            return False
        snapshot_interval = self._settings.log.retention / _SNAPSHOTS_PER_RETENTION
        return clock.wall() - state.snapshot_time >= snapshot_interval

    def _turn_delay(self) -> float:
        """Return the seconds to wait; 0 plus jitter for the first-ranked host."""
        membership = self.kernel.get(Membership)
        last = self.kernel.get(Configuration).state.snapshot_time
        order = ranked(membership.live_ids(), f"snapshot/{last}")
        turn = _MAX_SNAPSHOT_TURNS
        if membership.id in order:
            turn = min(turn, order.index(membership.id))
        jitter = self._rng.uniform(0, _SNAPSHOT_JITTER_SECONDS)
        return turn * _SNAPSHOT_TURN_SECONDS + jitter

    async def _append_snapshot(self) -> None:
        record = self.kernel.get(Configuration).state.snapshot(self._settings.id)
        try:
            await self.kernel.get(Log).append(STREAM, [record.model_dump(mode="json")])
        except CranberryrunError:
            return
        self.kernel.get(Events).emit("snapshot_written", offset=record.covers)
