"""Brings each engine to what its declaration and its workloads want."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from . import clock
from .configuration import Configuration
from .engines import Engine, Engines, NamedOrder, VersionOrder
from .events import Events
from .exceptions import CranberryrunError, LoadFailedError, StaleFenceError
from .kernel import Service
from .membership import Membership
from .pacing import PacingPolicy, Rollout, RolloutEngine, StaggeredLoads
from .rendezvous import score
from .settings import Settings
from .state import Resource
from .versions import Versions

_FENCE_SHIFT = 32
_FIRST_LOAD_SECONDS = 2.0
_LOAD_WEIGHT = 0.3
_MAX_FAILED_LOADS = 3
_FIRST_RETRY_SECONDS = 0.5
_MAX_RETRY_SECONDS = 30.0
_NAMED_AGAIN_SECONDS = 5.0


def fence_of(offset: int, version: int) -> int:
    """Return the fencing number, the same on every host.

    :param offset: of the record that declared the engine.
    """
    return ((offset + 1) << _FENCE_SHIFT) | max(version, 0)


@dataclass(slots=True)
class LoadProgress:
    """How an engine this host owns comes to a workload's version.

    Times are of the loop; ``incarnation`` is the engine's when it was ordered.
    """

    version: int
    incarnation: int
    orders: int = 0
    failures: int = 0
    ordered_at: float = 0.0
    not_before: float = 0.0

    def failed(self) -> None:
        """Note a failed load; the next one waits longer."""
        self.failures += 1
        pause = _FIRST_RETRY_SECONDS * 2 ** (self.failures - 1)
        self.not_before = clock.now() + min(pause, _MAX_RETRY_SECONDS)


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
        self._progress_by_aim: dict[tuple[str, str], LoadProgress] = {}
        self._confirmed_by_aim: dict[tuple[str, str], tuple[int, int]] = {}
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
        for workload in self.kernel.get(Configuration).state.list("workloads"):
            mine = [each for each in seen if each.spec.pool == workload.spec.pool]
            self._reconcile_version(workload, mine)
        for engine in seen:
            self._reconcile_named(engine)

    def _forget(self, owned: list[Engine]) -> None:
        """Drop the notes on engines that this host does not own."""
        names = {engine.name for engine in owned}
        for notes in (self._progress_by_aim, self._confirmed_by_aim):
            for aim in [aim for aim in notes if aim[0] not in names]:
                del notes[aim]
        for name in [name for name in self._named_by_engine if name not in names]:
            del self._named_by_engine[name]

    # Versions

    def _reconcile_version(self, workload: Resource, owned: list[Engine]) -> None:
        version = self.kernel.get(Versions).newest(workload.name)
        if version < 0:
            return
        known = self._known_since.get(workload.name)
        if known is None or known[0] != version:
            self._known_since[workload.name] = (version, clock.now())
        behind = [each for each in owned if self._is_behind(each, workload, version)]
        if not behind:
            return
        may_load = set(self._pacing.may_load(self._rollout(workload, version)))
        for engine in behind:
            if engine.name in may_load:
                self._order_version(engine, workload.name, version)

    def _is_behind(self, engine: Engine, workload: Resource, version: int) -> bool:
        """Say whether an engine lacks the version; note what came of its loads."""
        aim = (engine.name, workload.name)
        loaded = _loaded(engine, workload.name)
        if loaded is not None and loaded >= version:
            self._confirm(engine, workload.name, loaded)
            return False
        progress = self._progress_by_aim.get(aim)
        if progress is None or progress.incarnation != engine.state.incarnation:
            self._progress_by_aim[aim] = LoadProgress(version, engine.state.incarnation)
        elif progress.version != version:
            progress.version = version
            progress.orders = 0
        return True

    def _confirm(self, engine: Engine, workload: str, loaded: int) -> None:
        aim = (engine.name, workload)
        progress = self._progress_by_aim.pop(aim, None)
        if progress is not None and progress.orders:
            self._learn_duration(clock.now() - progress.ordered_at)
        now = (engine.state.incarnation, loaded)
        before = self._confirmed_by_aim.get(aim)
        if before != now:
            self._confirmed_by_aim[aim] = now
            self._emit("order_confirmed", engine, workload=workload, version=loaded)
        elif progress is not None:
            self._emit("engine_put_right", engine, workload=workload, version=loaded)
        others = [key for key in self._progress_by_aim if key[0] == engine.name]
        if any(self._progress_by_aim[key].failures for key in others):
            return
        if self.kernel.get(Engines).declare_out(engine, False):
            self._emit("engine_in", engine)

    def _learn_duration(self, seconds: float) -> None:
        self._load_seconds += (seconds - self._load_seconds) * _LOAD_WEIGHT

    def _rollout(self, workload: Resource, version: int) -> Rollout:
        pool = self.kernel.get(Engines).in_pool(workload.spec.pool)
        rows = [self._rollout_engine(each, workload.name, version) for each in pool]
        rows.sort(key=lambda row: score(row.name, workload.name))
        elapsed = clock.now() - self._known_since[workload.name][1]
        others = sum(
            _is_loading(engine)
            for engine in self.kernel.get(Engines).by_name.values()
            if engine.spec.pool != workload.spec.pool
        )
        return Rollout(rows, elapsed, max(self._load_seconds, 0.1), others)

    def _rollout_engine(
        self, engine: Engine, workload: str, version: int
    ) -> RolloutEngine:
        progress = self._progress_by_aim.get((engine.name, workload))
        loaded = _loaded(engine, workload)
        return RolloutEngine(
            engine.name,
            seen=engine.state is not None,
            loaded=loaded is not None and loaded >= version,
            loading=_is_loading(engine),
            failures=progress.failures if progress is not None else 0,
        )

    def _order_version(self, engine: Engine, workload: str, version: int) -> None:
        progress = self._progress_by_aim[engine.name, workload]
        row = engine.state.by_workload.get(workload)
        engines = self.kernel.get(Engines)
        if row is not None and row.loading is not None and row.loading >= version:
            engines.hurry(engine)
            return
        if engine.name in self._busy or engine.state_at <= progress.ordered_at:
            engines.hurry(engine)
            return
        if progress.orders and progress.not_before <= progress.ordered_at:
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
        if progress.failures < _MAX_FAILED_LOADS:
            return
        if self.kernel.get(Engines).declare_out(engine, True):
            self._emit(
                "engine_out",
                engine,
                error=LoadFailedError.code,
                detail=f"version {progress.version} of {workload} can't be loaded",
            )

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


def _is_loading(engine: Engine) -> bool:
    if engine.state is None:
        return False
    return any(row.loading is not None for row in engine.state.by_workload.values())
