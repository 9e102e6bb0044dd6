"""The demand for engines, from the steps that trainers submitted. Does no I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..batches.models import Batch, BatchState
from ..fleet.manifest import Manifest

# Steps older than this say nothing of the present demand.
_KEEP_SECONDS = 120.0
# The largest of this many newest steps of a model stands for its next one. Trainers
# draw the number of groups anew for each step, so the newest step alone may be small.
_STEPS_FOR_SIZE = 6
# The pace is the shortest mean interval over this many steps. A trainer that waits for
# late results submits at longer intervals than it could, which must not look like a
# lower demand; the mean keeps one early submission from looking like a higher one.
_STEPS_FOR_PACE = 3
_MIN_PACE_SECONDS = 0.5
# A model whose trainer submitted nothing for this many paces, and at least for this
# time, has no demand.
_IDLE_PACES = 10.0
_MIN_IDLE_SECONDS = 30.0
# Estimates of lengths are right at the median, and lengths have a heavy tail, so the
# mean is above the estimate. Assumed until enough items have finished; with a
# log-normal spread of 0.8, the mean is 1.38 times the median.
_ASSUMED_LENGTH_FACTOR = 1.4
_MIN_ITEMS_FOR_LENGTH_FACTOR = 50
# Long items finish last or not at all in ended steps, so a factor measured on finished
# items is too low rather than too high.
_MIN_LENGTH_FACTOR = 1.2
_MAX_LENGTH_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """The demand of one model's trainer.

    ``pace`` is the time between two of its steps and ``due_within`` the time from a
    step's submission until its results are due, both in seconds. ``events``, ``items``
    and ``longest_events`` are those of its largest recent step; events are expected
    ones, of all groups.
    """

    model: str
    steps: int
    pace: float
    due_within: float
    items: int
    events: float
    longest_events: float


@dataclass(frozen=True, slots=True)
class OpenStep:
    """The expected events of the items of an open step that have no results.

    ``due`` is in seconds since 1970.
    """

    due: float
    events: float


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The demand for the engines of one service.

    ``missing_models`` are the models of the service of which fewer than two steps were
    seen. ``newest_at`` is the time of the newest submission, in seconds since 1970.
    """

    models: tuple[ModelDemand, ...]
    open_steps: tuple[OpenStep, ...]
    missing_models: tuple[str, ...]
    newest_at: float


@dataclass(slots=True)
class _Step:
    model: str
    submitted_at: float
    due_within: float
    share_by_service: dict[str, float]
    items: int
    events: float
    longest_events: float
    events_by_item: dict[str, float]
    counted_results: int = 0
    finished_items: int = 0
    finished_events: int = 0
    finished_expected: float = 0.0


@dataclass(slots=True)
class DemandHistory:
    """Keeps the size and time of the recent and the open steps.

    A new holder of the lease fills it from the batches that it reads on its takeover,
    so it is not stored.
    """

    _step_by_batch: dict[str, _Step] = field(default_factory=dict)
    _open_by_batch: dict[str, BatchState] = field(default_factory=dict)
    _seen_models: set[str] = field(default_factory=set)
    # Of the last two steps or more that were known of a model, in seconds.
    _pace_by_model: dict[str, float] = field(default_factory=dict)
    _manifest: Manifest | None = None

    def update(
        self, states: Iterable[BatchState], manifest: Manifest, now: float
    ) -> None:
        """Add steps that are new and count the results of the others.

        :param now: in seconds since 1970.
        """
        if manifest is not self._manifest:
            # Routes say which service runs a step; steps that are still known are
            # added again.
            self._manifest = manifest
            self._step_by_batch.clear()
        self._open_by_batch.clear()
        for state in states:
            batch = state.batch
            if batch.submitted_at < now - _KEEP_SECONDS and not state.open:
                continue
            step = self._step_by_batch.get(batch.id)
            if step is None:
                step = _step_of(batch, manifest)
                if step is None:
                    continue
                self._step_by_batch[batch.id] = step
            if state.open:
                self._open_by_batch[batch.id] = state
            else:
                _count_results(step, state)
        for batch_id, step in list(self._step_by_batch.items()):
            if batch_id in self._open_by_batch:
                continue
            if step.submitted_at < now - _KEEP_SECONDS:
                del self._step_by_batch[batch_id]
        count_by_model = Counter(step.model for step in self._step_by_batch.values())
        self._seen_models.update(
            model for model, count in count_by_model.items() if count >= 2
        )

    def length_factor(self) -> float:
        """Return the mean length of finished outputs, relative to the estimates."""
        steps = self._step_by_batch.values()
        expected = sum(step.finished_expected for step in steps)
        items = sum(step.finished_items for step in steps)
        if items < _MIN_ITEMS_FOR_LENGTH_FACTOR or not expected:
            return _ASSUMED_LENGTH_FACTOR
        measured = sum(step.finished_events for step in steps) / expected
        return min(_MAX_LENGTH_FACTOR, max(_MIN_LENGTH_FACTOR, measured))

    def demand_for(
        self, service: str, models: Sequence[str], now: float
    ) -> ServiceDemand:
        """Return the demand for the engines of ``service``.

        :param models: the models that the service has.
        :param now: in seconds since 1970.
        """
        factor = self.length_factor()
        steps_by_model: dict[str, list[_Step]] = {model: [] for model in models}
        for step in self._step_by_batch.values():
            if step.submitted_at < now - _KEEP_SECONDS:
                # An old step that is open says nothing of the steps to come.
                continue
            if step.share_by_service.get(service) and step.model in steps_by_model:
                steps_by_model[step.model].append(step)
        demands = []
        missing = []
        for model, steps in steps_by_model.items():
            if model not in self._seen_models:
                missing.append(model)
            steps.sort(key=lambda step: step.submitted_at)
            if len(steps) >= 2:
                pace = _pace([step.submitted_at for step in steps])
                self._pace_by_model[model] = pace
            elif steps and model in self._pace_by_model:
                # The trainer goes on after a pause, in which engines were removed.
                pace = self._pace_by_model[model]
            else:
                continue
            demand = _model_demand(service, steps, pace, factor, now)
            if demand is not None:
                demands.append(demand)
        newest_at = max(
            (step.submitted_at for steps in steps_by_model.values() for step in steps),
            default=float("-inf"),
        )
        return ServiceDemand(
            tuple(demands), self._open_steps(service, factor), tuple(missing), newest_at
        )

    def _open_steps(self, service: str, factor: float) -> tuple[OpenStep, ...]:
        open_steps = []
        for batch_id, state in self._open_by_batch.items():
            step = self._step_by_batch[batch_id]
            share = step.share_by_service.get(service, 0.0)
            if not share:
                continue
            events = sum(
                events
                for item_id, events in step.events_by_item.items()
                if item_id not in state.result_by_item
            )
            due = step.submitted_at + step.due_within
            open_steps.append(OpenStep(due, share * factor * events))
        return tuple(open_steps)


