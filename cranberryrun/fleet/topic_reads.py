"""When a topic that is followed was read, and whether reads fail. No I/O."""

from __future__ import annotations

import asyncio

from .. import clock

# Targets write heartbeats about once a second, so a topic that could not be read for
# this long counts as in an outage.
_OUTAGE_SECONDS = 1.0
TICK_SECONDS = 0.25
# While no manifest has keys, a pause has no consequence.
IDLE_TICK_SECONDS = 2.0
# The platform requires a key to be invalid everywhere 3 s after its removal. Reads are
# at most 2 s apart, which leaves 1 s.
_MIN_PAUSE_SECONDS = 1.0


class PauseWatch:
    """Tells when this process was last suspended, or its event loop stalled.

    :meth:`tick` is to be called every :data:`TICK_SECONDS`, and before
    ``resumed_after`` is used. That is a time in the last pause, in loop seconds.
    """

    def __init__(self) -> None:
        self.resumed_after = float("-inf")
        self._ticked_at = clock.now()

    def tick(self) -> None:
        """Take note that the loop runs."""
        now = clock.now()
        due_at = self._ticked_at + TICK_SECONDS
        if now > due_at + _MIN_PAUSE_SECONDS:
            self.resumed_after = due_at
        self._ticked_at = now


class TopicReads:
    """The reads of one topic, from which its outages follow.

    ``outage_ended_at`` is the end of the last outage, in loop seconds.
    """

    def __init__(self) -> None:
        self.last_success_at = clock.now()
        self.in_outage = False
        self.outage_ended_at = float("-inf")
        self._requested_at = clock.now()
        self._ended = asyncio.Event()
        self._wanted = asyncio.Event()

    def record_failure(self, requested_at: float) -> bool:
        """Record a failed read; return whether it starts an outage."""
        self._record_end(requested_at)
        if self.in_outage or clock.now() - self.last_success_at < _OUTAGE_SECONDS:
            return False
        self.in_outage = True
        return True

    def record_success(self, requested_at: float) -> bool:
        """Record a successful read; return whether it ends an outage."""
        self._record_end(requested_at)
        self.last_success_at = clock.now()
        if not self.in_outage:
            return False
        self.in_outage = False
        self.outage_ended_at = clock.now()
        return True

    def _record_end(self, requested_at: float) -> None:
        self._requested_at = requested_at
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    async def pause(self, seconds: float) -> bool:
        """Wait before the next read; return whether somebody waits for it."""
        try:
            async with asyncio.timeout(seconds):
                await self._wanted.wait()
        except TimeoutError:
            return False
        self._wanted.clear()
        return True

    def requested_since(self, at: float) -> bool:
        """Return whether a read ended that was requested after ``at``.

        It may have failed: then the host goes on with what it has.
        """
        return self._requested_at > at

    async def wait_until_requested_since(self, at: float, seconds: float) -> None:
        """Return once :meth:`requested_since` is true, or after ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                while not self.requested_since(at):
                    self._wanted.set()
                    await self._ended.wait()
        except TimeoutError:
            return
