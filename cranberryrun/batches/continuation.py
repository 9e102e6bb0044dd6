"""Decides when an interrupted output is given up and generated anew. Does no I/O.

An output goes on only at engines of its origin and, where its route asks for a single
version, of its weight version. If none of them is left, or none takes the item for
longer than it takes to generate the output again, another engine starts it from the
beginning.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..fleet.engine_pool import Engine
from .dispatch import (
    ScheduledItem,
    fastest_event_interval,
    has_weights_for,
    may_continue,
)

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
        if scheduled.origin is None or not scheduled.waiting:
            continue
        allowed = [
            engine
            for engine in engines
            if engine.target.service in scheduled.services
            and has_weights_for(scheduled, engine)
        ]
        others = [engine for engine in allowed if not may_continue(scheduled, engine)]
        if not any(engine.free_slots() for engine in others):
            continue
        wait = max(_MIN_WAIT_SECONDS, len(scheduled.pieces) * fastest_interval)
        none_left = len(others) == len(allowed) and not any(
            _may_load_kept_version(scheduled, engine) for engine in engines
        )
        if none_left or now >= scheduled.idle_since + wait:
            restarts.append(scheduled)
    return restarts


def _may_load_kept_version(scheduled: ScheduledItem, engine: Engine) -> bool:
    """Return whether the engine may still get the version of the output.

    Engines only load newer versions than they have.
    """
    kept_version = scheduled.kept_version
    version = engine.version(scheduled.state.batch.model)
    if kept_version is None or version is None or version >= kept_version:
        return False
    assert scheduled.origin is not None
    return scheduled.origin.allows(engine.target)
