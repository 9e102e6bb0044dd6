"""Scheduling decisions: which item starts next, and on which engine. Does no I/O."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..fleet.engine_pool import Engine
from ..fleet.origin import Origin
from ..rewards.models import PendingCall
from .models import BatchState, Item, Piece, Result

# Assumed mean time between two events while no engine's speed is known.
DEFAULT_EVENT_INTERVAL_SECONDS = 0.04
# An engine is slow if its event interval exceeds this multiple of the fastest one's.
SLOW_FACTOR = 1.8
# No run moves between engines whose event intervals differ by less than this factor.
_SAME_SPEED_FACTOR = 1.15
# Output lengths have a heavy tail: an output that exceeds its estimate is expected to
# grow by this share of its current length.
_OVERRUN_SHARE = 0.5
# A slow engine may delay an item by at most this; otherwise the item waits for a
# faster one.
_MIN_WAIT_SAVING_SECONDS = 0.3

# Items that run at least this long determine when a step ends, so a share of each
# engine's slots is reserved for them.
_LONG_ITEM_SECONDS = 1.5
_RESERVED_SLOT_SHARE = 1 / 3

# An engine's events take longer by this share for each event that its other runs hold
# in memory. Several long runs on one engine may also exceed its memory, and one of them
# is then preempted.
_SLOWDOWN_PER_EVENT = 1.5e-4

# How much the trainer needs a group.
CARRIED, WANTED, SPARE = range(3)


def _new_output_id() -> str:
    return uuid.uuid4().hex


@dataclass(slots=True, eq=False)
class ScheduledItem:
    """An item of a batch with its scheduling state and the output received so far.

    ``services`` are the services that its route currently allows. ``due`` is the time
    by which its result should be complete, in seconds since 1970. ``expected_events``
    is the estimated length of its stream. ``output_id`` identifies the output that
    ``pieces`` belong to; the store has the first ``recorded_count`` of them, in
    progress records from offset ``first_record_offset`` on. ``run_version`` is the
    weight version that the engine had when the current run started, and the run is
    not moved to another engine before ``movable_at``, in loop seconds. ``carried``
    items were already in an earlier batch. No run of the item uses weights older than
    ``min_version``. ``origin`` is where the output began, and None without pieces; a
    waiting item waits since ``waiting_since``, in loop seconds. ``ahead`` marks an item
    that its batch no longer needs and that runs for the next batch. ``unscored`` is the
    result of a complete output whose ``reward_call`` has no answer yet;
    ``completion_recorded`` tells whether the store knows that the output is complete.
    """

    item: Item
    state: BatchState
    services: frozenset[str]
    due: float
    expected_events: float
    carried: bool = False
    min_version: int = 0
    ahead: bool = False
    pieces: list[Piece] = field(default_factory=list)
    origin: Origin | None = None
    output_id: str = field(default_factory=_new_output_id)
    recorded_count: int = 0
    first_record_offset: int | None = None
    failures: int = 0
    engine: Engine | None = None
    task: asyncio.Task[None] | None = None
    run_version: int = 0
    movable_at: float = 0.0
    waiting_since: float = 0.0
    result: Result | None = None
    unscored: Result | None = None
    completion_recorded: bool = False
    reward_call: PendingCall | None = None

    def __post_init__(self) -> None:
        self.min_version = max(self.min_version, self.state.batch.min_version)

    @property
    def finished(self) -> bool:
        """Whether the item has a result and needs no more runs."""
        return self.result is not None

    @property
    def waiting(self) -> bool:
        """Whether the item needs a run and has none."""
        return self.engine is None and self.unscored is None and not self.finished

    @property
    def scoring(self) -> bool:
        """Whether the output is complete and only its score is missing."""
        return self.unscored is not None and not self.finished

    def discard_output(self) -> None:
        """Drop all received pieces; the next run starts a new output."""
        self.pieces = []
        self.origin = None
        self.output_id = _new_output_id()
        self.recorded_count = 0
        self.first_record_offset = None
        self.unscored = None
        self.completion_recorded = False

    def total_events(self) -> float:
        """Return the expected length of the complete output, in events."""
        return len(self.pieces) + self.remaining_events()

    def remaining_events(self) -> float:
        """Return how many more events are expected of an incomplete output.

        The result is at least one.

        An output that is longer than estimated tends to grow further.
        """
        done = len(self.pieces)
        return max(1.0, self.expected_events - done, _OVERRUN_SHARE * done)


@dataclass(frozen=True, slots=True)
class Start:
    """The decision to start an item on an engine."""

    scheduled: ScheduledItem
    engine: Engine


def pieces_meet_version(pieces: Sequence[Piece], min_version: int) -> bool:
    """Return whether no piece comes from a weight version below ``min_version``."""
    return all(piece.version >= min_version for piece in pieces)


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


def rank_by_group(
    scheduled_items: Sequence[ScheduledItem],
) -> dict[tuple[str, str], int]:
    """Return how much the trainer needs each open group, by batch id and group.

    Groups that were carried over from an earlier batch are always needed. Of the other
    groups, those expected to finish first count as wanted until the batch has its
    wanted number of groups; the rest are spare.
    """
    remaining_by_batch: dict[str, dict[str, float]] = {}
    state_by_batch: dict[str, BatchState] = {}
    carried: set[tuple[str, str]] = set()
    for scheduled in scheduled_items:
        batch = scheduled.state.batch
        state_by_batch[batch.id] = scheduled.state
        remaining_by_group = remaining_by_batch.setdefault(batch.id, {})
        complete = scheduled.finished or scheduled.scoring
        remaining = 0.0 if complete else scheduled.remaining_events()
        remaining_by_group[scheduled.item.group] = max(
            remaining_by_group.get(scheduled.item.group, 0.0), remaining
        )
        if scheduled.carried:
            carried.add((batch.id, scheduled.item.group))
    ranks: dict[tuple[str, str], int] = {}
    for batch_id, remaining_by_group in remaining_by_batch.items():
        state = state_by_batch[batch_id]
        wanted = state.batch.wanted_groups - len(state.groups - set(remaining_by_group))
        for group in sorted(
            remaining_by_group, key=lambda name: remaining_by_group[name]
        ):
            key = (batch_id, group)
            if key in carried:
                ranks[key] = CARRIED
                wanted -= 1
        for group in sorted(
            remaining_by_group, key=lambda name: remaining_by_group[name]
        ):
            key = (batch_id, group)
            if key in ranks:
                continue
            ranks[key] = WANTED if wanted > 0 else SPARE
            wanted -= 1
    return ranks


def plan_starts(
    scheduled_items: Sequence[ScheduledItem], engines: Sequence[Engine], now_wall: float
) -> list[Start]:
    """Return the runs to start now.

    Spare groups come late, and items that run ahead for the next batch last; within
    these classes, the items with the least slack until they are due come first.

    :param now_wall: the current time, in seconds since 1970.
    """
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

    def urgency(scheduled: ScheduledItem) -> tuple[bool, bool, float]:
        rank = ranks[scheduled.state.batch.id, scheduled.item.group]
        slack = (
            scheduled.due - now_wall - scheduled.remaining_events() * fastest_interval
        )
        return scheduled.ahead, rank == SPARE, slack

    engine_by_group: dict[str, str] = {}
    held_events_by_id = dict.fromkeys(free_slots_by_id, 0.0)
    for scheduled in scheduled_items:
        if scheduled.engine is None:
            continue
        engine_by_group[scheduled.item.group] = scheduled.engine.id
        if scheduled.engine.id in held_events_by_id:
            held_events_by_id[scheduled.engine.id] += scheduled.total_events()
    starts = []
    for scheduled in sorted(
        (scheduled for scheduled in scheduled_items if scheduled.waiting), key=urgency
    ):
        if not available:
            break
        eligible = [
            engine
            for engine in available
            if engine.target.service in scheduled.services
            and in_flight_by_id[engine.id]
            < _usable_slots(scheduled, engine, fastest_interval, pool_is_limited)
            and may_run(scheduled, engine)
        ]
        chosen = _choose_engine(
            scheduled,
            eligible,
            fastest_interval,
            free_slots_by_id,
            held_events_by_id,
            engine_by_group,
        )
        if chosen is None:
            continue
        held_events_by_id[chosen.id] += scheduled.total_events()
        free_slots_by_id[chosen.id] -= 1
        in_flight_by_id[chosen.id] += 1
        if not free_slots_by_id[chosen.id]:
            available.remove(chosen)
        engine_by_group[scheduled.item.group] = chosen.id
        starts.append(Start(scheduled, chosen))
    return starts


def _usable_slots(
    scheduled: ScheduledItem,
    engine: Engine,
    fastest_interval: float,
    pool_is_limited: bool,
) -> int:
    """Return how many of the engine's slots may be occupied once this item runs there.

    The remaining slots are reserved for longer items. Nothing is reserved while some
    engine names a limit: what that one does not take has to run on the others.
    """
    slots = engine.target.slots
    if pool_is_limited:
        return slots
    if scheduled.remaining_events() * fastest_interval >= _LONG_ITEM_SECONDS:
        return slots
    return unreserved_slots(slots)


def unreserved_slots(slots: int) -> int:
    """Return how many of an engine's slots items of any length may occupy."""
    return slots - int(slots * _RESERVED_SLOT_SHARE)


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


def _choose_engine(
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
