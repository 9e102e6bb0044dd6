"""Which engine runs an item, and which runs move to another one. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..fleet.engine_pool import Engine
from .scheduled_item import ScheduledItem

# Assumed mean time between two events while no engine's speed is known.
DEFAULT_EVENT_INTERVAL_SECONDS = 0.04
# An engine is slow if its event interval exceeds this multiple of the fastest one's.
SLOW_FACTOR = 1.8
# No run moves between engines whose event intervals differ by less than this factor.
_SAME_SPEED_FACTOR = 1.15
# A slow engine may delay an item by at most this; otherwise the item waits for a
# faster one.
_MIN_WAIT_SAVING_SECONDS = 0.3

# An engine's events take longer by this share for each event that its other runs hold
# in memory. Several long runs on one engine may also exceed its memory, and one of them
# is then preempted.
_SLOWDOWN_PER_EVENT = 1.5e-4


def fastest_event_interval(engines: Iterable[Engine]) -> float:
    """Return the shortest known event interval of any engine, in seconds."""
    intervals = [engine.event_interval for engine in engines if engine.event_interval]
    return min(intervals, default=DEFAULT_EVENT_INTERVAL_SECONDS)


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
    origin = scheduled.origin
    if origin is not None and not origin.allows(engine.target):
        return False
    return has_weights_for(scheduled, engine)


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
) -> Engine | None:
    remaining = scheduled.remaining_events()
    best: Engine | None = None
    best_cost = 0.0
    for engine in engines:
        interval = engine.expected_event_interval(fastest_interval)
        extra_seconds = remaining * (interval - fastest_interval)
        if (
            is_slow(engine, fastest_interval)
            and extra_seconds > _MIN_WAIT_SAVING_SECONDS
        ):
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


def _utilization(engine: Engine, unused_slots: int) -> float:
    return 1.0 - unused_slots / engine.target.slots
