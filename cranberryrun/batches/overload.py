"""The order of starts when the engines can't complete all steps in time. No I/O.

Answers loads such as 1.1 times the usual number of groups, a part of the engines slow
for some seconds, or a part of them gone. If all steps share the engines then, all of
them are late, and every trainer falls behind. Instead, work that can be complete on
time goes first, in whole groups, and the trainers take turns in being late.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..fleet.engine_pool import Engine
from .engine_choice import LONG_ITEM_SECONDS, unreserved_slots
from .group_ranks import SPARE
from .models import Batch
from .pace import LISTING_SECONDS, TrainerPaces
from .scheduled_item import MEAN_LENGTH, ScheduledItem
from .shares import batch_priority

# Overload ends when the work fits with this share of the capacity to spare, so that
# the order does not change with each event that is received.
_END_LOAD = 0.9
# A trainer that yielded in a step does not yield again to one that yielded less often
# in this many steps, which are about a minute at the usual pace.
_YIELD_STEPS = 15
# The load that is reported while no engine can be used.
_MAX_LOAD = 100.0
# Work of which less than this time is left before it is due counts as late.
_MIN_LEFT_SECONDS = 0.05

# The classes of groups in an overload, in the order of their starts.
STEP_ON_TIME, GROUP_ON_TIME, LATE, NOT_NEEDED, AHEAD = range(5)

GroupKey = tuple[str, str]
Position = tuple[float, ...]


@dataclass(slots=True)
class _Group:
    """The open work of a group, in seconds of a slot of the fastest engine.

    ``waiting`` is the work of its waiting items and ``longest`` the time that its
    longest item still takes.
    """

    key: GroupKey
    waiting: float = 0.0
    running: float = 0.0
    longest: float = 0.0

    @property
    def work(self) -> float:
        return self.waiting + self.running


@dataclass(slots=True)
class _Step:
    """The needed groups of an open batch. Times are in seconds since 1970.

    The trainer keeps its pace if the step is complete by ``pace_deadline``; its groups
    count in full until ``deadline`` and in part until ``limit``.
    """

    batch: Batch
    pace_deadline: float
    deadline: float
    limit: float
    behind: float
    groups: dict[GroupKey, _Group] = field(default_factory=dict)


@dataclass(slots=True)
class OverloadPlan:
    """The order of the items that compete for overloaded engines.

    ``load`` is the work due by some time as a share of what the engines can do until
    then, at its largest. ``late_batches`` are those of the ``open_batches`` that can't
    be complete on time. ``slots_by_services`` counts the slots of slower engines in
    part.
    """

    load: float = 0.0
    late_batches: set[str] = field(default_factory=set)
    open_batches: set[str] = field(default_factory=set)
    behind_by_model: dict[str, float] = field(default_factory=dict)
    position_by_group: dict[GroupKey, Position] = field(default_factory=dict)
    slots_by_services: dict[frozenset[str], float] = field(default_factory=dict)

    @property
    def overloaded(self) -> bool:
        """Whether some engines are overloaded."""
        return bool(self.position_by_group)

    def position(self, scheduled: ScheduledItem) -> Position | None:
        """Return the item's place in the order; None if its engines have no overload.

        The longest item of a group is first, because it decides when the group ends.
        """
        key = scheduled.state.batch.id, scheduled.item.group
        position = self.position_by_group.get(key)
        if position is None:
            return None
        if scheduled.ahead:
            return AHEAD, 0.0, 0.0, -scheduled.remaining_events()
        return *position, -scheduled.remaining_events()

    def wait(self, scheduled: ScheduledItem, work: float) -> float:
        """Return how long an item waits until the engines have done ``work``.

        :param work: in seconds of a slot of the fastest engine.
        :return: seconds; 0 if the engines of the item have no overload.
        """
        slots = self.slots_by_services.get(scheduled.services)
        return work / slots if slots else 0.0


class Overload:
    """Detects overload and decides which steps yield.

    It keeps the paces of the trainers and which steps yielded. A new lease holder
    learns the paces from the batches that it reads; no trainer has yielded then.
    """

    def __init__(self) -> None:
        self.paces = TrainerPaces()
        self._active_pools: set[frozenset[str]] = set()
        self._yielded_steps_by_model: dict[str, set[int]] = {}

    def plan(
        self,
        scheduled_items: Sequence[ScheduledItem],
        ranks: dict[GroupKey, int],
        engines: Sequence[Engine],
        fastest_interval: float,
        now_wall: float,
        most_runs_by_engine: dict[str, float] | None = None,
    ) -> OverloadPlan:
        """Return the order of the items on overloaded engines.

        Items with the same services compete. The slots of an engine that several such
        sets share count in each of them.

        :param ranks: how much each group is needed, as from :func:`rank_by_group`.
        :param fastest_interval: event interval of the fastest engine, in seconds.
        :param now_wall: the current time, in seconds since 1970.
        :param most_runs_by_engine: how many runs fit into the memory of an engine.
        """
        most_runs = most_runs_by_engine or {}
        self.paces.record(
            {each.state.batch.id: each.state.batch for each in scheduled_items}.values()
        )
        items_by_pool: dict[frozenset[str], list[ScheduledItem]] = {}
        for scheduled in scheduled_items:
            items_by_pool.setdefault(scheduled.services, []).append(scheduled)
        plan = OverloadPlan()
        self._active_pools.intersection_update(items_by_pool)
        for services, pool_items in items_by_pool.items():
            pool = _Pool(
                pool_items, engines, services, fastest_interval, now_wall, most_runs
            )
            steps = self._steps(pool_items, ranks, pool)
            load = pool.load(steps)
            plan.load = max(plan.load, load)
            for step in steps:
                plan.open_batches.add(step.batch.id)
                plan.behind_by_model[step.batch.model] = step.behind
            if load <= (_END_LOAD if services in self._active_pools else 1.0):
                self._active_pools.discard(services)
                continue
            self._active_pools.add(services)
            plan.slots_by_services[services] = pool.slots
            self._add_positions(plan, pool, steps)
            for scheduled in pool_items:
                plan.position_by_group.setdefault(
                    _key(scheduled), (NOT_NEEDED, 0.0, 0.0)
                )
        return plan

    def _steps(
        self,
        scheduled_items: Iterable[ScheduledItem],
        ranks: dict[GroupKey, int],
        pool: _Pool,
    ) -> list[_Step]:
        step_by_batch: dict[str, _Step] = {}
        for scheduled in scheduled_items:
            key = _key(scheduled)
            if scheduled.ahead or ranks[key] == SPARE:
                continue
            if scheduled.finished or scheduled.scoring:
                continue
            batch = scheduled.state.batch
            step = step_by_batch.get(batch.id)
            if step is None:
                times = self.paces.step_times(batch, scheduled.due, pool.now)
                step = step_by_batch[batch.id] = _Step(
                    batch,
                    times.pace_deadline,
                    times.deadline,
                    scheduled.limit - LISTING_SECONDS,
                    times.behind,
                )
            group = step.groups.setdefault(key, _Group(key))
            pool.add_item(group, scheduled)
        return list(step_by_batch.values())

    def _add_positions(
        self, plan: OverloadPlan, pool: _Pool, steps: list[_Step]
    ) -> None:
        order = self._admission_order(steps)
        late = []
        admitted: list[_Group] = []
        for number, step in enumerate(order):
            groups = _shortest_first(step.groups.values())
            if pool.fits(admitted, groups, step.deadline):
                admitted += groups
                self._place(plan, STEP_ON_TIME, number, groups)
            else:
                late.append((number, step))
        for number, step in late:
            for group in _shortest_first(step.groups.values()):
                if pool.fits(admitted, [group], step.deadline):
                    admitted.append(group)
                    self._place(plan, GROUP_ON_TIME, number, [group])
                else:
                    self._place(plan, LATE, number, [group])
        self._record_yields(steps, {step.batch.id for _, step in late})
        plan.late_batches.update(step.batch.id for _, step in late)

    def _place(
        self, plan: OverloadPlan, rank: int, number: int, groups: list[_Group]
    ) -> None:
        for group in groups:
            plan.position_by_group[group.key] = rank, float(number), group.work

    def _admission_order(self, steps: list[_Step]) -> list[_Step]:
        """Return the steps by priority; workspaces with less work so far come first."""
        remaining = sorted(steps, key=lambda step: self._precedence(step, steps))
        work_by_workspace: Counter[str | None] = Counter()
        order = []
        while remaining:
            step = min(
                remaining,
                key=lambda step: (
                    batch_priority(step.batch),
                    work_by_workspace[step.batch.workspace],
                ),
            )
            remaining.remove(step)
            work = sum(group.work for group in step.groups.values())
            if step.batch.workspace is not None:
                work_by_workspace[step.batch.workspace] += work
            order.append(step)
        return order

    def _precedence(self, step: _Step, steps: list[_Step]) -> tuple[bool, float, float]:
        return not self._protected(step, steps), -step.behind, step.deadline

    def _protected(self, step: _Step, steps: list[_Step]) -> bool:
        """Return whether the trainer's last step yielded and another yielded less."""
        yielded = self._yielded_steps_by_model.get(step.batch.model, set())
        if step.batch.step - 1 not in yielded:
            return False
        return any(
            len(self._yielded_steps_by_model.get(other.batch.model, ()))
            < len(yielded - {step.batch.step})
            for other in steps
            if other.batch.model != step.batch.model
        )

    def _record_yields(self, steps: list[_Step], late_ids: set[str]) -> None:
        for step in steps:
            model, number = step.batch.model, step.batch.step
            yielded = self._yielded_steps_by_model.setdefault(model, set())
            if step.batch.id in late_ids:
                yielded.add(number)
            else:
                yielded.discard(number)
            outdated = {each for each in yielded if each <= number - _YIELD_STEPS}
            yielded -= outdated


