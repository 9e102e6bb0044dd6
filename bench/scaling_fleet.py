"""Simulated engines and trainers for the comparison of scaling policies."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryrun.batches.models import Batch, BatchState, Item, Result
from cranberryrun.fleet.manifest import (
    Autoscale,
    Backend,
    Limits,
    Manifest,
    Route,
    RouteKind,
)
from cranberryrun.scaling.capacity import EngineKind
from cranberryrun.scaling.models import EngineGroup

SERVICE = "models"
MODELS = ("m0", "m1", "m2")
TICK_SECONDS = 0.1
PACE_SECONDS = 4.0
DUE_SECONDS = 7.5
_SLOTS = 8
_EVENT_SECONDS = 0.03
_TOKENS_PER_EVENT = 10.0
_SLOWDOWN_BY_ZONE = {"a": 1.0, "b": 1.0, "c": 1.3}
AUTOSCALE = Autoscale(
    minimum=2, maximum=12, price_by_zone={"a": 1.0, "b": 0.8, "c": 1.25}
)
_NEEDED_GROUP_SHARE = 0.9
_GROUP_SIZE = 8
_MEDIAN_EVENTS = 24.0
_EVENTS_SIGMA = 0.5
_HINT_SIGMA = 0.6
# The limit of an output. One item is done within the due time on any engine, so steps
# are late only for want of engines.
_MAX_EVENTS = 110
_MOVE_SECONDS = 0.2
_DRAIN_SECONDS = 1.0
_PREEMPTION_SECONDS = 2.4
# No spot engines are to be had in a zone for this long after its own were taken back.
_UNAVAILABLE_SECONDS = 10.0


@dataclass(slots=True, eq=False)
class SimulatedEngine:
    """An engine; it costs its price until ``ends_at`` and serves from ``ready_at``."""

    zone: str
    spot: bool
    ready_at: float
    ends_at: float = math.inf
    runs: list[SimulatedItem] = field(default_factory=list)

    @property
    def draining(self) -> bool:
        """Whether the engine takes no new runs."""
        return self.ends_at < math.inf

    @property
    def event_seconds(self) -> float:
        """The seconds that one event of a run takes."""
        return _EVENT_SECONDS * _SLOWDOWN_BY_ZONE[self.zone]


@dataclass(slots=True, eq=False)
class SimulatedItem:
    """An item with the events that are missing and its delay before the first one."""

    item: Item
    step: SimulatedStep
    events: int
    left: float
    delay: float = _MOVE_SECONDS


@dataclass(slots=True, eq=False)
class SimulatedStep:
    """A step with its unfinished items by group."""

    state: BatchState
    submitted_at: float
    open_by_group: dict[str, int]
    done_at: float | None = None


@dataclass(slots=True)
class Figures:
    """What a run cost and how its steps went."""

    cost: float = 0.0
    steps: int = 0
    late: int = 0
    behind: int = 0
    orders: int = 0
    new_engines: int = 0
    moved_runs: int = 0


def manifest() -> Manifest:
    """Return a manifest with one service that runs all models."""
    route = Route(
        name="steps",
        host="h",
        path_prefix="/",
        kind=RouteKind.ROLLOUT,
        backends=(Backend(SERVICE, 1.0),),
        timeout=10.0,
        latency_goal=1.0,
        priority=1,
        max_attempts=3,
        run_deadline=DUE_SECONDS,
        queue_ttl=40.0,
    )
    return Manifest(
        version=1,
        routes=(route,),
        services=frozenset({SERVICE}),
        limits=Limits(),
        models_by_service={SERVICE: MODELS},
        tokens_per_event_by_service={SERVICE: _TOKENS_PER_EVENT},
        autoscale_by_service={SERVICE: AUTOSCALE},
    )


class SimulatedFleet:
    """Three trainers that submit steps, and the engines that run them.

    :param level: returns the size of a model's steps at a time, relative to 6 to 14
        groups; 0 if it submits none.
    :param preemptions: the time and zone of each loss of a zone's spot engines.
    :param spot_engines: how many of a zone's engines are spot engines at the start.
    """

    def __init__(
        self,
        level: Callable[[str, float], float],
        preemptions: tuple[tuple[float, str], ...],
        seed: int,
        spot_engines: int = 0,
    ) -> None:
        self._level = level
        self._preemptions = list(preemptions)
        self._unavailable_until = dict.fromkeys(_SLOWDOWN_BY_ZONE, 0.0)
        self._rng = random.Random(seed)
        self.now = 0.0
        self.engines = [
            SimulatedEngine(zone, number < spot_engines, 0.0)
            for zone in _SLOWDOWN_BY_ZONE
            for number in range(8)
        ]
        self.steps: list[SimulatedStep] = []
        self.figures = Figures()
        self._current_by_model: dict[str, SimulatedStep] = {}
        self._waiting: list[SimulatedItem] = []

    def order(self, kind: EngineKind, count: int) -> bool:
        """Order a number of engines; return False if none can be had in the zone."""
        zone, spot = kind
        self.figures.orders += 1
        own = [
            engine
            for engine in self.engines
            if (engine.zone, engine.spot) == kind and not engine.draining
        ]
        if spot and count > len(own) and self.now < self._unavailable_until[zone]:
            return False
        self.figures.new_engines += max(0, count - len(own))
        for _ in range(count - len(own)):
            ready_at = self.now + AUTOSCALE.boot_seconds
            self.engines.append(SimulatedEngine(zone, spot, ready_at))
        for engine in own[count:]:
            engine.ends_at = self.now + _DRAIN_SECONDS
        return True

    def groups(self) -> tuple[EngineGroup, ...]:
        """Return the engines that registered, by zone and kind."""
        groups = []
        for zone in _SLOWDOWN_BY_ZONE:
            for spot in (False, True):
                members = [
                    engine
                    for engine in self.engines
                    if (engine.zone, engine.spot) == (zone, spot)
                    and engine.ready_at <= self.now
                ]
                if not members:
                    continue
                draining = sum(engine.draining for engine in members)
                groups.append(
                    EngineGroup(
                        zone,
                        spot,
                        len(members) - draining,
                        draining,
                        _SLOTS,
                        members[0].event_seconds,
                    )
                )
        return tuple(groups)

    @property
    def runs(self) -> int:
        """The number of runs in flight."""
        return sum(len(engine.runs) for engine in self.engines)

    def tick(self) -> None:
        """Advance all engines and trainers by one tick."""
        self.now += TICK_SECONDS
        self._preempt()
        for engine in list(self.engines):
            self.figures.cost += TICK_SECONDS * AUTOSCALE.price(
                engine.zone, engine.spot
            )
            if engine.ends_at <= self.now:
                self._end(engine)
        for model in MODELS:
            self._submit(model)
        self._start_runs()
        for engine in self.engines:
            self._advance(engine)

    def _preempt(self) -> None:
        while self._preemptions and self._preemptions[0][0] <= self.now:
            _, zone = self._preemptions.pop(0)
            self._unavailable_until[zone] = (
                self.now + _PREEMPTION_SECONDS + _UNAVAILABLE_SECONDS
            )
            for engine in self.engines:
                if engine.spot and engine.zone == zone and not engine.draining:
                    engine.ends_at = self.now + _PREEMPTION_SECONDS

    def _end(self, engine: SimulatedEngine) -> None:
        self.engines.remove(engine)
        self.figures.moved_runs += len(engine.runs)
        for item in engine.runs:
            item.delay = _MOVE_SECONDS
            self._waiting.append(item)

    def _submit(self, model: str) -> None:
        current = self._current_by_model.get(model)
        if current is not None and current.done_at is None:
            return
        if current is not None and self.now < current.submitted_at + PACE_SECONDS:
            return
        level = self._level(model, self.now)
        if not level:
            return
        groups = max(1, round(level * self._rng.randint(6, 14)))
        batch_id = f"{model}-{len(self.steps)}"
        items = []
        for group in range(groups):
            median = self._rng.lognormvariate(math.log(_MEDIAN_EVENTS), _EVENTS_SIGMA)
            for index in range(_GROUP_SIZE):
                items.append(
                    Item(
                        f"{batch_id}-{group}-{index}",
                        str(group),
                        "/",
                        {},
                        b"",
                        median * _TOKENS_PER_EVENT,
                    )
                )
        batch = Batch(
            id=batch_id,
            route="steps",
            host="h",
            model=model,
            step=len(self.steps),
            min_version=1,
            wanted_groups=math.ceil(_NEEDED_GROUP_SHARE * groups),
            submitted_at=self.now,
            items=tuple(items),
        )
        step = SimulatedStep(
            BatchState(batch), self.now, {str(g): _GROUP_SIZE for g in range(groups)}
        )
        self.steps.append(step)
        self._current_by_model[model] = step
        self.figures.steps += 1
        for item in items:
            events = item.expected_tokens / _TOKENS_PER_EVENT
            events *= self._rng.lognormvariate(0.0, _HINT_SIGMA)
            count = min(_MAX_EVENTS, max(1, round(events)))
            self._waiting.append(SimulatedItem(item, step, count, count))

    def _start_runs(self) -> None:
        self._waiting.sort(key=lambda item: (item.step.submitted_at, -item.left))
        usable = [
            engine
            for engine in self.engines
            if engine.ready_at <= self.now and not engine.draining
        ]
        while self._waiting:
            free = [engine for engine in usable if len(engine.runs) < _SLOTS]
            if not free:
                return
            item = self._waiting.pop(0)
            # As the dispatcher does: long items go to fast engines, short ones spread.
            engine = min(
                free,
                key=lambda each: each.event_seconds * (item.left + len(each.runs)),
            )
            engine.runs.append(item)

    def _advance(self, engine: SimulatedEngine) -> None:
        for item in list(engine.runs):
            seconds = TICK_SECONDS
            delayed = min(item.delay, seconds)
            item.delay -= delayed
            item.left -= (seconds - delayed) / engine.event_seconds
            if item.left <= 0:
                engine.runs.remove(item)
                self._finish(item)

    def _finish(self, item: SimulatedItem) -> None:
        step = item.step
        result = Result(item.item.id, True, "\n" * (item.events - 1))
        step.state.results.append(result)
        step.state.result_by_item[result.item] = result
        step.open_by_group[item.item.group] -= 1
        complete = sum(not left for left in step.open_by_group.values())
        if step.done_at is None and complete >= step.state.batch.wanted_groups:
            step.done_at = self.now
            step.state.ended = True
            seconds = self.now - step.submitted_at
            self.figures.late += seconds > DUE_SECONDS
            self.figures.behind += seconds > PACE_SECONDS + TICK_SECONDS
