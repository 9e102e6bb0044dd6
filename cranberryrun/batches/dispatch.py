"""Which waiting item runs next, and at which engine. Pure decisions, no I/O."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..fleet.engine_pool import Engine
from .models import BatchState, Item, Piece, Result

# Between two events of an engine that nothing is known of, in seconds.
DEFAULT_GAP_SECONDS = 0.04
# An engine is slow from this multiple of the fastest one's gap on.
SLOW_FACTOR = 1.8
# Between engines whose gaps are this close no run is moved.
_SAME_FACTOR = 1.15
# Lengths have a heavy tail: of a text that overran, this share is to come again.
_OVERRUN_SHARE = 0.5
# Waiting for a fast engine pays if it saves more than this, in seconds.
_WORTH_WAITING_SECONDS = 0.3

# Texts that take this long decide when a step ends; they always find a place.
_LONG_SECONDS = 1.5
_RESERVED_SHARE = 1 / 3

CARRIED, WANTED, SPARE = range(3)


def _new_text() -> str:
    return uuid.uuid4().hex


@dataclass(slots=True, eq=False)
class Work:
    """An item that is being made. ``due`` is in seconds since 1970.

    ``services`` are those that its route allows now. ``run_version`` is the version
    that its engine had when its run began; ``settled_at`` is from when its run may be
    moved, in loop seconds; ``expected_events`` is how long its stream is thought to
    be. ``recorded`` is how many of ``pieces`` the store has under the name ``text``,
    from offset ``recorded_from`` on.
    """

    item: Item
    state: BatchState
    services: frozenset[str]
    due: float
    expected_events: float
    carried: bool = False
    pieces: list[Piece] = field(default_factory=list)
    text: str = field(default_factory=_new_text)
    recorded: int = 0
    recorded_from: int | None = None
    failures: int = 0
    engine: Engine | None = None
    task: asyncio.Task[None] | None = None
    run_version: int = 0
    settled_at: float = 0.0
    result: Result | None = None

    @property
    def finished(self) -> bool:
        """Whether nothing more is to be run for the item."""
        return self.result is not None

    @property
    def waiting(self) -> bool:
        """Whether the item may be started."""
        return self.engine is None and not self.finished

    def begin_anew(self) -> None:
        """Drop what was made."""
        self.pieces = []
        self.text = _new_text()
        self.recorded = 0
        self.recorded_from = None

    def remaining_events(self) -> float:
        """Return how many events are expected still; one at least.

        A text that is longer than was thought tends to be longer still.
        """
        done = len(self.pieces)
        return max(1.0, self.expected_events - done, _OVERRUN_SHARE * done)


@dataclass(frozen=True, slots=True)
class Start:
    """A decision: run this item at this engine."""

    work: Work
    engine: Engine


def usable_pieces(pieces: Sequence[Piece], min_version: int) -> bool:
    """Say whether a text with these pieces may still be handed to the trainer."""
    return all(piece.version >= min_version for piece in pieces)


def fastest_gap(engines: Iterable[Engine]) -> float:
    """Return the least gap between events of any engine, in seconds."""
    gaps = [engine.event_interval for engine in engines if engine.event_interval]
    return min(gaps, default=DEFAULT_GAP_SECONDS)


def is_slow(engine: Engine, fastest: float) -> bool:
    """Say whether an engine is far slower than the fastest."""
    return engine.expected_event_interval(fastest) > SLOW_FACTOR * fastest


def rank_by_group(works: Sequence[Work]) -> dict[tuple[str, str], int]:
    """Return how much the trainer needs each open group, by batch and group.

    Groups that were carried over are always needed. Of the others those that end
    soonest make up the number wanted; the rest is spare.
    """
    longest: dict[str, dict[str, float]] = {}
    state_by_batch: dict[str, BatchState] = {}
    carried: set[tuple[str, str]] = set()
    for work in works:
        batch = work.state.batch
        state_by_batch[batch.id] = work.state
        by_group = longest.setdefault(batch.id, {})
        remaining = 0.0 if work.finished else work.remaining_events()
        by_group[work.item.group] = max(by_group.get(work.item.group, 0.0), remaining)
        if work.carried:
            carried.add((batch.id, work.item.group))
    ranks: dict[tuple[str, str], int] = {}
    for batch_id, by_group in longest.items():
        state = state_by_batch[batch_id]
        wanted = state.batch.wanted_groups - len(state.groups - set(by_group))
        for group in sorted(by_group, key=lambda name: by_group[name]):
            key = (batch_id, group)
            if key in carried:
                ranks[key] = CARRIED
                wanted -= 1
        for group in sorted(by_group, key=lambda name: by_group[name]):
            key = (batch_id, group)
            if key in ranks:
                continue
            ranks[key] = WANTED if wanted > 0 else SPARE
            wanted -= 1
    return ranks


def plan(
    works: Sequence[Work], engines: Sequence[Engine], now_wall: float
) -> list[Start]:
    """Return what to start now: needed groups first, least slack first within."""
    event_interval = fastest_gap(engines)
    free_by_id = {
        engine.id: free_slots
        for engine in engines
        if (free_slots := engine.free_slots())
    }
    roomy = [engine for engine in engines if engine.id in free_by_id]
    if not roomy:
        return []
    taken_by_id = {engine.id: engine.in_flight for engine in roomy}
    ranks = rank_by_group(works)

    def urgency(work: Work) -> tuple[bool, float]:
        rank = ranks[work.state.batch.id, work.item.group]
        slack = work.due - now_wall - work.remaining_events() * event_interval
        return rank == SPARE, slack

    engine_by_group: dict[str, str] = {}
    for work in works:
        if work.engine is not None:
            engine_by_group[work.item.group] = work.engine.id
    starts = []
    for work in sorted((work for work in works if work.waiting), key=urgency):
        if not roomy:
            break
        eligible = [
            engine
            for engine in roomy
            if engine.target.service in work.services
            and taken_by_id[engine.id] < _places(work, engine, event_interval)
            and may_run(work, engine)
        ]
        chosen = _choose(work, eligible, event_interval, free_by_id, engine_by_group)
        if chosen is None:
            continue
        free_by_id[chosen.id] -= 1
        taken_by_id[chosen.id] += 1
        if not free_by_id[chosen.id]:
            roomy.remove(chosen)
        engine_by_group[work.item.group] = chosen.id
        starts.append(Start(work, chosen))
    return starts


def _places(work: Work, engine: Engine, event_interval: float) -> int:
    """Return how many of an engine's places may be taken with this text's help.

    The others stay free for longer texts.
    """
    slots = engine.target.slots
    if work.remaining_events() * event_interval >= _LONG_SECONDS:
        return slots
    return slots - int(slots * _RESERVED_SHARE)


def may_run(work: Work, engine: Engine) -> bool:
    """Say whether the engine's weights are new enough for the item's batch."""
    model = work.state.batch.model
    version = engine.version(model)
    if engine.loading_model == model:
        return False
    return version is not None and version >= work.state.batch.min_version


def _choose(
    work: Work,
    engines: Sequence[Engine],
    fastest: float,
    free_by_id: dict[str, int],
    engine_by_group: dict[str, str],
) -> Engine | None:
    remaining = work.remaining_events()
    best: Engine | None = None
    best_cost = 0.0
    for engine in engines:
        event_interval = engine.expected_event_interval(fastest)
        lost = remaining * (event_interval - fastest)
        if is_slow(engine, fastest) and lost > _WORTH_WAITING_SECONDS:
            continue
        cost = lost + event_interval * _crowding(engine, free_by_id[engine.id])
        if engine_by_group.get(work.item.group) == engine.id:
            # Its prompt is in this engine's cache.
            cost -= event_interval
        if best is None or cost < best_cost:
            best, best_cost = engine, cost
    return best


def better_engine(
    work: Work, engines: Sequence[Engine], fastest: float
) -> tuple[Engine, float] | None:
    """Return the engine where a running item would end soonest, and what it saves.

    :return: None if no other engine has room; else the engine and seconds.
    """
    assert work.engine is not None
    here = work.engine.expected_event_interval(fastest)
    best: Engine | None = None
    for engine in engines:
        if engine is work.engine or engine.target.service not in work.services:
            continue
        if engine.target.draining or engine.free_slots() <= 0:
            continue
        if not may_run(work, engine):
            continue
        if best is None or engine.expected_event_interval(
            fastest
        ) < best.expected_event_interval(fastest):
            best = engine
    if best is None or here < _SAME_FACTOR * best.expected_event_interval(fastest):
        return None
    return best, work.remaining_events() * (
        here - best.expected_event_interval(fastest)
    )


def _crowding(engine: Engine, free_slots: int) -> float:
    return 1.0 - free_slots / engine.target.slots
