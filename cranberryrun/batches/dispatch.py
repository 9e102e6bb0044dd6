"""Scheduling decisions: which item starts next, and on which engine. Does no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..fleet.engine_pool import Engine
from .engine_choice import (
    DEFAULT_EVENT_INTERVAL_SECONDS,
    LONG_ITEM_SECONDS,
    choose_engine,
    fastest_event_interval,
    find_faster_engine,
    has_weights_for,
    is_slow,
    may_continue,
    may_run,
    unreserved_slots,
)
from .engine_memory import EngineBudget, roomiest, usual_runs_by_engine
from .group_ranks import CARRIED, SPARE, WANTED, rank_by_group
from .overload import Overload, OverloadPlan
from .scheduled_item import ScheduledItem
from .shares import FairQueue, Shares, uses_shares

__all__ = [
    "CARRIED",
    "DEFAULT_EVENT_INTERVAL_SECONDS",
    "SPARE",
    "WANTED",
    "Policies",
    "ScheduledItem",
    "Start",
    "fastest_event_interval",
    "find_faster_engine",
    "has_weights_for",
    "is_slow",
    "may_continue",
    "may_run",
    "plan_starts",
    "rank_by_group",
]


@dataclass(frozen=True, slots=True)
class Start:
    """The decision to start an item on an engine."""

    scheduled: ScheduledItem
    engine: Engine


@dataclass(slots=True)
class Policies:
    """What applies where engine capacity is scarce; by default nothing does.

    ``budgets`` has the engines whose memory is limited, by id. ``slow_engines`` are
    the ids of those in a slow span. ``plan`` is set to the
    order that ``overload`` decided; None if no engine had a free slot.
    """

    overload: Overload | None = None
    shares: Shares | None = None
    budgets: dict[str, EngineBudget] = field(default_factory=dict)
    slow_engines: frozenset[str] = frozenset()
    plan: OverloadPlan | None = None


def plan_starts(
    scheduled_items: Sequence[ScheduledItem],
    engines: Sequence[Engine],
    now_wall: float,
    policies: Policies | None = None,
) -> list[Start]:
    """Return the runs to start now.

    Spare groups come late, and items that run ahead for the next batch last; within
    these classes, the items with the least slack until they are due come first. While
    engines are overloaded, their items have the order of :class:`Overload` instead, and
    no slot is reserved for long items.

    :param now_wall: the current time, in seconds since 1970.
    """
    policies = policies if policies is not None else Policies()
    budgets = policies.budgets
    fastest_interval = fastest_event_interval(engines)
    free_slots_by_id = {
        engine.id: free_slots
        for engine in engines
        if (free_slots := engine.free_slots())
    }
    available = [engine for engine in engines if engine.id in free_slots_by_id]
    if not available:
        return []
    in_flight_by_id = {engine.id: engine.in_flight for engine in available}
    pool_is_limited = any(engine.permits() is not None for engine in engines)
    ranks = rank_by_group(scheduled_items)
    plan = OverloadPlan()
    if policies.overload is not None:
        plan = policies.overload.plan(
            scheduled_items,
            ranks,
            engines,
            fastest_interval,
            now_wall,
            usual_runs_by_engine(budgets, scheduled_items),
        )
        policies.plan = plan

    def urgency(scheduled: ScheduledItem) -> tuple[float, ...]:
        position = plan.position(scheduled)
        if position is not None:
            return 1, *position
        rank = ranks[scheduled.state.batch.id, scheduled.item.group]
        slack = (
            scheduled.due - now_wall - scheduled.remaining_events() * fastest_interval
        )
        return 0, scheduled.ahead, rank == SPARE, slack

    engine_by_group: dict[str, str] = {}
    held_events_by_id = dict.fromkeys(free_slots_by_id, 0.0)
    for scheduled in scheduled_items:
        if scheduled.engine is None:
            continue
        engine_by_group[scheduled.item.group] = scheduled.engine.id
        if scheduled.engine.id in held_events_by_id:
            held_events_by_id[scheduled.engine.id] += scheduled.total_events()
    starts = []
    waiting_work = 0.0
    kept_free: set[frozenset[str]] = set()
    waiting = [scheduled for scheduled in scheduled_items if scheduled.waiting]
    queue: FairQueue | None = None
    if policies.shares is not None and uses_shares(scheduled_items):
        queue = policies.shares.queue(waiting, urgency)
    for scheduled in queue if queue is not None else sorted(waiting, key=urgency):
        if not available:
            break
        all_slots = pool_is_limited or scheduled.services in plan.slots_by_services
        eligible = [
            engine
            for engine in available
            if engine.target.service in scheduled.services
            and in_flight_by_id[engine.id]
            < _usable_slots(scheduled, engine, fastest_interval, all_slots)
            and may_run(scheduled, engine)
        ]
        fitting = [
            engine
            for engine in eligible
            if engine.id not in budgets or budgets[engine.id].fits(scheduled)
        ]
        if eligible and not fitting and scheduled.services not in kept_free:
            # Else shorter items would take all memory that becomes free.
            available.remove(roomiest(eligible, budgets))
            kept_free.add(scheduled.services)
        chosen = choose_engine(
            scheduled,
            fitting,
            fastest_interval,
            free_slots_by_id,
            held_events_by_id,
            engine_by_group,
            plan.wait(scheduled, waiting_work),
            policies.slow_engines,
        )
        if chosen is None:
            waiting_work += scheduled.remaining_events() * fastest_interval
            continue
        held_events_by_id[chosen.id] += scheduled.total_events()
        free_slots_by_id[chosen.id] -= 1
        in_flight_by_id[chosen.id] += 1
        if chosen.id in budgets:
            budgets[chosen.id].add(scheduled)
        if queue is not None:
            queue.record_start(scheduled)
        if not free_slots_by_id[chosen.id]:
            available.remove(chosen)
        engine_by_group[scheduled.item.group] = chosen.id
        starts.append(Start(scheduled, chosen))
    return starts


def _usable_slots(
    scheduled: ScheduledItem,
    engine: Engine,
    fastest_interval: float,
    all_slots: bool,
) -> int:
    """Return how many of the engine's slots may be occupied once this item runs there.

    The remaining slots are reserved for longer items. Nothing is reserved while some
    engine names a limit: what that one does not take has to run on the others.

    :param all_slots: whether nothing is reserved.
    """
    slots = engine.target.slots
    if all_slots:
        return slots
    if scheduled.remaining_events() * fastest_interval >= LONG_ITEM_SECONDS:
        return slots
    return unreserved_slots(slots)
