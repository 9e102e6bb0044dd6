"""Has the complete outputs of items scored."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace

from .. import clock
from ..kernel import Kernel
from ..rewards.caller import RewardCaller
from ..rewards.models import PendingCall, RewardFailedError
from .dispatch import ScheduledItem
from .item_run import max_attempts, seconds_left
from .models import Result
from .reader import Spawn


class Scoring:
    """Makes the reward calls of items whose output is complete.

    :param spawn: starts a task that is cancelled when the runner stops.
    :param finish: records the result of an item; called with the item, its result and
        the reason.
    :param wake: makes the runner schedule again.
    """

    def __init__(
        self,
        kernel: Kernel,
        spawn: Spawn,
        finish: Callable[[ScheduledItem, Result, str], None],
        wake: Callable[[], None],
    ) -> None:
        self._kernel = kernel
        self._spawn = spawn
        self._finish = finish
        self._wake = wake

    def start_calls(self, scheduled_items: Sequence[ScheduledItem]) -> None:
        """Start the calls that are not running; update the urgency of all calls.

        :param scheduled_items: all items of the open batches.
        """
        scoring = [scheduled for scheduled in scheduled_items if scheduled.scoring]
        if not scoring:
            return
        unfinished_by_group = Counter(
            (scheduled.state.batch.id, scheduled.item.group)
            for scheduled in scheduled_items
            if not scheduled.finished
        )
        for scheduled in scoring:
            if scheduled.task is None:
                scheduled.reward_call = self._pending_call(scheduled)
                scheduled.task = self._spawn(self._score(scheduled))
            assert scheduled.reward_call is not None
            group = (scheduled.state.batch.id, scheduled.item.group)
            scheduled.reward_call.unfinished_in_group = unfinished_by_group[group]

    def _pending_call(self, scheduled: ScheduledItem) -> PendingCall:
        assert scheduled.item.reward is not None
        return PendingCall(
            call=scheduled.item.reward,
            sample=scheduled.item.id,
            step=scheduled.state.batch.id,
            due=scheduled.due,
            # All attempts end at the same time, when the item itself is given up.
            deadline=clock.now() + seconds_left(self._kernel, scheduled),
            failure_limit=max_attempts(self._kernel, scheduled),
        )

    async def _score(self, scheduled: ScheduledItem) -> None:
        own_task = asyncio.current_task()
        assert scheduled.reward_call is not None and scheduled.unscored is not None
        unscored = scheduled.unscored
        try:
            score = await self._kernel.get(RewardCaller).score(scheduled.reward_call)
        except RewardFailedError as error:
            self._finish(scheduled, Result(scheduled.item.id, False), error.detail)
        else:
            self._finish(scheduled, replace(unscored, score=score), "scored")
        finally:
            if scheduled.task is own_task:
                scheduled.task = None
            self._wake()
