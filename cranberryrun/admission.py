"""Admission control: limits the requests that run and those that wait."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from . import clock
from .exceptions import DeadlineError, OverloadedError

_EWMA_WEIGHT = 0.1
_MIN_RETRY_AFTER_SECONDS = 1.0


class Admission:
    """Limits how many requests of a service run on this host, and how many wait.

    A request that is not expected to end before its deadline is refused at once.
    The estimate is based on the moving average of the requests' durations.

    :param concurrency: maximum number of requests that run at once.
    :param max_waiting: maximum number of requests that wait.
    """

    def __init__(self, concurrency: int, max_waiting: int) -> None:
        self._concurrency = concurrency
        self._max_waiting = max_waiting
        self._waiters: deque[asyncio.Future[None]] = deque()
        self.running = 0
        self.mean_seconds = 0.0

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(not waiter.done() for waiter in self._waiters)

    def resize(self, concurrency: int) -> None:
        """Set the concurrency limit; admit waiting requests if it grew."""
        self._concurrency = concurrency
        self._admit_waiters()

    def expected_wait(self) -> float:
        """Return the expected wait of a new request, in seconds."""
        waiting = self.waiting
        if self.running < self._concurrency and not waiting:
            return 0.0
        return (waiting + 1) * self.mean_seconds / self._concurrency

    @asynccontextmanager
    async def hold_slot(self, deadline: float) -> AsyncIterator[None]:
        """Hold one slot of the concurrency limit.

        :param deadline: in the loop's time.
        :raises DeadlineError: the deadline has passed already.
        :raises OverloadedError: no slot is expected, or becomes free, in time.
        """
        if clock.now() >= deadline:
            raise DeadlineError("the deadline had passed when the request arrived")
        if self.running < self._concurrency and not self.waiting:
            self.running += 1
        else:
            self._check_queue(deadline)
            await self._wait_for_slot(deadline)
        started_at = clock.now()
        try:
            yield
        finally:
            self._record_duration(clock.now() - started_at)
            self.running -= 1
            self._admit_waiters()

    def _check_queue(self, deadline: float) -> None:
        wait = self.expected_wait()
        retry_after = max(_MIN_RETRY_AFTER_SECONDS, wait)
        if self.waiting >= self._max_waiting:
            raise OverloadedError(
                "the service's request queue is full", retry_after=retry_after
            )
        if clock.now() + wait + self.mean_seconds > deadline:
            raise OverloadedError(
                f"the expected wait of {wait:.2f} s does not fit before the deadline",
                retry_after=retry_after,
            )

    async def _wait_for_slot(self, deadline: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            self._abandon_waiter(waiter)
            raise OverloadedError(
                "no slot became free before the deadline",
                retry_after=max(_MIN_RETRY_AFTER_SECONDS, self.expected_wait()),
            ) from None
        except asyncio.CancelledError:
            self._abandon_waiter(waiter)
            raise

    def _abandon_waiter(self, waiter: asyncio.Future[None]) -> None:
        if waiter.done() and not waiter.cancelled():
            # The slot was granted just before the wait ended; pass it to the next.
            self.running -= 1
            self._admit_waiters()
        waiter.cancel()

    def _admit_waiters(self) -> None:
        while self._waiters and self.running < self._concurrency:
            waiter = self._waiters.popleft()
            if waiter.done():
                continue
            self.running += 1
            waiter.set_result(None)

    def _record_duration(self, seconds: float) -> None:
        if not self.mean_seconds:
            self.mean_seconds = seconds
            return
        self.mean_seconds += _EWMA_WEIGHT * (seconds - self.mean_seconds)
