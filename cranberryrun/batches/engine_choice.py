"""Which engine runs an item, and which runs move to another one. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..fleet.engine_pool import Engine
from .scheduled_item import ScheduledItem

if TYPE_CHECKING:
    from .engine_memory import EngineBudget

# Assumed mean time between two events while no engine's speed is known.
DEFAULT_EVENT_INTERVAL_SECONDS = 0.04
# An engine is slow if its event interval exceeds this multiple of the fastest one's.
SLOW_FACTOR = 1.8
# No run moves between engines whose event intervals differ by less than this factor.
_SAME_SPEED_FACTOR = 1.15
# A run stays on its engine for at least this long, so that the engine's event interval
# can be measured.
_MIN_RUN_BEFORE_MOVE_SECONDS = 1.0
# A run moves to another engine only if that saves at least this much time.
_MIN_MOVE_SAVING_SECONDS = 0.4
# A slow engine may delay an item by at most this, or by as long as it would wait for a
# faster one; otherwise it waits.
_MIN_WAIT_SAVING_SECONDS = 0.3

# What a slow span costs a run in the mean: half of its 0.6 s at 2.5 times the interval.
SLOW_SPAN_COST_SECONDS = 0.2

# An engine's events take longer by this share for each event that its other runs hold
# in memory. Several long runs on one engine may also exceed its memory, and one of them
# is then preempted.
_SLOWDOWN_PER_EVENT = 1.5e-4


# Items that run at least this long determine when a step ends, so a share of each
# engine's slots is reserved for them.
LONG_ITEM_SECONDS = 1.5
_RESERVED_SLOT_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class Move:
    """The decision to move a run to another engine, which saves ``saved_seconds``."""

    scheduled: ScheduledItem
    engine: Engine
    saved_seconds: float


def fastest_event_interval(engines: Iterable[Engine]) -> float:
    """Return the shortest known event interval of any engine, in seconds."""
    intervals = [engine.event_interval for engine in engines if engine.event_interval]
    return min(intervals, default=DEFAULT_EVENT_INTERVAL_SECONDS)


def unreserved_slots(slots: int) -> int:
    """Return how many of an engine's slots short items may occupy."""
    return slots - int(slots * _RESERVED_SLOT_SHARE)


def is_slow(engine: Engine, fastest_interval: float) -> bool:
    """Return whether an engine is much slower than the fastest one.

    :param fastest_interval: event interval of the fastest engine, in seconds.
    """
    return (
        engine.expected_event_interval(fastest_interval)
        > SLOW_FACTOR * fastest_interval
    )


def may_run(scheduled: ScheduledItem, engine: Engine) -> bool:
    """Return whether the engine may start the item or go on with its output."""
    return may_continue(scheduled, engine) and has_weights_for(scheduled, engine)


def may_continue(scheduled: ScheduledItem, engine: Engine) -> bool:
    """Return whether what the engine generates fits the output so far."""
    origin = scheduled.origin
    if origin is not None and not origin.allows(engine.target):
        return False
    version = scheduled.kept_version
    return version is None or engine.version(scheduled.state.batch.model) == version


def has_weights_for(scheduled: ScheduledItem, engine: Engine) -> bool:
    """Return whether the engine has weights that the item accepts.

    An engine that is loading the model accepts no runs of it.
    """
    model = scheduled.state.batch.model
    version = engine.version(model)
    if engine.loading_model == model:
        return False
    return version is not None and version >= scheduled.min_version


def choose_engine(
    scheduled: ScheduledItem,
    engines: Sequence[Engine],
    fastest_interval: float,
    free_slots_by_id: dict[str, int],
    held_events_by_id: dict[str, float],
    engine_by_group: dict[str, str],
    wait_seconds: float = 0.0,
    slow_engines: frozenset[str] = frozenset(),
) -> Engine | None:
    """Return the engine on which an item should start now, if any.

    :param slow_engines: the ids of engines that are in a slow span.
    :param wait_seconds: how long the item would wait for another engine.
    """
    max_extra_seconds = max(_MIN_WAIT_SAVING_SECONDS, wait_seconds)
    remaining = scheduled.remaining_events()
    best: Engine | None = None
    best_cost = 0.0
    for engine in engines:
        interval = engine.expected_event_interval(fastest_interval)
        extra_seconds = remaining * (interval - fastest_interval)
        if is_slow(engine, fastest_interval) and extra_seconds > max_extra_seconds:
            continue
        cost = extra_seconds + interval * _utilization(
            engine, free_slots_by_id[engine.id]
        )
        cost += (
            remaining * interval * _SLOWDOWN_PER_EVENT * held_events_by_id[engine.id]
        )
        if engine_by_group.get(scheduled.item.group) == engine.id:
            # The engine has the prompt of this group in its prefix cache.
            cost -= interval
        if engine.id in slow_engines:
            cost += SLOW_SPAN_COST_SECONDS
        if best is None or cost < best_cost:
            best, best_cost = engine, cost
    return best


def find_faster_engine(
    scheduled: ScheduledItem, engines: Sequence[Engine], fastest_interval: float
) -> tuple[Engine, float] | None:
    """Return the engine on which a running item would finish first.

    :return: the engine and the seconds saved by moving there; None if no other engine
        has a free slot or none is clearly faster.
    """
    assert scheduled.engine is not None
    current_interval = scheduled.engine.expected_event_interval(fastest_interval)
    best: Engine | None = None
    for engine in engines:
        if (
            engine is scheduled.engine
            or engine.target.service not in scheduled.services
        ):
            continue
        if engine.target.draining or engine.free_slots() <= 0:
            continue
        if engine.permits() is not None:
            # A move sends the item once more, for which that engine has no room.
            continue
        if not may_run(scheduled, engine):
            continue
        if best is None or engine.expected_event_interval(
            fastest_interval
        ) < best.expected_event_interval(fastest_interval):
            best = engine
    if (
        best is None
        or current_interval
        < _SAME_SPEED_FACTOR * best.expected_event_interval(fastest_interval)
    ):
        return None
    return best, scheduled.remaining_events() * (
        current_interval - best.expected_event_interval(fastest_interval)
    )


def moves(
    scheduled_items: Iterable[ScheduledItem],
    engines: Sequence[Engine],
    now: float,
    budgets: dict[str, EngineBudget] | None = None,
) -> Iterator[Move]:
    """Yield the runs to move to an engine that would finish them much sooner.

    The caller carries out each move before it takes the next one, which counts it.

    :param budgets: the engines whose memory is limited, by id.
    :param now: the current time, in loop seconds.
    """
    fastest_interval = fastest_event_interval(engines)
    available = [engine for engine in engines if engine.free_slots() > 0]
    running = [
        scheduled
        for scheduled in scheduled_items
        if scheduled.engine is not None and not scheduled.finished
    ]
    running.sort(key=ScheduledItem.remaining_events, reverse=True)
    for scheduled in running:
        if now < scheduled.started_at + _MIN_RUN_BEFORE_MOVE_SECONDS:
            continue
        roomy = [
            engine
            for engine in available
            if not budgets
            or engine.id not in budgets
            or budgets[engine.id].fits(scheduled)
        ]
        move = find_faster_engine(scheduled, roomy, fastest_interval)
        if move is None or move[1] < _MIN_MOVE_SAVING_SECONDS:
            continue
        if budgets and move[0].id in budgets:
            budgets[move[0].id].add(scheduled)
        yield Move(scheduled, *move)


def _utilization(engine: Engine, unused_slots: int) -> float:
    return 1.0 - unused_slots / engine.target.slots
