"""Orders engines to load the weight versions that trainers announced."""

from __future__ import annotations

import asyncio

from .. import clock
from ..events import Events
from ..exceptions import StaleFenceError
from ..kernel import Service
from .absent_ids import drop_absent
from .client import LoadOrder, OrderRefusedError, TargetClient
from .directory import Directory
from .engine_pool import Engine, EnginePool
from .lease import Lease
from .manifest import RouteKind

# The weight store serves up to this share of the engines at its full rate.
_MAX_LOADING_SHARE = 0.4
_TICK_SECONDS = 0.1
_FIRST_POLL_SECONDS = 0.7
_POLL_SECONDS = 0.1
# A load that takes longer counts as failed; the engine's state is requested again
# before the next order.
_LOAD_TIMEOUT_SECONDS = 8.0
_RETRY_DELAY_SECONDS = 0.4


class Loads(Service):
    """Orders loads of each announced version, a limited number at a time.

    Where several models share the engines, each model has an equal share of them, and
    only that many engines load a new version, those with the oldest version first.
    The other engines stay usable, because each version serves two steps. A version that
    an open batch needs is loaded by all engines.
    """

    name = "loads"
    requires = ("events", "lease", "directory", "engine_pool", "target_client")

    def __init__(self, host_id: str) -> None:
        super().__init__()
        self._host_id = host_id
        self._rejected_fence = -1
        self._load_task_by_engine: dict[str, asyncio.Task[None]] = {}
        self._retry_at_by_engine: dict[str, float] = {}
        self.needed_version_by_model: dict[str, int] = {}

    async def start(self) -> None:
        """Start ordering loads."""
        self.supervise(self._run)

    async def _run(self) -> None:
        lease = self.kernel.get(Lease)
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            if lease.may_order and lease.fence > self._rejected_fence:
                self._start_loads()

    def _start_loads(self) -> None:
        engines = [
            engine
            for engine in self.kernel.get(EnginePool).engine_by_id.values()
            if not engine.target.draining
        ]
        free_load_slots = max(1, int(len(engines) * _MAX_LOADING_SHARE)) - len(
            self._load_task_by_engine
        )
        candidates = []
        for engine in engines:
            if engine.id in self._load_task_by_engine:
                continue
            if clock.now() < self._retry_at_by_engine.get(engine.id, 0.0):
                continue
            model = self._model_to_load(engine, engines)
            if model is None:
                continue
            needed = self._needed_by_batch(engine, model)
            version = engine.version(model) or 0
            candidates.append(
                (not needed, version, engine.in_flight, engine.id, engine, model)
            )
        candidates.sort(key=lambda row: row[:4])
        for *_, engine, model in candidates[: max(0, free_load_slots)]:
            self._start_load(engine, model)

    def _model_to_load(self, engine: Engine, engines: list[Engine]) -> str | None:
        """Return the model whose announced version the engine should load, if any.

        A model of which an open batch needs a newer version is returned first, then the
        model that is the most versions behind.
        """
        announced_version_by_model = self.kernel.get(Directory).version_by_model
        outdated = []
        for model, version in announced_version_by_model.items():
            current_version = engine.version(model)
            if current_version is None or current_version >= version:
                continue
            if self._needed_by_batch(engine, model):
                return model
            if not self._share_has_version(model, version, engines):
                outdated.append((current_version - version, model))
        return min(outdated)[1] if outdated else None

    def _share_has_version(
        self, model: str, version: int, engines: list[Engine]
    ) -> bool:
        """Return whether enough engines for the model's share have the version.

        An engine that is loading the model counts.
        """
        serving = [engine for engine in engines if engine.version(model) is not None]
        model_count = max(
            (len(engine.target.version_by_model) for engine in serving), default=1
        )
        up_to_date = sum(
            (engine.version(model) or 0) >= version or engine.loading_model == model
            for engine in serving
        )
        return up_to_date * model_count >= len(serving)

    def _needed_by_batch(self, engine: Engine, model: str) -> bool:
        needed_version = self.needed_version_by_model.get(model, 0)
        return (engine.version(model) or 0) < needed_version

    def _start_load(self, engine: Engine, model: str) -> None:
        version = self.kernel.get(Directory).version_by_model[model]
        engine.loading_model = model
        task = self.spawn(self._load(engine, model, version))
        self._load_task_by_engine[engine.id] = task

    async def _load(self, engine: Engine, model: str, version: int) -> None:
        try:
            async with asyncio.timeout(_LOAD_TIMEOUT_SECONDS):
                await self._send_order(engine, model, version)
                await self._wait_loaded(engine, model, version)
        except Exception as error:
            # Whatever went wrong, the order is not sent again at once.
            self._record_failure(engine, model, version, error)
        finally:
            engine.loading_model = None
            self._load_task_by_engine.pop(engine.id, None)
            self.kernel.get(EnginePool).notify_observers()

    async def _send_order(self, engine: Engine, model: str, version: int) -> None:
        client = self.kernel.get(TargetClient)
        report = await client.report(engine.target)
        if report.busy:
            raise OrderRefusedError("the engine is still carrying out another order")
        if report.version_by_model.get(model, 0) >= version:
            return
        fence = self.kernel.get(Lease).fence
        order = LoadOrder(
            model=model,
            version=version,
            holder=self._host_id,
            fence=fence,
            sequence=report.sequence,
            keep_runs=not self._requires_single_version(model),
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
            self._rejected_fence = fence
            raise

    async def _wait_loaded(self, engine: Engine, model: str, version: int) -> None:
        started_at = clock.now()
        await asyncio.sleep(_FIRST_POLL_SECONDS)
        while True:
            report = await self.kernel.get(TargetClient).report(engine.target)
            if report.version_by_model.get(model, 0) >= version and not report.busy:
                break
            await asyncio.sleep(_POLL_SECONDS)
        engine.loaded_version_by_model.update(report.version_by_model)
        self.kernel.get(Events).emit(
            "order_confirmed",
            engine=engine.id,
            workload=model,
            version=version,
            seconds=round(clock.now() - started_at, 3),
        )

    def _record_failure(
        self, engine: Engine, model: str, version: int, error: Exception
    ) -> None:
        drop_absent(self._retry_at_by_engine, self.kernel.get(EnginePool).engine_by_id)
        self._retry_at_by_engine[engine.id] = clock.now() + _RETRY_DELAY_SECONDS
        self.kernel.get(Events).emit(
            "order_refused",
            engine=engine.id,
            workload=model,
            version=version,
            reason=repr(error),
        )

    def _requires_single_version(self, model: str) -> bool:
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
