"""A virtual clock on which single hosts can be paused, as SIGSTOP pauses them.

Every callback carries a context; what a host started names that host in it. The
callbacks of a paused host are held back, its timers too, and run when the host
is resumed. Work of the platform and of targets names no host and goes on.
"""

import asyncio
import contextvars
import heapq
from collections import deque
from collections.abc import Coroutine
from typing import Any

import looptime

HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")
BASE_WALL_SECONDS = 1_700_000_000.0


class HostLoop(looptime.LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """A loop on a virtual clock that holds back the callbacks of paused hosts."""

    def __init__(self) -> None:
        super().__init__(noop_cycles=0)
        self.paused: set[str] = set()
        self._held: list[Any] = []
        # Nothing else refers to the tasks of a host that ended.
        self.tasks: set[asyncio.Task[Any]] = set()

    def pause(self, host: str) -> None:
        """Run nothing more of ``host``."""
        self.paused.add(host)

    def resume(self, host: str) -> None:
        """Go on with ``host`` where it was paused."""
        self.paused.discard(host)
        held, self._held = self._held, []
        for handle in held:
            if self._is_paused(handle):
                self._held.append(handle)
                continue
            self._ready.append(handle)

    def _is_paused(self, handle: Any) -> bool:
        return handle._context.get(HOST, "") in self.paused

    def _run_once(self) -> None:
        # The base class's, but for the callbacks that are held back.
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        timeout = None
        if self._ready or self._stopping:
            timeout = 0
        elif self._scheduled:
            timeout = max(0, self._scheduled[0]._when - self.time())
        self._process_events(self._selector.select(timeout))
        # No tolerance: a wait for a billionth of a second must move the clock.
        while self._scheduled and self._scheduled[0]._when <= self.time():
            handle = heapq.heappop(self._scheduled)
            handle._scheduled = False
            self._ready.append(handle)
        ready, self._ready = self._ready, deque()
        for handle in ready:
            if handle._cancelled:
                continue
            if self.paused and self._is_paused(handle):
                self._held.append(handle)
                continue
            handle._run()


def virtual_wall() -> float:
    """Return the virtual wall time, in seconds since 1970."""
    return BASE_WALL_SECONDS + asyncio.get_running_loop().time()


def context_of(host: str) -> contextvars.Context:
    """Return a context whose work belongs to ``host``; empty for nobody's."""
    context = contextvars.Context()
    context.run(HOST.set, host)
    return context


def start_for(host: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Run ``work`` as a task that belongs to ``host``."""
    loop: Any = asyncio.get_running_loop()
    task = loop.create_task(work, context=context_of(host))
    loop.tasks.add(task)
    task.add_done_callback(loop.tasks.discard)
    return task
