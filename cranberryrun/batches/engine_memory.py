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
    _runs: list[ScheduledItem] = field(default_factory=list)
    _tokens_by_part: dict[str, float] = field(default_factory=dict)
    _expected: float = 0.0
    _variance: float = 0.0
    _soon: float = 0.0

    @property
    def empty(self) -> bool:
        """Whether no run holds memory of the engine."""
        return not self._runs

    def held(self) -> float:
        """Return what the runs have held by the events that were received."""
        return self._shared() + sum(
            _own_prompt(run) + len(run.pieces) * self.tokens_per_event
            for run in self._runs
        )

    def expected(self) -> float:
        """Return the occupancy at the ends of all runs, with the margin for errors."""
        margin = _MARGIN_DEVIATIONS * math.sqrt(self._variance)
        return self.leaving + self._shared() + self._expected + margin

    def soon(self) -> float:
        """Return the occupancy by the time when a run that is stopped now is gone."""
        return self.leaving + self._shared() + self._soon

    def _shared(self) -> float:
        return sum(self._tokens_by_part.values())

    def add(self, scheduled: ScheduledItem) -> None:
        """Add a run."""
        self._runs.append(scheduled)
        self._tokens_by_part.update(scheduled.item.prompt_parts)
        expected, deviation = self._final(scheduled)
        self._expected += expected
        self._variance += deviation**2
        self._soon += self._tokens(scheduled, len(scheduled.pieces) + self.soon_events)

    def fits(self, scheduled: ScheduledItem) -> bool:
        """Return whether a run may start beside the others.

        An empty engine takes any run whose next events fit: no other engine has more
        room for it.
        """
        new_parts = sum(
            tokens
            for part, tokens in scheduled.item.prompt_parts
            if part not in self._tokens_by_part
        )
        soon = self._tokens(scheduled, len(scheduled.pieces) + self.soon_events)
        if self.soon() + new_parts + soon > self.capacity:
            return False
        expected, deviation = self._final(scheduled)
        margin = _MARGIN_DEVIATIONS * math.sqrt(self._variance + deviation**2)
        total = self.leaving + self._shared() + new_parts + self._expected + expected
        return self.empty or total + margin <= self.capacity

    def usual_runs(self, scheduled_items: Sequence[ScheduledItem]) -> float:
        """Return how many runs of the mean expected size of the items fit."""
        total = sum(self._final(scheduled)[0] for scheduled in scheduled_items)
        return self.capacity * len(scheduled_items) / total if total else math.inf

    def free(self) -> float:
        """Return the expected memory that is left; negative if there is too little."""
        return self.capacity - self.expected()

    def _tokens(self, scheduled: ScheduledItem, events: float) -> float:
        """Return what a run holds after ``events``, without shared parts."""
        output = events * self.tokens_per_event
        if scheduled.item.max_output_tokens is not None:
            output = min(output, scheduled.item.max_output_tokens)
        return _own_prompt(scheduled) + output

    def _final(self, scheduled: ScheduledItem) -> tuple[float, float]:
        """Return the expected size of a run at its end and its standard deviation."""
        events = scheduled.total_events()
        if events <= scheduled.expected_events:
            events *= MEAN_LENGTH
        expected = self._tokens(scheduled, events)
        most = self._tokens(scheduled, math.inf)
        deviation = _LENGTH_DEVIATION * scheduled.total_events() * self.tokens_per_event
        return expected, min(deviation, most - expected)

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


def roomiest(engines: Sequence[Engine], budgets: dict[str, EngineBudget]) -> Engine:
    """Return the engine with the most memory left; all ``engines`` have a budget."""
    return max(engines, key=lambda engine: budgets[engine.id].free())