def _key(scheduled: ScheduledItem) -> GroupKey:
    return scheduled.state.batch.id, scheduled.item.group


def _shortest_first(groups: Iterable[_Group]) -> list[_Group]:
    return sorted(groups, key=lambda group: group.work)


class _Pool:
    """The capacity of the engines of some services, and the runs that take it.

    Work is in seconds of a slot of the fastest engine.
    """

    def __init__(
        self,
        scheduled_items: Sequence[ScheduledItem],
        engines: Iterable[Engine],
        services: frozenset[str],
        fastest_interval: float,
        now: float,
        most_runs: dict[str, float],
    ) -> None:
        self.now = now
        self._interval = fastest_interval
        self.slots = 0.0
        unreserved = 0.0
        self._speed_by_engine: dict[str, float] = {}
        for engine in engines:
            if engine.target.service not in services:
                continue
            interval = engine.expected_event_interval(fastest_interval)
            self._speed_by_engine[engine.id] = fastest_interval / interval
            if engine.health.usable():
                speed = self._speed_by_engine[engine.id]
                slots, most = engine.target.slots, most_runs.get(engine.id, math.inf)
                self.slots += min(slots, most) * speed
                unreserved += min(unreserved_slots(slots), most) * speed
        long_items = sum(
            scheduled.remaining_events() * fastest_interval >= LONG_ITEM_SECONDS
            for scheduled in scheduled_items
            if scheduled.waiting
        )
        # Without overload, some slots are reserved for long items.
        self._ordinary_slots = min(self.slots, unreserved + long_items)
        # The remaining seconds of each run, and the speed of its engine.
        self._runs = [
            (scheduled.remaining_events() * fastest_interval / speed, speed)
            for scheduled in scheduled_items
            if scheduled.engine is not None
            and (speed := self._speed_by_engine.get(scheduled.engine.id, 1.0))
        ]

    def add_item(self, group: _Group, scheduled: ScheduledItem) -> None:
        """Add the remaining work of an item to its group."""
        work = scheduled.remaining_events() * self._interval
        if scheduled.engine is None:
            group.waiting += work
            group.longest = max(group.longest, work)
        else:
            speed = self._speed_by_engine.get(scheduled.engine.id, 1.0)
            group.running += work
            group.longest = max(group.longest, work / speed)

    def _taken(self, seconds: float) -> float:
        """Return the work that the runs in progress do within ``seconds``."""
        return sum(min(left, seconds) * speed for left, speed in self._runs)

    def load(self, steps: Iterable[_Step]) -> float:
        """Return the largest share of their capacity that the engines need.

        A group counts at the first time of its step that its longest item can meet, and
        not at all if that item can't even meet the limit.
        """
        work_by_deadline: dict[float, float] = {}
        for step in steps:
            longest = max(group.longest for group in step.groups.values())
            wished = min(step.pace_deadline, step.deadline)
            deadline = max(wished, self.now + longest)
            work_by_deadline[deadline] = work_by_deadline.get(deadline, 0.0) + sum(
                group.waiting for group in step.groups.values()
            )
        load = work = 0.0
        slots = self._ordinary_slots
        for deadline in sorted(work_by_deadline):
            work += work_by_deadline[deadline]
            left = max(_MIN_LEFT_SECONDS, deadline - self.now)
            if not work or left == float("inf"):
                continue
            if not slots:
                return _MAX_LOAD
            expected = self._taken(left) + work * MEAN_LENGTH
            load = max(load, expected / (slots * left))
        return min(load, _MAX_LOAD)

    def fits(
        self, admitted: Iterable[_Group], groups: list[_Group], deadline: float
    ) -> bool:
        """Return whether ``groups`` can be complete after the ``admitted`` ones."""
        left = deadline - self.now
        if left < _MIN_LEFT_SECONDS or any(group.longest > left for group in groups):
            return False
        work = sum(group.waiting for group in (*admitted, *groups))
        return self._taken(left) + work <= self.slots * left
