"""Brings each engine to the version its workloads want, a bounded share at a time."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from .configuration import Configuration
from .engines import Engine, Engines, VersionOrder
from .events import Events
from .exceptions import CranberryrunError, StaleFenceError
from .kernel import Service
from .membership import Membership
from .pacing import PacingPolicy, Rollout, RolloutEngine, StaggeredLoads
from .rendezvous import owner_of, score
from .settings import Settings
from .state import Resource
from .versions import Versions

_FENCE_SHIFT = 32


def fence_of(offset: int, version: int) -> int:
    """Return the fencing number, the same on every host.

    :param offset: of the record that declared the engine.
    """
    return ((offset + 1) << _FENCE_SHIFT) | version


class Weights(Service):
    """Compares what engines run with what they should, and orders the difference."""

    name = "weights"
    requires = ("engines", "versions")

    def __init__(self, settings: Settings, pacing: PacingPolicy | None = None) -> None:
        super().__init__()
        self._settings = settings
        limits = settings.limits
        self._pacing = pacing or StaggeredLoads(
            limits.weight_loads_at_once, limits.away_share
        )
        self._orders_by_want: dict[tuple[str, str, int], int] = defaultdict(int)
        self._confirmed: dict[tuple[str, str], int] = {}

    async def start(self) -> None:
        """Begin to reconcile."""
        self.supervise(self._reconcile_forever)

    async def _reconcile_forever(self) -> None:
        while True:
            await asyncio.sleep(self._settings.timing.reconcile)
            for resource in self.kernel.get(Configuration).state.list("workloads"):
                await self._reconcile(resource)

    async def _reconcile(self, workload: Resource) -> None:
        version = self.kernel.get(Versions).newest(workload.name)
        if version < 0:
            return
        behind = self._behind(workload, version)
        owned = {engine.name for engine in behind if self._owns(engine)}
        for engine in self._may_load(workload, behind):
            if engine.name not in owned:
                continue
            await self._order(engine, workload.name, version)

    def _owns(self, engine: Engine) -> bool:
        membership = self.kernel.get(Membership)
        owner = owner_of(membership.live_ids(), f"engine/{engine.name}")
        return owner == membership.id

    def _behind(self, workload: Resource, version: int) -> list[Engine]:
        behind: list[Engine] = []
        for engine in self.kernel.get(Engines).by_name.values():
            if engine.spec.pool != workload.spec.pool or engine.state is None:
                continue
            loaded = engine.version_of(workload.name)
            if loaded is not None and loaded >= version:
                self._confirm(engine, workload.name, loaded)
                continue
            behind.append(engine)
        return sorted(behind, key=lambda engine: score(engine.name, workload.name))

    def _confirm(self, engine: Engine, workload: str, loaded: int) -> None:
        key = (engine.name, workload)
        known = self._confirmed.get(key)
        if known == loaded or not self._owns(engine):
            return
        self._confirmed[key] = loaded
        name = "order_confirmed"
        if known is not None and loaded < known:
            name = "engine_put_right"
        self.kernel.get(Events).emit(
            name, engine=engine.name, workload=workload, version=loaded
        )

    def _may_load(self, workload: Resource, behind: list[Engine]) -> list[Engine]:
        """Return the engines of ``behind`` that may be loading now."""
        behind_by_name = {engine.name: engine for engine in behind}
        pool = [
            engine
            for engine in self.kernel.get(Engines).by_name.values()
            if engine.spec.pool == workload.spec.pool
        ]
        pool.sort(key=lambda engine: score(engine.name, workload.name))
        rollout = Rollout(
            [
                RolloutEngine(
                    each.name,
                    seen=each.state is not None,
                    loaded=each.name not in behind_by_name,
                )
                for each in pool
            ]
        )
        names = self._pacing.may_load(rollout)
        return [behind_by_name[name] for name in names if name in behind_by_name]

    async def _order(self, engine: Engine, workload: str, version: int) -> None:
        loaded = engine.state.by_workload.get(workload) if engine.state else None
        if loaded is not None and loaded.loading is not None:
            if loaded.loading >= version:
                return
        events = self.kernel.get(Events)
        want = (engine.name, workload, version)
        attempt = self._orders_by_want[want]
        if attempt:
            events.emit(
                "load_failed", engine=engine.name, workload=workload, version=version
            )
        self._orders_by_want[want] = attempt + 1
        fence = fence_of(engine.offset, version)
        order = VersionOrder(f"{workload}-{fence}-{attempt}", fence, workload, version)
        try:
            await engine.client.order(order)
        except StaleFenceError as error:
            events.emit("order_refused", engine=engine.name, error=error.detail)
            return
        except CranberryrunError as error:
            self.kernel.get(Engines).failed(engine, error)
            return
        events.emit(
            "order_sent",
            engine=engine.name,
            workload=workload,
            version=version,
            fence=fence,
        )
        await self.kernel.get(Engines).refresh(engine)
