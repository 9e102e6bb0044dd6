"""Orders engines to load the versions, models, adapters and roles declared for them."""

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
from .pacing import LoadKey, PacingPolicy, StaggeredLoads, WeightLoad, WeightRollout
from .rendezvous import score
from .settings import Settings
from .state import Resource
from .versions import Versions
from .views import EngineMark

_FENCE_SHIFT_BITS = 32
_LOAD_ORDER_SALT = "rollout"
_INITIAL_LOAD_SECONDS = 2.0
_NEWEST_LOAD_WEIGHT = 0.3
_MIN_LOAD_SECONDS = 0.1
_NAMED_RETRY_SECONDS = 5.0


def fence_of(offset: int, version: int) -> int:
    """Return the fencing token of an order; every host computes the same one.

    A newer declaration outranks any version, so the offset is in the high bits.

    :param offset: log offset of the record that declared the engine.
    """
    return ((offset + 1) << _FENCE_SHIFT_BITS) | max(version, 0)


class Weights(Service):
    """Sends orders until each engine runs what is declared for it.

    Each host sends orders to the engines that it owns: one at a time to an engine,
    and at most ``limits.orders_at_once`` at a time in all.
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
        self._order_slots = asyncio.Semaphore(limits.orders_at_once)
        self._in_flight: set[str] = set()
        self._progress_by_key: dict[LoadKey, LoadProgress] = {}
        self._confirmed_by_key: dict[LoadKey, tuple[int, int]] = {}
        self._applied_by_engine: dict[str, tuple[object, ...]] = {}
        self._newest_by_workload: dict[str, tuple[int, float]] = {}
        self._named_sent_at_by_engine: dict[str, float] = {}
        self._mean_load_seconds = _INITIAL_LOAD_SECONDS
        self._orders_sent = 0

    async def start(self) -> None:
        """Start to reconcile periodically."""
        self.supervise(self._reconcile_forever)

    async def _reconcile_forever(self) -> None:
        while True:
            await asyncio.sleep(self._settings.timing.reconcile)
            self.reconcile()

    def reconcile(self) -> None:
        """Compare reports and declarations once, and start to send missing orders."""
        engines = self.kernel.get(Engines)
        owned = [engines.by_name[name] for name in engines.owned()]
        reported = [engine for engine in owned if engine.state is not None]
        self._drop_unowned(reported)
        self._reconcile_versions(reported)
        for engine in reported:
            self._reconcile_named(engine)

    def _drop_unowned(self, owned: list[Engine]) -> None:
        """Drop the progress of engines other than ``owned``."""
        names = {engine.name for engine in owned}
        for by_key in (self._progress_by_key, self._confirmed_by_key):
            for key in [key for key in by_key if key[0] not in names]:
                del by_key[key]
        for name in [name for name in self._applied_by_engine if name not in names]:
            del self._applied_by_engine[name]

    # Versions

    def _reconcile_versions(self, owned: list[Engine]) -> None:
        """Order the missing loads on ``owned`` that the pacing policy allows now."""
        behind: dict[LoadKey, Engine] = {}
        workloads = self.kernel.get(Configuration).state.list("workloads")
        for workload in workloads:
            version = self._track_newest(workload.name)
            for engine in owned:
                if version < 0 or engine.spec.pool != workload.spec.pool:
                    continue
                if self._update_progress(engine, workload.name, version):
                    behind[engine.name, workload.name] = engine
        if not behind:
            return
        for key in self._pacing.may_load(self._weight_rollout(workloads)):
            if key in behind:
                self._order_version(behind[key], key[1])

    def _track_newest(self, workload: str) -> int:
        """Return the workload's newest version; record when it became known."""
        version = self.kernel.get(Versions).newest(workload)
        previous = self._newest_by_workload.get(workload)
        if previous is None or previous[0] != version:
            self._newest_by_workload[workload] = (version, clock.now())
        return version

    def _update_progress(self, engine: Engine, workload: str, version: int) -> bool:
        """Update the progress of an engine; return whether it lacks the version."""
        key = (engine.name, workload)
        loaded = _loaded_version(engine, workload)
        if loaded is not None and loaded >= version:
            self._confirm_version(engine, workload, loaded)
            return False
        progress = self._progress_by_key.get(key)
        if progress is None or progress.incarnation != engine.state.incarnation:
            self._progress_by_key[key] = LoadProgress(version, engine.state.incarnation)
        elif progress.version != version:
            progress.set_version(version)
        return True

    def _confirm_version(self, engine: Engine, workload: str, loaded: int) -> None:
        key = (engine.name, workload)
        progress = self._progress_by_key.pop(key, None)
        if progress is not None and progress.orders:
            self._update_mean_load_seconds(clock.now() - progress.ordered_at)
        confirmed = (engine.state.incarnation, loaded)
        previously_confirmed = self._confirmed_by_key.get(key)
        if previously_confirmed != confirmed:
            self._confirmed_by_key[key] = confirmed
            self._emit("order_confirmed", engine, workload=workload, version=loaded)
        elif progress is not None:
            self._emit("engine_put_right", engine, workload=workload, version=loaded)
        if progress is not None or previously_confirmed is None:
            self._return_to_service(engine)

    def _return_to_service(self, engine: Engine) -> None:
        """Return an engine to service unless another of its loads is failing."""
        for (name, _), progress in self._progress_by_key.items():
            if name == engine.name and progress.failures:
                return
        engines = self.kernel.get(Engines)
        was_out_of_service = engines.is_out_of_service(engine)
        engines.publish_mark(engine, EngineMark.HEALTHY)
        if was_out_of_service:
            self._emit("engine_in", engine)

    def _update_mean_load_seconds(self, seconds: float) -> None:
        self._mean_load_seconds += (
            seconds - self._mean_load_seconds
        ) * _NEWEST_LOAD_WEIGHT

    def _weight_rollout(self, workloads: list[Resource]) -> WeightRollout:
        """Return all loads, sorted by a hash of the engine, alike on every host."""
        engines = self.kernel.get(Engines)
        loads: list[WeightLoad] = []
        for workload in workloads:
            version, known_at = self._newest_by_workload[workload.name]
            if version < 0:
                continue
            elapsed = clock.now() - known_at
            oldest = version - workload.spec.freshness_bound
            for engine in engines.in_pool(workload.spec.pool):
                loads.append(self._weight_load(engine, workload.name, oldest, elapsed))
        loads.sort(
            key=lambda load: (score(load.engine, _LOAD_ORDER_SALT), load.workload)
        )
        return WeightRollout(loads, max(self._mean_load_seconds, _MIN_LOAD_SECONDS))

    def _weight_load(
        self, engine: Engine, workload: str, oldest: int, elapsed: float
    ) -> WeightLoad:
        loaded = _loaded_version(engine, workload)
        version = self._newest_by_workload[workload][0]
        engines = self.kernel.get(Engines)
        return WeightLoad(
            engine.name,
            workload,
            reported=engine.state is not None,
            loaded=loaded is not None and loaded >= version,
            loading=self._is_loading(engine, workload),
            urgent=loaded is None or loaded < oldest,
            low_priority=bool(engine.health.failures) or bool(engines.mark_of(engine)),
            elapsed=elapsed,
        )

    def _is_loading(self, engine: Engine, workload: str) -> bool:
        """Return whether a load runs, or was ordered since the last report."""
        if engine.state is None:
            return False
        reported = engine.state.by_workload.get(workload)
        if reported is not None and reported.loading is not None:
            return True
        progress = self._progress_by_key.get((engine.name, workload))
        return progress is not None and engine.state_at <= progress.ordered_at

    def _order_version(self, engine: Engine, workload: str) -> None:
        progress = self._progress_by_key[engine.name, workload]
        engines = self.kernel.get(Engines)
        reported = engine.state.by_workload.get(workload)
        if reported is not None and reported.loading is not None:
            if reported.loading >= progress.version:
                engines.poll_frequently(engine)
                return
        if engine.name in self._in_flight or engine.state_at <= progress.ordered_at:
            engines.poll_frequently(engine)
            return
        if progress.awaiting_result:
            self._record_load_failure(engine, workload, progress)
        if clock.now() < progress.not_before:
            return
        self._in_flight.add(engine.name)
        self.spawn(self._send_version(engine, workload, progress))

    def _record_load_failure(
        self, engine: Engine, workload: str, progress: LoadProgress
    ) -> None:
        """Record that an accepted order did not lead to the version.

        An engine that fails persistently goes out of service, but only if another
        one has loaded the version: otherwise the weight store may be at fault.
        """
        progress.record_failure()
        self._emit(
            "load_failed",
            engine,
            workload=workload,
            version=progress.version,
            failures=progress.failures,
        )
        engines = self.kernel.get(Engines)
        if not engines.is_out_of_service(engine):
            engines.publish_mark(engine, EngineMark.FAILING)
        if not progress.is_persistent_failure or not self._is_loaded_elsewhere(
            engine, workload, progress.version
        ):
            return
        if engines.publish_mark(engine, EngineMark.OUT_OF_SERVICE):
            self._emit(
                "engine_out",
                engine,
                error=LoadFailedError.code,
                detail=f"version {progress.version} of {workload} cannot be loaded",
            )

    def _is_loaded_elsewhere(self, engine: Engine, workload: str, version: int) -> bool:
        """Return whether another engine of the pool has loaded the version."""
        for other in self.kernel.get(Engines).in_pool(engine.spec.pool):
            loaded = _loaded_version(other, workload)
            if other is not engine and loaded is not None and loaded >= version:
                return True
        return False

    async def _send_version(
        self, engine: Engine, workload: str, progress: LoadProgress
    ) -> None:
        version = progress.version
        fence = fence_of(engine.offset, version)
        order = VersionOrder(self._new_order_id(workload), fence, workload, version)
        progress.orders += 1
        try:
            async with self._order_slots:
                await engine.client.order(order)
            progress.awaiting_result = True
        except CranberryrunError as error:
            await self._handle_order_failure(engine, error)
            progress.record_failure()
            return
        finally:
            progress.ordered_at = clock.now()
            self._in_flight.discard(engine.name)
        self._emit(
            "order_sent", engine, workload=workload, version=version, fence=fence
        )
        self.kernel.get(Engines).poll_frequently(engine)

    def _new_order_id(self, prefix: str) -> str:
        """Return a unique order id; engines ignore orders with a repeated id."""
        membership = self.kernel.get(Membership)
        self._orders_sent += 1
        return f"{prefix}-{membership.id}-{membership.incarnation}-{self._orders_sent}"

    async def _handle_order_failure(
        self, engine: Engine, error: CranberryrunError
    ) -> None:
        """Refresh the engine's state after a rejected or failed order."""
        if isinstance(error, StaleFenceError):
            self._emit("order_refused", engine, error=error.detail)
        else:
            self.kernel.get(Engines).record_failure(engine, error)
        await self.kernel.get(Engines).refresh(engine)

    # Models, adapters and roles

    def _reconcile_named(self, engine: Engine) -> None:
        """Order the declared model, adapters and role once per incarnation.

        Of these the engine reports only its role; a different role is ordered again.
        """
        orders = self._declared_orders(engine)
        if not orders or engine.name in self._in_flight:
            return
        applied = (engine.state.incarnation, *orders)
        role_differs = engine.spec.role not in (None, engine.state.role)
        if self._applied_by_engine.get(engine.name) == applied and not role_differs:
            return
        sent_at = self._named_sent_at_by_engine.get(engine.name)
        if sent_at is not None and clock.now() - sent_at < _NAMED_RETRY_SECONDS:
            return
        self._named_sent_at_by_engine[engine.name] = clock.now()
        if role_differs and self._applied_by_engine.get(engine.name) == applied:
            # The engine ignores an order with a repeated id, so a new id is needed.
            order_id = self._new_order_id("set_role")
            orders = [
                replace(order, order=order_id) for order in orders if _sets_role(order)
            ]
        self._in_flight.add(engine.name)
        self.spawn(self._send_named(engine, orders, applied))

    def _declared_orders(self, engine: Engine) -> list[NamedOrder]:
        spec = engine.spec
        orders: list[NamedOrder] = []
        if spec.role is not None:
            orders.append(self._named_order(engine, "set_role", "", spec.role))
        if spec.model is None and not spec.adapters:
            return orders
        for workload in self.kernel.get(Configuration).state.list("workloads"):
            if workload.spec.pool != spec.pool:
                continue
            if spec.model is not None:
                orders.append(
                    self._named_order(engine, "load_model", workload.name, spec.model)
                )
            for adapter in spec.adapters:
                orders.append(
                    self._named_order(engine, "load_adapter", workload.name, adapter)
                )
        return orders

    def _named_order(
        self, engine: Engine, kind: str, workload: str, value: str
    ) -> NamedOrder:
        fence = fence_of(engine.offset, 0)
        order_id = f"{kind}-{workload}-{value}-{fence}-{engine.state.incarnation}"
        return NamedOrder(order_id, fence, kind, workload, value)

    async def _send_named(
        self, engine: Engine, orders: list[NamedOrder], applied: tuple[object, ...]
    ) -> None:
        versions = self.kernel.get(Versions)
        try:
            for order in orders:
                # An order for the newest version may have raised the engine's fencing
                # token; this order's token must not be lower.
                version = versions.newest(order.workload) if order.workload else 0
                fence = fence_of(engine.offset, version)
                async with self._order_slots:
                    await engine.client.order_named(replace(order, fence=fence))
                self._emit(
                    "order_sent",
                    engine,
                    workload=order.workload,
                    order=order.kind,
                    value=order.value,
                    fence=fence,
                )
            self._applied_by_engine[engine.name] = applied
        except CranberryrunError as error:
            await self._handle_order_failure(engine, error)
        finally:
            self._in_flight.discard(engine.name)
        self.kernel.get(Engines).poll_frequently(engine)

    def _emit(self, name: str, engine: Engine, **fields: object) -> None:
        self.kernel.get(Events).emit(name, engine=engine.name, **fields)


def _sets_role(order: NamedOrder) -> bool:
    return order.kind == "set_role"


def _loaded_version(engine: Engine, workload: str) -> int | None:
    """Return the version in the engine's polled state; streams are not considered."""
    if engine.state is None or workload not in engine.state.by_workload:
        return None
    return engine.state.by_workload[workload].version