def _step_of(batch: Batch, manifest: Manifest) -> _Step | None:
    """Return the size of a batch; None if no route takes its items."""
    weight_by_service: dict[str, float] = {}
    events_by_item: dict[str, float] = {}
    due_within = float("inf")
    for item in batch.items:
        route = manifest.route_for(batch.host, item.path)
        if route is None:
            continue
        tokens_per_event = 1.0
        for backend in route.backends:
            weight = weight_by_service.get(backend.service, 0.0)
            weight_by_service[backend.service] = weight + backend.weight
            tokens_per_event = max(
                tokens_per_event,
                manifest.tokens_per_event_by_service.get(backend.service, 1.0),
            )
        events_by_item[item.id] = max(1.0, item.expected_tokens / tokens_per_event)
        due_within = min(due_within, route.run_deadline or float("inf"))
    if not events_by_item:
        return None
    weights = sum(weight_by_service.values())
    return _Step(
        model=batch.model,
        submitted_at=batch.submitted_at,
        due_within=due_within,
        share_by_service={
            service: weight / weights for service, weight in weight_by_service.items()
        },
        items=len(events_by_item),
        events=sum(events_by_item.values()),
        longest_events=max(events_by_item.values()),
        events_by_item=events_by_item,
    )


def _count_results(step: _Step, state: BatchState) -> None:
    """Compare the lengths of new results with their estimates."""
    if len(state.results) < step.counted_results:
        # The batch was evicted from memory and read again.
        return
    for result in state.results[step.counted_results :]:
        expected = step.events_by_item.get(result.item)
        if not result.succeeded or expected is None:
            continue
        step.finished_items += 1
        step.finished_events += result.text.count("\n") + 1
        step.finished_expected += expected
    step.counted_results = len(state.results)


def _model_demand(
    service: str, steps: list[_Step], pace: float, factor: float, now: float
) -> ModelDemand | None:
    """Return the demand of a model from its steps in order; None if it has ended."""
    idle_seconds = now - steps[-1].submitted_at
    if idle_seconds > max(_MIN_IDLE_SECONDS, _IDLE_PACES * pace):
        return None
    newest = steps[-_STEPS_FOR_SIZE:]
    return ModelDemand(
        model=steps[-1].model,
        steps=len(steps),
        pace=pace,
        due_within=min(step.due_within for step in newest),
        items=max(step.items for step in newest),
        events=factor
        * max(step.events * step.share_by_service[service] for step in newest),
        longest_events=factor * max(step.longest_events for step in newest),
    )


def _pace(submitted_at: list[float]) -> float:
    """Return the seconds between two steps when the trainer is not held up."""
    count = min(_STEPS_FOR_PACE, len(submitted_at) - 1)
    shortest = min(
        later - earlier for earlier, later in zip(submitted_at, submitted_at[count:])
    )
    return max(_MIN_PACE_SECONDS, shortest / count)
