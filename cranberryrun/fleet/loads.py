"""Moves the engines to the weight versions that trainers name."""

from __future__ import annotations

import asyncio

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError, StaleFenceError
from ..kernel import Service
from .client import LoadOrder, OrderRefusedError, TargetClient
from .directory import Directory
from .engine_pool import Engine, EnginePool
from .lease import Lease
from .manifest import RouteKind

# The store of weights serves this share of the engines at its full rate.
_LOADING_SHARE = 0.4
_TICK_SECONDS = 0.1
_LOAD_SECONDS = 0.7
_POLL_SECONDS = 0.1
# A load that is not complete by then is looked at anew.
_LOAD_LIMIT_SECONDS = 8.0
_RETRY_SECONDS = 0.4


class Loads(Service):
    """Orders loads for each named version, few at a time.

    Where several models share the engines, a version goes to the engine's share of
    one model, those with the oldest version first: each version serves two steps, so
    all engines stay usable. What an open batch needs is loaded everywhere.
    """

    name = "loads"
    requires = ("events", "lease", "directory", "engine_pool", "target_client")

    def __init__(self, host_id: str) -> None:
        super().__init__()
        self._holder = host_id
        self._stale_fence = -1
        self._loading: dict[str, asyncio.Task[None]] = {}
        self._retry_at: dict[str, float] = {}
        self.needed_version_by_model: dict[str, int] = {}

    async def start(self) -> None:
        """Begin to compare and order."""
        self.supervise(self._run)

    async def _run(self) -> None:
        lease = self.kernel.get(Lease)
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            if lease.may_order and lease.fence > self._stale_fence:
                self._order_next()

    def _order_next(self) -> None:
        engines = [
            engine
            for engine in self.kernel.get(EnginePool).engine_by_id.values()
            if not engine.target.draining
        ]
        room = max(1, int(len(engines) * _LOADING_SHARE)) - len(self._loading)
        candidates = []
        for engine in engines:
            if engine.id in self._loading:
                continue
            if clock.now() < self._retry_at.get(engine.id, 0.0):
                continue
            model = self._behind(engine, engines)
            if model is None:
                continue
            urgent = self._urgent(engine, model)
            version = engine.version(model) or 0
            candidates.append(
                (not urgent, version, engine.in_flight, engine.id, engine, model)
            )
        candidates.sort(key=lambda row: row[:4])
        for *_, engine, model in candidates[: max(0, room)]:
            self._begin(engine, model)

    def _behind(self, engine: Engine, engines: list[Engine]) -> str | None:
        """Return a model whose named version the engine should get, if any."""
        named = self.kernel.get(Directory).version_by_model
        behind = []
        for model, version in named.items():
            has = engine.version(model)
            if has is None or has >= version:
                continue
            if self._urgent(engine, model):
                return model
            if not self._shared_out(model, version, engines):
                behind.append((has - version, model))
        return min(behind)[1] if behind else None

    def _shared_out(self, model: str, version: int, engines: list[Engine]) -> bool:
        """Say whether a model's share of the engines has or gets the version."""
        serving = [each for each in engines if each.version(model) is not None]
        models = max((len(each.target.version_by_model) for each in serving), default=1)
        have = sum(
            (each.version(model) or 0) >= version or each.loading_model == model
            for each in serving
        )
        return have * models >= len(serving)

    def _urgent(self, engine: Engine, model: str) -> bool:
        needed = self.needed_version_by_model.get(model, 0)
        return (engine.version(model) or 0) < needed

    def _begin(self, engine: Engine, model: str) -> None:
        version = self.kernel.get(Directory).version_by_model[model]
        engine.loading_model = model
        task = self.spawn(self._load(engine, model, version))
        self._loading[engine.id] = task

    async def _load(self, engine: Engine, model: str, version: int) -> None:
        try:
            async with asyncio.timeout(_LOAD_LIMIT_SECONDS):
                await self._order(engine, model, version)
                await self._wait_loaded(engine, model, version)
        except (CranberryrunError, TimeoutError) as error:
            self._note_failure(engine, model, version, error)
        finally:
            engine.loading_model = None
            self._loading.pop(engine.id, None)
            self.kernel.get(EnginePool).changed()

    async def _order(self, engine: Engine, model: str, version: int) -> None:
        client = self.kernel.get(TargetClient)
        report = await client.report(engine.target)
        if report.busy:
            raise OrderRefusedError("the engine is under an order")
        if report.version_by_model.get(model, 0) >= version:
            return
        fence = self.kernel.get(Lease).fence
        order = LoadOrder(
            model=model,
            version=version,
            holder=self._holder,
            fence=fence,
            sequence=report.sequence,
            keep_runs=not self._single_version(model),
        )
        if not self.kernel.get(Lease).may_order:
            raise OrderRefusedError("the lease ended before the order was sent")
        self.kernel.get(Events).emit(
            "order_sent",
            engine=engine.id,
            workload=model,
            version=version,
            fence=fence,
            sequence=report.sequence,
            running=engine.in_flight,
        )
        self.kernel.get(Lease).record_order()
        try:
            await client.order(engine.target, order)
        except StaleFenceError:
            self._stale_fence = fence
            raise

    async def _wait_loaded(self, engine: Engine, model: str, version: int) -> None:
        began = clock.now()
        await asyncio.sleep(_LOAD_SECONDS)
        while True:
            report = await self.kernel.get(TargetClient).report(engine.target)
            if report.version_by_model.get(model, 0) >= version and not report.busy:
                break
            await asyncio.sleep(_POLL_SECONDS)
        engine.ordered_version_by_model.update(report.version_by_model)
        self.kernel.get(Events).emit(
            "order_confirmed",
            engine=engine.id,
            workload=model,
            version=version,
            seconds=round(clock.now() - began, 3),
        )

    def _note_failure(
        self, engine: Engine, model: str, version: int, error: Exception
    ) -> None:
        self._retry_at[engine.id] = clock.now() + _RETRY_SECONDS
        self.kernel.get(Events).emit(
            "order_refused",
            engine=engine.id,
            workload=model,
            version=version,
            reason=repr(error),
        )

    def _single_version(self, model: str) -> bool:
        manifest = self.kernel.get(Directory).manifest
        if manifest is None:
            return False
        return any(
            route.single_version
            for route in manifest.routes
            if route.kind is RouteKind.ROLLOUT
            and any(
                model in manifest.models_by_service.get(backend.service, ())
                for backend in route.backends
            )
        )
