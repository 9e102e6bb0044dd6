"""Which groups of its batches a trainer needs. Does no I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .models import BatchState
from .scheduled_item import ScheduledItem

# How much the trainer needs a group.
CARRIED, WANTED, SPARE = range(3)


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
