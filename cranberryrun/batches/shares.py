"""Shares of the engines for workspaces, by weighted fair queuing. Does no I/O.

Answers a workspace that floods the engines with items beside others that use them as
usual. Each workspace has a virtual time, which grows with the tokens that it starts;
the one that is furthest behind is served first. A workspace that was idle does not
collect a claim: its virtual time starts at that of the others.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Sequence

from .models import Batch
from .scheduled_item import ScheduledItem

# The rank of batches without a priority, which is the default of routes.
_DEFAULT_PRIORITY = 5

Key = tuple[float, ...]


def batch_priority(batch: Batch) -> int:
    """Return the priority of a batch; 0 is served first."""
    return _DEFAULT_PRIORITY if batch.priority is None else batch.priority


def priority_of(scheduled: ScheduledItem) -> int:
    """Return the priority of an item's batch; 0 is served first."""
    return batch_priority(scheduled.state.batch)


def uses_shares(scheduled_items: Sequence[ScheduledItem]) -> bool:
    """Return whether any batch belongs to a workspace."""
    return any(scheduled.state.batch.workspace for scheduled in scheduled_items)


class Shares:
    """The virtual time of each workspace, in tokens started divided by its weight.

    A new lease holder starts from zero. Batches without a workspace share one time.

    :param weight_by_workspace: shares relative to those of the others; 1 if missing.
    """

    def __init__(self, weight_by_workspace: dict[str, float] | None = None) -> None:
        self._weight_by_workspace = weight_by_workspace or {}
        self._time_by_workspace: dict[str, float] = {}
        self._waiting: set[str] = set()
        self._least_time = 0.0

    def queue(
        self, waiting: Sequence[ScheduledItem], key: Callable[[ScheduledItem], Key]
    ) -> FairQueue:
        """Return a queue of the waiting items.

        :param key: the order of the items of one workspace.
        """
        names = {_workspace(scheduled) for scheduled in waiting}
        stayed = names & self._waiting
        if stayed:
            self._least_time = min(self._time_by_workspace[name] for name in stayed)
        for name in names - stayed:
            time = self._time_by_workspace.get(name, 0.0)
            self._time_by_workspace[name] = max(time, self._least_time)
        self._waiting = names
        largest_step_by_workspace: dict[str, float] = {}
        batches = {item.state.batch.id: item.state.batch for item in waiting}
        for batch in batches.values():
            name = batch.workspace or ""
            cost = self._batch_cost(batch)
            largest = largest_step_by_workspace.get(name, 0.0)
            largest_step_by_workspace[name] = max(cost, largest)
        max_lead = min(largest_step_by_workspace.values(), default=0.0)
        return FairQueue(
            waiting, key, dict(self._time_by_workspace), self.cost, max_lead
        )

    def record_start(self, scheduled: ScheduledItem) -> None:
        """Count the tokens that a new run still has to generate."""
        name = _workspace(scheduled)
        time = self._time_by_workspace.get(name, 0.0)
        self._time_by_workspace[name] = time + self.cost(scheduled)

    def _batch_cost(self, batch: Batch) -> float:
        weight = self._weight_by_workspace.get(batch.workspace or "", 1.0)
        return sum(item.expected_tokens for item in batch.items) / weight

    def cost(self, scheduled: ScheduledItem) -> float:
        """Return by how much a run of the item advances its workspace's time."""
        share = scheduled.remaining_events() / max(1.0, scheduled.total_events())
        weight = self._weight_by_workspace.get(_workspace(scheduled), 1.0)
        return scheduled.item.expected_tokens * share / weight


class FairQueue:
    """Iterates over waiting items by priority, then fairly, then by their order.

    A workspace may be ahead of the others by a step, so that the steps of several
    workspaces are not mixed item by item and late together. Further ahead, it waits
    until the others have caught up or wait no more.

    :param max_lead: the step's cost: that of the largest one of each workspace, for the
        workspace for which it is smallest.
    """

    def __init__(
        self,
        waiting: Sequence[ScheduledItem],
        key: Callable[[ScheduledItem], Key],
        time_by_workspace: dict[str, float],
        cost: Callable[[ScheduledItem], float],
        max_lead: float,
    ) -> None:
        self._key = key
        self._time_by_workspace = time_by_workspace
        self._cost = cost
        self._max_lead = max_lead
        self._items_by_workspace: dict[str, deque[ScheduledItem]] = {}
        for scheduled in sorted(
            waiting, key=lambda item: (priority_of(item), key(item))
        ):
            name = _workspace(scheduled)
            self._items_by_workspace.setdefault(name, deque()).append(scheduled)

    def __iter__(self) -> Iterator[ScheduledItem]:
        while self._items_by_workspace:
            name = self._next_workspace()
            items = self._items_by_workspace[name]
            yield items.popleft()
            if not items:
                del self._items_by_workspace[name]

    def _next_workspace(self) -> str:
        heads = {name: items[0] for name, items in self._items_by_workspace.items()}
        first = min(priority_of(head) for head in heads.values())
        names = [name for name, head in heads.items() if priority_of(head) == first]
        least = min(self._time_by_workspace[name] for name in names)
        return min(
            (
                name
                for name in names
                if self._time_by_workspace[name] - least <= self._max_lead
            ),
            key=lambda name: self._key(heads[name]),
        )

    def record_start(self, scheduled: ScheduledItem) -> None:
        """Count a run that starts, before the next item is taken."""
        self._time_by_workspace[_workspace(scheduled)] += self._cost(scheduled)


def _workspace(scheduled: ScheduledItem) -> str:
    return scheduled.state.batch.workspace or ""
