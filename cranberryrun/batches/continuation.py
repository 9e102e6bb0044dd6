"""Decides when an interrupted output is given up and generated anew. Does no I/O.

An output goes on only at engines of its origin. If none of them is left, or none takes
the item for longer than it takes to generate the output again, another engine starts
it from the beginning.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..fleet.engine_pool import Engine
from .dispatch import ScheduledItem, fastest_event_interval, has_weights_for

# Covers the time in which a run that ended is planned again.
_MIN_WAIT_SECONDS = 0.2


def outputs_to_restart(
    scheduled_items: Sequence[ScheduledItem], engines: Sequence[Engine], now: float
) -> list[ScheduledItem]:
    """Return the waiting items whose output should be discarded.

    While no other engine could start the item now, its output is kept: discarding it
    would gain nothing.

    :param engines: the engines that are not draining.
    :param now: the current time, in loop seconds.
    """
    fastest_interval = fastest_event_interval(engines)
    restarts = []
    for scheduled in scheduled_items:
        origin = scheduled.origin
        if origin is None or not scheduled.waiting:
            continue
        allowed = [
            engine
            for engine in engines
            if engine.target.service in scheduled.services
            and has_weights_for(scheduled, engine)
        ]
        others = [engine for engine in allowed if not origin.allows(engine.target)]
        if not any(engine.free_slots() for engine in others):
            continue
        wait = max(_MIN_WAIT_SECONDS, len(scheduled.pieces) * fastest_interval)
        none_left = len(others) == len(allowed)
        if none_left or now >= scheduled.waiting_since + wait:
            restarts.append(scheduled)
    return restarts
