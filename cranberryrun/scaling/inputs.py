"""Collects the inputs of the scaling policy from the services of the lease holder."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from .. import clock
from ..batches.log import BatchLog
from ..duties.duty import Duty
from ..events import Events
from ..fleet.directory import Directory
from ..fleet.engine_pool import Engine, EnginePool
from ..fleet.manifest import Manifest, RouteKind
from ..kernel import Service
from ..metrics import Metrics
from .demand import DemandHistory
from .duty import ScaleDuty
from .models import EngineGroup, ScalingInputs


class Scaling(Service):
    """Provides the duty that orders engines, and shows what it wants."""

    name = "scaling"
    requires = ("events", "metrics", "directory", "engine_pool", "batch_log")

    def __init__(self) -> None:
        super().__init__()
        self._history = DemandHistory()
        self._duty = ScaleDuty(self.read_inputs, self._emit)

    @property
    def duty(self) -> Duty:
        """The duty to be driven while this host holds the lease."""
        return self._duty

    async def start(self) -> None:
        """Register the metrics."""
        metrics = self.kernel.get(Metrics)
        metrics.register_gauge(
            "engines_wanted", lambda: self._duty.wanted_by_zone(clock.wall())
        )
        metrics.register_gauge(
            "engines_present", lambda: self._duty.present_by_zone(clock.wall())
        )

    def read_inputs(self, now: float) -> dict[str, ScalingInputs]:
        """Return the inputs by service; empty unless the manifest has an autoscale.

        :param now: in seconds since 1970.
        """
        directory = self.kernel.get(Directory)
        manifest = directory.manifest
        if manifest is None or not directory.targets_loaded:
            return {}
        if not manifest.autoscale_by_service:
            return {}
        states = self.kernel.get(BatchLog).table.state_by_id.values()
        self._history.update(states, manifest, now)
        pool = self.kernel.get(EnginePool)
        inputs = {}
        for service, autoscale in manifest.autoscale_by_service.items():
            models = manifest.models_by_service.get(service)
            if not models:
                # Without models there are no steps from which a demand is known.
                continue
            own_engines = [
                engine
                for engine in pool.engine_by_id.values()
                if engine.target.service == service
            ]
            inputs[service] = ScalingInputs(
                autoscale=autoscale,
                demand=self._history.demand_for(service, models, now),
                groups=group_engines(own_engines),
                runs=sum(engine.in_flight for engine in own_engines),
                waiting_items=pool.waiting_items,
                most_runs=max((each.in_flight for each in own_engines), default=0),
                plain_requests=_serves_plain_requests(manifest, service),
            )
        return inputs

    def _emit(self, name: str, **fields: object) -> None:
        self.kernel.get(Events).emit(name, **fields)


def group_engines(engines: Iterable[Engine]) -> tuple[EngineGroup, ...]:
    """Group engines by zone and kind."""
    engines_by_kind: dict[tuple[str, bool], list[Engine]] = {}
    for engine in engines:
        kind = (engine.target.zone, engine.target.spot)
        engines_by_kind.setdefault(kind, []).append(engine)
    groups = []
    for (zone, spot), members in sorted(engines_by_kind.items()):
        intervals = [
            engine.event_interval for engine in members if engine.event_interval
        ]
        draining = sum(engine.target.draining for engine in members)
        groups.append(
            EngineGroup(
                zone=zone,
                spot=spot,
                ready=len(members) - draining,
                draining=draining,
                slots=int(statistics.median(engine.target.slots for engine in members)),
                event_interval=statistics.median(intervals) if intervals else 0.0,
            )
        )
    return tuple(groups)


def _serves_plain_requests(manifest: Manifest, service: str) -> bool:
    return any(
        backend.service == service
        for route in manifest.routes
        if route.kind is not RouteKind.ROLLOUT
        for backend in route.backends
    )
