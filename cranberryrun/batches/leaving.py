"""Which runs move off engines that end at a known time. Does no I/O."""

from __future__ import annotations

from collections.abc import Sequence

from ..fleet.engine_pool import Engine
from .dispatch import ScheduledItem, fastest_event_interval, is_slow, may_run

# Covers the delay until the entry of the engine is read and the end of a run that is
# on its way.
_MARGIN_SECONDS = 0.3


def plan_departures(
    scheduled_items: Sequence[ScheduledItem],
    engines: Sequence[Engine],
    now: float,
) -> list[tuple[ScheduledItem, Engine]]:
    """Return the runs that their engine can't finish before it ends, and where to go.

    A run without a free slot elsewhere stays: it goes on until its engine breaks it
    off, and is resumed after its last event.

    :param scheduled_items: in the order in which slots are given to them.
    :param engines: engines with free slots.
    :param now: in loop seconds.
    """
    fastest_interval = fastest_event_interval(engines)
    free_slots_by_id = {
        engine.id: engine.free_slots()
        for engine in engines
        if not engine.target.draining and engine.permits() is None
    }
    departures: list[tuple[ScheduledItem, Engine]] = []
    for scheduled in scheduled_items:
        if scheduled.engine is None or scheduled.engine.leaves_at is None:
            continue
        seconds_left = scheduled.engine.leaves_at - now - _MARGIN_SECONDS
        interval = scheduled.engine.expected_event_interval(fastest_interval)
        if scheduled.remaining_events() * interval <= seconds_left:
            continue
        candidates = [
            engine
            for engine in engines
            if free_slots_by_id.get(engine.id, 0) > 0
            and engine is not scheduled.engine
            and engine.target.service in scheduled.services
            and may_run(scheduled, engine)
            and not is_slow(engine, fastest_interval)
        ]
        if not candidates:
            continue
        chosen = max(
            candidates,
            key=lambda engine: free_slots_by_id[engine.id] / engine.target.slots,
        )
        free_slots_by_id[chosen.id] -= 1
        departures.append((scheduled, chosen))
    return departures
