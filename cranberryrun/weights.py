"""Brings each engine to what its declaration and its workloads want."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from . import clock
from .configuration import Configuration
from .engines import Engine, Engines, NamedOrder, VersionOrder
from .events import Events
from .exceptions import CranberryrunError, LoadFailedError, StaleFenceError
from .kernel import Service
from .load_progress import LoadProgress
from .membership import Membership
from .pacing import LoadKey, PacingPolicy, Rollout, StaggeredLoads, WeightLoad
from .rendezvous import score
from .settings import Settings
from .state import Resource
from .versions import Versions
from .views import EngineMark

_FENCE_SHIFT = 32
_ROLLOUT = "rollout"
_FIRST_LOAD_SECONDS = 2.0
_LOAD_WEIGHT = 0.3
_MIN_LOAD_SECONDS = 0.1
_NAMED_AGAIN_SECONDS = 5.0


def fence_of(offset: int, version: int) -> int:
    """Return the fencing number, the same on every host.

    :param offset: of the record that declared the engine.
    """
    return ((offset + 1) << _FENCE_SHIFT) | max(version, 0)


class Weights(Service):
    """Compares what engines run with what they should, and orders the difference.

    Each engine gets its orders from the host that owns it. Orders to different
    engines go out side by side, a bounded number at once.
    """

    name = "weights"
    requires = ("engines", "versions")

    def __init__(self, settings: Settings, pacing: PacingPolicy | None = None) -> None:
        super().__init__()
        self._settings = settings
        limits = settings.limits
        self._pacing = pacing or StaggeredLoads(
            limits.weight_loads_at_once, limits.away_share
        )
        self._orders = asyncio.Semaphore(limits.orders_at_once)
        self._busy: set[str] = set()
        self._progress_by_key: dict[LoadKey, LoadProgress] = {}
        self._confirmed_by_key: dict[LoadKey, tuple[int, int]] = {}
        self._named_by_engine: dict[str, tuple[object, ...]] = {}
        self._known_since: dict[str, tuple[int, float]] = {}
        self._named_at_by_engine: dict[str, float] = {}
        self._load_seconds = _FIRST_LOAD_SECONDS
        self._orders_sent = 0

    async def start(self) -> None:
        """Begin to reconcile."""
        self.supervise(self._reconcile_forever)

    async def _reconcile_forever(self) -> None:
        while True:
            await asyncio.sleep(self._settings.timing.reconcile)
            self.reconcile()

    def reconcile(self) -> None:
        """Compare once, and begin to order what is missing."""
        engines = self.kernel.get(Engines)
        owned = [engines.by_name[name] for name in engines.owned()]
        seen = [engine for engine in owned if engine.state is not None]
        self._forget(seen)
        self._reconcile_versions(seen)
        for engine in seen:
            self._reconcile_named(engine)

    def _forget(self, owned: list[Engine]) -> None:
        """Drop the notes on engines that this host does not own."""
        names = {engine.name for engine in owned}
        for notes in (self._progress_by_key, self._confirmed_by_key):
            for key in [key for key in notes if key[0] not in names]:
                del notes[key]
        for name in [name for name in self._named_by_engine if name not in names]:
            del self._named_by_engine[name]

    # Versions

    def _reconcile_versions(self, owned: list[Engine]) -> None:
        """Order the loads that are missing on ``owned`` and may run now."""
        behind: dict[LoadKey, Engine] = {}
        workloads = self.kernel.get(Configuration).state.list("workloads")
        for workload in workloads:
            version = self._newest(workload.name)
            for engine in owned:
                if version < 0 or engine.spec.pool != workload.spec.pool:
                    continue
                if self._is_behind(engine, workload.name, version):
                    behind[engine.name, workload.name] = engine
        if not behind:
            return
        for key in self._pacing.may_load(self._rollout(workloads)):
            if key in behind:
                self._order_version(behind[key], key[1])

    def _newest(self, workload: str) -> int:
        """Return the workload's newest version; note since when it is known."""
        version = self.kernel.get(Versions).newest(workload)
        known = self._known_since.get(workload)
        if known is None or known[0] != version:
            self._known_since[workload] = (version, clock.now())
        return version

    def _is_behind(self, engine: Engine, workload: str, version: int) -> bool:
        """Say whether an engine lacks the version; note what came of its loads."""
        key = (engine.name, workload)
        loaded = _loaded(engine, workload)
        if loaded is not None and loaded >= version:
            self._confirm(engine, workload, loaded)
            return False
        progress = self._progress_by_key.get(key)
        if progress is None or progress.incarnation != engine.state.incarnation:
            self._progress_by_key[key] = LoadProgress(version, engine.state.incarnation)
        elif progress.version != version:
            progress.begin(version)
        return True

    def _confirm(self, engine: Engine, workload: str, loaded: int) -> None:
        key = (engine.name, workload)
        progress = self._progress_by_key.pop(key, None)
        if progress is not None and progress.orders:
            self._learn_duration(clock.now() - progress.ordered_at)
        now = (engine.state.incarnation, loaded)
        before = self._confirmed_by_key.get(key)
        if before != now:
            self._confirmed_by_key[key] = now
            self._emit("order_confirmed", engine, workload=workload, version=loaded)
        elif progress is not None:
            self._emit("engine_put_right", engine, workload=workload, version=loaded)
        if progress is not None or before is None:
            self._take_back(engine)

    def _take_back(self, engine: Engine) -> None:
        """Take an engine back into use that loads again."""
        for (name, _), progress in self._progress_by_key.items():
            if name == engine.name and progress.failures:
                return
        engines = self.kernel.get(Engines)
        was_out = engines.is_out(engine)
        engines.declare(engine, EngineMark.HEALTHY)
        if was_out:
            self._emit("engine_in", engine)

    def _learn_duration(self, seconds: float) -> None:
        self._load_seconds += (seconds - self._load_seconds) * _LOAD_WEIGHT

    def _rollout(self, workloads: list[Resource]) -> Rollout:
        """Return all loads, an engine's own next to each other."""
        engines = self.kernel.get(Engines)
        loads: list[WeightLoad] = []
        for workload in workloads:
            version, known_at = self._known_since[workload.name]
            if version < 0:
                continue
            elapsed = clock.now() - known_at
            oldest = version - workload.spec.freshness_bound
            for engine in engines.in_pool(workload.spec.pool):
                loads.append(self._load(engine, workload.name, oldest, elapsed))
        loads.sort(key=lambda load: (score(load.engine, _ROLLOUT), load.workload))
        return Rollout(loads, max(self._load_seconds, _MIN_LOAD_SECONDS))

    def _load(
        self, engine: Engine, workload: str, oldest: int, elapsed: float
    ) -> WeightLoad:
        loaded = _loaded(engine, workload)
        version = self._known_since[workload][0]
        engines = self.kernel.get(Engines)
        return WeightLoad(
            engine.name,
            workload,
            seen=engine.state is not None,
            loaded=loaded is not None and loaded >= version,
            loading=self._is_loading(engine, workload),
            urgent=loaded is None or loaded < oldest,
            last=bool(engine.health.failures) or bool(engines.mark_of(engine)),
            elapsed=elapsed,
        )

    def _is_loading(self, engine: Engine, workload: str) -> bool:
        """Say whether a load runs, or was ordered since the last report."""
        if engine.state is None:
            return False
        row = engine.state.by_workload.get(workload)
        if row is not None and row.loading is not None:
            return True
        progress = self._progress_by_key.get((engine.name, workload))
        return progress is not None and engine.state_at <= progress.ordered_at

    def _order_version(self, engine: Engine, workload: str) -> None:
        progress = self._progress_by_key[engine.name, workload]
        engines = self.kernel.get(Engines)
        row = engine.state.by_workload.get(workload)
        if row is not None and row.loading is not None:
            if row.loading >= progress.version:
                engines.hurry(engine)
                return
        if engine.name in self._busy or engine.state_at <= progress.ordered_at:
            engines.hurry(engine)
            return
        if progress.is_open:
            self._note_failure(engine, workload, progress)
        if clock.now() < progress.not_before:
            return
        self._busy.add(engine.name)
        self.spawn(self._send_version(engine, workload, progress))

    def _note_failure(
        self, engine: Engine, workload: str, progress: LoadProgress
    ) -> None:
        """Note that an accepted order came to nothing; too often is out."""
        progress.failed()
        self._emit(
            "load_failed",
            engine,
            workload=workload,
            version=progress.version,
            failures=progress.failures,
        )
        engines = self.kernel.get(Engines)
        if not engines.is_out(engine):
            engines.declare(engine, EngineMark.FAILING)
        if not progress.is_hopeless or not self._others_loaded(
            engine, workload, progress.version
        ):
            return
        if engines.declare(engine, EngineMark.OUT_OF_SERVICE):
            self._emit(
                "engine_out",
                engine,
                error=LoadFailedError.code,
                detail=f"version {progress.version} of {workload} can't be loaded",
            )

    def _others_loaded(self, engine: Engine, workload: str, version: int) -> bool:
        """Say whether another engine shows that the version can be loaded."""
        for other in self.kernel.get(Engines).in_pool(engine.spec.pool):
            loaded = _loaded(other, workload)
            if other is not engine and loaded is not None and loaded >= version:
                return True
        return False

    async def _send_version(
        self, engine: Engine, workload: str, progress: LoadProgress
    ) -> None:
        version = progress.version
        fence = fence_of(engine.offset, version)
        order = VersionOrder(self._order_name(workload), fence, workload, version)
        progress.orders += 1
        try:
            async with self._orders:
                await engine.client.order(order)
            progress.is_open = True
        except CranberryrunError as error:
            await self._refused(engine, error)
            progress.failed()
            return
        finally:
            progress.ordered_at = clock.now()
            self._busy.discard(engine.name)
        self._emit(
            "order_sent", engine, workload=workload, version=version, fence=fence
        )
        self.kernel.get(Engines).hurry(engine)

    def _order_name(self, aim: str) -> str:
        """Return a name that no other order has: an equal one has no effect."""
        membership = self.kernel.get(Membership)
        self._orders_sent += 1
        return f"{aim}-{membership.id}-{membership.incarnation}-{self._orders_sent}"

    async def _refused(self, engine: Engine, error: CranberryrunError) -> None:
        """Read the engine's state again after an order that was not taken."""
        if isinstance(error, StaleFenceError):
            self._emit("order_refused", engine, error=error.detail)
        else:
            self.kernel.get(Engines).failed(engine, error)
        await self.kernel.get(Engines).refresh(engine)

    # Models, adapters and roles

    def _reconcile_named(self, engine: Engine) -> None:
        """Order a declared model, adapters and role once for each incarnation.

        The engine reports its role alone; a role that differs is ordered again.
        """
        wanted = self._named_orders(engine)
        if not wanted or engine.name in self._busy:
            return
        done = (engine.state.incarnation, *wanted)
        role_wrong = engine.spec.role not in (None, engine.state.role)
        if self._named_by_engine.get(engine.name) == done and not role_wrong:
            return
        sent_at = self._named_at_by_engine.get(engine.name)
        if sent_at is not None and clock.now() - sent_at < _NAMED_AGAIN_SECONDS:
            return
        self._named_at_by_engine[engine.name] = clock.now()
        if role_wrong and self._named_by_engine.get(engine.name) == done:
            # An equal order has no effect a second time.
            name = self._order_name("set_role")
            wanted = [replace(each, order=name) for each in wanted if _is_role(each)]
        self._busy.add(engine.name)
        self.spawn(self._send_named(engine, wanted, done))

    def _named_orders(self, engine: Engine) -> list[NamedOrder]:
        spec = engine.spec
        orders: list[NamedOrder] = []
        if spec.role is not None:
            orders.append(self._named(engine, "set_role", "", spec.role))
        if spec.model is None and not spec.adapters:
            return orders
        for workload in self.kernel.get(Configuration).state.list("workloads"):
            if workload.spec.pool != spec.pool:
                continue
            if spec.model is not None:
                orders.append(
                    self._named(engine, "load_model", workload.name, spec.model)
                )
            for adapter in spec.adapters:
                orders.append(
                    self._named(engine, "load_adapter", workload.name, adapter)
                )
        return orders

    def _named(
        self, engine: Engine, kind: str, workload: str, value: str
    ) -> NamedOrder:
        fence = fence_of(engine.offset, 0)
        name = f"{kind}-{workload}-{value}-{fence}-{engine.state.incarnation}"
        return NamedOrder(name, fence, kind, workload, value)

    async def _send_named(
        self, engine: Engine, orders: list[NamedOrder], done: tuple[object, ...]
    ) -> None:
        versions = self.kernel.get(Versions)
        try:
            for order in orders:
                # A version that was ordered for this workload raised its fence.
                version = versions.newest(order.workload) if order.workload else 0
                fence = fence_of(engine.offset, version)
                async with self._orders:
                    await engine.client.order_named(replace(order, fence=fence))
                self._emit(
                    "order_sent",
                    engine,
                    workload=order.workload,
                    order=order.kind,
                    value=order.value,
                    fence=fence,
                )
            self._named_by_engine[engine.name] = done
        except CranberryrunError as error:
            await self._refused(engine, error)
        finally:
            self._busy.discard(engine.name)
        self.kernel.get(Engines).hurry(engine)

    def _emit(self, name: str, engine: Engine, **fields: object) -> None:
        self.kernel.get(Events).emit(name, engine=engine.name, **fields)


def _is_role(order: NamedOrder) -> bool:
    return order.kind == "set_role"


def _loaded(engine: Engine, workload: str) -> int | None:
    """Return the version the engine itself reports, not that of its streams."""
    if engine.state is None or workload not in engine.state.by_workload:
        return None
    return engine.state.by_workload[workload].version
