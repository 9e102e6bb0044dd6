"""Explains where a run of a model's item would start now: a dry run of the planning."""

from __future__ import annotations

from .. import clock
from ..exceptions import NotFoundError, NotReadyError
from ..fleet.directory import Directory
from ..fleet.engine_pool import Engine, EnginePool
from ..fleet.lease import Lease
from ..fleet.manifest import RouteKind
from ..kernel import Kernel
from ..requests.explanation import (
    Explanation,
    Fact,
    Refusal,
    TargetExplanation,
    add_directory_facts,
    add_limit_facts,
)
from ..requests.routes import require_ready
from .dispatch import (
    ScheduledItem,
    fastest_event_interval,
    is_slow,
    may_run,
    plan_starts,
)
from .models import Batch, BatchState, Item

# The length of the item that is asked about, in events.
_EXPECTED_EVENTS = 100.0


def explain_model(kernel: Kernel, model: str) -> Explanation:
    """Explain where an item of ``model`` would start if no other item waited.

    The item accepts the newest version that was announced. Only the holder of the lease
    knows the load of the engines.
    """
    explanation = Explanation(kind=RouteKind.ROLLOUT.value)
    directory = kernel.get(Directory)
    try:
        require_ready(directory)
    except NotReadyError as error:
        explanation.refusal = Refusal.of(error)
    add_directory_facts(kernel, explanation)
    lease = kernel.get(Lease)
    explanation.facts.append(
        Fact("this host holds the lease and starts the runs")
        if lease.held
        else Fact(f"host {lease.holder_host} starts the runs; ask it for the load")
    )
    version = directory.version_by_model.get(model)
    explanation.facts.append(
        Fact(f"newest version of {model}: {version}", directory.seconds_since_read()[0])
    )
    services = _services_of(kernel, model)
    if not services and explanation.refusal is None:
        error = NotFoundError(f"no route leads to a service of model {model}")
        explanation.refusal = Refusal.of(error)
    if explanation.refusal is not None:
        return explanation
    explanation.service = ", ".join(sorted(services))
    probe = _probe(model, version or 0, services)
    pool = kernel.get(EnginePool)
    engines = pool.engines_of(services)
    starts = plan_starts([probe], engines, clock.wall())
    explanation.chosen = starts[0].engine.id if starts else None
    if not starts:
        explanation.facts.append(Fact("the item would wait: no engine is eligible"))
    fastest = fastest_event_interval(engines)
    for engine in pool.engine_by_id.values():
        if engine.target.service in services:
            explanation.targets.append(_explain_engine(kernel, engine, probe, fastest))
    return explanation


def _services_of(kernel: Kernel, model: str) -> frozenset[str]:
    manifest = kernel.get(Directory).manifest
    if manifest is None:
        return frozenset()
    return frozenset(
        backend.service
        for route in manifest.routes
        if route.kind is RouteKind.ROLLOUT
        for backend in route.backends
        if model in manifest.models_by_service.get(backend.service, ())
    )


def _probe(model: str, version: int, services: frozenset[str]) -> ScheduledItem:
    """Return an item that is in no batch of the store."""
    item = Item("", "", "/", {}, b"", 0.0)
    batch = Batch("", "", "", model, 0, version, 1, clock.wall(), (item,))
    return ScheduledItem(
        item=item,
        state=BatchState(batch),
        services=services,
        due=clock.wall(),
        expected_events=_EXPECTED_EVENTS,
    )


def _explain_engine(
    kernel: Kernel, engine: Engine, probe: ScheduledItem, fastest: float
) -> TargetExplanation:
    model = probe.state.batch.model
    target = engine.target
    now = clock.now()
    target_age = kernel.get(Directory).seconds_since_read()[1]
    free = engine.free_slots()
    explained = TargetExplanation(
        target.id,
        target.service,
        target.zone,
        target.software,
        eligible=not target.draining and free > 0 and may_run(probe, engine),
    )
    against = explained.reasons_against
    if target.draining:
        against.append(Fact("leaving", target_age))
    if engine.loading_model is not None:
        against.append(Fact(f"loading {engine.loading_model}", 0.0))
    accepted = may_run(probe, engine)
    versions = Fact(f"version {engine.version(model)} of {model}", target_age)
    (explained.reasons_for if accepted else against).append(versions)
    cooldown = max(engine.cooldown_until, engine.health.cooldown_until) - now
    if cooldown > 0:
        against.append(Fact(f"in cooldown for {cooldown:.2f} s", 0.0))
    if engine.health.probing():
        text = f"{engine.health.failures} failures since its last response"
        against.append(Fact(text))
    add_limit_facts(kernel, target, explained)
    slots = Fact(f"{engine.in_flight} of {target.slots} slots used by this host", 0.0)
    (explained.reasons_for if free > 0 else against).append(slots)
    if engine.event_interval:
        interval = engine.expected_event_interval(fastest)
        speed = Fact(
            f"{interval * 1000:.0f} ms between events",
            now - engine.interval_recorded_at,
        )
        (against if is_slow(engine, fastest) else explained.reasons_for).append(speed)
    return explained
