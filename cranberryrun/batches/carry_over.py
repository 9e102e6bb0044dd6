"""Which items a trainer will submit again, and the weight version they will need.

A trainer ends a batch once it has enough complete groups. The other groups may appear
again in its next batch, which accepts only newer weights. Their output so far is then
discarded, and the long items among them determine when the next batch is complete.
They are therefore started anew as soon as the batch does not need them any more.
"""

from __future__ import annotations

from collections.abc import Collection

from .dispatch import ScheduledItem
from .models import Batch


class NextBatches:
    """Predicts which weight versions the next batch of each model will accept.

    A trainer numbers its batches by steps, and the oldest version that a batch accepts
    grows with its step.
    """

    def __init__(self) -> None:
        self._newest_by_model: dict[str, Batch] = {}

    def record(self, batch: Batch) -> None:
        """Record a batch that was submitted."""
        newest = self._newest_by_model.get(batch.model)
        if newest is None or newest.step < batch.step:
            self._newest_by_model[batch.model] = batch

    def min_version(self, model: str) -> int | None:
        """Return the oldest version that the next batch of ``model`` will accept.

        :return: None if no batch of the model is known.
        """
        newest = self._newest_by_model.get(model)
        return newest.min_version + 1 if newest is not None else None


def unneeded_items(scheduled_items: Collection[ScheduledItem]) -> list[ScheduledItem]:
    """Return the unfinished items that their batch does not need any more.

    :param scheduled_items: all items of one batch that had no result when it was
        scheduled.
    """
    unfinished = [scheduled for scheduled in scheduled_items if not scheduled.finished]
    if not unfinished:
        return []
    state = unfinished[0].state
    if not state.ended:
        incomplete_groups = {scheduled.item.group for scheduled in unfinished}
        complete_count = len(state.groups) - len(incomplete_groups)
        if complete_count < state.batch.wanted_groups:
            return []
        if any(scheduled.carried for scheduled in unfinished):
            # The trainer waits for these groups whichever others are complete.
            return []
    return unfinished
