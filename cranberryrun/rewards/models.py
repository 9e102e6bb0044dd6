"""Reward calls, pending ones, and the error of a call that was given up."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from pydantic import Base64Bytes

from ..exceptions import CranberryrunError


class RewardFailedError(CranberryrunError):
    """The scoring service ran a reward call and failed as often as the call allows."""

    code = "reward_failed"


@dataclass(frozen=True, slots=True)
class RewardCall:
    """A request that scores the complete text of an item.

    ``host`` and ``path`` select the route of the call. The call may run more than
    once; every answer of a target with status 2xx is a valid score.
    """

    id: str
    host: str
    path: str
    body: Base64Bytes


@dataclass(slots=True, eq=False)
class PendingCall:
    """A reward call that has no score yet.

    ``sample`` and ``step`` name the item and its batch in events. ``due`` is the time
    by which the item should be listed, in seconds since 1970, and
    ``unfinished_in_group`` the number of items that its group still lacks. ``deadline``
    ends every attempt, in loop seconds; no attempt starts before ``retry_at``. The call
    is given up after ``failure_limit`` failed runs, or more if its own route allows
    more. ``started_at_by_target`` has the running attempts.
    """

    call: RewardCall
    sample: str
    step: str
    due: float
    deadline: float
    failure_limit: int = 1
    unfinished_in_group: int = 1
    queued_at: float = 0.0
    retry_at: float = 0.0
    runs_failed: int = 0
    errors: int = 0
    failed_target_ids: set[str] = field(default_factory=set)
    started_at_by_target: dict[str, float] = field(default_factory=dict)
    score: asyncio.Future[str] | None = None

    @property
    def last_started_at(self) -> float:
        """When the newest running attempt started, in loop seconds."""
        return max(self.started_at_by_target.values())
