"""Leaves the lease to hosts that reach targets."""

from __future__ import annotations

import asyncio

from ..fleet.lease import Lease
from ..fleet.target_paths import TargetPaths
from ..kernel import Service
from .runner import Runner

_CHECK_INTERVAL_SECONDS = 0.1


class Handover(Service):
    """Gives the lease up, and does not take it, while only other hosts reach targets.

    The lease itself depends on the store alone, which a host may reach that is cut from
    all targets. Such a host could order no loads and run items only through others. If
    no other host reaches targets either, changing the holder would gain nothing.
    """

    name = "handover"
    requires = ("lease", "runner", "target_paths")

    async def start(self) -> None:
        """Start watching."""
        self.kernel.get(Lease).may_acquire = self._may_acquire
        self.supervise(self._watch)

    async def _may_acquire(self) -> bool:
        paths = self.kernel.get(TargetPaths)
        return await paths.reaches_targets() or not await paths.relays()

    async def _watch(self) -> None:
        lease = self.kernel.get(Lease)
        paths = self.kernel.get(TargetPaths)
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            if lease.assigned and paths.lost and paths.has_relays:
                await self.kernel.get(Runner).step_down()
