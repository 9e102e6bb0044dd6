"""Event loop on a virtual clock that can suspend single hosts, as SIGSTOP does.

Every callback carries a context variable with the name of the host that it belongs
to. Callbacks and timers of a paused host are held back and run when the host is
resumed. Callbacks of the platform, of targets and of clients belong to no host and
always run.
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
        self._held_handles: list[Any] = []
        # Keeps the tasks of ended hosts alive: nothing else refers to them.
        self.tasks: set[asyncio.Task[Any]] = set()

    def pause(self, host: str) -> None:
        """Hold back all callbacks of ``host``."""
        self.paused.add(host)

    def resume(self, host: str) -> None:
        """Release the callbacks that were held back for ``host``."""
        self.paused.discard(host)
        held, self._held_handles = self._held_handles, []
        for handle in held:
            if self._is_paused(handle):
                self._held_handles.append(handle)
                continue
            self._ready.append(handle)

    def _is_paused(self, handle: Any) -> bool:
        return handle._context.get(HOST, "") in self.paused

    def _run_once(self) -> None:
        # Copies the base class's method, except that callbacks of paused hosts are
        # held back.
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        timeout = None
        if self._ready or self._stopping:
            timeout = 0
        elif self._scheduled:
            timeout = max(0, self._scheduled[0]._when - self.time())
        self._process_events(self._selector.select(timeout))
        # Unlike the base class, without the tolerance of the clock resolution: with
        # it, a sleep of a billionth of a second would not advance the virtual clock.
        while self._scheduled and self._scheduled[0]._when <= self.time():
            handle = heapq.heappop(self._scheduled)
            handle._scheduled = False
            self._ready.append(handle)
        ready, self._ready = self._ready, deque()
        for handle in ready:
            if handle._cancelled:
                continue
            if self.paused and self._is_paused(handle):
                self._held_handles.append(handle)
                continue
            handle._run()


def virtual_wall_time() -> float:
    """Return the virtual wall time, in seconds since 1970."""
    return BASE_WALL_SECONDS + asyncio.get_running_loop().time()


def host_context(host: str) -> contextvars.Context:
    """Return a context whose callbacks belong to ``host``; "" stands for no host."""
    context = contextvars.Context()
    context.run(HOST.set, host)
    return context


def start_task(host: str, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Start a task that belongs to ``host``; "" stands for no host."""
    loop: Any = asyncio.get_running_loop()
    task = loop.create_task(coroutine, context=host_context(host))
    loop.tasks.add(task)
    task.add_done_callback(loop.tasks.discard)
    return task
