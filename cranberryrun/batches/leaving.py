"""Which runs move off engines that end at a known time. Does no I/O."""

from __future__ import annotations

from collections.abc import Sequence

from ..fleet.engine_pool import Engine
from .engine_choice import fastest_event_interval, is_slow, may_run
from .engine_memory import EngineBudget
from .scheduled_item import ScheduledItem

# Covers the delay until the entry of the engine is read and the end of a run that is
# on its way.
_MARGIN_SECONDS = 0.3


def plan_departures(
    scheduled_items: Sequence[ScheduledItem],
    engines: Sequence[Engine],
    now: float,
    budgets: dict[str, EngineBudget] | None = None,
) -> list[tuple[ScheduledItem, Engine]]:
    """Return the runs that their engine can't finish before it ends, and where to go.

    A run without a free slot elsewhere stays: it goes on until its engine breaks it
    off, and is resumed after its last event.

    The runs with the most events to come get the slots.

    :param now: in loop seconds.
    :param budgets: the engines whose memory is limited, by id.
    """
    budgets = budgets or {}
    fastest_interval = fastest_event_interval(engines)
    free_slots_by_id = {
        engine.id: engine.free_slots()
        for engine in engines
        if not engine.target.draining and engine.permits() is None
    }
    longest_first = sorted(
        (each for each in scheduled_items if not each.finished),
        key=ScheduledItem.remaining_events,
        reverse=True,
    )
    departures: list[tuple[ScheduledItem, Engine]] = []
    for scheduled in longest_first:
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
            and (engine.id not in budgets or budgets[engine.id].fits(scheduled))
        ]
        if not candidates:
            continue
        chosen = max(
            candidates,
            key=lambda engine: free_slots_by_id[engine.id] / engine.target.slots,
        )
        free_slots_by_id[chosen.id] -= 1
        if chosen.id in budgets:
            budgets[chosen.id].add(scheduled)
        departures.append((scheduled, chosen))
    return departures
