"""Tells whether the event loop stalled while something was timed.

A stalled loop sees a timer expire before it sees the events that arrived in time, so a
timeout alone does not show that the other side was slow.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

# A timer that is late by this much counts as a stall. Busy loops are late by a few
# milliseconds.
_STALL_SECONDS = 0.025
_TIMERS = 4


class StallWatch:
    """Watches the loop from the start of the block on.

    It sets a few timers only, so a long block costs no more than a short one.

    :param seconds: for how long to watch.
    """

    __slots__ = ("_loop", "_interval", "_due_at", "_left", "_timer", "_late_seconds")

    def __init__(self, seconds: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._interval = seconds / _TIMERS
        self._due_at = 0.0
        self._left = _TIMERS
        self._timer: asyncio.TimerHandle | None = None
        self._late_seconds = 0.0

    @property
    def stalled(self) -> bool:
        """Whether the loop ran a timer late, or has one that is overdue."""
        if self._timer is not None:
            self._record_lateness()
        return self._late_seconds >= _STALL_SECONDS

    def __enter__(self) -> StallWatch:
        self._set_timer()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self) -> None:
        self._left -= 1
        self._due_at = self._loop.time() + self._interval
        self._timer = self._loop.call_at(self._due_at, self._run_timer)

    def _run_timer(self) -> None:
        self._timer = None
        self._record_lateness()
        if self._left:
            self._set_timer()

    def _record_lateness(self) -> None:
        late = self._loop.time() - self._due_at
        self._late_seconds = max(self._late_seconds, late)
