"""Which runs leave an engine because it is in a slow span. Does no I/O.

Answers noise: each engine is 2.5 times slower in 15% of all spans of 0.6 s, so that an
output that takes nearly all the time of its step is late unless it avoids them. A move
costs some tens of milliseconds, a slow span up to 0.4 s.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..fleet.engine_pool import SAME_SPEED_FACTOR, Engine
from ..fleet.speed_record import usual_intervals
from .engine_choice import SLOW_SPAN_COST_SECONDS, Move, may_run
from .engine_memory import EngineBudget
from .group_ranks import SPARE, rank_by_group
from .scheduled_item import ScheduledItem

# Runs with fewer events to come end before a move would pay.
_MIN_REMAINING_EVENTS = 4.0
# Noise makes an output take this much longer in the mean: 15% of the time, 2.5 times.
_NOISE_FACTOR = 1.25
# Estimates of lengths are often too low. A run that would end this long before its step
# should has room for that.
_ROOM_SECONDS = 0.5
# A run stays at its engine for at least this long, of which its first event takes up to
# 0.07 s.
_MIN_STAY_SECONDS = 0.25
# An output that takes 7 s meets 1.7 slow spans in the mean, and more than this many in
# less than one of 100 cases.
_MAX_MOVES_PER_ITEM = 6
# Moves as a share of all runs started, and how many may be made at once.
_MOVES_PER_RUN = 0.1
_MAX_UNUSED_MOVES = 40.0
# With fewer unused moves, runs need to be closer to being late: without any left, only
# those count that would be late without noise.
_PLENTY_OF_MOVES = 20.0
# A slow span costs at most this. No run moves to an engine whose lasting slowness would
# cost it more.
_MAX_EXTRA_SECONDS = 0.4
# Engines whose lasting factors differ by less than about this count as equally fast.
_FACTOR_STEP = 0.25
# If more of the busy engines than this seem slow, the cause is more likely on this host
# or its link.
_MAX_SLOW_SHARE = 0.6


@dataclass(slots=True)
class SlowSpans:
    """Watches the runs that determine when their steps end.

    ``unused_moves`` is how many moves may be made now.
    """

    unused_moves: float = _MAX_UNUSED_MOVES / 2
    _counts: Counter[str] = field(default_factory=Counter)
    _watched: list[ScheduledItem] = field(default_factory=list)
    _interval_by_service: dict[str, float] = field(default_factory=dict)

    def record_start(self) -> None:
        """Record the start of a run, which allows for more moves."""
        self.unused_moves = min(_MAX_UNUSED_MOVES, self.unused_moves + _MOVES_PER_RUN)

    @property
    def watching(self) -> bool:
        """Whether any run determines when its step ends."""
        return bool(self._watched)

    def take_counts(self) -> Counter[str]:
        """Return and forget how often runs moved, or stayed and for which reason."""
        counts, self._counts = self._counts, Counter()
        return counts

    def stop_watching(self) -> None:
        """Move no runs until the next call of :meth:`watch`."""
        self._watched = []

    def watch(
        self,
        scheduled_items: Sequence[ScheduledItem],
        engines: Sequence[Engine],
        desired_end: Callable[[ScheduledItem], float],
        now_wall: float,
    ) -> None:
        """Choose the runs that may be moved until the next call.

        Those are the runs of needed groups that would end after their step should, if
        they met noise as everyone does.

        :param scheduled_items: all items of open batches.
        :param desired_end: returns when the step of an item should end, in seconds
            since 1970.
        :param now_wall: the current time, in seconds since 1970.
        """
        self._interval_by_service = usual_intervals(engines)
        self._watched = []
        late: list[ScheduledItem] = []
        share = min(1.0, self.unused_moves / _PLENTY_OF_MOVES)
        noise, room = 1.0 + share * (_NOISE_FACTOR - 1.0), share * _ROOM_SECONDS
        end_by_batch: dict[str, float] = {}
        for scheduled in scheduled_items:
            if scheduled.engine is None or scheduled.ahead:
                continue
            usual = self._interval_by_service.get(scheduled.engine.target.service)
            if usual is None:
                continue
            batch_id = scheduled.state.batch.id
            if batch_id not in end_by_batch:
                end_by_batch[batch_id] = desired_end(scheduled)
            interval = max(
                noise * usual, scheduled.engine.expected_event_interval(usual)
            )
            seconds = _most_remaining_events(scheduled) * interval
            if now_wall + seconds + room >= end_by_batch[batch_id]:
                late.append(scheduled)
        if not late:
            return
        ranks = rank_by_group(scheduled_items)
        for scheduled in late:
            if ranks[scheduled.state.batch.id, scheduled.item.group] != SPARE:
                self._watched.append(scheduled)
        self._watched.sort(key=ScheduledItem.remaining_events, reverse=True)

    def moves(
        self,
        engines: Sequence[Engine],
        now: float,
        budgets: Callable[[], dict[str, EngineBudget]],
    ) -> Iterable[Move]:
        """Yield the runs to move now, the longest first.

        The caller carries out each move before it takes the next one, which counts it.

        :param now: the current time, in loop seconds.
        :param budgets: returns the engines whose memory is limited, by id.
        """
        slow_by_engine: dict[str, bool] = {}
        leaving = [each for each in self._watched if self._may_leave(each, now)]
        leaving = [each for each in leaving if self._slow(each, slow_by_engine, now)]
        if not leaving:
            return
        budget_by_id = budgets()
        busy = [engine for engine in engines if engine.in_flight]
        slow = sum(self._slow_engine(engine, slow_by_engine, now) for engine in busy)
        if len(busy) > 1 and slow > _MAX_SLOW_SHARE * len(busy):
            return
        for scheduled in leaving:
            if self.unused_moves < 1.0:
                self._counts["no_budget"] += 1
                return
            engine = self._destination(
                scheduled, engines, slow_by_engine, budget_by_id, now
            )
            if engine is None:
                self._counts["no_engine"] += 1
                continue
            self.unused_moves -= 1.0
            self._counts["moved"] += 1
            scheduled.slow_span_moves += 1
            if engine.id in budget_by_id:
                budget_by_id[engine.id].add(scheduled)
            yield Move(scheduled, engine, SLOW_SPAN_COST_SECONDS)

    def _may_leave(self, scheduled: ScheduledItem, now: float) -> bool:
        return (
            scheduled.engine is not None
            and scheduled.state.open
            and not scheduled.finished
            and scheduled.unscored is None
            and now >= scheduled.started_at + _MIN_STAY_SECONDS
            and scheduled.slow_span_moves < _MAX_MOVES_PER_ITEM
            and scheduled.remaining_events() >= _MIN_REMAINING_EVENTS
        )

    def _slow(
        self, scheduled: ScheduledItem, slow_by_engine: dict[str, bool], now: float
    ) -> bool:
        assert scheduled.engine is not None
        return self._slow_engine(scheduled.engine, slow_by_engine, now)

    def _slow_engine(
        self, engine: Engine, slow_by_engine: dict[str, bool], now: float
    ) -> bool:
        slow = slow_by_engine.get(engine.id)
        if slow is None:
            usual = self._interval_by_service.get(engine.target.service)
            slow = usual is not None and engine.speed.slow_now(
                now, engine.normal_interval(usual)
            )
            slow_by_engine[engine.id] = slow
        return slow

    def _destination(
        self,
        scheduled: ScheduledItem,
        engines: Iterable[Engine],
        slow_by_engine: dict[str, bool],
        budgets: dict[str, EngineBudget],
        now: float,
    ) -> Engine | None:
        """Return the engine that goes on with a run.

        Engines that are slower for long come last. Of the others, those whose runs show
        full speed are preferred, and then those with the most free slots.
        """
        assert scheduled.engine is not None
        own_usual = self._interval_by_service[scheduled.engine.target.service]
        own_interval = scheduled.engine.expected_event_interval(own_usual)
        remaining = scheduled.remaining_events()
        best: Engine | None = None
        best_cost: tuple[float, ...] = ()
        for engine in engines:
            if engine is scheduled.engine or engine.target.draining:
                continue
            if engine.target.service not in scheduled.services:
                continue
            if engine.leaves_at is not None or engine.loading_model is not None:
                continue
            if engine.free_slots() <= 0 or engine.permits() is not None:
                continue
            if self._slow_engine(engine, slow_by_engine, now):
                continue
            if not may_run(scheduled, engine):
                continue
            if engine.id in budgets and not budgets[engine.id].fits(scheduled):
                continue
            usual = self._interval_by_service.get(engine.target.service)
            if usual is None:
                continue
            interval = engine.expected_event_interval(usual)
            if (
                interval > SAME_SPEED_FACTOR * own_interval
                and (interval - own_interval) * remaining > _MAX_EXTRA_SECONDS
            ):
                continue
            normal = engine.normal_interval(usual)
            cost = (
                engine.lasting_factor(usual) // _FACTOR_STEP,
                float(not engine.speed.full_speed_now(now, normal)),
                engine.in_flight / engine.target.slots,
            )
            if best is None or cost < best_cost:
                best, best_cost = engine, cost
        return best


def slow_engines(engines: Sequence[Engine], now: float) -> frozenset[str]:
    """Return the ids of the engines that are in a slow span.

    :param now: the current time, in loop seconds.
    """
    interval_by_service = usual_intervals(engines)
    return frozenset(
        engine.id
        for engine in engines
        if (usual := interval_by_service.get(engine.target.service)) is not None
        and engine.speed.slow_now(now, engine.normal_interval(usual))
    )


def _most_remaining_events(scheduled: ScheduledItem) -> float:
    """Return how many more events an output may well have.

    One that is longer than estimated is among the few that are several times as long
    as others, so it is taken to grow to twice its length.
    """
    remaining = scheduled.remaining_events()
    done = len(scheduled.pieces)
    return max(remaining, done) if done > scheduled.expected_events else remaining
