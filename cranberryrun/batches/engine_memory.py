"""How much of each engine's memory its runs hold and will hold. Does no I/O.

Answers heavy-tailed lengths on engines that crash when their runs exceed their memory.
A run holds its prompt and what it has generated, in tokens. The parts of a prompt that
several runs on an engine share are held once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from ..fleet.engine_pool import INTERVAL_WINDOW_EVENTS, Engine
from .engine_choice import DEFAULT_EVENT_INTERVAL_SECONDS
from .scheduled_item import MEAN_LENGTH, ScheduledItem

# The standard deviation of a length as a multiple of its estimate, which follows from
# OVERRUN_SHARE like MEAN_LENGTH.
_LENGTH_DEVIATION = 0.73
# Runs start while the expected occupancy and this many standard deviations fit. As runs
# do not all end at once, that is rarely reached: in trials with lognormal lengths 2% of
# the runs were stopped later. A whole deviation made the same work take 9% longer, and
# without a margin 4% of the runs were stopped.
_MARGIN_DEVIATIONS = 0.5
# From a check of the runs until an engine has freed the memory of one that is stopped:
# a check each 0.1 s, and at most 0.4 s until the engine notices.
_STOP_SECONDS = 0.5
# Engines send events in bursts, so this many may be held that were not received yet.
_UNSEEN_EVENTS = INTERVAL_WINDOW_EVENTS


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """The memory of an engine of each service, and the tokens of an event, in tokens.

    Services without an entry in ``capacity_by_service`` have no limit.
    """

    capacity_by_service: dict[str, float] = field(default_factory=dict)
    tokens_per_event_by_service: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Need:
    """What one run takes, in tokens; ``prompt`` and ``expected`` without shared parts.

    ``output`` is what it has generated, ``most_output`` what it may generate.
    """

    prompt: float
    output: float
    most_output: float
    expected: float
    variance: float


@dataclass(slots=True)
class EngineBudget:
    """The memory of one engine and the runs that hold it. Sizes are in tokens.

    ``soon_events`` is how many events a run may generate before a run that is stopped
    now has freed its memory. ``leaving`` is the memory of runs stopped just now.
    """

    capacity: float
    tokens_per_event: float
    soon_events: float
    leaving: float = 0.0
    # Shared by the budgets of one plan, in which no item changes.
    _need_by_item: dict[tuple[ScheduledItem, float], _Need] = field(
        default_factory=dict
    )
    _runs: list[ScheduledItem] = field(default_factory=list)
    _tokens_by_part: dict[str, float] = field(default_factory=dict)
    _expected: float = 0.0
    _variance: float = 0.0
    _soon: float = 0.0
    _shared: float = 0.0

    @property
    def empty(self) -> bool:
        """Whether no run holds memory of the engine."""
        return not self._runs

    def held(self) -> float:
        """Return what the runs have held by the events that were received."""
        needs = [self._need(run) for run in self._runs]
        return self._shared + sum(need.prompt + need.output for need in needs)

    def expected(self) -> float:
        """Return the occupancy at the ends of all runs, with the margin for errors."""
        margin = _MARGIN_DEVIATIONS * math.sqrt(self._variance)
        return self.leaving + self._shared + self._expected + margin

    def soon(self) -> float:
        """Return the occupancy by the time when a run that is stopped now is gone."""
        return self.leaving + self._shared + self._soon

    def add(self, scheduled: ScheduledItem) -> None:
        """Add a run."""
        need = self._need(scheduled)
        self._shared += self._new_parts(scheduled)
        self._runs.append(scheduled)
        self._tokens_by_part.update(scheduled.item.prompt_parts)
        self._expected += need.expected
        self._variance += need.variance
        self._soon += self._soon_of(need)

    def fits(self, scheduled: ScheduledItem) -> bool:
        """Return whether a run may start beside the others.

        An empty engine takes any run whose next events fit: no other engine has more
        room for it.
        """
        need = self._need(scheduled)
        base = self.leaving + self._shared + self._new_parts(scheduled)
        if base + self._soon + self._soon_of(need) > self.capacity:
            return False
        margin = _MARGIN_DEVIATIONS * math.sqrt(self._variance + need.variance)
        total = base + self._expected + need.expected + margin
        return self.empty or total <= self.capacity

    def usual_runs(self, scheduled_items: Sequence[ScheduledItem]) -> float:
        """Return how many runs of the mean expected size of the items fit."""
        total = sum(self._need(scheduled).expected for scheduled in scheduled_items)
        return self.capacity * len(scheduled_items) / total if total else math.inf

    def free(self) -> float:
        """Return the expected memory that is left; negative if there is too little."""
        return self.capacity - self.expected()

    def _new_parts(self, scheduled: ScheduledItem) -> float:
        """Return the tokens of shared parts that the engine does not hold yet."""
        return sum(
            tokens
            for part, tokens in scheduled.item.prompt_parts
            if part not in self._tokens_by_part
        )

    def _soon_of(self, need: _Need) -> float:
        growth = self.soon_events * self.tokens_per_event
        return need.prompt + min(need.most_output, need.output + growth)

    def _need(self, scheduled: ScheduledItem) -> _Need:
        key = scheduled, self.tokens_per_event
        need = self._need_by_item.get(key)
        if need is None:
            need = self._need_by_item[key] = self._calculate_need(scheduled)
        return need

    def _calculate_need(self, scheduled: ScheduledItem) -> _Need:
        most_output = scheduled.item.max_output_tokens
        if most_output is None:
            most_output = math.inf
        events = scheduled.total_events()
        deviation = _LENGTH_DEVIATION * events * self.tokens_per_event
        if events <= scheduled.expected_events:
            events *= MEAN_LENGTH
        expected = min(most_output, events * self.tokens_per_event)
        deviation = min(deviation, most_output - expected)
        prompt = _own_prompt(scheduled)
        return _Need(
            prompt=prompt,
            output=len(scheduled.pieces) * self.tokens_per_event,
            most_output=most_output,
            expected=prompt + expected,
            variance=deviation**2,
        )

    def excess_runs(self) -> list[ScheduledItem]:
        """Return the youngest runs, without which the others fit for now.

        Runs that were stopped before have left by the time that this looks ahead to.
        """
        runs = sorted(self._runs, key=lambda run: (run.started_at, -len(run.pieces)))
        kept = replace(self, leaving=0.0)
        stopped: list[ScheduledItem] = []
        while runs and kept.soon() > self.capacity:
            stopped.append(runs.pop())
            kept = replace(
                self,
                leaving=0.0,
                _runs=[],
                _tokens_by_part={},
                _expected=0.0,
                _variance=0.0,
                _soon=0.0,
                _shared=0.0,
            )
            for run in runs:
                kept.add(run)
        return stopped


def _own_prompt(scheduled: ScheduledItem) -> float:
    """Return the tokens of the prompt that no other item shares."""
    item = scheduled.item
    shared = sum(tokens for _, tokens in item.prompt_parts)
    return max(0.0, item.prompt_tokens - shared)


class EngineMemory:
    """Keeps the budgets of all engines whose memory is limited.

    Only the holder of the lease sends runs, so its own runs are all that an engine
    holds. A new holder knows what each output has so far from the recorded progress.
    """

    def __init__(self, limits: MemoryLimits = MemoryLimits()) -> None:
        self.limits = limits
        self._leaving: dict[str, list[tuple[float, float]]] = {}

    def budgets(
        self,
        scheduled_items: Iterable[ScheduledItem],
        engines: Iterable[Engine],
        now: float,
    ) -> dict[str, EngineBudget]:
        """Return the budget of each engine with a limit, by the engine's id.

        :param scheduled_items: all items that may have a run.
        :param now: the current time, in loop seconds.
        """
        budgets = {}
        need_by_item: dict[tuple[ScheduledItem, float], _Need] = {}
        for engine in engines:
            service = engine.target.service
            capacity = self.limits.capacity_by_service.get(service)
            if not capacity:
                continue
            interval = engine.event_interval or DEFAULT_EVENT_INTERVAL_SECONDS
            budgets[engine.id] = EngineBudget(
                capacity,
                self.limits.tokens_per_event_by_service.get(service, 1.0),
                _STOP_SECONDS / interval + _UNSEEN_EVENTS,
                self._leaving_tokens(engine.id, now),
                need_by_item,
            )
        if not budgets:
            return budgets
        for scheduled in scheduled_items:
            if scheduled.engine is not None and scheduled.engine.id in budgets:
                budgets[scheduled.engine.id].add(scheduled)
        return budgets

    def record_stop(self, scheduled: ScheduledItem, now: float) -> None:
        """Count the memory of a run that is stopped until its engine has freed it.

        :param now: the current time, in loop seconds.
        """
        if scheduled.engine is None:
            return
        service = scheduled.engine.target.service
        if service not in self.limits.capacity_by_service:
            return
        events = len(scheduled.pieces) + _UNSEEN_EVENTS
        tokens = events * self.limits.tokens_per_event_by_service.get(service, 1.0)
        self._leaving.setdefault(scheduled.engine.id, []).append(
            (now + _STOP_SECONDS, _own_prompt(scheduled) + tokens)
        )

    def _leaving_tokens(self, engine_id: str, now: float) -> float:
        leaving = self._leaving.get(engine_id)
        if leaving is None:
            return 0.0
        leaving[:] = [entry for entry in leaving if entry[0] > now]
        if not leaving:
            del self._leaving[engine_id]
        return sum(tokens for _, tokens in leaving)


def usual_runs_by_engine(
    budgets: dict[str, EngineBudget], scheduled_items: Iterable[ScheduledItem]
) -> dict[str, float]:
    """Return how many runs of the items' mean size fit into each engine's memory."""
    if not budgets:
        return {}
    unfinished = [scheduled for scheduled in scheduled_items if not scheduled.finished]
    runs_by_size: dict[tuple[float, float], float] = {}
    runs_by_engine = {}
    for engine_id, budget in budgets.items():
        size = budget.capacity, budget.tokens_per_event
        if size not in runs_by_size:
            runs_by_size[size] = budget.usual_runs(unfinished)
        runs_by_engine[engine_id] = runs_by_size[size]
    return runs_by_engine


def roomiest(engines: Sequence[Engine], budgets: dict[str, EngineBudget]) -> Engine:
    """Return the engine with the most memory left; all ``engines`` have a budget."""
    return max(engines, key=lambda engine: budgets[engine.id].free())
