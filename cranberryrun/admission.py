"""Admission of requests: so many run at once, so many wait, none for nothing."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from . import clock
from .exceptions import DeadlineError, OverloadedError

_MEAN_WEIGHT = 0.1
_MIN_RETRY_AFTER_SECONDS = 1.0


class Admission:
    """Bounds how many requests of a service run at this host, and how many wait.

    A request that can't be expected to end before its deadline is refused when
    it comes, by the mean time that requests took so far.

    :param concurrency: requests that run at once.
    :param queue: requests that wait at most.
    """

    def __init__(self, concurrency: int, queue: int) -> None:
        self._concurrency = concurrency
        self._queue = queue
        self._waiters: deque[asyncio.Future[None]] = deque()
        self.running = 0
        self.mean_seconds = 0.0

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return sum(not waiter.done() for waiter in self._waiters)

    def resize(self, concurrency: int) -> None:
        """Let ``concurrency`` requests run at once from now on."""
        self._concurrency = concurrency
        self._wake()

    def expected_wait(self) -> float:
        """Return how long a request that comes now would wait, in seconds."""
        waiting = self.waiting
        if self.running < self._concurrency and not waiting:
            return 0.0
        return (waiting + 1) * self.mean_seconds / self._concurrency

    @asynccontextmanager
    async def enter(self, deadline: float) -> AsyncIterator[None]:
        """Hold one place.

        :raises OverloadedError: if none is expected, or comes, in time.
        """
        if clock.now() >= deadline:
            raise DeadlineError("the deadline had passed when the request came")
        if self.running < self._concurrency and not self.waiting:
            self.running += 1
        else:
            self._check_room(deadline)
            await self._wait(deadline)
        began = clock.now()
        try:
            yield
        finally:
            self._note(clock.now() - began)
            self.running -= 1
            self._wake()

    def _check_room(self, deadline: float) -> None:
        wait = self.expected_wait()
        retry_after = max(_MIN_RETRY_AFTER_SECONDS, wait)
        if self.waiting >= self._queue:
            raise OverloadedError("the queue is full", retry_after=retry_after)
        if clock.now() + wait + self.mean_seconds > deadline:
            raise OverloadedError(
                f"a wait of {wait:.2f} s is expected, past the deadline",
                retry_after=retry_after,
            )

    async def _wait(self, deadline: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            self._give_up(waiter)
            raise OverloadedError(
                "no place came free before the deadline",
                retry_after=max(_MIN_RETRY_AFTER_SECONDS, self.expected_wait()),
            ) from None
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise

    def _give_up(self, waiter: asyncio.Future[None]) -> None:
        if waiter.done() and not waiter.cancelled():
            # The place came in the same moment; the next one gets it.
            self.running -= 1
            self._wake()
        waiter.cancel()

    def _wake(self) -> None:
        while self._waiters and self.running < self._concurrency:
            waiter = self._waiters.popleft()
            if waiter.done():
                continue
            self.running += 1
            waiter.set_result(None)

    def _note(self, seconds: float) -> None:
        if not self.mean_seconds:
            self.mean_seconds = seconds
            return
        self.mean_seconds += _MEAN_WEIGHT * (seconds - self.mean_seconds)
